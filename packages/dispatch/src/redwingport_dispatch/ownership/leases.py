"""The lease on what runs at one backend server, on the server's own clock."""

import math

# The server's clock may be this much slow, so that a lease may last longer than it says.
CLOCK_RATE_ERROR = 0.02
# Time that an order may take to arrive and be answered, at most, before it counts as lost.
MAX_ROUND_TRIP_S = 0.05


def max_local_duration_s(duration_s: float) -> float:
    """Return how long a span on a server's clock may last here, from the sending of an order."""
    return duration_s / (1 - CLOCK_RATE_ERROR) + MAX_ROUND_TRIP_S


class Lease:
    """Follow a server's clock, and the end of the longest lease that it may have granted.

    :param lease_s: longest lease that a server grants, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self.ends_at = 0.0
        self._lease_s = lease_s
        self._clock_ms = 0
        self._clock_read_at = -math.inf

    @property
    def has_clock(self) -> bool:
        """Tell whether the server's clock was read."""
        return self._clock_read_at > -math.inf

    def observe_clock(self, clock_ms: int, sent_at: float, received_at: float) -> None:
        """Take in the server's clock.

        The time of the answer's arrival is taken as that of the reading, so that the clock is
        estimated early and leases end early rather than late.

        :param sent_at: monotonic time at which the call was sent.
        :param received_at: monotonic time at which its answer arrived.
        """
        if clock_ms <= 0 or sent_at < self._clock_read_at:
            return
        self._clock_ms = clock_ms
        self._clock_read_at = received_at

    def extend(self, now: float) -> int:
        """Return the end of a full lease from now, on the server's clock, and remember it.

        :param now: monotonic time of sending, in seconds.
        """
        elapsed_s = max(0.0, now - self._clock_read_at)
        until_ms = self._clock_ms + int((elapsed_s + self._lease_s) * 1000)
        # A lease is shortened to its maximum when it arrives, not when it was computed.
        self.ends_at = max(self.ends_at, now + max_local_duration_s(self._lease_s))
        return until_ms

    def reset_clock(self) -> None:
        """Drop the clock of a lifetime that has ended."""
        self._clock_ms = 0
        self._clock_read_at = -math.inf
