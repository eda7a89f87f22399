"""Choice of a stable subset by rendezvous hashing (Thaler and Ravishankar, 1998)."""

import hashlib
from collections.abc import Iterable


def rendezvous_subset(process_name: str, names: Iterable[str], size: int) -> list[str]:
    """Choose names so that few choices change when names come and go.

    :param owner: name of the process that chooses.
    :param names: all names.
    :param size: how many to choose.
    :returns: at most ``size`` names, highest score first.
    """

    def score(name: str) -> bytes:
        return hashlib.blake2b(f"{process_name}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=score, reverse=True)[:size]
