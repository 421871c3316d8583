"""To which send of a request a response belongs, and what it proves.

A request that may run once is sent again only after a proof that it has not run. A
response proves that if it names the request and came over a connection which has
carried the request once. A late response to an earlier request of the connection is
skipped. Both HTTP clients, for replicas and for the product's own
upstreams, take these decisions from here.
"""

from ._carried import CarriedRequests
from ._connections import UsedConnections
from ._origin import Origin, origin_of, proves_not_run

__all__ = [
    "CarriedRequests",
    "Origin",
    "UsedConnections",
    "origin_of",
    "proves_not_run",
]
