"""Messages between nodes about parts of prompts and crashes."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from fireflyward.aggregators import Member
from fireflyward.clock import Clock, within_ms
from fireflyward.peers import PeerLink

from ._completions import Completions
from ._evidence import Evidence
from ._poison_structs import (
    CompletionAnswer,
    CompletionQuestion,
    PartCleared,
    PartHeld,
    PartsCut,
)

_CUT, _ASK, _ANSWER = "poison.cut", "poison.ask", "poison.answer"
_HELD, _CLEARED = "poison.held", "poison.cleared"
# A lost datagram delays a decision; the rows of held parts reach all nodes anyway.
_RESEND_MS = (300, 1_500)
_ASK_AGAIN_MS = 50
_ASK_LIMIT_MS = 200
# A node that told something within this time runs, though it may be slow to reply.
_HEARD_MS = 30_000
# An entry of a crash takes up to 16 bytes; a datagram has room for 1,400.
_MAX_PARTS_PER_DATAGRAM = 75
_MAX_TOLD = 2_000
_MAX_NUMBER = 2**31 - 1


class Listener(Protocol):
    """Receives what other nodes tell; see ``PoisonTask``."""

    def on_told_cut(self, incarnation_id: int, counts: Counter[int]) -> None: ...

    def on_told_held(
        self,
        node: str,
        part: int,
        crashes: int,
        *,
        had_answers: bool,
        is_provisional: bool,
    ) -> None: ...

    def on_told_cleared(self, node: str, part: int) -> None: ...


class PoisonMessages:
    """Tells other nodes of cut, held and cleared parts, and asks them for answers.

    ``last_asked_ms`` is when another node, which decides on crashes, last asked.
    """

    def __init__(
        self,
        listener: Listener,
        completions: Completions,
        *,
        clock: Clock,
        members: Callable[[], Sequence[Member]],
    ) -> None:
        """``members`` returns all other nodes."""
        self._listener = listener
        self._completions = completions
        self._clock = clock
        self._members = members
        self._link: PeerLink | None = None
        self._numbers = itertools.count(1)
        self._evidence_by_number: dict[int, Evidence] = {}
        # What other nodes told of crashes, in the order of arrival.
        self._told: dict[tuple[str, int, int], None] = {}
        self.last_asked_ms: int | None = None
        self._heard_ms_by_node: dict[str, int] = {}

    def use(self, link: PeerLink | None) -> None:
        """Tell and ask other nodes over a link from now on."""
        self._link = link
        if link is not None:
            link.register(_CUT, PartsCut, self._on_cut)
            link.register(_ASK, CompletionQuestion, self._on_question)
            link.register(_ANSWER, CompletionAnswer, self._on_answer)
            link.register(_HELD, PartHeld, self._on_held)
            link.register(_CLEARED, PartCleared, self._on_cleared)

    def tell_cut(self, incarnation_id: int, counts: Mapping[int, int]) -> None:
        """Tell the parts of this node's prompts in flight at a crash."""
        items = sorted(counts.items())
        for first in range(0, len(items), _MAX_PARTS_PER_DATAGRAM):
            part = items[first : first + _MAX_PARTS_PER_DATAGRAM]
            message = PartsCut(
                replica=incarnation_id,
                parts=[key for key, _ in part],
                requests=[count for _, count in part],
            )
            self._tell(_CUT, message)

    def tell_held(
        self, part: int, crashes: int, *, had_answers: bool, is_provisional: bool
    ) -> None:
        """Tell that prompts with a part are held back."""
        message = PartHeld(
            part=part,
            crashes=crashes,
            had_answers=had_answers,
            is_provisional=is_provisional,
        )
        self._tell(_HELD, message)

    def tell_cleared(self, part: int, *, only: str | None = None) -> None:
        """Tell that a replica completed an answer to a prompt with a part.

        ``only`` is the one node that is told, in reply to a message of its own.
        """
        message = PartCleared(part=part)
        if only is None:
            self._tell(_CLEARED, message)
        else:
            teller = [member for member in self._members() if member.name == only]
            self._send(teller, _CLEARED, message)

    async def ask(self, parts: Sequence[int]) -> Evidence:
        """Ask all nodes for their last answers to prompts with these parts.

        The evidence is about the first of the parts, as many as one datagram holds.
        """
        members = self._members()
        asked = parts[:_MAX_PARTS_PER_DATAGRAM]
        evidence = Evidence(asked, (member.name for member in members))
        if self._link is None or not members:
            return evidence
        number = next(self._numbers) % _MAX_NUMBER
        self._evidence_by_number[number] = evidence
        question = CompletionQuestion(number=number, parts=list(asked))
        try:
            for limit_ms in (_ASK_AGAIN_MS, _ASK_LIMIT_MS - _ASK_AGAIN_MS):
                missing = [item for item in members if item.name in evidence.missing]
                self._send(missing, _ASK, question)
                await within_ms(self._clock, limit_ms, evidence.is_complete.wait())
                if evidence.is_complete.is_set():
                    break
        finally:
            del self._evidence_by_number[number]
        evidence.silent = frozenset(filter(self._was_heard, evidence.missing))
        return evidence

    def _hear(self, node: str) -> None:
        self._heard_ms_by_node[node] = self._clock.now_ms()
        if len(self._heard_ms_by_node) > _MAX_TOLD:
            names = {member.name for member in self._members()}
            self._heard_ms_by_node = {
                name: at for name, at in self._heard_ms_by_node.items() if name in names
            }

    def _was_heard(self, node: str) -> bool:
        heard_ms = self._heard_ms_by_node.get(node)
        return heard_ms is not None and self._clock.now_ms() - heard_ms <= _HEARD_MS

    def _tell(self, kind: str, message: Any) -> None:
        """Send a message to all nodes, and again later, as datagrams get lost."""
        self._send(self._members(), kind, message)
        for later_ms in _RESEND_MS:
            self._clock.call_later_ms(
                later_ms, lambda: self._send(self._members(), kind, message)
            )

    def _send(self, members: Iterable[Member], kind: str, message: Any) -> None:
        if self._link is not None:
            self._link.send_all([item.address for item in members], kind, message)

    async def _on_cut(self, sender: str, message: Any) -> None:
        """Pass on what another node told, once: it is sent again in case it is lost."""
        self._hear(sender)
        counts = Counter(dict(zip(message.parts, message.requests, strict=False)))
        key = (sender, message.replica, hash(frozenset(counts)))
        if key in self._told:
            return
        self._told[key] = None
        while len(self._told) > _MAX_TOLD:
            del self._told[next(iter(self._told))]
        self._listener.on_told_cut(message.replica, counts)

    async def _on_question(self, sender: str, message: Any) -> None:
        self._hear(sender)
        now_ms = self._clock.now_ms()
        self.last_asked_ms = now_ms
        last_ms = self._completions.last_ms
        answer = CompletionAnswer(
            number=message.number,
            ages_ms=[_age_ms(now_ms, last_ms(part)) for part in message.parts],
            answers=min(self._completions.answers, _MAX_NUMBER),
            recent=min(self._completions.recent(now_ms), _MAX_NUMBER),
            first_age_ms=_age_ms(now_ms, self._completions.first_ms),
        )
        asker = [member for member in self._members() if member.name == sender]
        self._send(asker, _ANSWER, answer)

    async def _on_answer(self, sender: str, message: Any) -> None:
        self._hear(sender)
        evidence = self._evidence_by_number.get(message.number)
        if evidence is not None:
            evidence.on_answer(
                self._clock.now_ms(),
                sender,
                message.ages_ms,
                message.answers,
                message.recent or 0,
                -1 if message.first_age_ms is None else message.first_age_ms,
            )

    async def _on_held(self, sender: str, message: Any) -> None:
        self._hear(sender)
        self._listener.on_told_held(
            sender,
            message.part,
            message.crashes,
            had_answers=bool(message.had_answers),
            is_provisional=message.is_provisional is not False,
        )

    async def _on_cleared(self, sender: str, message: Any) -> None:
        self._hear(sender)
        self._listener.on_told_cleared(sender, message.part)


def _age_ms(now_ms: int, at_ms: int | None) -> int:
    """Return how long ago a time was, -1 if there is none."""
    return -1 if at_ms is None else min(now_ms - at_ms, _MAX_NUMBER)
