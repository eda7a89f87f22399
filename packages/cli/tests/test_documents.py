"""Guard against document changes that overwrite concurrent ones or report a wrong result."""

import json
from pathlib import Path
from typing import Any

import pytest

from redwingport_cli.main import main

PRINT = "/v1/services/print"
DOCUMENT = {"name": "print", "team": "cards", "response_weight": 0.5}


@pytest.fixture
def document_file(tmp_path: Path) -> str:
    file = tmp_path / "print.json"
    file.write_text(json.dumps(DOCUMENT))
    return str(file)


@pytest.mark.parametrize(
    ("words", "header", "value"),
    [
        (["create", "print"], "If-None-Match", "*"),
        (["put", "print", "--revision", "7"], "If-Match", '"7"'),
    ],
)
def test_every_put_sends_its_precondition(
    entry: Any, document_file: str, words: list[str], header: str, value: str
) -> None:
    entry.answer(f"PUT {PRINT}", 200, {"revision": 8, "document": DOCUMENT})
    assert main(["services", *words, "--file", document_file, "--entry", entry.url]) == 0
    (_, headers, body) = entry.requests[0]
    assert headers[header] == value
    assert json.loads(body) == DOCUMENT


def test_edit_field_is_based_on_the_revision_it_read(
    entry: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    entry.answer(f"GET {PRINT}", 200, {"revision": 7, "document": DOCUMENT})
    entry.answer(f"PUT {PRINT}", 200, {"revision": 8, "document": DOCUMENT})
    words = ["services", "edit-field", "print", "operations.render.timeout_ms", "900"]
    assert main([*words, "--entry", entry.url]) == 0
    (_, headers, body) = entry.requests[1]
    assert headers["If-Match"] == '"7"'
    assert json.loads(body) == {**DOCUMENT, "operations": {"render": {"timeout_ms": 900}}}
    assert "revision 8" in capsys.readouterr().out


@pytest.mark.parametrize("words", [["response_weight.x", "1"], ["absent", "--remove"], ["team"]])
def test_invalid_edit_sends_no_change(entry: Any, words: list[str]) -> None:
    entry.answer(f"GET {PRINT}", 200, {"revision": 7, "document": DOCUMENT})
    assert main(["services", "edit-field", "print", *words, "--entry", entry.url]) == 2
    assert not [route for route in entry.routes if route.startswith("PUT")]


@pytest.mark.parametrize(
    ("status", "outcome", "errors", "code"),
    [
        (412, "not-run", [], 1),
        (422, "not-run", ["team: missing", "jobs: bad"], 6),
        (504, "outcome-unknown", [], 4),
        (502, "failed", [], 4),
    ],
)
def test_refused_put_has_the_exit_code_of_its_cause(
    entry: Any,
    document_file: str,
    capsys: pytest.CaptureFixture[str],
    status: int,
    outcome: str,
    errors: list[str],
    code: int,
) -> None:
    entry.answer_problem(f"PUT {PRINT}", status, outcome, errors=errors)
    words = ["services", "create", "print", "--file", document_file, "--entry", entry.url]
    assert main([*words, "--output", "json"]) == code
    assert json.loads(capsys.readouterr().out)["errors"] == errors


@pytest.mark.parametrize(
    ("route", "words", "code"),
    [
        (f"DELETE {PRINT}", ["services", "delete", "print", "--revision", "7"], 4),
        ("POST /v1/drain", ["drain"], 4),
        ("GET /v1/servers", ["servers"], 5),
    ],
)
def test_lost_answer_is_an_unknown_outcome_only_for_a_mutating_request(
    entry: Any, route: str, words: list[str], code: int
) -> None:
    entry.answer(route, 0)
    assert main([*words, "--entry", entry.url]) == code


def test_drain_is_never_sent_to_a_second_entry(entry: Any, refusing_url: str) -> None:
    assert main(["drain", "--entry", refusing_url, "--entry", entry.url]) == 2
    assert entry.requests == []


def test_missing_service_has_the_exit_code_of_a_refusal(entry: Any) -> None:
    entry.answer_problem(f"GET {PRINT}", 404, "not-run")
    assert main(["services", "get", "print", "--entry", entry.url]) == 1


def test_status_lists_every_entry_process(entry: Any, capsys: pytest.CaptureFixture[str]) -> None:
    body = {"name": "print", "revision": 2, "in_force": {"e1": 2, "e2": 1}, "not_answered": ["e3"]}
    entry.answer(f"GET {PRINT}/status", 200, body)
    assert main(["services", "status", "print", "--entry", entry.url]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[1:] == ["  e1: 2", "  e2: 1  (another revision)", "  e3: no answer"]


def test_lists_show_all_members_in_a_table(entry: Any, capsys: pytest.CaptureFixture[str]) -> None:
    rows = [{"name": "a", "revision": 1, "team": "t"}, {"name": "bb", "team": "t\x1b[2J", "x": 1}]
    entry.answer("GET /v1/services", 200, {"services": rows})
    assert main(["--entry", entry.url, "services", "list"]) == 0
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert lines == [["name", "revision", "team", "x"], ["a", "1", "t"], ["bb", "t?[2J", "1"]]
