"""Assignment of servers and jobs to shards."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingport_dispatch.interfaces import ServerListing
from redwingport_dispatch.ownership.shards import (
    SERVERS_PER_SHARD,
    rank_shards,
    shard_count_for,
    shard_of,
    shard_sizes,
)

JOBS = [f"{number:016x}" for number in range(4000)]


def listing(server_id: str, cpu_millis: int = 16000, draining: bool = False) -> ServerListing:
    return ServerListing(server_id, "desk", "h:1", "d", cpu_millis, 1, 0, ("a",), draining)


@given(servers=st.integers(1, 2000), server_id=st.text(min_size=1, max_size=20))
def test_shard_count_is_minimal_for_number_of_servers(servers: int, server_id: str) -> None:
    count = shard_count_for(servers)
    assert (count - 1) * SERVERS_PER_SHARD < servers <= count * SERVERS_PER_SHARD
    assert 0 <= shard_of(server_id, count) < count


# Guards against owners that cannot carry their shard.
def test_owners_on_small_machines_get_small_shards() -> None:
    assert shard_count_for(48, [120] * 18) == 7
    assert shard_count_for(24, [1070] * 6) == 1
    assert shard_count_for(176, [1290, 2151]) == 8


def test_there_are_no_more_small_shards_than_processes_to_own_them() -> None:
    assert shard_count_for(48, [120] * 5) == 5
    assert shard_count_for(48, [120]) == 2


def test_shard_of_server_does_not_depend_on_process() -> None:
    """Expected values are CRC-32 of the id modulo 4; Python's hash differs between processes."""
    assert shard_of("8e401726a8379340", 4) == 0
    assert shard_of("i-0c7631b743", 4) == 2


def test_draining_servers_are_not_counted_in_shard_sizes() -> None:
    listings = [listing("one"), listing("two", 24000), listing("three", draining=True)]
    assert sum(shard_sizes(listings, 3)) == 40000


@given(
    job_id=st.from_regex(r"[0-9a-f]{16}", fullmatch=True),
    sizes=st.lists(st.integers(0, 10**6), min_size=1, max_size=20),
)
def test_job_is_offered_to_every_shard_and_to_empty_shards_last(
    job_id: str, sizes: list[int]
) -> None:
    order = rank_shards(job_id, sizes)
    assert sorted(order) == list(range(len(sizes)))
    has_servers = [sizes[shard] > 0 for shard in order]
    assert has_servers == sorted(has_servers, reverse=True)


def test_larger_shard_comes_first_for_more_jobs() -> None:
    """With shards of unequal size, the smaller one must not fill up first during a burst."""
    firsts = Counter(rank_shards(job_id, [9, 15])[0] for job_id in JOBS)
    assert firsts[1] / len(JOBS) == pytest.approx(15 / 24, abs=0.04)


def test_growing_shard_gains_jobs_and_none_move_between_others() -> None:
    for job_id in JOBS[:500]:
        before = rank_shards(job_id, [10, 10, 10])[0]
        after = rank_shards(job_id, [10, 10, 14])[0]
        assert after in (before, 2)
