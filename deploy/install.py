"""Installs the required libraries into ``target/deps``, unless they are there already.

Run at the root of the repository: ``python3 deploy/install.py``. It needs nothing but
Python and pip.
"""

import contextlib
import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
from collections.abc import Iterator
from pathlib import Path

_REQUIREMENTS = Path("requirements.txt")
_TARGET = Path("target")
_DEPS = _TARGET / "deps"
# Written last, so that an installation that was cut short has none.
_STAMP_NAME = ".installed-for"


def main() -> int:
    """Return 0 once the libraries are installed, or pip's exit status."""
    _TARGET.mkdir(exist_ok=True)
    with _lock():
        stamp = _make_stamp()
        if _read_stamp() == stamp:
            return 0
        return _install(stamp)


def _make_stamp() -> str:
    """Return what an installation depends on.

    Wheels differ by the version of Python, by architecture and by C library; the last
    two are in the suffix of extension modules.
    """
    return "\n".join(
        (
            hashlib.sha256(_REQUIREMENTS.read_bytes()).hexdigest(),
            sys.implementation.cache_tag or "",
            sysconfig.get_platform(),
            sysconfig.get_config_var("EXT_SUFFIX") or "",
        )
    )


def _read_stamp() -> str | None:
    try:
        return (_DEPS / _STAMP_NAME).read_text()
    except (OSError, UnicodeDecodeError):
        return None


def _install(stamp: str) -> int:
    """Install into a new folder and put it in the place of the old one.

    Processes that run keep the modules that they have imported, and one that starts
    meanwhile finds the old folder until the new one is whole.
    """
    new, old = _TARGET / "deps.new", _TARGET / "deps.old"
    _remove(new)
    command = [sys.executable, "-m", "pip", "install", "-q"]
    command += ["--disable-pip-version-check", "--target", str(new)]
    status = subprocess.run([*command, "-r", str(_REQUIREMENTS)]).returncode
    if status != 0:
        return status
    (new / _STAMP_NAME).write_text(stamp)
    _remove(old)
    if os.path.lexists(_DEPS):
        _DEPS.rename(old)
    new.rename(_DEPS)
    _remove(old)
    return 0


def _remove(path: Path) -> None:
    if path.is_symlink() or path.is_file():
        path.unlink()
    elif path.exists():
        shutil.rmtree(path)


@contextlib.contextmanager
def _lock() -> Iterator[None]:
    """Let one installation run at a time; the lock ends with its process."""
    with (_TARGET / ".install-lock").open("a") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


if __name__ == "__main__":
    sys.exit(main())
