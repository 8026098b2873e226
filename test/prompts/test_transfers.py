"""Tests of the verified transfer under frees, rewrites and partial writes."""

import unittest

import hypothesis
from hypothesis import strategies

from cornelreach.prompts import transfers

KEYS = ("a", "b", "c")
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=400
)
ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.just(("next", "")),
        strategies.tuples(
            strategies.sampled_from(["free", "begin", "finish", "spoil"]),
            strategies.sampled_from(KEYS),
        ),
        strategies.tuples(
            strategies.sampled_from(["restart", "time_out", "fail"]),
            strategies.just(""),
        ),
    ),
    max_size=14,
)


class _Source:
    """Blocks that are freed, written in two steps and spoilt; counts every change."""

    def __init__(self):
        self.boot, self.generation, self.changes = "boot-1", 0, dict.fromkeys(KEYS, 0)
        self.blocks = {}
        for key in KEYS:
            self.begin(key)
            self.finish(key)

    def free(self, key):
        if self.blocks.pop(key, None):
            self.changes[key] += 1

    def begin(self, key):
        self.free(key)
        self.generation += 1
        self.blocks[key] = [self.generation, "half", False]
        self.changes[key] += 1

    def finish(self, key):
        if key in self.blocks and not self.blocks[key][2]:
            self.blocks[key][1:] = [f"whole {key}", True]
            self.changes[key] += 1

    def restart(self, _):
        for key in KEYS:
            self.free(key)
        self.boot, self.generation = f"{self.boot}+", 0
        for key in KEYS:
            self.begin(key)
            self.finish(key)

    def stats(self, keys):
        return tuple(
            transfers.Stat(key, block[0], f"sum of {block[1]}", block[2], self.boot)
            for key in keys
            if (block := self.blocks.get(key))
        )


class _Trial:
    """Runs one transfer against a source that changes between all its steps."""

    def __init__(self, transfer):
        self.source, self.transfer = _Source(), transfer
        self.pending = transfer.start()
        self.staged, self.seen, self.committed, self.spoilt = {}, {}, [], set()

    def act(self, action, key):
        if action == "next":
            self.step()
        elif action in ("time_out", "fail"):
            late = {"time_out": transfers.TimedOut(), "fail": transfers.Failed("x")}
            self.pending += self.transfer.on(late[action])
        elif action == "spoil":
            self.spoilt.add(key)
        else:
            getattr(self.source, action)(key)

    def step(self):
        if not self.pending:
            return
        command = self.pending.pop(0)
        if isinstance(command, transfers.Ask):
            if not self.seen:
                self.seen = dict(self.source.changes)
            event = transfers.Asked(self.source.stats(command.keys))
        elif isinstance(command, transfers.Stage):
            event = transfers.Staged("import", self.stage(command.blocks))
        else:
            self.commit(command.keys)
            event = transfers.Committed(command.keys)
        self.pending += self.transfer.on(event)

    def stage(self, blocks):
        for block in blocks:
            held = self.source.blocks.get(block.key, [0, "freed memory", False])
            whole = held[1] if block.key not in self.spoilt else "spoilt"
            self.staged[block.key] = (whole, self.source.changes[block.key])
        return {key: f"sum of {whole}" for key, (whole, _) in self.staged.items()}

    def commit(self, keys):
        for key in keys:
            content, changes = self.staged[key]
            if content != f"whole {key}":
                raise AssertionError(f"{key}: committed {content!r}")
            if changes != self.seen[key]:
                raise AssertionError(f"{key}: read after it was freed or rewritten")
            self.committed.append(key)

    def run(self, actions):
        for action, key in actions:
            self.act(action, key)
        for _ in range(8):
            self.step()


class _Unproved(transfers.Transfer):
    """A transfer with a planted fault: it does not ask the source again."""

    def on(self, event):
        commands = super().on(event)
        if self.state is not transfers.State.PROVING:
            return commands
        return super().on(transfers.Asked(tuple(self._before.values())))


class Interleavings(unittest.TestCase):
    """Every order of the source's changes and the transfer's steps."""

    @SETTINGS
    @hypothesis.given(ACTIONS)
    def test_commits_no_freed_or_partly_written_block(self, actions):
        trial = _Trial(transfers.Transfer(KEYS))
        trial.run(actions)
        self.assertIsNotNone(trial.transfer.outcome)
        self.assertEqual(trial.committed, list(KEYS[: len(trial.committed)]))
        known = trial.transfer.outcome.keys
        self.assertEqual(list(known), trial.committed[: len(known)])

    def test_finds_a_transfer_that_skips_the_second_question(self):
        @SETTINGS
        @hypothesis.given(ACTIONS)
        def search(actions):
            _Trial(_Unproved(KEYS)).run(actions)

        with self.assertRaisesRegex(AssertionError, "freed or rewritten"):
            search()


class Endings(unittest.TestCase):
    """How a transfer ends."""

    def end(self, *actions):
        trial = _Trial(transfers.Transfer(KEYS))
        trial.run([tuple(action.split()) for action in actions])
        return trial

    def test_each_ending(self):
        cases = {
            (): ("done", KEYS),
            ("free a",): ("nothing_held", ()),
            ("next _", "next _", "free b"): ("done", ("a",)),
            ("next _", "next _", "restart _"): ("changed", ()),
            ("next _", "spoil c"): ("done", ("a", "b")),
            ("next _", "time_out _"): ("timed_out", ()),
            ("next _", "next _", "fail _"): ("failed", ()),
            ("next _", "next _", "next _", "fail _"): ("unknown", ()),
        }
        for actions, (ending, keys) in cases.items():
            outcome = self.end(*actions).transfer.outcome
            self.assertEqual((outcome.ending, outcome.keys), (ending, keys), actions)

    def test_what_was_staged_is_dropped_after_the_time_limit(self):
        transfer = transfers.Transfer(KEYS)
        transfer.start()
        transfer.on(transfers.Asked(_Source().stats(KEYS)))
        self.assertEqual(transfer.on(transfers.TimedOut()), [])
        dropped = transfer.on(transfers.Staged("import-1", {"a": "sum"}))
        self.assertEqual(dropped, [transfers.Commit("import-1", ())])
