"""Progress of a run, as its server reports it.

All times are read from the server's clock, so that neither a report that was delayed in transit
nor a suspended owner process makes a run look slow.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Track the progress of one run.

    :param first_seen_ms: server's clock at the first observation, in milliseconds; 0 before.
    :param first_percent: progress at the first observation, 0 to 100.
    :param last_seen_ms: server's clock at the latest report, in milliseconds.
    :param last_progress_ms: server's clock at the latest report that showed progress, in
        milliseconds; before that, at the first observation.
    :param percent: highest reported progress, 0 to 100; servers round down to whole percent.
    """

    first_seen_ms: int = 0
    first_percent: float = 0.0
    last_seen_ms: int = 0
    last_progress_ms: int = 0
    percent: float = 0.0

    def observe(self, percent: float, clock_ms: int) -> None:
        """Record the progress from a report, or 0 percent from the answer to the start order."""
        if not self.first_seen_ms:
            self.first_seen_ms = self.last_progress_ms = clock_ms
            self.first_percent = self.percent = percent
        elif percent > self.percent:
            self.percent, self.last_progress_ms = percent, clock_ms
        self.last_seen_ms = max(self.last_seen_ms, clock_ms)

    @property
    def has_progressed(self) -> bool:
        """Return whether the run has progressed since the first observation."""
        return self.percent > self.first_percent

    @property
    def observed_s(self) -> float:
        """Return the time between the first and the latest observation, in seconds."""
        return (self.last_seen_ms - self.first_seen_ms) / 1000

    @property
    def stalled_s(self) -> float:
        """Return the time without progress up to the latest report, in seconds."""
        return (self.last_seen_ms - self.last_progress_ms) / 1000

    @property
    def min_total_s(self) -> float:
        """Return the minimum total run time at the current speed, in seconds."""
        # The reported percentage is rounded down: almost one percent more may be done.
        return self.observed_s / ((self.percent + 1 - self.first_percent) / 100)

    @property
    def min_remaining_s(self) -> float:
        """Return the minimum remaining run time at the current speed, in seconds."""
        return self.min_total_s * max(0.0, 99 - self.percent) / 100
