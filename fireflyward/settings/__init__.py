"""Settings of a process, from flags, environment variables or defaults."""

from ._load import load
from ._serve import OPERATOR_SETTINGS, SERVE_SETTINGS
from ._settings import ENVIRONMENT_PREFIX, InvalidSetting, Setting, Settings, add_flags

__all__ = [
    "ENVIRONMENT_PREFIX",
    "OPERATOR_SETTINGS",
    "SERVE_SETTINGS",
    "InvalidSetting",
    "Setting",
    "Settings",
    "add_flags",
    "load",
]
