"""Guard against overlaps of runs that logs show and the command does not, or the reverse."""

import datetime
import json
from pathlib import Path
from typing import Any

import pytest

from redwingport_cli.log_lines import read_lines
from redwingport_cli.main import main
from redwingport_cli.overlapping import OverlapReport, TaskOverlap, Verdict, find_overlaps

JOB = "8e401726a8379340"
TASK = f"{JOB}.0.0.0"
START = datetime.datetime(2026, 12, 4, 10, 0, tzinfo=datetime.UTC)


def line(after_s: float, event: str, **fields: Any) -> str:
    time = (START + datetime.timedelta(seconds=after_s)).isoformat()
    return json.dumps({"time": time, "level": "info", "event": event, **fields})


def placed(after_s: float, run: int, server: str, term: int, shard: int, **fields: Any) -> str:
    fields = {"holder": "h", "waited_s": 0.0, **fields}
    names = {"job": JOB, "task": TASK, "run": run, "server": server}
    return line(after_s, "task-placed", **names, term=term, shard=shard, **fields)


def ended(after_s: float, run: int, server: str, how: str = "STOPPED") -> str:
    return line(after_s, "run-ended", task=TASK, run=run, server=server, how=how, term=1, shard=0)


def report_of(logs: dict[str, list[str]]) -> OverlapReport:
    return find_overlaps(
        item for name, lines in logs.items() for item in read_lines(name, "\n".join(lines))
    )


def only_task(logs: dict[str, list[str]]) -> TaskOverlap:
    [item] = report_of(logs).tasks
    return item


@pytest.mark.parametrize(
    ("end_at", "how", "verdict"),
    [
        (1.2, "STOPPED", Verdict.OVERLAP),
        (1.2, "LAPSED", Verdict.POSSIBLE),
        (0.9, "STOPPED", Verdict.APART),
    ],
)
def test_runs_of_two_owners_are_compared_by_the_reported_end(
    end_at: float, how: str, verdict: Verdict
) -> None:
    item = only_task(
        {
            "all.log": [
                placed(0.0, 1, "s1", term=1, shard=0),
                placed(1.0, 2, "s2", term=2, shard=0, resumed=True, after="earlier-leases-ended"),
                ended(end_at, 1, "s1", how),
            ]
        }
    )
    assert item.is_candidate
    assert item.verdict is verdict
    assert item.pairs[0].gap_s == pytest.approx(1.0 - end_at)
    assert item.runs[1].after == "earlier-leases-ended"


def test_clocks_of_two_owners_are_corrected_by_the_lines_of_other_jobs() -> None:
    """Guard against an overlap that is only the difference of two clocks.

    The second owner's clock is 5 s behind. The holder of the task has logged no end of its job.
    """
    other = "0000000000000001"
    item = only_task(
        {
            "holder.log": [
                line(-9, "started", incarnation="h"),
                line(0.5, "job-ended", job=other, took_s=0.5),
            ],
            "first.log": [
                line(0.0, "task-placed", job=other, waited_s=0.0, holder="h"),
                placed(0.0, 1, "s1", term=1, shard=0),
                ended(0.8, 1, "s1"),
            ],
            "second.log": [
                line(-5.0, "task-placed", job=other, waited_s=0.0, holder="h"),
                placed(-4.0, 2, "s2", term=2, shard=0),
            ],
        }
    )
    assert [run.number for run in item.runs] == [1, 2]
    assert item.verdict is Verdict.APART
    assert item.pairs[0].gap_s == pytest.approx(0.2)


def test_run_without_a_logged_end_may_overlap() -> None:
    item = only_task(
        {
            "all.log": [
                placed(0.0, 1, "s1", term=1, shard=0),
                placed(1.0, 1, "s2", term=2, shard=3, holder="i"),
            ]
        }
    )
    assert (item.is_candidate, item.verdict) == (True, Verdict.POSSIBLE)
    assert item.pairs[0].gap_s is None
    assert [run.shard for run in item.runs] == [0, 3]


def test_end_presumed_by_the_owner_and_contradicted_by_a_late_report_may_overlap() -> None:
    """Guard against trust in an owner that held a run to be over too early."""
    item = only_task(
        {
            "all.log": [
                placed(0.0, 1, "s1", term=1, shard=0),
                line(1.0, "run-presumed-over", task=TASK, run=1, server="s1", after="lease-ended"),
                placed(1.0, 2, "s2", term=1, shard=0, resumed=False, after="lease-ended"),
                ended(1.5, 1, "s1", "DONE"),
            ]
        }
    )
    assert (item.is_candidate, item.verdict) == (False, Verdict.POSSIBLE)


def test_run_of_a_job_whose_holder_lists_its_completion_ends_by_then() -> None:
    done = [["0.0", 1, "s1", 0.4], ["0.1", 1, "s9", 0.0]]
    item = only_task(
        {
            "all.log": [
                placed(0.0, 1, "s1", term=1, shard=0),
                line(1.0, "job-ended", job=JOB, took_s=1.0, done=done),
                placed(1.3, 1, "s2", term=2, shard=1, holder="i"),
            ]
        }
    )
    assert item.runs[0].end_evidence == "job-ended done"
    assert item.pairs[0].gap_s == pytest.approx(0.7)
    assert item.verdict is Verdict.APART


def test_restart_by_the_same_owner_after_the_earlier_run_is_not_listed() -> None:
    logs = {
        "all.log": [
            placed(0.0, 1, "s1", term=1, shard=0),
            line(0.1, "start-failed", job=JOB, task=TASK, run=1, server="s1", failure="NO_ROOM"),
            placed(0.1, 2, "s2", term=1, shard=0, resumed=False, after="start-rejected"),
            ended(0.4, 2, "s2", "FAILED"),
            placed(0.4, 3, "s1", term=1, shard=0, resumed=False, after="end-reported"),
        ]
    }
    report = report_of(logs)
    assert report.tasks == ()
    assert report.placed_count == 1


def test_candidates_are_listed_before_other_tasks() -> None:
    first, second = f"{JOB}.0.0.1", f"{JOB}.0.0.2"
    same_owner = {"job": JOB, "task": first, "term": 1, "shard": 0}
    lines = [
        line(0.0, "task-placed", **same_owner, run=1, server="s1"),
        line(0.1, "task-placed", **same_owner, run=2, server="s2"),
        line(0.5, "run-ended", task=first, run=1, server="s1", how="DONE"),
        line(0.0, "task-placed", job=JOB, task=second, run=1, server="s1", term=1, shard=0),
        line(0.2, "task-placed", job=JOB, task=second, run=1, server="s2", term=2, shard=1),
    ]
    report = report_of({"all.log": lines})
    assert [(item.task, item.verdict) for item in report.tasks] == [
        (second, Verdict.POSSIBLE),
        (first, Verdict.OVERLAP),
    ]


def test_run_whose_placement_is_lost_is_known_from_later_lines() -> None:
    """Guard against a killed owner, whose last lines are not written."""
    item = only_task(
        {
            "all.log": [
                placed(0.0, 2, "s2", term=2, shard=0, resumed=True, after="all-servers-listed"),
                line(0.2, "orphan-stopped", task=TASK, run=1, server="s1", term=3, shard=0),
            ]
        }
    )
    lost = next(run for run in item.runs if run.server == "s1")
    assert not lost.start_logged
    assert item.verdict is Verdict.POSSIBLE


def test_the_command_prints_runs_and_overlap(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "all.log"
    log.write_text(
        "\n".join(
            f"  5.1 vm-a {item}"
            for item in (
                line(-1.0, "owner-changed", shard=0, term=1, owner="first"),
                placed(0.0, 1, "s1", term=1, shard=0),
                placed(1.0, 2, "s2", term=2, shard=0),
                ended(1.2, 1, "s1"),
            )
        )
    )
    assert main(["overlaps", str(log)]) == 0
    shown = capsys.readouterr().out
    assert "owner=first" in shown
    assert "runs 1 and 2: overlap, 200 ms overlap at most" in shown
    assert "1 tasks placed; 1 by two owners or in two shards, 0 again" in shown
    assert main(["overlaps", str(log), "--output", "json"]) == 0
    [task] = json.loads(capsys.readouterr().out)["tasks"]
    assert task["pairs"][0]["gapMs"] == -200


def test_logs_without_a_placement_are_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "all.log"
    log.write_text("not a log line\n")
    assert main(["overlaps", str(log)]) == 6
    assert "1 lines are not log lines" in capsys.readouterr().err


def test_task_that_is_started_again_after_its_completion_is_listed() -> None:
    """Guard against a second run that goes unnoticed because the first one was over."""
    item = only_task(
        {
            "all.log": [
                placed(0.0, 1, "s1", term=1, shard=0),
                ended(0.5, 1, "s1", "DONE"),
                placed(0.6, 2, "s1", term=1, shard=0, resumed=True, after="all-servers-listed"),
            ]
        }
    )
    assert (item.is_candidate, item.is_repeated, item.verdict) == (False, True, Verdict.APART)


def test_run_that_ended_in_the_millisecond_of_the_next_order_is_apart() -> None:
    """Guard against an overlap of runs that are listed in the wrong order.

    The placement of the first run is lost with its owner.
    """
    item = only_task(
        {
            "all.log": [
                ended(0.0, 1, "s1", "DONE"),
                placed(0.0, 2, "s1", term=2, shard=0, resumed=True, after="all-servers-listed"),
                ended(0.2, 2, "s1", "DONE"),
            ]
        }
    )
    assert [run.number for run in item.runs] == [1, 2]
    assert item.verdict is Verdict.APART
