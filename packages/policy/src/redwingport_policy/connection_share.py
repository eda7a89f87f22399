"""Division of a backend server's connection limit among entry processes."""


def connection_share(limit: int, own_weight: float, other_weights: list[float]) -> int:
    """Return the number of connections that this process may open to a server.

    Connections are divided in proportion to the sizes of the processes. The computation adds
    one process of the mean size to the known ones, so that a joining process finds free
    connections before its peers have discovered it. A process whose share is below one
    connection gets one, at the expense of the larger processes. The sum of all shares therefore
    stays within the limit as long as the limit is at least the number of processes, including
    the joining one.

    :param limit: maximum number of connections that the server accepts.
    :param own_weight: relative size of this process.
    :param other_weights: relative sizes of the other known processes.
    :returns: maximum number of connections of this process, at least 1.
    """
    known = [own_weight, *other_weights]
    weights = sorted([*known, sum(known) / len(known)])
    for index, weight in enumerate(weights):
        divided = limit - index
        total = sum(weights[index:])
        if divided * weight >= total:
            return max(1, int(divided * own_weight / total))
    return 1
