"""Simulated backend servers, and the processors of the owners that call them."""

import asyncio
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

import anyio
from anyio.lowlevel import checkpoint
from result import Ok, Result

from redwingport_dispatch.exceptions import OrderError
from redwingport_dispatch.interfaces import (
    EndKind,
    RunEnd,
    RunListing,
    ServerListing,
    ServerReport,
    StartOrder,
)
from redwingport_testbed.shards.workload import SERVICE

FAST_CORES = 24
SLOW_CORES = 16
FAST_SPEED = 1.7
SLOW_SPEED = 0.7
# Of so many servers one is fast.
FAST_EVERY = 3
MEMORY_MB = 65536
STOP_S = 0.05
# Share of the runs that fail on a healthy server.
FAILED_SHARE = 0.002
# The servers' clock must not be 0, which stands for an unknown time.
CLOCK_OFFSET_MS = 1_000_000


def list_servers(count: int) -> dict[str, ServerListing]:
    """Return the servers of a deployment, by id."""
    listings: dict[str, ServerListing] = {}
    for number in range(count):
        fast = number % FAST_EVERY == 0
        server_id = f"server-{number:03}"
        listings[server_id] = ServerListing(
            server_id=server_id,
            service=SERVICE,
            address="127.0.0.1:1",
            domain=f"d{number % 4}",
            cpu_millis=1000 * (FAST_CORES if fast else SLOW_CORES),
            memory_mb=MEMORY_MB,
            gpus=0,
            labels=("fast" if fast else "slow", f"rack{number // 12}"),
            draining=False,
        )
    return listings


def is_fast(listing: ServerListing) -> bool:
    """Return whether a server is of the fast kind."""
    return listing.labels[0] == "fast"


class Processor:
    """Serve the requests for processor time of one owner in order."""

    def __init__(self) -> None:
        self._busy_until = 0.0

    async def use(self, seconds: float) -> None:
        """Wait until the processor has spent some time on this request."""
        if seconds <= 0:
            return
        self._busy_until = max(self._busy_until, anyio.current_time()) + seconds
        await anyio.sleep_until(self._busy_until)


@dataclass(slots=True)
class SimulatedRun:
    """Record one run of a task.

    :param task: name of the task.
    :param number: number of the run.
    :param server_id: id of the server.
    :param fast: whether the server is fast.
    :param started_at: virtual time of its start, in seconds.
    :param ends_at: virtual time of its end, in seconds; while it is running, the time at which it
        ends if it is not stopped.
    :param end: how it ended; None while it is running.
    """

    task: str
    number: int
    server_id: str
    fast: bool
    started_at: float
    ends_at: float
    end: EndKind | None = None

    def percent(self, now: float) -> int:
        """Return the progress of the run, rounded down."""
        share = (now - self.started_at) / (self.ends_at - self.started_at)
        return math.floor(100 * min(max(share, 0.0), 1.0))


class SimulatedServer:
    """Run tasks in virtual time; a client of it as an owner sees it.

    :param listing: the server as the platform lists it.
    :param work_by_task: run time of each task at speed 1, in seconds, by name.
    :param runs_by_task: where the runs are recorded, by name of the task.
    :param processor: processor of the owner.
    :param owner_task_s: processor time that the owner needs for a task, in seconds; half of it
        before the start order is sent, half when the end is reported.
    :param exchange_s: time of an exchange, in seconds.
    :param rng: decides which runs fail.
    """

    def __init__(
        self,
        listing: ServerListing,
        work_by_task: Mapping[str, float],
        runs_by_task: dict[str, list[SimulatedRun]],
        processor: Processor,
        owner_task_s: float,
        exchange_s: float,
        rng: random.Random,
    ) -> None:
        self._server_id = listing.server_id
        self._fast = is_fast(listing)
        self._work_by_task = work_by_task
        self._runs_by_task = runs_by_task
        self._processor = processor
        self._part_s = owner_task_s / 2
        self._one_way_s = exchange_s / 2
        self._rng = rng
        self._active_by_task: dict[str, SimulatedRun] = {}
        self._ends: list[RunEnd] = []
        self._last_sequence = 0
        self._ended = anyio.Event()

    async def renew(
        self,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
        deadline: float,
    ) -> Result[ServerReport, OrderError]:
        """Return the runs once one has ended or the wait is over; see :class:`ServerClient`."""
        await anyio.sleep(self._one_way_s)
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        if not self._ends:
            self._ended = anyio.Event()
            with anyio.move_on_after(wait_ms / 1000):
                await self._ended.wait()
        now = anyio.current_time()
        runs = tuple(
            RunListing(run.task, run.number, run.percent(now))
            for run in self._active_by_task.values()
        )
        report = ServerReport(self._clock_ms(), runs=runs, ends=tuple(self._ends))
        await anyio.sleep(self._one_way_s)
        await self._processor.use(self._part_s * len(report.ends))
        return Ok(report)

    async def start(self, order: StartOrder, deadline: float) -> Result[int, OrderError]:
        """Start a task; see :class:`ServerClient`."""
        await self._processor.use(self._part_s)
        await anyio.sleep(self._one_way_s)
        now = anyio.current_time()
        run_s = self._work_by_task[order.task] / (FAST_SPEED if self._fast else SLOW_SPEED)
        run = SimulatedRun(order.task, order.number, self._server_id, self._fast, now, now + run_s)
        self._active_by_task[run.task] = run
        self._runs_by_task.setdefault(run.task, []).append(run)
        fails = self._rng.random() < FAILED_SHARE
        self._end_at(run.ends_at, run, EndKind.FAILED if fails else EndKind.DONE)
        clock_ms = self._clock_ms()
        await anyio.sleep(self._one_way_s)
        return Ok(clock_ms)

    async def stop(
        self, task: str, number: int, token: int, deadline: float
    ) -> Result[int, OrderError]:
        """Stop a run; see :class:`ServerClient`."""
        await anyio.sleep(self._one_way_s)
        run = self._active_by_task.get(task)
        if run is not None and run.number == number:
            self._end_at(anyio.current_time() + STOP_S, run, EndKind.STOPPED)
        clock_ms = self._clock_ms()
        await anyio.sleep(self._one_way_s)
        return Ok(clock_ms)

    async def aclose(self) -> None:
        """Do nothing: there is no connection."""
        await checkpoint()

    def _end_at(self, at: float, run: SimulatedRun, kind: EndKind) -> None:
        asyncio.get_running_loop().call_at(at, self._end, run, kind)

    def _end(self, run: SimulatedRun, kind: EndKind) -> None:
        if run.end is not None:
            return
        run.end, run.ends_at = kind, anyio.current_time()
        del self._active_by_task[run.task]
        self._last_sequence += 1
        self._ends.append(RunEnd(self._last_sequence, run.task, run.number, kind))
        self._ended.set()

    @staticmethod
    def _clock_ms() -> int:
        return CLOCK_OFFSET_MS + round(anyio.current_time() * 1000)
