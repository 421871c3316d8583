"""Measures the processor time of membership datagrams compared with plain JSON."""

import json
import time
from collections.abc import Callable

from fireflyward.bench import Bench, Figure
from fireflyward.bench._membership_net import MembershipNet
from fireflyward.membership import Packet, PacketStruct, from_struct, to_struct
from fireflyward.peers import Envelope, PeerCodec, pack, unpack

_ROUNDS = 2_000
_INCARNATION = 1_796_000_000_000_000
_DATAGRAMS_PER_S = 3.1


def _measure() -> list[Figure]:
    net = MembershipNet(seed=1)
    net.start_many(3, 9)
    net.run_ms(2_000)
    packets = [packet for _, _, packet in net.sent][:50]
    codec = PeerCodec((b"k" * 16,))
    frames = [encode(codec, packet) for packet in packets]
    encode_s = _time_per_call_s(lambda packet: encode(codec, packet), packets)
    decode_s = _time_per_call_s(lambda frame: _decode(codec, frame), frames)
    json_s = _time_per_call_s(
        lambda frame: json.loads(json.dumps(_plain_rows(frame))), packets
    )
    share = (encode_s + decode_s) * _DATAGRAMS_PER_S
    decisions_s = _decisions_share()
    return [
        Figure("membership_cpu.encode_us", encode_s * 1e6, "µs"),
        Figure("membership_cpu.decode_us", decode_s * 1e6, "µs"),
        Figure("membership_cpu.codec_to_json", (encode_s + decode_s) / json_s, "×"),
        Figure("membership_cpu.codec_core_share", 100 * share, "%"),
        Figure("membership_cpu.decisions_core_share", 100 * decisions_s, "%"),
    ]


def encode(codec: PeerCodec, packet: Packet) -> bytes:
    """Return the frame of a datagram."""
    body = pack(to_struct(packet))
    envelope = Envelope(
        sender=packet.sender.name,
        incarnation=_INCARNATION,
        sequence=1_000,
        kind="membership",
        body=body,
    )
    return codec.seal(envelope)


def _decode(codec: PeerCodec, frame: bytes) -> Packet | None:
    return from_struct(unpack(PacketStruct, codec.open(frame).body))


def _plain_rows(packet: Packet) -> list[object]:
    rows = [packet.sender, *packet.rows]
    return [
        [row.name, row.address, row.failure_domain, row.incarnation, row.state]
        for row in rows
    ]


def _time_per_call_s(work: Callable[..., object], items: list[object]) -> float:
    started_s = time.process_time()
    for index in range(_ROUNDS):
        work(items[index % len(items)])
    return (time.process_time() - started_s) / _ROUNDS


def _decisions_share() -> float:
    """Return the share of a core that one of 350 nodes uses for its decisions."""
    net = MembershipNet(seed=1)
    net.start_many(10, 35)
    net.run_ms(1_000)
    started_s = time.process_time()
    net.run_ms(3_000)
    return (time.process_time() - started_s) / 3 / 350


BENCH = Bench("membership_cpu", _measure, is_count=False)
