"""Owner at the start of its term, and the lines that it logs."""

import logging
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest
from result import Ok, Result

from redwingport_dispatch.exceptions import OrderError
from redwingport_dispatch.interfaces import (
    ServerClient,
    ServerClientFactory,
    ServerListing,
    ServerReport,
    StartOrder,
    TaskShape,
)
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.owner import Notification, Owner
from redwingport_dispatch.scheduling.placement import Placement
from redwingport_dispatch.scheduling.work import Run, RunOver, RunState, Task, Work
from redwingport_dispatch.settings import Settings
from redwingport_messages.dispatch import CancelWork, SubmitWork
from redwingport_testbed.shards.virtual_time import VirtualTimeLoop

pytestmark = pytest.mark.anyio

SETTINGS = Settings.model_validate(
    {
        "process": {"vm": "vm", "domain": "d"},
        "listen": {name: "127.0.0.1:1" for name in ("front", "ready", "peers", "metrics")},
        "store": {"address": "127.0.0.1:1"},
        "bounds": {"lease_ms": 1000, "stop_ms": 50, "grace_s": 6},
    }
)

WORK = SubmitWork(
    work_id=1,
    job_id="0" * 16,
    shard=0,
    layout_revision=1,
    step=0,
    service="desk",
    spec="",
    cpu_millis=7000,
    memory_mb=64,
    gpus=0,
    estimate_ms=200,
    required_label="",
    near_rack="",
    max_per_server=0,
    priority=0,
    attempts=3,
    waited_ms=0,
    target_ms=500,
    deadline_ms=1500,
    tasks=[(0, 1, "")],
    resumed=False,
    unheard_ms=0,
    other_servers=False,
    more_offers=False,
    refused_for_load=False,
    identity="identity",
)


# The load of the machine must not decide what happens first, so time is virtual.
@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualTimeLoop}


class NoServerClients:
    def open(self, listing: ServerListing) -> ServerClient:
        raise AssertionError("no session is opened before the owner runs")


class IdleServer:
    """Report an idle server once, and record the start orders; see :class:`ServerClient`."""

    def __init__(self) -> None:
        self.started: list[StartOrder] = []
        self._has_reported = False

    def open(self, listing: ServerListing) -> ServerClient:
        return self

    async def renew(self, *arguments: object) -> Result[ServerReport, OrderError]:
        if self._has_reported:
            await anyio.sleep_forever()
        self._has_reported = True
        return Ok(ServerReport(1))

    async def start(self, order: StartOrder, deadline: float) -> Result[int, OrderError]:
        self.started.append(order)
        return Ok(1)

    async def stop(self, *arguments: object) -> Result[int, OrderError]:
        return Ok(1)

    async def aclose(self) -> None:
        pass


def make_owner(
    notifications: list[Notification],
    shard: int = 0,
    server_clients: ServerClientFactory | None = None,
    deliver_local: Callable[[], None] = lambda: None,
) -> Owner:
    """Create an owner of one server for its first term."""
    listing = ServerListing("s0", "desk", "127.0.0.1:1", "d", 16000, 65536, 0, ("a",), False)
    return Owner(
        shard,
        SETTINGS,
        server_clients or NoServerClients(),
        {"s0": listing},
        {},
        1,
        0.0,
        lambda: True,
        lambda token: None,
        lambda holder, message: notifications.append(message),
        deliver_local,
        Metrics(),
    )


async def test_work_item_submitted_before_sessions_are_open_is_not_refused() -> None:
    """Guard against refusals for lack of servers while the sessions are not open yet.

    Holders submit their work items as soon as a new owner is elected.
    """
    notifications: list[Notification] = []
    owner = make_owner(notifications)
    owner.submit("holder", WORK)
    assert notifications == []


async def test_resubmission_with_an_unknown_task_is_handled() -> None:
    """Guard against a message of one holder that ends the links to all processes."""
    owner = make_owner([])
    owner.submit("holder", WORK)
    owner.submit("holder", replace(WORK, tasks=[(0, 1, ""), (7, 1, "s0")]))
    (work,) = owner.scheduler.work_by_key.values()
    assert list(work.task_by_index) == [0]


# Guards against tasks of a refused job that start while its holder, in the same process, is about
# to cancel them.
@pytest.mark.parametrize("cancels", [False, True])
async def test_queued_cancel_is_handled_before_tasks_start(cancels: bool) -> None:
    server = IdleServer()

    def deliver_local() -> None:
        if cancels and owner.scheduler.work_by_key:
            owner.cancel("holder", CancelWork(1))

    owner = make_owner([], server_clients=server, deliver_local=deliver_local)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(owner.run, {"s0": owner.scheduler.server_by_id["s0"].listing})
        while not owner.scheduler.server_by_id["s0"].acquired:
            await anyio.sleep(0.001)
        owner.submit("holder", WORK)
        await anyio.sleep(0.2)
        owner.stop()
    assert bool(server.started) is not cancels


@pytest.mark.parametrize(
    ("number", "resumed", "earlier"),
    [
        (1, False, {}),
        (2, False, {"resumed": False, "after": RunOver.LEASE_ENDED}),
        (1, True, {"resumed": True, "after": RunOver.LEASE_ENDED}),
    ],
)
async def test_placement_names_owner_and_holder_and_why_an_earlier_run_is_over(
    caplog: pytest.LogCaptureFixture, number: int, resumed: bool, earlier: dict[str, object]
) -> None:
    """Guard against two runs of a task whose owners and holders the logs do not tell apart."""
    caplog.set_level(logging.INFO)
    owner = make_owner([], shard=3)
    now = anyio.current_time()
    shape = TaskShape(1000, 64, 0, 0.1)
    work = Work("holder", 1, "job", 0, "desk", "", shape, 0, 3, now, now + 1, now + 2)
    work.resumed = resumed
    work.task_by_index[0] = Task(0)
    run = Run("job.0.0.0", number, "s0", shape, work, 0, RunState.STARTING, now)
    run.after = RunOver.LEASE_ENDED
    server = owner.scheduler.server_by_id["s0"]
    owner.report_placed(work, run, Placement(server, 0.1, True))
    fields = vars(caplog.records[-1])["fields"]
    assert (fields["shard"], fields["term"], fields["holder"]) == (3, 1, "holder")
    assert {key: fields[key] for key in ("resumed", "after") if key in fields} == earlier
