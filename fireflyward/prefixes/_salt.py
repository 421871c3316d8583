"""Cache salts, which separate KV cache by model version and isolated account."""

_SEPARATOR = "~"


def cache_salt(model: str, version: int, account: str | None = None) -> str:
    """Return the salt for one version of a model and, if given, one isolated account.

    KV cache computed with other weights gives wrong answers without any error, and
    replicas check neither the version nor the account. With another salt they find no
    cache. ``account`` is given only for isolated accounts.

    >>> cache_salt("m", 2)
    'm~2'
    """
    parts = [model, str(version)]
    if account is not None:
        parts.append(account)
    return _SEPARATOR.join(parts)


def salt_version(salt: str) -> tuple[str, int] | None:
    """Return model and version of a salt, None if ``cache_salt`` did not create it.

    >>> salt_version("m~2~account")
    ('m', 2)
    """
    parts = salt.split(_SEPARATOR)
    if len(parts) < 2 or not parts[1].isdigit():
        return None
    return parts[0], int(parts[1])
