"""Checks whether the weights of a chosen replica may serve one request."""

from fireflyward.clock import Clock
from fireflyward.replicas import Choice, Chooser

from ._trace import Trace
from ._weights import WeightVersions


class WeightsCheck:
    """Checks the choices of one request, and records their weights in its trace."""

    __slots__ = ("_clock", "_model", "_trace", "_weights")

    def __init__(
        self, weights: WeightVersions, model: str, trace: Trace, *, clock: Clock
    ) -> None:
        """``model`` is empty for a request to a service without weights."""
        self._weights = weights
        self._model = model
        self._trace = trace
        self._clock = clock

    def may_serve(self, choice: Choice) -> bool:
        """Return whether the replica may still get the request."""
        return self._weights.may_get_requests(
            self._clock.now_ms(), self._model, choice.weights
        )

    def why_none(self, chooser: Chooser, service: str) -> str:
        """Return how weights keep replicas from serving, empty if they do not."""
        now_ms, model = self._clock.now_ms(), self._model
        newest = self._weights.newest(model)
        if newest is None or self._weights.may_get_requests(now_ms, model, newest - 1):
            return ""
        if not chooser.has_older_weights(service, model, newest):
            return ""
        replaced_ms = self._weights.replaced_ms(now_ms, model, newest - 1)
        age = "at an unknown time" if replaced_ms is None else f"{replaced_ms} ms ago"
        return f"replicas have not loaded version {newest} of {model}, named {age}"

    def on_send(self, choice: Choice) -> None:
        """Record at which age of its weights the request is sent to a replica."""
        newest, version = self._weights.newest(self._model), choice.weights
        if newest is None or version is None or version >= newest:
            self._trace.on_newest_weights()
            return
        now_ms = self._clock.now_ms()
        heard_ms = self._weights.heard_ms(now_ms, self._model)
        replaced_ms = self._weights.replaced_ms(now_ms, self._model, version)
        self._trace.on_older_weights(newest, heard_ms, replaced_ms)
        self._weights.older_sends.add(self._model, replaced_ms)
