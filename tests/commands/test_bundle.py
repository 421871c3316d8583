import asyncio
import contextlib
import io
import json
import os
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

from fireflyward.__main__ import main
from fireflyward.bundles import load_key, parse_bundle, public_hex, to_toml
from fireflyward.commands._template import first_bundle
from fireflyward.daemon import Node
from fireflyward.demo import DOMAINS, DemoDeployment
from fireflyward.settings import SERVE_SETTINGS, load
from tests.bundles.makers import bundle


class TemplateTests(unittest.TestCase):
    def test_first_bundle_can_be_parsed(self):
        parsed = parse_bundle(first_bundle("demo"))
        self.assertEqual((parsed.deployment, parsed.number), ("demo", 1))


class ServedNode:
    """A node and stand-ins in a thread of their own, because commands block."""

    def __init__(self, roots):
        self.roots = roots
        self.admin_port = 0
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(self, *_):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    def _run(self):
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self):
        self._stop = asyncio.Event()
        async with DemoDeployment(
            nodes_per_domain=0, engines_per_domain=1, accepts_bundle=False
        ) as deployment:
            values = deployment.flag_values("entry-1", DOMAINS[0])
            values |= {"port": "0", "peer_port": "0", "admin_port": "0"}
            values["trust_roots"] = self.roots
            node = Node(load(SERVE_SETTINGS, values, {}))
            await node.start()
            self.admin_port = node.admin.port
            self._ready.set()
            await self._stop.wait()
            await node.close()


class CommandTestCase(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.enterContext(contextlib.chdir(directory))
        self.enterContext(mock.patch.dict(os.environ))
        for name in [name for name in os.environ if name.startswith("FIREFLYWARD_")]:
            del os.environ[name]

    def run_command(self, *arguments):
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            code = main(list(arguments))
        return code, out.getvalue() + errors.getvalue()

    def json_of(self, *arguments):
        code, text = self.run_command(*arguments, "--json")
        self.assertEqual(code, 0, text)
        return json.loads(text)

    def make_keys(self):
        for person in ("ana", "bruno"):
            self.json_of(
                "key", "new", f"{person}.key", "--person", person, "--no-passphrase"
            )
        return ",".join(
            f"{person}={public_hex(load_key(Path(f'{person}.key')))}"
            for person in ("ana", "bruno")
        )


class OfflineTests(CommandTestCase):
    def test_invalid_file_exits_3_and_prints_the_problem(self):
        Path("b.toml").write_text(
            first_bundle("demo").replace("weight = 1", "wait = 1")
        )
        code, text = self.run_command("bundle", "check", "b.toml", "--offline")
        self.assertEqual(code, 3)
        self.assertIn("accounts.bridge-team.wait", text)

    def test_diff_of_two_files_ignores_comments(self):
        Path("a.toml").write_text(to_toml(bundle(1)))
        Path("b.toml").write_text("# a comment\n" + to_toml(bundle(1)))
        self.assertEqual(
            self.json_of("bundle", "diff", "b.toml", "--against", "a.toml"), []
        )

    def test_existing_file_is_not_overwritten(self):
        Path("a.toml").write_text("mine")
        code, _ = self.run_command("bundle", "new", "a.toml", "--deployment", "demo")
        self.assertEqual((code, Path("a.toml").read_text()), (2, "mine"))

    def test_missing_key_and_unreachable_node_are_errors(self):
        code, text = self.run_command("bundle", "status")
        self.assertEqual(code, 2)
        self.assertIn("--key-file", text)
        self.make_keys()
        code, _ = self.run_command(
            "bundle",
            "status",
            "--key-file",
            "ana.key",
            "--admin-url",
            "http://127.0.0.1:1",
        )
        self.assertEqual(code, 1)


class LifecycleTests(CommandTestCase):
    def test_from_the_first_bundle_to_a_revert(self):
        """Follows docs/operate/first-week.md and checks each exit code."""
        with ServedNode(self.make_keys()) as node:
            os.environ["FIREFLYWARD_ADMIN_URL"] = f"http://127.0.0.1:{node.admin_port}"
            self.assert_code(6, "ana", "status")
            self.assert_code(0, "ana", "new", "one.toml", "--deployment", "demo")
            self.check_sign_and_submit("one.toml")
            self.assert_code(0, "ana", "status", "--wait", "5")
            self.assert_code(0, "ana", "new", "two.toml")
            two = Path("two.toml").read_text()
            Path("late.toml").write_text(two.replace('"v1"', '"v3"'))
            Path("two.toml").write_text(two.replace('"v1"', '"v2"'))
            self.assert_code(0, "ana", "sign", "late.toml")
            self.assert_code(0, "bruno", "approve", "late.toml.signed", "--yes")
            self.check_sign_and_submit("two.toml", "--propose")
            text = self.assert_code(4, "ana", "submit", "late.toml.approved")
            self.assertIn("model:clauses version: v2 -> v3", text)
            self.assert_code(0, "ana", "revert", "1", "--out", "back.signed")
            self.assert_code(2, "bruno", "approve", "back.signed")
            self.assert_code(0, "bruno", "approve", "back.signed", "--yes")
            self.assert_code(0, "ana", "submit", "back.approved")
            text = self.assert_code(0, "ana", "history")
            self.assertIn("revert to 1", text)
            self.assert_code(0, "ana", "new", "four.toml")
            four = parse_bundle(Path("four.toml").read_text())
            self.assertEqual((four.number, four.models["clauses"].version), (4, "v1"))

    def check_sign_and_submit(self, file, *options):
        self.assert_code(0, "ana", "check", file)
        self.assert_code(0, "ana", "plan", file)
        self.assert_code(0, "ana", "sign", file, *options)
        self.assert_code(3, "ana", "approve", f"{file}.signed", "--yes")
        self.assert_code(3, "ana", "submit", f"{file}.signed")
        if options:
            text = self.assert_code(0, "bruno", "proposals")
            self.assertIn("ana", text)
        self.assert_code(0, "bruno", "approve", f"{file}.signed", "--yes")
        self.assert_code(0, "bruno", "submit", f"{file}.approved")
        self.assert_code(0, "bruno", "submit", f"{file}.approved")

    def assert_code(self, expected_code, person, *arguments):
        code, text = self.run_command(
            "bundle", *arguments, "--key-file", f"{person}.key"
        )
        self.assertEqual(code, expected_code, text)
        return text
