"""Test the decisions of the completion-time chooser."""

import random

from redwingport_policy.backends.completion_time import CompletionTimeChooser
from redwingport_policy.base import Candidate, Work

CHOOSER = CompletionTimeChooser(random.Random(1))


def server(
    name: str, slowness: float, *, held: int = 0, own: int = 0, local: bool = True
) -> Candidate:
    """Return a worker whose only free slots are the held ones."""
    others = 16 - own - held
    return Candidate(
        name,
        "creamery",
        local,
        16,
        own_active=own,
        other_active=others,
        held_slots=held,
        slowness=slowness,
        load_at=1.0,
    )


def work(late_s: float, queued: int = 1) -> Work:
    return Work(0.3, queued, 1.0, False, 0.5, late_s, 0.3)


def test_late_task_waits_for_a_faster_slot() -> None:
    # At speed 0.4 the task takes 0.75 s, while one of the 30 own tasks on faster servers ends
    # every 8 ms.
    servers = [server("slow", 2.5, held=1), server("fast", 0.8, own=15), server("f2", 0.8, own=15)]
    assert CHOOSER.choose(servers, work(late_s=0.1)) is None


def test_a_long_queue_uses_a_slow_server() -> None:
    servers = [server("slow", 2.5, held=1), server("fast", 0.8, own=15)]
    chosen = CHOOSER.choose(servers, work(late_s=0.1, queued=100))
    assert chosen is not None and chosen.server_id == "slow"


def test_late_task_does_not_wait_for_servers_without_own_tasks() -> None:
    servers = [server("slow", 2.5, held=1), server("fast", 0.8)]
    assert CHOOSER.choose(servers, work(late_s=0.1)) is servers[0]


def test_task_with_slack_leaves_the_fast_servers_to_others() -> None:
    servers = [server("fast", 0.6, held=1), server("slow", 2.5, held=1)]
    assert CHOOSER.choose(servers, work(late_s=-5.0)) is servers[1]
    assert CHOOSER.choose(servers, work(late_s=0.0)) is servers[0]


def test_a_fast_remote_server_is_preferred_to_a_slow_local_one() -> None:
    # Guards against preferring local servers regardless of their speed, which raised p99 to that
    # of the slowest servers.
    servers = [server("slow", 2.5, held=1), server("fast", 0.8, held=1, local=False)]
    assert CHOOSER.choose(servers, work(late_s=0.1)) is servers[1]


def test_a_remote_server_without_enough_gain_is_not_chosen() -> None:
    servers = [server("here", 1.0, held=1), server("there", 0.9, held=1, local=False)]
    assert CHOOSER.choose(servers, work(late_s=0.1)) is servers[0]
