"""Pytest plugin that runs and reports the tests of KNOWN-RED.txt without failing the run."""

from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"

_outcome_by_test: dict[str, str] = {}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests of KNOWN-RED.txt as expected failures."""
    root = _find_root(config.rootpath)
    if root is None:
        return
    names = read_names(root / FILE_NAME)
    for item in items:
        if any(_name_of(item, root).startswith(name) for name in names):
            item.add_marker(pytest.mark.xfail(reason=FILE_NAME, strict=False))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    """Store the outcome of each test of KNOWN-RED.txt."""
    if report.when == "call" and hasattr(report, "wasxfail"):
        _outcome_by_test[report.nodeid] = "passed" if report.passed else "failed"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests of KNOWN-RED.txt that were run, with their outcomes."""
    if _outcome_by_test:
        terminalreporter.section(f"tests of {FILE_NAME}")
        for name, outcome in sorted(_outcome_by_test.items()):
            terminalreporter.write_line(f"{name}: {outcome}")


def read_names(path: Path) -> list[str]:
    """Return the tests listed in a file, each as a path from the repository root and a name."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line.split()[1] for line in lines if line.startswith("test: ")]


def _find_root(folder: Path) -> Path | None:
    """Return the closest directory that contains KNOWN-RED.txt, from ``folder`` upwards."""
    for candidate in (folder, *folder.parents):
        if (candidate / FILE_NAME).exists():
            return candidate
    return None


def _name_of(item: pytest.Item, root: Path) -> str:
    """Return the path of a test from the repository root and its name."""
    return f"{item.path.relative_to(root)}::{item.nodeid.partition('::')[2]}"
