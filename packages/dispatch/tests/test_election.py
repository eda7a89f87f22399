"""Election of one owner among connected processes, without flapping."""

import dataclasses

import pytest

from redwingport_dispatch.interfaces import VmRecord
from redwingport_dispatch.ownership.election import (
    HEARTBEAT_S,
    HOLD_DOWN_S,
    LIVENESS_TIMEOUT_S,
    REFUSED_GRACE_S,
    RESUME_GRACE_S,
    STARTUP_GRACE_S,
    TAKEOVER_STAGGER_S,
    Election,
)
from redwingport_dispatch.ownership.terms import new_term, raise_token
from redwingport_messages.dispatch import MAX_TERM, Presence, PresenceUnchanged

UNIX_MS = 1_790_000_000_000


def presence(
    name: str,
    sequence: int = 1,
    owned_term: int = 0,
    weight: int = 1000,
    shards: int = 1,
    **changes: object,
) -> Presence:
    message = Presence(
        incarnation=name,
        sequence=sequence,
        heard_sequence=0,
        vm=name,
        domain="d",
        address=f"{name}:1",
        weight=weight,
        term=owned_term,
        shards=shards,
        layout_revision=1,
        owned_terms=[(0, owned_term)] if owned_term else [],
        heartbeat_ms=150,
        draining=False,
        hears_you=True,
        configuration_revision=1,
    )
    return dataclasses.replace(message, **changes)  # type: ignore[arg-type]


def started_election(name: str = "me", weight: int = 1000) -> tuple[Election, float]:
    election = Election(name, weight, tag=1, started_at=0.0)
    election.set_shard_count(1)
    return election, STARTUP_GRACE_S


def decide_after_hold_down(election: Election, now: float) -> str:
    election.decide(now, UNIX_MS)
    # Slightly more than the hold-down time, as floating-point sums are inexact.
    return election.decide(now + HOLD_DOWN_S + 0.001, UNIX_MS)[0].owner


def test_single_process_takes_over() -> None:
    election, now = started_election()
    assert decide_after_hold_down(election, now) == "me"


def test_process_leaves_takeover_to_reachable_one_with_higher_weight() -> None:
    election, now = started_election(weight=1000)
    election.observe(presence("big", weight=2000), now)
    assert decide_after_hold_down(election, now) == ""


def listed(name: str, weight: int = 1000) -> VmRecord:
    return VmRecord(vm=name, address=f"{name}:1", domain="d", incarnation="", weight=weight)


def test_first_restarted_of_equal_processes_does_not_wait_when_others_have_ended() -> None:
    election, _ = started_election()
    election.end_startup_grace([listed("a"), listed("b")], {"a:1", "b:1"}, 0.1)
    assert election.decide(0.1, UNIX_MS)[0].owner == "me"


def test_first_candidate_does_not_wait_when_all_listed_processes_are_reachable() -> None:
    election, _ = started_election("zz")
    election.observe(presence("a"), 0.1)
    election.end_startup_grace([listed("a")], set(), 0.1)
    assert election.decide(0.1, UNIX_MS)[0].owner == "zz"


def test_process_waits_for_listed_ones_of_unknown_state() -> None:
    election, _ = started_election()
    election.observe(presence("a"), 0.1)
    election.end_startup_grace([listed("a"), listed("b"), listed("c")], set(), 0.1)
    assert decide_after_hold_down(election, 0.1) == ""


def test_process_does_not_wait_for_permanently_ended_ones() -> None:
    """After a power loss of all VMs, the row of a replaced VM may still be listed."""
    election, _ = started_election("zz")
    for name in ("a", "b"):
        election.observe(presence(name), 0.1)
    election.end_startup_grace([listed("a"), listed("b"), listed("replaced")], set(), 0.1)
    assert election.decide(0.1, UNIX_MS)[0].owner == ""
    assert decide_after_hold_down(election, 0.1) == "zz"


def test_process_waits_for_heavier_one_that_has_not_started() -> None:
    election, _ = started_election()
    election.end_startup_grace([listed("big", weight=2000)], {"big:1"}, 0.1)
    assert decide_after_hold_down(election, 0.1) == ""
    assert decide_after_hold_down(election, STARTUP_GRACE_S) == "me"


def test_process_that_starts_while_an_owner_is_reachable_takes_nothing_over() -> None:
    election, _ = started_election("zz")
    election.observe(presence("a", owned_term=5), 0.1)
    election.end_startup_grace([listed("a")], set(), 0.1)
    assert decide_after_hold_down(election, 0.1) == "a"


def test_process_does_not_wait_for_peer_that_receives_no_heartbeats_from_it() -> None:
    election, now = started_election(weight=1000)
    election.observe(presence("big", weight=2000, hears_you=False), now)
    assert decide_after_hold_down(election, now) == "me"


def test_expired_presence_does_not_show_that_peer_receives_heartbeats() -> None:
    """After a two-way partition, links must be reconnected, or each peer waits for the other."""
    election, now = started_election()
    election.observe(presence("a"), now)
    assert election.is_reachable("a", now)
    assert not election.is_reachable("a", now + LIVENESS_TIMEOUT_S)


def test_highest_term_wins_when_a_partition_heals() -> None:
    election, now = started_election()
    assert decide_after_hold_down(election, now) == "me"
    later = now + 1
    election.observe(presence("other", owned_term=election.owned_term_by_shard[0] + 1), later)
    assert election.decide(later, UNIX_MS)[0].owner == "other"
    assert election.owned_term_by_shard == {}


def test_briefly_unreachable_owner_is_not_replaced() -> None:
    """After a partition, delayed heartbeats arrive at once and report missing heartbeats."""
    election, now = started_election()
    term = UNIX_MS << 10
    election.observe(presence("owner", 1, term), now)
    assert election.decide(now, UNIX_MS)[0].owner == "owner"
    election.observe(presence("owner", 2, term, hears_you=False), now)
    assert election.decide(now, UNIX_MS)[0].owner == ""
    election.observe(presence("owner", 3, term), now + HOLD_DOWN_S / 2)
    assert election.decide(now + HOLD_DOWN_S / 2, UNIX_MS)[0].owner == "owner"
    assert election.owned_term_by_shard == {}


def test_presence_that_arrives_after_a_newer_one_is_ignored() -> None:
    election, now = started_election()
    term = UNIX_MS << 10
    election.observe(presence("owner", 5, term), now)
    election.observe(presence("owner", 4, 0), now)
    assert election.decide(now, UNIX_MS)[0].owner == "owner"


def test_silent_owner_is_replaced() -> None:
    election, now = started_election()
    election.observe(presence("owner", 1, UNIX_MS << 10), now)
    election.decide(now, UNIX_MS)
    assert decide_after_hold_down(election, now + LIVENESS_TIMEOUT_S) == "me"
    assert election.owned_term_by_shard[0] > UNIX_MS << 10


def test_owner_whose_address_refuses_connections_is_replaced_sooner() -> None:
    election, now = started_election()
    election.observe(presence("owner", 1, UNIX_MS << 10), now)
    election.shorten_timeout("owner", now)
    assert decide_after_hold_down(election, now + REFUSED_GRACE_S) == "me"


def test_draining_owner_is_replaced_immediately() -> None:
    election, now = started_election()
    election.observe(presence("owner", 1, UNIX_MS << 10, draining=True), now)
    assert election.decide(now, UNIX_MS)[0].owner == "me"


def test_draining_process_takes_nothing_over() -> None:
    election, now = started_election()
    election.draining = True
    assert decide_after_hold_down(election, now) == ""


def test_only_a_majority_contests_servers() -> None:
    election, now = started_election()
    for name in ("a", "b", "c"):
        election.observe(presence(name), now)
    assert election.reaches_majority(now)
    later = now + LIVENESS_TIMEOUT_S
    election.observe(presence("a", 2), later)
    assert election.reaches_majority(later), "of two halves, the one with the lowest incarnation"
    election.remove_peer("a")
    assert not election.reaches_majority(later)


def test_new_term_is_higher_than_all_seen_after_clock_steps_back() -> None:
    seen = new_term(UNIX_MS, 7, 0)
    assert new_term(UNIX_MS - 5_000, 3, seen) > seen


# Guards against a process that can't send its heartbeats, as its term exceeds what they hold.
@pytest.mark.parametrize("seen", [MAX_TERM - 1024, MAX_TERM])
def test_new_term_after_the_highest_one_can_be_sent(seen: int) -> None:
    term = new_term(UNIX_MS, 7, seen)
    assert seen <= term <= MAX_TERM
    assert new_term(1 << 60, 7, 0) == MAX_TERM


def test_raised_tokens_grow_and_stay_exact_in_json() -> None:
    token = new_term(UNIX_MS, 7, 0)
    for times in range(60):
        raised = raise_token(token, times)
        assert token < raised <= MAX_TERM or token == MAX_TERM
        token = raised


def share_shards(names: list[str], weights: list[int], shard_count: int = 3) -> list[Election]:
    """Run the election in fully connected processes, each with its own view."""
    elections = [
        Election(n, w, i, 0.0) for i, (n, w) in enumerate(zip(names, weights, strict=True))
    ]
    for election in elections:
        election.set_shard_count(shard_count)
        for name, weight in zip(names, weights, strict=True):
            if name != election.incarnation:
                election.observe(
                    presence(name, weight=weight, shards=shard_count), STARTUP_GRACE_S
                )
        election.decide(STARTUP_GRACE_S, UNIX_MS)
        election.decide(STARTUP_GRACE_S + HOLD_DOWN_S + 0.001, UNIX_MS)
    return elections


def test_shards_are_distributed_among_heaviest_processes() -> None:
    elections = share_shards(["a", "b", "c", "d"], [2000, 1900, 1800, 400])
    owned = [sorted(election.owned_term_by_shard) for election in elections]
    assert owned == [[0], [1], [2], []]


def test_light_processes_own_nothing_while_a_heavy_one_is_reachable() -> None:
    elections = share_shards(["a", "b", "c"], [2000, 400, 400])
    assert sorted(elections[0].owned_term_by_shard) == [0, 1, 2]


def test_shard_of_ended_owner_goes_to_process_without_shards() -> None:
    election = Election("d", 1000, 1, 0.0)
    election.set_shard_count(3)
    now = 10.0
    for sequence in (1, 2):
        election.observe(presence("b", sequence, shards=3, owned_terms=[(1, 7)]), now)
        election.observe(presence("c", sequence, shards=3, owned_terms=[(2, 8)]), now)
        election.decide(now, UNIX_MS)
        now += HOLD_DOWN_S + 0.001
    owners = [shard_owner.owner for shard_owner in election.decide(now - 0.001, UNIX_MS)]
    assert owners == ["d", "b", "c"]


def test_first_restarted_process_does_not_take_all_shards() -> None:
    election = Election("a", 1000, 1, 0.0)
    election.set_shard_count(3)
    election.end_startup_grace([listed("b"), listed("c")], {"b:1", "c:1"}, 0.1)
    assert [shard_owner.owner for shard_owner in election.decide(0.3, UNIX_MS)] == ["", "", ""]


def test_owner_in_previous_layout_owns_no_shard_of_the_new_one() -> None:
    election, now = started_election()
    decide_after_hold_down(election, now)
    election.set_shard_count(2)
    assert election.owned_term_by_shard == {}
    election.observe(presence("old", shards=1, owned_term=9), now)
    assert [shard_owner.owner for shard_owner in election.decide(now, UNIX_MS)] == ["", ""]


def test_processes_without_shards_in_large_system_exchange_fewer_heartbeats() -> None:
    election = Election("me", 400, 1, 0.0)
    for number in range(42):
        owned = [(0, 9)] if number == 0 else []
        election.observe(presence(f"p{number}", owned_terms=owned), 0.0)
    assert election.heartbeat_s("p0") == HEARTBEAT_S
    assert election.heartbeat_s("p41") == pytest.approx(HEARTBEAT_S * (42 / 12) ** 2)
    election.owned_term_by_shard[1] = 10
    assert election.heartbeat_s("p41") == HEARTBEAT_S


# Guards against two owners that start tasks of one job: the owner on the far side of a partition
# kept the work items of a holder after another owner was elected on the near side.
@pytest.mark.parametrize("peers", [2, 13, 42, 100])
def test_owner_loses_partitioned_holder_before_another_owner_is_elected(peers: int) -> None:
    partitioned_at = 10.0
    owner, holder = Election("owner", 1000, 1, 0.0), Election("holder", 1000, 2, 0.0)
    for election in (owner, holder):
        election.set_shard_count(1)
        for number in range(peers - 1):
            election.observe(presence(f"p{number}", heartbeat_ms=60_000, weight=400), 0.0)
    # The last heartbeats in both directions: that of the holder arrives at the last moment, that
    # of the owner one interval earlier.
    heard_at = partitioned_at - HEARTBEAT_S
    holder.observe(presence("owner", owned_term=7), heard_at)
    assert holder.decide(heard_at, UNIX_MS)[0].owner == "owner"
    heartbeat_ms = round(holder.heartbeat_s("owner") * 1000)
    owner.observe(presence("holder", heartbeat_ms=heartbeat_ms), partitioned_at)

    now = partitioned_at
    while holder.decide(now, UNIX_MS)[0].owner != "holder":
        now += 0.01
    assert not owner.is_reachable("holder", now)


def test_second_candidate_takes_over_when_the_first_does_not() -> None:
    """A power loss in a failure domain may end the owner together with the first candidate."""
    election, now = started_election("b")
    election.observe(presence("z", heartbeat_ms=1800), now)
    election.decide(now, UNIX_MS)
    assert election.decide(now + HOLD_DOWN_S + 0.9 * TAKEOVER_STAGGER_S, UNIX_MS)[0].owner == ""
    assert election.decide(now + HOLD_DOWN_S + 1.1 * TAKEOVER_STAGGER_S, UNIX_MS)[0].owner == "b"


def test_next_timeout_is_that_of_first_peer_to_expire() -> None:
    election, _ = started_election()
    assert election.next_timeout_at(5.0) == float("inf")
    election.observe(presence("gone"), 1.0)
    election.observe(presence("rare", heartbeat_ms=600), 4.0)
    election.observe(presence("usual"), 4.9)
    assert election.next_timeout_at(5.0) == pytest.approx(4.9 + LIVENESS_TIMEOUT_S)


def test_next_timeout_is_soon_after_a_peer_refuses_a_connection() -> None:
    election, _ = started_election()
    election.observe(presence("a"), 1.0)
    election.shorten_timeout("a", 1.05)
    assert election.next_timeout_at(1.05) == pytest.approx(1.05 + REFUSED_GRACE_S)


def test_liveness_timeout_follows_announced_heartbeat_interval() -> None:
    election, _ = started_election()
    election.observe(presence("a", heartbeat_ms=600), 0.0)
    assert election.receives_heartbeats_from("a", 1.9)
    assert not election.receives_heartbeats_from("a", 2.1)


def test_short_heartbeat_keeps_a_peer_reachable() -> None:
    election, _ = started_election()
    message = presence("other")
    election.observe(message, 1.0)
    assert election.renew(message, PresenceUnchanged(2, 0), 1.4)
    assert election.is_reachable("other", 1.8)
    assert not election.is_reachable("other", 2.0)


# Guards against an ownership claim of an old link that replaces what newer heartbeats repeat.
def test_presence_older_than_a_short_heartbeat_is_dropped() -> None:
    election, _ = started_election()
    message = presence("other", sequence=3)
    election.observe(message, 1.0)
    assert election.renew(message, PresenceUnchanged(5, 0), 1.1)
    assert not election.observe(presence("other", sequence=4, owned_term=7), 1.2)
    assert election.peer_by_incarnation["other"].presence is message


def test_short_heartbeat_of_a_timed_out_or_unknown_peer_is_not_recorded() -> None:
    election, _ = started_election()
    message = presence("other")
    assert not election.renew(message, PresenceUnchanged(2, 0), 1.0)
    election.observe(message, 1.0)
    assert not election.renew(message, PresenceUnchanged(3, 0), 3.0)
    assert not election.renew(presence("other"), PresenceUnchanged(4, 0), 1.1)


def test_processes_that_take_over_no_shards_do_not_count_for_their_size() -> None:
    election, _ = started_election(weight=1000)
    election.observe(presence("light", weight=400), 1.0)
    election.observe(presence("heavy", weight=1200), 1.0)
    election.observe(presence("leaving", weight=700, draining=True), 1.0)
    assert sorted(election.candidate_weights(1.1)) == [1000, 1200]
    assert election.candidate_weights(9.0) == [1000]


# Guards against an owner that is taken for silent earlier than it was: it may have granted leases
# until its last heartbeat, although its address refuses connections.
def test_refused_connection_does_not_change_the_time_of_the_last_heartbeat() -> None:
    election, now = started_election()
    election.observe(presence("a", owned_term=5), now)
    election.shorten_timeout("a", now)
    assert election.unheard_s("a", now + REFUSED_GRACE_S) == pytest.approx(REFUSED_GRACE_S)
    assert not election.is_reachable("a", now + REFUSED_GRACE_S)


# Guards against taking all peers for lost after a pause, while their heartbeats wait to be read.
def test_peers_are_given_time_to_be_heard_after_a_pause() -> None:
    election, now = started_election()
    election.observe(presence("a"), now)
    awake_at = now + 3.0
    election.extend_timeouts(now + 0.1, awake_at)
    assert election.is_reachable("a", awake_at + RESUME_GRACE_S / 2)
    assert not election.is_reachable("a", awake_at + RESUME_GRACE_S)


# Guards against a peer that has ended and never times out at a process that is paused repeatedly.
def test_peer_is_given_that_time_once() -> None:
    election, now = started_election()
    election.observe(presence("gone"), now)
    for number in range(5):
        paused_at = now + 0.05 + 0.4 * number
        election.extend_timeouts(paused_at, paused_at + 0.4)
    assert not election.is_reachable("gone", now + 0.05 + 0.4 * 5)
    election.observe(presence("timed-out"), now)
    election.extend_timeouts(now + LIVENESS_TIMEOUT_S, now + 2.0)
    assert not election.is_reachable("timed-out", now + 2.0)


def test_confirmed_heartbeats_are_those_of_the_highest_number() -> None:
    election, now = started_election()
    assert election.heard_sequence("a") == 0
    first = presence("a", heard_sequence=7)
    election.observe(first, now)
    assert election.renew(first, PresenceUnchanged(2, 9), now)
    election.observe(presence("a", sequence=3, heard_sequence=8), now)
    assert election.heard_sequence("a") == 9


def test_only_heartbeats_of_owners_are_confirmed() -> None:
    election, now = started_election()
    election.observe(presence("owner", sequence=4, owned_term=3), now)
    election.observe(presence("other", sequence=5), now)
    assert [election.last_sequence(name) for name in ("owner", "other", "none")] == [4, 0, 0]
