"""Adapter for the users' platform: its wire names, its formats and its calls.

This package only encodes and decodes; it makes no decisions.
"""

from ._configuration import (
    decode_configuration,
    decode_evacuation,
    decode_weight_target,
)
from ._notices import Brittleness, InvalidHeader, RateLimit, ReplicaNotices
from ._replica_api import (
    OrderResult,
    ReplicaApi,
    ReplicaReport,
    is_incarnation,
)
from ._replica_list import decode_replica
from ._requests import (
    CallerRequest,
    PromptPart,
    ReplicaHeaders,
    ReplicaLoad,
    ResponseFacts,
    decode_request,
    decode_response,
    encode_request,
    named_request,
    rejection_headers,
    request_id_headers,
    response_headers,
    status_of,
)
from ._settings import SETTINGS_VARIABLE, BadSettings, IncompleteSettings, load_settings
from ._store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    EVACUATION_PREFIX,
    READINESS_PATH,
    REPLICA_TABLE,
    WEIGHTS_PREFIX,
    StoreClient,
)
from ._table import LeaseTable

__all__ = [
    "Brittleness",
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "EVACUATION_PREFIX",
    "READINESS_PATH",
    "RateLimit",
    "REPLICA_TABLE",
    "SETTINGS_VARIABLE",
    "WEIGHTS_PREFIX",
    "BadSettings",
    "IncompleteSettings",
    "CallerRequest",
    "LeaseTable",
    "OrderResult",
    "PromptPart",
    "ReplicaApi",
    "ReplicaHeaders",
    "ReplicaLoad",
    "ReplicaNotices",
    "ReplicaReport",
    "ResponseFacts",
    "StoreClient",
    "InvalidHeader",
    "response_headers",
    "decode_configuration",
    "decode_evacuation",
    "decode_replica",
    "decode_request",
    "decode_response",
    "decode_weight_target",
    "encode_request",
    "named_request",
    "is_incarnation",
    "load_settings",
    "rejection_headers",
    "request_id_headers",
    "status_of",
]
