"""Straight-line fits with their error; processor time and memory of an act."""

import gc
import statistics
import time
import tracemalloc
import typing


class Slope(typing.NamedTuple):
    """A least-squares line; ``slope_error`` is the standard error of the slope."""

    slope: float
    intercept: float
    slope_error: float
    worst_off: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: typing.Sequence[float], values: typing.Sequence[float]) -> Slope:
    """Return the line through at least three points."""
    line = statistics.linear_regression(sizes, values)
    offs = [
        value - line.intercept - line.slope * size
        for size, value in zip(sizes, values, strict=True)
    ]
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    variance = sum(off**2 for off in offs) / (len(offs) - 2)
    error = (variance / spread) ** 0.5
    return Slope(line.slope, line.intercept, error, max(map(abs, offs)))


def show(
    what: str, sizes: typing.Sequence[float], values: typing.Sequence[float]
) -> Slope:
    """Print the points and the line of one measurement."""
    line = fit(sizes, values)
    points = "  ".join(
        f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True)
    )
    print(f"{what}\n    {points}")
    print(
        f"    {line.slope:.4g} (+-{line.slope_error:.2g}) each + {line.intercept:.4g},"
        f" off by at most {line.worst_off:.2g}",
        flush=True,
    )
    return line


def cpu_us(act: typing.Callable[[], object], times: int) -> float:
    """Return the least processor time of one act over five rounds, in microseconds."""
    rounds = []
    for _ in range(5):
        begun = time.process_time()
        for _ in range(times):
            act()
        rounds.append((time.process_time() - begun) / times * 1e6)
    return min(rounds)


def traced_bytes(build: typing.Callable[[], object]) -> int:
    """Return the memory that a built object holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size_bytes
