"""Test the estimate of a server's load between two answers."""

import pytest

from redwingport_policy.base import MAX_LATENESS_LIMIT_S, Candidate, Work, has_room
from redwingport_policy.estimates import decay_load, observe_load

FULL = 16


def busy_candidate(own_active: int = 0) -> Candidate:
    """Return a server that other processes kept full for a long time."""
    candidate = Candidate("worker-01", "creamery", True, FULL, own_active=own_active)
    for step in range(200):
        observe_load(candidate, FULL - own_active, 0.1 * step)
    return candidate


def work(now: float, response_weight: float) -> Work:
    return Work(0.2, 1, now, False, response_weight)


def test_load_estimate_of_a_full_server_does_not_decay_to_zero() -> None:
    # Guards against declined starts: with an estimate that decays to zero, a busy server declined
    # every start.
    candidate = busy_candidate(own_active=1)
    decay_load(candidate, candidate.load_at + 10.0)
    assert candidate.other_active == pytest.approx(FULL - 1, abs=0.1)
    assert not has_room(candidate, work(candidate.load_at + 10.0, 1.0))


def test_load_estimate_decays_from_a_single_report_to_the_usual_load() -> None:
    candidate = busy_candidate()
    observe_load(candidate, 4.0, candidate.load_at + 0.1)
    decay_load(candidate, candidate.load_at)
    assert candidate.other_active == pytest.approx(4.0)
    decay_load(candidate, candidate.load_at + 3.0)
    assert candidate.other_active > 14.0


@pytest.mark.parametrize(("response_weight", "age_s"), [(1.0, 0.3), (0.0, 4.1)])
def test_a_server_without_recent_reports_is_retried(response_weight: float, age_s: float) -> None:
    # Guards against idle capacity: without a retry, a process that runs no tasks never learns that
    # a server has free slots again.
    candidate = busy_candidate()
    now = candidate.load_at + age_s
    assert has_room(candidate, work(now, response_weight))
    assert not has_room(candidate, work(candidate.load_at + age_s / 2, response_weight))


@pytest.mark.parametrize(("response_weight", "free_slots"), [(1.0, 2), (0.0, 9)])
def test_the_last_free_slot_is_left_to_others(response_weight: float, free_slots: int) -> None:
    # Guards against contention: when all processes try the same last free slot, all starts but one
    # are declined.
    candidate = Candidate("worker-01", "creamery", True, FULL)
    observe_load(candidate, FULL - free_slots, 1.0)
    assert has_room(candidate, work(1.0, response_weight))
    observe_load(candidate, FULL - free_slots + 1, 1.0)
    assert not has_room(candidate, work(1.0, response_weight))
    candidate.held_slots = 1
    assert has_room(candidate, work(1.0, response_weight))


def test_a_server_that_queues_is_used_to_its_last_slot() -> None:
    candidate = Candidate("executor-01", "creamery", True, 8)
    observe_load(candidate, 7, 1.0)
    assert has_room(candidate, Work(0.2, 1, 1.0, True, 0.0))


def test_late_task_tries_the_last_free_slot() -> None:
    # Guards against unused capacity: slots that every process leaves to the others stay free while
    # jobs wait for seconds.
    candidate = Candidate("worker-01", "creamery", True, FULL)
    observe_load(candidate, FULL - 1, 1.0)
    assert not has_room(candidate, Work(0.2, 1, 1.0, False, 0.0, late_s=0.05))
    assert has_room(candidate, Work(0.2, 1, 1.0, False, 0.0, late_s=MAX_LATENESS_LIMIT_S))
    assert has_room(candidate, Work(0.2, 1, 1.0, False, 1.0, late_s=0.02))


def test_late_task_tries_a_server_without_recent_reports_sooner() -> None:
    candidate = busy_candidate()
    now = candidate.load_at + 0.3
    assert not has_room(candidate, Work(0.2, 1, now, False, 0.0))
    assert has_room(candidate, Work(0.2, 1, now, False, 0.0, late_s=MAX_LATENESS_LIMIT_S))


def test_a_server_that_prefers_this_process_gives_it_its_last_slots() -> None:
    # Guards against unused capacity: if all processes leave the same spare slots on every server,
    # no process uses them.
    for preferred in (True, False):
        candidate = Candidate("worker-01", "creamery", True, FULL, preferred=preferred)
        observe_load(candidate, FULL - 3, 1.0)
        assert has_room(candidate, work(1.0, 0.0)) is preferred
