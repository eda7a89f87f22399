"""A small deployment on loopback: store, executors, clients and the project's own processes.

Standard library only. The executors, the store and the platform behave as the users' pages say; a
case adds the disruption. Times in the record are seconds since the start of the script.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
DOMAIN = "desk.example"
PREFIX = "/queue/"
SERVICE = "route-desk"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.02
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configMs": 2000,
    "holdMaxMs": HOLD_MAX_MS, "stopMs": 50, "cancel_ms": 3000, "farFactor": 1.5,
    "retransmitMs": 1300,
}
ZONES = ["creamery", "creamery", "north-depot", "north-depot", "south-depot", "farm-office"]
STARTED_AT = time.monotonic()


def now_s() -> float:
    return time.monotonic() - STARTED_AT


class Record:
    """Write what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")

    def note(self, text: str) -> None:
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()


_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a free port, which is kept reserved for servers that set SO_REUSEADDR."""
    port = 20000 + os.getpid() % 40 * 250
    while True:
        port += 1
        holder = socket.socket()
        try:
            holder.bind((HOST, port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(holder)
        return port


class HttpService:
    """Serve HTTP/1.1 with kept-alive channels; `answer` returns a status and a JSON body."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._channel, HOST, self.port, backlog=1000)

    def close(self) -> None:
        """Refuse new channels and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        raise NotImplementedError

    async def _channel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, data = request
                method, target, _ = first.split(" ", 2)
                status, body = await self.answer(
                    method, target, headers, json.loads(data) if data else {}
                )
                writer.write(encode_response(status, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def encode_response(status: int, body: Any) -> bytes:
    data = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
        f"content-length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, data


class Store(HttpService):
    """The platform's store: rows, atomic transactions and a feed."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self._ver = 1
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        # What the system's processes write passes through this; see relays.py.
        self.rewrite: Any = None

    def put(self, table: str, key: str, value: Any, part: str = "") -> None:
        self._ver += 1
        self._put(table, part, key, base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def drop(self, table: str, key: str, part: str = "") -> None:
        self._ver += 1
        self._drop(table, part, key)
        self._wake()

    def _put(self, table: str, part: str, key: str, value: str) -> None:
        row = {"table": table, "part": part, "key": key, "value": value, "ver": self._ver}
        self._rows[table, part, key] = row
        self._changes.append(row)

    def _drop(self, table: str, part: str, key: str) -> None:
        if self._rows.pop((table, part, key), None) is not None:
            self._changes.append(
                {"table": table, "part": part, "key": key, "ver": self._ver, "tombstone": True}
            )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        rest = {"ver": self._ver, "nowMs": int(now_s() * 1000)}
        if url.path == "/rows-tx":
            return self._transact(body)
        if url.path == "/rows-get":
            rows = [
                row
                for (table, part, key), row in sorted(self._rows.items())
                if table == query["table"]
                and part == query.get("part", "")
                and key >= query.get("from", "")
                and ("to" not in query or key < query["to"])
            ]
            return 200, {"rows": rows[:500], "hasMore": len(rows) > 500, **rest}
        if url.path == "/rows-feed":
            return await self._feed(query)
        return 400, rest

    def _transact(self, body: Any) -> tuple[int, Any]:
        puts, remove = body.get("puts", []), body.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in [*puts, *remove]):
            return 403, {"ver": self._ver}
        expected = body.get("expected", [])
        found = [
            self._rows.get((row["table"], row.get("part", ""), row["key"])) for row in expected
        ]
        if any(
            (row["ver"] if row else 0) != wanted["ver"]
            for row, wanted in zip(found, expected, strict=True)
        ):
            return 412, {"rows": [row for row in found if row], "ver": self._ver}
        self._ver += 1
        for row in puts:
            value = row["value"]
            if self.rewrite is not None:
                value = base64.b64encode(self.rewrite(base64.b64decode(value))).decode()
            self._put(row["table"], row.get("part", ""), row["key"], value)
        for row in remove:
            self._drop(row["table"], row.get("part", ""), row["key"])
        self._wake()
        return 200, {"ver": self._ver, "nowMs": int(now_s() * 1000)}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        position = int(query["dependsOn"])
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row["ver"] > position and row["table"] == query["table"]
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                rest = {"ver": self._ver, "nowMs": int(now_s() * 1000)}
                return 200, {"rows": rows, **rest}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Run:
    """One run of a task on an executor; the spec tells how long it works."""

    def __init__(self, task: str, number: int, spec: str) -> None:
        self.task, self.number, self.spec = task, number, spec
        details = json.loads(spec)
        self.cpu: int = details["cpu"]
        self.work_s: float = details["ms"] / 1000
        self.started_at = time.monotonic()
        self.stopping = False


class Executor(HttpService):
    """An executor as PROTOCOL describes it. All that it starts is kept in `starts`."""

    def __init__(
        self, site: "Site", server_id: str, zone: str, kind: str, rack: str, cpu: int
    ) -> None:
        super().__init__(free_port())
        self.site, self.server_id, self.zone = site, server_id, zone
        self.kind, self.rack, self.cpu = kind, rack, cpu
        self.stop_s = STOP_S
        self.draining = False
        self.listed = False
        self._seq = 0
        self._begin_life()

    def _begin_life(self) -> None:
        self._clock_from = time.monotonic()
        self.born = int(time.time() * 1000)
        self._fence = 0
        self._lease_ms = 0
        self.running: dict[str, Run] = {}
        self._ended: list[list[Any]] = []
        self._end_number = 0
        self._highest: dict[str, int] = {}
        self._news = asyncio.Event()
        self._seq = 0

    # Life

    async def begin(self) -> None:
        """Listen, and register in the store at once."""
        await self.open()
        self.report()

    def report(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        self.listed = True
        entry: dict[str, Any] = {
            "service": SERVICE, "addr": f"{HOST}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0, "seq": self._seq, "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpus": 0},
            "labels": [self.kind, self.rack],
        }
        if self.draining:
            entry["remainingMs"] = BOUNDS["drainMs"]
        self.site.store.put("servers", self.server_id, entry)

    def crash(self) -> None:
        """End this life without a word: all runs are gone."""
        self.site.record.note(f"executor {self.server_id} crashes, running {sorted(self.running)}")
        self.close()
        for run in self.running.values():
            self.site.note_end(self, run, "crashed")
        self._begin_life()

    async def begin_again(self, kind: str, cpu: int) -> None:
        """Begin the next life at the same id and address."""
        self._begin_life()
        self.kind, self.cpu = kind, cpu
        await self.begin()
        self.site.record.note(
            f"executor {self.server_id} is back: kind {kind}, cpu {cpu}, born {self.born}; "
            "registered in the store"
        )

    async def leave(self) -> None:
        """Drain for `drainMs` and a little longer, then leave for good."""
        self.draining = True
        self.report()
        self.site.record.note(f"executor {self.server_id} ({self.kind}) reports draining")
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 0.5)
        self.close()
        self.site.store.drop("servers", self.server_id)
        self.listed = False
        self.site.record.note(f"executor {self.server_id} ({self.kind}) has left, entry removed")

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_from) * 1000)

    # Orders

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        if headers.get("expect-instance", self.server_id) != self.server_id:
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        if method == "GET":
            return (503 if self.draining else 200), {}
        self.advance()
        born = self.born
        if body.get("fenceToken", 0) < self._fence:
            return 409, self._say(reason="fence")
        self._fence = body.get("fenceToken", 0)
        if target == "/run-start":
            status, reason = self._start(body)
            return status, self._say(**({"reason": reason} if reason else {}))
        if target == "/run-stop":
            self._stop(body["task"], body["run"])
            return 200, self._say()
        if target == "/hold":
            self._ended = [end for end in self._ended if end[0] > body.get("acked", 0)]
            if "deadlineMs" in body:
                self._extend(body["deadlineMs"])
            until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
            while not self._ended and born == self.born:
                left_s = until - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._news.wait(), left_s)
                except TimeoutError:
                    pass
            self.advance()
            running = [
                [run.task, run.number, "", self._percent(run)] for run in self.running.values()
            ]
            return 200, self._say(running=running, ended=self._ended[:500])
        return 400, self._say()

    def _say(self, **fields: Any) -> dict[str, Any]:
        return {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline_ms: int) -> None:
        self._lease_ms = max(self._lease_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    def _start(self, body: Any) -> tuple[int, str]:
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.number == number and not present.stopping:
            return 200, ""
        if body["deadlineMs"] <= self.clock_ms():
            return 409, "late"
        self._extend(body["deadlineMs"])
        if present is not None or number <= self._highest.get(task, 0):
            return 409, "old"
        run = Run(task, number, body["spec"])
        if sum(other.cpu for other in self.running.values()) + run.cpu > self.cpu:
            return 409, "room"
        self.running[task] = run
        self.site.note_start(self, run)
        asyncio.get_running_loop().call_later(run.work_s, self.advance)
        return 200, ""

    def _stop(self, task: str, number: int) -> None:
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(self.stop_s, self._end, run, "stopped")

    def _percent(self, run: Run) -> int:
        return min(100, int((time.monotonic() - run.started_at) / run.work_s * 100))

    def advance(self) -> None:
        """End the runs that are done, and everything when the lease has expired."""
        now = time.monotonic()
        for run in list(self.running.values()):
            if not run.stopping and now >= run.started_at + run.work_s - 0.0005:
                self._end(run, "done")
        if self.running and self.clock_ms() >= self._lease_ms:
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._end_number += 1
        self._ended.append([self._end_number, run.task, run.number, how, ""])
        self.site.note_end(self, run, how)
        self._news.set()
        self._news = asyncio.Event()


class Node:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, site: "Site", name: str, zone: str) -> None:
        self.site, self.name, self.zone = site, name, zone
        self.front, self.ready, first, second = (free_port() for _ in range(4))
        self.peers = first
        self._settings = site.folder / f"{name}.ini"
        self.log = site.folder / f"{name}.log"
        fields = {
            "node": name, "zone": zone, "region": "piedmont", "ip": HOST,
            "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
            "portRange": [first, second], "platform": {"addr": f"{HOST}:{site.store.port}"},
            "bounds": BOUNDS, "limits": {"cores": 2, "cpuShare": 0.537},
        }
        self._settings.write_text(render(site.template, fields))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["REDWINGPORT_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.site.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def render(template: str, fields: Any) -> str:
    """Fill in the placeholders of a settings template that name a value."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)

    return re.sub(r"\{\{([A-Za-z_0-9.]+)\}\}", value, template)


class Site:
    """The deployment, and what its executors have seen."""

    def __init__(self, folder: Path, record: Record) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.folder, self.record = folder, record
        self.store = Store(free_port())
        self.executor_type = Executor
        self.executors: list[Executor] = []
        self.nodes: list[Node] = []
        # Called when the processes are known and haven't started.
        self.before_start: Any = None
        # Of each start: time, executor, its labels at that moment, the run; of each end likewise.
        self.starts: list[tuple[float, Executor, tuple[str, str], Run]] = []
        self.ends: list[tuple[float, Executor, Run, str]] = []
        self._tasks: list[asyncio.Task[Any]] = []

    def note_start(self, executor: Executor, run: Run) -> None:
        self.starts.append((now_s(), executor, (executor.kind, executor.rack), run))
        self.record.note(
            f"start {run.task} run {run.number} on {executor.server_id} "
            f"(kind {executor.kind}, rack {executor.rack})"
        )

    def note_end(self, executor: Executor, run: Run, how: str) -> None:
        self.ends.append((now_s(), executor, run, how))
        self.record.note(f"end   {run.task} run {run.number} on {executor.server_id}: {how}")

    async def begin(
        self, kinds: list[str], cpus: list[int], nodes: int = 6, timeout_ms: int = 0
    ) -> None:
        """Start the store, the executors and the processes, and wait until all are ready."""
        await self.store.open()
        self.configure(1, timeout_ms)
        for number, (kind, cpu) in enumerate(zip(kinds, cpus, strict=True)):
            executor = self.executor_type(
                self, f"i-{number:02}", ZONES[number % nodes], kind, f"r-{number // 6}", cpu
            )
            self.executors.append(executor)
            await executor.begin()
        for number in range(nodes):
            node = Node(self, f"front-{number + 1}", ZONES[number])
            self.nodes.append(node)
        if self.before_start is not None:
            await self.before_start()
        for node in self.nodes:
            node.start()
        self.spawn(self._beat())
        for node in self.nodes:
            await self.wait_ready(node)
        self.record.note(f"{nodes} processes are ready")

    def configure(self, version: int, timeout_ms: int) -> None:
        route = {
            "name": "stop-check", "host": DOMAIN, "pathPrefix": PREFIX, "kind": "mutating",
            "service": SERVICE, "timeoutMs": timeout_ms, "sloMs": 60, "priority": 0,
            "attempts": 3, "stretch": 1.6,
        }
        service = {"name": SERVICE, "admissionCheck": True}
        self.store.put(
            "op", "config",
            {
                "version": version, "routes": [route], "services": [service],
                "limits": {"maxBodyBytes": 262144},
            },
        )
        self.record.note(f"manifest {version} written")

    async def wait_ready(self, node: Node, within_s: float = 25.0) -> None:
        until = time.monotonic() + within_s
        while (await request(node.ready, "GET", "/readyz", None, 1000))[0] != 200:
            if time.monotonic() > until:
                raise RuntimeError(f"{node.name} is not ready: {node.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors:
                if executor.listed and executor._server is not None:
                    executor.report()

    def spawn(self, work: Any) -> "asyncio.Task[Any]":
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def post(
        self, node: Node, job_id: str, body: Any, deadline_ms: int, note: str = ""
    ) -> tuple[int, Any]:
        """Submit a job as a client does, and record the answer."""
        self.record.note(f"POST {job_id} to {node.name}{note}")
        status, answer = await request(
            node.front, "POST", PREFIX + job_id, body, deadline_ms
        )
        self.record.note(f"POST {job_id} at {node.name}{note}: answer {status} {answer}")
        return status, answer

    def end(self) -> None:
        for node in self.nodes:
            node.end()
        for task in self._tasks:
            task.cancel()
        for executor in self.executors:
            executor.close()
        self.store.close()


async def request(
    port: int, method: str, target: str, body: Any, deadline_ms: int
) -> tuple[int, Any]:
    """Send one request on a channel of its own; status 0 stands for no answer."""
    data = json.dumps(body).encode() if body is not None else b""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {DOMAIN}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 0.5)
        if message is None:
            return 0, {}
        return int(message[0].split()[1]), json.loads(message[2] or b"{}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


def job_body(steps: list[dict[str, Any]], ms: int, cpu: int) -> dict[str, Any]:
    """Return a job whose tasks work for `ms` on `cpu` thousandths of a core."""
    return {
        "spec": json.dumps({"ms": ms, "cpu": cpu}),
        "phases": [{"cpu": cpu, "memMb": 64, "estimateMs": ms, **step} for step in steps],
        "bestEffort": True,
    }


def play(folder: Path, case: Any) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `case` gets the site and whether to cause the disruption, and returns the breaches.
    """
    record = Record(folder)
    # A script that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as settings:
            site = Site(Path(settings), record)
            try:
                async with asyncio.timeout(110):
                    return await case(site, trouble)
            finally:
                site.end()
                if os.environ.get("KEEP_LOGS"):
                    for node in site.nodes:
                        Path(os.environ["KEEP_LOGS"], node.log.name).write_text(
                            node.log.read_text()
                        )

    try:
        breaches = asyncio.run(run())
    except BaseException as error:  # noqa: BLE001
        record.note(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    for breach in breaches:
        record.note(f"BROKEN {breach}")
        print(f"BROKEN {breach}")
    record.note("rule broken" if breaches else "rule held")
    print("rule broken" if breaches else "rule held")
    sys.exit(1 if breaches else 0)
