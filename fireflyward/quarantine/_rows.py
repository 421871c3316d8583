"""Suspects and trials as rows of a table that all nodes follow."""

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
from fireflyward.decoding import decode_json
from fireflyward.feeds import TableRow, TableUpdate
from fireflyward.platform import StoreClient

from ._messages import SuspectRow, Trial, TrialRow
from ._suspects import Suspects

log = logging.getLogger("fireflyward.quarantine")

_SUSPECT_PREFIX = "suspect/"
_TRIAL_KEY = "trial"
# A trial whose node crashed, or could not delete its row, expires after this time,
# twice the longest deadline in any deployment.
_TRIAL_MS = 30_000
# Number of rows for which this node remembers that it was their last writer.
_MAX_OWN_KEYS = 1_000

_NEVER = Position(0, 0)

_WriteResult = Committed | Conflict | Unavailable | Uncertain


class SuspectRows:
    """Writes suspects and trials, each if the row is still as this node read it.

    Two nodes that both receive a third crash write the same row, and only one write
    takes effect; the other node repeats its write with the newer row.

    A store that was restored from an older snapshot undoes no decision: suspects whose
    rows it lost are still held, and those whose rows it restored stay cleared. The node
    that wrote such a row last writes it again.
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

    def on_table_update(self, update: TableUpdate) -> list[str]:
        """Apply changes of the table; return the suspects whose rows to write again."""
        self._era = max(self._era, update.position.era)
        to_rewrite = []
        if update.is_snapshot:
            listed = {row.key for row in update.rows}
            for key in self._position_by_key.keys() - listed:
                # A read from before the row was written does not show that the row was
                # deleted since.
                if self._position_by_key[key] > update.position:
                    continue
                if update.is_new_era:
                    to_rewrite += self._on_lost(key)
                else:
                    self._on_removed(key)
        for row in update.rows:
            if row.key != _TRIAL_KEY and not row.key.startswith(_SUSPECT_PREFIX):
                continue
            if row.position <= self._position_by_key.get(row.key, _NEVER):
                continue
            if row.is_deleted:
                self._on_removed(row.key)
            elif row.is_restored:
                self._position_by_key[row.key] = row.position
                to_rewrite += self._rows_to_rewrite(row.key)
            else:
                self._on_changed(row)
        return to_rewrite

    @property
    def is_trial_free(self) -> bool:
        """Return whether no suspect is on trial, as far as this node knows."""
        return self._clock.now_ms() >= self._trial_until_ms

    async def sync(self, fingerprint: str) -> bool:
        """Update the row of a request; return whether it is up to date.

        The row of a request that was cleared is deleted.
        """
        key = _key(fingerprint)
        if not self._suspects.crashes_of(fingerprint):
            if key not in self._position_by_key:
                return True
            return isinstance(await self._write({}, deletes=[key]), Committed)
        if not self._suspects.needs_write(fingerprint):
            return True
        return await self._write_row(fingerprint, self._suspects.row_of(fingerprint))

    async def begin_trial(self, fingerprint: str) -> Trial | None:
        """Count a trial and write the only trial row; return None if that fails."""
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
        """Delete the trial row, unless another trial has replaced it meanwhile.

        With ``counts`` false the trial is subtracted from the suspect's trials.
        """
        position = self._position_by_key.get(_TRIAL_KEY)
        if position not in (None, trial.position):
            return
        self._trial_until_ms = 0
        if position is not None:
            await self._write({}, deletes=[_TRIAL_KEY])
        if not counts and self._suspects.crashes_of(trial.fingerprint):
            row = self._suspects.row_of(trial.fingerprint, trials=-1)
            await self._write_row(trial.fingerprint, row)

    async def _write_row(self, fingerprint: str, row: SuspectRow) -> bool:
        result = await self._write({_key(fingerprint): msgspec.json.encode(row)})
        if isinstance(result, Committed):
            self._suspects.on_row(self._clock.now_ms(), fingerprint, row)
        return isinstance(result, Committed)

    async def _write(
        self, puts: Mapping[str, bytes], *, deletes: Iterable[str] = ()
    ) -> _WriteResult:
        keys = [*puts, *deletes]
        result = await self._store.write(
            table=self._table,
            part="",
            expected={key: self._expected_position(key) for key in keys},
            puts=puts,
            deletes=deletes,
        )
        if isinstance(result, Committed):
            for key in result.version_by_key:
                # The answer may arrive after an update with a newer version of the row.
                position = self._position_by_key.get(key, _NEVER)
                self._position_by_key[key] = max(position, result.position_of(key))
            for key in deletes:
                self._position_by_key.pop(key, None)
            self._record_own(keys)
        else:
            log.info("quarantine: %s not written: %s", ", ".join(keys), result)
        return result

    def _expected_position(self, key: str) -> Position:
        """Return the position at which this node last read a row."""
        return self._position_by_key.get(key, Position(self._era, 0))

    def _record_own(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._own_keys.pop(key, None)
            self._own_keys[key] = None
        while len(self._own_keys) > _MAX_OWN_KEYS:
            del self._own_keys[next(iter(self._own_keys))]

    def _on_changed(self, row: TableRow) -> None:
        self._position_by_key[row.key] = row.position
        self._own_keys.pop(row.key, None)
        now_ms = self._clock.now_ms()
        if row.key == _TRIAL_KEY:
            self._trial_until_ms = now_ms + _TRIAL_MS
            return
        suspect = decode_json(row.value, SuspectRow)
        if suspect is None:
            # An unreadable row is ignored; the other rows still take effect.
            log.error("quarantine: row %s is not understood", row.key)
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
        """Handle a row that the store has lost; return the suspect to write again."""
        del self._position_by_key[key]
        return self._rows_to_rewrite(key)

    def _rows_to_rewrite(self, key: str) -> list[str]:
        if key == _TRIAL_KEY:
            return []
        fingerprint = key.removeprefix(_SUSPECT_PREFIX)
        self._suspects.on_row_lost(fingerprint)
        return [fingerprint] if key in self._own_keys else []


def _key(fingerprint: str) -> str:
    return _SUSPECT_PREFIX + fingerprint
