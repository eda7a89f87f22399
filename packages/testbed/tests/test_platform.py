"""Guard against a stand-in platform that is more lenient than the real one.

Faults of the entry process would then not show in the tests that use it.
"""

import json
from collections.abc import AsyncIterator
from time import monotonic
from typing import Any

import anyio
import pytest

from redwingport_messages.vms import VmList
from redwingport_testbed.http_client import ConnectionBrokenError, HttpClient
from redwingport_testbed.standins.platform import Platform
from redwingport_testbed.standins.server import Site, serving

pytestmark = pytest.mark.anyio
WRITES_PER_S = 100.0
VM = {"vm": "entry-1", "kind": "entry", "domain": "creamery", "host": "127.0.0.1", "port": 1}


class Caller:
    """Send requests to the platform."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.client = HttpClient()

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        content = b"" if body is None else json.dumps(body).encode()
        url = f"http://127.0.0.1:{self.port}{path}"
        answer = await self.client.request(method, url, content)
        return answer.status, json.loads(answer.body)

    async def change(self, *ops: dict[str, Any]) -> list[tuple[bool, int, str | None]]:
        status, answer = await self.call("POST", "/table/transaction", {"ops": ops})
        assert status == 200
        return [(row["applied"], row["revision"], row["value"]) for row in answer["results"]]


@pytest.fixture
async def caller() -> AsyncIterator[Caller]:
    async with serving([Site(Platform(writes_per_s=WRITES_PER_S).app, 0)]) as ports:
        caller = Caller(ports[0])
        yield caller
        await caller.client.aclose()


def insert(key: str, value: str) -> dict[str, Any]:
    return {"op": "insert", "key": key, "value": value}


async def test_operations_of_a_transaction_succeed_and_fail_one_by_one(caller: Caller) -> None:
    stale = {"op": "compare_and_set", "key": "a", "value": "z", "revision": 9}
    fresh = {"op": "compare_and_set", "key": "a", "value": "y", "revision": 1}
    results = await caller.change(
        insert("a", "x"), insert("a", "other"), stale, fresh, insert("b", "x")
    )
    assert results == [
        (True, 1, "x"),
        (False, 1, "x"),
        (False, 1, "x"),
        (True, 2, "y"),
        (True, 1, "x"),
    ]


async def test_a_revision_does_not_go_back_after_a_deletion(caller: Caller) -> None:
    await caller.change(insert("a", "x"))
    assert await caller.change({"op": "delete", "key": "a", "revision": 1}) == [(True, 0, None)]
    assert await caller.change(insert("a", "y")) == [(True, 3, "y")]


async def test_a_write_whose_answer_is_lost_took_effect(caller: Caller) -> None:
    await caller.call("POST", "/control/faults", {"lose_answers": 1})
    with pytest.raises(ConnectionBrokenError):
        await caller.change(insert("keys/s/k", "id"))
    row = {"key": "keys/s/k", "revision": 1, "value": "id"}
    assert await caller.call("GET", "/table/rows/keys/s/k") == (200, row)
    assert await caller.call("GET", "/table/index?prefix=keys/") == (
        200,
        {"rows": [["keys/s/k", 1]]},
    )


async def test_writes_beyond_the_limit_wait(caller: Caller) -> None:
    writes = 20
    start_at = monotonic()
    async with anyio.create_task_group() as group:
        for number in range(writes):
            group.start_soon(caller.change, insert(f"key-{number}", ""))
    assert monotonic() - start_at >= (writes - 1) / WRITES_PER_S


async def test_an_outage_refuses_all_requests_but_control_requests(caller: Caller) -> None:
    await caller.call("POST", "/control/faults", {"outage": True})
    for path in ("/vms", "/table/rows/a", "/table/index", "/objects/a"):
        assert (await caller.call("GET", path))[0] == 503
    await caller.call("POST", "/control/faults", {"outage": False})
    assert (await caller.call("GET", "/vms"))[0] == 200


async def test_the_vm_list_is_served_with_the_configured_lag(caller: Caller) -> None:
    await caller.call("PUT", "/vms", {"vms": [VM]})
    await caller.call("POST", "/control/faults", {"list_lag_s": 0.2})
    assert await caller.call("POST", "/vms/entry-1", {"leaving": True}) == (200, {"version": 2})

    async def served() -> VmList:
        return VmList.model_validate((await caller.call("GET", "/vms"))[1])

    assert [vm.leaving for vm in (await served()).vms] == [False]
    await anyio.sleep(0.25)
    assert [vm.leaving for vm in (await served()).vms] == [True]


async def test_an_unchanged_vm_list_is_not_sent_again(caller: Caller) -> None:
    """Guards against control traffic that grows with the number of VMs."""
    await caller.call("PUT", "/vms", {"vms": [VM]})
    url = f"http://127.0.0.1:{caller.port}/vms"
    first = await caller.client.request("GET", url)
    condition = {"If-None-Match": first.headers["etag"]}
    assert (await caller.client.request("GET", url, headers=condition)).status == 304
    await caller.call("POST", "/vms/entry-1", {"leaving": True})
    assert (await caller.client.request("GET", url, headers=condition)).status == 200
