"""A client moves to another zone and cancels its job through the node there."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import CANCEL_MS, STOP_MS, Site, main, runs  # noqa: E402

LIMIT_MS = 14000


async def case(site: Site, trouble: bool) -> bool:
    for number in range(4):
        site.add_executor(["a", "r1-1"])
    for number, zone in enumerate(("creamery", "north-depot", "south-depot", "farm-office")):
        site.add_node(zone, 2 - number / 10)
    await site.start()
    # Four steps of 2 s, one after the other.
    job_id = site.new_id()
    step = {"count": 4, "cpu": 6800, "memMb": 64, "estimateMs": 2000}
    steps = [step, *(step | {"dependsOn": [number]} for number in range(3))]
    job = asyncio.create_task(site.submit(site.nodes[1], job_id, steps, 2.0, LIMIT_MS))
    await asyncio.sleep(1.0)
    # The client's channel stays open at its node; a new channel goes to a node of its new zone.
    status, _ = await site.cancel(site.nodes[2 if trouble else 1], job_id)
    acknowledged_at = site.record.now()
    if status != 410 and not 200 <= status < 300:
        raise RuntimeError("the cancel was not acknowledged")
    await job
    await asyncio.sleep(0.2)
    late_at = acknowledged_at + CANCEL_MS / 1000
    broken = False
    for run in runs(site.record):
        if run["at"] > late_at:
            rule = "UNASKED: started"
        elif run["end"] is None or run["end"] > late_at + STOP_MS / 1000:
            rule = "UNASKED: ran on"
        else:
            continue
        site.record.note("broken", rule=rule, task=run["task"], run=run["run"], id=run["id"],
                         after_ack_s=round(run["at"] - acknowledged_at, 3))
        broken = True
    return broken


main(case, FOLDER / "record.txt")
