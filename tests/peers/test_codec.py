import unittest

from fireflyward.peers import Envelope, PeerCodec
from fireflyward.peers._codec import MAX_FRAME_BYTES

OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def make_envelope():
    return Envelope(sender="entry-1", incarnation=1, sequence=1, kind="k", body=b"b")


class CodecTests(unittest.TestCase):
    def test_opening_a_sealed_frame_returns_the_envelope(self):
        codec = PeerCodec((OLD,))
        self.assertEqual(codec.open(codec.seal(make_envelope())), make_envelope())

    def test_both_keys_are_accepted_during_rotation(self):
        """Guards against two halves of the nodes that reject each other's messages.

        Keys are rotated node by node. A node must accept more than its own new key.
        """
        before, during, after = (
            PeerCodec((OLD,)),
            (PeerCodec((OLD, NEW)), PeerCodec((NEW, OLD))),
            PeerCodec((NEW,)),
        )
        for node in during:
            for peer in (before, *during) if node is during[0] else (*during, after):
                self.assertIsNotNone(peer.open(node.seal(make_envelope())))
                self.assertIsNotNone(node.open(peer.seal(make_envelope())))
        self.assertIsNone(after.open(before.seal(make_envelope())))

    def test_rotated_key_signs_and_both_keys_are_accepted(self):
        """Guards against nodes that reject each other's messages during rotation."""
        changed, before, after = (PeerCodec((key,)) for key in (OLD, OLD, NEW))
        changed.rotate_key(NEW)
        changed.rotate_key(NEW)
        self.assertIsNotNone(after.open(changed.seal(make_envelope())))
        for peer in (before, after):
            self.assertIsNotNone(changed.open(peer.seal(make_envelope())))

    def test_any_changed_byte_is_rejected(self):
        codec = PeerCodec((OLD,))
        frame = codec.seal(make_envelope())
        for index in range(len(frame)):
            changed = bytearray(frame)
            changed[index] ^= 1
            self.assertIsNone(codec.open(bytes(changed)), index)

    def test_truncated_oversize_and_wrongly_signed_frames_are_rejected(self):
        codec = PeerCodec((OLD,))
        frame = codec.seal(make_envelope())
        for invalid in (b"", frame[:16], frame[:-1], frame + b"x"):
            self.assertIsNone(codec.open(invalid))
        self.assertIsNone(codec.open(b"0" * (MAX_FRAME_BYTES + 1)))
        self.assertIsNone(codec.open(PeerCodec((OTHER,)).seal(make_envelope())))

    def test_signed_bytes_that_are_no_envelope_are_rejected(self):
        from fireflyward.peers._codec import _tag

        for payload in (b"\xff" * 40, b"\x0b\x00\x01\x7f\xff\xff\xff", b"\x00"):
            self.assertIsNone(PeerCodec((OLD,)).open(_tag(OLD, payload) + payload))

    def test_codec_without_keys_is_unauthenticated(self):
        self.assertTrue(PeerCodec(()).is_unauthenticated)
        self.assertFalse(PeerCodec((OLD,)).is_unauthenticated)
