"""A relay in front of the peers' address of a process, which can reset what goes through it.

The processes tell each other their addresses, so the relay also writes its own address in their
place. Both have the same length, so nothing else changes.
"""

import asyncio
import socket
import struct

from deployment import HOST, Node, Site, free_port

_RESET = struct.pack("ii", 1, 0)


class Relay:
    def __init__(self, node: Node) -> None:
        self.node = node
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        # The process that opened a channel; it says its address first.
        self._opener_by_pair: dict[tuple[asyncio.StreamWriter, asyncio.StreamWriter], Node] = {}
        self._relays: list[Relay] = []

    async def start(self, relays: list["Relay"]) -> None:
        self._relays = relays
        self._names = [(f"{HOST}:{r.node.ports['peers']}".encode(), f"{HOST}:{r.port}".encode())
                       for r in relays]
        assert all(len(real) == len(shown) for real, shown in self._names)
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self, opener: Node | None = None) -> int:
        """Reset the channels through the relay, or those that a process has opened.

        :returns: their number.
        """
        pairs = {p for p in self._pairs if opener in (None, self._opener_by_pair.get(p))}
        self._pairs -= pairs
        for pair in pairs:
            for writer in pair:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                writer.transport.abort()
        return len(pairs)

    def show(self, data: bytes) -> bytes:
        for real, shown in self._names:
            data = data.replace(real, shown)
        return data

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection(
                HOST, self.node.ports["peers"]
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, to_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._copy(reader, to_writer, pair), self._copy(to_reader, writer, pair)
            )
        except asyncio.CancelledError:
            # The script ends.
            pass
        self._pairs.discard(pair)
        self._opener_by_pair.pop(pair, None)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        try:
            while data := await reader.read(65536):
                if pair not in self._opener_by_pair:
                    for relay, (real, _) in zip(self._relays, self._names, strict=True):
                        if real in data:
                            self._opener_by_pair[pair] = relay.node
                writer.write(self.show(data))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()


async def relayed(site: Site) -> list[Relay]:
    """Put a relay in front of each process of a site that hasn't started."""
    relays = [Relay(node) for node in site.nodes]
    for relay in relays:
        await relay.start(relays)

    def rewrite(table: str, key: str, value: bytes) -> bytes:
        return value if table in ("op", "servers") else relays[0].show(value)

    site.store.rewrite = rewrite
    return relays
