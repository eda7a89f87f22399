"""A small deployment on loopback for the second review; standard library only.

Stand-ins: the platform's store, executors, a platform that writes settings files, clients, and a
relay between the project's processes. All of them run in this process; the project's programs run
as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any, Callable
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOLD_MAX_MS = 1000
STOP_MS = 50
CANCEL_MS = 3000
READY_TIMEOUT_S = 20.0

# Below the range of ephemeral ports, so that no connection takes a port before its use.
_ports = itertools.count(12000 + os.getpid() % 60 * 250)


def free_port() -> int:
    """Return a port on which nothing listens."""
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


class Record:
    """Write what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()
        self.entries: list[dict[str, Any]] = []

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def note(self, what: str, **fields: Any) -> dict[str, Any]:
        entry = {"at": round(self.now(), 4), "what": what, **fields}
        self.entries.append(entry)
        if self._file.closed:
            return entry
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{entry['at']:9.4f} {what} {text}\n")
        self._file.flush()
        return entry

    def find(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        return [
            entry
            for entry in self.entries
            if entry["what"] == what and all(entry.get(k) == v for k, v in fields.items())
        ]

    def close(self) -> None:
        self._file.close()


# HTTP

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], bytes], Any]


class HttpServer:
    """Serve HTTP/1.1 with keep-alive; the handler returns a status and a JSON body.

    A handler that returns None leaves the request unanswered and the channel silent.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port)

    def close(self, reset: bool = True) -> None:
        """Stop to listen, and close all channels at once."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    continue
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


# Store


class Store:
    """The platform's store: rows, conditional transactions and the feed."""

    def __init__(self) -> None:
        self.port = free_port()
        self._server = HttpServer(self._answer)
        self._ver = 1
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._started_at = time.monotonic()
        # Rewrites values as they are read; for the relay between processes.
        self.rewrite: Callable[[str, str, bytes], bytes] | None = None

    async def start(self) -> None:
        await self._server.listen(self.port)

    def close(self) -> None:
        self._server.close()

    def put(self, table: str, key: str, value: Any) -> None:
        self._apply([{"table": table, "part": "", "key": key, "value": _encode(value)}], [])

    def remove(self, table: str, key: str) -> None:
        if (table, "", key) in self._rows:
            self._apply([], [{"table": table, "part": "", "key": key}])

    def _apply(self, puts: list[dict[str, Any]], removes: list[dict[str, Any]]) -> None:
        self._ver += 1
        for row in puts:
            place = (row["table"], row.get("part", ""), row["key"])
            stored = dict(zip(("table", "part", "key"), place, strict=True))
            stored |= {"value": row["value"], "ver": self._ver}
            self._rows[place] = stored
            self._changes.append(stored)
        for row in removes:
            place = (row["table"], row.get("part", ""), row["key"])
            if self._rows.pop(place, None) is not None:
                dropped = dict(zip(("table", "part", "key"), place, strict=True))
                self._changes.append(dropped | {"ver": self._ver, "tombstone": True})
        self._changed.set()
        self._changed = asyncio.Event()

    def _now_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000)

    def _show(self, row: dict[str, Any]) -> dict[str, Any]:
        if self.rewrite is None or "value" not in row:
            return row
        value = self.rewrite(row["table"], row["key"], base64.b64decode(row["value"]))
        return row | {"value": base64.b64encode(value).decode()}

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        path, _, query_text = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query_text, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        if path == "/rows-get":
            return self._get(query)
        if path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body: dict[str, Any]) -> Answer:
        for row in body.get("expected", []):
            known = self._rows.get((row["table"], row.get("part", ""), row["key"]))
            if (known["ver"] if known else 0) != row["ver"]:
                rows = [known] if known else []
                return 412, {"rows": rows, "ver": self._ver, "nowMs": self._now_ms()}
        entries = [*body.get("puts", []), *body.get("remove", [])]
        if any(row["table"] in ("op", "servers") for row in entries):
            return 403, {}
        self._apply(body.get("puts", []), body.get("remove", []))
        return 200, {"ver": self._ver, "nowMs": self._now_ms()}

    def _get(self, query: dict[str, str]) -> Answer:
        limit = min(int(query.get("limit", 500)), 500)
        found = [
            self._show(row)
            for (table, part, key), row in sorted(self._rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and (not query.get("to") or key < query["to"])
        ]
        more = len(found) > limit
        return 200, {
            "rows": found[:limit], "hasMore": more, "ver": self._ver, "nowMs": self._now_ms()
        }

    async def _feed(self, query: dict[str, str]) -> Answer:
        position = int(query["dependsOn"])
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [
                self._show(row)
                for row in self._changes
                if row["ver"] > position and row["table"] == query["table"]
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, "ver": self._ver, "nowMs": self._now_ms()}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


def _encode(value: Any) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


# Executors


class Run:
    def __init__(self, task: str, number: int, spec: dict[str, Any]) -> None:
        self.task = task
        self.number = number
        self.spec = spec
        self.started_at = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None
        self.stopping = False

    def percent(self) -> int:
        done = (time.monotonic() - self.started_at) / self.spec["run_s"]
        return min(99, int(done * 100))


class Executor:
    """An executor as PROTOCOL describes it: one lease, the highest epoch number, ends, room.

    The spec of a job is JSON: run_s of each task, and the cpu of the tasks of each step.

    :param labels: kind and rack.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        name: str,
        labels: list[str],
        cpu: int = 16000,
        service: str = "desk",
        zone: str = "creamery",
    ) -> None:
        self.record = record
        self.store = store
        self.name = name
        self.labels = labels
        self.cpu = cpu
        self.service = service
        self.zone = zone
        self.guards = True
        self.state = "ready"
        self.port = free_port()
        self.life = 0
        self.loses: Callable[[str, dict[str, Any]], bool] | None = None
        self._seq = 0
        self._server = HttpServer(self._answer)
        self._beat: asyncio.Task[None] | None = None
        self._begin()

    def _begin(self) -> None:
        self.life += 1
        self.born = time.time_ns() // 1_000_000
        self._zero = time.monotonic()
        self.running: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._fence = 0
        self._lease_until = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._highest: dict[str, int] = {}
        self._end_event = asyncio.Event()

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._zero) * 1000) + 1

    async def start(self) -> None:
        """Listen, and register in the store at the same moment."""
        self._write()
        await self._server.listen(self.port)
        self._beat = asyncio.create_task(self._keep_writing())

    def crash(self) -> None:
        """End this life; all that runs here is lost."""
        self.record.note("executor-crashed", id=self.name, life=self.life,
                         runs=sorted(self.running))
        if self._beat is not None:
            self._beat.cancel()
        for run in self.running.values():
            if run.timer:
                run.timer.cancel()
            self.record.note("run-ended", id=self.name, life=self.life, task=run.task,
                             run=run.number, how="crashed")
        if self._lease_timer:
            self._lease_timer.cancel()
        self.running = {}
        self._server.close()

    async def start_again(self, labels: list[str] | None = None) -> None:
        """Begin a new life under the same id and at the same address."""
        if labels is not None:
            self.labels = labels
        self._begin()
        self._server = HttpServer(self._answer)
        self.record.note("executor-born", id=self.name, life=self.life, born=self.born,
                         labels=",".join(self.labels))
        await self.start()

    def close(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        self._server.close()

    async def _keep_writing(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            self._write()

    def _write(self) -> None:
        self._seq += 1
        self.store.put("servers", self.name, {
            "service": self.service, "addr": f"{HOST}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpus": 0}, "labels": self.labels,
            "clockMs": self.clock_ms(), "seq": self._seq, "born": self.born,
        })

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body_text: bytes
    ) -> Answer | None:
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        body = json.loads(body_text or b"{}")
        life = self.life
        silent = self.loses is not None and self.loses(target, body)
        status, answer = 200, {}
        if body.get("fenceToken", 0) < self._fence:
            status, answer = 409, {"reason": "fence"}
        else:
            self._fence = max(self._fence, body.get("fenceToken", 0))
            if target == "/hold":
                answer = await self._hold(body)
            elif target == "/run-start":
                status, answer = self._start(body)
            elif target == "/run-stop":
                self._stop(body)
            else:
                status = 404
        if silent or life != self.life:
            return None
        return status, answer | {"clockMs": self.clock_ms(), "born": self.born}

    async def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        self._extend(body.get("deadlineMs", 0))
        self._ended = [end for end in self._ended if end[0] > body.get("acked", 0)]
        ends_at = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self._ended and (left_s := ends_at - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._end_event.wait(), left_s)
            except TimeoutError:
                pass
        running = [[r.task, r.number, "", r.percent()] for r in self.running.values()]
        return {"running": running, "ended": self._ended[:500]}

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, {}
        reason = ""
        spec = json.loads(body["spec"])
        if body["deadlineMs"] <= self.clock_ms():
            reason = "late"
        elif known is not None or number <= self._highest.get(task, 0):
            reason = "old"
        elif self.guards and self._used() + _cpu_of(task, spec) > self.cpu:
            reason = "room"
        if reason != "late":
            self._extend(body["deadlineMs"])
        if reason:
            self.record.note("start-rejected", id=self.name, life=self.life, task=task, run=number,
                             reason=reason)
            return 409, {"reason": reason}
        run = Run(task, number, spec)
        self.running[task] = run
        self.record.note("run-started", id=self.name, life=self.life, task=task, run=number,
                         labels=",".join(self.labels), spec=body["spec"].replace(" ", ""))
        run.timer = asyncio.get_running_loop().call_later(
            spec["run_s"], self._end, run, "failed" if spec.get("fail") else "done"
        )
        return 200, {}

    def _used(self) -> int:
        return sum(_cpu_of(run.task, run.spec) for run in self.running.values())

    def _stop(self, body: dict[str, Any]) -> None:
        task, number = body["task"], body["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            if run.timer:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_MS / 2000, self._end, run, "stopped")

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        self.record.note("run-ended", id=self.name, life=self.life, task=run.task, run=run.number,
                         how=how)
        self._end_event.set()
        self._end_event = asyncio.Event()

    def _extend(self, until_ms: int) -> None:
        """Take a later end of the lease, at most the longest one; everything ends with it."""
        until = min(until_ms, self.clock_ms() + HOLD_MAX_MS)
        if until <= self._lease_until:
            return
        self._lease_until = until
        if self._lease_timer:
            self._lease_timer.cancel()
        left_s = (until - self.clock_ms()) / 1000
        self._lease_timer = asyncio.get_running_loop().call_later(max(0, left_s), self._lapse)

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, "lapsed")


def _cpu_of(task: str, spec: dict[str, Any]) -> int:
    """Return the cpu of a task ID.K.STEP.INDEX."""
    return spec["cpu"][int(task.split(".")[2])]


# The project's processes


def _fill(template: str, fields: dict[str, Any]) -> str:
    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)

    return re.sub(r"\{\{([a-zA-Z0-9_.]+)\}\}", value, template)


class Node:
    """One process of the project, with the command and the template of the deploy file."""

    def __init__(
        self, folder: Path, name: str, zone: str, cores: float, store: Store, record: Record
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self.name = name
        self.zone = zone
        self.record = record
        self.ports = {key: free_port() for key in ("front", "ready", "peers", "metrics")}
        fields = {
            "node": name, "zone": zone, "region": "piedmont", "ip": HOST,
            "limits": {"cores": cores, "cpuShare": 0.537},
            "listen": {key: f"{HOST}:{self.ports[key]}" for key in ("front", "ready")},
            "portRange": [self.ports["peers"], self.ports["metrics"]],
            "platform": {"addr": f"{HOST}:{store.port}"},
            "bounds": {
                "holdMaxMs": HOLD_MAX_MS, "stopMs": STOP_MS, "graceS": 6, "farFactor": 1.5
            },
        }
        self._settings = folder / f"{name}.settings"
        self._settings.write_text(_fill((ROOT / role["template"]).read_text(), fields))
        self.log = folder / f"{name}.log"
        self._command = role["run"].split()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"), "REDWINGPORT_NODE_FILE": str(self._settings)
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.record.note("process-started", name=self.name)

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.note("signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def events(self, name: str) -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{"):
                fields = json.loads(line)
                if fields.get("event") == name:
                    found.append(fields)
        return found


# Clients


async def request(
    port: int, method: str, path: str, body: Any = None, limit_ms: int = 1500
) -> Answer:
    """Send one request on a channel of its own; status 0 for a broken channel or no response.

    Cancelling it resets the channel.
    """
    data = json.dumps(body).encode() if body is not None else b""
    writer = None
    try:
        async with asyncio.timeout(limit_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(HOST, port)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: {limit_ms}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            head_text = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head_text.split("\r\n")
            headers = {
                name.lower(): value for name, _, value in (line.partition(": ") for line in lines)
            }
            content = await reader.readexactly(int(headers.get("content-length", 0)))
            return int(first.split()[1]), json.loads(content or b"{}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    except asyncio.CancelledError:
        if writer is not None:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        raise
    finally:
        if writer is not None:
            writer.close()


class Site:
    """Store, executors and processes of one script."""

    def __init__(self, folder: Path, record_path: Path) -> None:
        self.folder = folder
        self.record = Record(record_path)
        self.store = Store()
        self.executors: list[Executor] = []
        self.nodes: list[Node] = []
        self._ids = itertools.count(0x5C0E7A21D94B0001)

    def manifest(self, version: int, **changes: Any) -> None:
        route = {
            "name": "queue", "host": "desk.example", "pathPrefix": "/jobs/", "kind": "mutating",
            "timeoutMs": 15000, "sloMs": 60, "priority": 0, "service": "desk", "attempts": 3,
            "stretch": 10,
        } | changes
        self.store.put("op", "config", {
            "version": version, "routes": [route],
            "services": [{
                "name": "desk", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1",
                "tls": False, "admissionCheck": True, "standby": False,
            }],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        })

    def add_executor(self, labels: list[str], **options: Any) -> Executor:
        name = f"i-{len(self.executors):04x}"
        executor = Executor(self.record, self.store, name, labels, **options)
        self.executors.append(executor)
        return executor

    def add_node(self, zone: str, cores: float) -> Node:
        name = f"front-{zone}-{len(self.nodes)}"
        node = Node(self.folder, name, zone, cores, self.store, self.record)
        self.nodes.append(node)
        return node

    async def start(self) -> None:
        await self.store.start()
        self.manifest(1)
        for executor in self.executors:
            await executor.start()
        for node in self.nodes:
            node.start()
        await self.ready()

    async def ready(self) -> None:
        """Wait until all processes are ready.

        :raises TimeoutError: when one isn't in time, so that the case can't run.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                while (await request(node.ports["ready"], "GET", "/readyz"))[0] != 200:
                    await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    def owner(self) -> Node:
        """Return the process that owns the executors, by the processes' logs."""
        changes = [
            (event["term"], number)
            for number, node in enumerate(self.nodes)
            for event in node.events("owner-changed")
            if event["is_self"]
        ]
        return self.nodes[max(changes)[1]]

    def new_id(self) -> str:
        return f"{next(self._ids):016x}"

    async def submit(
        self,
        node: Node,
        job_id: str,
        steps: dict[str, Any] | list[dict[str, Any]],
        run_s: float,
        limit_ms: int,
    ) -> Answer:
        """Submit a job of one step or several; each task takes run_s."""
        phases = steps if isinstance(steps, list) else [steps]
        spec = json.dumps({"run_s": run_s, "cpu": [step.get("cpu", 0) for step in phases]})
        body = {"spec": spec, "phases": phases, "bestEffort": True}
        self.record.note("post-sent", job=job_id, node=node.name, zone=node.zone,
                         steps=json.dumps(phases).replace(" ", ""))
        status, answer = await request(
            node.ports["front"], "POST", f"/jobs/{job_id}", body, limit_ms
        )
        self.record.note("post-answered", job=job_id, node=node.name, status=status, body=answer)
        return status, answer

    async def cancel(self, node: Node, job_id: str) -> Answer:
        self.record.note("delete-sent", job=job_id, node=node.name, zone=node.zone)
        status, answer = await request(node.ports["front"], "DELETE", f"/jobs/{job_id}")
        self.record.note("delete-answered", job=job_id, node=node.name, status=status, body=answer)
        return status, answer

    async def show(self, node: Node, job_id: str) -> Answer:
        status, answer = await request(node.ports["front"], "GET", f"/jobs/{job_id}")
        self.record.note("get-answered", job=job_id, node=node.name, status=status, body=answer)
        return status, answer

    def close(self) -> None:
        for node in self.nodes:
            node.stop()
        for executor in self.executors:
            executor.close()
        self.store.close()
        self.record.close()


def runs(record: Record) -> list[dict[str, Any]]:
    """Return all runs with their start and end, by what the executors have seen."""
    found = []
    for start in record.find("run-started"):
        ends = record.find("run-ended", id=start["id"], life=start["life"], task=start["task"],
                           run=start["run"])
        found.append(start | {"end": ends[0]["at"] if ends else None,
                              "how": ends[0]["how"] if ends else ""})
    return found


def main(case: Callable[[Site, bool], Any], record_path: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    import tempfile
    import traceback

    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:

        async def run() -> bool:
            site = Site(Path(folder), record_path)
            try:
                async with asyncio.timeout(110):
                    return bool(await case(site, trouble))
            finally:
                site.close()

        try:
            broken = asyncio.run(run())
        except BaseException:
            traceback.print_exc()
            sys.exit(2)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil

            shutil.copytree(folder, keep, dirs_exist_ok=True)
    sys.exit(1 if broken else 0)
