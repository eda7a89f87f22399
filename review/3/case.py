"""The owner freezes and wakes, while an executor is cut off from all nodes."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import CannotRunError, Site, simultaneous_runs  # noqa: E402
from http_standin import Relay, free_port  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 6
FREEZE_S = 1.2
CUT_S = 1.9
ROUNDS = 4
JOBS = 6
TASK_S = 5.0
TIME_LIMIT_MS = 10_000


async def run(site: Site) -> None:
    await site.start_store()
    port = free_port()
    relay = Relay(port)
    await relay.start()
    site.start_executor("i-1", port=port, listed_port=relay.port, labels="b,r1-1")
    # It is the larger one, so that the smaller one is filled first.
    site.start_executor("i-2", labels="b,r1-1", cpu=64000)
    for number in range(3, EXECUTORS + 1):
        site.start_executor(f"i-{number}", labels="a,r1-1")
    site.start_nodes(4)
    await site.wait_ready()
    await asyncio.sleep(2.0)
    for number in range(ROUNDS):
        await run_round(site, relay, number)


async def run_round(site: Site, relay: Relay, number: int) -> None:
    """Let the owner freeze while tasks are at work on the executor that is cut off."""
    owner = site.owner()
    holder = next(name for name in site.nodes if name != owner)
    step = {
        "count": 1,
        "cpu": 2500,
        "memMb": 64,
        "estimateMs": int(TASK_S * 1000),
        "requiredLabel": "b",
    }
    spec = json.dumps({"run_ms": int(TASK_S * 1000), "cpu": 2500})
    jobs = [
        asyncio.create_task(
            site.submit(holder, f"{number:08x}{job:08x}", [step], spec, TIME_LIMIT_MS)
        )
        for job in range(JOBS)
    ]
    await asyncio.sleep(1.0)
    if TROUBLE:
        cut_at = time.monotonic()
        relay.is_cut = True
        site.note("cut-begins", executor="i-1", seconds=CUT_S)
        site.signal_node(owner, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        site.signal_node(owner, signal.SIGCONT)
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        relay.heal()
        site.note("cut-ends")
    await asyncio.gather(*jobs)
    await asyncio.sleep(2.0)


def main() -> int:
    site = Site(timeoutMs=TIME_LIMIT_MS)
    try:
        asyncio.run(run(site))
        problem = ""
    except (CannotRunError, OSError) as error:
        problem = f"{type(error).__name__}: {error}"
    finally:
        site.stop()
    events = site.events()
    if not problem and not any(e["event"] == "start" and e["who"] == "i-1" for e in events):
        problem = "no task was started on the executor that is cut off"
    broken = simultaneous_runs(events)
    verdict = [f"disruption: {TROUBLE}"]
    verdict += [f"could not run: {problem}"] if problem else []
    verdict += [f"TWICE: {line}" for line in broken] or ["TWICE: none"]
    site.write_record(FOLDER / "record.txt", verdict)
    print("\n".join(verdict))
    return 2 if problem else int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
