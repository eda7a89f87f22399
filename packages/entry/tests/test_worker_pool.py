"""Guard against a worker pool that blocks the event loop or leaks reserved slots."""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from redwingport_entry.gateways.job import Job
from redwingport_entry.gateways.workers import WorkerPool
from redwingport_entry.metrics import Metrics
from redwingport_entry.settings import Settings, check_settings
from redwingport_messages.documents import JobSpec, ServiceDocument
from redwingport_messages.submissions import TaskBody
from redwingport_messages.vms import VmInfo, VmKind
from redwingport_state.membership import MembershipView

WORKER = VmInfo(
    vm="worker-1",
    kind=VmKind.WORKER,
    domain="creamery",
    host="127.0.0.1",
    port=9,
    slots=16,
    cpus=16,
    memory_mb=1024,
)


Sections = dict[str, dict[str, str]]


async def _with_pool(sections: Sections, use: Callable[[WorkerPool], Any]) -> None:
    settings: Settings = check_settings(sections).unwrap()
    async with anyio.create_task_group() as task_group:
        pool = WorkerPool(task_group, settings, MembershipView(), Metrics(), lambda vm: None)
        pool.prepare("0" * 16)
        pool.sync([WORKER], lambda info: 1)
        with anyio.fail_after(10):
            await use(pool)
        task_group.cancel_scope.cancel()


def test_placement_considers_a_bounded_number_of_servers(sections: Sections) -> None:
    """Guard against placement whose cost grows with the number of workers."""

    async def use(pool: WorkerPool) -> None:
        local = [WORKER.model_copy(update={"vm": f"worker-{n}"}) for n in range(100)]
        remote = [
            WORKER.model_copy(update={"vm": f"remote-{n}", "domain": "farm"}) for n in range(100)
        ]
        pool.sync([*local, *remote], lambda info: 1)
        assert len(pool.server_by_id) == 128
        views = [server.view for server in pool.usable_servers(pool.clock())]
        assert (len(views), sum(view.local for view in views)) == (32, 24)
        pool.sync([*local[:4], *remote], lambda info: 1)
        assert len(pool.usable_servers(pool.clock())) == 32

    anyio.run(_with_pool, sections, use)


def _job(pool: WorkerPool, deadline: float) -> Job:
    document = ServiceDocument(name="route-build", team="dairy", jobs=JobSpec())
    return Job("id", document, [TaskBody() for _ in range(100)], deadline, 1000)


@pytest.mark.parametrize("late_s", [0.0, -1.0])
def test_tasks_past_their_deadline_are_not_placed_repeatedly(
    late_s: float, sections: Sections
) -> None:
    """Guard against an endless loop of placements.

    A process that was suspended past the deadline of a job looped permanently when it resumed:
    the expired tasks were requeued and placed again at once.
    """

    async def use(pool: WorkerPool) -> None:
        pool.add(_job(pool, pool.clock() + late_s))
        await anyio.sleep(0.2)
        assert pool.queue.length == 0
        assert pool.server_by_id["worker-1"].view.own_active == 0

    anyio.run(_with_pool, sections, use)


def test_deadline_that_passes_before_a_connection_is_free_releases_the_slots(
    sections: Sections,
) -> None:
    """Guard against slots that stay reserved for tasks whose start is never sent.

    All tasks are placed on one connection, and the deadline passes before it sends a start.
    """

    async def use(pool: WorkerPool) -> None:
        job = _job(pool, pool.clock() + 60)
        pool.add(job)
        job.deadline = pool.clock() - 1
        await anyio.sleep(0.2)
        assert pool.server_by_id["worker-1"].view.own_active == 0

    anyio.run(_with_pool, sections, use)
