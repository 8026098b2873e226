"""Retry budgets: whether a failed call is retried, per client account.

Only the instance that received the call retries it; owners of pools, clients and
targets never do. Every first attempt adds a fraction of a retry to the budget::

    budgets = retries.RetryBudgets(share=0.1)
    budgets.record_first_attempt("tirnica")
    failed = retries.FailedAttempt(tries=1, ran=errors.ExecutionStatus.NOT_RUN)
    if budgets.take_retry("tirnica", failed):
        ...
"""

import collections
import typing

from cornelreach.util import errors

MAX_ATTEMPTS = 3
MAX_SAVED_RETRIES = 10.0
MAX_ACCOUNTS = 1_024


class FailedAttempt(typing.NamedTuple):
    """A failed attempt; ``answered`` if the caller already has part of the answer."""

    tries: int
    ran: errors.ExecutionStatus
    repeatable: bool = True
    answered: bool = False


class RetryBudgets:
    """The remaining retries of each account."""

    def __init__(self, share: float) -> None:
        self.share = share
        self._left: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record_first_attempt(self, account: str) -> None:
        """Add ``share`` of a retry for a call's first attempt."""
        left = self._left.pop(account, MAX_SAVED_RETRIES)
        self._left[account] = min(MAX_SAVED_RETRIES, left + self.share)
        while len(self._left) > MAX_ACCOUNTS:
            self._left.popitem(last=False)

    def take_retry(self, account: str, failed: FailedAttempt) -> bool:
        """Return whether to retry; if so, the retry is taken from the budget.

        A call that was certainly not run may always be retried; one that was run, or
        may have been, only if it is repeatable.
        """
        if failed.answered or failed.tries >= MAX_ATTEMPTS:
            return False
        if failed.ran is not errors.ExecutionStatus.NOT_RUN and not failed.repeatable:
            return False
        left = self._left.get(account, MAX_SAVED_RETRIES)
        if left < 1.0:
            return False
        self._left[account] = left - 1.0
        return True
