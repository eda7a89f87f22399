"""A relay for the orders to one executor, which can lose some or carry them out late."""

import asyncio
import enum
import json
from collections.abc import Callable
from typing import Any

import http_standin as http


class Fate(enum.Enum):
    """What becomes of a request."""

    PASS = enum.auto()
    LATE = enum.auto()
    """It gets no answer, and is carried out late."""
    DROP = enum.auto()
    """It gets no answer, and never arrives; nor does what follows on its connection."""


class OrderRelay:
    """Pass HTTP requests on to an executor, one by one.

    :param target_port: port of the executor.
    :param fate_of: tells what becomes of a request, by its path and body.
    :param late_s: time until a late request reaches the executor.
    :param note: records an event.
    """

    def __init__(
        self,
        target_port: int,
        fate_of: Callable[["OrderRelay", str, dict[str, Any]], Fate],
        late_s: float,
        note: Callable[..., None],
    ) -> None:
        self.port = http.free_port()
        self._target_port = target_port
        self._fate_of = fate_of
        self._late_s = late_s
        self._note = note
        self._late: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Accept connections."""
        await asyncio.start_server(self._relay, http.HOST, self.port, backlog=256)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(http.HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        try:
            while (message := await http.read_message(reader)) is not None:
                first, headers, body = message
                data = _encode(first, headers, body)
                path = first.split(" ")[1]
                fate = self._fate_of(self, path, json.loads(body or b"{}"))
                if fate is not Fate.PASS:
                    self._note(f"order-{fate.name.lower()}", path=path, body=body.decode())
                    if fate is Fate.LATE:
                        self._late.add(asyncio.create_task(self._deliver_late(data, path)))
                    await reader.read(-1)
                    break
                far_writer.write(data)
                await far_writer.drain()
                answer = await http.read_message(far_reader)
                if answer is None:
                    break
                writer.write(_encode(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.transport.abort()
        far_writer.transport.abort()

    async def _deliver_late(self, data: bytes, path: str) -> None:
        await asyncio.sleep(self._late_s)
        reader, writer = await asyncio.open_connection(http.HOST, self._target_port)
        writer.write(data)
        answer = await http.read_message(reader)
        status = answer[0].split(" ")[1] if answer is not None else "none"
        self._note("late-order-carried-out", path=path, status=status)
        writer.close()


def _encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
