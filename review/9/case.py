"""Channels between processes are reset while clients cancel their jobs."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import CANCEL_MS, Site, main, runs  # noqa: E402
from relay import relayed  # noqa: E402

JOBS = 24
# Jobs that nobody cancels: 0.4 of all are cancelled.
OTHER_JOBS = 36
LIMIT_MS = 15000
CANCEL_GAP_S = 0.015


async def case(site: Site, trouble: bool) -> bool:
    for number in range(12):
        site.add_executor(["b" if number else "a", f"r1-{number // 6}"])
    for number, zone in enumerate(("creamery", "north-depot", "south-depot", "farm-office")):
        site.add_node(zone, 2 - number / 10)
    relays = await relayed(site)
    await site.start()
    owner = site.owner()
    node = next(node for node in site.nodes if node is not owner)
    # Six tasks of 1.5 s, which one executor may run, one at a time.
    step = {"count": 6, "cpu": 600, "memMb": 64, "estimateMs": 1500, "requiredLabel": "a",
            "maxPerServer": 1}
    ids = [site.new_id() for _ in range(JOBS)]
    jobs = [asyncio.create_task(site.submit(node, i, step, 1.5, LIMIT_MS)) for i in ids]
    other = {"count": 1, "cpu": 600, "memMb": 64, "estimateMs": 1500}
    others = [
        asyncio.create_task(site.submit(node, site.new_id(), other, 1.5, LIMIT_MS))
        for _ in range(OTHER_JOBS)
    ]
    await asyncio.sleep(1.0)

    async def cancel(job_id: str, after_s: float) -> float:
        await asyncio.sleep(after_s)
        status, _ = await site.cancel(node, job_id)
        if not 200 <= status < 300 and status != 410:
            raise RuntimeError("a cancel was not acknowledged")
        return site.record.now()

    cancels = [
        asyncio.create_task(cancel(job_id, number * CANCEL_GAP_S))
        for number, job_id in enumerate(ids)
    ]
    await asyncio.sleep(0.1)
    if trouble:
        # The channels that this process has opened to the others, once: half of its channels with
        # other processes.
        count = sum(relay.reset(node) for relay in relays)
        site.record.note("channels-reset", of=node.name, count=count)
    acknowledged_at = dict(zip(ids, await asyncio.gather(*cancels), strict=True))
    await asyncio.gather(*jobs, *others)
    await asyncio.sleep(8.0)
    broken = False
    for run in runs(site.record):
        job_id = run["task"].partition(".")[0]
        if job_id not in acknowledged_at:
            continue
        after_s = run["at"] - acknowledged_at[job_id]
        if after_s > CANCEL_MS / 1000:
            site.record.note("broken", rule="UNASKED", task=run["task"], run=run["run"],
                             id=run["id"], after_ack_s=round(after_s, 3))
            broken = True
    for relay in relays:
        relay.close()
    return broken


main(case, FOLDER / "record.txt")
