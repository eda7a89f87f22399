"""The owner dies; jobs that wait for the next owner are refused there, and still run."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import Site, main, runs  # noqa: E402

JOBS = 60
# One job in 20 can never be done: 0.05, the share of the site's own disturbance.
IMPOSSIBLE_EVERY = 20
LIMIT_MS = 3000


async def case(site: Site, trouble: bool) -> bool:
    for number in range(24):
        site.add_executor(["a", f"r1-{number // 6}"])
    for number, zone in enumerate(("creamery", "north-depot", "south-depot", "farm-office")):
        site.add_node(zone, 2 - number / 10)
    await site.start()
    owner = site.owner()
    # The process with the highest weight among the others becomes the next owner.
    node = next(node for node in site.nodes if node is not owner) if trouble else owner
    # Two steps that don't depend on each other. No executor has 32 cores.
    small = {"count": 1, "cpu": 2000, "memMb": 64, "estimateMs": 200}
    large = small | {"cpu": 32000}
    if trouble:
        owner.send(signal.SIGKILL)
    await asyncio.sleep(0.2)
    ids = [site.new_id() for _ in range(JOBS)]
    jobs = []
    for number, job_id in enumerate(ids):
        is_impossible = trouble and number % IMPOSSIBLE_EVERY == IMPOSSIBLE_EVERY // 2
        steps = [large if is_impossible else small, small]
        jobs.append(asyncio.create_task(site.submit(node, job_id, steps, 0.2, LIMIT_MS)))
        await asyncio.sleep(0.006)
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
