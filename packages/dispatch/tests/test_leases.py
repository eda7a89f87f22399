"""Leases on the server's clock, estimated so that errors end them early."""

from hypothesis import given
from hypothesis import strategies as st

from redwingport_dispatch.ownership.leases import CLOCK_RATE_ERROR, Lease

LEASE_S = 1.0


@given(
    rate=st.floats(1 - CLOCK_RATE_ERROR, 1.0),
    flight_s=st.floats(0, 10.0),
    order_flight_s=st.floats(0, 10.0),
    wait_s=st.floats(0, 10.0),
)
def test_lease_has_expired_at_server_when_considered_expired_locally(
    rate: float, flight_s: float, order_flight_s: float, wait_s: float
) -> None:
    """Guard against a run that outlives its lease.

    The server's clock may run up to 2 % slow, and orders and answers are delayed in transit.
    """
    lease = Lease(LEASE_S)
    read_at = 10.0
    lease.observe_clock(5000, read_at - flight_s, read_at + flight_s)
    sent_at = read_at + flight_s + wait_s
    until_ms = lease.extend(sent_at)

    def server_clock_ms(now: float) -> float:
        return 5000 + (now - read_at) * rate * 1000

    arrived_ms = server_clock_ms(sent_at + order_flight_s)
    granted_ms = min(until_ms, arrived_ms + LEASE_S * 1000)
    assert server_clock_ms(lease.ends_at) >= granted_ms - 2


def test_earlier_clock_reading_does_not_replace_later_one() -> None:
    """Answers on different connections may arrive out of order."""
    lease = Lease(LEASE_S)
    lease.observe_clock(5000, 10.0, 10.01)
    lease.observe_clock(4000, 9.0, 10.02)
    assert lease.extend(10.01) == 6000


def test_lease_end_never_decreases() -> None:
    lease = Lease(LEASE_S)
    lease.observe_clock(5000, 10.0, 10.0)
    lease.extend(12.0)
    ends_at = lease.ends_at
    lease.extend(11.0)
    assert lease.ends_at == ends_at


# Guards against a lease that is taken for over too early: it was ordered on the clock of a former
# lifetime, so that only its maximum duration from the arrival of the order limits it.
@given(
    rate=st.floats(1 - CLOCK_RATE_ERROR, 1.0),
    order_flight_s=st.floats(0, 0.15),
    answer_flight_s=st.floats(0, 0.15),
)
def test_lease_for_a_former_lifetime_ends_no_later_than_counted_from_the_answer(
    rate: float, order_flight_s: float, answer_flight_s: float
) -> None:
    lease = Lease(LEASE_S)
    lease.observe_clock(5000, 10.0, 10.0)
    until_ms = lease.extend(10.2)
    arrived_at = 10.2 + order_flight_s
    clock_ms = 600
    assert clock_ms < lease.earliest_clock_ms(10.2)
    lease.count_from(arrived_at + answer_flight_s)
    granted_s = min(until_ms - clock_ms, LEASE_S * 1000) / 1000
    assert lease.ends_at >= arrived_at + granted_s / rate
