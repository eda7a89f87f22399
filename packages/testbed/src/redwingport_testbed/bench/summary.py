"""Format the main metrics of runs as a table."""

from collections.abc import Sequence
from typing import Any

_ROWS: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("response/ideal p50", ("over_ideal", "p50")),
    ("response/ideal p90", ("over_ideal", "p90")),
    ("response/ideal p99", ("over_ideal", "p99")),
    ("response/fastest p50", ("over_fastest", "p50")),
    ("response/fastest p99", ("over_fastest", "p99")),
    ("wasted messages/task", ("messages", "wasted_per_task")),
    ("  declines", ("messages", "wasted_per_task_by_kind", "declines")),
    ("  stops", ("messages", "wasted_per_task_by_kind", "stops")),
    ("  retries", ("messages", "wasted_per_task_by_kind", "retries")),
    ("  heartbeats", ("messages", "wasted_per_task_by_kind", "heartbeats")),
    ("  other peer frames", ("messages", "wasted_per_task_by_kind", "other-peer")),
    ("  polls", ("messages", "wasted_per_task_by_kind", "polls")),
    ("tasks", ("messages", "tasks")),
    ("declined tasks", ("messages", "declined_tasks")),
    ("offered/capacity", ("goodput", "offered")),
    ("goodput/capacity", ("goodput", "done")),
    ("refused/capacity", ("goodput", "refused")),
    ("refusal ms p50", ("refusal_ms", "p50")),
    ("refusal ms p99", ("refusal_ms", "p99")),
    ("refusals in 50 ms", ("refusal_ms", "within_50_ms")),
    ("untruthful refusals", ("untruthful_refusals",)),
    ("started twice", ("started_twice",)),
    ("worst team/entitled", ("fairness", "worst")),
    ("entry ms CPU/task", ("processor", "entry_ms_per_task")),
    ("busiest entry core", ("processor", "busiest_entry")),
    ("stand-ins core", ("processor", "stand_ins")),
    ("generator lag ms p99", ("generator_lag_ms", "p99")),
)


def format_table(reports: Sequence[dict[str, Any]], names: Sequence[str]) -> str:
    """Return a table with one column per run, followed by the outcomes of each run."""
    width = max([12, *(len(name) for name in names)])
    lines = [f"{'':22}" + "".join(f"  {name:>{width}}" for name in names)]
    for label, path in _ROWS:
        cells = [_cell(report, path) for report in reports]
        lines.append(f"{label:22}" + "".join(f"  {cell:>{width}}" for cell in cells))
    for name, report in zip(names, reports, strict=True):
        outcomes = ", ".join(f"{n} {outcome}" for outcome, n in report["outcomes"].items())
        lines.append(f"{name}: {outcomes}")
        lines += [f"{name}: VOID: {reason}" for reason in report["void"]]
    return "\n".join(lines)


def _cell(report: dict[str, Any], path: tuple[str, ...]) -> str:
    value: Any = report
    for key in path:
        value = value.get(key) if isinstance(value, dict) else None
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
