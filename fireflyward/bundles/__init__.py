"""Signed bundles: the only way in which operators change a deployment."""

from ._bundle import (
    Account,
    Bundle,
    BundleError,
    Caller,
    Model,
    Person,
    Service,
    Upstream,
)
from ._checks import cross_errors, weight_errors
from ._diff import Difference, diff
from ._exchange import BundleCache, decode_changes, fetch_all_pages
from ._follower import (
    AnnounceNumber,
    BundleFollower,
    FetchFromPeer,
    FetchFromStore,
    ReadHead,
)
from ._holder import BundleHolder
from ._keys import KeyProblem, create_key, load_key
from ._loader import BundleLoader, Loaded
from ._node_status import (
    Condition,
    NodeObservation,
    NodeStatus,
    NodeStatusTracker,
    is_in_force_everywhere,
)
from ._parts import ChunkedAccounts, canonical_bytes, digest_of
from ._plan import Plan, make_plan
from ._signing import (
    Signature,
    SignedBundle,
    SigningKey,
    Statement,
    find_verifying_key,
    public_hex,
    root_people,
)
from ._state import (
    BundleState,
    draft,
    sign_bundle,
    with_approver,
    with_author,
)
from ._store import (
    AcceptStep,
    BundleStore,
    Head,
    Whole,
    decode_signed,
    encode_signed,
    statement_of,
)
from ._toml import parse_bundle, to_toml
from ._verify import read_state, verify_bundle, verify_change, verify_snapshot

__all__ = [
    "AcceptStep",
    "Account",
    "Bundle",
    "BundleError",
    "BundleFollower",
    "BundleHolder",
    "BundleLoader",
    "BundleCache",
    "BundleState",
    "BundleStore",
    "NodeStatusTracker",
    "Caller",
    "ChunkedAccounts",
    "Condition",
    "Difference",
    "FetchFromPeer",
    "FetchFromStore",
    "Head",
    "KeyProblem",
    "Loaded",
    "Model",
    "NodeStatus",
    "Person",
    "Plan",
    "ReadHead",
    "NodeObservation",
    "Service",
    "Signature",
    "SignedBundle",
    "SigningKey",
    "Statement",
    "AnnounceNumber",
    "Upstream",
    "Whole",
    "canonical_bytes",
    "fetch_all_pages",
    "create_key",
    "cross_errors",
    "decode_changes",
    "decode_signed",
    "diff",
    "digest_of",
    "draft",
    "encode_signed",
    "is_in_force_everywhere",
    "find_verifying_key",
    "load_key",
    "make_plan",
    "parse_bundle",
    "public_hex",
    "read_state",
    "root_people",
    "sign_bundle",
    "statement_of",
    "to_toml",
    "verify_bundle",
    "verify_change",
    "verify_snapshot",
    "weight_errors",
    "with_approver",
    "with_author",
]
