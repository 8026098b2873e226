"""Tests of verified transfers while blocks are freed, rewritten or half written."""

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
            strategies.sampled_from(["free", "begin_write", "finish_write", "corrupt"]),
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
    """Blocks that can be freed, and written in two steps; counts their changes."""

    def __init__(self):
        self.boot, self.generation, self.changes = "boot-1", 0, dict.fromkeys(KEYS, 0)
        self.blocks = {}
        for key in KEYS:
            self.begin_write(key)
            self.finish_write(key)

    def free(self, key):
        if self.blocks.pop(key, None):
            self.changes[key] += 1

    def begin_write(self, key):
        self.free(key)
        self.generation += 1
        self.blocks[key] = [self.generation, "half", False]
        self.changes[key] += 1

    def finish_write(self, key):
        if key in self.blocks and not self.blocks[key][2]:
            self.blocks[key][1:] = [f"complete {key}", True]
            self.changes[key] += 1

    def restart(self, _):
        for key in KEYS:
            self.free(key)
        self.boot, self.generation = f"{self.boot}+", 0
        for key in KEYS:
            self.begin_write(key)
            self.finish_write(key)

    def stats(self, keys):
        return tuple(
            transfers.BlockStat(
                key, block[0], f"sum of {block[1]}", block[2], self.boot
            )
            for key in keys
            if (block := self.blocks.get(key))
        )


class _Trial:
    """Runs one transfer against a source that can change between any two steps."""

    def __init__(self, transfer):
        self.source, self.transfer = _Source(), transfer
        self.pending = transfer.start()
        self.staged, self.first_changes, self.committed, self.corrupted = (
            {},
            {},
            [],
            set(),
        )

    def apply(self, action, key):
        if action == "next":
            self.step()
        elif action in ("time_out", "fail"):
            events = {"time_out": transfers.TimedOut(), "fail": transfers.Failed("x")}
            self.pending += self.transfer.handle(events[action])
        elif action == "corrupt":
            self.corrupted.add(key)
        else:
            getattr(self.source, action)(key)

    def step(self):
        if not self.pending:
            return
        command = self.pending.pop(0)
        if isinstance(command, transfers.QueryStats):
            if not self.first_changes:
                self.first_changes = dict(self.source.changes)
            event = transfers.StatsReceived(self.source.stats(command.keys))
        elif isinstance(command, transfers.Stage):
            event = transfers.Staged("import", self.stage(command.blocks))
        else:
            self.commit(command.keys)
            event = transfers.Committed(command.keys)
        self.pending += self.transfer.handle(event)

    def stage(self, blocks):
        for block in blocks:
            held = self.source.blocks.get(block.key, [0, "freed memory", False])
            content = held[1] if block.key not in self.corrupted else "corrupted"
            self.staged[block.key] = (content, self.source.changes[block.key])
        return {key: f"sum of {content}" for key, (content, _) in self.staged.items()}

    def commit(self, keys):
        for key in keys:
            content, changes = self.staged[key]
            if content != f"complete {key}":
                raise AssertionError(f"{key}: committed {content!r}")
            if changes != self.first_changes[key]:
                raise AssertionError(f"{key}: read after it was freed or rewritten")
            self.committed.append(key)

    def run(self, actions):
        for action, key in actions:
            self.apply(action, key)
        for _ in range(8):
            self.step()


class _UnverifiedTransfer(transfers.Transfer):
    """A transfer with a deliberate fault: it does not query the source again."""

    def handle(self, event):
        commands = super().handle(event)
        if self.state is not transfers.State.VERIFYING:
            return commands
        return super().handle(
            transfers.StatsReceived(tuple(self._stats_before.values()))
        )


class InterleavingTest(unittest.TestCase):
    """Random interleavings of changes at the source and steps of the transfer."""

    @SETTINGS
    @hypothesis.given(ACTIONS)
    def test_never_commits_a_freed_or_partly_written_block(self, actions):
        trial = _Trial(transfers.Transfer(KEYS))
        trial.run(actions)
        self.assertIsNotNone(trial.transfer.outcome)
        self.assertEqual(trial.committed, list(KEYS[: len(trial.committed)]))
        known = trial.transfer.outcome.keys
        self.assertEqual(list(known), trial.committed[: len(known)])

    def test_detects_a_transfer_that_skips_the_second_query(self):
        @SETTINGS
        @hypothesis.given(ACTIONS)
        def search(actions):
            _Trial(_UnverifiedTransfer(KEYS)).run(actions)

        with self.assertRaisesRegex(AssertionError, "freed or rewritten"):
            search()


class EndingTest(unittest.TestCase):
    """The ways in which a transfer can end."""

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
            ("next _", "corrupt c"): ("done", ("a", "b")),
            ("next _", "time_out _"): ("timed_out", ()),
            ("next _", "next _", "fail _"): ("failed", ()),
            ("next _", "next _", "next _", "fail _"): ("unknown", ()),
        }
        for actions, (ending, keys) in cases.items():
            outcome = self.end(*actions).transfer.outcome
            self.assertEqual((outcome.ending, outcome.keys), (ending, keys), actions)

    def test_blocks_staged_after_the_time_limit_are_dropped(self):
        transfer = transfers.Transfer(KEYS)
        transfer.start()
        transfer.handle(transfers.StatsReceived(_Source().stats(KEYS)))
        self.assertEqual(transfer.handle(transfers.TimedOut()), [])
        dropped = transfer.handle(transfers.Staged("import-1", {"a": "sum"}))
        self.assertEqual(dropped, [transfers.Commit("import-1", ())])
