"""Bodies that callers send, checked, and bodies that they get."""

import msgspec

from fireflyward.outcomes import NotRun, Reason, Usage

_MOST_TOKENS = 32_768
_DEFAULT_TOKENS = 64
_MOST_NAME = 64


class CompletionRequest(msgspec.Struct):
    """``POST /v1/completions``; unknown OpenAI options are accepted and unused."""

    model: str
    prompt: str
    max_tokens: int = _DEFAULT_TOKENS
    stream: bool = False
    keep: str = ""
    prefix: str = ""
    prefix_text: str = ""
    session: str = ""


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(msgspec.Struct):
    """``POST /v1/chat/completions``."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int = _DEFAULT_TOKENS
    stream: bool = False
    keep: str = ""
    prefix: str = ""
    prefix_text: str = ""
    session: str = ""


class Prompt(msgspec.Struct):
    """What either request comes down to.

    ``prefix_text`` goes before the text; ``keep`` names it for later requests,
    which give the reference in ``prefix`` instead. ``session`` says that the prompt
    will return.
    """

    model: str
    adapter: str
    text: str
    max_tokens: int
    stream: bool
    is_chat: bool
    keep: str = ""
    prefix: str = ""
    prefix_text: str = ""
    session: str = ""


def read_prompt(body: bytes, *, is_chat: bool) -> Prompt | NotRun:
    """Decode and check a request body."""
    request_type = ChatRequest if is_chat else CompletionRequest
    try:
        request = msgspec.json.decode(body, type=request_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return NotRun(Reason.BAD_REQUEST, str(error))
    if not 1 <= request.max_tokens <= _MOST_TOKENS:
        detail = f"max_tokens is {request.max_tokens}; allowed: 1 to {_MOST_TOKENS}"
        return NotRun(Reason.BAD_REQUEST, detail)
    text = _chat_text(request.messages) if is_chat else request.prompt
    if not text:
        return NotRun(Reason.BAD_REQUEST, "the prompt is empty")
    refusal = _check_prefix(request)
    if refusal:
        return refusal
    model, _, adapter = request.model.partition(":")
    return Prompt(
        model,
        adapter,
        text,
        request.max_tokens,
        request.stream,
        is_chat,
        request.keep,
        request.prefix,
        request.prefix_text,
        request.session,
    )


def _check_prefix(request: CompletionRequest | ChatRequest) -> NotRun | None:
    if request.prefix and (request.prefix_text or request.keep):
        detail = "prefix refers to a kept text; keep and prefix_text name a new one"
        return NotRun(Reason.BAD_REQUEST, detail)
    if request.keep and not request.prefix_text:
        return NotRun(Reason.BAD_REQUEST, "keep names prefix_text, which is empty")
    if len(request.keep) > _MOST_NAME or len(request.session) > _MOST_NAME:
        detail = f"keep and session: at most {_MOST_NAME} characters"
        return NotRun(Reason.BAD_REQUEST, detail)
    return None


def _chat_text(messages: list[ChatMessage]) -> str:
    """Write a chat as one text; a message's text cannot forge another's frame."""
    return "".join(
        f"<{len(message.role)}:{len(message.content)}>{message.role}:{message.content}"
        for message in messages
    )


class UsageDetails(msgspec.Struct):
    """Tokens of the prompt that were not recomputed."""

    cached_tokens: int


class UsageBody(msgspec.Struct):
    """Usage in the OpenAI form."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: UsageDetails


def usage_body(usage: Usage) -> UsageBody:
    """Return the usage of an answer as callers see it."""
    return UsageBody(
        usage.prompt_tokens,
        usage.completion_tokens,
        usage.prompt_tokens + usage.completion_tokens,
        UsageDetails(usage.cached_tokens),
    )


class ChatDelta(msgspec.Struct):
    """A chat message or a part of one."""

    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct, omit_defaults=True):
    """The only choice of an answer or of a piece of one."""

    index: int = 0
    text: str | None = None
    message: ChatDelta | None = None
    delta: ChatDelta | None = None
    finish_reason: str | None = None


class CompletionBody(msgspec.Struct):
    """An answer, or a piece of a streamed one, in the OpenAI form."""

    id: str
    object: str
    created: int
    model: str
    choices: list[CompletionChoice]
    usage: UsageBody | None = None


class ModelEntry(msgspec.Struct):
    """One model of ``GET /v1/models``."""

    id: str
    object: str = "model"
    owned_by: str = "fireflyward"


class ModelsBody(msgspec.Struct):
    """``GET /v1/models``."""

    data: list[ModelEntry]
    object: str = "list"
