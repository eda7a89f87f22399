"""Idempotency keys of callers, as insert-if-absent records in the platform's table."""

import json
from collections import OrderedDict
from dataclasses import dataclass, field

import anyio
from result import Err, Result

from redwingport_entry.exceptions import PlatformError
from redwingport_entry.platform import PlatformClient, TableOp, TableResult
from redwingport_messages.ids import SubmissionId, parse_submission_id
from redwingport_messages.outcomes import Problem, outcome_unknown
from redwingport_state.submissions import reused_id

MAX_INSERTS_PER_TRANSACTION = 64
MAX_CACHED_KEYS = 10_000
RETRY_DELAY_S = 0.1


@dataclass(slots=True)
class _Insert:
    key: str
    value: str
    deadline: float
    result: TableResult | None = None
    done: anyio.Event = field(default_factory=anyio.Event)


class KeyRecords:
    """Map the idempotency keys of callers to submission ids.

    Inserts are batched: while one transaction is in flight, further keys wait for the next. An
    insert whose answer was lost is retried with the same id; the answer to the retry names the
    stored id, whether or not the first attempt took effect.

    :param platform: client of the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._waiting: list[_Insert] = []
        self._arrived = anyio.Event()
        self._value_by_key: OrderedDict[str, str] = OrderedDict()

    async def resolve(
        self, key: str, own_id: SubmissionId, fingerprint: str, deadline: float
    ) -> Result[SubmissionId, Problem]:
        """Return the submission id that is stored for a key, inserting one if there is none.

        :param key: row key, ``keys/SERVICE/KEY``.
        :param own_id: id to store if the key is new.
        :param fingerprint: digest of the submission.
        :param deadline: monotonic time at which the caller stops waiting.
        :returns: the stored id, which may be ``own_id``, or the refusal.
        """
        value = self._value_by_key.get(key)
        if value is None:
            insert = _Insert(
                key, json.dumps({"id": str(own_id), "fingerprint": fingerprint}), deadline
            )
            self._waiting.append(insert)
            self._arrived.set()
            with anyio.move_on_at(deadline):
                await insert.done.wait()
            if insert.result is None or insert.result.value is None:
                return Err(_undecided())
            value = insert.result.value
            self._remember(key, value)
        return _parse_stored_value(value, fingerprint)

    async def run(self) -> None:
        """Send the queued inserts, one transaction at a time."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while self._waiting:
                group = self._waiting[:MAX_INSERTS_PER_TRANSACTION]
                del self._waiting[:MAX_INSERTS_PER_TRANSACTION]
                await self._send(group)

    async def _send(self, group: list[_Insert]) -> None:
        ops = [TableOp(op="insert", key=insert.key, value=insert.value) for insert in group]
        try:
            results = await self._platform.transact(ops)
        except PlatformError:
            now = anyio.current_time()
            self._waiting[:0] = [insert for insert in group if insert.deadline > now]
            await anyio.sleep(RETRY_DELAY_S)
            return
        for insert, result in zip(group, results, strict=True):
            insert.result = result
            insert.done.set()

    def _remember(self, key: str, value: str) -> None:
        self._value_by_key[key] = value
        while len(self._value_by_key) > MAX_CACHED_KEYS:
            self._value_by_key.popitem(last=False)


def _parse_stored_value(value: str, fingerprint: str) -> Result[SubmissionId, Problem]:
    try:
        row = json.loads(value)
        stored_id, stored_fingerprint = str(row["id"]), str(row["fingerprint"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return Err(_undecided())
    if stored_fingerprint != fingerprint:
        return Err(reused_id())
    return parse_submission_id(stored_id).map_err(lambda _: _undecided())


def _undecided() -> Problem:
    """Return the problem for a key that an earlier submission may have used."""
    return outcome_unknown(
        "key-undecided",
        "The platform did not report in time whether this key was used before; "
        "this request started nothing.",
        step="insert key",
        peer="platform",
        retryable=True,
        retry_after_s=1.0,
    )
