import asyncio
import datetime
import ssl
import tempfile
import unittest
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from fireflyward.daemon import Node
from fireflyward.daemon._tls import CallerTls
from fireflyward.demo import DemoDeployment
from fireflyward.settings import SERVE_SETTINGS, load

DAY = datetime.timedelta(days=1)
NOW = datetime.datetime.now(datetime.UTC)


def write_pair(folder, name):
    """Write a self-signed certificate and its key, and return their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOW - DAY)
        .not_valid_after(NOW + DAY)
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    certificate_path, key_path = folder / "certificate.pem", folder / "key.pem"
    certificate_path.write_bytes(certificate.public_bytes(encoding))
    key_path.write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(certificate_path), str(key_path)


class CallerTlsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.certificate, self.key = write_pair(self.folder, "first")

    async def test_node_serves_over_tls_with_the_renewed_certificate(self):
        """Guards against presenting an expired certificate to every caller.

        The certificate is renewed in its file while the node runs. The node must not
        continue to use the certificate that it read at its start.
        """
        async with DemoDeployment(nodes_per_domain=0, engines_per_domain=1) as demo:
            values = demo.flag_values("entry-1", "sala-sur") | {
                "port": "0",
                "peer_port": "0",
                "tls_certificate": self.certificate,
                "tls_key": self.key,
            }
            node = Node(load(SERVE_SETTINGS, values, {}))
            await node.start()
            self.addAsyncCleanup(node.close)
            self.assertIn(b"first", await self.presented_certificate(node.port))
            write_pair(self.folder, "second")
            self.assertTrue(node.io.tls.renew())
            self.assertIn(b"second", await self.presented_certificate(node.port))

    async def presented_certificate(self, port):
        """Return the certificate that a new handshake presents, in DER format."""
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        presented = writer.get_extra_info("ssl_object").getpeercert(True)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        self.assertIn(b"alive", await reader.read())
        writer.close()
        await writer.wait_closed()
        return presented

    def test_half_written_renewal_keeps_the_previous_certificate(self):
        tls = CallerTls(self.certificate, self.key)
        Path(self.certificate).write_text("-----BEGIN CERTIFICATE-----\n")
        with self.assertLogs("fireflyward.daemon", "ERROR"):
            self.assertFalse(tls.renew())
        self.assertIsNotNone(tls.context)

    def test_without_files_the_port_is_plain(self):
        tls = CallerTls("", "")
        self.assertIsNone(tls.context)
        self.assertFalse(tls.renew())
