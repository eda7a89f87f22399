"""Parts shared by the stand-ins: bodies, counts and fault settings."""

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
    """Hold the fault settings of a stand-in; a change names only the members it sets."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class BackendFaults(Faults):
    """Hold the faults that workers and executors share.

    :param fails_everything: whether every task fails at once.
    :param straggle_factor: factor on the run time of tasks that start from now on.
    :param leaving: whether the server announces that it is about to go.
    :param hang: whether the server neither reads requests nor sends answers; what
        arrives in the meantime is handled when the fault ends.
    :param delay_answer_ms: delay of an answer after the request took effect.
    """

    fails_everything: bool = False
    straggle_factor: float = 1.0
    leaving: bool = False
    hang: bool = False
    delay_answer_ms: float = 0.0


class StartCounts:
    """Count the starts of every task, to find tasks that were started twice."""

    def __init__(self) -> None:
        self.count_by_task: Counter[tuple[str, int]] = Counter()

    def add(self, submission: str, task: int) -> None:
        """Count one start."""
        self.count_by_task[submission, task] += 1

    def as_json(self) -> dict[str, int]:
        """Return the sums."""
        starts = self.count_by_task.total()
        distinct = len(self.count_by_task)
        return {"starts": starts, "distinct": distinct, "duplicates": starts - distinct}

    def starts(self) -> list[tuple[str, int]]:
        """List every start, a task that was started twice also twice."""
        return list(self.count_by_task.elements())


class HangGate:
    """Hold up requests and answers while a stand-in hangs."""

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
        """Wait until the stand-in does not hang."""
        if not self._open.is_set():
            await self._open.wait()


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(json.dumps(value), status, media_type="application/json")


def error_response(status: int, reason: str) -> Response:
    """Return a JSON answer that reports an error."""
    return json_response({"error": reason}, status)


def invalid_response(error: ValidationError) -> Response:
    """Return the answer to a body that does not validate."""
    return error_response(422, "; ".join(describe_errors(error)))


async def changed_faults(request: Request, faults: F) -> F:
    """Apply the body of a control request to fault settings.

    :raises ValidationError: when the body holds an unknown member or a wrong type.
    """
    change = type(faults).model_validate_json(await request.body())
    return faults.model_copy(update=change.model_dump(exclude_unset=True))


class ControlledServer(Generic[B]):
    """Hold what the control routes of workers and executors share.

    :param faults: the fault settings at the start.
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
    """Read the whole body of a request.

    :returns: the body, or None when the connection broke before its end.
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
    """Close the connection of a request without an answer."""
    scope[ABORT_KEY]()
