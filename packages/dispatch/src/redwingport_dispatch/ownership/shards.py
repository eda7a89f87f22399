"""Shards: parts of the backend servers, each with an owner of its own.

A server belongs to the shard that a hash of its id names. A job is offered to shards in an order
that depends on its id and on the sizes of the shards, so that larger shards get more jobs. A job
that comes again, at whichever process, is therefore offered to the same shards, whose owners know
what runs of it.
"""

import hashlib
import math
import zlib
from collections.abc import Collection, Sequence

from redwingport_dispatch.interfaces import ServerListing

# An owner takes about 2.7 ms of processor time for a task. 24 servers are given some 280 tasks a
# second at the peak, three quarters of a core. Smaller shards have too few fast servers for wide
# jobs of long tasks, which then fail on calm days.
SERVERS_PER_SHARD = 24
# Bytes of the hash that decides between shards.
HASH_BYTES = 6


def shard_count_for(servers: int) -> int:
    """Return the number of shards for a number of servers."""
    return max(1, math.ceil(servers / SERVERS_PER_SHARD))


def shard_of(server_id: str, shard_count: int) -> int:
    """Return the shard of a server."""
    return zlib.crc32(server_id.encode()) % shard_count


def shard_sizes(listings: Collection[ServerListing], shard_count: int) -> list[int]:
    """Return the processor share of the servers of each shard, in thousandths of a core.

    Servers that leave do not count.
    """
    sizes = [0] * shard_count
    for listing in listings:
        if not listing.draining:
            sizes[shard_of(listing.server_id, shard_count)] += listing.cpu_millis
    return sizes


def rank_shards(job_id: str, sizes: Sequence[int]) -> list[int]:
    """Return all shards in the order in which a job is offered to them.

    Weighted rendezvous hashing: a shard is the first of a share of the jobs that is its share of
    the size of all, and a change of one shard's size moves jobs to or from that shard only.

    :param sizes: size of each shard, by its number; shards without a size come last.
    """

    def ranking_key(shard: int) -> float:
        digest = hashlib.blake2b(f"{job_id}/{shard}".encode(), digest_size=HASH_BYTES).digest()
        # Between 0 and 1, both excluded.
        uniform = (int.from_bytes(digest) + 0.5) / (1 << 8 * HASH_BYTES)
        return -math.log(uniform) / sizes[shard] if sizes[shard] > 0 else math.inf

    return sorted(range(len(sizes)), key=lambda shard: (ranking_key(shard), shard))
