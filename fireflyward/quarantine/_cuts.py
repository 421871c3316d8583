"""The requests that were in flight when a replica crashed."""

# The crash of a replica that does not answer is detected when its entry expires, three
# heartbeats of 1.2 s after its last one. Requests that were cut earlier were not in
# flight when it crashed.
_BEFORE_CRASH_MS = 5_000


class Cuts:
    """Requests that got no answer, by the replica's incarnation id; no I/O.

    A broken connection does not show its cause. Requests that were cut at a replica
    were in flight at a crash only if the replica did crash. The cut and the crash may
    be recorded in either order; the later call, ``on_cut`` or ``on_crash``, returns
    the requests.

    >>> cuts = Cuts()
    >>> cuts.on_cut(0, "a", 7), cuts.on_crash(3, 7), cuts.on_cut(4, "b", 7)
    ((), ('a',), ('b',))
    """

    __slots__ = ("_cut_ms_by_incarnation_id", "_crashed_ms_by_incarnation_id")

    def __init__(self) -> None:
        self._cut_ms_by_incarnation_id: dict[int, dict[str, int]] = {}
        self._crashed_ms_by_incarnation_id: dict[int, int] = {}

    def on_cut(
        self, now_ms: int, fingerprint: str, incarnation_id: int
    ) -> tuple[str, ...]:
        """Record a cut; return the request if the replica is known to have crashed."""
        self._drop_old(now_ms)
        if incarnation_id in self._crashed_ms_by_incarnation_id:
            return (fingerprint,)
        self._cut_ms_by_incarnation_id.setdefault(incarnation_id, {})[fingerprint] = (
            now_ms
        )
        return ()

    def names(self) -> set[str]:
        """Return the requests that were cut and whose replica is not known to crash."""
        cut_ms = self._cut_ms_by_incarnation_id.values()
        return {name for by_request in cut_ms for name in by_request}

    def on_crash(self, now_ms: int, incarnation_id: int) -> tuple[str, ...]:
        """Record a replica's crash; return the requests that it cut."""
        self._drop_old(now_ms)
        if incarnation_id in self._crashed_ms_by_incarnation_id:
            return ()
        self._crashed_ms_by_incarnation_id[incarnation_id] = now_ms
        return tuple(self._cut_ms_by_incarnation_id.pop(incarnation_id, ()))

    def _drop_old(self, now_ms: int) -> None:
        since_ms = now_ms - _BEFORE_CRASH_MS
        for incarnation_id, cut_ms in list(self._cut_ms_by_incarnation_id.items()):
            recent = {
                name: at_ms for name, at_ms in cut_ms.items() if at_ms >= since_ms
            }
            if recent:
                self._cut_ms_by_incarnation_id[incarnation_id] = recent
            else:
                del self._cut_ms_by_incarnation_id[incarnation_id]
        for incarnation_id, crashed_ms in list(
            self._crashed_ms_by_incarnation_id.items()
        ):
            if crashed_ms < since_ms:
                del self._crashed_ms_by_incarnation_id[incarnation_id]
