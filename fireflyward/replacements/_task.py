"""The task that finds out how long ago weights were replaced."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from fireflyward.clock import Clock
from fireflyward.peers import Address, CallFailed, PeerLink

from ._history import VersionHistory
from ._replacements_structs import (
    ReplacementAnswer,
    ReplacementQuestion,
    VersionAge,
)
from ._rows import ReplacementRows

log = logging.getLogger("fireflyward.replacements")

_KIND = "replacements"
# A node that reads the operators' table all the time knows it this well.
_USUAL_UNCERTAINTY_MS = 3_500
# Other nodes may have gone on or started a moment ago too.
_QUESTION_PAUSES_MS = (0, 200, 400, 800, 1_600)
# Twice as many are asked after each time without an answer, since the list of nodes may
# consist mostly of nodes that were removed.
_NODES_ASKED = 3
_CALL_TIMEOUT_S = 0.4
# The first node for this duty writes the row at once. After each further pause one more
# node does, if it knows of no such row.
_WRITE_PAUSES_MS = (0, 1_000, 1_000, 2_000)
_MAX_WRITERS = 3
# All of these may have gone, since the list of nodes may name nodes that were removed.
# Other nodes have read a row after this time, and write it if they have not.
_OTHERS_PAUSE_MS = 9_000
_OTHERS_SPREAD_MS = 3_000
_MAX_AGE_MS = 2**31 - 1


class ReplacementTask:
    """Asks other nodes when weights were replaced, and writes it down for later ones.

    Nodes that read the operators' table all the time know by themselves within two
    seconds when a version was named. A node that stood still or has just started asks a
    few others, as long as there are replicas with older weights: their age decides
    whether these may serve.
    """

    def __init__(
        self,
        history: VersionHistory,
        rows: ReplacementRows,
        *,
        clock: Clock,
        addresses: Callable[[], list[Address]],
        is_among_first: Callable[[int], bool],
        place: Callable[[], float],
        has_older_weights: Callable[[str], bool],
    ) -> None:
        """``addresses`` returns those of the other nodes.

        ``is_among_first`` says whether this node is among the first for this duty,
        ``place`` how far down it is as a share of all nodes, and ``has_older_weights``
        whether a replica has an older version of a model.
        """
        self._history = history
        self._rows = rows
        self._clock = clock
        self._addresses = addresses
        self._is_among_first = is_among_first
        self._place = place
        self._has_older_weights = has_older_weights
        self._link: PeerLink | None = None
        self._named: asyncio.Queue[str] = asyncio.Queue()
        self._unfinished: set[str] = set()
        self.asked = 0

    def use(self, link: PeerLink) -> None:
        """Ask and answer other nodes over a link from now on."""
        self._link = link
        link.register(_KIND, ReplacementQuestion, self._on_question)

    def on_named(self, model: str) -> None:
        """Find out when a version was named that this node has just read."""
        self._named.put_nowait(model)

    async def run(self) -> None:
        """Work off the versions that are named, until cancelled."""
        try:
            await self._work_off_all()
        except Exception:
            # The steps for all models were cancelled; the next run takes them again.
            for model in self._unfinished:
                self._named.put_nowait(model)
            raise
        finally:
            self._unfinished.clear()

    async def _work_off_all(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                model = await self._named.get()
                self._unfinished.add(model)
                group.create_task(self._work_off(model))

    async def _work_off(self, model: str) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._find_age(model))
            group.create_task(self._write_row(model))
        self._unfinished.discard(model)

    async def _find_age(self, model: str) -> None:
        asked: set[Address] = set()
        count = _NODES_ASKED
        for pause_ms in _QUESTION_PAUSES_MS:
            await self._clock.sleep_ms(pause_ms)
            self._rows.use_evidence(model)
            if self._is_known(model):
                return
            if self._has_older_weights(model):
                answered = await self._ask(model, count, asked)
                if answered and self._replaced_after_ms(model) is not None:
                    return
                if not answered:
                    count *= 2
        if self.is_unknown(model):
            log.warning(
                "replacements: when version %d of %s was named is unknown; replicas "
                "with older weights get no requests",
                self._history.newest(model),
                model,
            )

    def is_unknown(self, model: str) -> bool:
        """Return whether older weights get no requests, as their age is unknown."""
        return self._has_older_weights(model) and (
            self._replaced_after_ms(model) is None
        )

    def _is_known(self, model: str) -> bool:
        """Return whether the latest replacement is known about as well as usual."""
        after_ms = self._replaced_after_ms(model)
        if after_ms is None:
            return False
        return self._clock.now_ms() - after_ms <= _USUAL_UNCERTAINTY_MS

    def _replaced_after_ms(self, model: str) -> int | None:
        newest = self._history.newest(model)
        return newest and self._history.replaced_after_ms(model, newest - 1)

    async def _ask(self, model: str, count: int, asked: set[Address]) -> int:
        """Ask nodes, first those not ``asked`` yet; return how many answered."""
        addresses = self._addresses()
        random.shuffle(addresses)
        addresses.sort(key=asked.__contains__)
        chosen = addresses[:count]
        asked.update(chosen)
        self.asked += len(chosen)
        return sum(
            await asyncio.gather(
                *(self._ask_node(address, model) for address in chosen)
            )
        )

    async def _ask_node(self, address: Address, model: str) -> bool:
        if self._link is None:
            return False
        sent_ms = self._clock.now_ms()
        answer = await self._link.call(
            address,
            _KIND,
            ReplacementQuestion(model=model),
            ReplacementAnswer,
            timeout_s=_CALL_TIMEOUT_S,
        )
        if isinstance(answer, CallFailed):
            return False
        for item in answer.last_newest:
            # The answer was made after the question was sent.
            at_ms = sent_ms - item.age_ms
            if item.age_ms >= 0 and self._history.on_evidence(
                model, item.version, at_ms
            ):
                log.info(
                    "replacements: version %d of %s was replaced %d ms ago at most, "
                    "by another node",
                    item.version,
                    model,
                    self._clock.now_ms() - at_ms,
                )
        return True

    async def _on_question(self, sender: str, question: Any) -> Any:
        now_ms = self._clock.now_ms()
        times_ms = self._history.proven(question.model)
        if self._history.confirmed_ms is not None:
            newest = self._history.newest(question.model) or 0
            times_ms[newest] = self._history.confirmed_ms
        return ReplacementAnswer(
            last_newest=[
                VersionAge(version=version, age_ms=min(now_ms - at_ms, _MAX_AGE_MS))
                for version, at_ms in times_ms.items()
            ]
        )

    async def _write_row(self, model: str) -> None:
        for count, pause_ms in enumerate(_WRITE_PAUSES_MS, start=1):
            await self._clock.sleep_ms(pause_ms)
            if self._rows.is_written(model):
                return
            if self._is_among_first(min(count, _MAX_WRITERS)):
                await self._rows.write(model)
        await self._clock.sleep_ms(_OTHERS_PAUSE_MS + _OTHERS_SPREAD_MS * self._place())
        if not self._rows.is_written(model):
            await self._rows.write(model)
