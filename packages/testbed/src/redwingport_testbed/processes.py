"""Management of the subprocesses of a run: stand-ins and entry processes."""

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
from anyio.abc import Process

from redwingport_testbed.commands.standins import READY_LINE
from redwingport_testbed.entry_client import EntryClient
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.standins.fleet import Fleet

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05


class Processes:
    """Start, signal and stop subprocesses.

    :param directory: directory for the files with the processes' standard error.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.process_by_name: dict[str, Process] = {}

    async def start(self, name: str, command: Sequence[str]) -> Process:
        """Start a program that is installed next to the Python interpreter.

        :raises TestbedError: if there is no such program.
        """
        program = Path(sys.executable).parent / command[0]
        if not program.exists():
            raise TestbedError(f"start {name}", f"program {program} does not exist")
        with (self._directory / f"{name}.stderr").open("wb") as errors:
            process = await anyio.open_process(
                [str(program), *command[1:]],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if name == "standins" else subprocess.DEVNULL,
                stderr=errors,
            )
        self.process_by_name[name] = process
        return process

    def signal(self, name: str, number: int = signal.SIGTERM) -> None:
        """Send a signal to a process if it is still running."""
        process = self.process_by_name[name]
        if process.returncode is None:
            os.kill(process.pid, number)

    async def wait(self, name: str) -> int | None:
        """Wait until a process has exited.

        :returns: its exit code, or None if it does not exit within STOP_TIMEOUT_S.
        """
        with anyio.move_on_after(STOP_TIMEOUT_S):
            return await self.process_by_name[name].wait()
        return None

    def errors_of(self, name: str) -> str:
        """Return the last 2,000 characters of a process's standard error."""
        text = (self._directory / f"{name}.stderr").read_text(errors="replace")
        return text[-2_000:].strip()

    async def kill_all(self) -> None:
        """Kill the processes that are still running."""
        for process in self.process_by_name.values():
            if process.returncode is None:
                process.kill()
            await process.wait()


@asynccontextmanager
async def running_processes(directory: Path) -> AsyncIterator[Processes]:
    """Yield a process manager whose processes are killed at the end of the context."""
    processes = Processes(directory)
    try:
        yield processes
    finally:
        with anyio.CancelScope(shield=True):
            await processes.kill_all()


async def start_stand_ins(processes: Processes, fleet: Fleet) -> None:
    """Start the stand-ins and wait until they are ready.

    :raises TestbedError: if they do not start in time.
    """
    process = await processes.start(
        "standins",
        [
            "redwingport-testbed",
            "standins",
            *("--deployment", fleet.deployment.name),
            *("--base-port", str(fleet.base_port)),
            *("--entries", str(fleet.entries)),
        ],
    )
    assert process.stdout is not None
    line = b""
    with anyio.move_on_after(START_TIMEOUT_S):
        try:
            line = await process.stdout.receive()
        except anyio.EndOfStream:
            line = b""
    if line.strip() != READY_LINE.encode():
        raise TestbedError("start standins", processes.errors_of("standins") or "not ready")


async def start_entries(processes: Processes, fleet: Fleet, settings: Sequence[Path]) -> None:
    """Start the entry processes without waiting until they are ready."""
    for vm, path in zip(fleet.entry_vms(), settings, strict=True):
        await processes.start(vm.vm, ["redwingport-entry", "--settings", str(path)])


async def wait_until_ready(processes: Processes, name: str, url: str, client: HttpClient) -> None:
    """Wait until an entry process is ready.

    :raises TestbedError: if it exits or is not ready in time.
    """
    entry = EntryClient(client, url)
    with anyio.move_on_after(START_TIMEOUT_S):
        while processes.process_by_name[name].returncode is None:
            if await entry.ready():
                return
            await anyio.sleep(POLL_S)
    code = processes.process_by_name[name].returncode
    state = "not ready in time" if code is None else f"exited with code {code}"
    raise TestbedError(f"start {name}", f"{state}: {processes.errors_of(name)}")
