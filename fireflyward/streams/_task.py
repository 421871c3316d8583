"""The task that records where streams began, and asks other nodes for it."""

import itertools
import logging
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Sequence,
)
from typing import Any

from fireflyward.aggregators import Member
from fireflyward.backing import Position
from fireflyward.clock import Clock, within_ms
from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory

from ._addresses import MemberAddresses
from ._began import Began, StreamOrigin, UnknownStream
from ._copies import MAX_STREAMS_PER_DATAGRAM, copy_messages
from ._holders import choose_holders
from ._lookup import Lookup
from ._starts import StreamRecord, StreamStarts, stream_key
from ._stored import StoredVersions
from ._streams_structs import (
    StreamAnswer,
    StreamQuestion,
    StreamsBegan,
    StreamsWanted,
    VersionsStored,
)
from ._versions import STREAM_LIFETIME_MS, SoftwareVersions

log = logging.getLogger("fireflyward.streams")

_BEGAN, _ASK, _ANSWER = "streams.began", "streams.ask", "streams.answer"
_WANTED, _STORED = "streams.wanted", "streams.stored"
# Streams that begin within this time are told together.
_BATCH_MS = 4
# The holders of a record answer within a round trip; a datagram may be lost.
_HOLDERS_WAIT_MS = 40
_ASK_AGAIN_MS = 60
_ALL_WAIT_MS = 150
# The feed of replicas confirms its list more often than this.
_MAX_LIST_AGE_MS = 3_000
# The holders of a record are computed in 35 us at 9 nodes, 350 us at 100 and 1.2 ms at
# 350. Nodes of larger fleets do not ask all others for records when they start.
_MAX_NODES_ASKED = 16
# Records whose holders are computed before other tasks run again.
_RECORDS_AT_ONCE = 20
# How often a stream that waits for its software version to be stored checks that.
_HOLD_POLL_MS = 10
_MS_PER_SECOND = 1_000
# Of each of the two lists of an answer; a datagram has room for 1,400 bytes.
_MAX_NAMES_BYTES = 400
_MIN_NAMES = 2
_MAX_NUMBER = 2**31 - 1

OWN_RECORD = "own record"
ONLY_VERSION = "only version"
BEFORE_STARTS = "only version before the nodes started"


class StreamTask:
    """Records at which software version streams began, and finds it for others.

    Each node records the streams whose first event it forwards. While a service has
    replicas of several versions, it tells each record to three holders, which all nodes
    compute from the stream's key, so that the record outlives this node. A node that is
    to resume a stream it does not know asks the holders and then all nodes. Without an
    answer it resumes the stream only if the service had a single version for as long
    as streams last. Its own list says nothing of that alone: the stream may be younger,
    see ``_is_single``.

    Records outlive a restart of all nodes one by one: a node that stops hands over its
    records, and in small fleets a node that has started asks for those it is to hold.
    If all nodes end at once, a stream can have begun only at a version that was stored
    before, see ``StoredVersions``. It goes on if that was a single one.

    ``unknown`` counts the streams whose version could not be found.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        node: Member,
        members: Callable[[], Sequence[Member]],
        responsive_members: Callable[[int], Sequence[Member]],
    ) -> None:
        """``members`` returns all other nodes.

        ``responsive_members`` returns those that answer at a time in ms.
        """
        self._clock = clock
        self._directory = directory
        self._node = node
        self._members = members
        self._responsive_members = responsive_members
        self._started_ms = clock.now_ms()
        self._services_to_ask_for: set[str] = set()
        self._addresses = MemberAddresses()
        self._link: PeerLink | None = None
        self._untold: dict[tuple[str, str], list[int]] = {}
        self._lookup_by_number: dict[int, Lookup] = {}
        self._numbers = itertools.count(1)
        self.starts = StreamStarts()
        self.versions = SoftwareVersions()
        self.stored = StoredVersions(started_ms=self._started_ms)
        # Reads the stored versions; returns whether they are known as of the call.
        self.read_stored: Callable[[], Awaitable[bool]] = _cannot_read
        self.asked = 0
        self.unknown = 0

    def use(self, link: PeerLink) -> None:
        """Tell and ask other nodes over a link from now on."""
        self._link = link
        link.register(_BEGAN, StreamsBegan, self._on_began)
        link.register(_ASK, StreamQuestion, self._on_question)
        link.register(_ANSWER, StreamAnswer, self._on_answer)
        link.register(_WANTED, StreamsWanted, self._on_wanted)
        link.register(_STORED, VersionsStored, self._on_stored)

    def on_list(self) -> None:
        """Apply a change of the list of replicas.

        When a second version appears, the streams that began before are told too.
        """
        now_ms = self._clock.now_ms()
        listed: dict[str, set[str]] = {}
        usable: dict[str, set[str]] = {}
        for state in self._directory.all():
            listed.setdefault(state.entry.service, set()).add(state.entry.software)
            if not state.is_leaving:
                usable.setdefault(state.entry.service, set()).add(state.entry.software)
        self.stored.on_list(usable)
        mixed = self.versions.on_list(now_ms, listed)
        if mixed:
            log.info("streams: several software versions serve %s", ", ".join(mixed))
            for kind, keys in self.starts.own_by_software(now_ms, mixed).items():
                self._tell_soon(kind, keys)
            self._services_to_ask_for.update(mixed)
        if self._services_to_ask_for:
            self._ask_for_records(now_ms)

    async def hand_over(self) -> None:
        """Tell the records of this node, which stops, to those that hold them then.

        A service with a single version has nothing to tell.
        """
        now_ms = self._clock.now_ms()
        records = self.starts.records(now_ms, self.versions.mixed(now_ms))
        members = self._responsive_members(now_ms)
        records_by_holder: dict[Member, list[StreamRecord]] = {}
        async for record in self._in_steps(records):
            for holder in choose_holders(record.key, members):
                records_by_holder.setdefault(holder, []).append(record)
        for holder, own in records_by_holder.items():
            for message in copy_messages(own):
                self._send([holder], _BEGAN, message)
        if records:
            log.info("streams: handed over %d records", len(records))

    def on_begun(
        self, service: str, account: str, request_id: str, software: str
    ) -> None:
        """Record a stream whose first event is about to go to its caller."""
        now_ms = self._clock.now_ms()
        key = stream_key(account, request_id)
        self.starts.add(now_ms, service, software, key, is_own=True)
        if self.has_several_versions(service):
            self._tell_soon((service, software), [key])

    async def find(
        self, service: str, account: str, first_request_id: str | None
    ) -> StreamOrigin | None:
        """Return where a stream began, None if the service has no known replica."""
        if first_request_id is None:
            return await self._find_unnamed(service)
        key = stream_key(account, first_request_id)
        own = self.starts.find(self._clock.now_ms(), key)
        if own is not None:
            return Began(own, OWN_RECORD, self.has_several_versions(service))
        lookup = await self._ask(service, key)
        now_ms = self._clock.now_ms()
        if lookup.software is not None:
            self.starts.add(now_ms, service, lookup.software, key, is_own=False)
            return Began(
                lookup.software, lookup.source, self.has_several_versions(service)
            )
        lookup.on_before_start(self._before_start(now_ms, service))
        before = lookup.before_starts
        detail = f"no node knows the stream, {lookup.unanswered} did not answer"
        if before:
            detail += f"; it began at one of {', '.join(sorted(before))}"
        is_complete = before is None or not lookup.unanswered
        return self._without_record(
            service,
            before if is_complete else frozenset(),
            detail,
            is_single=lookup.is_single,
        )

    async def _find_unnamed(self, service: str) -> StreamOrigin | None:
        """Return where a stream began if the request does not name its first one."""
        before = self._before_start(self._clock.now_ms(), service)
        return self._without_record(
            service,
            None if before is None else frozenset(),
            "the request names no first request",
            is_single=await self._is_single(service, are_holders_in_step=False),
        )

    def _before_start(self, now_ms: int, service: str) -> frozenset[str] | None:
        """Return where streams may have begun that this node has forgotten.

        It is None if that is unknown.
        """
        if self.starts.has_dropped(now_ms):
            return None
        return self.stored.before_start(now_ms, service)

    async def _is_single(self, service: str, *, are_holders_in_step: bool) -> bool:
        """Return whether a stream that no node knows can have begun at one version.

        This node's list may be older than the stream. If several versions served when
        the stream began, its holders were told, unless they are out of step as well. A
        read of the stored versions that is sent now is never older than the stream.
        """
        if len(self._possible(service)) != 1:
            return False
        if are_holders_in_step and self.has_recent_list():
            return True
        return await self.read_stored() and len(self._possible(service)) == 1

    def _possible(self, service: str) -> frozenset[str]:
        """Return the versions at which a stream may have begun, by what is known."""
        recent = self.versions.recent(self._clock.now_ms(), service)
        return recent | self.stored.of(service)

    def _without_record(
        self,
        service: str,
        before: Collection[str] | None,
        detail: str,
        *,
        is_single: bool,
    ) -> StreamOrigin | None:
        """Return where a stream began that no node knows.

        It can have begun only at the versions in ``before``. That is empty if nothing
        is known beyond the list, and None if a node may have forgotten other versions.
        With ``is_single`` no version can be unknown to this node.
        """
        versions = self._possible(service)
        if not versions:
            return None
        if before is None:
            detail += (
                "; a node cannot say where it may have begun streams that it forgot"
            )
        elif len(before) == 1:
            return Began(next(iter(before)), BEFORE_STARTS, len(versions) > 1)
        elif is_single and len(versions) == 1:
            return Began(next(iter(versions)), ONLY_VERSION)
        elif len(versions) == 1:
            detail += "; versions that came lately may be unknown to this node"
        self.unknown += 1
        return UnknownStream(detail)

    def has_several_versions(self, service: str) -> bool:
        """Return whether streams of a service may have begun at several versions."""
        return len(self.versions.recent(self._clock.now_ms(), service)) > 1

    def has_recent_list(self) -> bool:
        """Return whether the list of replicas was confirmed lately."""
        confirmation = self._directory.confirmation
        age_ms = confirmation.age_ms(self._clock.now_ms())
        return confirmation.as_of_ms is not None and age_ms <= _MAX_LIST_AGE_MS

    def begins_at(self, service: str) -> frozenset[str] | None:
        """Return the only versions at which streams may begin now, None for any."""
        return self.stored.begins_at(self._clock.now_ms(), service)

    async def until_may_begin(self, service: str, limit_ms: float) -> bool:
        """Wait until streams may begin; return False if they may not in time."""
        end_ms = self._clock.now_ms() + limit_ms
        while self.begins_at(service) == frozenset():
            if self._clock.now_ms() >= end_ms:
                return False
            await self._clock.sleep_ms(_HOLD_POLL_MS)
        return True

    def on_written(
        self, service: str, versions: frozenset[str], position: Position
    ) -> None:
        """Tell all nodes of versions that this node has stored."""
        if self.stored.on_written(service, versions, position):
            message = VersionsStored(
                service_name=service,
                versions=sorted(versions),
                era=position.era,
                version=position.version,
            )
            self._send(self._members(), _STORED, message)

    async def _ask(self, service: str, key: int) -> Lookup:
        """Ask the holders, and all nodes if these do not know the stream."""
        members = self._members()
        holders = self._holders(key, members)
        number = next(self._numbers) % _MAX_NUMBER
        lookup = Lookup(member.name for member in holders)
        if self._link is None:
            lookup.is_single = await self._is_single(service, are_holders_in_step=False)
            return lookup
        self.asked += 1
        self._lookup_by_number[number] = lookup
        ip, port = self._link.address
        question = StreamQuestion(
            number=number, service_name=service, stream=key, ip=ip, port=port
        )
        try:
            self._send(holders, _ASK, question)
            await within_ms(self._clock, _HOLDERS_WAIT_MS, lookup.done.wait())
            if lookup.software is None:
                self._learn_versions(service, lookup)
                lookup.is_single = await self._is_single(
                    service, are_holders_in_step=lookup.has_answers_of_all
                )
            if lookup.software is None and not lookup.is_single:
                lookup.ask_more(item.name for item in members if item not in holders)
                self._send(members, _ASK, question)
                self._clock.call_later_ms(
                    _ASK_AGAIN_MS, lambda: self._ask_again(number, members, question)
                )
                await within_ms(self._clock, _ALL_WAIT_MS, lookup.done.wait())
            self._learn_versions(service, lookup)
        finally:
            del self._lookup_by_number[number]
        return lookup

    def _learn_versions(self, service: str, lookup: Lookup) -> None:
        self.versions.on_told(self._clock.now_ms(), service, lookup.versions)

    def _ask_again(
        self, number: int, members: Sequence[Member], question: StreamQuestion
    ) -> None:
        lookup = self._lookup_by_number.get(number)
        if lookup is not None:
            missing = [item for item in members if lookup.is_awaited(item.name)]
            self._send(missing, _ASK, question)

    def _holders(self, key: int, members: Sequence[Member]) -> list[Member]:
        """Return the holders of a stream's record, except this node."""
        chosen = choose_holders(key, [*members, self._node])
        return [member for member in chosen if member.name != self._node.name]

    def _tell_soon(self, kind: tuple[str, str], keys: Iterable[int]) -> None:
        if not self._untold:
            self._clock.call_later_ms(_BATCH_MS, self._tell)
        self._untold.setdefault(kind, []).extend(keys)

    def _tell(self) -> None:
        untold, self._untold = self._untold, {}
        members = self._members()
        for (service, software), keys in untold.items():
            by_holder: dict[Member, list[int]] = {}
            for key in keys:
                for holder in self._holders(key, members):
                    by_holder.setdefault(holder, []).append(key)
            for holder, own in by_holder.items():
                for first in range(0, len(own), MAX_STREAMS_PER_DATAGRAM):
                    part = own[first : first + MAX_STREAMS_PER_DATAGRAM]
                    message = StreamsBegan(
                        service_name=service, software=software, streams=part
                    )
                    self._send([holder], _BEGAN, message)

    def _send(self, members: Iterable[Member], kind: str, message: Any) -> bool:
        """Send a datagram to some nodes; return False if the link is not open."""
        if self._link is None:
            return False
        addresses = [self._addresses.of(member) for member in members]
        return self._link.send_all(addresses, kind, message)

    async def _on_began(self, sender: str, message: Any) -> None:
        now_ms = self._clock.now_ms()
        ages_s = message.ages_s or [0] * len(message.streams)
        began_ms = now_ms - min(ages_s, default=0) * _MS_PER_SECOND
        self.versions.on_begun(began_ms, message.service_name, message.software)
        for key, age_s in zip(message.streams, ages_s, strict=False):
            self.starts.add(
                now_ms,
                message.service_name,
                message.software,
                key,
                is_own=False,
                age_ms=age_s * _MS_PER_SECOND,
            )

    def _ask_for_records(self, now_ms: int) -> None:
        """Ask for the records that this node is to hold, if it has just started.

        Streams that began before the second version appeared are told by the nodes at
        which they began.
        """
        members = self._members()
        is_new = now_ms - self._started_ms <= STREAM_LIFETIME_MS
        if not is_new or len(members) >= _MAX_NODES_ASKED:
            self._services_to_ask_for.clear()
            return
        if self._link is None or not members:
            return
        ip, port = self._link.address
        message = StreamsWanted(
            service_names=sorted(self._services_to_ask_for),
            failure_domain=self._node.failure_domain,
            ip=ip,
            port=port,
        )
        if self._send(members, _WANTED, message):
            self._services_to_ask_for.clear()

    async def _on_wanted(self, sender: str, message: Any) -> None:
        self._learn_address(sender, message)
        asker = Member(sender, message.failure_domain, (message.ip, message.port), 0.0)
        others = [item for item in self._members() if item.name != sender]
        members = [*others, self._node, asker]
        records = self.starts.records(self._clock.now_ms(), message.service_names)
        wanted = [
            record
            async for record in self._in_steps(records)
            if asker in choose_holders(record.key, members)
        ]
        for copy in copy_messages(wanted):
            self._send([asker], _BEGAN, copy)

    async def _in_steps(
        self, records: Sequence[StreamRecord]
    ) -> AsyncIterator[StreamRecord]:
        """Return records, and let other tasks run between them."""
        for number, record in enumerate(records, 1):
            yield record
            if number % _RECORDS_AT_ONCE == 0:
                await self._clock.sleep_ms(0)

    def _learn_address(self, sender: str, message: Any) -> None:
        if message.ip is not None and message.port is not None:
            listed = [item for item in self._members() if item.name == sender]
            self._addresses.on_told(
                sender, (message.ip, message.port), listed[0] if listed else None
            )

    async def _on_question(self, sender: str, message: Any) -> None:
        self._learn_address(sender, message)
        now_ms = self._clock.now_ms()
        before_start = self._before_start(now_ms, message.service_name)
        answer = StreamAnswer(
            number=message.number,
            software=self.starts.find(now_ms, message.stream),
            versions=_brief(self.versions.first_hand(now_ms, message.service_name)),
            before_start=_brief(before_start or ()),
            forgot_before_start=before_start is None,
        )
        asker = [item for item in self._members() if item.name == sender]
        if not asker and message.ip is not None and message.port is not None:
            # A node that has just started reads the list before it is in others' lists.
            asker = [Member(sender, "", (message.ip, message.port), 0.0)]
        self._send(asker, _ANSWER, answer)

    async def _on_answer(self, sender: str, message: Any) -> None:
        lookup = self._lookup_by_number.get(message.number)
        if lookup is not None:
            forgot = message.forgot_before_start
            before_start = None if forgot else message.before_start or ()
            lookup.on_answer(sender, message.software, message.versions, before_start)

    async def _on_stored(self, sender: str, message: Any) -> None:
        position = Position(message.era, message.version)
        versions = frozenset(message.versions)
        if self.stored.on_written(message.service_name, versions, position):
            self.versions.on_told(self._clock.now_ms(), message.service_name, versions)


async def _cannot_read() -> bool:
    return False


def _brief(names: Iterable[str]) -> list[str]:
    """Return as many names as an answer has room for, and two of several at least.

    The asker has to know whether there is a single one.

    >>> _brief(["v2", "v1"]), len(_brief("v" * size for size in range(150, 200)))
    (['v1', 'v2'], 2)
    """
    kept: list[str] = []
    size = 0
    for name in sorted(names):
        size += len(name.encode())
        if size > _MAX_NAMES_BYTES and len(kept) >= _MIN_NAMES:
            break
        kept.append(name)
    return kept
