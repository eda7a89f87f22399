"""Tests of outlier ejection: limit on ejections, probes after an ejection and backoff."""

from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingport_policy.base import Candidate
from redwingport_policy.ejection import (
    FAILURES_IN_A_ROW,
    MAX_EJECTION_S,
    WINDOW_TASKS,
    Ejector,
)


def make_servers(count: int) -> list[Candidate]:
    return [Candidate(f"worker-{index}", "farm-office", True, 16) for index in range(count)]


def fail_until_ejected(ejector: Ejector, servers: list[Candidate], now: float) -> float:
    """Record consecutive failures of the first server; return its ejection time in seconds."""
    for _ in range(FAILURES_IN_A_ROW):
        if ejector.record(servers[0], False, now, servers):
            return servers[0].ejected_until - now
    return 0.0


ENDS = st.tuples(st.integers(0, 19), st.booleans(), st.sampled_from([0.0, 0.3, 1.0, 20.0]))


@given(
    st.integers(1, 20),
    st.sets(st.integers(0, 19)),
    st.lists(ENDS, max_size=30),
    st.sampled_from([1, FAILURES_IN_A_ROW]),
)
def test_ejections_never_exceed_the_allowed_share(
    count: int, leaving: set[int], ends: list[tuple[int, bool, float]], repeats: int
) -> None:
    """Guard against an outage of many servers ejecting more than the allowed share."""
    ejector, servers, now = Ejector(), make_servers(count), 0.0
    for index in leaving & set(range(count)):
        servers[index].leaving = True
    stay = [server for server in servers if not server.leaving]
    for index, succeeded, pause_s in ends:
        now += pause_s
        for _ in range(repeats):
            ejector.record(servers[index % count], succeeded, now, servers)
        ejected = [server for server in stay if server.ejected_until > now]
        assert len(ejected) <= min(max(1, len(stay) * 3 // 10), max(0, len(stay) - 1))


@pytest.mark.parametrize(
    ("count", "leaving", "expected"),
    [(1, 0, 0), (2, 0, 1), (3, 0, 1), (10, 0, 3), (24, 0, 7), (10, 4, 1), (2, 1, 0)],
)
def test_outage_ejects_the_allowed_share_of_staying_servers(
    count: int, leaving: int, expected: int
) -> None:
    """Guard against ejecting the last server, and against ejecting none of two or three."""
    ejector, servers = Ejector(), make_servers(count)
    for server in servers[count - leaving :]:
        server.leaving = True
    for server in servers[: count - leaving] * FAILURES_IN_A_ROW:
        ejector.record(server, False, 0.0, servers)
    assert sum(server.ejected_until > 0.0 for server in servers) == expected


def test_failing_server_is_ejected_once_the_limit_allows_it() -> None:
    """Guard against the limit on ejections permanently protecting a failing server."""
    ejector, servers = Ejector(), make_servers(6)
    for server in servers:
        for _ in range(FAILURES_IN_A_ROW):
            ejector.record(server, False, 0.0, servers)
    assert [server.ejected_until for server in servers] == [1.0, 0.0, 0.0, 0.0, 0.0, 0.0]
    ejector.record(servers[0], True, 1.0, servers)
    assert ejector.record(servers[1], False, 1.0, servers)


class CountingList(list[Candidate]):
    """List that counts iterations over itself."""

    passes = 0

    def __iter__(self) -> Iterator[Candidate]:
        self.passes += 1
        return super().__iter__()


def test_outage_does_not_recount_servers_at_every_failure() -> None:
    """Guard against a cost per failure that is linear in the number of servers."""
    ejector, servers = Ejector(), CountingList(make_servers(2))
    for index in [0, 1] * 1_000:
        ejector.record(servers[index], False, 0.0, servers)
    assert servers[1].ejected_until == 0.0
    assert servers.passes == 2


def test_failures_in_over_half_of_the_window_eject() -> None:
    """Guard against missing a server with many failures but few consecutive ones."""
    ejector, servers = Ejector(), make_servers(10)
    ends = [True, False, False, True, False] * 4
    ejected = [ejector.record(servers[0], end, 0.0, servers) for end in ends]
    assert ejected == [False] * (WINDOW_TASKS - 1) + [True]
    ejector.record(servers[0], True, 1.0, servers)
    assert not ejector.record(servers[0], False, 1.0, servers), (
        "the window was not cleared by the ejection"
    )


def test_failures_in_half_of_the_window_do_not_eject() -> None:
    """Guard against counting failures that have left the window."""
    ejector, servers = Ejector(), make_servers(10)
    assert not any(ejector.record(servers[0], bool(i % 2), 0.0, servers) for i in range(200))


def test_ejection_time_doubles_up_to_the_maximum() -> None:
    """Guard against frequent probes of a dead server and against a float overflow."""
    ejector, servers, now, spans = Ejector(), make_servers(10), 0.0, []
    for _ in range(1_100):
        spans.append(fail_until_ejected(ejector, servers, now))
        now = servers[0].ejected_until
    assert spans[:8] == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]
    assert set(spans[6:]) == {MAX_EJECTION_S}


def test_one_probe_task_decides_after_an_ejection() -> None:
    """Guard against full load on a server before its probe task has succeeded."""
    ejector, servers = Ejector(), make_servers(10)
    fail_until_ejected(ejector, servers, 0.0)
    assert not ejector.admits(servers[0], 0.9)
    assert ejector.admits(servers[0], 1.0)
    servers[0].own_active = 1
    assert not ejector.admits(servers[0], 1.0)
    assert ejector.record(servers[0], False, 1.0, servers), (
        "a failed probe did not eject the server"
    )
    assert not ejector.admits(servers[0], 2.9)


def test_recovered_server_is_readmitted() -> None:
    """Guard against a recovered server that stays limited to probes or keeps its backoff."""
    ejector, servers = Ejector(), make_servers(10)
    fail_until_ejected(ejector, servers, 0.0)
    fail_until_ejected(ejector, servers, 1.0)
    ejector.record(servers[0], True, 4.0, servers)
    servers[0].own_active = 16
    assert ejector.admits(servers[0], 4.0)
    assert not ejector.record(servers[0], False, 4.0, servers), (
        "one failure ejected a server whose probe succeeded"
    )
    for _ in range(WINDOW_TASKS):
        ejector.record(servers[0], True, 4.0, servers)
    assert fail_until_ejected(ejector, servers, 4.0) == 1.0


@pytest.mark.parametrize("succeeded", [True, False])
def test_results_of_older_tasks_are_ignored_during_an_ejection(succeeded: bool) -> None:
    """Guard against tasks started before an ejection deciding the probe after it."""
    ejector, servers = Ejector(), make_servers(10)
    fail_until_ejected(ejector, servers, 0.0)
    for _ in range(WINDOW_TASKS):
        assert not ejector.record(servers[0], succeeded, 0.5, servers)
    assert servers[0].ejected_until == 1.0
    servers[0].own_active = 1
    assert not ejector.admits(servers[0], 1.0)
    ejector.record(servers[0], True, 1.0, servers)
    assert ejector.admits(servers[0], 1.0)
    assert not ejector.record(servers[0], False, 1.0, servers)
