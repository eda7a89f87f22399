"""Stand-in for one executor, run as a process of its own.

It keeps the rules of the users' pages for leases, epoch numbers, run numbers, capacity and ends.
The ``spec`` of a task is JSON text with its run time, ``run_ms``. What happens is appended to a
log, one JSON object a line; times are of the monotonic clock, which all processes share.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import time
from dataclasses import dataclass
from typing import Any

import http_standin as http

MAX_LEASE_MS = 1000
ENDS_PER_ANSWER = 500
DRAIN_S = 2.0
# It serves a little longer than it has promised.
DRAIN_SLACK_S = 0.5


@dataclass
class Run:
    """Represent a run; times are monotonic, in seconds."""

    task: str
    number: int
    cpu: int
    ends_at: float
    started_at: float


class Executor:
    """Run tasks.

    :param options: the command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._log = open(options.log, "a", buffering=1)
        self._started_at = time.monotonic()
        self._born_ms = time.time_ns() // 1_000_000
        self._fence = 0
        self._lease_until_ms = 0
        self._runs: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._highest_run: dict[str, int] = {}
        self._sequence = 0
        self._written = 0
        self._has_ends = asyncio.Event()
        self._drains = asyncio.Event()
        self._leaves_at = 0.0

    async def run(self) -> None:
        """Serve orders, and report to the store; leave after a SIGTERM."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, self._drains.set)
        await http.serve(self._options.port, self._handle)
        self.note("up", born=self._born_ms, labels=self._options.labels)
        advancing = asyncio.create_task(self._advance_always())
        while not self._leaves_at or time.monotonic() < self._leaves_at:
            # A report that is lost is not repeated before the next one is due.
            next_at = time.monotonic() + self._options.heartbeat_ms / 1000
            self._written += 1
            status, _ = await http.request(
                self._options.store_port,
                "PUT",
                f"/entry/{self._options.id}",
                self._entry(),
                timeout_s=0.5,
            )
            self.note("reported", status=status)
            if self._drains.is_set():
                if not self._leaves_at:
                    self._leaves_at = time.monotonic() + DRAIN_S + DRAIN_SLACK_S
                next_at = min(next_at, self._leaves_at)
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            else:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._drains.wait(), max(0.001, next_at - time.monotonic())
                    )
            if advancing.done():
                raise RuntimeError("the executor stopped advancing")
        for run in list(self._runs.values()):
            self._end(run, "left")
        self.note("left")
        await http.request(self._options.store_port, "DELETE", f"/entry/{self._options.id}")

    def note(self, event: str, **fields: Any) -> None:
        """Log an event."""
        line = {"at": round(time.monotonic(), 4), "who": self._options.id, "event": event}
        self._log.write(json.dumps(line | fields) + "\n")

    def _entry(self) -> dict[str, Any]:
        left_s = self._leaves_at - time.monotonic() if self._leaves_at else DRAIN_S
        drain = {"remainingMs": max(0, int(left_s * 1000))} if self._drains.is_set() else {}
        return {
            "service": self._options.service,
            "addr": f"{http.HOST}:{self._options.listed_port or self._options.port}",
            "zone": self._options.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if drain else "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self._options.cpu, "memMb": 65536, "gpus": 0},
            "labels": self._options.labels.split(","),
            "clockMs": self._clock_ms(),
            "seq": self._written,
            "born": self._born_ms,
        } | drain

    def _clock_ms(self) -> int:
        # It starts at one, as 0 could be taken for a missing value.
        return int((time.monotonic() - self._started_at) * 1000) + 1

    async def _advance_always(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            for run in list(self._runs.values()):
                if now >= run.ends_at:
                    self._end(run, "done")
            if self._runs and self._clock_ms() >= self._lease_until_ms:
                for run in list(self._runs.values()):
                    self._end(run, "lapsed")

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any] | None:
        if target == "/healthz":
            return 200, {}
        if headers.get("expect-instance", self._options.id) != self._options.id:
            return 421, self._stamped({})
        order = json.loads(body)
        fence = order.get("fenceToken", 0)
        if fence < self._fence:
            return 409, self._stamped({"reason": "fence"})
        self._fence = fence
        if target == "/run-start":
            status, answer = self._start(order)
        elif target == "/run-stop":
            status, answer = self._stop(order)
        elif target == "/hold":
            status, answer = await self._hold(order)
        else:
            return 404, {}
        return status, self._stamped(answer)

    def _stamped(self, answer: dict[str, Any]) -> dict[str, Any]:
        return answer | {"clockMs": self._clock_ms(), "born": self._born_ms}

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _start(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = order["task"], order["run"]
        spec = json.loads(order["spec"])
        known = self._runs.get(task)
        if known is not None and known.number == number:
            return 200, {}
        reason = ""
        if order["deadlineMs"] <= self._clock_ms():
            reason = "late"
        else:
            self._extend(order["deadlineMs"])
            if known is not None or number <= self._highest_run.get(task, 0):
                reason = "old"
            elif sum(run.cpu for run in self._runs.values()) + spec["cpu"] > self._options.cpu:
                reason = "room"
        if reason:
            self.note("start-rejected", task=task, run=number, reason=reason)
            return 409, {"reason": reason}
        now = time.monotonic()
        self._runs[task] = Run(task, number, spec["cpu"], now + spec["run_ms"] / 1000, now)
        self._highest_run[task] = number
        self.note("start", task=task, run=number, token=order["fenceToken"])
        return 200, {}

    def _stop(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = order["task"], order["run"]
        self.note("stop", task=task, run=number)
        self._highest_run[task] = max(number, self._highest_run.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        return 200, {}

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._sequence += 1
        self._ended.append([self._sequence, run.task, run.number, how, ""])
        self.note("end", task=run.task, run=run.number, how=how)
        self._has_ends.set()

    async def _hold(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if "deadlineMs" in order:
            self._extend(order["deadlineMs"])
        self._ended = [end for end in self._ended if end[0] > order["acked"]]
        if not self._ended and order.get("waitMs"):
            self._has_ends.clear()
            try:
                await asyncio.wait_for(self._has_ends.wait(), order["waitMs"] / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for run in self._runs.values():
            percent = (now - run.started_at) / max(run.ends_at - run.started_at, 0.001) * 100
            running.append([run.task, run.number, "", min(int(percent), 100), run.cpu])
        return 200, {"running": running, "ended": self._ended[:ENDS_PER_ANSWER]}


def main() -> None:
    """Run the executor until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--listed-port", type=int, default=0, help="port of a relay before it")
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--service", default="desk")
    parser.add_argument("--zone", default="zone-1")
    parser.add_argument("--labels", default="a,r1-1")
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    asyncio.run(Executor(parser.parse_args()).run())


if __name__ == "__main__":
    main()
