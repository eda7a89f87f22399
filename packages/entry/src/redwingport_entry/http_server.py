"""HTTP server that runs inside the task tree of the process."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from redwingport_entry.logs import ROOT, log_event

if TYPE_CHECKING:
    from starlette.types import ASGIApp

logger = logging.getLogger(ROOT)

KEEP_ALIVE_S = 30
HEAD_TIMEOUT_S = 30.0
# Longest time in which a client can receive its answer and close the connection.
LINGER_S = 2.0
MAX_HEAD_BYTES = 64 * 1024
# Requests of one connection that are read while an earlier one is being answered. One read may
# exceed it, because the parser takes all that was read; its size bounds the excess.
MAX_PIPELINED = 8
_CONTINUE = b"HTTP/1.1 100 "
_BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"content-type: text/plain; charset=utf-8\r\n"
    b"content-length: 30\r\nconnection: close\r\n\r\n"
    b"Invalid HTTP request received."
)
_HEAD_TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class HttpServer(uvicorn.Server):
    """Run uvicorn without its signal handlers, because the process handles signals itself."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; see :class:`uvicorn.Server`."""
        yield


class _PipelineFlow(FlowControl):
    """Resume reading only while the protocol takes further requests.

    uvicorn resumes it at the end of each response and in each call of ``receive``.

    :param transport: transport of the connection.
    :param takes_requests: tells whether the protocol takes further requests.
    """

    def __init__(self, transport: asyncio.Transport, takes_requests: Callable[[], bool]) -> None:
        super().__init__(transport)
        self._takes_requests = takes_requests

    def resume_reading(self) -> None:
        """Resume reading, unless there are too many requests; see :class:`FlowControl`."""
        if self._takes_requests():
            super().resume_reading()


class _ResponseTransport:
    """Pass the head of a response on together with the first part of its body.

    A client that received a head alone cannot tell the answer if the process is killed or the
    connection breaks before the body is sent. A head whose body never comes is dropped.
    Implements what :class:`RequestResponseCycle` uses of a transport.

    :param transport: transport of the connection.
    :param close: closes the connection.
    :param has_body: whether the request allows a body in its response.
    """

    __slots__ = ("_close", "_has_body", "_has_head", "_head", "_transport")

    def __init__(
        self, transport: asyncio.Transport, close: Callable[[], None], has_body: bool
    ) -> None:
        self._transport = transport
        self._close = close
        self._has_body = has_body
        self._has_head = False
        self._head = b""

    @property
    def has_written(self) -> bool:
        """Tell whether a part of the response was passed on."""
        return self._has_head and not self._head

    def write(self, data: bytes) -> None:
        """Write data, or keep it if it is the head; see :class:`asyncio.Transport`."""
        if self._head:
            data, self._head = self._head + data, b""
        elif not self._has_head and not data.startswith(_CONTINUE):
            self._has_head = True
            if self._has_body:
                self._head = data
                return
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; see :class:`asyncio.Transport`."""
        self._close()

    def is_closing(self) -> bool:
        """Tell whether the connection is closing; see :class:`asyncio.Transport`."""
        return self._transport.is_closing()


class WholeAnswerProtocol(HttpToolsProtocol):
    """Write the head of a response together with the first part of its body.

    The ASGI specification forbids servers to send a head earlier, but uvicorn does.
    """

    def on_headers_complete(self) -> None:
        """Start the request."""
        super().on_headers_complete()
        self.cycle.transport = _ResponseTransport(  # type: ignore[assignment]
            self.transport,
            self.close_after_response,
            has_body=self.cycle.scope["method"] != "HEAD",
        )

    def close_after_response(self) -> None:
        """Close the connection after a response that is complete or has failed."""
        self.transport.close()


class BoundedProtocol(WholeAnswerProtocol):
    """Limit the size and the time of a request's head, and the size of its trailer.

    Neither uvicorn nor the parser limits them. Bytes are counted from the last event of the
    parser: the end of the head, a chunk of the body or the end of the request.

    Answers that did not reach the transport before the end of their connection are logged.

    After the last answer only the sending side is closed, and input is discarded until the client
    closes: a close with unread input resets the connection, and the client may lose the answer.
    """

    _unparsed_bytes = 0
    _head_timer: asyncio.TimerHandle | None = None
    _linger_timer: asyncio.TimerHandle | None = None
    _discards_input = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The first one is being answered, the others are pipelined.
        self._open_cycles: deque[RequestResponseCycle] = deque()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timer of the first head; see :class:`asyncio.Protocol`."""
        super().connection_made(transport)
        self.flow = _PipelineFlow(transport, self._takes_input)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers, and log lost answers; see :class:`asyncio.Protocol`."""
        self._stop_head_timer()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._open_cycles:
            for cycle in self._open_cycles:
                _log_cut_answer(cycle, exc)
                # uvicorn tells only the last one.
                cycle.disconnected = True
                cycle.message_event.set()
        elif exc is not None and self.flow.write_paused:
            _log_cut_answer(self.cycle, exc)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data; close on an excessive head or trailer; see :class:`asyncio.Protocol`."""
        if self._discards_input:
            return
        self._unparsed_bytes += len(data)
        super().data_received(data)
        if self._unparsed_bytes > MAX_HEAD_BYTES and not self._discards_input:
            self._refuse_input(_HEAD_TOO_LONG)

    def send_400_response(self, msg: str) -> None:
        """Answer malformed HTTP with 400, after the answers to the requests before it."""
        self._refuse_input(_BAD_REQUEST)

    def shutdown(self) -> None:
        """Close the connection after the open requests; see :class:`HttpToolsProtocol`."""
        if self._linger_timer is None:
            super().shutdown()

    def close_after_response(self) -> None:
        """Close the connection; let the client receive a complete response."""
        if not self._open_cycles or self._open_cycles[0].response_complete:
            self._linger()
        else:
            self.transport.close()

    def _takes_input(self) -> bool:
        return self._discards_input or len(self._open_cycles) <= MAX_PIPELINED

    def _refuse_input(self, response: bytes) -> None:
        """Close the connection, after the requests that were received completely.

        :param response: sent unless a request is open.
        """
        if self.transport.is_closing():
            return
        self._discards_input = True
        self._stop_head_timer()
        complete = [cycle for cycle in self._open_cycles if not cycle.more_body]
        if complete:
            complete[-1].keep_alive = False
        elif self._open_cycles:
            self.transport.close()
        else:
            self.transport.write(response)
            self._linger()

    def _linger(self) -> None:
        if self.transport.is_closing():
            return
        self._discards_input = True
        self._stop_head_timer()
        self.flow.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The client has closed the connection already.
            self.transport.close()
            return
        self._linger_timer = self.loop.call_later(LINGER_S, self.transport.close)

    def on_message_begin(self) -> None:
        """Start the timer of the head."""
        super().on_message_begin()
        self._start_head_timer()

    def on_headers_complete(self) -> None:
        """Reset the limits of the head, and start the request."""
        self._unparsed_bytes = 0
        self._stop_head_timer()
        super().on_headers_complete()
        self._open_cycles.append(self.cycle)
        # uvicorn stops to read here, and so would not see that the client has left.
        self.flow.resume_reading()

    def on_body(self, body: bytes) -> None:
        """Reset the byte count, and pass a chunk of the body on."""
        self._unparsed_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Reset the byte count, and end the request."""
        self._unparsed_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Continue with the next request, once the answer was passed to the transport."""
        if self.transport.is_closing():
            # The write failed or came too late, which is logged at the end of the connection.
            return
        self._open_cycles.popleft()
        if self._linger_timer is None:
            super().on_response_complete()

    def _start_head_timer(self) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(HEAD_TIMEOUT_S, self.transport.close)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _log_cut_answer(cycle: RequestResponseCycle, error: Exception | None) -> None:
    partial = cast(_ResponseTransport, cycle.transport).has_written
    log_event(
        logger,
        logging.WARNING if partial else logging.INFO,
        "answer-cut",
        method=cycle.scope["method"],
        path=cycle.scope["path"],
        partial=partial,
        reason=type(error).__name__ if error is not None else "closed",
    )


@dataclass(frozen=True, slots=True)
class Listener:
    """Describe where a server listens and how it shuts down.

    :param host: IP number.
    :param port: port.
    :param graceful_timeout_s: longest time that open requests get at shutdown, in seconds.
    """

    host: str
    port: int
    graceful_timeout_s: float


def build_server(application: "ASGIApp", listener: Listener) -> HttpServer:
    """Build the HTTP server.

    :param application: the ASGI application.
    :param listener: where it listens and how it shuts down.
    """
    config = uvicorn.Config(
        application,
        host=listener.host,
        port=listener.port,
        loop="none",
        http=BoundedProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=max(1, int(listener.graceful_timeout_s)),
    )
    return HttpServer(config)
