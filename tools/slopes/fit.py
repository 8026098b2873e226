"""Linear fits with their standard error; CPU time and memory of an operation."""

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
    max_residual: float

    def at(self, size: float) -> float:
        """Return the fitted value for a size."""
        return self.intercept + self.slope * size


def fit(sizes: typing.Sequence[float], values: typing.Sequence[float]) -> Slope:
    """Fit a line to at least three points by least squares."""
    line = statistics.linear_regression(sizes, values)
    residuals = [
        value - line.intercept - line.slope * size
        for size, value in zip(sizes, values, strict=True)
    ]
    mean = statistics.fmean(sizes)
    square_sum = sum((size - mean) ** 2 for size in sizes)
    variance = sum(residual**2 for residual in residuals) / (len(residuals) - 2)
    error = (variance / square_sum) ** 0.5
    return Slope(line.slope, line.intercept, error, max(map(abs, residuals)))


def print_fit(
    title: str, sizes: typing.Sequence[float], values: typing.Sequence[float]
) -> Slope:
    """Print the points of a measurement and the line fitted to them, and return it."""
    line = fit(sizes, values)
    points = "  ".join(
        f"{size}: {value:.4g}" for size, value in zip(sizes, values, strict=True)
    )
    print(f"{title}\n    {points}")
    print(
        f"    {line.slope:.4g} (+-{line.slope_error:.2g}) each + {line.intercept:.4g},"
        f" largest residual {line.max_residual:.2g}",
        flush=True,
    )
    return line


def cpu_us(operation: typing.Callable[[], object], repeats: int) -> float:
    """Return the lowest CPU time per operation of five rounds, in microseconds."""
    rounds = []
    for _ in range(5):
        start_s = time.process_time()
        for _ in range(repeats):
            operation()
        rounds.append((time.process_time() - start_s) / repeats * 1e6)
    return min(rounds)


def traced_bytes(build: typing.Callable[[], object]) -> int:
    """Return the memory allocated by building an object, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size_bytes
