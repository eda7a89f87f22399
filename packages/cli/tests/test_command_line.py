"""Guard against disclosed tokens, suppressed errors and outdated pages."""

import hashlib
import os
from pathlib import Path
from typing import Any

import pytest

from redwingport_cli.commands import COMMANDS
from redwingport_cli.commands.base import all_commands
from redwingport_cli.exit_codes import MEANING_BY_EXIT_CODE
from redwingport_cli.main import main

TOKEN = "s3cret-operator-token"
DOCS = Path(__file__).parents[3] / "docs"
NAMES = [name for name, _ in all_commands(COMMANDS)]


def run_to_exit_code(words: list[str]) -> int:
    """Run a command and return its exit code, also if the argument parser exits."""
    try:
        return main(words)
    except SystemExit as end:
        assert isinstance(end.code, int)
        return end.code


@pytest.mark.parametrize("source", ["option", "file", "environment"])
def test_token_from_every_source_is_sent(
    entry: Any, source: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    entry.answer("GET /v1/entries", 200, {"entries": []})
    words = ["entries", "--entry", entry.url]
    if source == "option":
        words += ["--token", TOKEN]
    elif source == "file":
        (tmp_path / "token").write_text(TOKEN + "\n")
        words += ["--token-file", str(tmp_path / "token")]
    else:
        monkeypatch.setenv("REDWINGPORT_TOKEN", TOKEN)
    assert main(words) == 0
    assert entry.requests[0][1]["Authorization"] == f"Bearer {TOKEN}"


@pytest.mark.parametrize(
    "words",
    [
        ["entries", "--entry", "ENTRY", "--token", TOKEN],
        ["entries", "--entry", "REFUSING", "--token", TOKEN, "--output", "json"],
        ["entries", "--entry", "ENTRY", "--token", TOKEN + "\n"],
        ["entries", "--entry", "ENTRY", "--token", TOKEN, "--token-file", "absent"],
        ["entries", "--entry", "ENTRY", "--tokn", TOKEN],
        ["entries", "--entry", "ENTRY", f"--tokn={TOKEN}"],
        ["--tokn", TOKEN, "entries"],
        ["show", "--tokn", TOKEN],
        ["entries", "--entry", TOKEN],
    ],
)
def test_no_error_discloses_the_token(
    entry: Any, refusing_url: str, capfd: pytest.CaptureFixture[str], words: list[str]
) -> None:
    entry.answer_problem("GET /v1/entries", 401, "not-run")
    urls = {"ENTRY": entry.url, "REFUSING": refusing_url}
    assert run_to_exit_code([urls.get(word, word) for word in words]) != 0
    shown = capfd.readouterr()
    assert TOKEN not in shown.out + shown.err
    assert shown.out + shown.err


def test_all_errors_in_settings_are_shown_at_once(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "entry.ini"
    file.write_text(
        "[entry]\nname = E 1\nhttp_host = localhost\n[peers]\nsecret = short\n[other]\nx = 1\n"
    )
    assert main(["check-settings", str(file)]) == 6
    shown = capsys.readouterr().err
    for expected in (
        "[entry] name:",
        "[entry] domain: missing key",
        "[entry] http_host:",
        "[platform]: missing section",
        "[peers] secret:",
        "[other]: unknown section",
    ):
        assert expected in shown
    assert "short" not in shown.replace("shorter", "")


def test_valid_settings_pass(tmp_path: Path) -> None:
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    file = tmp_path / "entry.ini"
    file.write_text(
        "[entry]\nname = e1\ndomain = bkk-a\nhttp_host = 127.0.0.1\nhttp_port = 8080\n"
        "peer_host = 127.0.0.1\npeer_port = 8081\n[platform]\nurl = http://127.0.0.1:9000\n"
        f"[peers]\nsecret = 0123456789abcdef\n[operator ann]\ntoken_sha256 = {digest}\nteams = *\n"
    )
    assert main(["check-settings", str(file)]) == 0


def test_settings_page_is_current(tmp_path: Path) -> None:
    assert main(["settings-reference", "--check", str(DOCS / "settings.md")]) == 0
    outdated = tmp_path / "settings.md"
    outdated.write_text("# Settings\n")
    assert main(["settings-reference", "--check", str(outdated)]) == 6


@pytest.mark.parametrize("name", NAMES)
def test_every_help_has_an_example_and_exit_codes(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_to_exit_code([*name.split(), "--help"]) == 0
    shown = capsys.readouterr().out
    assert f"redwingport {name}" in shown.split("example:")[1]
    assert "  0  done" in shown.split("exit codes:")[1]


def test_page_lists_every_command_and_exit_code() -> None:
    page = (DOCS / "cli.md").read_text()
    assert [name for name in NAMES if f"`{name}" not in page] == []
    for code, meaning in MEANING_BY_EXIT_CODE.items():
        assert f"| {int(code)} | {meaning} |" in page


@pytest.mark.parametrize(
    "url", ["http://localhost:80", "https://127.0.0.1:80", "http://127.0.0.1", "http://[::1", ""]
)
def test_malformed_entry_address_is_a_usage_error(url: str) -> None:
    assert run_to_exit_code(["servers", "--entry", url]) == 2


def test_missing_entry_address_is_a_usage_error() -> None:
    assert main(["servers"]) == 2


@pytest.mark.parametrize(
    "words", [["list"], ["list", "--output", "json"], ["get", "absent", "--output=json"]]
)
def test_closed_standard_output_is_reported_without_a_traceback(
    entry: Any,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    words: list[str],
) -> None:
    entry.answer("GET /v1/services", 200, {"services": [{"name": "print"}]})
    entry.answer_problem("GET /v1/services/absent", 404, "not-run")
    reading, writing = os.pipe()
    os.close(reading)
    with os.fdopen(writing, "w") as closed:
        monkeypatch.setattr("sys.stdout", closed)
        assert main(["services", *words, "--entry", entry.url]) == 3
    assert "write output" in capsys.readouterr().err


def test_internal_error_has_the_exit_code_of_an_unknown_outcome(
    entry: Any, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    entry.answer("GET /v1/jobs", 200, {"jobs": []})
    monkeypatch.setattr("redwingport_cli.rendering.print_rows", None)
    assert main(["jobs", "list", "--entry", entry.url]) == 4
    assert "Traceback" in capsys.readouterr().err
