"""Tests of the YAML document, the validation rules and the plan."""

import unittest

from returns import result

from cornelreach.platform import results
from cornelreach.settings import document, items, plan, rules

GOOD = """
format: 1
defaults: {deadline_ms: 30000}
data_centres: [{name: north}, {name: south}]
models: [{name: m, version: "2"}]
accounts: [{name: a, models: [m]}]
targets:
  - {name: e1, kind: engine, data_centre: north, address: "10.0.0.1:80", serves: m}
exceptions:
  - name: x
    scope: account:a
    setting: deadline_ms
    value: 5000
    reason: long documents
    ends: 2030-01-01T00:00:00Z
"""
EMPTY = results.Listing(0, ())


def make_plan(text, listing=EMPTY, prune=False):
    """Return the plan for a document text, or its problems."""
    return document.read(text).bind(lambda found: plan.make(found, listing, 0, prune))


def listing_after(text, listing=EMPTY, prune=False):
    """Return the listing after the plan for a document text has been applied."""
    held = {record.key: record for record in listing.records}
    version = listing.revision
    for change in make_plan(text, listing, prune).unwrap().changes:
        version += 1
        held[change.key] = results.Record(change.key, version, change.after)
        if change.after is None:
            del held[change.key]
    return results.Listing(version, tuple(held.values()))


class DocumentTest(unittest.TestCase):
    """Syntax, types and round trip of documents."""

    def test_round_trip_plans_no_changes(self):
        listing = listing_after(GOOD)
        self.assertEqual(len(listing.records), 7)
        self.assertEqual(make_plan(GOOD, listing).unwrap().changes, ())
        text = document.write({r.key: r.value for r in listing.records})
        self.assertEqual(make_plan(text, listing).unwrap().changes, ())

    def test_all_syntax_errors_are_reported_with_a_remedy(self):
        text = "format: 1\nacounts: []\nmodels: [{name: m, version: 2, adapter: []}]"
        found = document.read(text).failure()
        self.assertEqual(len(found), 3)
        self.assertIn("did you mean 'accounts'", str(found[0]))
        for text in ("a: [", "[]", "format: 2", "format: 1\nmodels: {}"):
            self.assertIsInstance(document.read(text), result.Failure, text)

    def test_omitted_fields_stay_and_null_resets_to_default(self):
        listing = listing_after(GOOD)
        key = items.key_of("model", "m")
        newer = [
            record._replace(value=record.value | {"newer": [1], "bytes_per_token": 7})
            if record.key == key
            else record
            for record in listing.records
        ]
        listing = results.Listing(listing.revision, tuple(newer))
        text = "format: 1\nmodels: [{name: m, version: null}]"
        (change,) = make_plan(text, listing).unwrap().changes
        self.assertEqual(str(change.differences[0]), "version: '2' -> None")
        self.assertEqual(
            change.after, {"name": "m", "newer": [1], "bytes_per_token": 7}
        )

    def test_prune_deletes_only_kinds_in_the_document(self):
        listing = listing_after(GOOD)
        text = "format: 1\ndata_centres: [{name: north}]"
        (change,) = make_plan(text, listing, prune=True).unwrap().changes
        self.assertEqual((change.kind, change.key[-5:]), ("delete", "south"))
        deletion = plan.delete([items.key_of("model", "m")], listing, 0)
        self.assertIn("model 'm' is not known", str(deletion.failure()[0]))

    def test_schema_contains_every_section(self):
        text = str(document.schema())
        for section in document.SECTIONS:
            self.assertIn(section, text)
        self.assertIn("cold_sequences", text)


class RulesTest(unittest.TestCase):
    """Each rule, and problems that existed before a change."""

    def assert_rejected(self, text, message):
        """Check that a change to the valid document is rejected with a message."""
        outcome = make_plan("format: 1\n" + text, listing_after(GOOD))
        found = " ".join(map(str, outcome.failure()))
        self.assertIn(message, found)

    def test_broken_rules(self):
        target = "kind: engine, address: '1:1', serves: m"
        many_targets = ", ".join(
            f"{{name: t{n}, {target}, data_centre: north}}" for n in range(16)
        )
        scope = "scope: 'account:a', value: 1"
        ends = "ends: 2030-01-01T00:00:00Z"
        duplicate = f"{scope}, reason: r, {ends}"
        cases = {
            f"targets: [{{name: t, {target}, data_centre: z}}]": "'z' is not known",
            f"targets: [{many_targets}]": "17 targets",
            f"targets: [{{name: t, {target}, data_centre: south, pool: north/m}}]": (
                "differ"
            ),
            f"exceptions: [{{name: y, setting: x, {scope}, reason: '', {ends}}}]": (
                "has no reason"
            ),
            f"exceptions: [{{name: y, setting: drain_ms, {scope}, reason: r}}]": "ends",
            f"exceptions: [{{name: y, setting: nope, {scope}, reason: r, {ends}}}]": (
                "not a default"
            ),
            f"exceptions: [{{name: y, setting: deadline_ms, {duplicate}}}]": (
                "already sets"
            ),
            "accounts: [{name: a, key_digests: [secret]}]": "never the key itself",
            "data_centres: [{name: north, state: taken_out}]": "without a reason",
            "models: [{name: 'M!'}]": "malformed",
            "defaults: {deadline_ms: 0}": "deadline_ms is 0",
        }
        for text, message in cases.items():
            with self.subTest(text[:60]):
                self.assert_rejected(text, message)

    def test_existing_problem_does_not_block_a_change(self):
        listing = listing_after(GOOD)
        after_end_ms = 4_000_000_000_000
        self.assertTrue(
            rules.all_problems(
                {r.key: items.convert(r.key, r.value) for r in listing.records},
                after_end_ms,
            )
        )
        text = "format: 1\ndata_centres: [{name: north, state: taken_out, reason: r}]"
        planned = document.read(text).bind(
            lambda d: plan.make(d, listing, after_end_ms)
        )
        self.assertEqual(len(planned.unwrap().changes), 1)
