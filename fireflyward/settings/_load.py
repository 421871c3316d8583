"""Reads every declared setting once, before any socket opens."""

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
    """Read every declared setting; return all refusals together if any.

    Values are text as the shell gives them. A flag goes before its environment
    variable, which goes before the default; a setting with none of them is
    refused. A variable with the prefix that no setting declares is refused too,
    since it is most likely a typing error.
    """
    value_by_name: dict[str, Any] = {}
    source_by_name: dict[str, str] = {}
    refused: list[InvalidSetting] = list(_undeclared(declared, environment))
    for setting in declared:
        text, source = _pick(setting, flag_by_name, environment)
        if text is None:
            refused.append(
                InvalidSetting(setting.name, _NOT_GIVEN, setting.allowed, source)
            )
            continue
        try:
            value_by_name[setting.name] = setting.parse(text)
        except ValueError:
            shown = "(secret)" if setting.secret else text
            refused.append(InvalidSetting(setting.name, shown, setting.allowed, source))
        source_by_name[setting.name] = source
    if refused:
        return tuple(refused)
    declared_by_name = {setting.name: setting for setting in declared}
    return Settings(declared_by_name, value_by_name, source_by_name)


def _pick(
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


def _undeclared(
    declared: tuple[Setting, ...], environment: Mapping[str, str]
) -> list[InvalidSetting]:
    every = (*declared, *SERVE_SETTINGS, *OPERATOR_SETTINGS)
    known = {setting.variable for setting in every}
    return [
        InvalidSetting(name, "(not shown)", "a declared setting", f"variable {name}")
        for name in sorted(environment)
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    ]
