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

# An owner needs about 2.7 ms of processor time per task. At peak load, 24 servers receive about
# 280 tasks a second, which takes three quarters of a core. Smaller shards have too few fast
# servers for jobs with many long tasks, so that such jobs fail even under normal load.
SERVERS_PER_SHARD = 24
# Number of bytes of the hash that ranks the shards of a job.
HASH_BYTES = 6
# Factor by which the share of a shard in all servers may differ from its share in the layout.
# Within it, a few servers that come or leave change no layout, which would move jobs.
MAX_SHARE_DRIFT = 1.5


UNKNOWN_LAYOUT = ShardLayout(0, ())


def even_layout(shard_count: int) -> ShardLayout:
    """Return the layout of a number of shards for which no sizes were stored."""
    return ShardLayout(shard_count, (1,) * shard_count)


def have_drifted(sizes: Sequence[int], earlier_sizes: Sequence[int]) -> bool:
    """Tell whether the share of a shard differs much between two lists of sizes.

    :param sizes: sizes of the shards; nothing has drifted while all are 0.
    :param earlier_sizes: earlier sizes of the same shards.
    """
    total, earlier_total = sum(sizes), sum(earlier_sizes)
    if not total or not earlier_total:
        return False
    for size, earlier_size in zip(sizes, earlier_sizes, strict=True):
        share, earlier_share = size / total, earlier_size / earlier_total
        larger, smaller = max(share, earlier_share), min(share, earlier_share)
        if larger > MAX_SHARE_DRIFT * smaller:
            return True
    return False


def shard_count_for(servers: int) -> int:
    """Return the number of shards for a number of servers."""
    return max(1, math.ceil(servers / SERVERS_PER_SHARD))


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
