"""Rollouts of software versions: from the order to its final state, over a fleet."""

import unittest

import loguru

from cornelreach.gateway import datagrams, releaseanalysis, releaseexchange
from cornelreach.platform import releases, results
from test.gateway import harness, releasefleet

SHARE, SLACK = harness.BOUNDS.exposure_share, harness.BOUNDS.exposure_slack


def check_exposure(test, fleet):
    """Check the bounds on what a bad version gets."""
    before = [one for one in fleet.sent if one[0] <= fleet.duration_s * 1_000]
    bad = [age_ms for age_ms, is_bad in fleet.sent if is_bad]
    if not bad:
        return
    test.assertLessEqual(len(before), SHARE * fleet.requests + SLACK)
    if len(bad) >= 50:
        late = [one for one in fleet.sent if one[0] > bad[49] + 3_000]
        test.assertEqual(late, [])


class Case(unittest.TestCase):
    """Tests with fleets."""

    def fleet(self, **options):
        """Return a fleet that ends with the test."""
        fleet = releasefleet.Fleet(**options)
        self.addCleanup(fleet.close)
        return fleet


class Rollouts(Case):
    """Good and bad versions on a fleet whose parts all work."""

    # Guards against a good version that is left unused or taken back.
    def test_a_good_version_gets_all_requests_and_has_succeeded_by_the_deadline(self):
        for size in (1, 2, 7):
            fleet = self.fleet(size=size)
            fleet.play()
            self.assertEqual(fleet.state(), "succeeded", size)
            self.assertEqual(fleet.old_in_flight(), 0, size)
            self.assertEqual({kind for _, kind in fleet.outcomes}, {"answered"}, size)
            before = [age for age, _ in fleet.sent if age < 0.5 * 12_000]
            self.assertGreater(len(before), 0.02 * fleet.requests / 2, size)

    # Guards against a bad version that gets more than its share, or stays.
    def test_a_bad_version_is_reverted_within_its_share(self):
        bads = (
            releasefleet.Bad(failure_share=0.9),
            releasefleet.Bad(failure_share=0.3),
            releasefleet.Bad(slowdown=5.0),
            releasefleet.Bad(failure_share=0.5, from_ms=5_000),
            releasefleet.Bad(failure_share=0.5, routes=("/b/",)),
        )
        for bad in bads:
            fleet = self.fleet(bad=bad)
            fleet.play()
            self.assertEqual(fleet.state(), "reverted", bad)
            check_exposure(self, fleet)


class Failures(Case):
    """Rollouts while instances, links or the store fail."""

    def play(self, at_ms, fail, span_ms=0, **options):
        """Play a rollout in which something fails at a time, and return the fleet."""
        fleet = self.fleet(**options)
        fleet.play(at_ms)
        fail(fleet)
        fleet.run(fleet.duration_s * 1_000 - fleet.age_ms() + span_ms)
        return fleet

    def first_collectors(self, fleet):
        """Return the instances that collect and write first."""
        one = fleet.instances["i0"]
        return one.releases.exchange.collectors(one.release)

    def both(self, at_ms, fail, size=7):
        """Return the fleets of a good and of a bad version."""
        bad = releasefleet.Bad(failure_share=0.5)
        for state, one in (("succeeded", None), ("reverted", bad)):
            fleet = self.play(at_ms, fail, size=size, bad=one)
            self.assertEqual(fleet.state(), state)
            check_exposure(self, fleet)
            yield fleet

    # Guards against a decision that ends with the instances that were to make it.
    def test_other_instances_judge_and_write_where_the_first_ones_end(self):
        def kill(fleet):
            for name in self.first_collectors(fleet):
                fleet.kill(name)

        for at_ms in (100, 600, 6_700):
            list(self.both(at_ms, kill))

    # Guards against a request given to a bad version by an instance that hears nothing.
    def test_an_instance_without_links_to_the_others_follows_the_store(self):
        for at_ms in (100, 6_700):
            for fleet in self.both(at_ms, lambda fleet: fleet.cut.add("i3")):
                final = fleet.instances["i3"].release.phase.name.lower()
                self.assertEqual(final, fleet.state())

    def test_lost_datagrams_delay_nothing_for_long(self):
        def lose(fleet):
            fleet.loss = 0.2

        list(self.both(50, lose))

    # Guards against a verdict that waits for the store, or is lost with it.
    def test_a_store_that_is_away_is_written_to_on_its_return(self):
        def leave(fleet):
            fleet.store.away = True
            fleet.loop.call_later(4, setattr, fleet.store, "away", False)

        for at_ms in (20, 350, 6_500):
            list(self.both(at_ms, leave))

    def test_a_write_whose_answer_is_lost_is_read_back(self):
        def lose(fleet):
            fleet.store.lose_answers = True

        for fleet in self.both(350, lose):
            written = [one for one in fleet.store.status_writes if one[1] == "Success"]
            self.assertLessEqual(len(written), 3)

    def test_a_compacted_store_is_listed_again(self):
        def compact(fleet):
            fleet.store.store.compacted = fleet.store.store.revision + 1

        list(self.both(500, compact))

    # Guards against all instances beginning an order anew, past its deadline.
    def test_after_a_restart_of_all_instances_the_order_keeps_its_deadline(self):
        def restart(fleet):
            for name in list(fleet.instances):
                fleet.kill(name)
            fleet.start()

        for at_ms in (2_000, 5_000):
            list(self.both(at_ms, restart))

    # Guards against a frozen writer that overwrites what the others decided.
    def test_a_write_on_an_outdated_revision_changes_nothing(self):
        fleet = self.play(2_000, lambda fleet: None, bad=releasefleet.Bad(0.5))
        before = fleet.store.store.records[releasefleet.KEY]
        late = fleet.instances["i1"]
        late.release.state = ""
        late.release.version = before.version - 1
        late.release.phase = releaseanalysis.Phase.SHIFTING
        late.release.complete_until_ms = fleet.clock.now_ms() + 2_000
        fleet.run(1_500)
        self.assertEqual(fleet.store.store.records[releasefleet.KEY], before)
        self.assertEqual(late.release.phase.name, "REVERTED")

    # Guards against the older copy's order being taken for one without a verdict.
    def test_a_status_that_an_older_copy_lacks_is_written_again(self):
        fleet = self.play(2_000, lambda fleet: None, bad=releasefleet.Bad(0.5))
        store = fleet.store.store
        record = store.records[releasefleet.KEY]
        store.revision += 1
        older = record._replace(version=store.revision, status=None)
        store.records[releasefleet.KEY] = older
        store.history.append(older)
        fleet.run(2_500)
        self.assertEqual(fleet.state(), "reverted")

    def test_an_instance_whose_watch_is_slow_learns_the_order_from_the_others(self):
        fleet = self.fleet(bad=releasefleet.Bad(0.5))
        fleet.start()
        fleet.run(500)
        late = fleet.instances["i2"]
        late.tasks[0].cancel()
        fleet.play_on()
        fleet.run(800)
        self.assertEqual(late.release.identity, fleet.instances["i0"].release.identity)
        fleet.run(11_200)
        check_exposure(self, fleet)
        self.assertEqual(late.release.phase.name, "REVERTING")


class Datagrams(Case):
    """Reports and directives as they are sent and received."""

    # Guards against an order that goes on for ever though the store has none.
    def test_an_order_that_only_a_datagram_names_ends_with_the_next_proof(self):
        fleet = self.fleet(size=1)
        fleet.start()
        fleet.run(500)
        one = fleet.instances["i0"]
        order = datagrams.ReleaseOrder("s", "2.0", "7", 12_000.0)
        directive = datagrams.ReleaseDirective("x", "b", 1, order, 0, 1.0, 0.07)
        one.releases.exchange.handle_directive(directive)
        self.assertEqual(one.release.identity, ("s", "2.0", "7"))
        fleet.run(11_000)
        self.assertIsNone(one.release)
        one.releases.exchange.handle_directive(directive)
        self.assertIsNone(one.release)
        self.assertEqual(fleet.store.status_writes, [])

    # Guards against a report that is too long being dropped, with all its counts.
    def test_a_report_on_many_routes_is_split_into_datagrams(self):
        counts = datagrams.RouteCounts(2**31, 2**31, (2**31,) * 20)
        routes = {f"route-{number}" * 4: (counts, counts) for number in range(40)}
        order = datagrams.ReleaseOrder("s" * 200, "v" * 200, "c" * 200, 12_000.0)
        routes["x" * 2_000] = counts, counts
        report = datagrams.ReleaseReport("i", "b", 1, order, 0, 1.0, 0, routes)
        parts = datagrams.release_reports(report)
        found = {}
        for part in parts:
            data = datagrams.encode(part)
            self.assertLessEqual(len(data), datagrams.MAX_BYTES)
            found |= datagrams.decode(data).counts
        self.assertEqual(len(found), 40)
        longest = releases.MAX_TEXT
        order = datagrams.ReleaseOrder(*["\u6f22" * longest] * 2, "1" * 20, 12_000.0)
        reason = "r" * releaseexchange.MAX_REASON_BYTES
        directive = datagrams.ReleaseDirective(
            "i", "b", 1, order, 0, 1.0, 1.0, 1, reason
        )
        self.assertLessEqual(len(datagrams.encode(directive)), datagrams.MAX_BYTES)
        empty = datagrams.release_reports(report._replace(counts={}))
        self.assertEqual(len(empty), 1)

    # Guards against unsound numbers from the network ending a decision.
    def test_unsound_reports_and_directives_change_nothing(self):
        fleet = self.fleet(size=2)
        fleet.play(2_000)
        one = fleet.instances["i0"]
        exchange, age_ms = one.releases.exchange, fleet.age_ms()
        order = one.release.wire_order()
        for number in (-1, 2**62, float("nan"), float("inf"), -float("inf")):
            count = -1 if number != number or abs(number) > 2**63 else int(number)
            row = datagrams.RouteCounts(count, count, (count,) * 30)
            exchange.handle_report(
                datagrams.ReleaseReport(
                    "x", "b", 1, order, -9, number, count, {"r": (row, row)}
                )
            )
            exchange.handle_directive(
                datagrams.ReleaseDirective("x", "b", 1, order, -9, number, number)
            )
        fleet.run(400)
        self.assertEqual(one.release.phase, releaseanalysis.Phase.OBSERVING)
        now_ms = fleet.clock.now_ms()
        self.assertLess(abs(one.release.age_ms(now_ms) - age_ms - 400), 50)


class Orders(Case):
    """Orders that change, end early, or make no sense."""

    def sent_since(self, fleet, age_ms):
        """Return how many requests the new version got since an age."""
        return sum(one[0] > age_ms for one in fleet.sent)

    # Guards against a version that is used again because its order is gone.
    def test_a_deleted_order_closes_the_targets_that_are_listed(self):
        fleet = self.fleet()
        fleet.play(4_000)
        record = fleet.store.store.records[releasefleet.KEY]
        fleet.store.store.write(releasefleet.KEY, None, record.version)
        fleet.run(4_000)
        self.assertEqual(self.sent_since(fleet, 4_100), 0)
        for name in [one for one in fleet.targets if one.startswith("new")]:
            for one in fleet.instances.values():
                one.registry.drop(name, fleet.clock.now_ms())
        # Started again, without an order.
        fleet.loop.call_soon(fleet.start_targets, releasefleet.NEW)
        fleet.run(2_000)
        self.assertGreater(self.sent_since(fleet, 8_000), 100)

    def test_a_second_order_replaces_the_first(self):
        fleet = self.fleet(bad=releasefleet.Bad(0.9))
        fleet.play(3_000)
        self.assertEqual(fleet.state(), "reverted")
        record = fleet.store.store.records[releasefleet.KEY]
        fleet.store.store.write(releasefleet.KEY, None, record.version)
        fleet.run(200)
        fleet.bad = None
        fleet.order()
        fleet.run(12_000)
        self.assertEqual(fleet.state(), "succeeded")

    def test_without_targets_by_the_deadline_it_is_reverted(self):
        fleet = self.fleet(size=2)
        fleet.start_targets = lambda software: None
        fleet.play()
        self.assertEqual(fleet.state(), "reverted")

    # Guards against an order that ends the watch, or is taken for another one.
    def test_an_order_that_makes_no_sense_is_logged_and_changes_nothing(self):
        fleet = self.fleet(size=1)
        fleet.start()
        fleet.run(300)
        good = {"service": "s", "target": "2.0", "duration_s": 12}
        values = (
            {**good, "duration_s": 0},
            {**good, "duration_s": -3},
            {**good, "duration_s": "x"},
            {**good, "target": ""},
            {**good, "target": 2},
            {**good, "target": " \n"},
            {**good, "service": "t"},
            {"service": "s"},
            [],
            results.Unreadable("nested too deeply"),
        )
        lines = []
        handler = loguru.logger.add(lines.append, format="{extra[event]}")
        self.addCleanup(loguru.logger.remove, handler)
        for value in values:
            version = fleet.store.store.records.get(releasefleet.KEY)
            fleet.store.store.write(
                releasefleet.KEY, value, version.version if version else 0
            )
            fleet.run(300)
        fleet.store.store.write("rollouts/nobody", {**good, "service": "nobody"}, 0)
        fleet.run(300)
        numbers = [line.strip() for line in lines]
        self.assertEqual(numbers.count("2621"), len(values) + 1)
        self.assertEqual(fleet.store.status_writes, [])
        self.assertEqual(fleet.instances["i0"].releases.rules, {})

    # Guards against the full traffic of an instance that reads the order late.
    def test_targets_of_a_new_version_wait_until_the_orders_were_read(self):
        fleet = self.fleet(size=1)
        fleet.start()
        fleet.run(500)
        fleet.play_on(is_ordered=False)
        one = fleet.instances["i0"]
        reads = []

        async def read_now():
            reads.append(fleet.clock.now_ms())
            return len(reads) > 3

        one.releases.read_now = read_now
        fleet.sent.clear()
        fleet.loop.call_soon(fleet.start_targets, releasefleet.NEW)
        fleet.run(250)
        self.assertEqual(fleet.sent, [])
        fleet.run(1_000)
        self.assertGreater(len(fleet.sent), 50)

    def test_they_wait_no_longer_than_the_limit(self):
        fleet = self.fleet(size=1)
        fleet.start()
        fleet.run(500)
        fleet.play_on(is_ordered=False)
        fleet.store.away = True
        fleet.run(100)
        fleet.loop.call_soon(fleet.start_targets, releasefleet.NEW)
        fleet.run(1_450)
        self.assertEqual(fleet.sent, [])
        fleet.run(600)
        self.assertGreater(len(fleet.sent), 20)


if __name__ == "__main__":
    unittest.main()
