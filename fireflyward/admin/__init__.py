"""The administration API: operators check, sign, submit and view bundles."""

from ._app import build_admin_app
from ._auth import RequestAuthenticator, sign_request
from ._bundle_admin import BundleAdmin, ServingNode
from ._client import AdminClient, AdminFailed
from ._messages import (
    About,
    CheckReply,
    ErrorReply,
    HistoryReply,
    PlanReply,
    Problem,
    Proposal,
    ProposalsReply,
    StatusReply,
    SubmitOutcome,
    SubmitReply,
)
from ._proposals import ProposalStore

__all__ = [
    "About",
    "AdminClient",
    "AdminFailed",
    "BundleAdmin",
    "CheckReply",
    "ErrorReply",
    "HistoryReply",
    "PlanReply",
    "Problem",
    "Proposal",
    "ProposalStore",
    "ProposalsReply",
    "RequestAuthenticator",
    "ServingNode",
    "StatusReply",
    "SubmitOutcome",
    "SubmitReply",
    "build_admin_app",
    "sign_request",
]
