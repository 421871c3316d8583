"""The text under which KV cache is kept apart."""

_SEPARATOR = "~"


def cache_salt(model: str, version: int, account: str | None = None) -> str:
    """Return the salt of one version of a model, and of one isolated account.

    KV cache made by other weights gives wrong answers without any error, and
    replicas check neither version nor account; under another salt they find
    nothing. ``account`` is given for isolated accounts only.

    >>> cache_salt("m", 2)
    'm~2'
    """
    parts = [model, str(version)]
    if account is not None:
        parts.append(account)
    return _SEPARATOR.join(parts)


def salt_version(salt: str) -> tuple[str, int] | None:
    """Return model and version of a salt, None if it is not one of ours.

    >>> salt_version("m~2~account")
    ('m', 2)
    """
    parts = salt.split(_SEPARATOR)
    if len(parts) < 2 or not parts[1].isdigit():
        return None
    return parts[0], int(parts[1])
