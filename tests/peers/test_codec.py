import unittest

from fireflyward.peers import Envelope, PeerCodec
from fireflyward.peers._codec import MAX_FRAME_BYTES

OLD, NEW, OTHER = b"o" * 16, b"n" * 16, b"x" * 16


def make_envelope():
    return Envelope(sender="entry-1", incarnation=1, sequence=1, kind="k", body=b"b")


class CodecTests(unittest.TestCase):
    def test_frame_comes_back(self):
        codec = PeerCodec((OLD,))
        self.assertEqual(codec.open(codec.seal(make_envelope())), make_envelope())

    def test_both_keys_open_while_keys_are_rotated(self):
        """Symptom: half of the nodes stop hearing the other half. Sequence: keys
        are changed node by node. Cause: a node took only its own new key."""
        before, during, after = (
            PeerCodec((OLD,)),
            (PeerCodec((OLD, NEW)), PeerCodec((NEW, OLD))),
            PeerCodec((NEW,)),
        )
        for one in during:
            for other in (before, *during) if one is during[0] else (*during, after):
                self.assertIsNotNone(other.open(one.seal(make_envelope())))
                self.assertIsNotNone(one.open(other.seal(make_envelope())))
        self.assertIsNone(after.open(before.seal(make_envelope())))

    def test_a_key_that_replaces_another_seals_and_both_open(self):
        """Guards against nodes that stop hearing each other while the key changes."""
        changed, before, after = (PeerCodec((key,)) for key in (OLD, OLD, NEW))
        changed.rotate_key(NEW)
        changed.rotate_key(NEW)
        self.assertIsNotNone(after.open(changed.seal(make_envelope())))
        for other in (before, after):
            self.assertIsNotNone(changed.open(other.seal(make_envelope())))

    def test_any_changed_byte_is_refused(self):
        codec = PeerCodec((OLD,))
        frame = codec.seal(make_envelope())
        for index in range(len(frame)):
            changed = bytearray(frame)
            changed[index] ^= 1
            self.assertIsNone(codec.open(bytes(changed)), index)

    def test_cut_long_and_foreign_frames_are_refused(self):
        codec = PeerCodec((OLD,))
        frame = codec.seal(make_envelope())
        for bad in (b"", frame[:16], frame[:-1], frame + b"x"):
            self.assertIsNone(codec.open(bad))
        self.assertIsNone(codec.open(b"0" * (MAX_FRAME_BYTES + 1)))
        self.assertIsNone(codec.open(PeerCodec((OTHER,)).seal(make_envelope())))

    def test_signed_bytes_that_are_no_envelope_are_refused(self):
        from fireflyward.peers._codec import _tag

        for payload in (b"\xff" * 40, b"\x0b\x00\x01\x7f\xff\xff\xff", b"\x00"):
            self.assertIsNone(PeerCodec((OLD,)).open(_tag(OLD, payload) + payload))

    def test_codec_without_keys_says_so(self):
        self.assertTrue(PeerCodec(()).is_open)
        self.assertFalse(PeerCodec((OLD,)).is_open)
