"""Servers and clients that send arbitrary bytes, for tests of invalid and mismatched messages."""

import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

from redwingport_messages.backend import HEADER_LOAD
from redwingport_messages.vms import VmInfo
from redwingport_testbed.cluster.harness import VmEdit
from redwingport_testbed.standins.fleet import HOST

CLIENT_TIMEOUT_S = 10.0
RECEIVE_BYTES = 64 * 1024
# tcpi_data_segs_in of struct tcp_info, the same on all architectures.
_DATA_SEGMENTS_OFFSET = 152
_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


@dataclass(slots=True)
class RawRequest:
    """Store one request as a raw server received it.

    :param connection: number of the connection, counted from 1.
    :param path: the path.
    :param headers: headers by lower-case name.
    :param body: the body.
    """

    connection: int
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def submission(self) -> str:
        """Return the submission id of a request to an executor or a worker."""
        if "redwingport-submission" in self.headers:
            return self.headers["redwingport-submission"]
        return str(json.loads(self.body)["submission"])


class _RequestParser:
    def __init__(self, connection: int) -> None:
        self.request = RawRequest(connection)
        self.complete = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.request.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        self.complete = True


class RawServer:
    """Answer HTTP requests with arbitrary bytes chosen by a test.

    :param answer: returns the bytes to send; the connection is closed after None, and after
        an answer with ``connection: close`` among its first 500 bytes.
    """

    def __init__(self, answer: Callable[[RawRequest], Awaitable[bytes | None]]) -> None:
        self.answer = answer
        self.port = 0
        self.requests: list[RawRequest] = []
        self._connections = 0

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Listen on a free port for the duration of the context."""
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=0, family=socket.AF_INET
        )
        self.port = listener.extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._connection)
            yield
            group.cancel_scope.cancel()

    async def _connection(self, stream: SocketStream) -> None:
        self._connections += 1
        number = self._connections
        async with stream:
            try:
                while await self._exchange(stream, number):
                    pass
            except (*_CONNECTION_ERRORS, httptools.HttpParserError):
                pass

    async def _exchange(self, stream: SocketStream, number: int) -> bool:
        parser = _RequestParser(number)
        while not parser.complete:
            parser.feed(await stream.receive(RECEIVE_BYTES))
        self.requests.append(parser.request)
        answer = await self.answer(parser.request)
        if answer is not None:
            await stream.send(answer)
        return answer is not None and b"connection: close" not in answer[:500]


def keep_servers(**port_by_vm: int) -> VmEdit:
    """Return an edit of the VM list that keeps the entry VMs and the named servers only.

    :param port_by_vm: new port by VM name, with ``_`` for ``-``; 0 keeps the stand-in's port.
    """
    ports = {vm.replace("_", "-"): port for vm, port in port_by_vm.items()}

    def edit(vm: VmInfo) -> VmInfo | None:
        if vm.peer_port:
            return vm
        if vm.vm not in ports:
            return None
        return vm.model_copy(update={"port": ports[vm.vm] or vm.port})

    return edit


def http_answer(
    body: bytes, status: int = 200, headers: Mapping[str, str] | None = None, close: bool = False
) -> bytes:
    """Return the bytes of an HTTP response with a correct content length."""
    lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["connection: close"] if close else []
    return "\r\n".join([*lines, "", ""]).encode("utf-8") + body


def echo_headers(request: RawRequest, **changes: str) -> dict[str, str]:
    """Return the headers that an executor echoes, with its load header.

    :param changes: echoed values to replace, by the header's name without its prefix.
    """
    names = ("submission", "task", "attempt")
    echoed = {name: request.headers.get(f"redwingport-{name}", "") for name in names} | changes
    headers = {f"redwingport-{name}": value for name, value in echoed.items()}
    return {HEADER_LOAD: "slots=8;active=1;queued=0;leaving=0", **headers}


def executor_answer(request: RawRequest, close: bool = False) -> bytes:
    """Return a correct executor response to a request of the test bed."""
    token = json.loads(request.body)["token"]
    body = json.dumps({"token": token, "operation": request.path.rpartition("/")[2]}).encode()
    return http_answer(body, headers=echo_headers(request), close=close)


def worker_lines(request: RawRequest, **changes: Any) -> list[dict[str, Any]]:
    """Return the lines of a correct worker response: the start answer and the task ends.

    :param changes: members to replace in every line.
    """
    body = json.loads(request.body)
    load = {"slots": 8, "free": 8, "held": 0, "leaving": False}
    numbers = [task["task"] for task in body["tasks"]]
    first = {"lease": "l", "lease_ms": 1000, "clock": 5.0, "started": numbers, "load": load}
    ends = [
        {
            "task": task["task"],
            "attempt": task["attempt"],
            "status": "done",
            "result": {"task": task["task"], "token": (task["payload"] or {}).get("token")},
            "run_ms": 1.0,
            "load": load,
        }
        for task in body["tasks"]
    ]
    return [{"submission": body["submission"], **line, **changes} for line in (first, *ends)]


def worker_answer(lines: list[dict[str, Any]]) -> bytes:
    """Return an HTTP response whose body is the given JSON lines."""
    return http_answer(b"".join(json.dumps(line).encode() + b"\n" for line in lines))


def send_raw(
    port: int, *chunks: bytes, half_close: bool = False, read_timeout_s: float = 0.0
) -> bytes:
    """Send bytes to a local port and read until the other side closes.

    :param chunks: the bytes, sent one chunk after another.
    :param half_close: whether the sending side is shut down after the last chunk.
    :param read_timeout_s: time to read after each chunk, in seconds; 0 to read at the end only.
    :returns: the bytes received before the other side closed or a time-out expired.
    """
    received = b""
    with socket.create_connection((HOST, port), CLIENT_TIMEOUT_S) as sock:
        try:
            for chunk in chunks:
                sock.sendall(chunk)
                if read_timeout_s:
                    sock.settimeout(read_timeout_s)
                    received += _receive(sock)
                    sock.settimeout(CLIENT_TIMEOUT_S)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            while chunk := sock.recv(RECEIVE_BYTES):
                received += chunk
        except OSError:
            pass
    return received


def _receive(sock: socket.socket) -> bytes:
    try:
        return sock.recv(RECEIVE_BYTES)
    except TimeoutError:
        return b""


def read_to_end(sock: socket.socket) -> bytes:
    """Return what arrives until the other side closes or resets the connection."""
    received = b""
    try:
        while chunk := sock.recv(RECEIVE_BYTES):
            received += chunk
    except ConnectionResetError:
        pass
    return received


def data_segments(sock: socket.socket) -> int:
    """Return the number of segments with data that have arrived on a connection."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _DATA_SEGMENTS_OFFSET + 4)
    return int(struct.unpack_from("I", info, _DATA_SEGMENTS_OFFSET)[0])


def http_request(line: str, body: bytes = b"", host: str = HOST) -> bytes:
    """Return the bytes of a request that ends its connection.

    :param line: method and path.
    """
    head = f"{line} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {len(body)}\r\n"
    return f"{head}connection: close\r\n\r\n".encode() + body


def answer_of(port: int, request: bytes) -> tuple[bytes, int]:
    """Send a request that ends its connection.

    :returns: the answer and the number of segments in which it arrived.
    """
    with socket.create_connection((HOST, port), CLIENT_TIMEOUT_S) as sock:
        sock.sendall(request)
        return read_to_end(sock), data_segments(sock)


def status_of(answer: bytes) -> int:
    """Return the status code of a received response, 0 if there is none."""
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.") else 0


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process, in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0
