"""The HTTP application: all routes, including health, readiness and metrics."""

import logging
from collections.abc import Callable
from typing import cast

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ExceptionHandler

from redwingport_entry.api.callers import CallerRoutes
from redwingport_entry.api.operators import OperatorRoutes
from redwingport_entry.api.responses import json_response, problem_response
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.metrics import Metrics
from redwingport_messages.outcomes import outcome_unknown

logger = logging.getLogger(ROOT)


def build_application(
    callers: CallerRoutes,
    operators: OperatorRoutes,
    metrics: Metrics,
    not_ready_reason: Callable[[], str],
) -> Starlette:
    """Build the HTTP application.

    :param callers: routes of callers.
    :param operators: routes of operators.
    :param metrics: metrics of the process.
    :param not_ready_reason: returns why the process is not ready, or an empty string.
    """

    async def health(request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def ready(request: Request) -> Response:
        reason = not_ready_reason()
        return json_response({"ready": not reason, "reason": reason}, 503 if reason else 200)

    async def show_metrics(request: Request) -> Response:
        return Response(generate_latest(metrics.registry), media_type=CONTENT_TYPE_LATEST)

    # Routes are matched in order, so those of callers come first.
    routes = [
        *callers.routes(),
        *operators.routes(),
        Route("/healthz", health),
        Route("/readyz", ready),
        Route("/metrics", show_metrics),
    ]
    handler = cast(ExceptionHandler, _internal_error)
    return Starlette(routes=routes, exception_handlers={Exception: handler})


async def _internal_error(request: Request, error: Exception) -> Response:
    log_event(
        logger,
        logging.ERROR,
        "request-failed",
        path=request.url.path,
        error=f"{type(error).__name__}: {error}",
    )
    # The failed request may have started a run that goes on, or have made a change.
    detail = "The process failed to answer."
    return problem_response(outcome_unknown("internal-error", detail, status=500, step="serve"))
