"""Suspects as rows of a table that all nodes follow."""

import logging
from collections.abc import Iterable, Mapping

import msgspec

from fireflyward.backing import Committed, Conflict, Unavailable, Uncertain
from fireflyward.clock import Clock
from fireflyward.feeds import Followed, TableRow
from fireflyward.platform import StoreClient

from ._messages import SuspectRow, Trial, TrialRow
from ._suspects import Suspects

log = logging.getLogger("fireflyward.quarantine")

_SUSPECT_PREFIX = "suspect/"
_TRIAL_KEY = "trial"
# A trial whose node ended, or could not write its end, is taken to be over after this
# long, twice the longest deadline that deployments have.
_TRIAL_MS = 30_000

_Written = Committed | Conflict | Unavailable | Uncertain


class SuspectRows:
    """Writes suspects and trials, each on the condition that it read the row.

    Two nodes that both learn of a third end write the same row, and only one write
    takes effect; the other is made again from what the table says by then.
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
        self._version_by_key: dict[str, int] = {}
        self._trial_seen_ms = 0

    def on_news(self, news: Followed) -> None:
        """Take what changed in the table."""
        if news.is_whole:
            listed = {row.key for row in news.rows}
            for key in self._version_by_key.keys() - listed:
                # What was read before a row was written cannot tell that it went.
                if self._version_by_key[key] <= news.version:
                    self._on_removed(key)
        for row in news.rows:
            if row.key != _TRIAL_KEY and not row.key.startswith(_SUSPECT_PREFIX):
                continue
            if row.version <= self._version_by_key.get(row.key, 0):
                continue
            if row.is_deleted:
                self._on_removed(row.key)
            else:
                self._take(row)

    @property
    def trial_is_free(self) -> bool:
        """Tell whether no suspect seems to be on trial."""
        if not self._version_by_key.get(_TRIAL_KEY):
            return True
        return self._clock.now_ms() - self._trial_seen_ms >= _TRIAL_MS

    async def settle(self, fingerprint: str) -> bool:
        """Bring the row of a request up to date; return whether that is done.

        Of one that was cleared no row is left.
        """
        key = _key(fingerprint)
        if not self._suspects.ends_of(fingerprint):
            if not self._version_by_key.get(key):
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
        self._trial_seen_ms = now_ms
        self._suspects.on_row(now_ms, fingerprint, row)
        return Trial(fingerprint, result.version_by_key[_TRIAL_KEY])

    async def end_trial(self, trial: Trial, *, counts: bool) -> None:
        """Let others be on trial; one that was taken over meanwhile stays.

        A trial that ``counts`` for nothing is given back.
        """
        if self._version_by_key.get(_TRIAL_KEY) != trial.version:
            return
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
            expected={key: self._version_by_key.get(key, 0) for key in keys},
            puts=puts,
            deletes=deletes,
        )
        if isinstance(result, Committed):
            for key, version in result.version_by_key.items():
                # Its answer may come after news of what was written since.
                known = self._version_by_key.get(key, 0)
                self._version_by_key[key] = max(known, version)
            for key in deletes:
                self._version_by_key.pop(key, None)
        else:
            log.info("quarantine: %s not written: %s", ", ".join(keys), result)
        return result

    def _take(self, row: TableRow) -> None:
        self._version_by_key[row.key] = row.version
        now_ms = self._clock.now_ms()
        if row.key == _TRIAL_KEY:
            self._trial_seen_ms = now_ms
            return
        try:
            suspect = msgspec.json.decode(row.value, type=SuspectRow)
        except msgspec.MsgspecError as error:
            # Another writer's row holds nothing back; the others hold.
            log.error("quarantine: row %s is not understood: %s", row.key, error)
            return
        self._suspects.on_row(now_ms, row.key.removeprefix(_SUSPECT_PREFIX), suspect)

    def _on_removed(self, key: str) -> None:
        if self._version_by_key.pop(key, None) and key != _TRIAL_KEY:
            self._suspects.clear(key.removeprefix(_SUSPECT_PREFIX))


def _key(fingerprint: str) -> str:
    return _SUSPECT_PREFIX + fingerprint
