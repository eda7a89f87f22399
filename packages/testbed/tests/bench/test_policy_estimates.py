"""Test that run times and server speeds are learned despite wrong declared run times."""

import random

import pytest

from redwingport_policy.base import Candidate
from redwingport_policy.estimates import RunTimes, learn_slowness, normalize_slowness

SPEEDS = (0.4, 0.7, 0.9, 1.1, 1.3, 1.6)
SERVICE = "route-build"


def learn(
    tasks: int, declared_error: float, bias: float = 1.0
) -> tuple[RunTimes, list[Candidate]]:
    """Simulate the learning of the gateway.

    Fast servers get more tasks, and the fastest one gets the first 20.
    """
    rng = random.Random(1)
    run_times = RunTimes()
    servers = [Candidate(f"worker-{speed}", "creamery", True, 16) for speed in SPEEDS]
    for number in range(tasks):
        index = 5 if number < 20 else rng.choices(range(6), SPEEDS)[0]
        work_s = rng.uniform(0.05, 1.0)
        declared_ms = work_s * 1000 * bias * declared_error ** rng.uniform(-1, 1)
        expected_s = run_times.expected_s(SERVICE, declared_ms)
        run_s = work_s / SPEEDS[index]
        learn_slowness(servers[index], expected_s, run_s)
        run_times.learn(SERVICE, declared_ms, run_s * 1000 / servers[index].slowness)
        if number % 20 == 0:
            normalize_slowness(servers)
    return run_times, servers


def test_common_scale_does_not_depend_on_the_first_answers() -> None:
    # Guards against a scale set by the first answers: they come from a fast server, which made
    # every server look slow.
    run_times, servers = learn(3_000, 1.0)
    assert run_times.expected_s(SERVICE, 1000.0) == pytest.approx(1.0, rel=0.1)
    for server, speed in zip(servers, SPEEDS, strict=True):
        assert server.slowness == pytest.approx(1 / speed, rel=0.1)


def test_declarations_that_are_ten_times_too_long_are_corrected() -> None:
    run_times, _ = learn(3_000, 1.0, bias=10.0)
    assert run_times.expected_s(SERVICE, 10_000.0) == pytest.approx(1.0, rel=0.1)


def test_fast_and_slow_servers_are_distinguished_despite_wrong_declarations() -> None:
    # Guards against averaging plain ratios: the few tasks whose declared run time is much too
    # short dominate such a mean.
    _, servers = learn(3_000, 10.0)
    assert servers[0].slowness > servers[5].slowness * 1.5


def test_mean_run_time_is_unknown_before_the_first_answer() -> None:
    run_times = RunTimes()
    assert run_times.mean_s("stop-check") == 0.0
    run_times.learn("stop-check", 1.0, 80.0)
    assert run_times.mean_s("stop-check") == pytest.approx(0.08)
