"""Tests of the YAML form, the rules and the plan."""

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


def planned(text, listing=EMPTY, prune=False):
    """Return the plan of a text, or its problems."""
    return document.read(text).bind(lambda found: plan.make(found, listing, 0, prune))


def applied(text, listing=EMPTY, prune=False):
    """Return the listing after a plan."""
    held = {record.key: record for record in listing.records}
    version = listing.revision
    for change in planned(text, listing, prune).unwrap().changes:
        version += 1
        held[change.key] = results.Record(change.key, version, change.after)
        if change.after is None:
            del held[change.key]
    return results.Listing(version, tuple(held.values()))


class Reading(unittest.TestCase):
    """Form, typing and round trip."""

    def test_a_document_is_planned_once_and_written_back(self):
        listing = applied(GOOD)
        self.assertEqual(len(listing.records), 7)
        self.assertEqual(planned(GOOD, listing).unwrap().changes, ())
        text = document.write({r.key: r.value for r in listing.records})
        self.assertEqual(planned(text, listing).unwrap().changes, ())

    def test_form_errors_are_all_told_with_a_remedy(self):
        text = "format: 1\nacounts: []\nmodels: [{name: m, version: 2, adapter: []}]"
        found = document.read(text).failure()
        self.assertEqual(len(found), 3)
        self.assertIn("did you mean 'accounts'", str(found[0]))
        for text in ("a: [", "[]", "format: 2", "format: 1\nmodels: {}"):
            self.assertIsInstance(document.read(text), result.Failure, text)

    def test_fields_left_out_stay_and_null_returns_to_the_default(self):
        listing = applied(GOOD)
        key = items.key_of("model", "m")
        newer = [
            record._replace(value=record.value | {"newer": [1], "bytes_per_token": 7})
            if record.key == key
            else record
            for record in listing.records
        ]
        listing = results.Listing(listing.revision, tuple(newer))
        text = "format: 1\nmodels: [{name: m, version: null}]"
        (change,) = planned(text, listing).unwrap().changes
        self.assertEqual(str(change.differences[0]), "version: '2' -> None")
        self.assertEqual(
            change.after, {"name": "m", "newer": [1], "bytes_per_token": 7}
        )

    def test_prune_deletes_only_what_the_document_speaks_of(self):
        listing = applied(GOOD)
        text = "format: 1\ndata_centres: [{name: north}]"
        (change,) = planned(text, listing, prune=True).unwrap().changes
        self.assertEqual((change.kind, change.key[-5:]), ("delete", "south"))
        gone = plan.delete([items.key_of("model", "m")], listing, 0)
        self.assertIn("model 'm' is not known", str(gone.failure()[0]))

    def test_schema_names_every_section(self):
        text = str(document.schema())
        for section in document.SECTIONS:
            self.assertIn(section, text)
        self.assertIn("cold_sequences", text)


class Rules(unittest.TestCase):
    """Each rule, and old faults that stand in nobody's way."""

    def expect(self, text, message):
        """Check that a change to the good document breaks a rule."""
        outcome = planned("format: 1\n" + text, applied(GOOD))
        found = " ".join(map(str, outcome.failure()))
        self.assertIn(message, found)

    def test_broken_rules(self):
        target = "kind: engine, address: '1:1', serves: m"
        many = ", ".join(
            f"{{name: t{n}, {target}, data_centre: north}}" for n in range(16)
        )
        over = "scope: 'account:a', value: 1"
        ends = "ends: 2030-01-01T00:00:00Z"
        twice = f"{over}, reason: r, {ends}"
        cases = {
            f"targets: [{{name: t, {target}, data_centre: z}}]": "'z' is not known",
            f"targets: [{many}]": "17 targets",
            f"targets: [{{name: t, {target}, data_centre: south, pool: north/m}}]": (
                "differ"
            ),
            f"exceptions: [{{name: y, setting: x, {over}, reason: '', {ends}}}]": (
                "has no reason"
            ),
            f"exceptions: [{{name: y, setting: drain_ms, {over}, reason: r}}]": "ends",
            f"exceptions: [{{name: y, setting: nope, {over}, reason: r, {ends}}}]": (
                "not a default"
            ),
            f"exceptions: [{{name: y, setting: deadline_ms, {twice}}}]": (
                "already sets"
            ),
            "accounts: [{name: a, key_digests: [secret]}]": "never the key itself",
            "data_centres: [{name: north, state: taken_out}]": "without a reason",
            "models: [{name: 'M!'}]": "malformed",
            "defaults: {deadline_ms: 0}": "deadline_ms is 0",
        }
        for text, message in cases.items():
            with self.subTest(text[:60]):
                self.expect(text, message)

    def test_an_old_fault_does_not_stand_in_the_way(self):
        listing = applied(GOOD)
        late = 4_000_000_000_000
        self.assertTrue(
            rules.problems(
                {r.key: items.convert(r.key, r.value) for r in listing.records}, late
            )
        )
        text = "format: 1\ndata_centres: [{name: north, state: taken_out, reason: r}]"
        made = document.read(text).bind(lambda d: plan.make(d, listing, late))
        self.assertEqual(len(made.unwrap().changes), 1)
