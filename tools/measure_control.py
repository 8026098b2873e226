"""Measures the cost of a pool's admission: CPU time per request, memory per target.

Usage:
  measure_control [--requests=<n>]

Options:
  --requests=<n>  Requests measured for each row [default: 2000].

Measures one request with its release at an owner of 4, 8, 12 and 16 targets, with free
capacity and with 256 calls waiting, and the memory of owners of 16 to 128 targets and
of queues of 32 to 256 calls. The slopes are least-squares fits over four sizes.
"""

import gc
import statistics
import sys
import time
import tracemalloc

import docopt

from cornelreach.targets import admission, permits, pool

SIZES = (4, 8, 12, 16)
MEMORY_SIZES = (16, 32, 64, 128)
QUEUE_SIZES = (32, 64, 128, 256)
WAITING_CALLS = 256
LIMITS = admission.Limits(max_sequences=64, max_tokens=10**6)
FAR_MS = 1e12
STEP_MS = 50.0


def owner_of(targets: int, limits: admission.Limits = LIMITS) -> pool.PoolOwner:
    """Return an owner of warm targets."""
    names = [f"e{number}" for number in range(targets)]
    owner = pool.PoolOwner("p", dict.fromkeys(names, limits))
    for name in names:
        owner.report(permits.Report(name, 0.0, "b", "b", False, 0, 0), 0.0)
    return owner


def permit_request(number: int, tokens: int = 300) -> permits.PermitRequest:
    """Return a permit request of one of ten accounts."""
    account = f"account{number % 10}"
    return permits.PermitRequest(
        request=f"n/{number}",
        instance="n",
        instance_boot="nb",
        pool="p",
        account=account,
        prompt_tokens=tokens,
        answer_tokens=32,
        deadline_in_ms=FAR_MS,
    )


def fill(owner: pool.PoolOwner, count: int, start: int) -> None:
    """Queue calls that wait until a target has no other calls."""
    for name in owner.pool_targets:
        target_admission = owner.pool_targets[name].admission
        target_admission.grant(f"held by {name}", admission.Load(1, 1), FAR_MS, 0.0)
    for number in range(start, start + count):
        owner.request(permit_request(number, tokens=LIMITS.max_tokens), 0.0)


def request_us(targets: int, waiting: int, requests: int) -> float:
    """Return the CPU time of one request with its release, in microseconds."""
    owner = owner_of(targets)
    if waiting:
        fill(owner, waiting, start=10**6)
    now_ms = permits.POLL_MS * 0.1
    start_s = time.process_time()
    for number in range(requests):
        now_ms += STEP_MS
        permit = owner.request(permit_request(number), now_ms).unwrap()
        release = permits.Release(
            permit.permit, permit.target, permits.Outcome.DONE, "b", 50.0
        )
        owner.release(release, now_ms + 1)
    return (time.process_time() - start_s) / requests * 1e6


def traced_bytes(build) -> int:
    """Return the memory allocated by building an object, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def busy_owner(targets: int) -> pool.PoolOwner:
    """Return an owner with one running call at each target."""
    owner = owner_of(targets)
    for number in range(targets):
        owner.request(permit_request(number), 0.0)
    return owner


def queueing_owner(calls: int) -> pool.PoolOwner:
    """Return an owner with calls waiting."""
    owner = owner_of(4)
    fill(owner, calls, start=0)
    return owner


def slope(sizes: tuple[int, ...], values: list[float]) -> str:
    """Return the fitted line and the largest residual as text."""
    line = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(sizes, values, strict=True)
    )
    return (
        f"{line.slope:.2f} each + {line.intercept:.0f}, largest residual {residual:.0f}"
    )


def main() -> None:
    """Print the rows and the slopes."""
    requests = int(docopt.docopt(__doc__)["--requests"])
    for waiting in (0, WAITING_CALLS):
        times = [request_us(size, waiting, requests) for size in SIZES]
        row = "  ".join(f"{one:.0f}" for one in times)
        print(f"us per request with release, {waiting} waiting, {SIZES} targets: {row}")
        print(f"  slope per target: {slope(SIZES, times)}")
    targets = [
        float(traced_bytes(lambda n=size: busy_owner(n))) for size in MEMORY_SIZES
    ]
    print(f"bytes of an owner of {MEMORY_SIZES} targets: {targets}")
    print(f"  slope per target with one running call: {slope(MEMORY_SIZES, targets)}")
    calls = [
        float(traced_bytes(lambda n=size: queueing_owner(n))) for size in QUEUE_SIZES
    ]
    print(f"bytes of a queue of {QUEUE_SIZES} calls: {calls}")
    print(f"  slope per waiting call: {slope(QUEUE_SIZES, calls)}")


if __name__ == "__main__":
    sys.exit(main())
