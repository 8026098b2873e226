"""What the owner of a pool spends on a request, and what its directory holds."""

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
HELD = (10_000, 20_000, 40_000, 80_000)
REQUESTS = 200


def owned_pool(targets: int) -> tuple[permitservice.OwnedPool, timers.VirtualTimers]:
    """Return an owned pool whose engines are warm, followed by no task."""
    clock = timers.VirtualTimers()
    engines = {
        one.name: one._replace(max_sequences=64, max_tokens=10**8, cold_ms=1)
        for one in (sites.target(number) for number in range(targets))
    }
    prompts = cachemanager.CacheManager(client.Client(None), clock, random.Random(1))
    place = cachemanager.PoolLocation("dc0/m0/0", sites.OWN, {"dc0/m0/0": sites.OWN})
    owned = permitservice.PoolSettings(place, engines, {}, items.Model("m0"))
    made = permitservice.OwnedPool("dc0/m0/0", owned, prompts)
    made.owner.set_admission_right(admission.AdmissionRight(1, True, 0.0))
    for name in engines:
        report = permits.Report(name, 0.0, "b", "b", False, 0, 0)
        made.owner.report(report, 0.0)
        prompts.directory.apply_listing(
            name, "b", 1, [f"{n:016x}" for n in range(2_000)]
        )
    return made, clock


def request_us(targets: int, piece_count: int) -> float:
    """Return the time of choice, permit and release of one request."""
    made, clock = owned_pool(targets)
    numbers = itertools.count()

    def one() -> None:
        clock.advance(50.0)
        request = wires.ask(piece_count, next(numbers))
        answer = made.owner.request(request, clock.now_ms()).unwrap()
        clock.advance(1.0)
        done = permits.Release(
            request.request, answer.target, permits.Outcome.DONE, "b", 50.0
        )
        made.owner.release(done, clock.now_ms())
        made.cache_manager.record_release(request.request, True)

    return fit.cpu_us(one, REQUESTS)


def advance_us(targets: int) -> float:
    """Return the time of one look at a pool in which nothing waits."""
    made, clock = owned_pool(targets)
    return fit.cpu_us(lambda: made.owner.advance(clock.now_ms()), REQUESTS)


def summary_us(targets: int) -> float:
    """Return the time of the note that an owner publishes."""
    made, clock = owned_pool(targets)
    return fit.cpu_us(lambda: made.wait_ms(clock.now_ms()), REQUESTS)


def filled(piece_count: int) -> directory.Directory:
    """Return a directory of pieces that two sources hold."""
    made = directory.Directory()
    keys = [f"{n * 0x9E3779B97F4A7C15 % 2**64:016x}" for n in range(piece_count)]
    for name in ("engine", "store"):
        made.apply_listing(name, "b", 1, keys)
    return made


def measure() -> None:
    """Print the lines of the owner's work."""
    times = [request_us(16, size) for size in PIECES]
    fit.show("Owner: choice, permit, release, 16 targets, us by pieces", PIECES, times)
    times = [request_us(size, 20) for size in TARGETS]
    fit.show("Owner: the same with 20 pieces, us by targets", TARGETS, times)
    times = [advance_us(size) for size in TARGETS]
    fit.show("Owner: a look with nothing waiting, us by targets", TARGETS, times)
    times = [summary_us(size) for size in TARGETS]
    fit.show("Owner: its expected wait, us by targets", TARGETS, times)
    sizes = [fit.traced_bytes(lambda n=size: filled(n)) for size in HELD]
    fit.show("Directory: bytes by pieces of two holders", HELD, sizes)
