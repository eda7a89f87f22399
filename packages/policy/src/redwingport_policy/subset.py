"""Stable subsets by rendezvous hashing (Thaler and Ravishankar, 1998)."""

import hashlib
from collections.abc import Iterable


def rendezvous_subset(process_name: str, names: Iterable[str], size: int) -> list[str]:
    """Choose a subset of names that changes little when names are added or removed.

    :param process_name: name of the choosing process; different processes get different subsets.
    :param names: all names.
    :param size: maximum size of the subset.
    :returns: at most ``size`` names, highest score first.
    """

    def score(name: str) -> bytes:
        return hashlib.blake2b(f"{process_name}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=score, reverse=True)[:size]
