"""The cost of a request, in tokens to prefill."""

# Decoding a token takes about as long as prefilling this many tokens.
_PREFILL_TOKENS_PER_DECODED_TOKEN = 4


def request_cost(prompt_tokens: int, output_tokens: int) -> int:
    """Return the work of a request; one without tokens has the cost 1.

    >>> request_cost(100, 10), request_cost(0, 0)
    (140, 1)
    """
    return max(1, prompt_tokens + _PREFILL_TOKENS_PER_DECODED_TOKEN * output_tokens)
