"""Messages between the holder and the owners of one process."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Loopback(Generic[Message]):
    """Deliver the messages that a process sends to itself, in order and one at a time.

    As over a link, no message is handled within the call that sends it. An owner sends refusals
    in the middle of a pass over its work items, and what the holder does about them changes these.

    :param handle: handles a message; the messages that it sends are delivered after it returns.
    """

    def __init__(self, handle: Callable[[Message], None]) -> None:
        self._handle = handle
        self._messages: deque[Message] = deque()
        self._has_messages = asyncio.Event()

    def send(self, message: Message) -> None:
        """Queue a message."""
        self._messages.append(message)
        self._has_messages.set()

    def deliver(self) -> None:
        """Deliver all queued messages; not to be called while a message is handled."""
        while self._messages:
            self._handle(self._messages.popleft())

    async def run(self) -> None:
        """Deliver messages until the call is cancelled."""
        while True:
            await self._has_messages.wait()
            self._has_messages.clear()
            self.deliver()
