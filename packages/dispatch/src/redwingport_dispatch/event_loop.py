"""The event loop of a process."""

import asyncio
import math
from collections.abc import Callable
from contextvars import Context
from typing import TypeVarTuple

import uvloop

Arguments = TypeVarTuple("Arguments")

# Keeps times that are whole milliseconds but for their last binary digits from being a whole one
# late.
ROUNDING_MS = 1e-6


class RoundUpTimerLoop(uvloop.Loop):
    """Call no timer before it is due.

    uvloop rounds delays to the nearest millisecond. A timeout that looks at the clock when it is
    called half a millisecond early asks for another call at once, and so keeps the processor busy
    until it is due.
    """

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function at or just after a time of the loop's clock, in seconds."""
        now = self.time()
        if when <= now:
            return self.call_later(0, callback, *args, context=context)
        # Never in this millisecond: a timer that is a rounding error early would be set again and
        # again until the clock moves on.
        delay_ms = max(1, math.ceil((when - now) * 1000 - ROUNDING_MS))
        return self.call_later(delay_ms / 1000, callback, *args, context=context)
