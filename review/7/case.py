"""The owner dies; jobs that wait for the next owner are refused there, and still run."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import Site, main, runs  # noqa: E402

JOBS = 10
LIMIT_MS = 3000


async def case(site: Site, trouble: bool) -> bool:
    for number in range(6):
        site.add_executor(["a", f"r1-{number}"])
    for number, zone in enumerate(("creamery", "north-depot", "south-depot", "farm-office")):
        site.add_node(zone, 2 - number / 10)
    await site.start()
    owner = site.owner()
    # The process with the highest weight among the others becomes the next owner.
    node = next(node for node in site.nodes if node is not owner) if trouble else owner
    # 12 tasks fit at a time, so the first step can't be done in time; the second one can.
    steps = [
        {"count": 1, "cpu": 32000 if trouble else 6800, "memMb": 64, "estimateMs": 200},
        {"count": 1, "cpu": 6800, "memMb": 64, "estimateMs": 200},
    ]
    if trouble:
        owner.send(signal.SIGKILL)
    await asyncio.sleep(0.2)
    ids = [site.new_id() for _ in range(JOBS)]
    jobs = []
    for job_id in ids:
        jobs.append(asyncio.create_task(site.submit(node, job_id, steps, 0.2, LIMIT_MS)))
        await asyncio.sleep(0.02)
    statuses = {job_id: (await job)[0] for job_id, job in zip(ids, jobs, strict=True)}
    await asyncio.sleep(1.5)
    started = {}
    for run in runs(site.record):
        started.setdefault(run["task"].partition(".")[0], run)
    broken = [job_id for job_id, s in statuses.items() if s in (429, 503) and job_id in started]
    for job_id in broken:
        run = started[job_id]
        site.record.note("broken", rule="REFUSED", job=job_id, status=statuses[job_id],
                         task=run["task"], id=run["id"], how=run["how"])
    site.record.note("summary", jobs=JOBS, refused=sum(s in (429, 503) for s in statuses.values()),
                     refused_and_started=len(broken))
    return bool(broken)


main(case, FOLDER / "record.txt")
