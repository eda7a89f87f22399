"""Ejection of backend servers that fail what they start."""

from collections import deque
from dataclasses import dataclass, field

from redwingport_policy.base import Candidate

FAILURES_IN_A_ROW = 5
WINDOW = 20
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.3


@dataclass(slots=True)
class _History:
    in_a_row: int = 0
    ejections: int = 0
    on_trial: bool = False
    window: deque[bool] = field(default_factory=lambda: deque(maxlen=WINDOW))


class Ejector:
    """Eject servers with many failures, with backoff, one trial task and a floor."""

    def __init__(self) -> None:
        self._history_by_server: dict[str, _History] = {}

    def record(
        self, candidate: Candidate, succeeded: bool, now: float, servers: list[Candidate]
    ) -> bool:
        """Count the end of a task and eject the server if it fails too often.

        :param candidate: the server.
        :param succeeded: whether the task was done.
        :param now: monotonic time, in seconds.
        :param servers: all servers, for the floor.
        :returns: whether the server was ejected by this call.
        """
        history = self._history_by_server.setdefault(candidate.server_id, _History())
        history.window.append(succeeded)
        if succeeded:
            history.in_a_row = 0
            history.on_trial = False
            if len(history.window) == WINDOW and all(history.window):
                history.ejections = 0
            return False
        history.in_a_row += 1
        if not self._fails_too_often(history) or candidate.ejected_until > now:
            return False
        ejected = sum(1 for server in servers if server.ejected_until > now)
        if ejected + 1 > max(1, int(len(servers) * MAX_EJECTED_SHARE)):
            return False
        backoff = min(FIRST_EJECTION_S * 2**history.ejections, LONGEST_EJECTION_S)
        candidate.ejected_until = now + backoff
        history.ejections += 1
        history.on_trial = True
        history.window.clear()
        return True

    def admits(self, candidate: Candidate, now: float) -> bool:
        """Tell whether the server may get a task: after an ejection one trial task at a time."""
        if candidate.ejected_until > now:
            return False
        history = self._history_by_server.get(candidate.server_id)
        return history is None or not history.on_trial or candidate.own_active == 0

    def _fails_too_often(self, history: _History) -> bool:
        if history.on_trial or history.in_a_row >= FAILURES_IN_A_ROW:
            return True
        failures = history.window.count(False)
        return len(history.window) == WINDOW and failures > WINDOW // 2
