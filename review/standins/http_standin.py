"""HTTP/1.1 for the stand-ins: a small server, a small client, and a relay between them.

Only the standard library is used.
"""

import asyncio
import contextlib
import itertools
import json
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any] | None]]


# Below the usual range of ephemeral ports: one of that range could be taken by a connection between
# the check and its use.
_ports = itertools.count(12000 + os.getpid() % 80 * 200)


def free_port() -> int:
    """Return a port on which nothing listens."""
    for port in _ports:
        with socket.socket() as listener:
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port found")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Serve requests; a handler that returns None closes the connection without an answer."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await handler(method, target, headers, body)
                if answer is None:
                    break
                status, content = answer
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(talk, HOST, port, backlog=256)


async def request(
    port: int,
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, Any]:
    """Send a request on a connection of its own; return status 0 if there is no whole answer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = {"host": f"{HOST}:{port}", "content-type": "application/json"} | (headers or {})
    head = f"{method} {target} HTTP/1.1\r\ncontent-length: {len(data)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + data)
            message = await read_message(reader)
        if message is None:
            return 0, "connection ended"
        first, _, content = message
        return int(first.split(" ")[1]), json.loads(content or b"{}")
    except TimeoutError:
        return 0, "no answer"
    except OSError as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Relay:
    """Pass TCP connections on to a port, with a delay or not at all.

    :ivar is_cut: while true, bytes are held back in both directions, and connections that are
        opened meanwhile lead nowhere. Their bytes are lost when one end gives up.
    :ivar delay_s: time that each piece of data takes from the target to the caller.
    """

    def __init__(self, target_port: int) -> None:
        self.port = free_port()
        self.is_cut = False
        self.delay_s = 0.0
        self._target_port = target_port
        self._healed = asyncio.Event()

    async def start(self) -> None:
        """Accept connections."""
        await asyncio.start_server(self._relay, HOST, self.port, backlog=256)

    def heal(self) -> None:
        """End the cut."""
        self.is_cut = False
        self._healed.set()
        self._healed = asyncio.Event()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            # As behind a partition: the caller gets no answer until it gives up.
            with contextlib.suppress(ConnectionError):
                await reader.read(-1)
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._copy(reader, far_writer, delayed=False),
            self._copy(far_reader, writer, delayed=True),
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delayed: bool
    ) -> None:
        try:
            while data := await reader.read(65536):
                if delayed and self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.is_cut:
                    await self._healed.wait()
                if reader.exception() is not None:
                    # What a partition holds up is lost if its sender resets the connection.
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
