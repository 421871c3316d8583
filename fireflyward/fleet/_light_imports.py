"""Avoids costly setup, at the import of libraries, that a node doesn't need."""

import os

# The HTTP library creates two TLS contexts when it is imported, and each reads all
# certificate authorities of the VM. This takes 130 of 700 ms of processor time and 2 MB
# at every node while all of them start. A node uses plain HTTP to the platform, to
# replicas and to callers. Without authorities, TLS connections would fail, which is the
# safe failure if that ever changes.
_AUTHORITIES_FILE_VARIABLE = "SSL_CERT_FILE"


def disable_certificate_authorities() -> None:
    """Let TLS contexts created from now on load no certificate authorities."""
    os.environ[_AUTHORITIES_FILE_VARIABLE] = os.devnull
