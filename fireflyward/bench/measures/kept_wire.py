"""Measures the bytes that a node exchanges for kept blocks.

The contents of the blocks are transferred between engines and stores directly.
"""

import msgspec

from fireflyward.bench import Bench, Figure
from fireflyward.kept import (
    INDEX_STRIDE,
    AppliedRefs,
    BlockNames,
    BlockRef,
    ListQuery,
    Reserved,
    SlotRequest,
    shard_of,
)
from fireflyward.kept._index import entries_of
from fireflyward.kept._look_up import Found, LookUp
from fireflyward.kept._store_http import DescribeBody, RefsBody, ReserveBody
from fireflyward.peers import pack
from fireflyward.standins import EngineCache, StoreModel, kv_payload
from fireflyward.upstreams import (
    ExportOrder,
    ExportReport,
    ImportOrder,
    ImportReport,
    block_checksum,
)

_BLOCKS = 40
_TEXT = "clause 8.4 " * 2_400
_URLS = {"store-1": "http://10.0.0.11:8600"}


def run() -> list[Figure]:
    """Return the bytes of JSON per block of a 40-block prompt."""
    names = BlockNames(b"k" * 32)
    keys = names.of_prompt("account", "clauses", "v1", "", _TEXT)[:_BLOCKS]
    owner = names.owner_tag("account")
    store = StoreModel("store-1")
    wanted = tuple(
        SlotRequest(key, position, shard_of(keys[0]), owner)
        for position, key in enumerate(keys, start=1)
    )
    reserved = store.reserve(0, wanted)
    sealed = tuple(_seal(store, ref) for ref in reserved.refs)
    published = store.publish(sealed)
    return [
        _figure("export", _export(wanted, reserved, sealed, published)),
        _figure("import", _import(keys, published)),
        _figure("listing", [store.list(ListQuery(stride=INDEX_STRIDE))]),
        _figure("events", [_events(keys)]),
        Figure("kept_wire.look_up_bytes", float(_look_up(keys)), "B"),
    ]


def _look_up(keys: tuple[str, ...]) -> int:
    """Return the bytes of a look-up at another node that returns two holders."""
    entries = entries_of(keys)
    query = LookUp(shard=shard_of(keys[0]), entries=entries)
    found = Found(holders=["store-1", "engine-7"], places=[b"\x1f", b"\x03"])
    return len(pack(query)) + len(pack(found))


def _seal(store: StoreModel, ref: BlockRef) -> BlockRef:
    payload = kv_payload(ref.key)
    store.write(ref, payload)
    checksum = block_checksum(ref.key, ref.generation, payload)
    sealed = BlockRef(
        ref.key,
        ref.store,
        ref.slot,
        ref.generation,
        len(payload),
        checksum,
        ref.position,
    )
    return store.seal((sealed,)).refs[0]


def _export(
    wanted: tuple[SlotRequest, ...],
    reserved: Reserved,
    sealed: tuple[BlockRef, ...],
    published: AppliedRefs,
) -> list[object]:
    order = ExportOrder("run", "clauses", "v1", reserved.refs, _URLS)
    return [
        ReserveBody(wanted),
        reserved,
        order,
        ExportReport(sealed),
        RefsBody(sealed),
        published,
    ]


def _import(keys: tuple[str, ...], published: AppliedRefs) -> list[object]:
    order = ImportOrder("run", "clauses", "v1", published.refs, _URLS, 100, keys[0])
    return [DescribeBody(keys), published, order, ImportReport(_BLOCKS)]


def _events(keys: tuple[str, ...]) -> object:
    cache = EngineCache(_BLOCKS)
    for position, key in enumerate(keys, start=1):
        cache.store(key, position, keys[0])
    return cache.events(0, stride=INDEX_STRIDE)


def _figure(name: str, messages: list[object]) -> Figure:
    size = sum(len(msgspec.json.encode(message)) for message in messages)
    return Figure(f"kept_wire.{name}_bytes_per_block", size / _BLOCKS, "B")


BENCH = Bench("kept_wire", run, is_count=True)
