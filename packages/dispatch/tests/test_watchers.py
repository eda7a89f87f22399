"""Layout of the shards: read at startup, replaced by one process, with a growing number."""

from collections.abc import Sequence

import anyio
import pytest
from result import Err, Ok, Result

from redwingport_dispatch import watchers
from redwingport_dispatch.exceptions import StoreError
from redwingport_dispatch.interfaces import ServerListing, ShardLayout
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.shards import (
    SERVERS_PER_SHARD,
    UNKNOWN_LAYOUT,
    even_layout,
    shard_of,
)
from redwingport_dispatch.watchers import LayoutWatcher
from redwingport_testbed.shards.virtual_time import VirtualTimeLoop

pytestmark = pytest.mark.anyio


# The load of the machine must not decide what happens first, so time is virtual.
@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualTimeLoop}


class LayoutStore:
    """Store of the layout whose first reads fail as often as a test requests."""

    def __init__(self, layout: ShardLayout, failures: int = 0) -> None:
        self.layout = layout
        self.failures = failures
        self.written: list[ShardLayout] = []

    async def read_shard_layout(self) -> Result[ShardLayout, StoreError]:
        if self.failures:
            self.failures -= 1
            return Err(StoreError("read", "store", "status 503"))
        return Ok(self.layout)

    async def write_shard_layout(self, layout: ShardLayout) -> Result[None, StoreError]:
        self.written.append(layout)
        return Ok(None)


def list_servers(names: Sequence[str]) -> dict[str, ServerListing]:
    return {
        name: ServerListing(name, "desk", "127.0.0.1:1", "d", 16000, 65536, 0, ("a",), False)
        for name in names
    }


async def layouts_seen(
    store: LayoutStore, listings: dict[str, ServerListing], may_replace: bool
) -> Sequence[ShardLayout]:
    seen: list[ShardLayout] = []
    watcher = LayoutWatcher(
        store,  # type: ignore[arg-type]
        lambda: listings,
        lambda: seen[-1] if seen else UNKNOWN_LAYOUT,
        lambda: may_replace,
        lambda: (),
        5,
        seen.append,
        Metrics(),
    )
    with anyio.move_on_after(0.5):
        await watcher.run()
    return seen


def names(count: int) -> list[str]:
    return [f"s{number}" for number in range(count)]


def names_of_shards(shard_count: int, counts: Sequence[int]) -> list[str]:
    """Return ids of as many servers of each shard as given."""
    return [
        name
        for shard, count in enumerate(counts)
        for name in [name for name in names(1000) if shard_of(name, shard_count) == shard][:count]
    ]


@pytest.fixture(autouse=True)
def short_check_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "SHARD_CHECK_INTERVAL_S", 0.05)


async def test_layout_is_read_when_store_recovers() -> None:
    store = LayoutStore(even_layout(3), failures=1)
    assert await layouts_seen(store, list_servers(names(10)), False) == [even_layout(3)]


async def test_responsible_process_raises_shard_count_for_many_servers() -> None:
    store = LayoutStore(even_layout(1))
    servers = list_servers(names(2 * SERVERS_PER_SHARD + 1))
    first, second = await layouts_seen(store, servers, True)
    assert (first.shard_count, second.shard_count) == (1, 3)
    assert second.revision > first.revision
    assert sum(second.sizes) == 16000 * len(servers)
    assert store.written == [second]


async def test_other_processes_do_not_replace_the_layout() -> None:
    store = LayoutStore(even_layout(1))
    servers = list_servers(names(2 * SERVERS_PER_SHARD + 1))
    assert await layouts_seen(store, servers, False) == [even_layout(1)]
    assert store.written == []


async def test_shard_count_stays_when_servers_leave() -> None:
    store = LayoutStore(even_layout(4))
    seen = await layouts_seen(store, list_servers(names_of_shards(4, [3, 3, 3, 3])), True)
    assert seen == [even_layout(4)]
    assert store.written == []


# Guards against jobs that move between shards whenever a few servers come or leave.
async def test_layout_stays_when_servers_leave_and_others_come() -> None:
    store = LayoutStore(ShardLayout(9, (20, 20, 20)))
    servers = list_servers(names_of_shards(3, [18, 4, 24]))
    assert await layouts_seen(store, servers, True) == [ShardLayout(9, (20, 20, 20))]
