"""Shards: partitions of the backend servers, each with its own owner.

A server is assigned to a shard by a hash of its id. A job is offered to the shards in an order
that depends on its id and on the layout of the shards, in which larger shards get more jobs. A job
that is submitted again, to any process, is therefore offered to the same shards, whose owners
know which of its tasks are running.
"""

import hashlib
import math
import zlib
from collections.abc import Collection, Sequence

from redwingport_dispatch.interfaces import ServerListing, ShardLayout

# At peak load, 24 servers receive about 280 tasks a second. Smaller shards have too few fast
# servers for jobs with many long tasks, so that such jobs fail even under normal load.
SERVERS_PER_SHARD = 24
# Maximum number of servers per core of the owner's processor capacity. A small machine could not
# place the tasks of a shard of the usual size at peak load.
SERVERS_PER_CORE = 64
# Number of bytes of the hash that ranks the shards of a job.
HASH_BYTES = 6

UNKNOWN_LAYOUT = ShardLayout(0, ())


def even_layout(shard_count: int) -> ShardLayout:
    """Return the layout of a number of shards for which no sizes were stored."""
    return ShardLayout(shard_count, (1,) * shard_count)


def shard_count_for(servers: int, weights: Sequence[int] = ()) -> int:
    """Return the number of shards for a number of servers.

    :param servers: number of servers.
    :param weights: processor capacity of each process that may own a shard, in thousandths of a
        core. There are at most as many shards as processes, unless their capacity is unknown.
    """
    count = max(1, math.ceil(servers / SERVERS_PER_SHARD))
    if not weights:
        return count
    bearable = max(1, int(min(weights) / 1000 * SERVERS_PER_CORE))
    return max(count, min(math.ceil(servers / bearable), len(weights)))


def shard_of(server_id: str, shard_count: int) -> int:
    """Return the shard of a server."""
    return zlib.crc32(server_id.encode()) % shard_count


def shard_sizes(listings: Collection[ServerListing], shard_count: int) -> list[int]:
    """Return the processor capacity of the servers of each shard, in thousandths of a core.

    Draining servers are not counted.
    """
    sizes = [0] * shard_count
    for listing in listings:
        if not listing.draining:
            sizes[shard_of(listing.server_id, shard_count)] += listing.cpu_millis
    return sizes


def rank_shards(job_id: str, sizes: Sequence[int]) -> list[int]:
    """Return all shards in the order in which a job is offered to them.

    The order is computed by weighted rendezvous hashing: the fraction of jobs for which a shard
    comes first equals its fraction of the total size, and a change of the size of one shard moves
    jobs to or from that shard only.

    :param sizes: size of each shard, by its number; shards of size 0 come last.
    """

    def ranking_key(shard: int) -> float:
        digest = hashlib.blake2b(f"{job_id}/{shard}".encode(), digest_size=HASH_BYTES).digest()
        # Uniformly distributed in the open interval (0, 1).
        uniform = (int.from_bytes(digest) + 0.5) / (1 << 8 * HASH_BYTES)
        return -math.log(uniform) / sizes[shard] if sizes[shard] > 0 else math.inf

    return sorted(range(len(sizes)), key=lambda shard: (ranking_key(shard), shard))
