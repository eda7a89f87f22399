"""Number of shards: read at startup, raised by one process, never lowered."""

from collections.abc import Sequence

import anyio
import pytest
from result import Err, Ok, Result

from redwingport_dispatch import watchers
from redwingport_dispatch.exceptions import StoreError
from redwingport_dispatch.interfaces import ServerListing
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.shards import SERVERS_PER_SHARD
from redwingport_dispatch.watchers import ShardLayout

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class LayoutStore:
    """Store of the number of shards whose first reads fail as often as a test requests."""

    def __init__(self, count: int = 1, failures: int = 0) -> None:
        self.count = count
        self.failures = failures
        self.written: list[int] = []

    async def read_shard_count(self) -> Result[int, StoreError]:
        if self.failures:
            self.failures -= 1
            return Err(StoreError("read", "store", "status 503"))
        return Ok(self.count)

    async def write_shard_count(self, count: int) -> Result[None, StoreError]:
        self.written.append(count)
        return Ok(None)


async def counts_seen(store: LayoutStore, servers: int, may_raise: bool) -> Sequence[int]:
    listings = {
        f"s{n}": ServerListing(f"s{n}", "desk", "127.0.0.1:1", "d", 16000, 65536, 0, ("a",), False)
        for n in range(servers)
    }
    seen: list[int] = []
    layout = ShardLayout(
        store,  # type: ignore[arg-type]
        lambda: listings,
        lambda: max(seen, default=0),
        lambda: may_raise,
        seen.append,
        Metrics(),
    )
    with anyio.move_on_after(0.5):
        await layout.run()
    return seen


@pytest.fixture(autouse=True)
def short_check_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "SHARD_CHECK_INTERVAL_S", 0.05)


async def test_shard_count_is_read_when_store_recovers() -> None:
    assert await counts_seen(LayoutStore(count=3, failures=1), 10, may_raise=False) == [3]


async def test_responsible_process_raises_shard_count_for_many_servers() -> None:
    store = LayoutStore()
    assert await counts_seen(store, 2 * SERVERS_PER_SHARD + 1, may_raise=True) == [1, 3]
    assert store.written == [3]


async def test_other_processes_do_not_raise_shard_count() -> None:
    store = LayoutStore()
    assert await counts_seen(store, 2 * SERVERS_PER_SHARD + 1, may_raise=False) == [1]
    assert store.written == []


async def test_shard_count_stays_when_servers_leave() -> None:
    store = LayoutStore(count=4)
    assert await counts_seen(store, 10, may_raise=True) == [4]
    assert store.written == []
