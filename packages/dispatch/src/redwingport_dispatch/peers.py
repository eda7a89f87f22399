"""Links between processes: one outgoing and one incoming stream for each pair.

Two linked processes each connect to the other and send only on their outgoing connection. This
exposes one-way network partitions: each heartbeat reports whether its sender receives heartbeats
from the other process.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.peers.framing import FrameStream
from redwingport_messages.dispatch import Presence
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import Frame

CONNECT_TIMEOUT_S = 0.5
# A link whose peer does not read for this long is reconnected.
SEND_TIMEOUT_S = 0.5
# A link that has been open for longer than this is reconnected while its peer is unreachable: the
# link may be broken permanently, and after a network partition the operating system retransmits
# lost data only after a delay as long as the partition.
REACHABILITY_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
# Maximum number of queued messages for a peer; enough for more than a minute at 70 jobs a second.
MAX_QUEUED_MESSAGES = 10_000
# Maximum number of messages in one write: some tens of KB, which fit the timeout of a write.
MAX_BATCH_MESSAGES = 200

LINK_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    MessageError,
)

logger = logging.getLogger(ROOT)


@dataclass(slots=True)
class _OutgoingLink:
    """Hold the outgoing link to one address."""

    address: str
    incarnation: str = ""
    connected_at: float = 0.0
    refused: bool = False
    queue: MemoryObjectSendStream[Frame] | None = None
    wake: anyio.Event = field(default_factory=anyio.Event)


class Mesh:
    """Maintain links to other processes.

    :param address: IP:PORT on which this process accepts connections of peers.
    :param heartbeat_s: returns the heartbeat interval to a peer, by incarnation, in seconds.
    :param describe: builds the presence message of this process for a peer, by incarnation.
    :param is_reachable: tells whether heartbeats to and from a peer arrive, by incarnation.
    :param on_message: called with the incarnation of the sender and its message.
    :param on_link: called with the incarnation of a peer to or from which a link was opened.
    :param on_refused: called with the incarnation of a peer whose address refuses connections.
    """

    def __init__(
        self,
        address: str,
        heartbeat_s: Callable[[str], float],
        describe: Callable[[str], Presence],
        is_reachable: Callable[[str], bool],
        on_message: Callable[[str, Frame], None],
        on_link: Callable[[str], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self._address = address
        self._heartbeat_s = heartbeat_s
        self._describe = describe
        self._is_reachable = is_reachable
        self._on_message = on_message
        self._on_link = on_link
        self._on_refused = on_refused
        self._link_by_address: dict[str, _OutgoingLink] = {}
        self._link_by_incarnation: dict[str, _OutgoingLink] = {}
        self._task_group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Accept connections of peers and maintain the links to them."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=False
        )
        async with anyio.create_task_group() as task_group, listener:
            self._task_group = task_group
            for link in self._link_by_address.values():
                task_group.start_soon(self._keep_link, link)
            await listener.serve(self._receive, task_group)

    def add_address(self, address: str) -> None:
        """Start to maintain a link to an address."""
        if address == self._address or address in self._link_by_address:
            return
        link = _OutgoingLink(address)
        self._link_by_address[address] = link
        if self._task_group is not None:
            self._task_group.start_soon(self._keep_link, link)

    def refusing_addresses(self) -> set[str]:
        """Return the addresses that refused the last connection attempt."""
        return {address for address, link in self._link_by_address.items() if link.refused}

    def send(self, incarnation: str, message: Frame) -> bool:
        """Queue a message for a peer; return whether it was queued on an open link."""
        link = self._link_by_incarnation.get(incarnation)
        if link is None or link.queue is None:
            return False
        try:
            link.queue.send_nowait(message)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            log_event(logger, logging.WARNING, "peer-queue-full", peer=link.address)
            return False
        return True

    def announce(self) -> None:
        """Send the presence message of this process to all peers immediately."""
        for link in self._link_by_address.values():
            if link.queue is not None and link.incarnation:
                self.send(link.incarnation, self._describe(link.incarnation))

    async def _keep_link(self, link: _OutgoingLink) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                host, _, port = link.address.rpartition(":")
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    stream = await anyio.connect_tcp(host, int(port))
                backoff_s = INITIAL_BACKOFF_S
                link.refused = False
                async with stream:
                    await self._send_all(link, FrameStream(stream, link.address))
            except LINK_ERRORS as error:
                link.refused = isinstance(error, ConnectionRefusedError)
                if link.refused and link.incarnation:
                    self._on_refused(link.incarnation)
                if link.connected_at:
                    reason = f"{type(error).__name__}: {error}"
                    log_event(
                        logger, logging.WARNING, "peer-link-lost", peer=link.address, reason=reason
                    )
            link.connected_at = 0.0
            link.queue = None
            with anyio.move_on_after(backoff_s):
                await link.wake.wait()
            link.wake = anyio.Event()
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _send_all(self, link: _OutgoingLink, frames: FrameStream) -> None:
        send, receive = anyio.create_memory_object_stream[Frame](MAX_QUEUED_MESSAGES)
        link.queue = send
        link.connected_at = anyio.current_time()
        async with send, receive:
            await self._send_presence(link, frames)
            log_event(logger, logging.INFO, "peer-link-opened", peer=link.address)
            if link.incarnation:
                self._on_link(link.incarnation)
            await self._send_queued(link, frames, receive)

    async def _send_queued(
        self, link: _OutgoingLink, frames: FrameStream, receive: MemoryObjectReceiveStream[Frame]
    ) -> None:
        heartbeat_at = anyio.current_time() + self._heartbeat_s(link.incarnation)
        while True:
            messages: list[Frame] = []
            with anyio.move_on_after(max(0.0, heartbeat_at - anyio.current_time())):
                messages.append(await receive.receive())
            # Queued messages are sent in one write: with a write for each, a busy process would
            # send only some tens of messages a second to each peer.
            while messages and len(messages) < MAX_BATCH_MESSAGES:
                try:
                    messages.append(receive.receive_nowait())
                except anyio.WouldBlock:
                    break
            if messages:
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await frames.send_all(messages)
            now = anyio.current_time()
            is_due = now >= heartbeat_at
            # The interval is shorter from the moment when the peer or this process owns a shard.
            latest_at = now + self._heartbeat_s(link.incarnation)
            heartbeat_at = latest_at if is_due else min(heartbeat_at, latest_at)
            if is_due:
                await self._send_presence(link, frames)
                self._check_reachable(link)

    async def _send_presence(self, link: _OutgoingLink, frames: FrameStream) -> None:
        with anyio.fail_after(SEND_TIMEOUT_S):
            await frames.send(self._describe(link.incarnation))

    def _check_reachable(self, link: _OutgoingLink) -> None:
        open_s = anyio.current_time() - link.connected_at
        if (
            link.incarnation
            and open_s > REACHABILITY_TIMEOUT_S
            and not self._is_reachable(link.incarnation)
        ):
            raise TimeoutError("heartbeats do not arrive in both directions")

    async def _receive(self, stream: SocketStream) -> None:
        frames = FrameStream(stream, "incoming")
        incarnation = ""
        try:
            async with stream:
                while True:
                    message = await frames.receive()
                    if isinstance(message, Presence):
                        is_new = message.incarnation != incarnation
                        incarnation = message.incarnation
                        frames.peer = message.address
                        self._note_presence(message)
                        self._on_message(incarnation, message)
                        if is_new:
                            self._on_link(incarnation)
                    elif incarnation:
                        self._on_message(incarnation, message)
        except LINK_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"
            log_event(logger, logging.INFO, "peer-link-ended", peer=frames.peer, reason=reason)

    def _note_presence(self, presence: Presence) -> None:
        self.add_address(presence.address)
        link = self._link_by_address.get(presence.address)
        if link is None:
            return
        if link.incarnation != presence.incarnation:
            self._link_by_incarnation.pop(link.incarnation, None)
            link.incarnation = presence.incarnation
            self._link_by_incarnation[presence.incarnation] = link
        if link.queue is None:
            # The peer has just sent a message, so reconnect without waiting for the backoff.
            link.wake.set()
