"""Links between processes: one outgoing and one incoming stream for each pair.

Two linked processes each connect to the other and send only on their outgoing connection. This
exposes one-way network partitions: each heartbeat reports whether its sender receives heartbeats
from the other process.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import anyio

from redwingport_dispatch.clock import current_time
from redwingport_dispatch.connections import IncomingConnection, OutgoingConnection
from redwingport_entry.logs import ROOT, log_event
from redwingport_messages.dispatch import Presence, PresenceUnchanged
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import Frame

CONNECT_TIMEOUT_S = 0.5
# Maximum number of connections that wait to be accepted.
BACKLOG = 65536
# A link that has been open for longer than this is reconnected while its peer is unreachable: the
# link may be broken permanently, and after a network partition the operating system retransmits
# lost data only after a delay as long as the partition.
REACHABILITY_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
# A link that was open for longer is opened again without a longer delay than the first time.
STABLE_LINK_S = 1.0
# Heartbeats are due at multiples of this time, so that a process with many peers wakes up once for
# many of them.
HEARTBEAT_STEP_S = 0.05
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
    """Hold the outgoing link to one address.

    :param queue: messages to be sent; None while the link is not open.
    :param is_full: whether a message was dropped because the queue was full; the link is closed.
    :param has_work: set when a message is queued or a heartbeat is due.
    :param heartbeat_due: whether the next heartbeat is due.
    :param sent_state: state of this process in the last presence message on the connection; None
        if the next heartbeat has to be a presence message.
    :param wake: ends the delay before the next attempt to connect.
    """

    address: str
    incarnation: str = ""
    connected_at: float = 0.0
    refused: bool = False
    queue: deque[Frame] | None = None
    is_full: bool = False
    has_work: asyncio.Event = field(default_factory=asyncio.Event)
    heartbeat_due: bool = False
    sent_state: object = None
    wake: anyio.Event = field(default_factory=anyio.Event)

    def note_heartbeat_due(self) -> None:
        self.heartbeat_due = True
        self.has_work.set()


class Mesh:
    """Maintain links to other processes.

    :param address: IP:PORT on which this process accepts connections of peers.
    :param heartbeat_s: returns the heartbeat interval to a peer, by incarnation, in seconds.
    :param describe: builds the presence message of this process for a peer, by incarnation.
    :param state: returns what that message would contain, but for constants and the sequence
        number.
    :param next_sequence: returns the sequence number of the next heartbeat.
    :param heard_sequence: returns the sequence number of the last heartbeat of a peer that is to
        be confirmed, by incarnation.
    :param is_reachable: tells whether heartbeats to and from a peer arrive, by incarnation.
    :param on_message: called with the incarnation of the sender and its message.
    :param on_unchanged: called with a presence message that a heartbeat repeats and the
        heartbeat; returns whether nothing else has to be done.
    :param on_link: called with the incarnation of a peer to or from which a link was opened.
    :param on_refused: called with the incarnation of a peer whose address refuses connections.
    """

    def __init__(
        self,
        address: str,
        heartbeat_s: Callable[[str], float],
        describe: Callable[[str], Presence],
        state: Callable[[str], object],
        next_sequence: Callable[[], int],
        heard_sequence: Callable[[str], int],
        is_reachable: Callable[[str], bool],
        on_message: Callable[[str, Frame], None],
        on_unchanged: Callable[[Presence, PresenceUnchanged], bool],
        on_link: Callable[[str], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self._address = address
        self._heartbeat_s = heartbeat_s
        self._describe = describe
        self._state = state
        self._next_sequence = next_sequence
        self._heard_sequence = heard_sequence
        self._is_reachable = is_reachable
        self._on_message = on_message
        self._on_unchanged = on_unchanged
        self._on_link = on_link
        self._on_refused = on_refused
        self._link_by_address: dict[str, _OutgoingLink] = {}
        self._link_by_incarnation: dict[str, _OutgoingLink] = {}
        self._task_group: anyio.abc.TaskGroup | None = None
        self._incoming: set[IncomingConnection] = set()

    async def run(self) -> None:
        """Accept connections of peers and maintain the links to them."""
        loop = asyncio.get_running_loop()
        failure: asyncio.Future[None] = loop.create_future()

        def accept() -> IncomingConnection:
            connection = IncomingConnection(self._receive, end)
            self._incoming.add(connection)
            return connection

        def end(connection: IncomingConnection, error: Exception) -> None:
            self._incoming.discard(connection)
            if not isinstance(error, LINK_ERRORS):
                # An error in this process, which ends the mesh.
                if not failure.done():
                    failure.set_exception(error)
                return
            reason = f"{type(error).__name__}: {error}"
            log_event(logger, logging.INFO, "peer-link-ended", peer=connection.peer, reason=reason)

        host, _, port = self._address.rpartition(":")
        listener = await loop.create_server(
            accept, host, int(port), reuse_port=False, backlog=BACKLOG
        )
        try:
            async with anyio.create_task_group() as task_group:
                self._task_group = task_group
                for link in self._link_by_address.values():
                    task_group.start_soon(self._keep_link, link)
                await failure
        finally:
            listener.close()
            for connection in self._incoming:
                connection.abort()
            self._incoming.clear()

    def add_address(self, address: str) -> None:
        """Start to maintain a link to an address."""
        if address == self._address or address in self._link_by_address:
            return
        link = _OutgoingLink(address)
        self._link_by_address[address] = link
        if self._task_group is not None:
            self._task_group.start_soon(self._keep_link, link)

    def drop_incoming(self, incarnation: str) -> None:
        """Close the connections from a peer that was lost.

        What the peer has sent on them may arrive long after it was sent. It connects again, and
        repeats what still holds.
        """
        for connection in [c for c in self._incoming if c.incarnation == incarnation]:
            self._incoming.discard(connection)
            connection.abort()

    def refusing_addresses(self) -> set[str]:
        """Return the addresses that refused the last connection attempt."""
        return {address for address, link in self._link_by_address.items() if link.refused}

    def send(self, incarnation: str, message: Frame) -> bool:
        """Queue a message for a peer; return whether it was queued on an open link."""
        link = self._link_by_incarnation.get(incarnation)
        if link is None or link.queue is None or link.is_full:
            return False
        if len(link.queue) >= MAX_QUEUED_MESSAGES:
            # On a new link, everything that still holds is repeated.
            log_event(logger, logging.WARNING, "peer-queue-full", peer=link.address)
            link.is_full = True
            link.has_work.set()
            return False
        if isinstance(message, Presence):
            link.sent_state = None
        link.queue.append(message)
        link.has_work.set()
        return True

    def announce(self) -> None:
        """Send the presence message of this process to all peers immediately."""
        for link in self._link_by_address.values():
            if link.queue is not None and link.incarnation:
                self.send(link.incarnation, self._describe(link.incarnation))

    async def _keep_link(self, link: _OutgoingLink) -> None:
        backoff_s = INITIAL_BACKOFF_S
        unsent = 0
        while True:
            try:
                connection = await self._connect(link)
                link.refused = False
                try:
                    await self._send_all(link, connection)
                finally:
                    unsent = len(link.queue or ())
                    link.queue = None
                    connection.abort()
                    if current_time() - link.connected_at > STABLE_LINK_S:
                        backoff_s = INITIAL_BACKOFF_S
            except LINK_ERRORS as error:
                link.refused = isinstance(error, ConnectionRefusedError)
                if link.refused and link.incarnation:
                    self._on_refused(link.incarnation)
                if link.connected_at:
                    reason = f"{type(error).__name__}: {error}"
                    log_event(
                        logger,
                        logging.WARNING,
                        "peer-link-lost",
                        peer=link.address,
                        reason=reason,
                        unsent=unsent,
                    )
            link.connected_at = 0.0
            with anyio.move_on_after(backoff_s):
                await link.wake.wait()
            link.wake = anyio.Event()
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _connect(self, link: _OutgoingLink) -> OutgoingConnection:
        host, _, port = link.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: OutgoingConnection(link.has_work.set), host, int(port)
                )
        except (OSError, ValueError, OverflowError) as error:
            # Addresses come from rows and messages of others, and may be none.
            raise OSError("connection failed") from error
        return connection

    async def _send_all(self, link: _OutgoingLink, connection: OutgoingConnection) -> None:
        link.queue = deque()
        link.is_full = False
        link.connected_at = current_time()
        link.sent_state = None
        await self._send_presence(link, connection)
        log_event(logger, logging.INFO, "peer-link-opened", peer=link.address)
        if link.incarnation:
            self._on_link(link.incarnation)
        await self._send_queued(link, connection, link.queue)

    async def _send_queued(
        self, link: _OutgoingLink, connection: OutgoingConnection, queue: deque[Frame]
    ) -> None:
        loop = asyncio.get_running_loop()
        link.heartbeat_due = False
        heartbeat_at = self._next_heartbeat_at(link, loop.time())
        timer = loop.call_at(heartbeat_at, link.note_heartbeat_due)
        try:
            while True:
                connection.check()
                if link.is_full:
                    raise anyio.BrokenResourceError("too many queued messages")
                if not queue and not link.heartbeat_due:
                    link.has_work.clear()
                    await link.has_work.wait()
                    continue
                # Queued messages are sent in one write: with a write for each, a busy process
                # would send only some tens of messages a second to each peer.
                messages = [queue.popleft() for _ in range(min(len(queue), MAX_BATCH_MESSAGES))]
                if messages:
                    await connection.send(messages)
                # The interval is shorter from the moment when the peer or this process owns a
                # shard.
                latest_at = self._next_heartbeat_at(link, loop.time())
                is_due = link.heartbeat_due
                if is_due or latest_at < heartbeat_at:
                    timer.cancel()
                    link.heartbeat_due = False
                    heartbeat_at = latest_at
                    timer = loop.call_at(heartbeat_at, link.note_heartbeat_due)
                if is_due:
                    await self._send_presence(link, connection)
                    self._check_reachable(link)
        finally:
            timer.cancel()

    def _next_heartbeat_at(self, link: _OutgoingLink, now: float) -> float:
        """Return the time of the next heartbeat, at which those to other peers are also due."""
        latest_at = now + self._heartbeat_s(link.incarnation)
        return latest_at - latest_at % HEARTBEAT_STEP_S

    async def _send_presence(self, link: _OutgoingLink, connection: OutgoingConnection) -> None:
        state = self._state(link.incarnation)
        if state == link.sent_state:
            heard_sequence = self._heard_sequence(link.incarnation)
            await connection.send([PresenceUnchanged(self._next_sequence(), heard_sequence)])
            return
        # The state is not kept across a wait, in which a queued presence message may be sent.
        link.sent_state = state
        await connection.send([self._describe(link.incarnation)])

    def _check_reachable(self, link: _OutgoingLink) -> None:
        open_s = current_time() - link.connected_at
        if (
            link.incarnation
            and open_s > REACHABILITY_TIMEOUT_S
            and not self._is_reachable(link.incarnation)
        ):
            raise TimeoutError("heartbeats do not arrive in both directions")

    def _receive(self, connection: IncomingConnection, message: Frame) -> None:
        if isinstance(message, Presence):
            is_new = message.incarnation != connection.incarnation
            if is_new and not self._replace_incoming(connection, message):
                return
            connection.incarnation = message.incarnation
            connection.presence = message
            connection.peer = message.address
            self._note_presence(message)
            self._on_message(message.incarnation, message)
            if is_new:
                self._on_link(message.incarnation)
        elif isinstance(message, PresenceUnchanged):
            presence = connection.presence
            if presence is None:
                raise MessageError("receive frame", connection.peer, "no presence message before")
            self._note_presence(presence)
            if not self._on_unchanged(presence, message):
                # The peer has timed out or was removed since: handle its presence anew.
                connection.presence = replace(
                    presence, sequence=message.sequence, heard_sequence=message.heard_sequence
                )
                self._on_message(presence.incarnation, connection.presence)
        elif connection.incarnation:
            self._on_message(connection.incarnation, message)

    def _replace_incoming(self, connection: IncomingConnection, presence: Presence) -> bool:
        """Close the earlier connections of a peer that has opened a new one.

        What they have delivered is followed by what the peer repeats on the new one; anything
        that arrives on them later is out of order.

        :param connection: connection on which a presence message of the peer has arrived first.
        :param presence: the message.
        :returns: whether the connection is the latest one; it is closed if it is not.
        """
        for other in [c for c in self._incoming if c.incarnation == presence.incarnation]:
            is_later = other.presence is not None and other.presence.sequence > presence.sequence
            closed = connection if is_later else other
            self._incoming.discard(closed)
            closed.abort()
            if is_later:
                return False
        return True

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
