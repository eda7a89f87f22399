"""Stand-in for the platform's store: rows, transactions, a feed, and the entries of executors."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import http_standin as http

HISTORY_S = 20.0


class Store:
    """Keep rows whose part is empty.

    Executors write their entries by ``PUT /entry/ID``, and remove them by ``DELETE``; an entry is
    also removed after three intervals of silence.

    :param heartbeat_s: interval of the reports of executors, in seconds.
    :param note: records an event.
    """

    def __init__(self, heartbeat_s: float, note: Callable[..., None]) -> None:
        self.port = http.free_port()
        self.is_down = False
        self._heartbeat_s = heartbeat_s
        self._note = note
        self._ver = 1
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._reported_at: dict[str, float] = {}

    async def start(self) -> None:
        """Serve the store, and remove the entries of silent executors."""
        await http.serve(self.port, self._handle)
        self._expiry = asyncio.create_task(self._expire())

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._ver += 1
        row = {"table": table, "part": "", "key": key, "value": text, "ver": self._ver}
        self._rows[table, key] = row
        self._publish(row)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self._rows.pop((table, key), None) is not None:
            self._ver += 1
            row = {"table": table, "part": "", "key": key, "ver": self._ver, "tombstone": True}
            self._publish(row)

    def _publish(self, row: dict[str, Any]) -> None:
        self._changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for server_id, at in list(self._reported_at.items()):
                if time.monotonic() - at >= 3 * self._heartbeat_s:
                    self._remove_entry(server_id)

    def _remove_entry(self, server_id: str) -> None:
        if self._reported_at.pop(server_id, None) is not None:
            self.remove("servers", server_id)
            self._note("entry-removed", executor=server_id)

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any] | None:
        await asyncio.sleep(0.003)
        if self.is_down:
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/entry/"):
            server_id = url.path.removeprefix("/entry/")
            if method == "DELETE":
                self._remove_entry(server_id)
                return 200, {}
            return self._report(server_id, json.loads(body))
        if url.path == "/rows-tx":
            for row in json.loads(body)["puts"]:
                self.put(row["table"], row["key"], json.loads(base64.b64decode(row["value"])))
            return 200, {"ver": self._ver, "nowMs": int(time.monotonic() * 1000)}
        if url.path == "/rows-get":
            rows = [
                row
                for (table, key), row in sorted(self._rows.items())
                if table == query["table"] and key >= query.get("from", "")
            ]
            return 200, self._answer(rows) | {"hasMore": False}
        if url.path == "/rows-feed":
            return await self._feed(query)
        return 400, {}

    def _report(self, server_id: str, entry: dict[str, Any]) -> tuple[int, Any]:
        if server_id not in self._reported_at:
            self._note("entry-added", executor=server_id)
        self._reported_at[server_id] = time.monotonic()
        self.put("servers", server_id, entry)
        return 200, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        position = int(query["dependsOn"])
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row["ver"] > position and row["table"] == query["table"]
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._answer(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _answer(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {"rows": rows, "ver": self._ver, "nowMs": int(time.monotonic() * 1000)}
