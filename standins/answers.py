"""Answers of the stand-in models: a reader answers yes or no, a drafter a notice."""

from cornelreach.util import hashing

CYCLE_WORDS = 8
NOTICE = ["notice", "to", "crews", ":", "the", "block", "is", "confirmed"]


def words(model: str, run: str, message: str, max_tokens: int) -> list[str]:
    """Return the words of an answer, one per token; equal calls get equal answers.

    A drafter's notice repeats the run's name, so that an answer delivered to the wrong
    call can be detected.
    """
    if "draft" not in model:
        odd = hashing.digest(message.encode())[0] % 2
        return ["yes" if odd else "no"]
    cycle = [run, *NOTICE][:CYCLE_WORDS]
    return [cycle[index % len(cycle)] for index in range(max(1, max_tokens))]
