"""Stand-in for a worker: grants leases on slots and simulates tasks."""

import asyncio
import json
from collections import Counter, deque
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from redwingport_messages.backend import (
    StartAnswer,
    TaskEnd,
    TaskStatus,
    UsageReport,
    WorkerLoad,
)
from redwingport_testbed.standins.common import (
    BackendFaults,
    ControlledServer,
    error_response,
    invalid_response,
    json_response,
    read_body,
)
from redwingport_testbed.standins.worker_bodies import (
    CheckpointIn,
    StartsIn,
    StopsIn,
    TaskIn,
    ThrottleIn,
)

LEASE_MS = 3_000.0
DEFAULT_WORK_MS = 50.0
USAGE_REPORTS_PER_LINE = 32
MAX_QUEUED_USAGE_REPORTS = 1_024


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Store the settings of a worker.

    :param name: name of the VM.
    :param slots: number of tasks it runs concurrently.
    :param speed: work done per unit of time; the run time is ``work_ms / speed``.
    :param lease_ms: duration of a lease after the holder's last start, in milliseconds.
    :param usage_lag_s: delay between the end of a task and the report of its usage, in seconds.
    """

    name: str
    slots: int = 16
    speed: float = 1.0
    lease_ms: float = LEASE_MS
    usage_lag_s: float = 1.0


@dataclass(slots=True)
class _Lease:
    lease_id: str
    lapses_at: float
    hold_s: float
    idle_until: list[float] = field(default_factory=list)
    """Times at which the holds of the leased, idle slots end."""


@dataclass(slots=True)
class _Run:
    request: StartsIn
    task: TaskIn
    fails: bool
    started_at: float
    ends_at: float
    end_lines: "asyncio.Queue[bytes]"
    timer: asyncio.TimerHandle | None = None


class Worker(ControlledServer[BackendFaults]):
    """Simulate one worker.

    A slot is running, leased and idle, or free. An idle slot stays leased until its hold time
    after the end of its task is over or its lease lapses, whichever comes first.
    """

    def __init__(self, settings: WorkerSettings) -> None:
        self.settings = settings
        super().__init__(BackendFaults())
        self.counts: Counter[str] = Counter()
        self.run_by_task: dict[tuple[str, int, int], _Run] = {}
        self._lease_by_holder: dict[str, _Lease] = {}
        self._lease_counter = 0
        self._usage: deque[tuple[float, UsageReport]] = deque(maxlen=MAX_QUEUED_USAGE_REPORTS)
        self.app = Starlette(
            routes=[
                Route("/v1/starts", _Starts(self), methods=["POST"]),
                Route("/v1/stops", self._stops, methods=["POST"]),
                Route("/v1/throttle", self._throttle, methods=["POST"]),
                Route("/v1/checkpoint", self._checkpoint, methods=["POST"]),
                Route("/control/counts", self._get_counts),
                Route("/control/starts", self._get_starts),
                Route("/control/faults", self._set_faults, methods=["POST"]),
            ]
        )

    def start(self, request: StartsIn, end_lines: "asyncio.Queue[bytes]") -> StartAnswer:
        """Start as many tasks as the holder has slots available and decline the others.

        :param request: the start request.
        :param end_lines: queue for the encoded lines that report the ends of the tasks.
        :returns: the first line of the answer.
        """
        now = monotonic()
        self._remove_lapsed(now)
        known = self._lease_by_holder.get(request.holder)
        lapsed = bool(request.lease) and (known is None or known.lease_id != request.lease)
        reason = self._decline_reason(request, now)
        started: list[int] = []
        if not reason:
            count = min(len(request.tasks), self._free() + self._held(request.holder))
            if count:
                self._renew(request, now)
            for task in request.tasks[:count]:
                self._run(request, task, now, end_lines)
                started.append(task.task)
            if count < len(request.tasks):
                reason = "lease-lapsed" if lapsed and not count else "no-slot"
        declined = tuple(task.task for task in request.tasks[len(started) :])
        self.counts["declines"] += len(declined)
        lease = self._lease_by_holder.get(request.holder)
        return StartAnswer(
            submission=request.submission,
            lease=lease.lease_id if lease else "",
            lease_ms=max(0.0, (lease.lapses_at - now) * 1_000) if lease else 0.0,
            clock=now,
            started=tuple(started),
            declined=declined,
            reason=reason,
            load=self.load(request.holder),
        )

    def load(self, holder: str) -> WorkerLoad:
        """Return the load, with the held slots of one holder."""
        return WorkerLoad(
            slots=self.settings.slots,
            free=self._free(),
            held=self._held(holder),
            leaving=self.faults.leaving,
        )

    def _decline_reason(self, request: StartsIn, now: float) -> str:
        if self.faults.leaving:
            return "leaving"
        if 0 < request.start_before < now:
            return "late"
        return ""

    def _renew(self, request: StartsIn, now: float) -> None:
        lapses_at = now + self.settings.lease_ms / 1_000
        hold_s = request.hold_ms / 1_000
        lease = self._lease_by_holder.get(request.holder)
        if lease is None:
            self._lease_counter += 1
            lease_id = f"{self.settings.name}-{self._lease_counter}"
            self._lease_by_holder[request.holder] = _Lease(lease_id, lapses_at, hold_s)
        else:
            lease.lapses_at = lapses_at
            lease.hold_s = hold_s

    def _remove_lapsed(self, now: float) -> None:
        for holder, lease in list(self._lease_by_holder.items()):
            if lease.lapses_at <= now:
                del self._lease_by_holder[holder]
            elif lease.idle_until:
                lease.idle_until = [until for until in lease.idle_until if until > now]

    def _held(self, holder: str) -> int:
        lease = self._lease_by_holder.get(holder)
        return len(lease.idle_until) if lease else 0

    def _free(self) -> int:
        idle = sum(len(lease.idle_until) for lease in self._lease_by_holder.values())
        return self.settings.slots - len(self.run_by_task) - idle

    def _run(
        self, request: StartsIn, task: TaskIn, now: float, end_lines: "asyncio.Queue[bytes]"
    ) -> None:
        lease = self._lease_by_holder[request.holder]
        if lease.idle_until:
            lease.idle_until.pop()
        self.starts.add(request.submission, task.task)
        payload = task.payload if isinstance(task.payload, dict) else {}
        fails = self.faults.fails_everything or payload.get("fail") is True
        work_ms = float(payload.get("work_ms", DEFAULT_WORK_MS))
        run_s = work_ms / 1_000 / self.settings.speed * self.faults.straggle_factor
        if self.faults.fails_everything:
            run_s = 0.0
        run = _Run(request, task, fails, now, now + run_s, end_lines)
        key = (request.submission, task.task, task.attempt)
        if key in self.run_by_task:
            # A duplicate of a running attempt is counted and runs under a unique key.
            key = (request.submission, task.task, -self.starts.count_by_task.total())
        self.run_by_task[key] = run
        self._schedule(key, run)

    def _schedule(self, key: tuple[str, int, int], run: _Run) -> None:
        if run.timer is not None:
            run.timer.cancel()
        loop = asyncio.get_running_loop()
        status = TaskStatus.FAILED if run.fails else TaskStatus.DONE
        delay_s = max(0.0, run.ends_at - monotonic())
        run.timer = loop.call_later(delay_s, self._end, key, status)

    def _end(self, key: tuple[str, int, int], status: TaskStatus) -> None:
        run = self.run_by_task.pop(key)
        if run.timer is not None:
            run.timer.cancel()
        now = monotonic()
        self._remove_lapsed(now)
        holder = run.request.holder
        lease = self._lease_by_holder.get(holder)
        if lease is not None and lease.hold_s > 0:
            lease.idle_until.append(now + lease.hold_s)
        self.counts[str(status)] += 1
        run_ms = (now - run.started_at) * 1_000
        line = TaskEnd(
            submission=run.request.submission,
            task=run.task.task,
            attempt=run.task.attempt,
            status=status,
            result=_result(run.task) if status is TaskStatus.DONE else None,
            run_ms=run_ms,
            load=self.load(holder),
            usage=self._usage_due(now),
        )
        self._usage.append((now + self.settings.usage_lag_s, _usage(run, run_ms)))
        run.end_lines.put_nowait(line.model_dump_json().encode() + b"\n")

    def _usage_due(self, now: float) -> tuple[UsageReport, ...]:
        due: list[UsageReport] = []
        while self._usage and self._usage[0][0] <= now and len(due) < USAGE_REPORTS_PER_LINE:
            due.append(self._usage.popleft()[1])
        return tuple(due)

    def _keys(self, submission: str, tasks: tuple[int, ...]) -> list[tuple[str, int, int]]:
        wanted = set(tasks)
        return [key for key in self.run_by_task if key[0] == submission and key[1] in wanted]

    async def _stops(self, request: Request) -> Response:
        self.counts["messages"] += 1
        await self.gate.wait_until_open()
        try:
            body = StopsIn.model_validate_json(await request.body())
        except ValidationError as error:
            return invalid_response(error)
        keys = self._keys(body.submission, body.tasks)
        for key in keys:
            self._end(key, TaskStatus.STOPPED)
        return json_response({"stopped": [key[1] for key in keys]})

    async def _throttle(self, request: Request) -> Response:
        self.counts["messages"] += 1
        await self.gate.wait_until_open()
        try:
            body = ThrottleIn.model_validate_json(await request.body())
        except ValidationError as error:
            return invalid_response(error)
        keys = self._keys(body.submission, (body.task,))
        now = monotonic()
        for key in keys:
            run = self.run_by_task[key]
            run.ends_at = now + (run.ends_at - now) * body.factor
            self._schedule(key, run)
        return json_response({"throttled": [key[1] for key in keys]})

    async def _checkpoint(self, request: Request) -> Response:
        self.counts["messages"] += 1
        await self.gate.wait_until_open()
        try:
            body = CheckpointIn.model_validate_json(await request.body())
        except ValidationError as error:
            return invalid_response(error)
        keys = self._keys(body.submission, (body.task,))
        if not keys:
            return error_response(404, "no such task is running")
        run = self.run_by_task[keys[0]]
        share = (monotonic() - run.started_at) / max(run.ends_at - run.started_at, 1e-6)
        return json_response({"checkpoint": f"{body.submission}/{body.task}/{share:.3f}"})

    async def _get_counts(self, request: Request) -> Response:
        counts = {"messages": 0, "declines": 0, "empty_starts": 0, "broken": 0} | self.counts
        ended = {str(status): counts.pop(str(status), 0) for status in TaskStatus}
        running = len(self.run_by_task)
        return json_response(self.starts.as_json() | counts | {"running": running, "ended": ended})


class _Starts:
    """Stream the answer to a start request.

    Tasks end on their own timers, so a lost connection stops none of them.
    """

    def __init__(self, worker: Worker) -> None:
        self._worker = worker

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        worker = self._worker
        worker.counts["messages"] += 1
        body = await read_body(receive)
        await worker.gate.wait_until_open()
        if body is None:
            return
        try:
            request = StartsIn.model_validate_json(body)
        except ValidationError as error:
            worker.counts["broken"] += 1
            await invalid_response(error)(scope, receive, send)
            return
        end_lines: asyncio.Queue[bytes] = asyncio.Queue()
        answer = worker.start(request, end_lines)
        if not answer.started:
            worker.counts["empty_starts"] += 1
        if worker.faults.delay_answer_ms:
            await asyncio.sleep(worker.faults.delay_answer_ms / 1_000)
        headers = [(b"content-type", b"application/x-ndjson")]
        await worker.gate.wait_until_open()
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await _send_lines(send, answer.model_dump_json().encode() + b"\n", not answer.started)
        left = len(answer.started)
        while left:
            lines = [await end_lines.get()]
            await worker.gate.wait_until_open()
            while not end_lines.empty():
                lines.append(end_lines.get_nowait())
            left -= len(lines)
            await _send_lines(send, b"".join(lines), left == 0)


async def _send_lines(send: Send, body: bytes, last: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": not last})


def _result(task: TaskIn) -> dict[str, Any]:
    """Return the result of a task, padded to the size that its payload requests."""
    payload = task.payload if isinstance(task.payload, dict) else {}
    result: dict[str, Any] = {"task": task.task, "token": payload.get("token")}
    return padded(result, payload.get("result_bytes"))


def padded(result: dict[str, Any], size: Any) -> dict[str, Any]:
    """Pad a result so that its JSON text has the given size, in bytes."""
    if isinstance(size, int) and size > 0:
        result["padding"] = ""
        result["padding"] = "x" * max(0, size - len(json.dumps(result, separators=(",", ":"))))
    return result


def _usage(run: _Run, run_ms: float) -> UsageReport:
    return UsageReport(
        service=run.request.service,
        declared_ms=run.task.expected_ms,
        run_ms=run_ms,
        declared_memory_mb=run.task.memory_mb,
        memory_mb=run.task.memory_mb,
        declared_cpus=run.task.cpus,
        cpus=run.task.cpus,
    )
