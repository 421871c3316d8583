"""Parsers of settings: each raises ``ValueError`` if the text is invalid."""

import os
from collections.abc import Callable

MAX_PORT = 65_535
MAX_PEER_KEYS = 2
MIN_PEER_KEY_BYTES = 16
MIN_KEPT_KEY_BYTES = 32


def parse_text(text: str) -> str:
    if any(ord(character) < 32 for character in text):
        raise ValueError(text)
    return text


def parse_name(text: str) -> str:
    if not text or not all(part.isalnum() for part in text.split("-")):
        raise ValueError(text)
    return text


def parse_number(minimum: int, maximum: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def parse_fraction(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= 1.0:
        raise ValueError(text)
    return value


def parse_choice(*choices: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def parse_url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError(text)
    return text.rstrip("/")


def parse_address(text: str) -> tuple[str, int]:
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(text)
    return host, parse_number(0, MAX_PORT)(port)


def parse_addresses(text: str) -> tuple[tuple[str, int], ...]:
    return tuple(parse_address(part) for part in text.split(",") if part)


def parse_readable_file(text: str) -> str:
    if text and not os.access(text, os.R_OK):
        raise ValueError(text)
    return text


def parse_port_or_off(text: str) -> int | None:
    return None if text == "off" else parse_number(0, MAX_PORT)(text)


def parse_peer_keys(text: str) -> tuple[bytes, ...]:
    parts = [part for part in text.split(",") if part]
    if not 1 <= len(parts) <= MAX_PEER_KEYS:
        raise ValueError("wrong number of keys")
    return tuple(_parse_hex_key(part, MIN_PEER_KEY_BYTES) for part in parts)


def parse_kept_key(text: str) -> bytes:
    return _parse_hex_key(text, MIN_KEPT_KEY_BYTES)


def _parse_hex_key(text: str, min_bytes: int) -> bytes:
    key = bytes.fromhex(text)
    if len(key) < min_bytes or not any(key):
        raise ValueError("key is too short or all zeros")
    return key


def parse_trust_roots(text: str) -> tuple[tuple[str, bytes], ...]:
    roots = []
    for part in text.split(","):
        if not part:
            continue
        person, separator, key = part.partition("=")
        if not separator or len(bytes.fromhex(key)) != 32:
            raise ValueError(text)
        roots.append((person, bytes.fromhex(key)))
    return tuple(roots)
