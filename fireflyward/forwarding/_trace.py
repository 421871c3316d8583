"""Collects the decisions of a node on one request, for the request's log line."""

import logging

from fireflyward.http1 import HttpConnection, NotConnected
from fireflyward.observe import PER_REQUEST
from fireflyward.replicas import Choice

from ._messages import Rejected, SendResult, WholeAnswer

log = logging.getLogger("fireflyward.forwarding")


class Trace:
    """The decisions of a node on one request, for the request's log line.

    These fields belong to the last send: ``queue_ms`` is the estimated wait at its
    replica, ``memory_ms`` the part of it until KV memory is free, ``expected_ms`` the
    estimated time to its first token, ``first_token_ms`` the measured time from the
    send to the first token, and ``longest_pause_ms`` the longest time between two parts
    of the stream. ``work_percent`` is the speed that the replica had reported,
    ``work_percent_age_ms`` before the choice. ``earlier`` lists the results of the
    sends before it, and of the other one of two. ``waits_late`` is set if the request
    is late and waits for a slot at the lowest priority. ``fingerprint`` is the same for
    requests with the same content. ``shared_parts`` are the ids of the parts of its
    prompt that other requests may share.

    ``chosen_after_ms`` and ``sent_after_ms`` are when the replica of the last send was
    chosen and when the request was written to its connection, after its arrival. At the
    choice the list of replicas was ``list_age_ms`` old, confirmed by ``list_source``.

    If the service lacks capacity, ``fair_percent`` is how much queue the request may
    find relative to the base estimate's limit, and ``fair_reason`` why. Its inputs are
    ``pressure_percent``, ``share_percent`` (what the account uses of its fair share),
    ``totals_age_ms``, and ``is_returning`` for a retry of a rejected caller.

    ``connects_refused`` and ``connects_timed_out`` count the replicas to which no
    connection could be opened, by how that failed. ``relay`` is the node through which
    the last send was made, if any, and ``connect_ms`` how long its connection took.

    ``software`` is the software version of the replica, and ``resumed_from`` the
    request that brought the first event of the stream that this request resumes. That
    stream began at ``origin_software``, which this node knows from ``origin_source``.

    ``weights`` is the version of the weights for which the replica was chosen. If newer
    ones were named by then, they are ``newest_weights``, and this node had heard of
    them ``newest_heard_ms`` before. Its weights may have been replaced ``replaced_ms``
    before, which is the age that counts; it is missing if no bound is known.
    ``served_weights`` is the version that the response named, if it is another one.

    ``second_send`` is why a second send was made while the first one was open,
    ``second_after_ms`` when, and ``second_winner`` which of the two was forwarded.
    ``second_refused`` is why a due second send was not made.

    ``unattributed`` counts the responses that did not name the request, and
    ``skipped`` those to earlier requests that preceded its own. ``last_result`` is the
    result of the last send, if the node made the response: what it is that shows that
    the request has not run, or that it may have.
    """

    __slots__ = (
        "account",
        "chosen_after_ms",
        "configuration",
        "connect_ms",
        "connects_refused",
        "connects_timed_out",
        "earlier",
        "expected_ms",
        "fair_percent",
        "fair_reason",
        "fingerprint",
        "first_token_ms",
        "is_returning",
        "last_result",
        "list_age_ms",
        "list_source",
        "longest_pause_ms",
        "memory_ms",
        "newest_heard_ms",
        "newest_weights",
        "origin_software",
        "origin_source",
        "pressure_percent",
        "queue_ms",
        "relay",
        "replaced_ms",
        "replica",
        "resumed_from",
        "route",
        "second_after_ms",
        "second_refused",
        "second_send",
        "second_winner",
        "sends",
        "sent_after_ms",
        "served_weights",
        "service",
        "share_percent",
        "shared_parts",
        "skipped",
        "software",
        "stored_tokens",
        "totals_age_ms",
        "unattributed",
        "waits_late",
        "weights",
        "work_percent",
        "work_percent_age_ms",
    )

    def __init__(self) -> None:
        self.route = ""
        self.account = ""
        self.fingerprint = ""
        self.service = ""
        self.configuration = 0
        self.connect_ms = 0
        self.connects_refused = 0
        self.connects_timed_out = 0
        self.relay = ""
        self.replica = ""
        self.resumed_from = ""
        self.origin_software = ""
        self.origin_source = ""
        self.software = ""
        self.sends = 0
        self.chosen_after_ms = 0
        self.sent_after_ms = 0
        self.list_age_ms = 0
        self.list_source = ""
        self.second_send = ""
        self.second_refused = ""
        self.second_winner = ""
        self.second_after_ms = 0
        self.earlier: list[str] = []
        self.last_result = ""
        self.waits_late = False
        self.fair_reason = ""
        self.fair_percent = 0
        self.pressure_percent = 0
        self.share_percent = 0
        self.shared_parts = ""
        self.totals_age_ms: int | None = None
        self.is_returning = False
        self.weights: int | None = None
        self.newest_weights: int | None = None
        self.newest_heard_ms: int | None = None
        self.replaced_ms: int | None = None
        self.served_weights: int | None = None
        self.queue_ms = 0
        self.memory_ms = 0
        self.expected_ms = 0
        self.first_token_ms = 0
        self.longest_pause_ms = 0
        self.stored_tokens = 0
        self.unattributed = 0
        self.skipped = 0
        self.work_percent: int | None = None
        self.work_percent_age_ms = 0

    def on_choice(self, choice: Choice) -> None:
        """Record which replica was chosen for a send, and its estimated times."""
        self.replica = choice.replica.entry.incarnation
        self.software = choice.replica.entry.software
        self.weights = choice.weights
        self.queue_ms = int(choice.queue_ms)
        self.memory_ms = int(choice.memory_ms)
        self.expected_ms = int(choice.first_token_ms)
        self.work_percent = choice.speed.percent
        self.work_percent_age_ms = choice.speed.age_ms
        self.list_age_ms = choice.list_age_ms
        self.list_source = choice.list_source

    def on_newest_weights(self) -> None:
        """Record a send to a replica with the newest weights that this node knows."""
        self.newest_weights = self.newest_heard_ms = self.replaced_ms = None

    def on_older_weights(
        self, newest: int, heard_ms: int | None, replaced_ms: int | None
    ) -> None:
        """Record a send to a replica with older weights than the newest ones.

        This node has known of those for ``heard_ms``, and they were named
        ``replaced_ms`` ago at most.
        """
        self.newest_weights = newest
        self.newest_heard_ms = heard_ms
        self.replaced_ms = replaced_ms

    def on_served_weights(self, version: int | None) -> None:
        """Record the weights that a response named, if they are not the expected."""
        if version is not None and version != self.weights:
            self.served_weights = version

    def on_connect(self, connection: HttpConnection | NotConnected, ms: int) -> None:
        """Record the connection for a send, and how long it took to get it."""
        self.connect_ms = ms
        if not isinstance(connection, NotConnected):
            self.relay = connection.relay
        elif connection.is_refused:
            self.connects_refused += 1
        else:
            self.connects_timed_out += 1

    def on_pause(self, pause_ms: float) -> None:
        """Record the time between two parts of the stream."""
        self.longest_pause_ms = max(self.longest_pause_ms, int(pause_ms))

    def on_retry(self, request_id: str, result: SendResult, left_ms: float) -> None:
        """Record the result of a send that is followed by another, and log it."""
        name, detail = type(result).__name__, _detail(result)
        self._add_earlier(self.replica, self.software, result)
        log.info(
            "forwarding: retrying after %s",
            name,
            extra={
                "request": request_id,
                "fingerprint": self.fingerprint,
                "replica": self.replica,
                "software": self.software,
                "detail": detail,
                "left_ms": int(left_ms),
                **PER_REQUEST,
            },
        )

    def on_finish(self, result: SendResult) -> None:
        """Record the result after which the node determined the outcome itself."""
        self.last_result = f"{type(result).__name__} {_detail(result)}".rstrip()

    def on_other_result(self, choice: Choice, result: SendResult) -> None:
        """Record how the other one of two sends ended."""
        entry = choice.replica.entry
        self._add_earlier(entry.incarnation, entry.software, result)

    def _add_earlier(self, replica: str, software: str, result: SendResult) -> None:
        name = f"{replica} ({software})" if software else replica
        self.earlier.append(f"{name}: {type(result).__name__} {_detail(result)}")

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
        return f"{result.reason.value}, {result.detail}"
    return getattr(result, "detail", "")
