"""Stand-in for an executor: runs single requests in a fixed number of slots, in FIFO order."""

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from redwingport_messages.backend import (
    HEADER_ATTEMPT,
    HEADER_LOAD,
    HEADER_SUBMISSION,
    HEADER_TASK,
    ExecutorLoad,
    format_load,
)
from redwingport_testbed.standins.common import (
    BackendFaults,
    ControlledServer,
    json_response,
    read_body,
)
from redwingport_testbed.standins.worker import padded

MAX_CONNECTIONS = 60
_ECHOED = tuple(name.lower().encode() for name in (HEADER_SUBMISSION, HEADER_TASK, HEADER_ATTEMPT))


class RequestBody(BaseModel):
    """Describe the work of a request.

    :param work_ms: run time at speed 1, in milliseconds.
    :param token: value that the answer echoes.
    :param fail: whether the request is answered with status 500 after its run time.
    :param result_bytes: size to which the answer's body is padded; 0 for no padding.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    work_ms: float = Field(default=50.0, ge=0)
    token: Any = None
    fail: bool = False
    result_bytes: int = 0


class ExecutorFaults(BackendFaults):
    """Define the faults of an executor.

    :param truncate: whether answers declare a longer body than they have.
    :param wrong_echo: whether answers echo a submission id other than the request's.
    """

    truncate: bool = False
    wrong_echo: bool = False


@dataclass(frozen=True, slots=True)
class ExecutorSettings:
    """Store the settings of an executor.

    :param name: name of the VM.
    :param slots: number of requests it runs concurrently.
    :param speed: work done per unit of time; the run time is ``work_ms / speed``.
    """

    name: str
    slots: int = 8
    speed: float = 1.0


class Executor(ControlledServer[ExecutorFaults]):
    """Simulate one executor."""

    def __init__(self, settings: ExecutorSettings) -> None:
        self.settings = settings
        super().__init__(ExecutorFaults())
        self.counts: Counter[str] = Counter()
        self._slots = anyio.Semaphore(settings.slots)
        self._queued = 0
        self._active = 0
        self.app = Starlette(
            routes=[
                Route("/operations/{operation}", _Operations(self), methods=["POST"]),
                Route("/control/counts", self._get_counts),
                Route("/control/starts", self._get_starts),
                Route("/control/faults", self._set_faults, methods=["POST"]),
            ]
        )

    def load(self) -> ExecutorLoad:
        """Return the load that answers report."""
        return ExecutorLoad(self.settings.slots, self._active, self._queued, self.faults.leaving)

    async def run(self, submission: str, task: int, body: RequestBody) -> bool:
        """Run a request as soon as a slot is free.

        :returns: whether it succeeded.
        """
        if self.faults.fails_everything:
            self.starts.add(submission, task)
            return False
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        self._active += 1
        try:
            self.starts.add(submission, task)
            run_s = body.work_ms / 1_000 / self.settings.speed * self.faults.straggle_factor
            await anyio.sleep(run_s)
        finally:
            self._active -= 1
            self._slots.release()
        return not body.fail

    async def _get_counts(self, request: Request) -> Response:
        counts = {"messages": 0, "done": 0, "failed": 0} | self.counts
        ended = {name: counts.pop(name) for name in ("done", "failed")}
        load = {"running": self._active, "queued": self._queued, "declines": 0}
        return json_response(self.starts.as_json() | counts | load | {"ended": ended})


class _Operations:
    """Answer requests; a lost connection does not stop a request that was read completely."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        executor = self._executor
        executor.counts["messages"] += 1
        body = await read_body(receive)
        await executor.gate.wait_until_open()
        if body is None:
            return
        echoed = {name: value for name, value in scope["headers"] if name in _ECHOED}
        submission = echoed.get(_ECHOED[0], b"").decode("latin-1")
        task = int(echoed.get(_ECHOED[1], b"0"))
        work = _parse(body)
        done = await executor.run(submission, task, work)
        executor.counts["done" if done else "failed"] += 1
        faults = executor.faults
        if faults.delay_answer_ms:
            await anyio.sleep(faults.delay_answer_ms / 1_000)
        await executor.gate.wait_until_open()
        if faults.wrong_echo:
            echoed[_ECHOED[0]] = b"another.vm.0000000000000000.1.0000000000000000"
        operation = scope["path_params"]["operation"]
        content = json.dumps(
            padded({"token": work.token, "operation": operation}, work.result_bytes),
            separators=(",", ":"),
        ).encode()
        length = len(content) * (2 if faults.truncate else 1)
        headers = [
            *echoed.items(),
            (b"content-type", b"application/json"),
            (b"content-length", str(length).encode()),
            (HEADER_LOAD.lower().encode(), format_load(executor.load()).encode()),
        ]
        status = 200 if done else 500
        await send({"type": "http.response.start", "status": status, "headers": headers})
        # The server closes the connection after an incomplete response.
        more = faults.truncate
        await send({"type": "http.response.body", "body": content, "more_body": more})


def _parse(body: bytes) -> RequestBody:
    try:
        return RequestBody.model_validate_json(body)
    except ValidationError:
        return RequestBody()
