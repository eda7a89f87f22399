"""Test the metrics that a report computes from the raw results."""

from collections import Counter

import pytest

from redwingport_testbed.bench.arrivals import Arrival, TaskPlan
from redwingport_testbed.bench.counters import wasted_messages
from redwingport_testbed.bench.generator import Record
from redwingport_testbed.bench.measurement import Measurement
from redwingport_testbed.bench.report import Report
from redwingport_testbed.bench.scenario import Scenario, deployment_of
from redwingport_testbed.standins.fleet import Fleet

SCENARIO = Scenario(warm_up_s=1.0, measure_s=10.0)
FLEET = Fleet(deployment_of(SCENARIO), 20_000)


def arrival(at: float, *works_ms: float) -> Arrival:
    tasks = tuple(TaskPlan(work_ms, work_ms) for work_ms in works_ms)
    return Arrival(at, 0, "route-build", "", "dairy", tasks, 5_000)


def record(number: int, response_s: float, outcome: str = "complete", lag_s: float = 0) -> Record:
    return Record(number, lag_s, response_s, outcome, "", f"id-{number}")


def report_of(
    arrivals: list[Arrival], records: list[Record], started: tuple[str, ...] = ()
) -> dict[str, object]:
    measurement = Measurement(
        records,
        Counter(),
        Counter(starts=len(started)),
        Counter({(submission, 0): 1 for submission in started}),
        {"entry-1": 0.1},
        11.0,
    )
    return Report(SCENARIO, FLEET, arrivals, measurement).as_json()


def test_response_is_compared_with_the_longest_task() -> None:
    report = report_of([arrival(2, 100, 400)], [record(0, 0.6)])
    assert report["over_ideal"]["p50"] == pytest.approx(1.5, rel=0.01)  # type: ignore[index]
    fastest = max(FLEET.deployment.speeds)
    assert report["over_fastest"]["p50"] == pytest.approx(  # type: ignore[index]
        1.5 * fastest, rel=0.01
    )


def test_response_is_compared_with_the_fluid_bound_of_a_wide_job() -> None:
    # 1,000 tasks of 5 s on 384 slots of mean speed 1 need 13.02 s.
    report = report_of([arrival(2, *[5000.0] * 1000)], [record(0, 26.04)])
    assert report["over_ideal"]["p50"] == pytest.approx(2.0, rel=0.01)  # type: ignore[index]


def test_submissions_of_the_warm_up_are_not_counted() -> None:
    report = report_of([arrival(0.5, 100), arrival(2, 100)], [record(0, 9), record(1, 0.1)])
    assert report["over_ideal"]["count"] == 1  # type: ignore[index]


def test_a_refusal_of_a_started_submission_is_untruthful() -> None:
    arrivals = [arrival(2, 100), arrival(3, 100)]
    records = [record(0, 0.01, "not-run"), record(1, 0.01, "not-run")]
    report = report_of(arrivals, records, started=("id-1",))
    assert report["untruthful_refusals"] == 1


def test_a_late_generator_voids_the_run() -> None:
    report = report_of([arrival(2, 100)], [record(0, 0.2, lag_s=0.1)])
    assert report["void"]


def test_submissions_that_were_not_sent_void_the_run() -> None:
    report = report_of([arrival(2, 100), arrival(3, 100)], [record(0, 0.2)])
    assert report["void"]


def test_wasted_messages_count_requests_with_their_answers() -> None:
    entry = {
        "messages/start": 50,
        "messages/stop": 3,
        "messages/platform": 4,
        "messages/peer-Heartbeat": 7,
        "messages/peer-Document": 1,
        "retries/lost": 1,
    }
    assert wasted_messages(entry, {"empty_starts": 2}) == {
        "declines": 4,
        "stops": 6,
        "retries": 2,
        "heartbeats": 7,
        "other-peer": 1,
        "polls": 8,
    }
