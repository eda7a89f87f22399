"""Relays on the links between the processes, which can hold back what one of them sends.

The processes tell each other their addresses, so a relay writes its own address in place of that of
its process, in what passes through it and in the rows that the processes write. Both have the same
length. What is held back is passed on later, unless the sender has reset the channel.
"""

import asyncio
from typing import Any

from small_site import HOST, Node, Site, free_port


class Relay:
    """Stand before the address at which one process accepts channels of the others."""

    def __init__(self, node: Node, network: "Network") -> None:
        self.node, self._network = node, network
        self.port = free_port()
        self.real = f"{HOST}:{node.peers}".encode()
        self.shown = f"{HOST}:{self.port}".encode()
        assert len(self.real) == len(self.shown)

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._channel, HOST, self.port, backlog=1000)

    async def _channel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection(HOST, self.node.peers)
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.ensure_future(self._discard(to_reader, writer))
        opener: Node | None = None
        try:
            while data := await reader.read(65536):
                # A process says its address first on each channel that it opens.
                if opener is None:
                    opener = self._network.sender_of(data)
                while opener is not None and (opener, self.node) in self._network.cut:
                    await asyncio.sleep(0.005)
                to_writer.write(self._network.show(data))
                await to_writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            back.cancel()
            to_writer.close()
            writer.close()

    async def _discard(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass the end of the channel on; processes send nothing on channels of others."""
        try:
            while await reader.read(65536):
                pass
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()


class Network:
    """All relays; `cut` has the pairs of sender and receiver that are cut."""

    def __init__(self, site: Site) -> None:
        self.cut: set[tuple[Node, Node]] = set()
        self._site = site
        self._relays: list[Relay] = []
        site.before_start = self._open

    async def _open(self) -> None:
        self._relays = [Relay(node, self) for node in self._site.nodes]
        self._site.store.rewrite = self.show
        for relay in self._relays:
            await relay.open()

    def sender_of(self, data: bytes) -> Any:
        return next((relay.node for relay in self._relays if relay.real in data), None)

    def show(self, data: bytes) -> bytes:
        for relay in self._relays:
            data = data.replace(relay.real, relay.shown)
        return data
