"""Stand-in for the platform's ingress of one zone: the choice of a node for each new channel."""

import asyncio
import zlib
from typing import Any

import http_standin as http

PROBE_INTERVAL_S = 1.0
MISSES = 2


class Balancer:
    """Choose a node in rotation by a hash of the client.

    A node is in rotation from its first answer 200 until two probes have failed.

    :param nodes: nodes of the zone by name, as the deployment describes them.
    """

    def __init__(self, nodes: dict[str, dict[str, Any]]) -> None:
        self._nodes = nodes
        self._misses: dict[str, int] = {}

    def start(self) -> None:
        """Probe the nodes once a second."""
        self._probing = asyncio.create_task(self._probe_always())

    def in_rotation(self) -> list[str]:
        """Return the nodes in rotation."""
        return sorted(name for name, misses in self._misses.items() if misses < MISSES)

    def choose(self, client: str) -> str:
        """Return the node that gets a new channel of a client."""
        names = self.in_rotation()
        return names[zlib.crc32(client.encode()) % len(names)]

    async def _probe_always(self) -> None:
        while True:
            for name, node in list(self._nodes.items()):
                port = int(node["listen"]["ready"].rpartition(":")[2])
                status, _ = await http.request(port, "GET", "/readyz")
                if status == 200:
                    self._misses[name] = 0
                elif name in self._misses:
                    self._misses[name] += 1
            await asyncio.sleep(PROBE_INTERVAL_S)
