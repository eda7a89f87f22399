"""HTTP client of the platform's table and VM list."""

import json
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import anyio
import httpcore
from anyio.abc import TaskGroup
from pydantic import BaseModel, ConfigDict, ValidationError

from redwingport_entry.exceptions import PlatformError
from redwingport_entry.gateways.connections import (
    Connection,
    NotWrittenError,
    ServerConnections,
    read_body,
    send_request,
)
from redwingport_entry.metrics import Metrics
from redwingport_entry.settings import PlatformSettings
from redwingport_messages.vms import VmList

MAX_CONNECTIONS = 4
MAX_ANSWER_BYTES = 64 * 1024 * 1024


ModelT = TypeVar("ModelT", bound=BaseModel)


class TableOp(BaseModel):
    """Describe one operation of a transaction.

    :param op: ``insert``, ``compare_and_set`` or ``delete``.
    :param key: key of the row.
    :param value: new value.
    :param revision: revision that the row must have for ``compare_and_set``.
    """

    model_config = ConfigDict(frozen=True)

    op: str
    key: str
    value: str = ""
    revision: int = 0


class TableResult(BaseModel):
    """Describe the result of an operation.

    :param key: key of the row.
    :param applied: whether the operation took effect.
    :param revision: current revision of the row, 0 when there is none.
    :param value: current value of the row.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    key: str
    applied: bool
    revision: int
    value: str | None = None


class _TransactionAnswer(BaseModel):
    results: list[TableResult]


class _IndexAnswer(BaseModel):
    rows: list[tuple[str, int]]


class _RowAnswer(BaseModel):
    key: str
    revision: int
    value: str


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes
    etag: bytes


def _etag(response: httpcore.Response) -> bytes:
    return next((value for name, value in response.headers if name.lower() == b"etag"), b"")


class PlatformClient:
    """Read and change the data that the platform stores.

    Every method raises :class:`PlatformError` when no usable answer arrived; a transaction may or
    may not have taken effect then.

    :param task_group: task group that runs the connections.
    :param settings: section ``[platform]``.
    :param metrics: metrics of the process.
    """

    def __init__(
        self, task_group: TaskGroup, settings: PlatformSettings, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._base = httpcore.URL(settings.url)
        self._vms_etag = b""
        host = self._base.host.decode()
        port = self._base.port or 80
        self._connections = ServerConnections(task_group, host, port, MAX_CONNECTIONS)

    async def transact(self, ops: list[TableOp]) -> list[TableResult]:
        """Run a transaction.

        :param ops: the operations.
        :returns: one result per operation, in the same order.
        """
        body = {"ops": [op.model_dump() for op in ops]}
        reply = await self._call("write table", "POST", "/table/transaction", body)
        results = self._parse(_TransactionAnswer, reply, "write table").results
        if [result.key for result in results] != [op.key for op in ops]:
            raise PlatformError(
                "write table",
                self._connections.peer,
                "the results name other keys than the operations",
            )
        return results

    async def read_row(self, key: str) -> tuple[int, str] | None:
        """Return the revision and the value of a row, or None when there is none."""
        path = f"/table/rows/{quote(key, safe='/')}"
        reply = await self._call("read table", "GET", path, None, accept=(200, 404))
        if reply.status == 404:
            return None
        row = self._parse(_RowAnswer, reply, "read table")
        if row.key != key:
            raise PlatformError(
                "read table", self._connections.peer, "the answer names another key"
            )
        return row.revision, row.value

    async def read_index(self, prefix: str) -> list[tuple[str, int]]:
        """Return the key and the revision of each row whose key has a prefix."""
        path = f"/table/index?prefix={quote(prefix, safe='')}"
        reply = await self._call("read index", "GET", path, None)
        return self._parse(_IndexAnswer, reply, "read index").rows

    async def read_vms(self) -> VmList | None:
        """Return the list of VMs, or None when it has not changed since the last call.

        A list of 2,000 VMs takes about 500 KB; a conditional request keeps the traffic of polling
        independent of the number of VMs.
        """
        reply = await self._call(
            "read VM list", "GET", "/vms", None, accept=(200, 304), etag=self._vms_etag
        )
        if reply.status == 304:
            return None
        vm_list = self._parse(VmList, reply, "read VM list")
        self._vms_etag = reply.etag
        return vm_list

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: Any,
        accept: tuple[int, ...] = (200,),
        etag: bytes = b"",
    ) -> _Reply:
        content = b"" if body is None else json.dumps(body).encode()
        done = anyio.Event()
        reply, reason = _Reply(0, b"", b""), "no answer in time"
        self._metrics.messages.labels("platform").inc()

        async def exchange(connection: Connection) -> bool:
            nonlocal reply, reason
            url = httpcore.URL(
                scheme="http", host=self._base.host, port=self._base.port, target=path
            )
            headers = [(b"content-type", b"application/json")]
            if etag:
                headers.append((b"if-none-match", etag))
            try:
                with anyio.fail_after(self._settings.timeout_s):
                    response = await send_request(connection, method, url, headers, content)
                    answer = await read_body(response, MAX_ANSWER_BYTES) or b""
                    await response.aclose()
                    reply = _Reply(response.status, answer, _etag(response))
                    self._metrics.platform_bytes.inc(len(content) + len(answer))
            except (
                NotWrittenError,
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
                TimeoutError,
            ) as error:
                reason = f"{type(error).__name__}: {error}"
                return False
            finally:
                done.set()
            return True

        self._connections.submit(exchange)
        with anyio.move_on_after(self._settings.timeout_s * 2):
            await done.wait()
        if reply.status not in accept:
            self._metrics.platform_errors.labels(step).inc()
            reason = f"status {reply.status}" if reply.status else reason
            raise PlatformError(step, self._connections.peer, reason)
        return reply

    def _parse(self, model: type[ModelT], reply: _Reply, step: str) -> ModelT:
        try:
            return model.model_validate_json(reply.body)
        except ValidationError as error:
            reason = f"the answer is not valid: {error.error_count()} errors"
            raise PlatformError(step, self._connections.peer, reason) from error
