"""Timers of the event loop that processes run on."""

import asyncio

import anyio
import pytest

from redwingport_dispatch.event_loop import RoundUpTimerLoop


@pytest.fixture
def loop():
    loop = RoundUpTimerLoop()
    yield loop
    loop.close()


@pytest.mark.parametrize("delay_s", [0.0, 0.0002, 0.0101, 0.0104, 0.0109, 0.02])
def test_timer_is_not_called_before_it_is_due(loop, delay_s):
    async def measure():
        due_at = loop.time() + delay_s
        called_at = loop.create_future()
        loop.call_at(due_at, lambda: called_at.set_result(loop.time()))
        return await called_at - due_at

    # The loop's clock has a resolution of one millisecond; due times lie between its ticks.
    assert loop.run_until_complete(measure()) > -1e-6


@pytest.mark.parametrize("rounding_s", [0.0, 1e-10, 4e-10, -1e-10])
def test_timeout_does_not_spin_until_it_is_due(monkeypatch, rounding_s):
    """Guard against timers that fire early and are rescheduled until the deadline.

    The worst case is a deadline that lies a rounding error after a tick of the clock.
    """
    calls = 0
    call_at = RoundUpTimerLoop.call_at

    def count(self, *args, **kwargs):
        nonlocal calls
        calls += 1
        return call_at(self, *args, **kwargs)

    monkeypatch.setattr(RoundUpTimerLoop, "call_at", count)
    timeouts = 20

    async def time_out():
        for number in range(timeouts):
            with anyio.move_on_after(0.0104 + number / 10_000 + rounding_s):
                await anyio.sleep_forever()

    anyio.run(time_out, backend_options={"loop_factory": RoundUpTimerLoop})
    assert calls <= 2 * timeouts


def test_loop_factory_creates_running_loop():
    """A factory that is not used would leave processes on a loop whose timers may fire early."""

    async def running():
        return asyncio.get_running_loop()

    loop = anyio.run(running, backend_options={"loop_factory": RoundUpTimerLoop})
    assert isinstance(loop, RoundUpTimerLoop)
