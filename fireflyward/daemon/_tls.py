"""TLS for the caller port, with certificates that are reloaded while the node runs."""

import logging
import ssl
from pathlib import Path

log = logging.getLogger("fireflyward.daemon")


class CallerTls:
    """Holds the TLS context of the caller port; it is None when no certificate is set.

    Certificates are short-lived and their files are replaced in place. A node that
    read them only at its start would at some point present an expired certificate,
    and every new connection would fail. ``renew`` reads changed files again, and new
    handshakes use the new certificate. When the files cannot be loaded (a half-written
    file, a key that does not match), the error is logged and the previous certificate
    stays in use.
    """

    __slots__ = ("_certificate", "_key", "_loaded_times_ns", "context")

    def __init__(self, certificate: str, key: str) -> None:
        self._certificate = Path(certificate)
        self._key = Path(key)
        self._loaded_times_ns: tuple[int, int] = (0, 0)
        self.context: ssl.SSLContext | None = None
        if certificate:
            self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self.context.minimum_version = ssl.TLSVersion.TLSv1_2
            self._load()

    def renew(self) -> bool:
        """Load the files again if they changed; return whether a new pair is in use."""
        if self.context is None:
            return False
        try:
            if self._modification_times_ns() == self._loaded_times_ns:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            log.error("daemon: renewed certificate refused, %s", error)
            return False
        log.info("daemon: certificate renewed")
        return True

    def _load(self) -> None:
        times_ns = self._modification_times_ns()
        # Loading an invalid pair would damage the context in use, so the pair is
        # loaded into a separate context first.
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trial.load_cert_chain(self._certificate, self._key)
        self.context.load_cert_chain(self._certificate, self._key)
        self._loaded_times_ns = times_ns

    def _modification_times_ns(self) -> tuple[int, int]:
        return (
            self._certificate.stat().st_mtime_ns,
            self._key.stat().st_mtime_ns,
        )
