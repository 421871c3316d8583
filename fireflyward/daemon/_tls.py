"""TLS towards callers, with certificates that are renewed under way."""

import logging
import ssl
from pathlib import Path

log = logging.getLogger("fireflyward.daemon")


class CallerTls:
    """The TLS context of the caller port; None when no certificate is set.

    Certificates are short-lived and renewed in place. A node that read them only
    at its start would one day refuse every caller at once with an expired one;
    ``renew`` looks at the files again and new handshakes use what it finds. A
    renewal that cannot be read (a half-written file, a key of another pair) is
    logged and the last good one stays in use.
    """

    __slots__ = ("_certificate", "_key", "_seen", "context")

    def __init__(self, certificate: str, key: str) -> None:
        self._certificate = Path(certificate)
        self._key = Path(key)
        self._seen: tuple[int, int] = (0, 0)
        self.context: ssl.SSLContext | None = None
        if certificate:
            self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self.context.minimum_version = ssl.TLSVersion.TLSv1_2
            self._load()

    def renew(self) -> bool:
        """Read the files again if they changed; return whether they were taken."""
        if self.context is None:
            return False
        try:
            if self._stamp() == self._seen:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            log.error("daemon: renewed certificate refused, %s", error)
            return False
        log.info("daemon: certificate renewed")
        return True

    def _load(self) -> None:
        stamp = self._stamp()
        # Loading a bad pair into the context in use would spoil it.
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trial.load_cert_chain(self._certificate, self._key)
        self.context.load_cert_chain(self._certificate, self._key)
        self._seen = stamp

    def _stamp(self) -> tuple[int, int]:
        return (
            self._certificate.stat().st_mtime_ns,
            self._key.stat().st_mtime_ns,
        )
