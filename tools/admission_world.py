"""Seeded simulations of instances that share one target, which is always cold.

``python -m tools.admission_world 1000`` runs 1000 seeds of each kind and prints those
that fail.
"""

import heapq
import itertools
import random
import sys

from returns import pipeline, result

from cornelreach.targets import admission, ownership, permits, pool

POOL = "lj/reader"
NAMES = ("n1", "n2", "n3")
TICK_MS = 100
FAULTS = ("pause", "death", "cut", "platform_out", "platform_cut", "cold", "lossy")


class Target:
    """A target that never warms up and supports ``limit`` calls at a time."""

    def __init__(self, world, limit):
        self.world, self.limit = world, limit
        self.boot, self.running, self.max_running, self.served = "b0", {}, 0, 0
        self.history = [(0.0, "b0", 0)]

    def record_load(self):
        self.max_running = max(self.max_running, len(self.running))
        self.history.append((self.world.now, self.boot, len(self.running)))

    def turn_cold(self):
        self.boot = f"b{next(self.world.ids)}"
        self.running.clear()
        self.record_load()

    def call(self, boot, on_end):
        """Run a call; ``on_end`` is called with the boot and whether the call ran."""
        if boot != self.boot:
            return on_end(self.boot, False)
        run = next(self.world.ids)
        self.running[run] = boot
        self.record_load()

        def finish():
            if self.running.pop(run, None) is not None:
                self.served += 1
                self.record_load()
                on_end(boot, True)

        self.world.later(self.world.random.choice(self.world.run_durations_ms), finish)

    def report(self, asked_ms):
        """Return a report whose load is delayed by a random lag."""
        lag_ms = self.world.random.choice(self.world.report_lags_ms)
        taken_ms = self.world.now - lag_ms
        past = (entry for entry in reversed(self.history) if entry[0] <= taken_ms)
        _, boot, running = next(past, self.history[0])
        return permits.Report("e1", asked_ms, self.boot, boot, True, running, 0)


class Platform:
    """Stores the pool's ownership record as one versioned object."""

    def __init__(self):
        self.version, self.record, self.out = 1, None, False

    def write(self, attempt):
        if not self.out and attempt.version == self.version:
            self.version += 1
            self.record = attempt.record


class Instance:
    """An instance that sends calls, and may be the pool's owner or successor."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.rate = world.random.uniform(0.996, 1.004)
        self.offset_ms = world.random.uniform(0, 1e6)
        self.platform_cut = self.paused = False
        self.inbox = []
        self.start()

    def start(self):
        self.me = ownership.Member(self.name, f"{self.name}.{next(self.world.ids)}")
        self.pool_ownership = ownership.Ownership(POOL, self.me)
        self.owner = pool.PoolOwner(POOL, {"e1": self.world.limits})
        self.last_heartbeat_ms = self.last_poll_ms = 0.0
        self.inbox.clear()

    @property
    def clock(self):
        return self.world.now * self.rate + self.offset_ms

    @property
    def platform_reachable(self):
        return not (self.platform_cut or self.world.platform.out)

    def receive(self, action):
        if self.paused:
            self.inbox.append(action)
        else:
            action()

    def wake(self):
        self.paused = False
        inbox, self.inbox = self.inbox, []
        self.world.random.shuffle(inbox)
        for action in inbox:
            action()

    def tick(self):
        if self.paused:
            return
        now_ms = self.clock
        self.pool_ownership.advance(now_ms)
        if self.platform_reachable:
            self.sync_with_platform(now_ms)
        self.owner.set_admission_right(self.pool_ownership.admission_right(now_ms))
        for decision in self.owner.advance(now_ms):
            self.world.answer(decision.request, decision.answer)
        if now_ms - self.last_heartbeat_ms >= ownership.HEARTBEAT_MS:
            self.last_heartbeat_ms = now_ms
            self.send_heartbeat(now_ms)
        if (
            self.pool_ownership.role is ownership.Role.OWNER
            and now_ms - self.last_poll_ms > 400
        ):
            self.last_poll_ms = now_ms
            self.poll()
        if self.world.random.random() < 0.15:
            Call(self.world, self)

    def sync_with_platform(self, now_ms):
        platform = self.world.platform
        for member, died_ms in self.world.dead.items():
            if self.world.now - died_ms > 3_000:
                self.pool_ownership.observe_death(member, now_ms)
        if self.world.random.random() < 0.5:
            self.pool_ownership.observe_record(
                platform.version, platform.record, now_ms
            )
        live = [
            one.me
            for one in self.world.instances
            if one is self or self.world.reaches(self, one)
        ]
        attempt = self.pool_ownership.propose(live, now_ms)
        if attempt is not None:
            delay_ms = self.world.random.choice((5, 50, 3_000))
            self.world.later(delay_ms, lambda: platform.write(attempt))

    def send_heartbeat(self, now_ms):
        heartbeat_message = self.pool_ownership.heartbeat(
            now_ms, self.platform_reachable
        )
        if heartbeat_message is None:
            return
        successor = self.world.by_name[heartbeat_message.record.successor.name]

        def arrive():
            answer = successor.pool_ownership.receive_heartbeat(
                heartbeat_message, successor.clock
            )
            if answer is not None:
                self.world.send(successor, self, lambda: self.receive_reply(answer))

        self.world.send(self, successor, arrive)

    def receive_reply(self, answer):
        if isinstance(answer, ownership.Ack):
            self.pool_ownership.receive_ack(answer, self.clock)
        else:
            self.pool_ownership.receive_stale(answer, self.clock)

    def poll(self):
        asked_ms, boot = self.clock, self.me
        report = self.world.target.report(asked_ms)

        def arrive():
            if boot == self.me:
                self.owner.set_admission_right(
                    self.pool_ownership.admission_right(self.clock)
                )
                self.owner.report(report, self.clock)

        self.world.later(5, lambda: self.receive(arrive))


class Call:
    """One call of a sender, from the permit request to the release."""

    def __init__(self, world, sender):
        record = sender.pool_ownership.record
        if record is None:
            return
        self.world, self.sender = world, sender
        self.assumed_owner = world.by_name[record.owner.name]
        self.boot = sender.me
        self.name = f"c{next(world.ids)}"
        self.asked_ms, self.open = sender.clock, True
        world.calls[self.name] = self
        request = permits.PermitRequest(
            self.name, sender.name, self.boot.boot, POOL, "a", 100
        )
        world.send(sender, self.assumed_owner, lambda: self.ask(request))

    def ask(self, request):
        owner = self.assumed_owner
        if owner.pool_ownership.role is not ownership.Role.OWNER:
            return
        owner.owner.set_admission_right(
            owner.pool_ownership.admission_right(owner.clock)
        )
        answer = owner.owner.request(request, owner.clock)
        if isinstance(answer.value_or(None), permits.Permit):
            self.world.answer(self.name, answer)

    def answered(self, answer):
        if not pipeline.is_successful(answer) or not self.open:
            return
        if self.sender.me != self.boot:
            return
        self.open = False
        permit = answer.unwrap()
        allowed = permits.check(permit, self.asked_ms, self.sender.clock, None)
        if not pipeline.is_successful(allowed):
            return self.release(permits.Outcome.UNUSED, "")
        self.world.later(
            self.world.random.choice(self.world.delivery_ms),
            lambda: self.world.target.call(permit.boot, self.finish_call),
        )

    def finish_call(self, boot, ran):
        outcome = permits.Outcome.DONE if ran else permits.Outcome.REJECTED
        self.sender.receive(lambda: self.release(outcome, boot))

    def release(self, outcome, boot):
        if self.sender.me == self.boot:
            message = permits.Release(self.name, "e1", outcome, boot)
            owner = self.assumed_owner
            self.world.send(
                self.sender, owner, lambda: owner.owner.release(message, owner.clock)
            )


class World:
    """Simulates time, the network and faults."""

    delays_ms = (1, 1, 5, 50, 1_500)
    delivery_ms = (1, 20, permits.DELIVERY_MS)
    run_durations_ms = (50, 200, 800, 9_000)
    report_lags_ms = (0, 500, admission.REPORT_LAG_MS)
    fault_durations_ms = (300, 2_500, 6_000, 15_000)

    def __init__(self, seed, faults=FAULTS, limit=None):
        self.random = random.Random(seed)
        self.now, self.heap, self.ids = 0.0, [], itertools.count(1)
        limit = limit or self.random.choice((1, 1, 2))
        self.limits = admission.Limits(cold_sequences=limit)
        self.target, self.platform = Target(self, limit), Platform()
        self.cuts, self.loss, self.dead, self.calls = set(), 0.02, {}, {}
        self.instances = [Instance(self, name) for name in NAMES]
        self.by_name = {one.name: one for one in self.instances}
        self.faults, self.rivals = faults, 0

    def later(self, delay_ms, action):
        heapq.heappush(self.heap, (self.now + delay_ms, next(self.ids), action))

    def send(self, source, destination, action):
        """Deliver a message after a delay, possibly twice or not at all."""
        boot = destination.me
        for _ in range(2 if self.random.random() < 0.05 else 1):
            cut = frozenset((source.name, destination.name)) in self.cuts
            if source is not destination and (cut or self.random.random() < self.loss):
                continue
            delay_ms = self.random.choice(self.delays_ms)
            arrive = self._arrival(destination, boot, action)
            self.later(delay_ms, lambda act=arrive: destination.receive(act))

    def _arrival(self, destination, boot, action):
        def arrive():
            if destination.me == boot:
                action()

        return arrive

    def answer(self, name, answer):
        call = self.calls[name]
        self.send(call.assumed_owner, call.sender, lambda: call.answered(answer))

    def run(self, seconds):
        for one in self.instances:
            self.later(self.random.uniform(0, TICK_MS), lambda who=one: self.tick(who))
        self.later(8_000, self.inject)
        while self.heap and self.heap[0][0] <= seconds * 1_000:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        return self

    def tick(self, who):
        who.tick()
        rights = [
            one.pool_ownership.admission_right(one.clock).exclusive
            for one in self.instances
        ]
        self.rivals = max(self.rivals, sum(rights))
        self.later(TICK_MS, lambda: self.tick(who))

    def inject(self):
        """Inject one fault, or two at once."""
        for _ in range(self.random.choice((1, 1, 2))):
            one = self.random.choice(self.instances + self.owners())
            duration_ms = self.random.choice(self.fault_durations_ms)
            getattr(self, self.random.choice(self.faults))(one, duration_ms)
        self.later(self.random.choice((200, 1_500, 6_000)), self.inject)

    def reaches(self, one, other):
        """Return whether one instance considers another live, rightly or wrongly."""
        cut = frozenset((one.name, other.name)) in self.cuts
        return not (cut or other.paused) or self.random.random() < 0.1

    def owners(self):
        """Return each owner twice, so that faults affect owners more often."""
        owner = ownership.Role.OWNER
        return [one for one in self.instances if one.pool_ownership.role is owner] * 2

    def pause(self, one, duration_ms):
        one.paused = True
        self.later(duration_ms, one.wake)

    def death(self, one, duration_ms):
        self.dead[one.me] = self.now
        one.start()

    def cut(self, one, duration_ms):
        other = self.random.choice([each for each in self.instances if each != one])
        pair = frozenset((one.name, other.name))
        self.cuts.add(pair)
        self.later(duration_ms, lambda: self.cuts.discard(pair))

    def platform_out(self, one, duration_ms):
        self.platform.out = True
        self.later(3 * duration_ms, lambda: setattr(self.platform, "out", False))

    def platform_cut(self, one, duration_ms):
        one.platform_cut = True
        self.later(duration_ms, lambda: setattr(one, "platform_cut", False))

    def cold(self, one, duration_ms):
        self.target.turn_cold()

    def lossy(self, one, duration_ms):
        self.loss = 0.4
        self.later(duration_ms, lambda: setattr(self, "loss", 0.02))


class SlowWorld(World):
    """Short calls and slow messages: permits are used just before they expire."""

    delays_ms = (1, 1, 1_500)
    delivery_ms = (permits.DELIVERY_MS,)
    run_durations_ms = (400, 1_500)
    report_lags_ms = (admission.REPORT_LAG_MS,)

    def __init__(self, seed):
        super().__init__(seed, faults=("pause", "cut", "platform_out"), limit=1)


class SplitWorld(World):
    """Long partitions between the instances and from the platform."""

    run_durations_ms = (50, 800)
    fault_durations_ms = (6_000, 15_000, 30_000)

    def __init__(self, seed):
        super().__init__(seed, faults=("cut", "cut", "platform_cut", "death"), limit=1)


def allow(*_):
    """Replace ``permits.check`` in a sender that checks nothing."""
    return result.Success(None)


def main():
    """Run seeds 0 to N-1 of each kind and print those that exceed a limit."""
    for kind in (World, SlowWorld, SplitWorld):
        served = 0
        for seed in range(int(sys.argv[1])):
            ran = kind(seed).run(seconds=90)
            target = ran.target
            served += target.served
            if target.max_running > target.limit or ran.rivals > 1:
                print(f"{kind.__name__} seed {seed}: {target.max_running} calls")
                print(f"with a limit of {target.limit}, {ran.rivals} owners at once")
        print(f"{kind.__name__}: {served} calls served")


if __name__ == "__main__":
    main()
