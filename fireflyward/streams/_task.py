"""The task that records where streams began, and asks other nodes for it."""

import itertools
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from fireflyward.aggregators import Member
from fireflyward.clock import Clock, within_ms
from fireflyward.peers import PeerLink
from fireflyward.replicas import ReplicaDirectory

from ._began import Began, StreamOrigin, UnknownStream
from ._holders import choose_holders
from ._lookup import Lookup
from ._starts import StreamStarts, stream_key
from ._streams_structs import StreamAnswer, StreamQuestion, StreamsBegan
from ._versions import SoftwareVersions

log = logging.getLogger("fireflyward.streams")

_BEGAN, _ASK, _ANSWER = "streams.began", "streams.ask", "streams.answer"
# Streams that begin within this time are told together.
_BATCH_MS = 4
# The holders of a record answer within a round trip; a datagram may be lost.
_HOLDERS_WAIT_MS = 40
_ASK_AGAIN_MS = 60
_ALL_WAIT_MS = 150
# A stream takes 9 bytes; a datagram has room for 1,400.
_MAX_STREAMS_PER_DATAGRAM = 120
_MAX_NUMBER = 2**31 - 1

OWN_RECORD = "own record"
ONLY_VERSION = "only version"


class StreamTask:
    """Records at which software version streams began, and finds it for others.

    Each node records the streams whose first event it forwards. While a service has
    replicas of several versions, it tells each record to three holders, which all nodes
    compute from the stream's key, so that the record outlives this node. A node that is
    to resume a stream it does not know asks the holders and then all nodes. Without an
    answer it resumes the stream only if the service had a single version for as long
    as streams last.

    ``unknown`` counts the streams whose version could not be found.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        directory: ReplicaDirectory,
        node: Member,
        members: Callable[[], Sequence[Member]],
    ) -> None:
        """``members`` returns all other nodes."""
        self._clock = clock
        self._directory = directory
        self._node = node
        self._members = members
        self._link: PeerLink | None = None
        self._untold: dict[tuple[str, str], list[int]] = {}
        self._lookup_by_number: dict[int, Lookup] = {}
        self._numbers = itertools.count(1)
        self.starts = StreamStarts()
        self.versions = SoftwareVersions()
        self.asked = 0
        self.unknown = 0

    def use(self, link: PeerLink) -> None:
        """Tell and ask other nodes over a link from now on."""
        self._link = link
        link.register(_BEGAN, StreamsBegan, self._on_began)
        link.register(_ASK, StreamQuestion, self._on_question)
        link.register(_ANSWER, StreamAnswer, self._on_answer)

    def on_list(self) -> None:
        """Apply a change of the list of replicas.

        When a second version appears, the streams that began before are told too.
        """
        now_ms = self._clock.now_ms()
        listed: dict[str, set[str]] = {}
        for state in self._directory.all():
            listed.setdefault(state.entry.service, set()).add(state.entry.software)
        mixed = self.versions.on_list(now_ms, listed)
        if not mixed:
            return
        log.info("streams: several software versions serve %s", ", ".join(mixed))
        for kind, keys in self.starts.own_by_software(now_ms, mixed).items():
            self._tell_soon(kind, keys)

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
            return self._without_record(service, "the request names no first request")
        key = stream_key(account, first_request_id)
        own = self.starts.find(self._clock.now_ms(), key)
        if own is not None:
            return Began(own, OWN_RECORD, self.has_several_versions(service))
        lookup = await self._ask(service, key)
        now_ms = self._clock.now_ms()
        self.versions.on_told(now_ms, service, lookup.versions)
        if lookup.software is not None:
            self.starts.add(now_ms, service, lookup.software, key, is_own=False)
            return Began(
                lookup.software, lookup.source, self.has_several_versions(service)
            )
        return self._without_record(
            service, f"no node knows the stream, {lookup.unanswered} did not answer"
        )

    def _without_record(self, service: str, detail: str) -> StreamOrigin | None:
        versions = self.versions.recent(self._clock.now_ms(), service)
        if not versions:
            return None
        if len(versions) == 1:
            return Began(next(iter(versions)), ONLY_VERSION)
        self.unknown += 1
        return UnknownStream(detail)

    def has_several_versions(self, service: str) -> bool:
        """Return whether streams of a service may have begun at several versions."""
        return len(self.versions.recent(self._clock.now_ms(), service)) > 1

    async def _ask(self, service: str, key: int) -> Lookup:
        """Ask the holders, and all nodes if these do not know the stream."""
        members = self._members()
        holders = self._holders(key, members)
        number = next(self._numbers) % _MAX_NUMBER
        lookup = Lookup(member.name for member in holders)
        if self._link is None:
            return lookup
        self.asked += 1
        self._lookup_by_number[number] = lookup
        question = StreamQuestion(number=number, service_name=service, stream=key)
        try:
            self._send(holders, _ASK, question)
            await within_ms(self._clock, _HOLDERS_WAIT_MS, lookup.done.wait())
            if lookup.software is None and self._may_be_elsewhere(service, lookup):
                lookup.ask_more(item.name for item in members if item not in holders)
                self._send(members, _ASK, question)
                self._clock.call_later_ms(
                    _ASK_AGAIN_MS, lambda: self._ask_again(number, members, question)
                )
                await within_ms(self._clock, _ALL_WAIT_MS, lookup.done.wait())
        finally:
            del self._lookup_by_number[number]
        return lookup

    def _may_be_elsewhere(self, service: str, lookup: Lookup) -> bool:
        """Return whether several versions are possible, or no node has answered."""
        known = self.versions.recent(self._clock.now_ms(), service) | lookup.versions
        return len(known) > 1 or not lookup.versions

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
                for first in range(0, len(own), _MAX_STREAMS_PER_DATAGRAM):
                    part = own[first : first + _MAX_STREAMS_PER_DATAGRAM]
                    message = StreamsBegan(
                        service_name=service, software=software, streams=part
                    )
                    self._send([holder], _BEGAN, message)

    def _send(self, members: Iterable[Member], kind: str, message: Any) -> None:
        if self._link is not None:
            addresses = [member.address for member in members]
            self._link.send_all(addresses, kind, message)

    async def _on_began(self, sender: str, message: Any) -> None:
        now_ms = self._clock.now_ms()
        self.versions.on_told(now_ms, message.service_name, [message.software])
        for key in message.streams:
            self.starts.add(
                now_ms, message.service_name, message.software, key, is_own=False
            )

    async def _on_question(self, sender: str, message: Any) -> None:
        now_ms = self._clock.now_ms()
        answer = StreamAnswer(
            number=message.number,
            software=self.starts.find(now_ms, message.stream),
            versions=sorted(self.versions.recent(now_ms, message.service_name)),
        )
        asker = [item for item in self._members() if item.name == sender]
        self._send(asker, _ANSWER, answer)

    async def _on_answer(self, sender: str, message: Any) -> None:
        lookup = self._lookup_by_number.get(message.number)
        if lookup is not None:
            lookup.on_answer(sender, message.software, message.versions)
