"""Print one line per guarantee after the fault tests."""

import pytest

from redwingport_testbed.cluster.ledger import ledger


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    lines = ledger.lines()
    if lines:
        terminalreporter.section("guarantees")
        for line in lines:
            terminalreporter.write_line(line)
