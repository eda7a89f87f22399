"""The share of a backend server's connections that one entry process may open."""


def connection_share(limit: int, own_weight: float, other_weights: list[float]) -> int:
    """Divide a server's connections among the entry processes by size.

    The share is computed for one more process of the mean size than is known, so that a
    process that joins has room before the others have noticed it. Processes whose part is less
    than one connection get one, at the cost of the larger ones, so that the sum of all shares
    stays within the limit while that is at least the number of processes, the joining one
    included.

    :param limit: connections that the server accepts.
    :param own_weight: size of this process.
    :param other_weights: sizes of the other processes.
    :returns: connections that this process may hold, at least 1.
    """
    known = [own_weight, *other_weights]
    weights = sorted([*known, sum(known) / len(known)])
    for index, weight in enumerate(weights):
        divided = limit - index
        total = sum(weights[index:])
        if divided * weight >= total:
            return max(1, int(divided * own_weight / total))
    return 1
