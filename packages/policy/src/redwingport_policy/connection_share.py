"""The share of a backend server's connections that one entry process may open."""


def connection_share(limit: int, own_weight: float, other_weights: list[float]) -> int:
    """Divide a server's connections among the entry processes by size.

    The share is computed for one more process of the mean size than is known, so that a
    process that joins has room before the others have noticed it.

    :param limit: connections that the server accepts.
    :param own_weight: size of this process.
    :param other_weights: sizes of the other processes.
    :returns: connections that this process may hold, at least 1.
    """
    total = own_weight + sum(other_weights)
    mean = total / (1 + len(other_weights))
    return max(1, int(limit * own_weight / (total + mean)))
