"""Event loop of a process."""

import asyncio
import math
from collections.abc import Callable
from contextvars import Context
from typing import TypeVarTuple

import uvloop

Arguments = TypeVarTuple("Arguments")

# Tolerance for floating-point errors, which would otherwise round whole milliseconds up by one.
ROUNDING_MS = 1e-6


class RoundUpTimerLoop(uvloop.Loop):
    """Event loop that rounds timer delays up, so that no timer fires before it is due.

    uvloop rounds delays to the nearest millisecond. A timeout that is called up to half a
    millisecond early finds that it is not due and schedules another call immediately, which keeps
    the processor busy until it is due.
    """

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a call at or just after a time on the loop's clock, in seconds."""
        now = self.time()
        if when <= now:
            return self.call_later(0, callback, *args, context=context)
        # At least one millisecond: a timer that is early by a rounding error would be rescheduled
        # repeatedly until the clock advances.
        delay_ms = max(1, math.ceil((when - now) * 1000 - ROUNDING_MS))
        return self.call_later(delay_ms / 1000, callback, *args, context=context)
