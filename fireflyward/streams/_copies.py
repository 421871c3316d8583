"""Messages that copy records of streams to another node."""

from collections.abc import Iterable, Iterator

from ._starts import StreamRecord
from ._streams_structs import StreamsBegan

# A stream takes 8 bytes and its age 2; a datagram has room for 1,400.
MAX_STREAMS_PER_DATAGRAM = 100
_MS_PER_SECOND = 1_000


def copy_messages(records: Iterable[StreamRecord]) -> Iterator[StreamsBegan]:
    """Return messages with records and their ages, each small enough for a datagram.

    >>> old, new = (StreamRecord("s", "v1", key, 400 * key) for key in (7, 1))
    >>> [message] = copy_messages([old, new])
    >>> message.software, message.streams, message.ages_s
    ('v1', [7, 1], [2, 0])
    """
    by_kind: dict[tuple[str, str], list[StreamRecord]] = {}
    for record in records:
        by_kind.setdefault((record.service, record.software), []).append(record)
    for (service, software), group in by_kind.items():
        for first in range(0, len(group), MAX_STREAMS_PER_DATAGRAM):
            part = group[first : first + MAX_STREAMS_PER_DATAGRAM]
            yield StreamsBegan(
                service_name=service,
                software=software,
                streams=[record.key for record in part],
                ages_s=[record.age_ms // _MS_PER_SECOND for record in part],
            )
