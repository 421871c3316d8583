"""The build line of the deploy file, with a stub in the place of pip."""

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

_ROOT = Path(__file__).parents[2]
# Writes two files, and fails or is killed between them on request. Counts its calls.
_PIP = """
import os, signal, sys, pathlib
with open("calls", "a") as file:
    file.write("install\\n")
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True, exist_ok=True)
(target / "first.py").write_text("")
end = os.environ.get("PIP_STUB_END")
if end == "fail":
    sys.exit(1)
if end == "kill":
    os.kill(os.getppid(), signal.SIGKILL)
    os.kill(os.getpid(), signal.SIGKILL)
(target / "second.py").write_text(pathlib.Path("requirements.txt").read_text())
"""
# Stands for a Python of another version or architecture.
_OTHER_PLATFORM = """
import sys, sysconfig
{change}
"""


class InstallTests(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (self.folder / "requirements.txt").write_text("library==1\n")
        shutil.copytree(_ROOT / "deploy", self.folder / "deploy")
        self.stub = self.folder / "stub"
        (self.stub / "pip").mkdir(parents=True)
        (self.stub / "pip" / "__init__.py").touch()
        (self.stub / "pip" / "__main__.py").write_text(_PIP)
        # The build line runs "python3".
        (self.folder / "bin").mkdir()
        (self.folder / "bin" / "python3").symlink_to(sys.executable)
        self.deps = self.folder / "target" / "deps"

    def begin(self, **variables):
        line = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())["build"]
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        return subprocess.Popen(
            ["sh", "-c", line],
            cwd=self.folder,
            env={
                "PATH": path,
                "PYTHONPATH": str(self.stub),
                # The real pip would ask no index either.
                "PIP_NO_INDEX": "1",
                **variables,
            },
        )

    def build(self, **variables):
        return self.begin(**variables).wait(60)

    def calls(self):
        path = self.folder / "calls"
        return len(path.read_text().split()) if path.exists() else 0

    def assert_whole(self, *, calls):
        self.assertEqual(self.calls(), calls)
        names = {path.name for path in self.deps.iterdir()}
        self.assertLessEqual({"first.py", "second.py"}, names)
        self.assertEqual(
            (self.deps / "second.py").read_text(),
            (self.folder / "requirements.txt").read_text(),
        )

    def test_a_whole_installation_is_not_repeated(self):
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.build(), 0)
        self.assert_whole(calls=1)

    def test_an_installation_that_was_cut_short_is_repeated(self):
        """Guards against a program that lacks libraries since its build was killed."""
        self.assertNotEqual(self.build(PIP_STUB_END="kill"), 0)
        self.assertEqual(self.build(), 0)
        self.assert_whole(calls=2)

    def test_a_failed_installation_fails_the_build_and_is_repeated(self):
        self.assertNotEqual(self.build(PIP_STUB_END="fail"), 0)
        self.assertEqual(self.build(), 0)
        self.assert_whole(calls=2)

    def test_a_failed_installation_keeps_the_one_before(self):
        self.assertEqual(self.build(), 0)
        (self.folder / "requirements.txt").write_text("library==2\n")
        self.assertNotEqual(self.build(PIP_STUB_END="fail"), 0)
        self.assertEqual((self.deps / "second.py").read_text(), "library==1\n")

    def test_a_folder_that_another_installer_began_is_replaced(self):
        """Guards against a folder of unknown content that is newer than the list."""
        self.deps.mkdir(parents=True)
        (self.deps / "first.py").write_text("")
        self.assertEqual(self.build(), 0)
        self.assert_whole(calls=1)

    def test_changed_requirements_are_installed(self):
        self.assertEqual(self.build(), 0)
        before = (self.folder / "requirements.txt").stat()
        (self.folder / "requirements.txt").write_text("library==2\n")
        # A checkout may set an earlier time.
        os.utime(self.folder / "requirements.txt", (before.st_atime, 0))
        self.assertEqual(self.build(), 0)
        self.assert_whole(calls=2)

    def test_an_installation_for_another_machine_or_python_is_replaced(self):
        """Guards against extension modules that this Python cannot import."""
        changes = (
            "sys.implementation.cache_tag = 'cpython-399'",
            "sysconfig.get_platform = lambda: 'linux-other'",
            "sysconfig.get_config_vars()['EXT_SUFFIX'] = '.musl.so'",
        )
        customize = self.stub / "sitecustomize.py"
        for number, change in enumerate(changes):
            customize.write_text(_OTHER_PLATFORM.format(change=change))
            self.assertEqual(self.build(), 0)
            customize.unlink()
            self.assertEqual(self.build(), 0)
            self.assert_whole(calls=2 * number + 2)

    def test_builds_at_the_same_time_install_once(self):
        """Guards against two builds that write into one folder."""
        builds = [self.begin() for _ in range(4)]
        self.assertEqual([build.wait(60) for build in builds], [0] * 4)
        self.assert_whole(calls=1)

    def test_everything_is_placed_under_the_target_folder(self):
        before = {path.name for path in self.folder.iterdir()} | {"target", "calls"}
        self.assertEqual(self.build(), 0)
        self.assertEqual({path.name for path in self.folder.iterdir()}, before)
