import os
import tempfile
import unittest
from pathlib import Path

from fireflyward.bundles import KeyProblem, SigningKey, create_key, load_key


class KeyFileTests(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "ana.key"

    def test_written_key_is_read_back(self):
        made = create_key(self.path, "ana")
        loaded = load_key(self.path)
        self.assertEqual(loaded.person, "ana")
        self.assertEqual(loaded.public_bytes(), made.public_bytes())
        self.assertEqual(self.path.stat().st_mode & 0o777, 0o600)

    def test_key_that_others_can_read_is_refused(self):
        create_key(self.path, "ana")
        for mode in (0o640, 0o604, 0o660):
            os.chmod(self.path, mode)
            problem = load_key(self.path)
            self.assertIsInstance(problem, KeyProblem)
            self.assertIn(f"{mode:04o}", str(problem))

    def test_passphrase_is_needed_and_checked(self):
        create_key(self.path, "ana", "long and secret")
        self.assertIn("passphrase", str(load_key(self.path)))
        self.assertIsInstance(load_key(self.path, "wrong"), KeyProblem)
        self.assertIsInstance(load_key(self.path, "long and secret"), SigningKey)
        self.assertNotIn(b"BEGIN PRIVATE KEY", self.path.read_bytes())

    def test_existing_file_is_never_overwritten(self):
        create_key(self.path, "ana")
        before = self.path.read_bytes()
        self.assertIsInstance(create_key(self.path, "bruno"), KeyProblem)
        self.assertEqual(self.path.read_bytes(), before)

    def test_other_files_are_refused(self):
        self.assertIsInstance(load_key(self.path), KeyProblem)
        for body in (b"", b"hello", b"# fireflyward key of ana\nnot a key"):
            self.path.write_bytes(body)
            os.chmod(self.path, 0o600)
            self.assertIsInstance(load_key(self.path), KeyProblem)
