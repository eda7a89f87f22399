"""Serve an HTTP echo with the libraries of the entry process, as a baseline for costs."""

import argparse
import json

import anyio
import uvicorn
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from redwingport_testbed.standins.fleet import HOST

HELP = "serve an HTTP echo, the baseline for the cost of a request"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    parser.add_argument("--port", type=int, required=True)


def run(options: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)

    async def echo(request: Request) -> Response:
        body = await request.body()
        # Wait as long as an executor works: a process that is never idle handles several requests
        # per iteration of its event loop, which would understate the cost of a request.
        await anyio.sleep(json.loads(body)["work_ms"] / 1000)
        return Response(body, media_type="application/json")

    async def metrics(request: Request) -> Response:
        return Response(generate_latest(registry), media_type="text/plain")

    routes = [
        Route("/v1/services/{service}/operations/{operation}", echo, methods=["POST"]),
        Route("/metrics", metrics),
    ]
    uvicorn.run(
        Starlette(routes=routes),
        host=HOST,
        port=options.port,
        http="httptools",
        loop="uvloop",
        log_level="error",
        access_log=False,
    )
    return 0
