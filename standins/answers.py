"""Answers of the stand-in models: a reader says yes or no, a drafter a notice."""

from cornelreach.util import hashing

RUN_EVERY_WORDS = 8
NOTICE = ["notice", "to", "crews", ":", "the", "block", "is", "confirmed"]


def words(model: str, run: str, message: str, max_tokens: int) -> list[str]:
    """Return the words of an answer, one a token; the same for the same call.

    A drafter's notice repeats the run, so that a crossed answer can be told.
    """
    if "draft" not in model:
        odd = hashing.digest(message.encode())[0] % 2
        return ["yes" if odd else "no"]
    cycle = [run, *NOTICE][:RUN_EVERY_WORDS]
    return [cycle[index % len(cycle)] for index in range(max(1, max_tokens))]
