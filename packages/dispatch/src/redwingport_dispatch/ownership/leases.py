"""Lease of the runs on one backend server, which expires by the server's clock."""

import math

# Maximum fraction by which the server's clock may run slow, so that a lease lasts longer than its
# nominal duration.
CLOCK_RATE_ERROR = 0.02
# Assumed maximum time for an order to reach the server and be answered.
MAX_ROUND_TRIP_S = 0.05
# An owner may grant full leases for the tasks of a holder until this long after it has sent the
# last heartbeat that the holder is known to have received; leases granted later end no later. The
# next owner adds this time to the longest lease when it waits for the end of these leases. It
# covers the interval between two heartbeats and that between two answers.
GRANT_PERIOD_S = 0.3
# An order with less of a lease than this share is not sent: the next renewal might come too late.
MIN_START_LEASE_SHARE = 0.75


def max_local_duration_s(duration_s: float) -> float:
    """Return the longest time that a duration on a server's clock can take on the local clock.

    :param duration_s: duration on the server's clock, in seconds.
    :returns: local duration from the sending of the order that starts it, in seconds.
    """
    return duration_s / (1 - CLOCK_RATE_ERROR) + MAX_ROUND_TRIP_S


class Lease:
    """Track a server's clock and the latest end of the leases that this owner granted to it.

    :param lease_s: maximum duration that a server allows for a lease, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self.ends_at = 0.0
        self._lease_s = lease_s
        self._clock_ms = 0
        self._clock_read_at = -math.inf

    @property
    def has_clock(self) -> bool:
        """Tell whether the server's clock has been read."""
        return self._clock_read_at > -math.inf

    def observe_clock(self, clock_ms: int, sent_at: float, received_at: float) -> None:
        """Record a reading of the server's clock.

        The reading is dated to the arrival of the answer, so that the clock is estimated slow and
        leases end early rather than late.

        :param clock_ms: time on the server's clock, in milliseconds.
        :param sent_at: monotonic time at which the call was sent, in seconds.
        :param received_at: monotonic time at which its answer arrived, in seconds.
        """
        if sent_at < self._clock_read_at:
            return
        self._clock_ms = clock_ms
        self._clock_read_at = received_at

    def extend(self, now: float, limit_at: float = math.inf) -> int:
        """Extend the lease to its full duration, or to a limit.

        :param now: monotonic time of sending, in seconds.
        :param limit_at: monotonic time beyond which the lease must not extend, in seconds.
        :returns: end of the lease on the server's clock, in milliseconds.
        """
        duration_s = min(self._lease_s, max(0.0, limit_at - now))
        until_ms = self._clock_ms + int((self._elapsed_s(now) + duration_s) * 1000)
        # The server limits a lease to its maximum duration when the order arrives, which is later
        # than now.
        self.ends_at = max(self.ends_at, now + max_local_duration_s(duration_s))
        return until_ms

    def earliest_clock_ms(self, now: float) -> int:
        """Return the earliest time that the server's clock can show, in milliseconds.

        An earlier one is from a later lifetime of the server.

        :param now: monotonic time, in seconds.
        """
        return self._clock_ms + int(self._elapsed_s(now) * 1000)

    def count_from(self, arrived_at: float) -> None:
        """Count a lease of full duration from the latest time at which its order arrived.

        The end that was ordered is no limit when it was a time on the clock of another lifetime.

        :param arrived_at: monotonic time, in seconds.
        """
        self.ends_at = max(self.ends_at, arrived_at + max_local_duration_s(self._lease_s))

    def _elapsed_s(self, now: float) -> float:
        """Return the least time that has passed on the server's clock since its reading."""
        # It may run slow.
        return max(0.0, now - self._clock_read_at) * (1 - CLOCK_RATE_ERROR)

    def reset_clock(self) -> None:
        """Discard the clock reading after the server has restarted."""
        self._clock_ms = 0
        self._clock_read_at = -math.inf
