"""What was decided for one request, for its line in the log."""

import logging

from fireflyward.replicas import Choice

from ._messages import Rejected, SendResult, WholeAnswer

log = logging.getLogger("fireflyward.forwarding")


class Trace:
    """What was decided for one request, for its line in the log.

    ``queue_ms`` and ``expected_ms`` are of the last send: the wait and the time to
    the first token that were expected of its replica, and ``first_token_ms`` what it
    came to from that send. ``earlier`` tells what became of each send before it,
    and ``waits_late`` that it goes for a slot behind all others. ``fingerprint`` is
    alike for requests that ask the same.
    """

    __slots__ = (
        "account",
        "configuration",
        "earlier",
        "expected_ms",
        "fingerprint",
        "first_token_ms",
        "queue_ms",
        "replica",
        "route",
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
        self.earlier: list[str] = []
        self.waits_late = False
        self.weights: int | None = None
        self.queue_ms = 0
        self.expected_ms = 0
        self.first_token_ms = 0
        self.stored_tokens = 0

    def on_choice(self, choice: Choice) -> None:
        """Note which replica a send goes to, and what is expected of it."""
        self.replica = choice.replica.entry.incarnation
        self.weights = choice.weights
        self.queue_ms = int(choice.queue_ms)
        self.expected_ms = int(choice.first_token_ms)

    def on_again(self, request_id: str, result: SendResult, left_ms: float) -> None:
        """Note that another send follows, and write a line of it."""
        name, detail = type(result).__name__, _detail(result)
        self.earlier.append(f"{self.replica}: {name} {detail}")
        log.info(
            "forwarding: again after %s",
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
        """Return what is known, by name."""
        return {
            name: value
            for name in self.__slots__
            if (value := getattr(self, name)) not in ("", None, 0, [])
        }


def _detail(result: SendResult) -> str:
    """Say in short what a send came to."""
    if isinstance(result, WholeAnswer):
        return f"status {result.head.status}"
    if isinstance(result, Rejected):
        return result.because.value
    return getattr(result, "detail", "")
