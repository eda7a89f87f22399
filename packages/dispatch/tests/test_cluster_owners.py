"""Changes of owners in clusters: what the previous owner and the next one may do."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from redwingport_dispatch.ownership.election import LIVENESS_TIMEOUT_S
from redwingport_messages.dispatch import PresenceUnchanged
from redwingport_testbed.simulation.cluster import LASTING, LONG, MEDIUM, Cluster, Entry

TINY = (3, 3)
# Longest time since the heartbeats of a process to owners, or of an owner, after one of them: they
# leave at multiples of 0.05 s, and at most 0.15 s apart.
HEARD_S = 0.105
# Time from the end of a pause to the arrival of the next heartbeat.
HEARTBEAT_DELAY_S = 0.01


def check(cluster: Cluster) -> None:
    failure = cluster.failure()
    if failure:
        pytest.fail(failure, pytrace=False)


def owner_and_holder(cluster: Cluster) -> tuple[Entry, Entry, list[Entry]]:
    """Return the owner of the first shard, the lightest other process, and the remaining ones."""
    owner = cluster.owners()[0][0]
    others = [entry for entry in cluster.entries if entry is not owner]
    holder = min(others, key=lambda entry: (entry.weight, entry.node.name))
    return owner, holder, [entry for entry in others if entry is not holder]


def rank(entry: Entry) -> tuple[int, str]:
    """Return what processes that own no shard rank by, the highest first."""
    assert entry.process is not None
    return entry.process._election._weight, entry.process.incarnation


# Guards against a previous owner that goes on with work items that its holder has submitted to
# another owner, on servers that only the previous owner reaches.
@pytest.mark.parametrize("seed", range(1, 5))
def test_previous_owner_that_holder_still_reaches_gives_its_works_up(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=8, shards=1, timeout_s=5.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for server in cluster.server_by_id.values():
            server.slowness = 3.0
        for _ in range(5):
            cluster.submit(LONG, holder.node.domain, holder)
        cluster.world.run(0.05)
        names = [entry.node.name for entry in others]
        servers = [server_id for server_id in cluster.server_by_id if int(server_id[1:]) % 2]
        cluster.cut_pairs([owner.node.name], names, 4.0)
        cluster.cut_pairs(names, servers, 4.0)
        cluster.world.run(5.0)
    assert cluster.monitor.starts
    check(cluster)


# Guards against a shard that starts a job which it has refused and another shard still runs.
@pytest.mark.parametrize("seed", range(1, 5))
def test_job_resubmitted_through_another_process_is_run_by_the_same_shard(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=16, shards=2, timeout_s=6.0)
    with cluster.running():
        for server in cluster.servers_of(1):
            server.slowness = 5.0
        # The first shard is free again when the clients resubmit their jobs, the second is not.
        for _ in range(len(cluster.servers_of(0))):
            cluster.submit(LONG, shard=0)
        cluster.world.run(0.1)
        assert cluster.lose_clients()
        cluster.world.run(6.0)
    assert any(event == "work-refused" for _, _, event, _ in cluster.events)
    check(cluster)


# Guards against a task that is started while the lease which the lost owner extended after its
# last heartbeat still runs, on a slow clock and out of reach of the next owner.
@pytest.mark.parametrize("seed", range(1, 9))
def test_next_owner_waits_for_lease_extended_after_last_heartbeat(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=8, shards=1, timeout_s=5.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for server in cluster.server_by_id.values():
            server.slowness = 2.0
            server.set_clock_rate(0.98)
        cluster.submit(LONG, holder.node.domain, holder)
        cluster.world.run(0.7 + 0.013 * seed)
        names = [entry.node.name for entry in (holder, *others)]
        cluster.cut_pairs([owner.node.name], names, 4.0)
        for server_id, server in cluster.server_by_id.items():
            if server.run_by_task:
                cluster.cut_server(server_id, 4.0)
        cluster.world.run(4.0)
    assert cluster.monitor.starts > 2
    check(cluster)


# Guards against a task that is started once the servers of its new shard have reported, while
# its first run is on a server that belongs to another shard since the number of shards rose.
@pytest.mark.parametrize("seed", range(1, 5))
def test_job_whose_run_is_in_another_shard_of_the_new_layout_is_not_started(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=16, shards=2, timeout_s=5.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for server in cluster.server_by_id.values():
            server.slowness = 3.0
        # The holder hears of no start, but does not count the owner as lost.
        cluster.cut_pairs([owner.node.name], [holder.node.name], 0.4, both=False)
        for _ in range(3):
            cluster.submit(LONG, holder.node.domain, holder, shard=0)
        cluster.world.run(0.05)
        cluster.raise_shards(others[0], 3)
        for server in cluster.servers_of(1) + cluster.servers_of(2):
            if server.run_by_task:
                cluster.cut_server(server.node.name, 4.0)
        cluster.world.run(5.0)
    assert cluster.monitor.starts > 2
    check(cluster)


# Guards against a work item that arrives over a second after it was sent, at an owner that its
# holder has replaced since: both owners would start its tasks.
@pytest.mark.parametrize("seed", range(1, 9))
def test_work_item_that_a_cut_has_delayed_is_not_started(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=8, shards=1, timeout_s=5.0)
    with cluster.running():
        owner = cluster.owners()[0][0]
        domain = next(domain for domain in cluster.domains if domain != owner.node.domain)
        holder = next(entry for entry in cluster.entries if entry.node.domain == domain)
        for server in cluster.server_by_id.values():
            server.slowness = 3.0
        cluster.cut_domain(domain, 1.6 + 0.03 * seed, "out")
        for _ in range(3):
            cluster.submit(LONG, domain, holder)
        cluster.world.run(6.0)
    assert cluster.monitor.starts
    check(cluster)


# Guards against jobs that are given up because their owner has missed a few heartbeats of their
# holder, which has not missed any of the owner.
@pytest.mark.parametrize("seed", range(1, 13))
def test_jobs_of_a_holder_that_was_silent_for_a_moment_are_completed(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=8, shards=1, timeout_s=5.0)
    with cluster.running():
        owner, holder, _ = owner_and_holder(cluster)
        for _ in range(3):
            cluster.submit(LONG, holder.node.domain, holder)
        cluster.world.run(0.1)
        silent_s = 0.4 + 0.02 * seed
        cluster.cut_pairs([holder.node.name], [owner.node.name], silent_s, both=False)
        cluster.world.run(6.0)
    assert set(cluster.statuses()) == {200}, cluster.statuses()
    check(cluster)


# Guards against a process that keeps an old layout or configuration because its request for the
# new one was lost: heartbeats that change nothing do not name the revisions again.
@pytest.mark.parametrize("field", ["layout_revision", "configuration_revision"])
def test_short_heartbeat_of_a_process_that_is_ahead_repeats_the_request(field: str) -> None:
    cluster = Cluster(1, TINY, servers=8, shards=1)
    with cluster.running():
        entry = cluster.entries[0]
        process, loop = entry.process, entry.node.loop
        assert process is not None and loop is not None
        view = next(iter(process._election.peer_by_incarnation.values()))
        revision = getattr(view.presence, field) + 1
        ahead = replace(view.presence, sequence=view.sequence + 1000, **{field: revision})
        enough: list[bool] = []

        def repeat() -> None:
            process._election.observe(ahead, loop.time())
            repeated = PresenceUnchanged(ahead.sequence + 1, 0)
            enough.append(process._mesh._on_unchanged(ahead, repeated))

        loop.call_soon(repeat)
        cluster.world.run(0.01)
    assert enough == [False]


# Guards against a second run of a task that the next owner has started: an owner that wakes from a
# freeze orders its tasks anew before it learns of the other owner, and a server behind a cut takes
# such an order late.
@pytest.mark.parametrize("seed", range(1, 17))
def test_owner_that_wakes_grants_no_lease_beyond_what_its_successor_waits_for(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        owner, holder, _ = owner_and_holder(cluster)
        for _ in range(6):
            cluster.submit(LASTING, holder.node.domain, holder)
        cluster.world.run(1.0)
        for server_id, server in list(cluster.server_by_id.items())[::2]:
            if server.run_by_task:
                cluster.cut_server(server_id, 1.5 + 0.05 * seed)
        cluster.freeze(owner, 1.2)
        cluster.world.run(10.0)
    check(cluster)


# The same for a suspended VM, whose monotonic clock stands still meanwhile.
@pytest.mark.parametrize("seed", range(1, 9))
def test_owner_on_a_suspended_vm_grants_no_lease_when_it_goes_on(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for _ in range(6):
            cluster.submit(LASTING, holder.node.domain, holder)
        cluster.world.run(1.0)
        names = [entry.node.name for entry in (holder, *others)]
        used = [name for name, server in cluster.server_by_id.items() if server.run_by_task]
        cluster.cut_pairs(names, used, 6.0)
        # The messages of the others arrive a little later than the answers of the servers.
        cluster.cut_pairs(names, [owner.node.name], 1.5, both=False)
        cluster.suspend(owner, 1.2)
        cluster.world.run(10.0)
    check(cluster)


# Guards against leases of an owner that its holder no longer hears: it goes on to hear the holder,
# and loses the server just after it has granted a lease.
@pytest.mark.parametrize("seed", range(1, 17))
def test_owner_that_its_holder_does_not_hear_grants_no_lease_for_long(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for _ in range(3):
            cluster.submit(LASTING, holder.node.domain, holder)
        cluster.world.run(1.0 + 0.02 * seed)
        names = [entry.node.name for entry in (holder, *others)]
        used = [name for name, server in cluster.server_by_id.items() if server.run_by_task]
        cluster.cut_pairs(names, used, 6.0)
        cluster.cut_pairs([owner.node.name], names, 6.0, both=False)
        cluster.world.run(0.4)
        cluster.cut_pairs(names, [owner.node.name], 6.0, both=False)
        cluster.world.run(0.3 + 0.015 * seed)
        cluster.cut_pairs([owner.node.name], used, 6.0)
        cluster.world.run(10.0)
    check(cluster)


def wait_for_heartbeats(cluster: Cluster, entry: Entry, hearers: Sequence[Entry]) -> float:
    """Play on until some processes have just heard another one.

    :returns: the longest time since any of them has heard it, in seconds.
    """
    assert entry.process is not None
    incarnation = entry.process.incarnation
    for _ in range(1000):
        cluster.world.run(0.001)
        elections = [hearer.process._election for hearer in hearers if hearer.process]
        unheard_s = max(e.unheard_s(incarnation, cluster.world.now) for e in elections)
        if unheard_s < HEARD_S:
            return unheard_s
    raise AssertionError("no heartbeats reach all of them at about the same time")


# Guards against jobs that are given up, and owners that are replaced, by a process that wakes and
# takes all others for lost because it has not read their heartbeats yet.
@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("is_owner", [True, False])
def test_process_that_wakes_hears_the_others_before_it_judges_them(
    seed: int, is_owner: bool
) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for entry in cluster.entries:
            cluster.submit(LASTING, entry.node.domain, entry)
        cluster.world.run(1.0)
        changed_before = [event for _, _, event, _ in cluster.events].count("owner-changed")
        paused = owner if is_owner else others[0]
        # Unheard for less than the liveness timeout of the others, wherever the pause begins
        # between two heartbeats.
        hearers = [entry for entry in cluster.entries if entry is not owner]
        unheard_s = wait_for_heartbeats(cluster, paused, hearers if is_owner else [owner])
        longest_s = LIVENESS_TIMEOUT_S - unheard_s - HEARTBEAT_DELAY_S
        cluster.freeze(paused, min(0.3 + 0.012 * seed, longest_s))
        cluster.world.run(1.5)
        events = [(event, node) for _, node, event, _ in cluster.events]
        assert ("process-paused", paused.node.name) in events
        assert ("peer-lost", paused.node.name) not in events
        assert not [node for event, node in events if event == "holder-dropped"]
        assert [event for event, _ in events].count("owner-changed") == changed_before
        cluster.world.run(9.0)
    check(cluster)
    assert set(cluster.statuses()) == {200}


# Guards against a second handover, after which queued jobs are refused as too late: a process that
# wakes reads that the owner drains before it reads who has taken the shard over.
@pytest.mark.parametrize("seed", range(1, 9))
def test_process_that_wakes_during_a_drain_leaves_the_shard_to_its_next_owner(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=6, shards=1, timeout_s=10.0)
    with cluster.running():
        owner, _, _ = owner_and_holder(cluster)
        paused = max((entry for entry in cluster.entries if entry is not owner), key=rank)
        cluster.world.run(1.0)
        events_before = len(cluster.events)
        cluster.freeze(paused, 1.4)
        cluster.world.run(0.2)
        cluster.drain(owner)
        cluster.world.run(2.4)
        changes = [
            fields["owner"]
            for _, _, event, fields in cluster.events[events_before:]
            if event == "owner-changed" and fields["is_self"]
        ]
        assert len(changes) == 1, changes
    check(cluster)


# Guards against a next owner that starts a task because the server of the last run that the holder
# knows of does not list it: the previous owner has started it elsewhere since, out of its reach.
@pytest.mark.parametrize("seed", range(1, 9))
def test_task_moved_unnoticed_by_its_holder_waits_for_leases_of_previous_owner(seed: int) -> None:
    cluster = Cluster(seed, TINY, servers=4, shards=1, timeout_s=10.0)
    with cluster.running():
        owner, holder, others = owner_and_holder(cluster)
        for _ in range(2):
            cluster.submit(LASTING, holder.node.domain, holder)
        cluster.world.run(1.0)
        first = next(name for name, server in cluster.server_by_id.items() if server.run_by_task)
        # The others neither hear of the next run nor count the owner as lost yet.
        names = [entry.node.name for entry in (holder, *others)]
        cluster.cut_pairs([owner.node.name], names, 6.0, both=False)
        cluster.crash_server(first, 0.05)
        cluster.world.run(0.35)
        for name, server in cluster.server_by_id.items():
            if server.run_by_task and name != first:
                cluster.cut_server(name, 6.0)
        cluster.world.run(10.0)
    assert cluster.monitor.starts > 2
    check(cluster)


# Guards against two owners that have a job each from its own holder: its client has lost its
# connection unnoticed, and sends the job again into a domain that has been cut off since.
@pytest.mark.parametrize("seed", range(1, 9))
def test_job_sent_again_into_a_domain_cut_off_from_its_first_holder_runs_once(seed: int) -> None:
    cluster = Cluster(seed, (4, 4, 4, 4), servers=24, shards=1, servers_per_shard=24)
    with cluster.running():
        owner = cluster.owners()[0][0]
        cut, held, _ = (domain for domain in cluster.domains if domain != owner.node.domain)
        holder = next(entry for entry in cluster.entries if entry.node.domain == held)
        for _ in range(4):
            cluster.submit(MEDIUM, cut, holder)
        cluster.world.run(0.05)
        assert cluster.lose_clients()
        cluster.world.run(0.03)
        cluster.cut_domain(cut, 3.0)
        cluster.world.run(8.0)
    assert any(attempt.number == 2 for attempt in cluster.attempts)
    check(cluster)
