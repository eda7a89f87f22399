"""Terms, which order the owners of a shard, and the fencing tokens derived from them."""

from redwingport_messages.dispatch import MAX_TERM

# Number of low bits that distinguish terms started by several processes in the same millisecond.
TAG_BITS = 10
# First increment of a contested token, in milliseconds of the clock part of a term; it doubles
# each time. The clock from which the higher token was derived may be ahead by seconds.
INITIAL_RAISE_MS = 1000


def new_term(unix_ms: int, tag: int, highest_seen: int) -> int:
    """Return a term that is higher than all terms seen so far, up to the maximum.

    :param unix_ms: Unix time in milliseconds; it may be wrong or have stepped back.
    :param tag: number of the process; only its low bits are used.
    :param highest_seen: highest known term.
    """
    low_bits = tag % (1 << TAG_BITS)
    term = (unix_ms << TAG_BITS) | low_bits
    if term <= highest_seen:
        term = (((highest_seen >> TAG_BITS) + 1) << TAG_BITS) | low_bits
    return min(term, MAX_TERM)


def next_token(token: int) -> int:
    """Return the next token of the same process, for another lifetime of a server.

    :param token: the token that the process has used so far.
    """
    return min(token + (1 << TAG_BITS), MAX_TERM)


def raise_token(token: int, previous_raises: int) -> int:
    """Return a raised token that should exceed an unknown higher one.

    :param token: the rejected token.
    :param previous_raises: number of times that the token was raised before.
    """
    step = (INITIAL_RAISE_MS << min(previous_raises, 20)) << TAG_BITS
    return min(token + step, MAX_TERM)
