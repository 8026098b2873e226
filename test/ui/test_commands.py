"""Tests of the command-line tool with a simulated platform and fake instances."""

import hashlib
import pathlib
import re
import shlex
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

import msgspec

from cornelreach.http import messages, server
from cornelreach.reports import objectives, series
from cornelreach.ui import context, exits, main
from cornelreach.util import errors
from standins import platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
Exit = exits.ExitCode


class Instance:
    """A fake instance's admin API, with its revision ``lag`` behind the platform's."""

    def __init__(self, name, model):
        self.name = name
        self.model = model
        self.lag = 0
        self.orders = []
        self.series = series.InstanceSeries()

    async def handle(self, request):
        """Handle a request as ``cornelreach.ui.admin`` does."""
        if request.header("authorization") != "Bearer secret":
            refusal = errors.Refusal(
                errors.Code.UNAUTHENTICATED, "wrong key", "correct it"
            )
            return server.refusal_response(refusal)
        if request.path == "/admin/burn":
            export = self.series.export(self.name, "boot", 1_000 * series.LONG_SLOT_MS)
            return messages.json_response(200, export)
        if request.path == "/admin/status":
            return messages.json_response(200, self.status())
        self.orders.append((request.path, request.body))
        return messages.json_response(202, {"state": "done"})

    def status(self):
        return {
            "name": self.name,
            "data_centre": "north",
            "revision": self.model.revision - self.lag,
            "platform_ok": True,
            "draining": False,
            "connections": 3,
            "pools": [{"pool": "north/rules", "wait_ms": 5}],
        }


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Tests of commands that call the platform and instances over HTTP."""

    async def asyncSetUp(self):
        self.platform = platform.Platform()
        self.one = Instance("one", self.platform.model)
        self.two = Instance("two", self.platform.model)
        parts = (self.platform, self.one, self.two)
        self.servers = [
            await server.start("127.0.0.1", 0, part.handle) for part in parts
        ]
        ports = [running.port for running in self.servers]
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        key = self.write_file("key", "secret\n")
        self.admin_addresses = [f"127.0.0.1:{port}" for port in ports[1:]]
        self.flags = [
            f"--platform=http://127.0.0.1:{ports[0]}",
            f"--instances={','.join(self.admin_addresses)}",
            f"--operator-key-file={key}",
        ]

    async def asyncTearDown(self):
        for running in self.servers:
            running.stop_listening()
            running.abort()

    def write_file(self, name, text=""):
        path = pathlib.Path(self.directory.name, name)
        path.write_text(text)
        return str(path)

    async def cli(self, *argv):
        return await main.run(main.parse([*argv, *self.flags]))

    async def assert_fails(self, code, *argv):
        with self.assertRaises(exits.CommandError) as raised:
            await self.cli(*argv)
        self.assertEqual(raised.exception.code, code)
        return str(raised.exception)

    async def test_creates_shows_changes_and_deletes_items(self):
        await self.cli("model", "set", "rules", "version=4")
        created = await self.cli(
            "account", "set", "tirnica", "weight=2", "models=[rules]"
        )
        self.assertIn("+ account/tirnica", created.text)
        changed = await self.cli("account", "set", "tirnica", "weight=3")
        self.assertIn("weight: 2 -> 3", changed.text)
        self.assertIn("tirnica", (await self.cli("account", "list")).text)
        output = context.to_builtins(
            (await self.cli("account", "show", "tirnica")).value
        )
        self.assertEqual((output["weight"], output["models"]), (3, ["rules"]))
        self.assertEqual((await self.cli("model", "show", "rules")).value.version, "4")
        await self.cli("account", "delete", "tirnica")
        self.assertEqual((await self.cli("account", "list")).value, [])
        await self.cli("defaults", "set", "deadline_ms=5000")
        self.assertEqual((await self.cli("defaults", "show")).value.deadline_ms, 5_000)

    async def test_stores_the_digest_of_a_bearer_key(self):
        await self.cli("account", "set", "tirnica", "weight=1")
        created = (await self.cli("account", "new-key", "tirnica")).value
        digest = hashlib.sha256(created["key"].encode()).hexdigest()
        account = (await self.cli("account", "show", "tirnica")).value
        self.assertEqual(account.key_digests, [digest])
        await self.cli("account", "drop-key", "tirnica", digest[:10])
        account = (await self.cli("account", "show", "tirnica")).value
        self.assertEqual(account.key_digests, [])

    async def test_rejects_invalid_commands_with_a_remedy(self):
        text = await self.assert_fails(Exit.REFUSED, "account", "set", "a", "wieght=1")
        self.assertIn("did you mean 'weight'?", text)
        await self.assert_fails(
            Exit.REFUSED, "account", "set", "a", "models=[nonsense]"
        )
        await self.assert_fails(Exit.REFUSED, "account", "show", "a")
        await self.assert_fails(Exit.USAGE, "account", "set", "a", "weight")
        await self.assert_fails(Exit.USAGE, "get", "nonsense")
        await self.assert_fails(Exit.USAGE, "apply", "/nonexistent.yaml")
        await self.assert_fails(Exit.REFUSED, "take-out", "nowhere", "--reason=fire")
        self.assertEqual(self.platform.model.revision, 0)

    async def test_apply_shows_a_diff_and_get_prints_an_applicable_file(self):
        path = self.write_file("site.yaml", "format: 1\nmodels: [{name: rules}]\n")
        dry_run = await self.cli("apply", path, "--dry-run")
        self.assertIn("+ model/rules", dry_run.text)
        self.assertEqual(self.platform.model.revision, 0)
        await self.cli("apply", path)
        second = await self.cli("apply", path)
        self.assertEqual(second.text, "Nothing to change.")
        written = self.write_file("back.yaml", (await self.cli("get", "model")).text)
        self.assertEqual((await self.cli("apply", written)).text, "Nothing to change.")
        empty = self.write_file("empty.yaml", "format: 1\nmodels: []\n")
        self.assertEqual(
            (await self.cli("apply", empty, "--prune")).value["changes"], []
        )

    async def test_history_lists_changes_of_an_item(self):
        await self.cli("model", "set", "rules", "version=4")
        await self.cli("model", "set", "rules", "version=5")
        await self.cli("account", "set", "tirnica", "weight=1")
        output = await self.cli("history", "model", "rules")
        self.assertEqual([one["kind"] for one in output.value], ["create", "update"])
        self.assertIn("version: '4' -> '5'", output.text)

    async def test_wait_reports_outdated_instances(self):
        done = await self.cli("model", "set", "rules", "version=4", "--wait")
        self.assertIn("In force on 2 instances", done.text)
        self.two.lag = 1
        argv = ("model", "set", "rules", "version=5", "--wait", "--wait-ms=50")
        outdated = await self.cli(*argv)
        self.assertEqual(outdated.code, Exit.NOT_IN_FORCE)
        self.assertIn(self.admin_addresses[1], outdated.value["behind"][0])

    async def test_exit_codes_for_lost_responses_and_outages(self):
        self.platform.model.set_faults({"lose_answers": 1}, 0)
        output = await self.cli("model", "set", "rules", "version=4")
        self.assertEqual(output.code, Exit.OK)
        now_ms = self.platform.now_ms()
        self.platform.model.set_faults({"outage_ms": 60_000}, now_ms)
        await self.assert_fails(Exit.UNREACHABLE, "model", "list")

    async def test_lists_exceptions_oldest_first_with_flags(self):
        await self.cli("account", "set", "tirnica", "weight=1")
        wall_ms = mock.patch.object(
            context.CommandContext, "wall_ms", lambda self: self.clock_ms
        )
        for clock_ms, name, value in ((2e12, "b", 60_000), (1e12, "a", 90_000)):
            with (
                wall_ms,
                mock.patch.object(
                    context.CommandContext, "clock_ms", clock_ms, create=True
                ),
            ):
                setting = "deadline_ms" if name == "a" else "drain_ms"
                value = 30_000 if name == "b" else value
                await self.cli(
                    *("exception", "add", name, "--scope=account:tirnica"),
                    *(f"--setting={setting}", f"--value={value}", "--reason=rulebook"),
                    "--ends=2099-01-01T00:00:00+00:00",
                )
        exceptions = (await self.cli("exceptions")).value
        flags = [(line.name, line.flag) for line in exceptions]
        self.assertEqual(flags, [("a", ""), ("b", "same as the default")])
        await self.cli("exception", "delete", "a")
        self.assertEqual(len((await self.cli("exceptions")).value), 1)

    async def test_status_shows_outdated_and_unreachable_instances(self):
        self.platform.model.seed("settings/model/rules", b'{"name": "rules"}')
        self.two.lag = 1
        status = await self.cli("status")
        behind = {
            line.split()[0]: line.split()[-1] for line in status.text.split("\n")[1:3]
        }
        self.assertEqual(behind, {"one": "0", "two": "1"})
        self.assertIn("north/rules", status.text)
        self.servers[2].stop_listening()
        await self.servers[2].wait_closed()
        status = await self.cli("status")
        self.assertEqual(status.code, Exit.UNREACHABLE)
        self.assertIn("no response", status.text)

    async def test_take_out_through_the_platform_or_an_instance(self):
        await self.cli("data-centre", "set", "north", "region=si")
        await self.cli("take-out", "north", "--reason=fire")
        data_centre = (await self.cli("data-centre", "show", "north")).value
        self.assertEqual((data_centre.state, data_centre.reason), ("taken_out", "fire"))
        await self.cli("bring-back", "north")
        data_centre = (await self.cli("data-centre", "show", "north")).value
        self.assertEqual((data_centre.state, data_centre.reason), ("in_service", ""))
        await self.cli(
            "take-out", "north", "--reason=fire", f"--via={self.admin_addresses[0]}"
        )
        path, body = self.one.orders[0]
        self.assertEqual(path, "/admin/data-centres/north")
        self.assertEqual(msgspec.json.decode(body)["state"], "taken_out")
        await self.cli("drain", self.admin_addresses[1])
        self.assertEqual(self.two.orders[0][0], "/admin/drain")

    async def test_burn_merges_instances_and_exits_with_alert(self):
        objective = objectives.Objective(0.95, 1_700)
        measure = objectives.Measure.FIRST_TOKEN
        for instance in (self.one, self.two):
            for _ in range(20):
                wall_ms = 1_000 * series.LONG_SLOT_MS
                instance.series.add("tirnica", measure, objective, 9_000, wall_ms)
        plot = self.write_file("burn.png")
        report = await self.cli("burn", "--check", f"--png={plot}")
        self.assertEqual(report.code, Exit.ALERT)
        self.assertIn("PAGE first_token of tirnica burns 20.0 over 5m/1h", report.text)
        plain = msgspec.json.decode(main.render(report, True))
        self.assertEqual(plain["rows"][-1]["windows"][0]["total"], 40)
        self.assertGreater(pathlib.Path(plot).stat().st_size, 1_000)

    async def test_reports_a_wrong_operator_key(self):
        self.flags[-1] = f"--operator-key-file={self.write_file('wrong', 'x')}"
        text = await self.assert_fails(Exit.REFUSED, "drain", self.admin_addresses[0])
        self.assertIn("wrong key", text)
        await self.assert_fails(Exit.UNREACHABLE, "drain", "127.0.0.1:1")


class ToolProcess(unittest.TestCase):
    """Tests of the tool as a process, and of its documentation."""

    def run_tool(self, *argv):
        command = [sys.executable, "-m", "cornelreach.ui.main", *argv]
        return subprocess.run(command, capture_output=True, text=True, cwd=ROOT)

    def test_errors_set_the_exit_code_without_a_traceback(self):
        cases = (("nonsense",), ("account", "list"), ("account", "list", "--json"))
        for argv in cases:
            done = self.run_tool(*argv)
            self.assertEqual(done.returncode, Exit.USAGE)
            self.assertNotIn("Traceback", done.stderr)
        self.assertIn("remedy", msgspec.json.decode(done.stderr)["error"])

    def test_completion_script_runs_in_bash(self):
        done = self.run_tool("completion")
        probe = (
            f"{done.stdout}\nCOMP_WORDS=(cornelreach account n); COMP_CWORD=2; "
            "_cornelreach; echo ${COMPREPLY[@]}"
        )
        output = subprocess.run(["bash", "-c", probe], capture_output=True, text=True)
        self.assertEqual(output.stdout.strip(), "new-key", output.stderr)

    def test_reference_page_matches_the_commands(self):
        page = (ROOT / "docs" / "reference-commands.md").read_text()
        self.assertEqual(page, main.reference_markdown())

    def test_finds_every_command_by_its_usage(self):
        for command in main.COMMANDS:
            words = command.usage.replace("...", "").split()
            argv = [word for word in words if not word.startswith("[")]
            self.assertIs(main.parse(argv)["run"], command.run)

    def test_operator_pages_use_existing_commands(self):
        pages = sorted((ROOT / "docs" / "operators").glob("*.md"))
        text = "\n".join(page.read_text() for page in pages).replace("\\\n", " ")
        found = re.findall(r"^    (cornelreach .+)$|`(cornelreach [^`]+)`", text, re.M)
        self.assertGreater(len(found), 20)
        for block, inline in found:
            line = re.sub(r"\[--.*", "", block or inline)
            argv = shlex.split(
                line.replace("...", "x=1").replace("<", "").split(">")[0]
            )
            self.assertIsNotNone(main.find_command(argv[1:]), line)
            if block:
                main.parse(argv[1:])
