"""Parts shared by the stand-ins: request bodies, start counts and fault settings."""

import asyncio
import json
from collections import Counter
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope

from redwingport_messages.documents import describe_errors
from redwingport_testbed.standins.server import ABORT_KEY

B = TypeVar("B", bound="BackendFaults")
F = TypeVar("F", bound="Faults")
M = TypeVar("M", bound=BaseModel)


class Faults(BaseModel):
    """Define the fault settings of a stand-in; a control request names only those it changes."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class BackendFaults(Faults):
    """Define the faults that workers and executors have in common.

    :param fails_everything: whether every task fails immediately.
    :param straggle_factor: factor on the run time of tasks started after the change.
    :param leaving: whether the server announces that it is about to shut down.
    :param hang: whether the server neither handles requests nor sends answers; requests
        that arrive in the meantime are handled when the fault ends.
    :param delay_answer_ms: delay of an answer after the request took effect, in milliseconds.
    """

    fails_everything: bool = False
    straggle_factor: float = 1.0
    leaving: bool = False
    hang: bool = False
    delay_answer_ms: float = 0.0


class StartCounts:
    """Count the starts of every task, to detect tasks that were started twice."""

    def __init__(self) -> None:
        self.count_by_task: Counter[tuple[str, int]] = Counter()

    def add(self, submission: str, task: int) -> None:
        """Count one start."""
        self.count_by_task[submission, task] += 1

    def as_json(self) -> dict[str, int]:
        """Return the totals for the control API."""
        starts = self.count_by_task.total()
        distinct = len(self.count_by_task)
        return {"starts": starts, "distinct": distinct, "duplicates": starts - distinct}

    def starts(self) -> list[tuple[str, int]]:
        """List every start; a task that was started twice is listed twice."""
        return list(self.count_by_task.elements())


class HangGate:
    """Block requests and answers while a stand-in hangs."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def set(self, hang: bool) -> None:
        """Start or end the hang."""
        if hang:
            self._open.clear()
        else:
            self._open.set()

    async def wait_until_open(self) -> None:
        """Wait until the stand-in no longer hangs."""
        if not self._open.is_set():
            await self._open.wait()


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(value), status, media_type="application/json")


def error_response(status: int, reason: str) -> Response:
    """Return a JSON response that reports an error."""
    return json_response({"error": reason}, status)


def invalid_response(error: ValidationError) -> Response:
    """Return the response to a body that does not validate."""
    return error_response(422, "; ".join(describe_errors(error)))


async def changed_faults(request: Request, faults: F) -> F:
    """Apply the body of a control request to fault settings.

    :raises ValidationError: if the body has an unknown member or a value of the wrong type.
    """
    change = type(faults).model_validate_json(await request.body())
    return faults.model_copy(update=change.model_dump(exclude_unset=True))


class ControlledServer(Generic[B]):
    """Implement the control routes that workers and executors have in common.

    :param faults: the initial fault settings.
    """

    def __init__(self, faults: B) -> None:
        self.faults = faults
        self.gate = HangGate()
        self.starts = StartCounts()

    async def _get_starts(self, request: Request) -> Response:
        return json_response(self.starts.starts())

    async def _set_faults(self, request: Request) -> Response:
        try:
            self.faults = await changed_faults(request, self.faults)
        except ValidationError as error:
            return invalid_response(error)
        self.gate.set(self.faults.hang)
        return json_response(self.faults.model_dump())


async def read_body(receive: Receive) -> bytes | None:
    """Read the complete body of a request.

    :returns: the body, or None if the connection was lost before its end.
    """
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


def abort_connection(scope: Scope) -> None:
    """Abort the connection of a request without sending a response."""
    scope[ABORT_KEY]()
