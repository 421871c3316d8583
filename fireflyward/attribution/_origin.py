"""To which request a response belongs, by the ids of both."""

import enum


class Origin(enum.Enum):
    """To which request a response belongs.

    ``UNNAMED`` is a response without an id to a request that has one. It may be a late
    response to another call on the same connection.
    """

    OWN = "own"
    OTHER = "other"
    UNNAMED = "unnamed"


def origin_of(request_id: str | None, named_id: str | None) -> Origin:
    """Return whether a response belongs to the request that was sent last.

    ``named_id`` is the id that the response names. A call without an id, such as one
    for a report, has ``request_id`` None; its response names no request either.

    >>> origin_of("q1", "q1").value, origin_of("q1", "q0").value
    ('own', 'other')
    >>> origin_of("q1", None).value, origin_of(None, "q0").value
    ('unnamed', 'other')
    """
    if named_id == request_id:
        return Origin.OWN
    return Origin.UNNAMED if named_id is None else Origin.OTHER


def proves_not_run(request_id: str, named_id: str | None) -> bool:
    """Return whether a rejection proves that a request has not run.

    A request that may run once must not be sent again after any other response, not
    even after one that reports that something was not run.

    >>> proves_not_run("q1", "q1"), proves_not_run("q1", None)
    (True, False)
    """
    return origin_of(request_id, named_id) is Origin.OWN
