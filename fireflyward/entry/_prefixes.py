"""Named prefixes in requests: stored for later requests, or added to the prompt."""

from aiohttp import web

from fireflyward.kept import PrefixScope, PrefixText, UnknownPrefix
from fireflyward.outcomes import NotRun, Reason
from fireflyward.upstreams import BLOCK_TOKENS, count_tokens

from ._context import EntryContext
from ._identity import Identity
from ._requests import Prompt

PREFIX_HEADER = "X-Prefix"
_PREFIX_REF = web.RequestKey("prefix_ref", str)
_RETRY_AFTER_MS = 1_000
_UNKNOWN_PREFIX = (
    "the prefix is unknown for this account; send its text with keep again"
)


async def add_prefix(
    context: EntryContext, request: web.Request, identity: Identity, prompt: Prompt
) -> NotRun | None:
    """Put the prefix of a request before its prompt's text.

    A request that stores a prefix contains the complete text. So it is served even
    when the object store is unavailable; its response then has no reference.
    """
    if prompt.prefix_text and prompt.keep:
        ref = await context.prefixes.store_text(
            _scope(identity), prompt.keep, prompt.prefix_text
        )
        if isinstance(ref, str):
            request[_PREFIX_REF] = ref
    elif prompt.prefix:
        found = await context.prefixes.resolve(_scope(identity), prompt.prefix)
        if isinstance(found, UnknownPrefix):
            return NotRun(Reason.BAD_REQUEST, _UNKNOWN_PREFIX)
        if not isinstance(found, PrefixText):
            detail = f"the prefix cannot be read now: {found.detail}"
            return NotRun(Reason.PLATFORM_AWAY, detail, _RETRY_AFTER_MS)
        prompt.prefix_text = found.text
    prompt.text = prompt.prefix_text + prompt.text
    return None


def prefix_blocks(prompt: Prompt) -> int:
    """Return the number of full blocks of a prompt that its prefix covers."""
    return count_tokens(prompt.prefix_text) // BLOCK_TOKENS


def prefix_headers(request: web.Request) -> dict[str, str]:
    """Return the header with the reference, if a prefix was stored."""
    ref = request.get(_PREFIX_REF)
    return {PREFIX_HEADER: ref} if ref else {}


def _scope(identity: Identity) -> PrefixScope:
    is_shared = identity.account.share_prefixes
    return PrefixScope(identity.account_name, "" if is_shared else identity.caller_name)
