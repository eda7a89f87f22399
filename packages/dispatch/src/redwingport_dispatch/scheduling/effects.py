"""What the scheduler decides, for others to carry out."""

from collections.abc import Mapping
from typing import Protocol

from redwingport_dispatch.scheduling.placement import Placement
from redwingport_dispatch.scheduling.work import Run, Task, Work


class Effects(Protocol):
    """Carry out what the scheduler decides. Nothing here waits."""

    def start(self, run: Run, work: Work) -> None:
        """Send the order to start a run."""
        ...

    def stop_run(self, run: Run) -> None:
        """Send the order to stop a run."""
        ...

    def report_placed(self, work: Work, run: Run, placement: Placement) -> None:
        """Tell the holder where a task was ordered to run."""
        ...

    def report_done(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        """Tell the holder that a task is done."""
        ...

    def report_failed(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        """Tell the holder that a task has failed as often as it may."""
        ...

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        """Tell the holder that nothing of a work has started, and that nothing will.

        :param inputs: what decided it, for the log; times in seconds.
        """
        ...

    def abandon(self, work: Work) -> None:
        """Tell the holder that a work that has started cannot be done by its deadline."""
        ...

    def log_decision(self, event: str, **fields: object) -> None:
        """Write a line on what became of a run or a server."""
        ...
