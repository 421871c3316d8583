"""Keeps what a node never uses from being set up when libraries are imported."""

import os

# The HTTP library makes two TLS contexts as it is imported, and each reads all the
# certificate authorities of the VM: 130 of 700 ms of processor time and 2 MB, at
# every node, while all of them start. A node speaks plain HTTP to the platform, to
# replicas and to callers. With no authorities a TLS connection could not be opened
# at all, which is the safe way to be wrong.
_AUTHORITIES_FILE_VARIABLE = "SSL_CERT_FILE"


def disable_certificate_authorities() -> None:
    """Have TLS contexts that are made from now on know no authority."""
    os.environ[_AUTHORITIES_FILE_VARIABLE] = os.devnull
