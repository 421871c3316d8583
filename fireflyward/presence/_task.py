"""The task that asks the listed nodes whether they run."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import Address, PeerLink

from ._absences import Absences
from ._presence_structs import PresenceAnswer, PresenceQuestion

_ASK, _ANSWER = "presence.ask", "presence.answer"
_PERIOD_MS = 1_000
# After a longer pause this process stood still, and answers may have been lost.
_MAX_PAUSE_MS = 5_000
# Each write wakes up all nodes that follow the table.
_END_PERIOD_MS = 10_000
# Rows that one write ends. Many nodes may have gone since the last holder of the lease.
_MAX_ROWS_AT_ONCE = 20


class PresenceTask:
    """Ends the rows of nodes that have gone for good.

    The parts of shared budgets, the rankings for duties and the receivers of messages
    depend on the list of nodes. The rows of removed nodes would pile up in it. One node
    at a time asks, the holder of a lease, so that 350 nodes do not ask each other.

    A node that is only cut off from the one that asks reads that its row has ended, and
    writes it again; the row then stays for an hour. One that does not reach the store
    either cannot prove that keys are valid, and serves nobody, so the others may use
    its part of the budgets.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        listed: Callable[[], Mapping[str, Address]],
        end_rows: Callable[[list[str]], Awaitable[bool]],
        may_act: Callable[[], bool],
    ) -> None:
        """``listed`` returns the addresses of the other listed nodes, by name.

        ``end_rows`` deletes the rows of nodes, and returns whether it did. ``may_act``
        returns whether this node is the one that asks.
        """
        self._clock = clock
        self._listed = listed
        self._end_rows = end_rows
        self._may_act = may_act
        self._absences = Absences()
        self._link: PeerLink | None = None
        self._last_step_ms: int | None = None
        self._last_end_ms = clock.now_ms()
        self.ended = 0

    def use(self, link: PeerLink) -> None:
        """Ask and answer other nodes over a link from now on."""
        self._link = link
        link.register(_ASK, PresenceQuestion, self._on_question)
        link.register(_ANSWER, PresenceAnswer, self._on_answer)

    async def run(self) -> None:
        """Ask nodes and end rows until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep_ms(_PERIOD_MS)

    async def step(self) -> None:
        """Ask the nodes that are due, and end the rows of those that are absent."""
        now_ms = self._clock.now_ms()
        last_ms, self._last_step_ms = self._last_step_ms, now_ms
        if last_ms is None or now_ms - last_ms > _MAX_PAUSE_MS or not self._may_act():
            self._absences.reset()
            return
        listed = self._listed()
        self._ask(now_ms, listed)
        if now_ms - self._last_end_ms >= _END_PERIOD_MS:
            self._last_end_ms = now_ms
            await self._end_absent(now_ms, listed)

    async def _end_absent(self, now_ms: int, listed: Mapping[str, Address]) -> None:
        absent = self._absences.absent(now_ms, listed)[:_MAX_ROWS_AT_ONCE]
        for name in absent:
            self._absences.on_ended(name)
        if absent and await self._end_rows(absent):
            self.ended += len(absent)

    def _ask(self, now_ms: int, listed: Mapping[str, Address]) -> None:
        asked = self._absences.to_ask(now_ms, listed, period_ms=_PERIOD_MS)
        if self._link is None or not asked:
            return
        ip, port = self._link.address
        question = PresenceQuestion(ip=ip, port=port, asked_ms=now_ms)
        self._link.send_all([listed[name] for name in asked], _ASK, question)
        for name in asked:
            self._absences.on_asked(now_ms, name)

    async def _on_question(self, sender: str, question: Any) -> None:
        answer = PresenceAnswer(asked_ms=question.asked_ms)
        self._link.send((question.ip, question.port), _ANSWER, answer)

    async def _on_answer(self, sender: str, answer: Any) -> None:
        self._absences.on_answer(answer.asked_ms, sender)
