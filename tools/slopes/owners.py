"""CPU time that a pool's owner spends on a request, and memory of its directory."""

import itertools
import random

from cornelreach.http import client
from cornelreach.pools import permitservice
from cornelreach.prompts import cachemanager, directory
from cornelreach.settings import items
from cornelreach.targets import admission, permits
from cornelreach.util import timers
from tools.slopes import fit, sites, wires

PIECES = (8, 32, 64, 128)
TARGETS = (4, 8, 12, 16)
DIRECTORY_PIECES = (10_000, 20_000, 40_000, 80_000)
REQUESTS = 200


def owned_pool(targets: int) -> tuple[permitservice.OwnedPool, timers.VirtualTimers]:
    """Return an owned pool of warm engines, without background tasks, and its clock."""
    clock = timers.VirtualTimers()
    engines = {
        one.name: one._replace(max_sequences=64, max_tokens=10**8, cold_ms=1)
        for one in (sites.target(number) for number in range(targets))
    }
    prompts = cachemanager.CacheManager(client.Client(None), clock, random.Random(1))
    location = cachemanager.PoolLocation(
        "dc0/m0/0", sites.OWN_DATA_CENTRE, {"dc0/m0/0": sites.OWN_DATA_CENTRE}
    )
    settings = permitservice.PoolSettings(location, engines, {}, items.Model("m0"))
    pool = permitservice.OwnedPool("dc0/m0/0", settings, prompts)
    pool.owner.set_admission_right(admission.AdmissionRight(1, True, 0.0))
    for name in engines:
        report = permits.Report(name, 0.0, "b", "b", False, 0, 0)
        pool.owner.report(report, 0.0)
        prompts.directory.apply_listing(
            name, "b", 1, [f"{n:016x}" for n in range(2_000)]
        )
    return pool, clock


def request_us(targets: int, piece_count: int) -> float:
    """Return the CPU time of placement, permit and release of one request."""
    pool, clock = owned_pool(targets)
    numbers = itertools.count()

    def one_request() -> None:
        clock.advance(50.0)
        request = wires.permit_request(piece_count, next(numbers))
        permit = pool.owner.request(request, clock.now_ms()).unwrap()
        clock.advance(1.0)
        release = permits.Release(
            request.request, permit.target, permits.Outcome.DONE, "b", 50.0
        )
        pool.owner.release(release, clock.now_ms())
        pool.cache_manager.record_release(request.request, True)

    return fit.cpu_us(one_request, REQUESTS)


def advance_us(targets: int) -> float:
    """Return the CPU time of one ``advance`` of a pool without waiting requests."""
    pool, clock = owned_pool(targets)
    return fit.cpu_us(lambda: pool.owner.advance(clock.now_ms()), REQUESTS)


def wait_us(targets: int) -> float:
    """Return the CPU time of the expected wait that an owner publishes."""
    pool, clock = owned_pool(targets)
    return fit.cpu_us(lambda: pool.wait_ms(clock.now_ms()), REQUESTS)


def filled_directory(piece_count: int) -> directory.Directory:
    """Return a directory of pieces that are each held by two targets."""
    built = directory.Directory()
    keys = [f"{n * 0x9E3779B97F4A7C15 % 2**64:016x}" for n in range(piece_count)]
    for name in ("engine", "store"):
        built.apply_listing(name, "b", 1, keys)
    return built


def measure() -> None:
    """Print the fits for the owner's operations."""
    times = [request_us(16, size) for size in PIECES]
    fit.print_fit(
        "Owner: placement, permit, release, 16 targets, us by pieces", PIECES, times
    )
    times = [request_us(size, 20) for size in TARGETS]
    fit.print_fit("Owner: the same with 20 pieces, us by targets", TARGETS, times)
    times = [advance_us(size) for size in TARGETS]
    fit.print_fit("Owner: advance with nothing waiting, us by targets", TARGETS, times)
    times = [wait_us(size) for size in TARGETS]
    fit.print_fit("Owner: its expected wait, us by targets", TARGETS, times)
    sizes = [
        fit.traced_bytes(lambda n=size: filled_directory(n))
        for size in DIRECTORY_PIECES
    ]
    fit.print_fit(
        "Directory: bytes by pieces, each held by two targets", DIRECTORY_PIECES, sizes
    )
