"""Numbers that order owners: terms, and the fencing tokens made from them."""

# Low bits that tell processes apart which start a term in the same millisecond.
TAG_BITS = 10
# JSON carries whole numbers exactly up to this one.
MAX_TOKEN = 2**53 - 1
# First step, in terms of one millisecond, by which a contested token is raised; it doubles.
# The clock that made the higher token may be ahead by seconds.
INITIAL_RAISE_MS = 1000


def new_term(unix_ms: int, tag: int, highest_seen: int) -> int:
    """Return a term that is higher than all seen so far.

    :param unix_ms: time of day, in milliseconds; it may be off or have stepped back.
    :param tag: number of the process; only its tag_bits bits count.
    :param highest_seen: highest term known of.
    """
    tag_bits = tag % (1 << TAG_BITS)
    clock_term = (unix_ms << TAG_BITS) | tag_bits
    if clock_term > highest_seen:
        return clock_term
    return (((highest_seen >> TAG_BITS) + 1) << TAG_BITS) | tag_bits


def raise_token(token: int, previous_raises: int) -> int:
    """Return a token to outbid an unknown higher one.

    :param token: the token that was refused.
    :param previous_raises: how often it was raised before.
    """
    step = (INITIAL_RAISE_MS << min(previous_raises, 20)) << TAG_BITS
    return min(token + step, MAX_TOKEN)
