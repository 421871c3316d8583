"""The bodies of requests, with their validation, and the bodies of responses."""

import msgspec

from fireflyward.decoding import DECODE_ERRORS
from fireflyward.outcomes import NotRun, Reason, Usage

_MAX_TOKENS = 32_768
_DEFAULT_MAX_TOKENS = 64
_MAX_NAME_LENGTH = 64


class CompletionRequest(msgspec.Struct):
    """``POST /v1/completions``; unknown OpenAI options are accepted and ignored."""

    model: str
    prompt: str
    max_tokens: int = _DEFAULT_MAX_TOKENS
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
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False
    keep: str = ""
    prefix: str = ""
    prefix_text: str = ""
    session: str = ""


class Prompt(msgspec.Struct):
    """A prompt, from a completion request or a chat request.

    ``prefix_text`` is put before the text. If ``keep`` is set, the prefix text is
    stored under that name, and later requests send its reference in ``prefix`` instead.
    With a ``session``, the caller announces that it will send the prompt again.
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
    """Decode and validate a request body."""
    request_type = ChatRequest if is_chat else CompletionRequest
    try:
        request = msgspec.json.decode(body, type=request_type)
    except DECODE_ERRORS as error:
        return NotRun(Reason.BAD_REQUEST, str(error))
    if not 1 <= request.max_tokens <= _MAX_TOKENS:
        detail = f"max_tokens is {request.max_tokens}; allowed: 1 to {_MAX_TOKENS}"
        return NotRun(Reason.BAD_REQUEST, detail)
    text = _chat_text(request.messages) if is_chat else request.prompt
    if not text:
        return NotRun(Reason.BAD_REQUEST, "the prompt is empty")
    rejection = _check_prefix(request)
    if rejection:
        return rejection
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
        detail = "prefix refers to a stored text; keep and prefix_text store a new one"
        return NotRun(Reason.BAD_REQUEST, detail)
    if request.keep and not request.prefix_text:
        return NotRun(Reason.BAD_REQUEST, "keep needs a prefix_text, which is empty")
    if len(request.keep) > _MAX_NAME_LENGTH or len(request.session) > _MAX_NAME_LENGTH:
        detail = f"keep and session: at most {_MAX_NAME_LENGTH} characters"
        return NotRun(Reason.BAD_REQUEST, detail)
    return None


def _chat_text(messages: list[ChatMessage]) -> str:
    """Return a chat as one text.

    Each message starts with the lengths of its role and content, so that no content
    can imitate the start of another message.
    """
    return "".join(
        f"<{len(message.role)}:{len(message.content)}>{message.role}:{message.content}"
        for message in messages
    )


class UsageDetails(msgspec.Struct):
    """The number of prompt tokens that were cached and therefore not recomputed."""

    cached_tokens: int


class UsageBody(msgspec.Struct):
    """Usage in the OpenAI format."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: UsageDetails


def usage_body(usage: Usage) -> UsageBody:
    """Return the usage of an answer in the format of responses."""
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
    """The only choice of an answer, or of one piece of a streamed answer."""

    index: int = 0
    text: str | None = None
    message: ChatDelta | None = None
    delta: ChatDelta | None = None
    finish_reason: str | None = None


class CompletionBody(msgspec.Struct):
    """An answer, or one piece of a streamed answer, in the OpenAI format."""

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
