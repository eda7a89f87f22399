"""Interface through which the scheduler's decisions are carried out."""

from collections.abc import Mapping
from typing import Protocol

from redwingport_dispatch.scheduling.placement import Placement
from redwingport_dispatch.scheduling.work import Run, Task, Work


class Effects(Protocol):
    """Carry out the scheduler's decisions.

    No method blocks, and none calls the scheduler: it may be in the middle of a pass.
    """

    def start(self, run: Run, work: Work) -> None:
        """Send the order to start a run."""
        ...

    def stop_run(self, run: Run) -> None:
        """Send the order to stop a run."""
        ...

    def report_placed(self, work: Work, run: Run, placement: Placement) -> None:
        """Notify the holder that a task was placed on a server."""
        ...

    def report_placed_again(self, work: Work, run: Run) -> None:
        """Repeat the notification of a placement, which a broken link may have lost."""
        ...

    def report_done(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        """Notify the holder that a task is done.

        :param run_number: number of the run that has completed.
        :param server_id: id of the server; may be empty for a run that was placed by an earlier
            owner, and is empty when the notification is repeated.
        """
        ...

    def report_failed(self, work: Work, task: Task, run_number: int, server_id: str) -> None:
        """Notify the holder that a task has used up its attempts.

        :param run_number: number of the run that failed last.
        :param server_id: id of the server of that run.
        """
        ...

    def refuse(
        self, work: Work, reason: str, retry_after_s: int, inputs: Mapping[str, float]
    ) -> None:
        """Notify the holder that no task of a work item has started and that none will.

        :param reason: reason of the refusal.
        :param retry_after_s: time after which there should be capacity, in seconds.
        :param inputs: figures behind the decision, for the log; times in seconds.
        """
        ...

    def abandon(self, work: Work) -> None:
        """Notify the holder that a started work item cannot be completed by its deadline."""
        ...

    def log_decision(self, event: str, **fields: object) -> None:
        """Log a decision about a run or a server.

        :param event: name of the log event.
        :param fields: fields of the log line.
        """
        ...
