"""How answers reach clients of the HTTP server, seen through plain sockets."""

import logging
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing
from typing import Any

import anyio
import pytest
from anyio.to_thread import run_sync

from redwingport_entry.http_server import Listener, build_server
from redwingport_entry.logs import ROOT

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
TIMEOUT_S = 30.0
REQUEST = (
    b"POST /jobs/0000000000000001 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 2\r\n\r\n{}"
)
# Makes close() reset the connection: struct linger, enabled, with a time of zero.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

App = Callable[[Any, Any, Any], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def serving(app: App, port: int) -> AsyncIterator[None]:
    server = build_server(app, Listener(HOST, port, graceful_timeout_s=1))  # type: ignore[arg-type]
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        with anyio.fail_after(TIMEOUT_S):
            while not server.started:
                await anyio.sleep(0.01)
            yield
        server.should_exit = True


def connect(port: int) -> socket.socket:
    return socket.create_connection((HOST, port), TIMEOUT_S)


async def wait_for_event(caplog: pytest.LogCaptureFixture, event: str) -> dict[str, Any]:
    """Wait for a log line, and return its fields without the names of events."""
    while True:
        for record in caplog.records:
            if record.getMessage() == event:
                return vars(record)["fields"] | {"level": record.levelname}
        await anyio.sleep(0.01)


async def wait_for_disconnect(scope: Any, receive: Any, send: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_a_part(scope: Any, receive: Any, send: Any) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"part", "more_body": True})
    await wait_for_disconnect(scope, receive, send)


# Guards against answers that are lost without a trace in the logs.
@pytest.mark.parametrize(
    "app, resets, fields",
    [
        (wait_for_disconnect, False, {"partial": False, "reason": "closed", "level": "INFO"}),
        (
            wait_for_disconnect,
            True,
            {"partial": False, "reason": "ConnectionResetError", "level": "INFO"},
        ),
        (
            send_a_part,
            True,
            {"partial": True, "reason": "ConnectionResetError", "level": "WARNING"},
        ),
    ],
)
async def test_connection_that_ends_before_the_answer_is_logged(
    free_tcp_port: int,
    caplog: pytest.LogCaptureFixture,
    app: App,
    resets: bool,
    fields: dict[str, object],
) -> None:
    caplog.set_level(logging.INFO, ROOT)

    def send_and_leave() -> None:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(REQUEST)
            if app is send_a_part:
                sock.recv(1)
            if resets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async with serving(app, free_tcp_port):
        await run_sync(send_and_leave)
        logged = await wait_for_event(caplog, "answer-cut")
    assert logged == fields | {"method": "POST", "path": "/jobs/0000000000000001"}
