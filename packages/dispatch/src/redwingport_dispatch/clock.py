"""Clock of a process, by which its deadlines are kept."""

import asyncio


def current_time() -> float:
    """Return the monotonic time of the running event loop, in seconds.

    The same as :func:`anyio.current_time`, which looks up its backend on each call.
    """
    return asyncio.get_running_loop().time()
