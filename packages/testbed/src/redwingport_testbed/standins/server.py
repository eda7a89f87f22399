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

from redwingport_entry.http_server import WholeAnswerProtocol
from redwingport_testbed.exceptions import TestbedError

ABORT_KEY = "redwingport.abort"
# Clients decide how long a connection stays open; uvicorn's default of 5 s would close it first.
KEEP_ALIVE_S = 3_600
SHUTDOWN_S = 1
START_POLL_S = 0.01
BACKLOG = 2_048


@dataclass(frozen=True, slots=True)
class Site:
    """Describe where an app is served.

    :param app: the ASGI app.
    :param port: TCP port; 0 for a free one.
    :param host: IP address.
    :param max_connections: further connections are aborted on accept; 0 for no limit.
    """

    app: ASGIApp
    port: int
    host: str = "127.0.0.1"
    max_connections: int = 0


def _protocol_class(max_connections: int) -> type[WholeAnswerProtocol]:
    """Return a protocol that limits connections and lets an app abort its connection."""

    class StandInProtocol(WholeAnswerProtocol):
        def connection_made(self, transport: object) -> None:
            super().connection_made(transport)  # type: ignore[arg-type]
            if max_connections and len(self.connections) > max_connections:
                self.transport.abort()

        def on_message_begin(self) -> None:
            super().on_message_begin()
            cast(dict[str, Any], self.scope)[ABORT_KEY] = self.transport.abort

    return StandInProtocol


class _Server(uvicorn.Server):
    """Install no signal handlers: one process runs many servers and handles signals itself."""

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

    :raises TestbedError: if the port is in use.
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
    """Disable uvicorn's error log, which reports every response broken by an injected fault."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)


@asynccontextmanager
async def serving(sites: Sequence[Site]) -> AsyncIterator[tuple[int, ...]]:
    """Serve apps for the duration of the context.

    :param sites: the apps and their ports.
    :returns: a context manager that yields the ports, in the order of the sites.
    :raises TestbedError: if a port is in use.
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
