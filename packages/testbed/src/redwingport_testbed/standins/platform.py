"""Stand-in for the platform: table service, object store and VM list."""

import json
from collections import Counter, deque
from dataclasses import dataclass
from enum import StrEnum
from time import monotonic
from typing import Any

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from redwingport_messages.vms import VmInfo, VmList
from redwingport_testbed.standins.common import (
    Faults,
    abort_connection,
    changed_faults,
    error_response,
    invalid_response,
    json_response,
)

WRITES_PER_S = 300.0
READS_PER_S = 2_000.0
SYNC_DELAY_MS = 5.0
MAX_VM_LISTS = 1_000


class OpKind(StrEnum):
    """Define the kinds of operations in a transaction."""

    INSERT = "insert"
    COMPARE_AND_SET = "compare_and_set"
    DELETE = "delete"


class TableOp(BaseModel):
    """Describe the change of one row.

    :param op: kind of the operation.
    :param key: key of the row.
    :param value: new value; ignored by a deletion.
    :param revision: revision the row must have, 0 for absent; a deletion with 0 accepts any.
    """

    model_config = ConfigDict(extra="forbid")

    op: OpKind
    key: str = Field(min_length=1)
    value: str = ""
    revision: int = Field(default=0, ge=0)


class Transaction(BaseModel):
    """Validate the operations of one synchronous write."""

    model_config = ConfigDict(extra="forbid")

    ops: list[TableOp] = Field(min_length=1, max_length=10_000)


class VmChange(BaseModel):
    """Validate a change of one VM in the list."""

    model_config = ConfigDict(extra="forbid")

    leaving: bool | None = None
    removed: bool = False


class PlatformFaults(Faults):
    """Define the faults of the platform.

    :param outage: whether all requests except changes of the VM list and control requests get 503.
    :param delay_ms: delay of every request before it takes effect, in milliseconds.
    :param lose_answers: number of next transactions that take effect but whose connection is then
        closed without an answer.
    :param list_lag_s: age of the VM list that is served, in seconds.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Row:
    """Store one row of the table."""

    revision: int
    value: str


class Table:
    """Store rows; a row's revision grows by 1 per change and is not reset by a deletion."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, Row] = {}
        self._last_revision_by_key: dict[str, int] = {}

    def apply(self, op: TableOp) -> dict[str, Any]:
        """Apply one operation if its condition holds.

        :returns: the result, as a JSON object.
        """
        current = self.row_by_key.get(op.key)
        revision = current.revision if current else 0
        if op.op is OpKind.INSERT:
            applied = current is None
        elif op.op is OpKind.COMPARE_AND_SET:
            applied = revision == op.revision
        else:
            applied = current is not None and op.revision in (0, revision)
        if applied:
            self._change(op)
        row = self.row_by_key.get(op.key)
        return {
            "key": op.key,
            "applied": applied,
            "revision": row.revision if row else 0,
            "value": row.value if row else None,
        }

    def _change(self, op: TableOp) -> None:
        revision = self._last_revision_by_key.get(op.key, 0) + 1
        self._last_revision_by_key[op.key] = revision
        if op.op is OpKind.DELETE:
            del self.row_by_key[op.key]
        else:
            self.row_by_key[op.key] = Row(revision, op.value)


class RateLimiter:
    """Admit requests at a fixed rate, in FIFO order.

    :param per_s: requests admitted per second.
    """

    def __init__(self, per_s: float) -> None:
        self._interval_s = 1 / per_s
        self._next_at = 0.0

    async def wait(self) -> None:
        """Wait until this request is admitted."""
        now = monotonic()
        turn_at = max(now, self._next_at)
        self._next_at = turn_at + self._interval_s
        if turn_at > now:
            await anyio.sleep(turn_at - now)


class VmListHistory:
    """Store the latest versions of the VM list."""

    def __init__(self) -> None:
        self._lists: deque[tuple[float, VmList]] = deque(maxlen=MAX_VM_LISTS)

    @property
    def newest(self) -> VmList:
        """Return the current version."""
        return self._lists[-1][1] if self._lists else VmList(version=0)

    def replace(self, vms: tuple[VmInfo, ...]) -> VmList:
        """Append a new version of the list."""
        vm_list = VmList(version=self.newest.version + 1, vms=vms)
        self._lists.append((monotonic(), vm_list))
        return vm_list

    def served(self, lag_s: float) -> VmList:
        """Return the version that was current ``lag_s`` seconds ago, or the oldest stored."""
        latest_at = monotonic() - lag_s
        for changed_at, vm_list in reversed(self._lists):
            if changed_at <= latest_at:
                return vm_list
        return self._lists[0][1] if self._lists else VmList(version=0)


class Platform:
    """Simulate the platform.

    The rate limits count messages: a transaction is one write, however many operations it has.

    :param writes_per_s: transactions and object writes answered per second.
    :param reads_per_s: reads answered per second.
    :param sync_delay_ms: duration of a write, in milliseconds.
    """

    def __init__(
        self,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
        sync_delay_ms: float = SYNC_DELAY_MS,
    ) -> None:
        self.table = Table()
        self.lists = VmListHistory()
        self.object_by_name: dict[str, bytes] = {}
        self.faults = PlatformFaults()
        self.counts: Counter[str] = Counter()
        self._writes = RateLimiter(writes_per_s)
        self._reads = RateLimiter(reads_per_s)
        self._sync_delay_s = sync_delay_ms / 1_000
        self.app = Starlette(
            routes=[
                Route("/table/transaction", self._transaction, methods=["POST"]),
                Route("/table/rows/{key:path}", self._row),
                Route("/table/index", self._index),
                Route("/objects/{name:path}", self._get_object),
                Route("/objects/{name:path}", self._put_object, methods=["PUT"]),
                Route("/vms", self._get_vms),
                Route("/vms", self._put_vms, methods=["PUT"]),
                Route("/vms/{vm}", self._change_vm, methods=["POST"]),
                Route("/control/faults", self._set_faults, methods=["POST"]),
                Route("/control/counts", self._counts),
            ]
        )

    async def _admitted(self, kind: str, limiter: RateLimiter) -> bool:
        """Count a message and wait for its admission; return False during an outage."""
        self.counts[kind] += 1
        if self.faults.outage:
            self.counts["refused"] += 1
            return False
        await limiter.wait()
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1_000)
        return True

    async def _transaction(self, request: Request) -> Response:
        body = await request.body()
        if not await self._admitted("transactions", self._writes):
            return _outage()
        try:
            transaction = Transaction.model_validate_json(body)
        except ValidationError as error:
            return invalid_response(error)
        await anyio.sleep(self._sync_delay_s)
        results = [self.table.apply(op) for op in transaction.ops]
        self.counts["ops"] += len(results)
        if self.faults.lose_answers > 0:
            left = self.faults.lose_answers - 1
            self.faults = self.faults.model_copy(update={"lose_answers": left})
            self.counts["lost_answers"] += 1
            abort_connection(request.scope)
        return json_response({"results": results})

    async def _row(self, request: Request) -> Response:
        if not await self._admitted("row_reads", self._reads):
            return _outage()
        key = request.path_params["key"]
        row = self.table.row_by_key.get(key)
        if row is None:
            return error_response(404, "no such row")
        return json_response({"key": key, "revision": row.revision, "value": row.value})

    async def _index(self, request: Request) -> Response:
        if not await self._admitted("index_reads", self._reads):
            return _outage()
        prefix = request.query_params.get("prefix", "")
        rows = sorted(
            (key, row.revision)
            for key, row in self.table.row_by_key.items()
            if key.startswith(prefix)
        )
        return json_response({"rows": rows})

    async def _get_object(self, request: Request) -> Response:
        if not await self._admitted("object_reads", self._reads):
            return _outage()
        content = self.object_by_name.get(request.path_params["name"])
        if content is None:
            return error_response(404, "no such object")
        return Response(content, media_type="application/octet-stream")

    async def _put_object(self, request: Request) -> Response:
        body = await request.body()
        if not await self._admitted("object_writes", self._writes):
            return _outage()
        await anyio.sleep(self._sync_delay_s)
        self.object_by_name[request.path_params["name"]] = body
        return Response(status_code=204)

    async def _get_vms(self, request: Request) -> Response:
        if not await self._admitted("list_reads", self._reads):
            return _outage()
        vm_list = self.lists.served(self.faults.list_lag_s)
        etag = f'"{vm_list.version}"'
        if request.headers.get("if-none-match") == etag:
            return Response(status_code=304, headers={"ETag": etag})
        body = vm_list.model_dump_json()
        return Response(body, headers={"ETag": etag}, media_type="application/json")

    async def _put_vms(self, request: Request) -> Response:
        try:
            members = json.loads(await request.body())
            vms = VmList.model_validate({"version": 0, "vms": members["vms"]}).vms
        except ValidationError as error:
            return invalid_response(error)
        except (ValueError, KeyError, TypeError):
            return error_response(422, "not a JSON object with the member vms")
        return json_response({"version": self.lists.replace(vms).version})

    async def _change_vm(self, request: Request) -> Response:
        try:
            change = VmChange.model_validate_json(await request.body())
        except ValidationError as error:
            return invalid_response(error)
        name = request.path_params["vm"]
        vms = self.lists.newest.vms
        if all(vm.vm != name for vm in vms):
            return error_response(404, "no such VM")
        if change.removed:
            vms = tuple(vm for vm in vms if vm.vm != name)
        elif change.leaving is not None:
            update = {"leaving": change.leaving}
            vms = tuple(vm.model_copy(update=update) if vm.vm == name else vm for vm in vms)
        return json_response({"version": self.lists.replace(vms).version})

    async def _set_faults(self, request: Request) -> Response:
        try:
            self.faults = await changed_faults(request, self.faults)
        except ValidationError as error:
            return invalid_response(error)
        return json_response(self.faults.model_dump())

    async def _counts(self, request: Request) -> Response:
        return json_response(self.counts)


def _outage() -> Response:
    return error_response(503, "outage")
