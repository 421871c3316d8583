"""Collects the decisions of a node on one request, for the request's log line."""

import logging

from fireflyward.replicas import Choice

from ._messages import Rejected, SendResult, WholeAnswer

log = logging.getLogger("fireflyward.forwarding")


class Trace:
    """The decisions of a node on one request, for the request's log line.

    Four fields belong to the last send: ``queue_ms`` is the estimated wait at its
    replica, ``expected_ms`` the estimated time to its first token, and
    ``first_token_ms`` the measured time from the send to the first token, and
    ``longest_pause_ms`` the longest time between two parts of the stream. ``earlier``
    lists the results of the sends before it. ``waits_late`` is set if the request is
    late and waits for a slot at the lowest priority. ``fingerprint`` is the same for
    requests with the same content. ``second_send`` is why a second send was made while
    the first one was open, ``second_after_ms`` when, and ``second_winner`` which of the
    two was forwarded. ``second_refused`` is why a due second send was not made.
    """

    __slots__ = (
        "account",
        "configuration",
        "earlier",
        "expected_ms",
        "fingerprint",
        "first_token_ms",
        "longest_pause_ms",
        "queue_ms",
        "replica",
        "route",
        "second_after_ms",
        "second_refused",
        "second_send",
        "second_winner",
        "sends",
        "service",
        "stored_tokens",
        "waits_late",
        "weights",
    )

    def __init__(self) -> None:
        self.route = ""
        self.account = ""
        self.fingerprint = ""
        self.service = ""
        self.configuration = 0
        self.replica = ""
        self.sends = 0
        self.second_send = ""
        self.second_refused = ""
        self.second_winner = ""
        self.second_after_ms = 0
        self.earlier: list[str] = []
        self.waits_late = False
        self.weights: int | None = None
        self.queue_ms = 0
        self.expected_ms = 0
        self.first_token_ms = 0
        self.longest_pause_ms = 0
        self.stored_tokens = 0

    def on_choice(self, choice: Choice) -> None:
        """Record which replica was chosen for a send, and its estimated times."""
        self.replica = choice.replica.entry.incarnation
        self.weights = choice.weights
        self.queue_ms = int(choice.queue_ms)
        self.expected_ms = int(choice.first_token_ms)

    def on_pause(self, pause_ms: float) -> None:
        """Record the time between two parts of the stream."""
        self.longest_pause_ms = max(self.longest_pause_ms, int(pause_ms))

    def on_retry(self, request_id: str, result: SendResult, left_ms: float) -> None:
        """Record the result of a send that is followed by another, and log it."""
        name, detail = type(result).__name__, _detail(result)
        self.earlier.append(f"{self.replica}: {name} {detail}")
        log.info(
            "forwarding: retrying after %s",
            name,
            extra={
                "request": request_id,
                "fingerprint": self.fingerprint,
                "replica": self.replica,
                "detail": detail,
                "left_ms": int(left_ms),
            },
        )

    def fields(self) -> dict[str, object]:
        """Return the fields that are set, by name."""
        return {
            name: value
            for name in self.__slots__
            if (value := getattr(self, name)) not in ("", None, 0, [])
        }


def _detail(result: SendResult) -> str:
    """Describe the result of a send in a few words."""
    if isinstance(result, WholeAnswer):
        return f"status {result.head.status}"
    if isinstance(result, Rejected):
        return result.reason.value
    return getattr(result, "detail", "")
