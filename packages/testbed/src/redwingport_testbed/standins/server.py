"""Serve several ASGI apps, one per port, in one event loop."""

import logging
import socket
from collections.abc import AsyncIterator, Generator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any, cast

import anyio
import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from redwingport_testbed.exceptions import TestbedError

ABORT_KEY = "redwingport.abort"
# Callers decide how long a connection stays open; uvicorn's 5 s would close it under them.
KEEP_ALIVE_S = 3_600
SHUTDOWN_S = 1
START_POLL_S = 0.01
BACKLOG = 2_048


@dataclass(frozen=True, slots=True)
class Site:
    """Say where an app is served.

    :param app: the app.
    :param port: TCP port; 0 takes a free one.
    :param host: IP number.
    :param max_connections: connections beyond this number are closed at once; 0 for no limit.
    """

    app: ASGIApp
    port: int
    host: str = "127.0.0.1"
    max_connections: int = 0


def _protocol_class(max_connections: int) -> type[HttpToolsProtocol]:
    """Return a protocol that limits connections and lets an app close its connection."""

    class StandInProtocol(HttpToolsProtocol):
        def connection_made(self, transport: object) -> None:
            super().connection_made(transport)  # type: ignore[arg-type]
            if max_connections and len(self.connections) > max_connections:
                self.transport.abort()

        def on_message_begin(self) -> None:
            super().on_message_begin()
            cast(dict[str, Any], self.scope)[ABORT_KEY] = self.transport.abort

    return StandInProtocol


class _Server(uvicorn.Server):
    """Leave the signal handlers to the process, which runs many servers."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


def _server(site: Site) -> _Server:
    return _Server(
        uvicorn.Config(
            site.app,
            loop="none",
            http=_protocol_class(site.max_connections),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=SHUTDOWN_S,
        )
    )


def listen(host: str, port: int) -> socket.socket:
    """Open a listening socket.

    :raises TestbedError: when the port is taken.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise TestbedError("listen", f"{host}:{port}: {error.strerror}") from error
    sock.setblocking(False)
    return sock


def _silence_uvicorn() -> None:
    """Drop uvicorn's own log: faults that break an answer on purpose are errors to it."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)


@asynccontextmanager
async def serving(sites: Sequence[Site]) -> AsyncIterator[tuple[int, ...]]:
    """Serve apps while the context is open.

    :param sites: the apps and their ports.
    :returns: a context whose value are the ports, in the order of the sites.
    :raises TestbedError: when a port is taken.
    """
    _silence_uvicorn()
    sockets: list[socket.socket] = []
    try:
        for site in sites:
            sockets.append(listen(site.host, site.port))
        servers = [_server(site) for site in sites]
        async with anyio.create_task_group() as group:
            for server, sock in zip(servers, sockets, strict=True):
                group.start_soon(server.serve, [sock])
            while not all(server.started for server in servers):
                await anyio.sleep(START_POLL_S)
            try:
                yield tuple(sock.getsockname()[1] for sock in sockets)
            finally:
                for server in servers:
                    server.should_exit = True
    finally:
        for sock in sockets:
            sock.close()
