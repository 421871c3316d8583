import unittest

from fireflyward.membership import (
    DomainAge,
    DomainDigest,
    Member,
    MemberState,
    Packet,
    PacketKind,
    PacketStruct,
    from_struct,
    to_struct,
)
from fireflyward.peers import pack, unpack

OWN = Member("entry-1", ("127.0.0.1", 8481), "d1", "r", 1 << 50, bundle_number=7)


class WireTests(unittest.TestCase):
    def round_trip(self, packet):
        return from_struct(unpack(PacketStruct, pack(to_struct(packet))))

    def test_packet_round_trip_is_lossless(self):
        packet = Packet(
            PacketKind.PROBE,
            OWN,
            5,
            "entry-2",
            (OWN, Member("entry-3", ("", 0), "", "", 4, MemberState.DEAD)),
            (DomainAge("d2", 1_500),),
            (DomainDigest("d1", (1 << 56) - 1),),
        )
        self.assertEqual(self.round_trip(packet), packet)

    def test_age_of_months_is_limited_to_32_bits(self):
        packet = Packet(PacketKind.NEWS, OWN, ages=(DomainAge("d2", 1 << 40),))
        self.assertEqual(self.round_trip(packet).ages[0].age_ms, 2**31 - 1)

    def test_invalid_values_are_rejected(self):
        struct = to_struct(Packet(PacketKind.NEWS, OWN))
        struct.kind = 99
        self.assertIsNone(from_struct(struct))
        struct = to_struct(Packet(PacketKind.NEWS, OWN))
        struct.sender.state = MemberState.UNHEARD
        self.assertIsNone(from_struct(struct))
        struct.sender = None
        self.assertIsNone(from_struct(struct))
