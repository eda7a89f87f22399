"""Clocks of a process."""

import asyncio
import time


def current_time() -> float:
    """Return the monotonic time of the running event loop, in seconds.

    The same as :func:`anyio.current_time`, which looks up its backend on each call.
    """
    return asyncio.get_running_loop().time()


def boot_time() -> float:
    """Return the time since the VM was started, in seconds.

    Unlike the monotonic clock of the event loop, it goes on while the VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
