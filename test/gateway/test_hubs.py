"""Hubs of a larger fleet: their selection, what they relay, and their failures."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.gateway import datagrams, gossip, hubs, relays
from tools import hub_fleet as fleet_module

TargetLoad = datagrams.TargetLoad


class Hubs(unittest.TestCase):
    """A fleet of 63 instances in three data centres."""

    def fleet(self, size=63, **options):
        """Return a fleet that has selected its hubs."""
        found = fleet_module.HubFleet(size, **options)
        found.run(2_000)
        return found

    def assert_known(self, found, target, tokens, but):
        """Assert that all instances but one know of a load on a target."""
        for name in found.live_instances():
            if name != but:
                self.assertEqual(found.prefill_tokens_at(name, target), tokens, name)

    def test_each_data_centre_has_one_hub_and_it_is_the_most_powerful(self):
        found = self.fleet(power=lambda number: 2.0 if number in (5, 9, 30) else 0.5)
        leaders = found.hubs_by_zone()
        self.assertEqual({len(one) for one in leaders.values()}, {1})
        for zone, names in leaders.items():
            strongest = [
                name
                for name in ("i5", "i9", "i30")
                if found.instances[name].zone == zone
            ]
            if strongest:
                self.assertLessEqual(names, set(strongest))

    def test_a_prompt_is_known_everywhere_within_two_digests(self):
        found = self.fleet()
        found.add_request("i7", "t1", 9_000)
        found.run(2 * gossip.DIGEST_MS + 5)
        self.assert_known(found, "t1", 9_000, but="i7")
        self.assertEqual(found.prefill_tokens_at("i7", "t1"), 0)
        found.add_request("i8", "t1", 500)
        found.run(2 * gossip.DIGEST_MS + 5)
        self.assertEqual(found.prefill_tokens_at("i7", "t1"), 500)
        self.assertEqual(found.prefill_tokens_at("i8", "t1"), 9_000)
        self.assertEqual(found.prefill_tokens_at("i9", "t1"), 9_500)

    def test_no_instance_reports_to_all_others(self):
        for size, targets in ((63, 10), (100, 50), (300, 150)):
            found = self.fleet(size, targets=targets)
            for number in range(0, size, 2):
                found.add_request(f"i{number}", f"t{number % targets}", 1_000)
            rates = found.datagrams_per_s()
            # Each round goes to two hubs; hubs also send to the other data centres.
            rounds = 1_000 / gossip.MIN_INTERVAL_MS
            median = sorted(rates)[len(rates) // 2]
            self.assertLess(median, 2 * hubs.HUB_COUNT * rounds, size)
            self.assertLess(max(rates), 1.25 * gossip.HUB_DATAGRAMS_PER_S, size)

    def test_a_dead_hub_is_replaced_by_the_next(self):
        found = self.fleet()
        found.add_request("i7", "t1", 9_000)
        for names in found.hubs_by_zone().values():
            found.dead |= names
        found.run(2 * hubs.SILENT_MS + gossip.SLOW_DIGEST_MS)
        self.assertEqual({len(one) for one in found.hubs_by_zone().values()}, {1})
        if "i7" not in found.dead:
            found.run(300)
            self.assert_known(found, "t1", 9_000, but="i7")
        found.dead.clear()
        found.run(3_000)
        self.assertEqual({len(one) for one in found.hubs_by_zone().values()}, {1})

    def test_many_dead_instances_leave_a_hub_in_each_data_centre(self):
        found = self.fleet()
        order = found.instances["i0"].hubs._ranked
        for ranked in order.values():
            found.dead |= set(ranked[:8])
        found.run(6_000)
        name = found.live_instances()[0]
        found.add_request(name, "t2", 700)
        found.run(400)
        self.assert_known(found, "t2", 700, but=name)

    def test_a_partitioned_data_centre_works_by_itself(self):
        found = self.fleet()
        inside = [
            n for n in found.live_instances() if found.instances[n].zone == "north"
        ]
        found.cut = {frozenset(("north", "south")), frozenset(("north", "east"))}
        found.run(2_000)
        found.add_request(inside[0], "t3", 4_000)
        found.run(100)
        for name in found.live_instances():
            expected = 4_000 if name in inside[1:] else 0
            self.assertEqual(found.prefill_tokens_at(name, "t3"), expected, name)
        found.cut = set()
        found.run(2_000)
        self.assert_known(found, "t3", 4_000, but=inside[0])

    def test_two_data_centres_partitioned_from_each_other_both_know_the_third(self):
        found = self.fleet()
        found.cut = {frozenset(("north", "south"))}
        found.run(2_000)
        name = next(
            n for n in found.live_instances() if found.instances[n].zone == "east"
        )
        found.add_request(name, "t4", 800)
        found.run(400)
        self.assert_known(found, "t4", 800, but=name)

    def test_lost_datagrams_are_made_up_for(self):
        found = self.fleet()
        found.loss = 0.2
        found.add_request("i11", "t5", 2_000)
        found.run(1_000)
        known = sum(
            found.prefill_tokens_at(n, "t5") == 2_000 for n in found.live_instances()
        )
        self.assertGreater(known, 55)

    def test_closed_and_suspected_targets_open_again_everywhere(self):
        found = self.fleet()
        holder = found.instances["i7"]
        for _ in range(2):
            holder.closed.add("t1")
            holder.registry.state("t2").suspected = True
            found.run(400)
            for name in found.live_instances():
                self.assertTrue(found.instances[name].is_closed("t1"), name)
                if name != "i7":
                    self.assertTrue(found.instances[name].is_suspected("t2"), name)
            holder.closed.discard("t1")
            holder.registry.state("t2").suspected = False
            found.run(400)
            for name in found.live_instances():
                self.assertFalse(found.instances[name].is_closed("t1"), name)
                self.assertFalse(found.instances[name].is_suspected("t2"), name)

    def test_a_reported_version_reaches_all(self):
        found = self.fleet()
        found.instances["i4"].report_versions("t1", {"m": 5})
        found.run(1_500)
        for name in found.live_instances():
            target = found.instances[name].registry.targets["t1"]
            self.assertEqual(target.versions.get("m"), 5, name)

    def test_a_target_that_leaves_is_closed_everywhere(self):
        found = self.fleet()
        found.instances["i4"].report_leaving("t1", 1)
        found.run(1_500)
        for name in found.live_instances():
            self.assertFalse(found.instances[name].registry.is_open("t1", "s"), name)
            self.assertTrue(found.instances[name].registry.is_open("t2", "s"), name)

    def test_a_store_update_reaches_all_instances(self):
        found = self.fleet()
        received = {name: [] for name in found.instances}
        for name, one in found.instances.items():
            one.on_prompt_store_update = received[name].append
        update = datagrams.PromptStoreUpdate("a", 7, 1, 0.0, (("v1.", "p", 500),))
        leaders = {name for names in found.hubs_by_zone().values() for name in names}
        for name in leaders:
            found.instances[name].relay_update(update)
        found.run(2 * gossip.BUNDLE_MS)
        for name in found.instances:
            if name not in leaders:
                parts = [part for one in received[name] for part in one.parts]
                self.assertIn(("v1.", "p", 500), parts, name)

    def test_a_table_of_many_targets_fits_into_datagrams(self):
        found = self.fleet(30, targets=200)
        for number in range(200):
            for offset in (0, 10):
                name = f"i{(number // 20 + offset) % 20}"
                state = found.instances[name].registry.state(f"t{number}")
                state.in_flight, state.prefill_tokens = 40, 100_000
        found.run(1_000)
        for number in range(200):
            self.assertEqual(found.prefill_tokens_at("i25", f"t{number}"), 200_000)
        longest = max(one._transport.max_size for one in found.instances.values())
        self.assertLessEqual(longest, datagrams.MAX_BYTES)


class Parts(unittest.TestCase):
    """Splitting digests into parts and reassembling them."""

    def test_changed_records_are_split_without_a_gap(self):
        rows = [(f"servers/{n}", 100 + n, {"x": "y" * 400}) for n in range(10)]
        found = datagrams.record_changes("h", "servers/", 90, 115, rows[::-1])
        self.assertEqual([row for one in found for row in one.rows], rows)
        ends = [90, *(one.after for one in found)]
        self.assertEqual([one.before for one in found], ends[:-1])
        self.assertEqual(ends[-1], 115)
        for one in found:
            self.assertLessEqual(len(datagrams.encode(one)), datagrams.MAX_BYTES)

    def test_a_record_too_long_for_a_datagram_ends_the_push(self):
        rows = [("a", 1, "x"), ("b", 2, "y" * 2_000), ("c", 3, "z")]
        found = datagrams.record_changes("h", "p/", 0, 3, rows)
        self.assertEqual([(one.before, one.after) for one in found], [(0, 1)])
        self.assertEqual(datagrams.record_changes("h", "p/", 0, 2, rows[1:2]), [])

    def test_a_lost_update_leaves_only_its_own_targets_outdated(self):
        found = fleet_module.HubFleet(30)
        found.run(2_000)
        found.add_request("i7", "t1", 9_000)
        found.run(200)
        found.loss = 1.0
        found.add_request("i8", "t2", 500)
        found.run(gossip.DIGEST_MS * 2)
        found.loss = 0.0
        found.add_request("i9", "t3", 700)
        found.run(gossip.DIGEST_MS * 2 + 5)
        self.assertEqual(found.prefill_tokens_at("i10", "t1"), 9_000)
        self.assertEqual(found.prefill_tokens_at("i10", "t3"), 700)
        found.run(gossip.WHOLE_DIGEST_MS + gossip.DIGEST_MS)
        self.assertEqual(found.prefill_tokens_at("i10", "t2"), 500)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.text(min_size=1, max_size=16),
            strategies.builds(TargetLoad, strategies.integers(1, 99)),
            max_size=150,
        ),
        strategies.randoms(),
    )
    def test_parts_in_any_order_are_reassembled(self, loads, source):
        digest = datagrams.Digest("h", "b", 3, "", 1, 0, 1, loads, closed=("t",))
        parts = datagrams.split(digest)
        source.shuffle(parts)
        assembler = relays.DigestAssembler()
        digests = [assembler.add(part) for part in parts]
        self.assertEqual(digests[:-1], [None] * (len(parts) - 1))
        self.assertEqual(digests[-1].loads, loads)
        self.assertEqual(digests[-1].closed, ("t",))
        self.assertIsNone(assembler.add(parts[0]._replace(sequence=2)))

    def test_bundles_have_a_bounded_number_of_parts(self):
        updates = [
            datagrams.PromptStoreUpdate(f"s{n}", 1, 1, 0.0, (("v", "p", 1),) * n)
            for n in range(20)
        ]
        found = datagrams.bundles("h", updates)
        self.assertEqual([one for bundle in found for one in bundle.updates], updates)
        for bundle in found:
            size = sum(1 + len(one.parts) for one in bundle.updates)
            self.assertLessEqual(size, datagrams.PARTS_PER_DATAGRAM)
