"""Declared settings, checked once before any socket opens."""

import argparse
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

ENVIRONMENT_PREFIX = "FIREFLYWARD_"
_MAX_PORT = 65_535
_SECRET_SHOWN_AS = "(secret, set)"


@dataclass(frozen=True, slots=True)
class BadSetting:
    """A refused value: the setting, what was given, and what is allowed."""

    name: str
    value: str
    allowed: str
    source: str

    def __str__(self) -> str:
        return (
            f"setting {self.name} from {self.source}: "
            f"{self.value!r} is not allowed; allowed: {self.allowed}"
        )


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting: how it is read, what is allowed, and what it is for.

    ``parse`` turns the text into a value and raises ``ValueError`` for anything
    that is not allowed; ``allowed`` says in words what that is.
    """

    name: str
    default: str
    parse: Callable[[str], Any]
    allowed: str
    help: str
    secret: bool = False

    @property
    def flag(self) -> str:
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        return ENVIRONMENT_PREFIX + self.name.upper()


class Settings:
    """Checked values by name, each with the place it came from.

    >>> from fireflyward.settings import SERVE_SETTINGS, load
    >>> load(SERVE_SETTINGS, {}, {"FIREFLYWARD_PORT": "0"})["port"]
    0
    """

    __slots__ = ("_declared_by_name", "_source_by_name", "_value_by_name")

    def __init__(
        self,
        declared_by_name: Mapping[str, Setting],
        value_by_name: Mapping[str, Any],
        source_by_name: Mapping[str, str],
    ) -> None:
        self._declared_by_name = dict(declared_by_name)
        self._value_by_name = dict(value_by_name)
        self._source_by_name = dict(source_by_name)

    def __getitem__(self, name: str) -> Any:
        return self._value_by_name[name]

    def __repr__(self) -> str:
        return f"Settings({', '.join(sorted(self._value_by_name))})"

    def rows(self) -> list[tuple[str, str, str]]:
        """Return name, shown value and source of each; secrets are not shown."""
        return [
            (name, self._shown(name), self._source_by_name[name])
            for name in sorted(self._value_by_name)
        ]

    def _shown(self, name: str) -> str:
        value = self._value_by_name[name]
        if self._declared_by_name[name].secret:
            return _SECRET_SHOWN_AS if value else "(secret, not set)"
        if isinstance(value, tuple):
            return ",".join(str(item) for item in value)
        return str(value)


def load(
    declared: tuple[Setting, ...],
    flag_by_name: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Settings | tuple[BadSetting, ...]:
    """Read every declared setting; return all refusals together if any.

    Values are text as the shell gives them. A flag goes before its environment
    variable, which goes before the default. A variable with the prefix that no
    setting declares is refused too, since it is most likely a typing error.
    """
    value_by_name: dict[str, Any] = {}
    source_by_name: dict[str, str] = {}
    refused: list[BadSetting] = list(_undeclared(declared, environment))
    for setting in declared:
        text, source = _pick(setting, flag_by_name, environment)
        try:
            value_by_name[setting.name] = setting.parse(text)
        except ValueError:
            shown = "(secret)" if setting.secret else text
            refused.append(BadSetting(setting.name, shown, setting.allowed, source))
        source_by_name[setting.name] = source
    if refused:
        return tuple(refused)
    declared_by_name = {setting.name: setting for setting in declared}
    return Settings(declared_by_name, value_by_name, source_by_name)


def add_flags(parser: argparse.ArgumentParser, declared: tuple[Setting, ...]) -> None:
    """Give ``parser`` one flag for each setting, its help naming the variable."""
    for setting in declared:
        default = setting.default or "none"
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            default=None,
            metavar="VALUE",
            help=f"{setting.help} (allowed: {setting.allowed}; default: {default}; "
            f"variable: {setting.variable})".replace("%", "%%"),
        )


def _pick(
    setting: Setting,
    flag_by_name: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str, str]:
    from_flag = flag_by_name.get(setting.name)
    if from_flag is not None:
        return from_flag, f"flag {setting.flag}"
    if setting.variable in environment:
        return environment[setting.variable], f"variable {setting.variable}"
    return setting.default, "default"


def _undeclared(
    declared: tuple[Setting, ...], environment: Mapping[str, str]
) -> list[BadSetting]:
    every = (*declared, *SERVE_SETTINGS, *OPERATOR_SETTINGS)
    known = {setting.variable for setting in every}
    return [
        BadSetting(name, "(not shown)", "a declared setting", f"variable {name}")
        for name in sorted(environment)
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    ]


def _text(text: str) -> str:
    if any(ord(character) < 32 for character in text):
        raise ValueError(text)
    return text


def _name(text: str) -> str:
    if not text or not all(part.isalnum() for part in text.split("-")):
        raise ValueError(text)
    return text


def _number(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def _fraction(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= 1.0:
        raise ValueError(text)
    return value


def _choice(*choices: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def _url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError(text)
    return text.rstrip("/")


def _address(text: str) -> tuple[str, int]:
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(text)
    return host, _number(0, _MAX_PORT)(port)


def _addresses(text: str) -> tuple[tuple[str, int], ...]:
    return tuple(_address(part) for part in text.split(",") if part)


def _readable_file(text: str) -> str:
    if text and not os.access(text, os.R_OK):
        raise ValueError(text)
    return text


def _port_or_off(text: str) -> int | None:
    return None if text == "off" else _number(0, _MAX_PORT)(text)


def _hex_keys(text: str) -> tuple[bytes, ...]:
    keys = tuple(bytes.fromhex(part) for part in text.split(",") if part)
    if len(keys) > 2 or any(len(key) < 16 for key in keys):
        raise ValueError("keys")
    return keys


def _trust_roots(text: str) -> tuple[tuple[str, bytes], ...]:
    roots = []
    for part in text.split(","):
        if not part:
            continue
        person, separator, key = part.partition("=")
        if not separator or len(bytes.fromhex(key)) != 32:
            raise ValueError(text)
        roots.append((person, bytes.fromhex(key)))
    return tuple(roots)


SERVE_SETTINGS: tuple[Setting, ...] = (
    Setting(
        "deployment",
        "demo",
        _name,
        "letters, digits and hyphens",
        "Deployment that this process belongs to; a bundle names the same.",
    ),
    Setting(
        "node_name",
        "entry-1",
        _name,
        "letters, digits and hyphens",
        "Name of this VM, unlike that of any other in the deployment.",
    ),
    Setting(
        "failure_domain",
        "local",
        _name,
        "letters, digits and hyphens",
        "Failure domain in which this VM stands.",
    ),
    Setting(
        "region",
        "local",
        _name,
        "letters, digits and hyphens",
        "Region in which this failure domain lies.",
    ),
    Setting("host", "127.0.0.1", _text, "an IP number", "Address for callers."),
    Setting("port", "8480", _number(0, _MAX_PORT), "0 to 65535", "Port for callers."),
    Setting(
        "admin_host",
        "127.0.0.1",
        _text,
        "an IP number",
        "Address for operators' commands.",
    ),
    Setting(
        "admin_port",
        "off",
        _port_or_off,
        "off, or 0 to 65535",
        "Port for operators' commands.",
    ),
    Setting(
        "peer_host", "127.0.0.1", _text, "an IP number", "Address for other nodes."
    ),
    Setting(
        "peer_port",
        "8481",
        _number(0, _MAX_PORT),
        "0 to 65535",
        "Port for other nodes.",
    ),
    Setting(
        "peers",
        "",
        _addresses,
        "host:port, comma separated",
        "Nodes to ask first when this one starts.",
    ),
    Setting(
        "peer_keys",
        "",
        _hex_keys,
        "one or two hexadecimal keys of 16 bytes or more, comma separated",
        "Keys between nodes: the first signs, both are accepted.",
        secret=True,
    ),
    Setting(
        "kept_key",
        "00" * 32,
        lambda text: bytes.fromhex(text),
        "hexadecimal",
        "Key from which the names of kept blocks are derived.",
        secret=True,
    ),
    Setting(
        "kept_block_bytes",
        "8388608",
        _number(1, 1 << 30),
        "1 to 1073741824",
        "Bytes of the KV of one block of 64 tokens, as links carry it.",
    ),
    Setting(
        "table_url",
        "http://127.0.0.1:8490",
        _url,
        "an http or https URL",
        "Table service of the platform.",
    ),
    Setting(
        "objects_url",
        "http://127.0.0.1:8491",
        _url,
        "an http or https URL",
        "Object store of the platform.",
    ),
    Setting(
        "weights_url",
        "http://127.0.0.1:8492",
        _url,
        "an http or https URL",
        "Weight store of the platform.",
    ),
    Setting(
        "vms_url",
        "http://127.0.0.1:8493",
        _url,
        "an http or https URL",
        "The platform's list of live and leaving VMs.",
    ),
    Setting(
        "store_reads_per_s",
        "1600",
        _number(1, 1_000_000),
        "1 to 1000000",
        "Reads a second that all nodes together ask of the table, and of the objects.",
    ),
    Setting(
        "store_writes_per_s",
        "240",
        _number(1, 1_000_000),
        "1 to 1000000",
        "Writes a second that all nodes together ask of the table, and of the objects.",
    ),
    Setting(
        "trust_roots",
        "",
        _trust_roots,
        "person=public key in hexadecimal, comma separated",
        "People whose signatures count for the first bundle.",
    ),
    Setting(
        "weight_loads_per_minute",
        "120",
        _number(1, 100_000),
        "1 to 100000",
        "Loads that the weight store allows a minute, over all replicas.",
    ),
    Setting(
        "rollout_watch_ms",
        "3000",
        _number(0, 3_600_000),
        "0 to 3600000",
        "Time for which a new weight version is watched on its first replicas.",
    ),
    Setting(
        "bundle_poll_ms",
        "2000",
        _number(50, 60_000),
        "50 to 60000",
        "Time between two looks at the bundle number in the table service.",
    ),
    Setting(
        "request_limit_bytes",
        "8388608",
        _number(1_024, 1 << 30),
        "1024 to 1073741824",
        "Largest request body that is read.",
    ),
    Setting(
        "request_deadline_ms",
        "120000",
        _number(100, 3_600_000),
        "100 to 3600000",
        "Time after which a request that the caller gave no deadline is given up.",
    ),
    Setting(
        "silence_limit_ms",
        "3000",
        _number(50, 60_000),
        "50 to 60000",
        "Time for which a connection may stay silent before it is doubted.",
    ),
    Setting(
        "balancer_wait_ms",
        "3000",
        _number(0, 600_000),
        "0 to 600000",
        "Time that the balancer has to notice a planned stop before the port closes.",
    ),
    Setting(
        "drain_limit_ms",
        "600000",
        _number(0, 86_400_000),
        "0 to 86400000",
        "Hard limit of a planned stop; what it cuts is logged.",
    ),
    Setting(
        "tls_certificate",
        "",
        _readable_file,
        "a readable PEM file, or nothing for plain HTTP",
        "Certificate chain of the caller port; read again when it changes.",
    ),
    Setting(
        "tls_key",
        "",
        _readable_file,
        "a readable PEM file, given together with the certificate",
        "Private key of the certificate.",
    ),
    Setting(
        "trace_share",
        "0.01",
        _fraction,
        "0.0 to 1.0",
        "Share of requests whose spans are written out.",
    ),
    Setting(
        "log_format",
        "text",
        _choice("text", "json"),
        "text or json",
        "Form of the logs.",
    ),
    Setting(
        "log_level",
        "info",
        _choice("debug", "info", "warning", "error"),
        "debug, info, warning or error",
        "Least level that is logged.",
    ),
)

OPERATOR_SETTINGS: tuple[Setting, ...] = (
    Setting(
        "admin_url",
        "http://127.0.0.1:8482",
        _url,
        "an http or https URL",
        "Administration API of any node.",
    ),
    Setting(
        "key_file",
        "",
        _text,
        "a path",
        "Your private key, as made by 'fireflyward key new'.",
    ),
    Setting(
        "key_passphrase",
        "",
        _text,
        "text",
        "Passphrase of the key file; better given as a variable than as a flag.",
        secret=True,
    ),
)
