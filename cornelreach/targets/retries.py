"""Retry budgets: whether a failed call is retried, per client account.

Only the instance that received the call retries it; owners of pools, clients and
targets never do. Every first attempt adds a fraction of a retry to the budget::

    budgets = retries.RetryBudgets(share=0.1)
    budgets.first_try("tirnica")
    if budgets.may_retry("tirnica", retries.Failed(tries=1, ran=errors.Ran.NOT_RUN)):
        ...
"""

import collections
import typing

from cornelreach.util import errors

MAX_ATTEMPTS = 3
MOST_SAVED_RETRIES = 10.0
ACCOUNTS_KEPT = 1_024


class Failed(typing.NamedTuple):
    """A failed attempt; ``answered`` if the caller already has part of the answer."""

    tries: int
    ran: errors.Ran
    repeatable: bool = True
    answered: bool = False


class RetryBudgets:
    """The remaining retries of each account."""

    def __init__(self, share: float) -> None:
        self.share = share
        self._left: collections.OrderedDict[str, float] = collections.OrderedDict()

    def first_try(self, account: str) -> None:
        """Add ``share`` of a retry for a call's first attempt."""
        left = self._left.pop(account, MOST_SAVED_RETRIES)
        self._left[account] = min(MOST_SAVED_RETRIES, left + self.share)
        while len(self._left) > ACCOUNTS_KEPT:
            self._left.popitem(last=False)

    def may_retry(self, account: str, failed: Failed) -> bool:
        """Return whether to retry; if so, the retry is taken from the budget.

        A call that was certainly not run may always be retried; one that was run, or
        may have been, only if it is repeatable.
        """
        if failed.answered or failed.tries >= MAX_ATTEMPTS:
            return False
        if failed.ran is not errors.Ran.NOT_RUN and not failed.repeatable:
            return False
        left = self._left.get(account, MOST_SAVED_RETRIES)
        if left < 1.0:
            return False
        self._left[account] = left - 1.0
        return True
