"""Owner at the start of its term, and the lines that it logs."""

import logging
from dataclasses import replace

import anyio
import pytest

from redwingport_dispatch.interfaces import ServerClient, ServerListing, TaskShape
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.owner import Notification, Owner
from redwingport_dispatch.scheduling.placement import Placement
from redwingport_dispatch.scheduling.work import Run, RunOver, RunState, Task, Work
from redwingport_dispatch.settings import Settings
from redwingport_messages.dispatch import SubmitWork

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


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class NoServerClients:
    def open(self, listing: ServerListing) -> ServerClient:
        raise AssertionError("no session is opened before the owner runs")


def make_owner(notifications: list[Notification], shard: int = 0) -> Owner:
    """Create an owner of one server for its first term."""
    listing = ServerListing("s0", "desk", "127.0.0.1:1", "d", 16000, 65536, 0, ("a",), False)
    return Owner(
        shard,
        SETTINGS,
        NoServerClients(),
        {"s0": listing},
        {},
        1,
        0.0,
        lambda: True,
        lambda token: None,
        lambda holder, message: notifications.append(message),
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
