"""How far a run has come, as its server lists it.

Times are taken on the server's own clock: an answer that was on its way for long, or an owner that
was frozen, makes no run look slow.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Hold the progress of one run.

    :param since_ms: server's clock when the run was first known to be there; 0 before.
    :param since_percent: share of its work that was done then, 0 to 100.
    :param seen_ms: server's clock at the last list.
    :param grew_ms: server's clock at the last list in which the share had grown.
    :param percent: share of its work that is done, in whole percent, rounded down.
    """

    first_seen_ms: int = 0
    first_percent: float = 0.0
    last_seen_ms: int = 0
    last_progress_ms: int = 0
    percent: float = 0.0

    def observe(self, percent: float, clock_ms: int) -> None:
        """Take in a list, or the answer to the start with no percent done."""
        if not self.first_seen_ms:
            self.first_seen_ms = self.last_progress_ms = clock_ms
            self.first_percent = self.percent = percent
        elif percent > self.percent:
            self.percent, self.last_progress_ms = percent, clock_ms
        self.last_seen_ms = max(self.last_seen_ms, clock_ms)

    @property
    def has_progressed(self) -> bool:
        """Tell whether the run has come on since it was first known to be there."""
        return self.percent > self.first_percent

    @property
    def observed_s(self) -> float:
        """Return the time over which the run was observed, in seconds."""
        return (self.last_seen_ms - self.first_seen_ms) / 1000

    @property
    def stalled_s(self) -> float:
        """Return the time for which the share has not grown, in seconds."""
        return (self.last_seen_ms - self.last_progress_ms) / 1000

    @property
    def min_total_s(self) -> float:
        """Return the time that the whole run takes at least, at its present speed."""
        # What is listed is rounded down: almost one percent more may be done.
        return self.observed_s / ((self.percent + 1 - self.first_percent) / 100)

    @property
    def min_remaining_s(self) -> float:
        """Return the time that the run still takes at least, at its present speed."""
        return self.min_total_s * max(0.0, 99 - self.percent) / 100
