"""Reads all declared settings once, before the process opens a socket."""

from collections.abc import Mapping
from typing import Any

from ._serve import OPERATOR_SETTINGS, SERVE_SETTINGS
from ._settings import ENVIRONMENT_PREFIX, InvalidSetting, Setting, Settings

_NOT_GIVEN = "(not given)"


def load(
    declared: tuple[Setting, ...],
    flag_by_name: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Settings | tuple[InvalidSetting, ...]:
    """Read all declared settings; if any is invalid, return all errors together.

    All values are given as text. A flag takes precedence over its environment
    variable, which takes precedence over the default. A setting with none of them
    is invalid. A variable that has the prefix but belongs to no declared setting is
    invalid too, since it is most likely a typing error.
    """
    value_by_name: dict[str, Any] = {}
    source_by_name: dict[str, str] = {}
    invalid: list[InvalidSetting] = list(_find_undeclared(declared, environment))
    for setting in declared:
        text, source = _find_text(setting, flag_by_name, environment)
        if text is None:
            invalid.append(
                InvalidSetting(setting.name, _NOT_GIVEN, setting.allowed, source)
            )
            continue
        try:
            value_by_name[setting.name] = setting.parse(text)
        except ValueError:
            displayed = "(secret)" if setting.secret else text
            invalid.append(
                InvalidSetting(setting.name, displayed, setting.allowed, source)
            )
        source_by_name[setting.name] = source
    if invalid:
        return tuple(invalid)
    declared_by_name = {setting.name: setting for setting in declared}
    return Settings(declared_by_name, value_by_name, source_by_name)


def _find_text(
    setting: Setting,
    flag_by_name: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str | None, str]:
    from_flag = flag_by_name.get(setting.name)
    if from_flag is not None:
        return from_flag, f"flag {setting.flag}"
    if setting.variable in environment:
        return environment[setting.variable], f"variable {setting.variable}"
    if setting.default is None:
        return None, "neither flag nor variable"
    return setting.default, "default"


def _find_undeclared(
    declared: tuple[Setting, ...], environment: Mapping[str, str]
) -> list[InvalidSetting]:
    all_settings = (*declared, *SERVE_SETTINGS, *OPERATOR_SETTINGS)
    declared_variables = {setting.variable for setting in all_settings}
    return [
        InvalidSetting(name, "(not shown)", "a declared setting", f"variable {name}")
        for name in sorted(environment)
        if name.startswith(ENVIRONMENT_PREFIX) and name not in declared_variables
    ]
