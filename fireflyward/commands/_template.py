"""The commented first bundle that ``fireflyward bundle new`` writes."""

import string

_TEXT = string.Template(
    """\
# The first bundle of deployment $deployment. It holds all that operators configure;
# nodes have no other source for that. Check it with
#   fireflyward bundle check FILE
deployment = "$deployment"
number = 1

# A model and the weight version that new requests use. The weight store must
# hold the version; some upstream must serve the model.
[models.clauses]
version = "v1"
adapters = []

# A client account: its models, its share of the engines (weight 1 to 1000), its
# priority (0 to 9, 0 is the highest), and how many requests may be in flight.
[accounts.bridge-team]
models = ["clauses"]
weight = 1
priority = 5
max_in_flight = 100
share_prefixes = true

# A caller of that account, identified by the SHA-256 of its key:
#   printf %s "$$KEY" | sha256sum
[accounts.bridge-team.callers.portal]
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
services = ["drafting"]

# A plain service, and its routes whose calls are non-idempotent.
[services.drafting]
non_idempotent = ["POST /revisions*"]

# Replicas: model engines, plain services, stores of kept KV blocks. honours_fencing
# says whether the replica refuses orders with an old number; false if unsure.
[upstreams.engine-1]
kind = "engine"
url = "http://127.0.0.1:9001"
failure_domain = "sala-norte"
models = ["clauses"]
honours_fencing = false

[upstreams.drafting-1]
kind = "service"
url = "http://127.0.0.1:9002"
failure_domain = "sala-norte"
service = "drafting"

# Who may sign what. Scopes: "*", "trust", "account:bridge-*", "model:…",
# "service:…", "upstream:…". Two different people sign each bundle. Without this
# section the trust roots of the nodes' settings sign everything.
# [trust.ana]
# keys = ["public key of ana, from: fireflyward key show FILE"]
# may_author = ["*"]
# may_approve = ["*"]
"""
)


def first_bundle(deployment: str) -> str:
    """Return the text of the first bundle of a deployment."""
    return _TEXT.substitute(deployment=deployment)
