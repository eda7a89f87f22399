"""Owner at the start of its term."""

import pytest

from redwingport_dispatch.interfaces import ServerClient, ServerListing
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.owner import Notification, Owner
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


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class NoServerClients:
    def open(self, listing: ServerListing) -> ServerClient:
        raise AssertionError("no session is opened before the owner runs")


async def test_work_item_submitted_before_sessions_are_open_is_not_refused() -> None:
    """Guard against refusals for lack of servers while the sessions are not open yet.

    Holders submit their work items as soon as a new owner is elected.
    """
    listing = ServerListing("s0", "desk", "127.0.0.1:1", "d", 16000, 65536, 0, ("a",), False)
    notifications: list[Notification] = []
    owner = Owner(
        0,
        SETTINGS,
        NoServerClients(),
        {"s0": listing},
        1,
        lambda: True,
        lambda token: None,
        lambda holder, message: notifications.append(message),
        Metrics(),
    )
    work = SubmitWork(
        work_id=1,
        job_id="0" * 16,
        shard=0,
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
        more_offers=False,
    )
    owner.submit("holder", work)
    assert notifications == []
