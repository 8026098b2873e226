"""Tests of copies in stores: exports, removals and warm-ups of engines."""

import unittest

from cornelreach.prompts import copies, directory, documents, links, pieces
from cornelreach.util import hashing

STORES = [copies.Store("near", "here"), copies.Store("far", "there")]
MEGABYTE = 1_000_000


def prompt(name, count=4, tail=0):
    """Return a prompt of full pieces, optionally followed by a short question."""
    keys = [hashing.digest(f"{name}/{n}".encode()).hex() for n in range(count)]
    tokens = [1_000] * count
    if tail:
        keys.append(hashing.digest(f"{name}/question".encode()).hex())
        tokens.append(tail)
    return pieces.PromptPieces(tuple(keys), tuple(tokens), keys[0])


class CopiesTestCase(unittest.TestCase):
    """A pool with two engines here and a store in each of two data centres."""

    def setUp(self):
        self.directory = directory.Directory()
        self.links = links.Links()
        for name in ("engine-1", "engine-2", "near", "far"):
            self.directory.apply_listing(name, "b", 0, [])
            self.links.set_rate(name, 50 * MEGABYTE)
        self.planner = copies.CopyPlanner(self.directory, self.links)
        self.configure(STORES)

    def configure(self, stores):
        self.planner.configure(
            "here",
            ["engine-1", "engine-2"],
            stores,
            {"here/m": "here", "there/m": "there"},
            1_000,
        )

    def run_prompt(self, document, now_ms, engine="engine-1"):
        self.planner.record_placement(document, now_ms)
        self.publish(engine, document.keys)
        self.planner.record_completion(document.root, now_ms)

    def publish(self, source, keys):
        seq = self.directory.position(source)[1]
        events = [
            directory.CacheEvent(seq + offset, "stored", key)
            for offset, key in enumerate(keys, 1)
        ]
        self.directory.apply_events(source, "b", events, seq + len(events))

    def finish(self, exports, now_ms):
        for export in exports:
            self.planner.record_export(export, export.keys, now_ms)
            self.publish(export.store, export.keys)


class ExportTest(CopiesTestCase):
    """Which documents are exported, to which stores, and at what rate."""

    def test_first_copy_goes_to_the_other_data_centre_without_the_question(self):
        document = prompt("doc", 4, tail=100)
        self.run_prompt(document, 10_000)
        (export,) = self.planner.start_exports(10_000)
        self.assertEqual((export.source, export.store), ("engine-1", "far"))
        self.assertEqual(export.keys, document.keys[:4])
        self.assertEqual(export.size_bytes, 4 * MEGABYTE)
        self.assertEqual(self.planner.start_exports(10_100), [])
        self.finish([export], 11_000)
        self.assertEqual(self.planner.start_exports(20_000), [])

    def test_returning_document_gets_a_second_copy_in_its_data_centre(self):
        document = prompt("doc")
        for now_ms in (10_000, 70_000, 130_000):
            self.run_prompt(document, now_ms)
            started = self.planner.start_exports(now_ms)
            self.finish(started, now_ms)
        again = self.planner.start_exports(130_500)
        self.assertEqual([one.store for one in started + again], ["near"])

    def test_grown_document_exports_only_new_pieces(self):
        self.run_prompt(prompt("doc", 4), 10_000)
        self.finish(self.planner.start_exports(10_000), 10_100)
        self.run_prompt(prompt("doc", 6), 12_000)
        (export,) = self.planner.start_exports(12_000)
        self.assertEqual(export.keys, prompt("doc", 6).keys[4:])

    def test_returning_documents_go_first_and_budgets_are_kept(self):
        for number in range(40):
            self.run_prompt(prompt(f"new {number}", 20), 100_000)
        self.run_prompt(prompt("old", 20), 10_000)
        self.run_prompt(prompt("old", 20), 100_000)
        sent, first = 0, None
        for now_ms in range(100_000, 110_000, 50):
            started = self.planner.start_exports(now_ms)
            first = first or (started and started[0].root)
            sent += sum(export.size_bytes for export in started)
            self.finish(started, now_ms)
        self.assertEqual(first, prompt("old").root)
        allowed = 50 * MEGABYTE * links.BACKGROUND_SHARE * 11
        self.assertLessEqual(sent, allowed + 20 * MEGABYTE)
        self.assertGreater(sent, allowed / 3)

    def test_failed_export_is_retried_later(self):
        self.run_prompt(prompt("doc"), 10_000)
        (export,) = self.planner.start_exports(10_000)
        self.planner.record_export(export, [], 10_500)
        self.assertEqual(self.planner.start_exports(11_000), [])
        later_ms = 10_500 + copies.EXPORT_RETRY_MS
        self.assertEqual(len(self.planner.start_exports(later_ms)), 1)

    def test_full_store_gets_no_copy(self):
        self.configure([STORES[0], STORES[1]._replace(full=True)])
        self.run_prompt(prompt("doc"), 10_000)
        self.assertEqual(self.planner.start_exports(10_000)[0].store, "near")

    def test_short_keys_are_exported_once_full_keys_are_known(self):
        whole = prompt("doc")
        short = whole._replace(keys=tuple(key[:16] for key in whole.keys))
        self.run_prompt(short, 10_000)
        self.assertEqual(self.planner.start_exports(10_000), [])
        self.planner.key_index.add(whole.keys)
        self.planner.record_completion(short.root, 11_000)
        self.assertEqual(self.planner.start_exports(11_000)[0].keys, whole.keys)

    def test_before_a_take_out_every_document_is_copied_to_another_data_centre(self):
        self.configure(STORES[:1])
        for number in range(5):
            self.run_prompt(prompt(f"doc {number}"), 10_000)
        for now_ms in range(10_000, 20_000, 500):
            self.finish(self.planner.start_exports(now_ms), now_ms)
        self.configure(STORES)
        self.planner.set_leaving(True)
        moved = set()
        for now_ms in range(20_000, 30_000, 500):
            started = self.planner.start_exports(now_ms)
            moved |= {(one.root, one.store) for one in started}
            self.finish(started, now_ms)
        self.assertEqual(moved, {(prompt(f"doc {n}").root, "far") for n in range(5)})


class RemovalTest(CopiesTestCase):
    """Which pieces are removed from a full store."""

    def test_removes_the_least_frequent_documents_last_pieces_first(self):
        prompts = [prompt(f"doc {number}") for number in range(10)]
        for number, one in enumerate(prompts):
            self.run_prompt(one, 10_000 + number)
        self.run_prompt(prompts[0], 80_000)
        self.directory.apply_listing(
            "far", "b", 1, [key for one in prompts for key in one.keys]
        )
        self.assertEqual(self.planner.plan_removals("far", 0.8, 100_000), [])
        removed = self.planner.plan_removals("far", 0.95, 100_000)
        self.assertEqual(removed[0].keys, tuple(reversed(prompts[1].keys)))
        self.assertNotIn(
            prompts[0].keys[0], [key for one in removed for key in one.keys]
        )


class WarmUpTest(CopiesTestCase):
    """Which documents are imported into restarted engines."""

    def test_imports_the_most_frequent_documents_within_the_budgets(self):
        prompts = [prompt(f"doc {number}", 20) for number in range(10)]
        for one in prompts:
            self.run_prompt(one, 10_000)
        self.directory.apply_listing(
            "far", "b", 1, [key for one in prompts for key in one.keys]
        )
        self.assertEqual(self.planner.start_warm_ups(["engine-1"], 20_000), [])
        self.directory.record_boot("engine-1", "c")
        started = self.planner.start_warm_ups(["engine-1"], 20_000)
        self.assertTrue(started)
        self.assertLess(len(started), 10)
        self.assertEqual({one.target for one in started}, {"engine-1"})


class DocumentsTest(unittest.TestCase):
    """Documents, visits and the bounds of both caches."""

    def test_bounds_are_kept(self):
        known = documents.Documents(max_documents=3)
        key_index = documents.KeyIndex(max_keys=32)
        for number in range(10):
            document = prompt(f"doc {number}", 8)
            known.record_prompt(document, number)
            key_index.add([*document.keys, "x" * 32, "short"])
        self.assertEqual((len(known), len(key_index) <= 32), (3, True))
        self.assertEqual(key_index.expand([document.keys[7][:16]]), [document.keys[7]])
        self.assertEqual(key_index.expand(["0" * 16]), [])

    def test_turns_of_one_visit_do_not_count_as_returns(self):
        known = documents.Documents()
        for now_ms in (0, 5_000, 9_000, 120_000, 125_000):
            document = known.record_prompt(prompt("doc"), now_ms)
        self.assertEqual((document.returns, document.gap_ms), (1, 111_000))
