"""Plot the metrics of one or more runs."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from redwingport_testbed.bench.scenario import scenario_from_json

_MESSAGE_KINDS = ("declines", "stops", "retries", "heartbeats", "other-peer", "polls")


def plot_runs(reports: Sequence[dict[str, Any]], path: Path) -> None:
    """Write a PNG with response times, wasted messages and the response time by second.

    :param reports: reports of the runs.
    :param path: file to write.
    """
    # Imported here because the import takes one second, which generators and stand-ins avoid.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [scenario_from_json(report["scenario"]).name for report in reports]
    figure, (responses, messages, timeline) = pyplot.subplots(1, 3, figsize=(18, 6))
    positions = range(len(reports))
    for shift, percentile in enumerate(("p50", "p90", "p99")):
        values = [report["over_ideal"].get(percentile, 0.0) for report in reports]
        responses.bar([p + 0.25 * shift for p in positions], values, 0.25, label=percentile)
    responses.set_title("Response time over ideal (mean speed)")
    bottoms = [0.0] * len(reports)
    for kind in _MESSAGE_KINDS:
        values = [r["messages"]["wasted_per_task_by_kind"][kind] for r in reports]
        messages.bar(positions, values, 0.6, bottom=bottoms, label=kind)
        bottoms = [bottom + value for bottom, value in zip(bottoms, values, strict=True)]
    messages.set_title("Wasted messages per task")
    for axes in (responses, messages):
        axes.set_xticks(list(positions), names, rotation=30, ha="right", fontsize=7)
        axes.legend()
    for name, report in zip(names, reports, strict=True):
        seconds = report["over_ideal_by_second"]
        timeline.plot([int(second) for second in seconds], list(seconds.values()), label=name)
    timeline.set_title("Median response time over ideal by second of arrival")
    timeline.set_xlabel("seconds")
    timeline.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
