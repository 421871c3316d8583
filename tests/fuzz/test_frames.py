"""Arbitrary and damaged frames between nodes."""

import asyncio
import unittest
from pathlib import Path

import thriftpy2
from hypothesis import given, strategies as st

import fireflyward
from fireflyward.peers import PeerCodec, pack, unpack
from fireflyward.peers._codec import MAX_FRAME_BYTES, Envelope
from tests.faults._matrix import deterministic_draws
from tests.faults._simulation import Simulation
from tests.fuzz.profiles import fuzz

SOURCES = Path(fireflyward.__file__).parent
KEY = b"k" * 32
CODEC = PeerCodec((KEY,))


def find_structs():
    """Return every struct of all Thrift files of the program."""
    structs = []
    for path in sorted(SOURCES.rglob("*.thrift")):
        module = thriftpy2.load(str(path), module_name=f"fuzz_{path.stem}_thrift")
        structs += module.__thrift_meta__["structs"]
    return structs


STRUCTS = find_structs()
frames = st.builds(
    Envelope,
    sender=st.text(max_size=20),
    incarnation=st.integers(0, 2**62),
    sequence=st.integers(0, 2**62),
    kind=st.text(max_size=20),
    body=st.binary(max_size=60),
).map(CODEC.seal)


class CodecTests(unittest.TestCase):
    @fuzz(60)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected(self, data):
        self.assertIsNone(CODEC.open(data))

    @fuzz(60)
    @given(frames, st.data())
    def test_a_frame_with_one_changed_bit_is_rejected(self, frame, data):
        bit_index = data.draw(st.integers(0, len(frame) * 8 - 1))
        changed = bytearray(frame)
        changed[bit_index // 8] ^= 1 << bit_index % 8
        self.assertIsNotNone(CODEC.open(frame))
        self.assertIsNone(CODEC.open(bytes(changed)))

    def test_a_frame_longer_than_the_limit_is_rejected(self):
        envelope = Envelope(sender="s", incarnation=1, sequence=1, kind="k", body=b"")
        frame = CODEC.seal(envelope)
        self.assertIsNone(CODEC.open(frame + b"\0" * MAX_FRAME_BYTES))

    @fuzz(80)
    @given(st.sampled_from(STRUCTS), st.binary(max_size=120))
    def test_arbitrary_bytes_unpack_to_a_struct_or_none(self, struct_type, data):
        result = unpack(struct_type, data)
        self.assertTrue(result is None or isinstance(result, struct_type))

    @fuzz(80)
    @given(st.sampled_from(STRUCTS), st.binary(min_size=1, max_size=60), st.data())
    def test_a_truncated_struct_unpacks_to_a_struct_or_none(
        self, struct_type, tail, data
    ):
        body = pack(struct_type()) if not has_required_fields(struct_type) else b""
        length = data.draw(st.integers(0, len(body)))
        result = unpack(struct_type, body[:length] + tail)
        self.assertTrue(result is None or isinstance(result, struct_type))


def has_required_fields(struct_type):
    return any(spec[-1] for spec in struct_type.thrift_spec.values())


class HandlerTests(unittest.TestCase):
    """Sends messages of every kind, with arbitrary content, to a node."""

    @classmethod
    def setUpClass(cls):
        cls.enterClassContext(deterministic_draws())
        cls.runner = cls.enterClassContext(asyncio.Runner())
        cls.simulation = Simulation()
        cls.runner.run(cls.simulation.start())
        cls.addClassCleanup(lambda: cls.runner.run(cls.simulation.close()))
        cls.node = cls.simulation.node_by_name["node-sur"]

    @fuzz(50)
    @given(st.data(), st.binary(max_size=60))
    def test_no_handler_raises_and_the_node_stays_ready(self, data, body):
        handlers = self.node.link._handler_by_kind
        kind = data.draw(st.sampled_from(sorted(handlers)))
        struct_type = handlers[kind][0]
        message = data.draw(messages_of(struct_type))
        packed = pack(message) if message else body
        self.runner.run(self.deliver(kind, packed))
        self.assertTrue(self.node.is_ready())

    async def deliver(self, kind, packed):
        task = asyncio.ensure_future(self.node.link.receive("node-norte", kind, packed))
        for _ in range(60):
            if task.done():
                break
            await self.simulation.clock.advance_ms(100)
        self.assertTrue(task.done(), f"{kind} hangs")
        task.result()


def messages_of(struct_type):
    """Return a strategy for structs with fields of the right types and any values."""
    fields = {}
    for spec in struct_type.thrift_spec.values():
        strategy = _values_of(spec)
        if strategy is None:
            return st.none()
        fields[spec[1]] = strategy
    return st.builds(struct_type, **fields)


def _values_of(spec):
    kind = spec[0]
    plain = {
        2: st.booleans(),
        3: st.integers(-(2**7), 2**7 - 1),
        6: st.integers(-(2**15), 2**15 - 1),
        8: st.integers(-(2**31), 2**31 - 1),
        10: st.integers(-(2**63), 2**63 - 1),
        11: st.text(max_size=12),
    }
    if kind in plain:
        return plain[kind]
    if kind == 18:
        return st.binary(max_size=20)
    if kind == 12:
        return messages_of(spec[2])
    if kind == 15:
        inner = spec[2]
        inner = inner if isinstance(inner, tuple) else (inner,)
        values = _values_of((inner[0], "", *inner[1:]))
        return None if values is None else st.lists(values, max_size=3)
    return None
