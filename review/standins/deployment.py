"""A small deployment on loopback: stand-ins, and the project's own programs as processes.

The programs are started with the command of the deploy file, and settings that are filled into
the template of the deploy file.
"""

import asyncio
import json
import os
import re
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import http_standin as http
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
READY_TIMEOUT_S = 20.0
ROUTE_HOST = "desk.example"
ROUTE_PREFIX = "/jobs/"
VARIABLE = "REDWINGPORT_NODE_FILE"


class Site:
    """Control a deployment and record what happens in it.

    :param route: fields of the queue that differ from the usual ones.
    """

    def __init__(self, **route: Any) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="redwingport-review-"))
        self._started_at = time.monotonic()
        self._events: list[dict[str, Any]] = []
        self._children: list[subprocess.Popen[bytes]] = []
        self._executors: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._zones = ["zone-1", "zone-2", "zone-3", "zone-4"]
        self.nodes: dict[str, dict[str, Any]] = {}
        self.store = Store(HEARTBEAT_S, self.note)
        self._route = route

    def note(self, event: str, **fields: Any) -> None:
        """Record an event of the stand-ins, the client or the test."""
        self._events.append(
            {"at": round(time.monotonic(), 4), "who": "test", "event": event} | fields
        )

    async def start_store(self) -> None:
        """Start the store, and put the manifest into it."""
        await self.store.start()
        route = {
            "name": "r-1",
            "host": ROUTE_HOST,
            "pathPrefix": ROUTE_PREFIX,
            "kind": "mutating",
            "timeoutMs": 1500,
            "sloMs": 60,
            "priority": 0,
            "service": "desk",
            "attempts": 3,
            "stretch": 1.6,
        } | self._route
        service = {
            "name": "desk",
            "healthPath": "/healthz",
            "maxConns": 64,
            "protocol": "h1",
            "tls": False,
            "admissionCheck": True,
            "standby": False,
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        manifest = {"version": 7, "routes": [route], "services": [service], "limits": limits}
        self.store.put("op", "config", manifest)

    # Executors

    def start_executor(
        self, server_id: str, port: int = 0, store_port: int = 0, **options: Any
    ) -> int:
        """Start an executor; return its port.

        :param port: its port; 0 for a free one.
        :param store_port: port at which it reaches the store; 0 for that of the store.
        :param options: further options of its command line.
        """
        port = port or http.free_port()
        command = [
            sys.executable,
            "-S",
            str(ROOT / "review/standins/executor.py"),
            f"--id={server_id}",
            f"--port={port}",
            f"--store-port={store_port or self.store.port}",
            f"--log={self._folder / 'executors.log'}",
            f"--heartbeat-ms={int(HEARTBEAT_S * 1000)}",
            *(f"--{name.replace('_', '-')}={value}" for name, value in options.items()),
        ]
        process = subprocess.Popen(command, cwd=ROOT)
        self._children.append(process)
        self._executors[server_id] = process
        return port

    def kill_executor(self, server_id: str) -> None:
        """Let an executor crash."""
        self._executors[server_id].send_signal(signal.SIGKILL)
        self._executors[server_id].wait()
        self.note("executor-killed", executor=server_id)

    def drain_executor(self, server_id: str) -> None:
        """Let an executor drain and leave."""
        self._executors[server_id].send_signal(signal.SIGTERM)
        self.note("executor-drains", executor=server_id)

    # Nodes of the system

    def start_nodes(self, count: int) -> None:
        """Start nodes of the system, each in a zone of its own as far as there are zones."""
        for number in range(1, count + 1):
            # The first one has the most capacity, so that it is the one that is elected.
            share = 0.537 if number == 1 else 0.5
            self.add_node(f"front-{number}", self._zones[(number - 1) % len(self._zones)], share)

    def add_node(self, name: str, zone: str, share: float = 0.5) -> None:
        """Start a node that is new to the system."""
        self.nodes[name] = {
            "node": name,
            "zone": zone,
            "region": "region-1",
            "ip": http.HOST,
            "listen": {
                "front": f"{http.HOST}:{http.free_port()}",
                "ready": f"{http.HOST}:{http.free_port()}",
            },
            "portRange": [http.free_port(), http.free_port()],
            "limits": {"cores": 2, "cpuShare": share},
            "platform": {"addr": f"{http.HOST}:{self.store.port}"},
            "bounds": {"holdMaxMs": 1000, "stopMs": 50, "graceS": 6, "farFactor": 1.5},
        }
        self.start_node(name)
        self.note("node-started", node=name, zone=zone)

    def start_node(self, name: str) -> None:
        """Start a node, with the command and the template of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        settings = self._folder / f"{name}.ini"
        settings.write_text(_fill((ROOT / role["template"]).read_text(), self.nodes[name]))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        process = subprocess.Popen(
            shlex.split(role["run"]),
            cwd=ROOT,
            env=kept | {"PYTHONPATH": str(ROOT / "target/deps"), VARIABLE: str(settings)},
            stdout=(self._folder / f"{name}.log").open("ab"),
            stderr=subprocess.STDOUT,
        )
        self._children.append(process)
        self.nodes[name]["process"] = process

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        self.nodes[name]["process"].send_signal(number)
        self.note("signal", node=name, signal=number.name)

    async def wait_ready(self) -> None:
        """Wait until all nodes report that they are ready."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for name, node in self.nodes.items():
            port = int(node["listen"]["ready"].rpartition(":")[2])
            while (await http.request(port, "GET", "/readyz"))[0] != 200:
                if time.monotonic() > ends_at:
                    raise CannotRunError(f"{name} is not ready")
                await asyncio.sleep(0.05)
        self.note("ready")

    def owner(self) -> str:
        """Return the node that logged its election last."""
        elected = {}
        for name in self.nodes:
            for line in self._node_lines(name):
                if line.get("event") == "owner-changed" and line.get("is_self"):
                    elected[line["term"]] = name
        if not elected:
            raise CannotRunError("no node was elected")
        return elected[max(elected)]

    def _node_lines(self, name: str) -> list[dict[str, Any]]:
        text = (self._folder / f"{name}.log").read_text(errors="replace")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    # Clients

    async def submit(
        self, node: str, job_id: str, phases: list[dict[str, Any]], spec: str, deadline_ms: int
    ) -> int:
        """Submit a job that needn't be kept, and wait for the answer; return its status."""
        body = {"spec": spec, "phases": phases, "bestEffort": True}
        port = int(self.nodes[node]["listen"]["front"].rpartition(":")[2])
        self.note("job-sent", job=job_id, node=node)
        status, answer = await http.request(
            port,
            "POST",
            ROUTE_PREFIX + job_id,
            body,
            {"host": ROUTE_HOST, "deadline-ms": str(deadline_ms)},
            deadline_ms / 1000,
        )
        self.note("job-answered", job=job_id, status=status, answer=answer)
        return status

    async def cancel(self, node: str, job_id: str, timeout_s: float = 1.5) -> int:
        """Cancel a job, and wait for the answer; return its status."""
        port = int(self.nodes[node]["listen"]["front"].rpartition(":")[2])
        self.note("cancel-sent", job=job_id, node=node)
        status, answer = await http.request(
            port, "DELETE", ROUTE_PREFIX + job_id, None, {"host": ROUTE_HOST}, timeout_s
        )
        self.note("cancel-answered", job=job_id, node=node, status=status, answer=answer)
        return status

    # The end

    def events(self) -> list[dict[str, Any]]:
        """Return what was recorded so far, in the order of time, in seconds from the start."""
        lines = self._folder / "executors.log"
        found = [json.loads(line) for line in lines.read_text().splitlines()]
        found += self._events
        found.sort(key=lambda event: event["at"])
        return [event | {"at": round(event["at"] - self._started_at, 3)} for event in found]

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self._children:
            if process.poll() is None:
                process.kill()
        for process in self._children:
            process.wait()

    def write_record(self, path: Path, verdict: list[str], with_nodes: bool = True) -> None:
        """Write what was sent, answered and run, and the decisions that the nodes logged.

        Nothing can be read from the deployment after that.
        """
        with path.open("w") as record:
            record.write("".join(f"{line}\n" for line in verdict) + "\n")
            for event in self.events():
                if event["event"] in ("reported",) and event.get("status") == 200:
                    continue
                fields = " ".join(
                    f"{key}={value}"
                    for key, value in event.items()
                    if key not in ("at", "who", "event")
                )
                record.write(f"{event['at']:8.3f} {event['who']:12} {event['event']} {fields}\n")
            record.write("\nWhat the nodes logged\n")
            for name in self.nodes if with_nodes else ():
                for line in self._node_lines(name):
                    if line.get("event") in LOGGED_EVENTS:
                        record.write(f"{name} {json.dumps(line)}\n")
        shutil.rmtree(self._folder, ignore_errors=True)


LOGGED_EVENTS = (
    "owner-changed",
    "owner-failed",
    "task-placed",
    "server-unlisted",
    "server-dropped",
    "server-added",
    "server-restarted",
    "server-crashed",
    "server-lost",
    "server-regained",
    "run-presumed-over",
    "run-vanished",
    "run-ended",
    "run-adopted",
    "orphan-stopped",
    "start-failed",
    "child-failed",
    "job-ended",
)


class CannotRunError(Exception):
    """The case could not be brought about."""


def refused_but_started(events: list[dict[str, Any]]) -> list[str]:
    """Return jobs of which a task was started although all attempts to hand them in were refused."""
    statuses: dict[str, list[int]] = {}
    for event in events:
        if event["event"] == "job-answered":
            statuses.setdefault(event["job"], []).append(event["status"])
    starts: dict[str, list[str]] = {}
    for event in events:
        if event["event"] == "start":
            start = f"{event['task']} on {event['who']} at {event['at']:.3f}"
            starts.setdefault(event["task"].partition(".")[0], []).append(start)
    return [
        f"job {job}: answered {', '.join(map(str, answers))}; started {', '.join(starts[job])}"
        for job, answers in statuses.items()
        if job in starts and all(answer in (429, 503) for answer in answers)
    ]


def started_after_cancel(events: list[dict[str, Any]], cancel_s: float) -> list[str]:
    """Return starts later than a time after a cancelling was acknowledged with 2xx or 410."""
    acknowledged: dict[str, float] = {}
    found = []
    for event in events:
        if event["event"] == "cancel-answered":
            if 200 <= event["status"] < 300 or event["status"] == 410:
                acknowledged.setdefault(event["job"], event["at"])
        elif event["event"] == "start":
            at = acknowledged.get(event["task"].partition(".")[0])
            if at is not None and event["at"] > at + cancel_s:
                late_s = event["at"] - at
                found.append(f"{event['task']} on {event['who']}, {late_s:.3f} s after the answer")
    return found


def simultaneous_runs(events: list[dict[str, Any]]) -> list[str]:
    """Return pairs of runs of one task that were at work at the same time.

    The end of a run is that at its executor: reported, or with the death of the executor.
    """
    open_runs: dict[tuple[str, str, int], float] = {}
    spans: dict[str, list[tuple[float, float, str, int]]] = {}

    def close(key: tuple[str, str, int], at: float) -> None:
        started = open_runs.pop(key, None)
        if started is not None:
            spans.setdefault(key[1], []).append((started, at, key[0], key[2]))

    last_at = events[-1]["at"] if events else 0.0
    for event in events:
        if event["event"] == "start":
            open_runs[event["who"], event["task"], event["run"]] = event["at"]
        elif event["event"] == "end":
            close((event["who"], event["task"], event["run"]), event["at"])
        elif event["event"] == "executor-killed":
            for key in [key for key in open_runs if key[0] == event["executor"]]:
                close(key, event["at"])
    for key in list(open_runs):
        close(key, last_at)
    found = []
    for task, runs in spans.items():
        runs.sort()
        for number, (_, ended, executor, run) in enumerate(runs):
            for started, ended_later, other, other_run in runs[number + 1 :]:
                if started < ended:
                    together = min(ended, ended_later) - started
                    found.append(
                        f"{task}: run {run} on {executor} and run {other_run} on {other}, "
                        f"{together:.3f} s together from {started:.3f}"
                    )
    return found


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of a template: dotted names, as the deploy file uses them."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)
