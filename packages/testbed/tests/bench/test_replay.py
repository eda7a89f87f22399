"""Replay the recorded traces against real processes."""

from pathlib import Path

import pytest

from redwingport_testbed.bench.traces import replay_trace

TRACES = Path(__file__).parents[2] / "traces"


@pytest.mark.timeout(60)
@pytest.mark.parametrize("deployment", ["dairy", "sala"])
def test_trace_reaches_its_stated_outcomes(deployment: str) -> None:
    # Guards against partial answers, wrong refusals, repeated starts and excessive messages.
    assert replay_trace(TRACES / f"{deployment}.json", "completion-time") == []
