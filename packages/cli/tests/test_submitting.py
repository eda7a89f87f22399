"""Guard against submissions that start twice or are reported with a wrong outcome."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from redwingport_cli.main import main

ISSUE = "POST /v1/submissions?count=1"
JOBS = "POST /v1/services/print/jobs"
RENDER = "POST /v1/services/print/operations/render"


@pytest.fixture
def submit(tmp_path: Path) -> Callable[..., int]:
    job = tmp_path / "job.json"
    job.write_text('{"tasks": [{"payload": 1}]}')

    def run(*words: str) -> int:
        return main(["submit", "--service", "print", "--file", str(job), *words])

    return run


def test_submission_id_is_printed_and_sent_with_the_job(
    submit: Callable[..., int], entry: Any, submission: str, capsys: pytest.CaptureFixture[str]
) -> None:
    entry.answer(ISSUE, 200, {"submissions": [submission]})
    entry.answer_complete(JOBS, {"results": [1]})
    assert submit("--entry", entry.url) == 0
    shown = capsys.readouterr()
    assert json.loads(shown.out) == {"results": [1]}
    assert submission in shown.err
    assert entry.requests[1][1]["Redwingport-Submission"] == submission


@pytest.mark.parametrize("identity", ["id", "key"])
def test_submission_is_resubmitted_to_the_next_entry_after_a_lost_connection(
    submit: Callable[..., int],
    new_entry: Callable[[], Any],
    refusing_url: str,
    submission: str,
    identity: str,
) -> None:
    first, second = new_entry(), new_entry()
    first.answer(ISSUE, 200, {"submissions": [submission]})
    first.answer(JOBS, 0)
    second.answer_complete(JOBS, {"results": [1]})
    words = ["--key", "invoice-1"] if identity == "key" else []
    entries = [f"--entry={url}" for url in (first.url, refusing_url, second.url)]
    assert submit(*words, *entries) == 0
    header = "Idempotency-Key" if identity == "key" else "Redwingport-Submission"
    assert second.routes == [JOBS]
    assert second.requests[0][1][header] == first.requests[-1][1][header]
    assert second.requests[0][2] == first.requests[-1][2]


def test_truncated_answer_is_an_unknown_outcome(
    submit: Callable[..., int], entry: Any, submission: str, capsys: pytest.CaptureFixture[str]
) -> None:
    entry.answer(JOBS, 200, {}, headers={"Redwingport-Outcome": "complete"}, cut=True)
    assert submit("--entry", entry.url, "--id", submission, "--output", "json") == 4
    shown = json.loads(capsys.readouterr().out)
    assert shown["outcome"] == "outcome-unknown"
    assert shown["submission"] == submission


def test_lost_submission_stays_unknown_if_no_other_entry_can_be_reached(
    submit: Callable[..., int], entry: Any, refusing_url: str, submission: str
) -> None:
    entry.answer(JOBS, 0)
    assert submit("--entry", entry.url, "--entry", refusing_url, "--id", submission) == 4
    assert entry.routes == [JOBS]


def test_request_without_id_and_key_is_never_resubmitted(
    new_entry: Callable[[], Any], capsys: pytest.CaptureFixture[str]
) -> None:
    first, second = new_entry(), new_entry()
    first.answer(RENDER, 0)
    words = ["request", "--service", "print", "--operation", "render"]
    assert main([*words, "--entry", first.url, "--entry", second.url]) == 4
    assert second.requests == []


def test_next_entry_is_used_if_the_first_one_refuses_the_connection(
    entry: Any, refusing_url: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("REDWINGPORT_ENTRY", f"{refusing_url},{entry.url}")
    entry.answer_complete(RENDER, b"\x00\xff")
    assert main(["request", "--service", "print", "--operation", "render"]) == 0
    assert entry.routes == [RENDER]


def test_bodies_of_request_and_answer_are_passed_unchanged(
    entry: Any, tmp_path: Path, capfdbinary: pytest.CaptureFixture[bytes]
) -> None:
    body = tmp_path / "body"
    body.write_bytes(b"\x01\xfe")
    entry.answer_complete(RENDER, b"\x00\xff")
    words = ["request", "--service=print", "--operation=render", f"--body={body}"]
    assert main([*words, "--entry", entry.url]) == 0
    assert entry.requests[0][2] == b"\x01\xfe"
    assert capfdbinary.readouterr().out == b"\x00\xff"


@pytest.mark.parametrize(
    ("status", "outcome", "code"),
    [(429, "not-run", 1), (422, "not-run", 1), (502, "failed", 3), (504, "outcome-unknown", 4)],
)
def test_exit_code_follows_the_outcome(
    submit: Callable[..., int],
    entry: Any,
    submission: str,
    capsys: pytest.CaptureFixture[str],
    status: int,
    outcome: str,
    code: int,
) -> None:
    entry.answer_problem(
        JOBS, status, outcome, submission, step="admission", peer="w-7", errors=["tasks: x"]
    )
    assert submit("--entry", entry.url, "--id", submission) == code
    shown = capsys.readouterr().err.splitlines()
    expected = f"redwingport: {outcome}: some-code: Some detail. (step admission, peer w-7"
    assert shown[-2:] == [f"{expected}, submission {submission})", "  - tasks: x"]


@pytest.mark.parametrize("status", [200, 400, 503])
def test_answer_without_an_outcome_is_an_unknown_outcome(
    submit: Callable[..., int], entry: Any, submission: str, status: int
) -> None:
    entry.answer(JOBS, status, b"from a load balancer", content_type="text/plain")
    assert submit("--entry", entry.url, "--id", submission) == 4


def test_failure_of_the_entry_process_is_an_unknown_outcome(
    submit: Callable[..., int], entry: Any, submission: str
) -> None:
    entry.answer_problem(JOBS, 502, "failed")
    assert submit("--entry", entry.url, "--id", submission) == 4


def test_no_job_is_sent_if_no_id_is_issued(submit: Callable[..., int], entry: Any) -> None:
    entry.answer_problem(ISSUE, 503, "not-run")
    assert submit("--entry", entry.url) == 1
    assert entry.routes == [ISSUE]


def test_unreachable_entry_process_has_its_own_exit_code(
    submit: Callable[..., int], refusing_url: str
) -> None:
    assert submit("--entry", refusing_url) == 5


@pytest.mark.parametrize(("state", "code"), [("running", 4), ("unused", 4)])
def test_show_does_not_report_a_running_submission_as_done(
    entry: Any, submission: str, capsys: pytest.CaptureFixture[str], state: str, code: int
) -> None:
    route = f"GET /v1/submissions/{submission}"
    entry.answer(route, 202, {"submission": submission, "state": state})
    assert main(["show", submission, "--entry", entry.url]) == code
    assert state in capsys.readouterr().out


def test_refused_resubmission_leaves_the_outcome_unknown(
    submit: Callable[..., int], new_entry: Callable[[], Any], submission: str
) -> None:
    first, second = new_entry(), new_entry()
    first.answer(JOBS, 0)
    second.answer_problem(JOBS, 413, "not-run")
    assert submit("--id", submission, "--entry", first.url, "--entry", second.url) == 4


@pytest.mark.parametrize(("words", "expected"), [([], "3600000"), (["--timeout", "0.25"], "250")])
def test_timeout_of_the_caller_is_sent_to_the_entry_process(
    submit: Callable[..., int], entry: Any, submission: str, words: list[str], expected: str
) -> None:
    entry.answer_complete(JOBS, {})
    assert submit("--id", submission, "--entry", entry.url, *words) == 0
    assert entry.requests[0][1]["Redwingport-Timeout-Ms"] == expected


@pytest.mark.parametrize(
    ("status", "outcome", "problem", "code"),
    [
        (409, "not-run", "cancelled", 0),
        (502, "failed", "cancelled", 0),
        (404, "not-run", "unknown-id", 1),
        (504, "outcome-unknown", "still-running", 4),
    ],
)
def test_cancel_succeeds_only_if_the_submission_has_ended(
    entry: Any, submission: str, status: int, outcome: str, problem: str, code: int
) -> None:
    route = f"DELETE /v1/submissions/{submission}"
    kind = f"urn:redwingport:problem:{problem}"
    entry.answer_problem(route, status, outcome, submission, type=kind)
    assert main(["cancel", submission, "--entry", entry.url]) == code
