"""The task that finds parts of prompts that crash replicas, and tells other nodes."""

import asyncio
import itertools
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from fireflyward.aggregators import Member
from fireflyward.clock import Clock, within_ms
from fireflyward.feeds import TableUpdate
from fireflyward.peers import PeerLink
from fireflyward.platform import StoreClient
from fireflyward.quarantine import Cuts, Free, Held
from fireflyward.replicas import ReplicaState

from ._completions import Completions
from ._crash_log import CrashLog, count_parts
from ._duty import duty_delay_ms, spread_delay_ms, standby_delay_ms
from ._evidence import Evidence
from ._held_parts import HeldParts, PartOnTrial
from ._inference import MIN_SILENCE_MS, MIN_TOLD_CRASHES, Suspect, find_suspects
from ._messages import PoisonMessages
from ._rows import HeldPartRows
from ._suspect_rows import SuspectPartRows

log = logging.getLogger("fireflyward.poison")

# Cut requests of one crash are told together.
_BATCH_MS = 10
_DECIDE_AGAIN_MS = 1_000
_RETRY_MS = 500
_FORGET_PERIOD_MS = 600_000
_TRIAL_RETRY_AFTER_MS = 1_000
_NO_TRIAL = Held("a part of its prompt cannot be tried now", _TRIAL_RETRY_AFTER_MS)
_MIN_KEPT_CUTS = 100
# Parts whose crashes are stored at a time, the most suspect ones.
_MAX_STORED_SUSPECTS = 8


class PoisonTask:
    """Finds parts of prompts that crash replicas, and holds prompts with them back.

    A part crashed every replica that began to answer a prompt with it. Its requests
    came to all nodes, no two alike, and each crashed another replica, with all requests
    in flight there. A node tells the others which parts its cut requests had.
    One node after the other, as long as none has decided, asks all which of these parts
    were in answers since, and holds the part that explains the crashes
    (``find_suspects``). Held parts are told to all nodes and kept in a table.

    ``cut`` counts the requests that were in flight at crashes, ``rejected`` those that
    were held back.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: StoreClient,
        table: str,
        node: Member,
        members: Callable[[], Sequence[Member]],
        counts_as_crash: Callable[[ReplicaState], bool],
        poll_soon: Callable[[], None],
    ) -> None:
        """``counts_as_crash`` returns whether a replica that ends now has crashed."""
        self._clock = clock
        self._node = node
        self._members = members
        self._counts_as_crash = counts_as_crash
        self._poll_soon = poll_soon
        self._cuts = Cuts()
        self._number_by_request = itertools.count(1)
        self._parts_by_cut: dict[str, tuple[int, ...]] = {}
        self._max_cuts = _MIN_KEPT_CUTS
        self._crashes = CrashLog()
        self._completions = Completions()
        self._messages = PoisonMessages(
            self, self._completions, clock=clock, members=members
        )
        self._held = HeldParts()
        self._rows = HeldPartRows(self._held, clock=clock, store=store, table=table)
        self._suspect_rows = SuspectPartRows(clock=clock, store=store, table=table)
        self._unwritten: set[int] = set()
        # Held parts on which this node decided.
        self._own_verdicts: set[int] = set()
        self._untold_ends: dict[int, frozenset[int]] = {}
        # Parts with a row of crashes that had an answer since.
        self._answered_suspects: set[int] = set()
        self._has_work = asyncio.Event()
        self._untold: dict[int, Counter[int]] = {}
        self._has_news = asyncio.Event()
        self._decision: asyncio.Task[None] | None = None
        self._has_read_table = False
        self._next_trial_ms = 0
        self.cut = 0
        self.rejected = 0

    @property
    def held(self) -> int:
        """Return how many parts are held back."""
        return len(self._held)

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the running tasks, besides ``run``."""
        return [self._decision] if self._decision is not None else []

    def use(self, link: PeerLink | None) -> None:
        """Tell and ask other nodes over a link from now on."""
        self._messages.use(link)

    def on_table_update(self, update: TableUpdate) -> None:
        """Apply changes of the table."""
        lost = self._rows.on_table_update(update)
        if lost:
            self._write_soon(*lost)
        now_ms = self._clock.now_ms()
        for part in self._suspect_rows.on_table_update(update):
            ends = self._suspect_rows.ends[part]
            new = sum(self._crashes.add_part(now_ms, end, part) for end in ends)
            if new:
                self._decide_soon()
        if not self._has_read_table:
            self._has_read_table = True
            log.info(
                "poison: %d parts held and %d suspect by rows from before the start",
                len(self._held),
                len(self._suspect_rows.ends),
            )

    async def admit(self, parts: tuple[int, ...]) -> Free | Held | PartOnTrial:
        """Decide whether a prompt with these parts may be sent to a replica."""
        verdict = self._held.verdict(self._clock.now_ms(), parts)
        if isinstance(verdict, PartOnTrial):
            if not await self._begin_trial(verdict.part):
                verdict = _NO_TRIAL
        if isinstance(verdict, Held):
            self.rejected += 1
        return verdict

    def on_cut(self, parts: tuple[int, ...], replica: ReplicaState) -> None:
        """Record a prompt that got no complete answer."""
        if not parts or not self._counts_as_crash(replica):
            return
        name = str(next(self._number_by_request))
        incarnation_id = replica.incarnation_id
        if self._cuts.on_cut(self._clock.now_ms(), name, incarnation_id):
            self._record(incarnation_id, [parts])
        else:
            self._parts_by_cut[name] = parts
            self._forget_old_cuts()

    def on_crash(self, replica: ReplicaState) -> None:
        """Record that a replica crashed; the prompts that it cut were in flight."""
        now_ms, incarnation_id = self._clock.now_ms(), replica.incarnation_id
        self._held.on_crash(now_ms)
        found = self._cuts.on_crash(now_ms, incarnation_id)
        cut = [self._parts_by_cut.pop(name) for name in found]
        if cut:
            self._record(incarnation_id, cut)

    def on_answered(self, parts: tuple[int, ...]) -> None:
        """Record a prompt whose answer a replica completed."""
        if not parts:
            return
        self._completions.add(self._clock.now_ms(), parts)
        for part in parts if self._suspect_rows.ends else ():
            if part in self._suspect_rows.ends:
                self._end_suspicion_later(part)
        for part in parts if len(self._held) else ():
            if self._held.on_answered(self._clock.now_ms(), part):
                log.info("poison: part %x cleared by an answer", part)
                self._messages.tell_cleared(part)
                self._write_soon(part)

    def on_told_cut(self, incarnation_id: int, counts: Counter[int]) -> None:
        """Record prompts of another node that were in flight at a crash."""
        self._add_crash(incarnation_id, counts)

    def on_told_held(
        self,
        node: str,
        part: int,
        crashes: int,
        *,
        had_answers: bool,
        is_provisional: bool,
    ) -> None:
        """Hold a part that another node holds, unless a newer answer contradicts."""
        answered_ms = self._last_answer_ms(part)
        if answered_ms is not None:
            if self._clock.now_ms() - answered_ms < MIN_SILENCE_MS:
                log.info("poison: part %x not held as told by %s, answered", part, node)
                self._messages.tell_cleared(part, only=node)
                return
        is_new = self._held.hold(
            self._clock.now_ms(),
            part,
            crashes=crashes,
            had_answers=had_answers,
            is_provisional=is_provisional,
        )
        if is_new:
            log.info("poison: part %x held, told by %s", part, node)

    def on_told_cleared(self, node: str, part: int) -> None:
        """Free a part of which another node has completed an answer."""
        was_held = self._held.on_answered(self._clock.now_ms(), part)
        if not was_held:
            return
        log.info("poison: part %x cleared, told by %s", part, node)
        if part in self._own_verdicts:
            # The node that had the answer may have told this one alone.
            self._own_verdicts.discard(part)
            self._messages.tell_cleared(part)
            self._write_soon(part)

    async def run(self) -> None:
        """Write the rows of held parts until cancelled."""
        forgot_ms = self._clock.now_ms()
        # A run that failed may have left work.
        self._has_work.set()
        while True:
            await within_ms(self._clock, _FORGET_PERIOD_MS, self._has_work.wait())
            self._has_work.clear()
            now_ms = self._clock.now_ms()
            if now_ms - forgot_ms >= _FORGET_PERIOD_MS:
                forgot_ms = now_ms
                self._forget_unused(now_ms)
            await self._write()
            if self._unwritten or self._untold_ends or self._answered_suspects:
                self._poll_soon()
                await self._clock.sleep_ms(_RETRY_MS)
                self._has_work.set()

    async def _begin_trial(self, part: int) -> bool:
        """Return whether this node may try a part; the table is not asked each time.

        All prompts with the part ask until the table shows another node's trial.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_trial_ms:
            return False
        self._next_trial_ms = now_ms + _RETRY_MS
        if await self._rows.begin_trial(part):
            return True
        self._poll_soon()
        return False

    async def _write(self) -> None:
        """Write what changed; what could not be written is tried again."""
        for part in list(self._unwritten):
            if await self._rows.write(part):
                self._unwritten.discard(part)
        for part, ends in list(self._untold_ends.items()):
            if part in self._held.by_part:
                is_done = await self._suspect_rows.delete(part)
            else:
                is_done = await self._suspect_rows.add(part, ends)
            if is_done and self._untold_ends.get(part) == ends:
                del self._untold_ends[part]
        for part in list(self._answered_suspects):
            if await self._suspect_rows.delete(part):
                self._answered_suspects.discard(part)
        if duty_delay_ms(self._node, self._members()) == 0:
            for part in self._suspect_rows.old(self._clock.now_ms()):
                await self._suspect_rows.delete(part)

    def _forget_unused(self, now_ms: int) -> None:
        for part in self._held.unused(now_ms):
            self._held.clear(part)
            self._own_verdicts.discard(part)
            self._unwritten.add(part)

    def _forget_old_cuts(self) -> None:
        """Drop the parts of cuts that no crash followed."""
        if len(self._parts_by_cut) > self._max_cuts:
            kept = self._cuts.names()
            self._max_cuts = _MIN_KEPT_CUTS + 2 * len(kept)
            self._parts_by_cut = {
                name: parts
                for name, parts in self._parts_by_cut.items()
                if name in kept
            }

    def _record(self, incarnation_id: int, cut: list[tuple[int, ...]]) -> None:
        """Record this node's prompts in flight at a crash, and tell the others."""
        self.cut += len(cut)
        counts = count_parts(cut)
        self._add_crash(incarnation_id, counts)
        if not self._untold:
            self._clock.call_later_ms(_BATCH_MS, self._tell_cuts)
        self._untold.setdefault(incarnation_id, Counter()).update(counts)

    def _add_crash(self, incarnation_id: int, counts: Counter[int]) -> None:
        now_ms = self._clock.now_ms()
        if self._crashes.add(now_ms, incarnation_id, counts):
            self._held.on_crash(now_ms)
            for part in counts.keys() & self._held.by_part.keys():
                self._held.by_part[part].crashes += 1
        self._decide_soon()

    def _decide_soon(self) -> None:
        """Let this node decide on the crashes, if that is its duty."""
        self._has_news.set()
        if self._decision is not None and not self._decision.done():
            return
        delay_ms = duty_delay_ms(self._node, self._members())
        if delay_ms is None:
            self._decision = asyncio.create_task(self._decide_for_others())
        else:
            self._decision = asyncio.create_task(self._decide(delay_ms))

    def _tell_cuts(self) -> None:
        untold, self._untold = self._untold, {}
        for incarnation_id, counts in untold.items():
            self._messages.tell_cut(incarnation_id, counts)

    async def _decide(self, delay_ms: int) -> None:
        """Look for parts that explain the crashes, until no news arrives.

        Without news the last decision is repeated once: answers that were under way at
        the crashes have ended by then.
        """
        quiet = 0
        while quiet < 2:
            await self._clock.sleep_ms(2 * _BATCH_MS + delay_ms)
            self._has_news.clear()
            await self._decide_once()
            await within_ms(self._clock, _DECIDE_AGAIN_MS, self._has_news.wait())
            quiet = 0 if self._has_news.is_set() else quiet + 1

    async def _decide_for_others(self) -> None:
        """Decide on the crashes if none of the nodes whose duty it is does so."""
        began_ms = self._clock.now_ms()
        delay_ms = standby_delay_ms(self._node, self._members())
        await self._clock.sleep_ms(delay_ms)
        asked_ms = self._messages.last_asked_ms
        if (asked_ms is None or asked_ms < began_ms) and self._suspects():
            log.info("poison: no other node decides on the crashes")
            await self._decide(0)

    async def _decide_once(self) -> None:
        while suspects := self._suspects():
            evidence = await self._messages.ask([item.part for item in suspects])
            found = self._suspects(evidence)
            suspects = [item for item in found if item.part in evidence.parts]
            if not suspects or not suspects[0].explains:
                break
            self._hold(suspects[0], evidence, others=len(suspects) - 1)
        for suspect in suspects[:_MAX_STORED_SUSPECTS]:
            self._untold_ends[suspect.part] = suspect.ends
            self._has_work.set()

    def _suspects(self, evidence: Evidence | None = None) -> list[Suspect]:
        now_ms = self._clock.now_ms()
        crashes = self._crashes.recent(now_ms)
        if len(crashes) < MIN_TOLD_CRASHES:
            return []

        def last_completed_ms(part: int) -> int | None:
            own_ms = self._last_answer_ms(part)
            other_ms = evidence.last_ms(part) if evidence is not None else None
            return max(
                (at for at in (own_ms, other_ms) if at is not None), default=None
            )

        answers = self._completions.answers
        recent_answers = self._completions.recent(now_ms)
        first_ms = self._completions.first_ms
        if evidence is not None:
            answers += evidence.answers
            recent_answers += evidence.recent
            known_ms = [at for at in (first_ms, evidence.first_ms) if at is not None]
            first_ms = min(known_ms, default=None)
        return find_suspects(
            now_ms,
            crashes,
            self._held.by_part.keys(),
            last_completed_ms,
            answers=answers,
            recent_answers=recent_answers,
            first_answer_ms=first_ms,
            is_complete=evidence is None or not evidence.silent,
        )

    def _last_answer_ms(self, part: int) -> int | None:
        """Return when an answer with a part was completed, as far as is known here."""
        known = (self._completions.last_ms(part), self._held.answered_ms(part))
        return max((at for at in known if at is not None), default=None)

    def _hold(self, suspect: Suspect, evidence: Evidence, *, others: int) -> None:
        part = suspect.part
        had_answers = suspect.had_answers
        self._held.hold(
            self._clock.now_ms(),
            part,
            crashes=suspect.crashes,
            had_answers=had_answers,
            is_provisional=suspect.is_provisional,
        )
        self._own_verdicts.add(part)
        # A warning, so that the limit on log lines does not drop it.
        log.warning(
            "poison: part %x held",
            part,
            extra={
                "fields": {
                    "crashes": suspect.crashes,
                    "requests": suspect.requests,
                    "had_answers": had_answers,
                    "is_provisional": suspect.is_provisional,
                    "other_suspects": others,
                    "answers": self._completions.answers + evidence.answers,
                    "nodes_missing": len(evidence.missing),
                    "nodes_silent": len(evidence.silent),
                }
            },
        )
        if part in self._suspect_rows.ends:
            self._untold_ends[part] = suspect.ends
        self._messages.tell_held(
            part,
            suspect.crashes,
            had_answers=had_answers,
            is_provisional=suspect.is_provisional,
        )
        self._write_soon(part)
        self._poll_soon()

    def _end_suspicion_later(self, part: int) -> None:
        """Delete the row of a part that had an answer, unless another node does first.

        Otherwise nodes that start would count its crashes without knowing the answer.
        """
        if part in self._answered_suspects:
            return
        self._answered_suspects.add(part)
        delay_ms = spread_delay_ms(self._node, self._members())
        self._clock.call_later_ms(delay_ms, self._has_work.set)

    def _write_soon(self, *parts: int) -> None:
        self._unwritten.update(parts)
        self._has_work.set()
