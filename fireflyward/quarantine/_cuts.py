"""Which requests were under way where, when a replica ended."""

# A replica that falls silent is known to have ended once its entry lapses, three
# heartbeats of 1.2 s after its last; requests that were cut there earlier were not
# under way at its end.
_BEFORE_END_MS = 5_000


class Cuts:
    """Sends that came to no answer, by the replica's start; no I/O.

    A connection that breaks does not tell why. Only if its replica proves to have
    ended were the requests that were cut there under way at its end; whichever of
    the two is known first, ``on_cut`` or ``on_end`` returns them.

    >>> cuts = Cuts()
    >>> cuts.on_cut(0, "a", 7), cuts.on_end(3, 7), cuts.on_cut(4, "b", 7)
    ((), ('a',), ('b',))
    """

    __slots__ = ("_cut_ms_by_start", "_ended_ms_by_start")

    def __init__(self) -> None:
        self._cut_ms_by_start: dict[int, dict[str, int]] = {}
        self._ended_ms_by_start: dict[int, int] = {}

    def on_cut(self, now_ms: int, fingerprint: str, start: int) -> tuple[str, ...]:
        """Note a cut; return the request if the replica is known to have ended."""
        self._forget(now_ms)
        if start in self._ended_ms_by_start:
            return (fingerprint,)
        self._cut_ms_by_start.setdefault(start, {})[fingerprint] = now_ms
        return ()

    def on_end(self, now_ms: int, start: int) -> tuple[str, ...]:
        """Note the end of a replica; return the requests that were cut by it."""
        self._forget(now_ms)
        if start in self._ended_ms_by_start:
            return ()
        self._ended_ms_by_start[start] = now_ms
        return tuple(self._cut_ms_by_start.pop(start, ()))

    def _forget(self, now_ms: int) -> None:
        since_ms = now_ms - _BEFORE_END_MS
        for start, cut_ms in list(self._cut_ms_by_start.items()):
            young = {name: at_ms for name, at_ms in cut_ms.items() if at_ms >= since_ms}
            if young:
                self._cut_ms_by_start[start] = young
            else:
                del self._cut_ms_by_start[start]
        for start, ended_ms in list(self._ended_ms_by_start.items()):
            if ended_ms < since_ms:
                del self._ended_ms_by_start[start]
