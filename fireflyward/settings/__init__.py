"""Settings of a process: flags first, then environment variables, then defaults."""

from ._settings import (
    ENVIRONMENT_PREFIX,
    OPERATOR_SETTINGS,
    SERVE_SETTINGS,
    BadSetting,
    Setting,
    Settings,
    add_flags,
    load,
)

__all__ = [
    "ENVIRONMENT_PREFIX",
    "OPERATOR_SETTINGS",
    "SERVE_SETTINGS",
    "BadSetting",
    "Setting",
    "Settings",
    "add_flags",
    "load",
]
