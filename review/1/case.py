"""An executor is cut off from the store for 5 s while it runs tasks, and is reachable otherwise."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import HEARTBEAT_S, CannotRunError, Site, simultaneous_runs  # noqa: E402
from http_standin import Relay  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 5.0
# The cut begins this long after a report that the store has accepted.
CUT_AFTER_REPORT_S = 1.2
JOBS_AFTER_REPORT_S = 3.8
TASK_S = 5.0
TIME_LIMIT_MS = 10_000


async def run(site: Site) -> None:
    await site.start_store()
    relay = Relay(site.store.port)
    await relay.start()
    site.start_executor("i-1", store_port=relay.port)
    site.start_executor("i-2")
    site.start_executor("i-3")
    site.start_executor("i-4")
    # It has room for what is started again; the smaller ones are filled first.
    site.start_executor("i-5", cpu=32000)
    site.start_nodes(3)
    await site.wait_ready()
    await asyncio.sleep(3.0)

    reported_at = await next_report(site)
    await sleep_until(reported_at + CUT_AFTER_REPORT_S)
    if TROUBLE:
        relay.is_cut = True
        site.note("cut-begins", executor="i-1", seconds=CUT_S)
    cut_at = time.monotonic()
    await sleep_until(reported_at + JOBS_AFTER_REPORT_S)
    step = {"count": 1, "cpu": 9000, "memMb": 64, "estimateMs": int(TASK_S * 1000)}
    spec = json.dumps({"run_ms": int(TASK_S * 1000), "cpu": 9000})
    jobs = [
        asyncio.create_task(
            site.submit(f"front-{number % 3 + 1}", f"{number:016x}", [step], spec, TIME_LIMIT_MS)
        )
        for number in range(1, 6)
    ]
    await sleep_until(cut_at + CUT_S)
    relay.heal()
    site.note("cut-ends")
    await asyncio.gather(*jobs)
    await asyncio.sleep(1.0)


async def next_report(site: Site) -> float:
    """Wait until the store accepts a report of the first executor; return the time."""
    seen = len(site.events())
    for _ in range(int(3 * HEARTBEAT_S / 0.02)):
        await asyncio.sleep(0.02)
        events = site.events()
        new = [e for e in events[seen:] if e["event"] == "reported" and e["who"] == "i-1"]
        if new:
            return time.monotonic()
    raise CannotRunError("the executor does not report")


async def sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))


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
    used = any(e["event"] == "start" and e["who"] == "i-1" for e in events)
    if not problem and not used:
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
