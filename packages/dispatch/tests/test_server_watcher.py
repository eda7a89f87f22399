"""List of servers: what stays in it, and what is kept of the entries that are removed."""

from collections.abc import Iterator, Sequence

import anyio
import pytest
from result import Err, Ok, Result

from redwingport_dispatch import watchers
from redwingport_dispatch.exceptions import StoreError
from redwingport_dispatch.interfaces import ServerChanges, ServerListing, ServerTable
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.watchers import ServerWatcher
from redwingport_testbed.shards.virtual_time import VirtualTimeLoop

pytestmark = pytest.mark.anyio


# The load of the machine must not decide what happens first, so time is virtual.
@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualTimeLoop}


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    for name in ("OWNER_POLL_INTERVAL_S", "INITIAL_BACKOFF_S", "MAX_BACKOFF_S"):
        monkeypatch.setattr(watchers, name, 0.01)
    yield


def listing(server_id: str) -> ServerListing:
    return ServerListing(server_id, "desk", "127.0.0.1:1", "d", 16000, 65536, 0, ("a",), False)


def table(listed: str, unreadable: Sequence[str] = ()) -> Result[ServerTable, StoreError]:
    by_id = {server_id: listing(server_id) for server_id in listed.split()}
    return Ok(ServerTable(1, by_id, set(unreadable)))


def changes(
    listed: str = "", unreadable: Sequence[str] = (), removed: Sequence[str] = ()
) -> Result[ServerChanges, StoreError]:
    listings = tuple(listing(server_id) for server_id in listed.split())
    return Ok(ServerChanges(2, listings, tuple(unreadable), tuple(removed)))


FAILED: Result[ServerChanges, StoreError] = Err(StoreError("read", "store", "status 503"))


class ScriptedStore:
    """Answer reads from two scripts; calls beyond them wait."""

    def __init__(
        self,
        tables: list[Result[ServerTable, StoreError]],
        changes: list[Result[ServerChanges, StoreError]],
    ) -> None:
        self._tables = tables
        self._changes = changes

    @property
    def is_used_up(self) -> bool:
        return not self._tables and not self._changes

    async def read_servers(self) -> Result[ServerTable, StoreError]:
        if not self._tables:
            await anyio.sleep_forever()
        return self._tables.pop(0)

    async def read_server_changes(self, revision: int) -> Result[ServerChanges, StoreError]:
        if not self._changes:
            await anyio.sleep_forever()
        return self._changes.pop(0)


async def watch(store: ScriptedStore) -> tuple[set[str], set[str]]:
    """Return the listed servers and those recently removed once the scripts are used up."""
    watcher = ServerWatcher(
        store,  # type: ignore[arg-type]
        lambda listing_by_id: None,
        lambda: True,
        Metrics(),
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(watcher.run)
        while not store.is_used_up:
            await anyio.sleep(0.01)
        task_group.cancel_scope.cancel()
    return set(watcher.listing_by_id), set(watcher.recently_removed())


# Guards against taking a server for gone because its entry cannot be read for a while.
async def test_server_with_an_unreadable_entry_stays_listed() -> None:
    store = ScriptedStore([table("a b")], [changes(unreadable=["a"])])
    assert await watch(store) == ({"a", "b"}, set())
    store = ScriptedStore([table("a b"), table("b", ["a"])], [FAILED])
    assert await watch(store) == ({"a", "b"}, set())


# Guards against taking servers for gone because the store has turned this process away.
async def test_servers_stay_listed_while_the_store_fails() -> None:
    store = ScriptedStore([table("a b"), Err(StoreError("read", "store", "reset"))], [FAILED])
    assert await watch(store) == ({"a", "b"}, set())


@pytest.mark.parametrize(
    ("tables", "later"),
    [
        ([table("a b")], [changes(removed=["a"])]),
        ([table("a b"), table("b")], [FAILED]),
    ],
)
async def test_removed_entries_are_kept_for_a_while(
    monkeypatch: pytest.MonkeyPatch,
    tables: list[Result[ServerTable, StoreError]],
    later: list[Result[ServerChanges, StoreError]],
) -> None:
    monkeypatch.setattr(watchers, "REMOVED_RETENTION_S", 60.0)
    assert await watch(ScriptedStore(list(tables), list(later))) == ({"b"}, {"a"})
    monkeypatch.setattr(watchers, "REMOVED_RETENTION_S", 0.0)
    assert await watch(ScriptedStore(list(tables), list(later))) == ({"b"}, set())


async def test_entry_that_returns_does_not_count_as_removed() -> None:
    store = ScriptedStore([table("a b")], [changes(removed=["a"]), changes("a")])
    assert await watch(store) == ({"a", "b"}, set())
