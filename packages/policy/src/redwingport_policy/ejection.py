"""Outlier detection: temporary ejection of backend servers whose tasks fail."""

from collections import deque
from dataclasses import dataclass, field

from redwingport_policy.base import Candidate

FAILURES_IN_A_ROW = 5
WINDOW_TASKS = 20
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
# MAX_EJECTION_S is reached earlier; without this limit the power overflows a float after 1,024
# ejections.
MAX_DOUBLINGS = 10
MAX_EJECTED_SHARE = 0.3


@dataclass(slots=True)
class _History:
    failures_in_a_row: int = 0
    failures: int = 0
    ejections: int = 0
    awaiting_probe: bool = False
    limit_reached_until: float = 0.0
    window: deque[bool] = field(default_factory=deque)

    def add(self, succeeded: bool) -> None:
        """Add one task result; running sums avoid a pass over the window for each result."""
        if len(self.window) == WINDOW_TASKS:
            self.failures -= not self.window.popleft()
        self.window.append(succeeded)
        self.failures += not succeeded
        self.failures_in_a_row = 0 if succeeded else self.failures_in_a_row + 1

    def reset(self) -> None:
        """Clear the window and the failure counts."""
        self.window.clear()
        self.failures = self.failures_in_a_row = 0

    def should_eject(self, ejection_threshold: int) -> bool:
        """Return whether the failures justify an ejection."""
        if self.awaiting_probe or self.failures_in_a_row >= ejection_threshold:
            return True
        return len(self.window) == WINDOW_TASKS and self.failures > WINDOW_TASKS // 2


class Ejector:
    """Eject failing servers with exponential backoff, a probe task and a limit on ejections.

    One of two or three servers may be ejected, although this exceeds :data:`MAX_EJECTED_SHARE`:
    a server that fails its tasks immediately would otherwise attract most of the work. A sole
    server is never ejected.

    :param failures_in_a_row: number of consecutive failures that ejects a server.
    """

    def __init__(self, failures_in_a_row: int = FAILURES_IN_A_ROW) -> None:
        self._failures_in_a_row = failures_in_a_row
        self._history_by_server: dict[str, _History] = {}

    def record(
        self, candidate: Candidate, succeeded: bool, now: float, servers: list[Candidate]
    ) -> bool:
        """Record the result of a task and eject the server if it fails too often.

        Results that arrive during an ejection are ignored: they belong to tasks started before
        it and must neither replace the pending probe nor prolong the ejection.

        :param candidate: the server.
        :param succeeded: whether the task succeeded.
        :param now: monotonic time, in seconds.
        :param servers: all servers, for the limit on ejections.
        :returns: whether this call ejected the server.
        """
        if candidate.ejected_until > now:
            return False
        history = self._history_by_server.setdefault(candidate.server_id, _History())
        history.add(succeeded)
        if succeeded:
            history.awaiting_probe = False
            if len(history.window) == WINDOW_TASKS and history.failures == 0:
                history.ejections = 0
            return False
        if not history.should_eject(self._failures_in_a_row) or self._at_ejection_limit(
            history, now, servers
        ):
            return False
        doublings = min(history.ejections, MAX_DOUBLINGS)
        candidate.ejected_until = now + min(MIN_EJECTION_S * 2**doublings, MAX_EJECTION_S)
        history.ejections += 1
        history.awaiting_probe = True
        history.reset()
        return True

    def admits(self, candidate: Candidate, now: float) -> bool:
        """Return whether the server may get a task; after an ejection, one probe at a time."""
        if candidate.ejected_until > now:
            return False
        history = self._history_by_server.get(candidate.server_id)
        return history is None or not history.awaiting_probe or candidate.own_active == 0

    def _at_ejection_limit(self, history: _History, now: float, servers: list[Candidate]) -> bool:
        # During an outage every task fails. The result is cached until the first ejection ends, or
        # for MIN_EJECTION_S if that is sooner, so that the servers are not counted again for each
        # failure.
        if history.limit_reached_until > now:
            return True
        ends_at = [server.ejected_until for server in servers if not server.leaving]
        ejected = [end_at for end_at in ends_at if end_at > now]
        max_ejected = max(1, int(len(ends_at) * MAX_EJECTED_SHARE))
        if len(ejected) + 1 <= min(max_ejected, len(ends_at) - 1):
            return False
        history.limit_reached_until = min([now + MIN_EJECTION_S, *ejected])
        return True
