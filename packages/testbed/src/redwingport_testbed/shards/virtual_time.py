"""Event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

T = TypeVar("T")


class _IdleSelector(selectors.SelectSelector):
    """Report no event, and advance the clock of the loop by the time it would have waited."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.loop.advance(timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run tasks without I/O as if every wait were over at once."""

    def __init__(self) -> None:
        selector = _IdleSelector()
        selector.loop = self
        self._virtual_now = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._virtual_now += max(0.0, seconds)


def run_in_virtual_time(function: Callable[[], Awaitable[T]]) -> T:
    """Run a coroutine function on a loop with a virtual clock and return its result."""
    return anyio.run(
        function, backend="asyncio", backend_options={"loop_factory": VirtualTimeLoop}
    )
