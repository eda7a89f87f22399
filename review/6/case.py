"""A client's channel and one between processes are reset; a task runs on two executors at once."""

import asyncio
import sys
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import Node, Site, main, runs  # noqa: E402
from relay import relayed  # noqa: E402

JOBS = 5
LIMIT_MS = 5000
RETRANSMIT_S = 1.3
TASK_S = 4.0
FILL_S = 1.2


def owner_by_shard(site: Site) -> dict[int, Node]:
    """Return the owner of each group of executors, by the processes' logs."""
    changes = [
        (event["term"], number, event["shard"])
        for number, node in enumerate(site.nodes)
        for event in node.events("owner-changed")
        if event["is_self"]
    ]
    return {shard: site.nodes[number] for _, number, shard in sorted(changes)}


async def case(site: Site, trouble: bool) -> bool:
    # The system divides more than 24 executors into two groups by a hash of their ids, and each
    # group has an owner of its own. Here all executors of a kind are in one group.
    for number in range(26):
        kind = "a" if zlib.crc32(f"i-{number:04x}".encode()) % 2 else "b"
        site.add_executor([kind, f"r1-{number // 6}"])
    for number, zone in enumerate(("creamery", "north-depot", "south-depot", "farm-office")):
        site.add_node(zone, 2 - number / 10)
    relays = await relayed(site)
    await site.start()
    site.manifest(2, stretch=1)
    await asyncio.sleep(4.0)
    owners = owner_by_shard(site)
    if len(owners) != 2 or owners[0] is owners[1]:
        raise RuntimeError("there are no two owners")
    site.record.note("owners", **{f"group{shard}": node.name for shard, node in owners.items()})
    node, other_node = [node for node in site.nodes if node not in owners.values()]
    # The executors of kind a are busy for a moment.
    fill = {
        "count": sum("a" in executor.labels for executor in site.executors), "cpu": 16000,
        "memMb": 64, "estimateMs": int(FILL_S * 1000), "requiredLabel": "a",
    }
    filling = asyncio.create_task(
        site.submit(other_node, site.new_id(), fill, FILL_S, LIMIT_MS)
    )
    await asyncio.sleep(0.15)
    step = {"count": 1, "cpu": 6800, "memMb": 64, "estimateMs": int(TASK_S * 1000)}
    lost = asyncio.Event()

    async def client(job_id: str) -> None:
        first = asyncio.create_task(site.submit(node, job_id, step, TASK_S, LIMIT_MS))
        cut = asyncio.create_task(lost.wait())
        await asyncio.wait([first, cut], return_when=asyncio.FIRST_COMPLETED)
        cut.cancel()
        if first.done():
            return
        # Ends with a reset of its channel; see `request`.
        first.cancel()
        site.record.note("channel-reset", job=job_id, node=node.name)
        await asyncio.sleep(RETRANSMIT_S)
        await site.submit(other_node, job_id, step, TASK_S, LIMIT_MS)

    clients = [asyncio.create_task(client(site.new_id())) for _ in range(JOBS)]
    await asyncio.sleep(0.4)
    if trouble:
        # One machine, half of its channels: those of its clients, and the one that it has opened to
        # the owner of the executors of kind b.
        count = sum(relay.reset(node) for relay in relays if relay.node is owners[0])
        lost.set()
        site.record.note("channels-reset", of=node.name, to=owners[0].name, count=count,
                         clients=JOBS)
    await asyncio.gather(*clients, filling)
    await asyncio.sleep(0.5)
    found_by_task: dict[str, list[dict[str, object]]] = {}
    for run in runs(site.record):
        found_by_task.setdefault(run["task"], []).append(run)
    broken = False
    for task, found in found_by_task.items():
        found.sort(key=lambda run: run["at"])
        for earlier, later in zip(found, found[1:], strict=False):
            if earlier["end"] is None or earlier["end"] > later["at"]:
                site.record.note(
                    "broken", rule="TWICE", task=task,
                    first=f"{earlier['id']},{earlier['at']}-{earlier['end']},{earlier['how']}",
                    second=f"{later['id']},{later['at']}-{later['end']},{later['how']}",
                )
                broken = True
    for relay in relays:
        relay.close()
    return broken


main(case, FOLDER / "record.txt")
