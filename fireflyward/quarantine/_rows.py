"""Suspects as rows of a table that all nodes follow."""

import logging
from collections.abc import Iterable, Mapping

import msgspec

from fireflyward.backing import (
    Committed,
    Conflict,
    Position,
    Unavailable,
    Uncertain,
)
from fireflyward.clock import Clock
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.platform import StoreClient

from ._messages import SuspectRow, Trial, TrialRow
from ._suspects import Suspects

log = logging.getLogger("fireflyward.quarantine")

_SUSPECT_PREFIX = "suspect/"
_TRIAL_KEY = "trial"
# A trial whose node ended, or could not write its end, is taken to be over after this
# long, twice the longest deadline that deployments have.
_TRIAL_MS = 30_000
# Rows of which it is kept that this node wrote them last.
_MOST_OWN = 1_000

_NEVER = Position(0, 0)

_Written = Committed | Conflict | Unavailable | Uncertain


class SuspectRows:
    """Writes suspects and trials, each on the condition that it read the row.

    Two nodes that both learn of a third end write the same row, and only one write
    takes effect; the other is made again from what the table says by then.

    An older copy of the store takes nothing back: suspects that it lacks are held on,
    those that it has again stay cleared, and whoever wrote such a row last writes it
    again.
    """

    def __init__(
        self,
        suspects: Suspects,
        *,
        store: StoreClient,
        table: str,
        node: str,
        clock: Clock,
    ) -> None:
        self._suspects = suspects
        self._store = store
        self._table = table
        self._node = node
        self._clock = clock
        self._position_by_key: dict[str, Position] = {}
        self._own_keys: dict[str, None] = {}
        self._era = 0
        self._trial_until_ms = 0

    def on_news(self, news: TableUpdate) -> list[str]:
        """Take what changed in the table; return whose rows this node writes again."""
        self._era = max(self._era, news.position.era)
        returned = []
        if news.is_snapshot:
            listed = {row.key for row in news.rows}
            for key in self._position_by_key.keys() - listed:
                # What was read before a row was written cannot tell that it went.
                if self._position_by_key[key] > news.position:
                    continue
                if news.is_new_era:
                    returned += self._on_lost(key)
                else:
                    self._on_removed(key)
        for row in news.rows:
            if row.key != _TRIAL_KEY and not row.key.startswith(_SUSPECT_PREFIX):
                continue
            if row.position <= self._position_by_key.get(row.key, _NEVER):
                continue
            if row.is_deleted:
                self._on_removed(row.key)
            elif row.is_restored:
                self._position_by_key[row.key] = row.position
                returned += self._to_write_again(row.key)
            else:
                self._take(row)
        return returned

    @property
    def trial_is_free(self) -> bool:
        """Tell whether no suspect seems to be on trial."""
        return self._clock.now_ms() >= self._trial_until_ms

    async def settle(self, fingerprint: str) -> bool:
        """Bring the row of a request up to date; return whether that is done.

        Of one that was cleared no row is left.
        """
        key = _key(fingerprint)
        if not self._suspects.ends_of(fingerprint):
            if key not in self._position_by_key:
                return True
            return isinstance(await self._write({}, deletes=[key]), Committed)
        if not self._suspects.needs_writing(fingerprint):
            return True
        return await self._put(fingerprint, self._suspects.row_of(fingerprint))

    async def begin_trial(self, fingerprint: str) -> Trial | None:
        """Count a trial and hold the only place for one, None if that fails."""
        row = self._suspects.row_of(fingerprint, trials=1)
        trial = TrialRow(fingerprint, self._node)
        result = await self._write(
            {
                _key(fingerprint): msgspec.json.encode(row),
                _TRIAL_KEY: msgspec.json.encode(trial),
            }
        )
        log.info("quarantine: trial of %s: %s", fingerprint, type(result).__name__)
        if not isinstance(result, Committed):
            return None
        now_ms = self._clock.now_ms()
        self._trial_until_ms = now_ms + _TRIAL_MS
        self._suspects.on_row(now_ms, fingerprint, row)
        return Trial(fingerprint, result.position_of(_TRIAL_KEY))

    async def end_trial(self, trial: Trial, *, counts: bool) -> None:
        """Let others be on trial; one that was taken over meanwhile stays.

        A trial that ``counts`` for nothing is given back.
        """
        known = self._position_by_key.get(_TRIAL_KEY)
        if known not in (None, trial.position):
            return
        self._trial_until_ms = 0
        if known is not None:
            await self._write({}, deletes=[_TRIAL_KEY])
        if not counts and self._suspects.ends_of(trial.fingerprint):
            row = self._suspects.row_of(trial.fingerprint, trials=-1)
            await self._put(trial.fingerprint, row)

    async def _put(self, fingerprint: str, row: SuspectRow) -> bool:
        result = await self._write({_key(fingerprint): msgspec.json.encode(row)})
        if isinstance(result, Committed):
            self._suspects.on_row(self._clock.now_ms(), fingerprint, row)
        return isinstance(result, Committed)

    async def _write(
        self, puts: Mapping[str, bytes], *, deletes: Iterable[str] = ()
    ) -> _Written:
        keys = [*puts, *deletes]
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: self._expected(key) for key in keys},
            puts=puts,
            deletes=deletes,
        )
        if isinstance(result, Committed):
            for key in result.version_by_key:
                # Its answer may come after news of what was written since.
                known = self._position_by_key.get(key, _NEVER)
                self._position_by_key[key] = max(known, result.position_of(key))
            for key in deletes:
                self._position_by_key.pop(key, None)
            self._note_own(keys)
        else:
            log.info("quarantine: %s not written: %s", ", ".join(keys), result)
        return result

    def _expected(self, key: str) -> Position:
        """Return where a row stands, by what was read of it."""
        return self._position_by_key.get(key, Position(self._era, 0))

    def _note_own(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._own_keys.pop(key, None)
            self._own_keys[key] = None
        while len(self._own_keys) > _MOST_OWN:
            del self._own_keys[next(iter(self._own_keys))]

    def _take(self, row: TableRow) -> None:
        self._position_by_key[row.key] = row.position
        self._own_keys.pop(row.key, None)
        now_ms = self._clock.now_ms()
        if row.key == _TRIAL_KEY:
            self._trial_until_ms = now_ms + _TRIAL_MS
            return
        try:
            suspect = msgspec.json.decode(row.value, type=SuspectRow)
        except msgspec.MsgspecError as error:
            # Another writer's row holds nothing back; the others hold.
            log.error("quarantine: row %s is not understood: %s", row.key, error)
            return
        self._suspects.on_row(now_ms, row.key.removeprefix(_SUSPECT_PREFIX), suspect)

    def _on_removed(self, key: str) -> None:
        if self._position_by_key.pop(key, None) is None:
            return
        if key == _TRIAL_KEY:
            self._trial_until_ms = 0
        else:
            self._suspects.clear(key.removeprefix(_SUSPECT_PREFIX))

    def _on_lost(self, key: str) -> list[str]:
        """Take a row that the store has lost; return whose row is to be written."""
        del self._position_by_key[key]
        return self._to_write_again(key)

    def _to_write_again(self, key: str) -> list[str]:
        if key == _TRIAL_KEY:
            return []
        fingerprint = key.removeprefix(_SUSPECT_PREFIX)
        self._suspects.on_row_lost(fingerprint)
        return [fingerprint] if key in self._own_keys else []


def _key(fingerprint: str) -> str:
    return _SUSPECT_PREFIX + fingerprint
