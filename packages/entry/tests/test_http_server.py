"""How answers reach clients of the HTTP server, seen through plain sockets."""

import logging
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing
from typing import Any

import anyio
import pytest
from anyio.to_thread import run_sync

from redwingport_entry import http_server
from redwingport_entry.http_server import Listener, build_server
from redwingport_entry.logs import ROOT
from redwingport_testbed.cluster.raw import answer_of, read_to_end

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
TIMEOUT_S = 30.0
KILLS = 10
LARGE_BYTES = 8_000_000
CLOSE = b"\r\nconnection: close\r\n\r\n"
REQUEST = (
    b"POST /jobs/0000000000000001 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 2\r\n\r\n{}"
)
BODY = b'{"state":"complete"}'
# Makes close() reset the connection: struct linger, enabled, with a time of zero.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# A process that writes a line when the head of an answer is passed to the server, and another
# one when the answer is complete. Its argument tells whether it waits between the two.
PROGRAM = """
import sys
import anyio
from redwingport_entry.http_server import Listener, build_server

port, waits = int(sys.argv[1]), sys.argv[2] == "waits"
body = b'{"state":"complete"}'

async def app(scope, receive, send):
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    if waits:
        print("head", flush=True)
        await anyio.sleep_forever()
    await send({"type": "http.response.body", "body": body})

async def main():
    server = build_server(app, Listener("127.0.0.1", port, 1))
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        print("started", flush=True)

anyio.run(main)
"""

CLOSING_REQUEST = b"GET /jobs/ HTTP/1.1\r\nhost: desk.example" + CLOSE

App = Callable[[Any, Any, Any], Awaitable[None]]


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, object]]:
    return "asyncio", {"use_uvloop": request.param}


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


async def send_a_head(scope: Any, receive: Any, send: Any) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await wait_for_disconnect(scope, receive, send)


# Guards against a log line that reports a part of an answer as sent of which no byte was.
async def test_answer_without_a_written_byte_is_not_logged_as_partial(
    free_tcp_port: int, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with serving(send_a_head, free_tcp_port):
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(REQUEST)
            await anyio.sleep(0.1)
        logged = await wait_for_event(caplog, "answer-cut")
    assert not logged["partial"]


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


async def answer_with_length(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"%d" % len(BODY)), (b"connection", b"close")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await anyio.sleep(0)
    await send({"type": "http.response.body", "body": BODY})


async def answer_in_one_chunk(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"connection", b"close")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await anyio.sleep(0)
    await send({"type": "http.response.body", "body": BODY})


async def answer_without_body(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"connection", b"close")]
    await send({"type": "http.response.start", "status": 204, "headers": headers})
    await send({"type": "http.response.body"})


async def fail_after_the_head(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"%d" % len(BODY))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    raise RuntimeError("no body")


async def fail_before_the_answer(scope: Any, receive: Any, send: Any) -> None:
    raise RuntimeError("no answer")


# Guards against a status and a length that a client receives without the body.
@pytest.mark.parametrize(
    "app, request_bytes, status, body",
    [
        (answer_with_length, REQUEST, 200, BODY),
        (answer_with_length, REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"), 200, BODY),
        (answer_with_length, b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n", 200, b""),
        (answer_in_one_chunk, REQUEST, 200, b"14\r\n" + BODY + b"\r\n0\r\n\r\n"),
        (answer_without_body, REQUEST, 204, b""),
        (fail_before_the_answer, REQUEST, 500, b"Internal Server Error"),
        (answer_with_length, b"no request\r\n\r\n", 400, b"Invalid HTTP request received."),
        (answer_with_length, b"GET /" + b"x" * 70_000, 431, b""),
    ],
)
async def test_answer_arrives_in_one_segment(
    free_tcp_port: int, app: App, request_bytes: bytes, status: int, body: bytes
) -> None:
    async with serving(app, free_tcp_port):
        answer, segments = await run_sync(answer_of, free_tcp_port, request_bytes)
    head, _, received = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert received == body
    assert segments == 1


async def test_application_that_fails_after_the_head_sends_nothing(free_tcp_port: int) -> None:
    async with serving(fail_after_the_head, free_tcp_port):
        answer, _ = await run_sync(answer_of, free_tcp_port, REQUEST)
    assert answer == b""


async def fail_after_the_answer(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"%d" % len(BODY))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY})
    raise RuntimeError("too late")


# Guards against connections that stay open after an application failed.
async def test_connection_is_closed_when_the_application_fails_after_its_answer(
    free_tcp_port: int,
) -> None:
    async with serving(fail_after_the_answer, free_tcp_port):
        answer, _ = await run_sync(answer_of, free_tcp_port, REQUEST)
    assert answer.endswith(BODY)


async def stream_parts(scope: Any, receive: Any, send: Any) -> None:
    await receive()
    await send({"type": "http.response.start", "status": 200, "headers": []})
    for part in (b"", b"first", b"x" * LARGE_BYTES):
        await send({"type": "http.response.body", "body": part, "more_body": True})
        if part == b"first":
            # The client asks for the rest once it has the first part.
            await receive()
    await send({"type": "http.response.body"})


async def test_streamed_answer_is_sent_part_by_part(free_tcp_port: int) -> None:
    request = REQUEST.replace(b"length: 2", b"length: 3").replace(b"\r\n\r\n{}", CLOSE + b"1")

    def exchange() -> bytes:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(request)
            received = b""
            while not received.endswith(b"\r\n\r\n5\r\nfirst\r\n"):
                received += sock.recv(65536)
            sock.sendall(b"23")
            return read_to_end(sock)

    async with serving(stream_parts, free_tcp_port):
        rest = await run_sync(exchange)
    assert rest == b"%x\r\n%b\r\n0\r\n\r\n" % (LARGE_BYTES, b"x" * LARGE_BYTES)


async def test_continue_is_sent_before_the_body_of_the_request(free_tcp_port: int) -> None:
    head = REQUEST.replace(b"\r\n\r\n{}", b"\r\nexpect: 100-continue" + CLOSE)

    async def read_and_answer(scope: Any, receive: Any, send: Any) -> None:
        assert (await receive())["body"] == b"{}"
        await answer_with_length(scope, receive, send)

    def exchange() -> tuple[bytes, bytes]:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(head)
            first = sock.recv(65536)
            sock.sendall(b"{}")
            return first, read_to_end(sock)

    async with serving(read_and_answer, free_tcp_port):
        first, answer = await run_sync(exchange)
    assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(BODY)


# uvloop writes after the application has passed the answer on, so the two cannot be ordered there.
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_answer_that_cannot_be_written_is_logged(
    free_tcp_port: int, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, ROOT)
    has_left = threading.Event()
    may_leave = threading.Event()

    async def answer_late(scope: Any, receive: Any, send: Any) -> None:
        may_leave.set()
        # Blocks the event loop, so that the write comes before the end of the connection.
        assert has_left.wait(TIMEOUT_S)
        headers = [(b"content-length", b"%d" % len(BODY))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": BODY})

    def send_and_leave() -> None:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(REQUEST)
            assert may_leave.wait(TIMEOUT_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        has_left.set()

    async with serving(answer_late, free_tcp_port):
        await run_sync(send_and_leave)
        logged = await wait_for_event(caplog, "answer-cut")
    assert logged["partial"] and logged["reason"] == "ConnectionResetError"


# Guards against errors for clients that close the connection before they receive the answer.
async def test_client_that_closes_before_the_answer_causes_no_error(
    free_tcp_port: int, caplog: pytest.LogCaptureFixture
) -> None:
    has_left = threading.Event()
    may_leave = threading.Event()

    async def answer_late(scope: Any, receive: Any, send: Any) -> None:
        may_leave.set()
        # Blocks the event loop, so that the answer comes before the end of the connection is seen.
        assert has_left.wait(TIMEOUT_S)
        await answer_with_length(scope, receive, send)

    def send_and_leave() -> None:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(REQUEST)
            assert may_leave.wait(TIMEOUT_S)
        has_left.set()

    async with serving(answer_late, free_tcp_port):
        await run_sync(send_and_leave)
        await anyio.sleep(0.1)
    assert [record.getMessage() for record in caplog.records if record.exc_info] == []


def numbered_request(number: int, body: bytes = b"{}") -> bytes:
    head = b"POST /jobs/%016x HTTP/1.1\r\nhost: desk.example\r\n" % number
    return head + b"content-length: %d\r\n\r\n%b" % (len(body), body)


async def refuse_with_close(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"2"), (b"connection", b"close")]
    await send({"type": "http.response.start", "status": 413, "headers": headers})
    await send({"type": "http.response.body", "body": b"{}"})


# Guards against answers that a client loses as the server resets a connection with unread input.
@pytest.mark.parametrize(
    "app, first, status",
    [
        (refuse_with_close, numbered_request(1, b"x" * LARGE_BYTES)[:100], 413),
        (answer_with_length, REQUEST, 200),
        (answer_with_length, b"GET /" + b"x" * 70_000, 431),
        (answer_with_length, b"no request\r\n\r\n", 400),
    ],
)
async def test_client_that_still_sends_receives_its_answer_and_no_reset(
    free_tcp_port: int, monkeypatch: pytest.MonkeyPatch, app: App, first: bytes, status: int
) -> None:
    monkeypatch.setattr(http_server, "LINGER_S", TIMEOUT_S)

    def exchange() -> bytes:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(first)
            # The answer is sent before the rest of the input arrives.
            sock.recv(1, socket.MSG_PEEK)
            sock.sendall(b"x" * LARGE_BYTES)
            received = b""
            while chunk := sock.recv(65536):
                received += chunk
            return received

    async with serving(app, free_tcp_port):
        answer = await run_sync(exchange)
    assert answer.startswith(b"HTTP/1.1 %d " % status)


async def test_connection_of_a_client_that_does_not_close_it_is_closed(
    free_tcp_port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_server, "LINGER_S", 0.1)

    def send_until_it_fails() -> None:
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(REQUEST)
            while True:
                sock.sendall(b"x")
                time.sleep(0.01)

    async with serving(answer_with_length, free_tcp_port):
        with pytest.raises(OSError):
            await run_sync(send_until_it_fails)


class PathApp:
    """Answer with the path; the first request waits until it is released or disconnected."""

    def __init__(self, receives: bool = True) -> None:
        self.receives = receives
        self.release = anyio.Event()
        self.first_started = anyio.Event()
        self.first_disconnected = anyio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        while self.receives and (await receive())["more_body"]:
            pass
        if scope["path"].endswith("1"):
            self.first_started.set()
            async with anyio.create_task_group() as group:
                if self.receives:
                    group.start_soon(self._watch, scope, receive, send, group.cancel_scope)
                await self.release.wait()
                group.cancel_scope.cancel()
        if not self.first_disconnected.is_set():
            body = scope["path"].encode()
            headers = [(b"content-length", b"%d" % len(body))]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": body})

    async def _watch(self, scope: Any, receive: Any, send: Any, first: anyio.CancelScope) -> None:
        await wait_for_disconnect(scope, receive, send)
        self.first_disconnected.set()
        first.cancel()


def paths(answers: bytes) -> list[bytes]:
    return [answer.partition(b"\r\n\r\n")[2] for answer in answers.split(b"HTTP/1.1 200 ")[1:]]


async def test_pipelined_answers_belong_to_their_requests(free_tcp_port: int) -> None:
    app = PathApp()
    async with serving(app, free_tcp_port):
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(numbered_request(1) + numbered_request(2))
            await app.first_started.wait()
            # More than are read ahead.
            for number in range(3, 30):
                await run_sync(sock.sendall, numbered_request(number, b"x" * 10_000))
            app.release.set()
            received = b""
            while len(paths(received)) < 29 or not received.endswith(b"1d"):
                received += await run_sync(sock.recv, 65536)
    assert paths(received) == [b"/jobs/%016x" % number for number in range(1, 30)]


# Guards against a client that makes the server read all of its requests ahead. The end of a
# response lets the server read on, too.
@pytest.mark.parametrize("receives", [True, False])
async def test_requests_are_read_ahead_up_to_the_limit(
    free_tcp_port: int, monkeypatch: pytest.MonkeyPatch, receives: bool
) -> None:
    numbers_open = []
    complete_head = http_server.BoundedProtocol.on_headers_complete

    def count_open(protocol: http_server.BoundedProtocol) -> None:
        complete_head(protocol)
        numbers_open.append(len(protocol._open_cycles))

    def requests(first: int, last: int) -> bytes:
        return b"".join(numbered_request(number) for number in range(first, last + 1))

    monkeypatch.setattr(http_server.BoundedProtocol, "on_headers_complete", count_open)
    app = PathApp(receives)
    async with serving(app, free_tcp_port):
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(requests(1, 30))
            await app.first_started.wait()
            await anyio.sleep(0.05)
            sock.sendall(requests(31, 60))
            # Gives the server time to read the input before.
            await run_sync(answer_of, free_tcp_port, CLOSING_REQUEST)
            assert max(numbers_open) == 30
            app.release.set()
            received = b""
            while len(paths(received)) < 60 or not received.endswith(b"3c"):
                received += await run_sync(sock.recv, 65536)
    assert paths(received) == [b"/jobs/%016x" % number for number in range(1, 61)]
    assert max(numbers_open) <= http_server.MAX_PIPELINED + 30


# Guards against an answer that is lost because the input after its request is refused.
@pytest.mark.parametrize("after", [b"no request\r\n\r\n", b"GET /" + b"x" * 70_000])
async def test_request_before_malformed_input_is_answered(
    free_tcp_port: int, after: bytes
) -> None:
    app = PathApp()
    async with serving(app, free_tcp_port):
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(numbered_request(1))
            await app.first_started.wait()
            sock.sendall(after)
            # Gives the server time to read the input before.
            await run_sync(answer_of, free_tcp_port, CLOSING_REQUEST)
            app.release.set()
            answer = await run_sync(read_to_end, sock)
    assert paths(answer)[0].startswith(b"/jobs/%016x" % 1)


# Guards against jobs that go on after a client has left that had sent a second request.
@pytest.mark.parametrize("at_once", [True, False])
async def test_request_in_progress_sees_the_disconnect_of_a_pipelining_client(
    free_tcp_port: int, at_once: bool
) -> None:
    app = PathApp()
    async with serving(app, free_tcp_port):
        with closing(connect(free_tcp_port)) as sock:
            if at_once:
                sock.sendall(numbered_request(1) + numbered_request(2))
                await app.first_started.wait()
            else:
                sock.sendall(numbered_request(1))
                await app.first_started.wait()
                sock.sendall(numbered_request(2))
        await app.first_disconnected.wait()


async def test_client_that_closes_its_sending_side_counts_as_gone(free_tcp_port: int) -> None:
    app = PathApp()
    async with serving(app, free_tcp_port):
        with closing(connect(free_tcp_port)) as sock:
            sock.sendall(numbered_request(1))
            await app.first_started.wait()
            sock.shutdown(socket.SHUT_WR)
            await app.first_disconnected.wait()
            assert await run_sync(read_to_end, sock) == b""


def start_program(port: int, mode: str) -> subprocess.Popen[bytes]:
    program = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(port), mode], stdout=subprocess.PIPE
    )
    assert program.stdout is not None
    assert program.stdout.readline() == b"started\n"
    return program


# Guards against a 200 without a state for a job whose process is killed during its answer.
def test_process_killed_between_head_and_body_has_sent_nothing(free_tcp_port: int) -> None:
    with start_program(free_tcp_port, "waits") as program, closing(connect(free_tcp_port)) as sock:
        sock.sendall(REQUEST)
        assert program.stdout is not None
        assert program.stdout.readline() == b"head\n"
        program.send_signal(signal.SIGKILL)
        program.wait()
        assert read_to_end(sock) == b""


# Guards against an answer that ends before its length when a process is killed at its first byte.
def test_process_killed_at_the_first_byte_has_sent_the_whole_answer(free_tcp_port: int) -> None:
    cut = []
    for _ in range(KILLS):
        with (
            start_program(free_tcp_port, "at once") as program,
            closing(connect(free_tcp_port)) as sock,
        ):
            sock.sendall(REQUEST)
            first = sock.recv(1)
            program.send_signal(signal.SIGKILL)
            answer = first + read_to_end(sock)
            program.wait()
        if answer.partition(b"\r\n\r\n")[2] != BODY:
            cut.append(answer)
    assert cut == []
