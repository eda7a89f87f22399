"""The HTTP server, run inside the process's own task tree."""

from collections.abc import Iterator
from contextlib import contextmanager

import uvicorn
from starlette.types import ASGIApp

from redwingport_entry.settings import Settings

KEEP_ALIVE_S = 30


class HttpServer(uvicorn.Server):
    """Run uvicorn without its signal handlers; the process handles signals itself."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals alone; see :class:`uvicorn.Server`."""
        yield


def build_server(application: ASGIApp, settings: Settings) -> HttpServer:
    """Build the server.

    :param application: the ASGI application.
    :param settings: settings of the process.
    """
    config = uvicorn.Config(
        application,
        host=settings.entry.http_host,
        port=settings.entry.http_port,
        loop="none",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=max(1, int(settings.limits.drain_timeout_s)),
    )
    return HttpServer(config)
