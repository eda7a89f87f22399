"""Links between processes under load."""

import contextlib
import itertools
import random
import socket
import time
from collections.abc import AsyncIterator, Iterator

import anyio
import pytest

from redwingport_dispatch import peers
from redwingport_dispatch.connections import OutgoingConnection
from redwingport_dispatch.peers import Mesh
from redwingport_messages.dispatch import Presence, PresenceUnchanged, TaskNews
from redwingport_messages.frames import Frame, encode_frame

pytestmark = pytest.mark.anyio

HEARTBEAT_S = 0.15
MESSAGES = 300
# A burst of three times the normal load puts about 100 messages a second on a link.
DELIVERED_S = 3.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


_reservations: list[socket.socket] = []


@pytest.fixture(autouse=True)
def released_ports() -> Iterator[None]:
    yield
    while _reservations:
        _reservations.pop().close()


def free_address() -> str:
    """Return an unused address whose port the system assigns to no outgoing connection.

    Otherwise a link that is opened before the process listens could get that port. Until the end
    of the test, only servers can bind to it, so that no other caller is given the same address.
    """
    while True:
        port = random.randrange(20_000, 32_000)
        reservation = socket.socket()
        _reservations.append(reservation)
        with contextlib.suppress(OSError):
            reservation.bind(("127.0.0.1", port))
            # From now on, servers can listen on the port, as they set the same option.
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            return f"127.0.0.1:{port}"


# Guards against two processes of a test that are given the same port: the first one listens only
# after the address of the second one was chosen.
def test_addresses_of_the_processes_of_a_test_differ(monkeypatch: pytest.MonkeyPatch) -> None:
    first = free_address()
    host, _, port = first.rpartition(":")
    draw, draws = random.randrange, iter([int(port)])
    monkeypatch.setattr(random, "randrange", lambda *span: next(draws, 0) or draw(*span))
    assert free_address() != first
    assert next(draws, 0) == 0
    # One server can listen on a port that is kept.
    with socket.create_server((host, int(port))), pytest.raises(OSError):
        socket.create_server((host, int(port)))


class Process:
    """One end of a link, with the messages that it received."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = free_address()
        self.received: list[Frame] = []
        self.heartbeat_s = HEARTBEAT_S
        self.draining = False
        self.renews = True
        self.renewed: list[tuple[Presence, int]] = []
        self.sequence = itertools.count(1)
        self.linked: list[str] = []
        self.mesh = Mesh(
            self.address,
            lambda peer: self.heartbeat_s,
            lambda peer: self._describe(),
            lambda peer: self.draining,
            lambda: next(self.sequence),
            lambda peer: 0,
            lambda peer: True,
            lambda sender, message: self.received.append(message),
            self._renew,
            self.linked.append,
            lambda peer: None,
        )

    def task_event_count(self) -> int:
        return sum(isinstance(message, TaskNews) for message in self.received)

    def presence_count(self) -> int:
        return sum(isinstance(message, Presence) for message in self.received)

    def heartbeat_count(self) -> int:
        return self.presence_count() + len(self.renewed)

    def _renew(self, presence: Presence, heartbeat: PresenceUnchanged) -> bool:
        self.renewed.append((presence, heartbeat.sequence))
        return self.renews

    def _describe(self) -> Presence:
        return Presence(
            self.name,
            next(self.sequence),
            0,
            self.name,
            "d",
            self.address,
            1000,
            0,
            1,
            1,
            [],
            150,
            self.draining,
            True,
            1,
        )


async def test_process_with_busy_event_loop_delivers_task_events() -> None:
    """Guard against messages that queue up because each one needs a write of its own.

    During a burst, each iteration of an owner's event loop takes 10 ms.
    """
    sender, receiver = Process("sender"), Process("receiver")

    async def keep_busy() -> None:
        while True:
            time.sleep(0.01)
            await anyio.sleep(0)

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        receiver.mesh.add_address(sender.address)
        with anyio.fail_after(5):
            while not sender.mesh.send("receiver", TaskNews([])):
                await anyio.sleep(0.01)
        task_group.start_soon(keep_busy)
        started_at = anyio.current_time()
        for number in range(MESSAGES):
            sender.mesh.send("receiver", TaskNews([(number, 0, "done", 1, "s")]))
        with anyio.move_on_after(DELIVERED_S):
            while receiver.task_event_count() <= MESSAGES:
                await anyio.sleep(0.01)
        assert receiver.task_event_count() == MESSAGES + 1, anyio.current_time() - started_at
        task_group.cancel_scope.cancel()


# Guards against a new owner that drops the work items of reachable holders: their next heartbeat
# was still scheduled at the long interval that they keep to processes that own nothing.
async def test_shorter_heartbeat_interval_applies_after_the_next_message() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    sender.heartbeat_s = 60.0
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        receiver.mesh.add_address(sender.address)
        with anyio.fail_after(5):
            while not sender.mesh.send("receiver", TaskNews([])):
                await anyio.sleep(0.01)
            while not receiver.task_event_count():
                await anyio.sleep(0.01)
        before = receiver.heartbeat_count()
        sender.heartbeat_s = HEARTBEAT_S
        sender.mesh.announce()
        with anyio.move_on_after(20 * HEARTBEAT_S):
            while receiver.heartbeat_count() < before + 3:
                await anyio.sleep(0.01)
        assert receiver.heartbeat_count() >= before + 3
        task_group.cancel_scope.cancel()


async def test_unexpected_error_of_a_message_handler_ends_the_mesh() -> None:
    """Guard against errors that only close a link, so that nobody restarts the mesh."""
    sender, receiver = Process("sender"), Process("receiver")

    def fail(peer: str, message: Frame) -> None:
        raise ZeroDivisionError

    receiver.mesh._on_message = fail
    with anyio.fail_after(5):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(sender.mesh.run)
            sender.mesh.add_address(receiver.address)
            with pytest.raises(ExceptionGroup) as caught:
                await receiver.mesh.run()
            task_group.cancel_scope.cancel()
    assert caught.group_contains(ZeroDivisionError)


async def test_restarted_mesh_links_again() -> None:
    """Guard against messages that are queued for the links of a mesh that has ended."""
    sender, receiver = Process("sender"), Process("receiver")
    sender.mesh.add_address(receiver.address)
    receiver.mesh.add_address(sender.address)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(receiver.mesh.run)
            async with anyio.create_task_group() as first:
                first.start_soon(sender.mesh.run)
                while not sender.mesh.send("receiver", TaskNews([])):
                    await anyio.sleep(0.01)
                first.cancel_scope.cancel()
            assert not sender.mesh.send("receiver", TaskNews([]))
            task_group.start_soon(sender.mesh.run)
            before = receiver.task_event_count()
            while receiver.task_event_count() == before:
                sender.mesh.send("receiver", TaskNews([]))
                await anyio.sleep(0.01)
            task_group.cancel_scope.cancel()


async def wait_for_heartbeats(process: Process, count: int) -> None:
    with anyio.fail_after(5):
        while len(process.renewed) < count:
            await anyio.sleep(0.01)


# Guards against heartbeats that take most of the bytes and processor time of a large system.
async def test_heartbeats_that_change_nothing_are_short_until_something_changes() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        sender.mesh.add_address(receiver.address)
        await wait_for_heartbeats(receiver, 3)
        assert receiver.presence_count() <= 2
        sequences = [sequence for _, sequence in receiver.renewed]
        assert sequences == sorted(set(sequences))
        sender.draining = True
        with anyio.fail_after(5):
            while not any(isinstance(m, Presence) and m.draining for m in receiver.received):
                await anyio.sleep(0.01)
        receiver.renewed.clear()
        await wait_for_heartbeats(receiver, 1)
        assert all(presence.draining for presence, _ in receiver.renewed)
        task_group.cancel_scope.cancel()


# Guards against short heartbeats that repeat a message which a later one has replaced.
async def test_announcement_is_followed_by_a_whole_presence_message() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        receiver.mesh.add_address(sender.address)
        await wait_for_heartbeats(receiver, 1)
        # Announced and taken back before the next heartbeat, whose state is that of the last one.
        sender.draining = True
        sender.mesh.announce()
        sender.draining = False
        receiver.renewed.clear()
        await wait_for_heartbeats(receiver, 1)
        assert any(isinstance(m, Presence) and m.draining for m in receiver.received)
        assert not receiver.renewed[-1][0].draining
        task_group.cancel_scope.cancel()


async def test_short_heartbeat_of_a_peer_that_was_removed_is_handled_as_its_presence() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    receiver.renews = False
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        receiver.mesh.add_address(sender.address)
        await wait_for_heartbeats(receiver, 1)
        [*_, (_, sequence)] = receiver.renewed
        last = receiver.received[-1]
        assert isinstance(last, Presence)
        assert last.sequence == sequence
        task_group.cancel_scope.cancel()


# Guards against a process that wakes up for each of its peers, hundreds of times a second.
async def test_heartbeats_to_many_peers_leave_together() -> None:
    sender = Process("sender")
    receivers = [Process(f"receiver-{number}") for number in range(8)]
    asked_at: list[float] = []

    def note_heartbeat(peer: str) -> bool:
        asked_at.append(anyio.current_time())
        return False

    sender.mesh._state = note_heartbeat
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        for receiver in receivers:
            task_group.start_soon(receiver.mesh.run)
            sender.mesh.add_address(receiver.address)
            # Links that are opened at different times.
            await anyio.sleep(0.013)
        for receiver in receivers:
            await wait_for_heartbeats(receiver, 1)
        asked_at.clear()
        for receiver in receivers:
            await wait_for_heartbeats(receiver, len(receiver.renewed) + 3)
        task_group.cancel_scope.cancel()
    wakeups = 1 + sum(later - earlier > 0.01 for earlier, later in itertools.pairwise(asked_at))
    assert len(asked_at) >= 3 * len(receivers)
    assert wakeups <= len(asked_at) / 2


# Guards against a malformed message that takes down the links to all other processes.
async def test_short_heartbeat_without_a_presence_message_ends_its_connection_only() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    host, _, port = receiver.address.rpartition(":")
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        sender.mesh.add_address(receiver.address)
        await wait_for_heartbeats(receiver, 1)
        for data in (encode_frame(PresenceUnchanged(1, 0)), b"\x00\x00\x00\x02\xc1\xc1"):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(data)
                with (
                    anyio.fail_after(5),
                    pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
                ):
                    await stream.receive()
        await wait_for_heartbeats(receiver, len(receiver.renewed) + 2)
        task_group.cancel_scope.cancel()


# Guards against a message that ends the links to all processes, again on each new link.
async def test_message_that_cannot_be_encoded_is_dropped_alone() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        receiver.mesh.add_address(sender.address)
        with anyio.fail_after(5):
            while not sender.mesh.send("receiver", TaskNews([])):
                await anyio.sleep(0.01)
        for number in (1, 2**70, 2):
            assert sender.mesh.send("receiver", TaskNews([(number, 0, "done", 1, "s")]))
        with anyio.fail_after(5):
            while receiver.task_event_count() < 3:
                await anyio.sleep(0.01)
        await wait_for_heartbeats(receiver, len(receiver.renewed) + 2)
        task_group.cancel_scope.cancel()
    events = [m.events for m in receiver.received if isinstance(m, TaskNews) and m.events]
    assert events == [[(1, 0, "done", 1, "s")], [(2, 0, "done", 1, "s")]]


# Guards against an address in a row or message of another writer that ends the links to all
# processes, again after every restart of the links.
@pytest.mark.parametrize("port", ["", "x", "0", "99999", "9" * 5000])
async def test_address_that_cannot_be_dialled_costs_no_link(port: str) -> None:
    sender, receiver = Process("sender"), Process("receiver")
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        sender.mesh.add_address(f"127.0.0.1:{port}")
        sender.mesh.add_address(receiver.address)
        await wait_for_heartbeats(receiver, 3)
        sender.mesh.add_address(f"127.0.0.1\0:{port}")
        await wait_for_heartbeats(receiver, len(receiver.renewed) + 2)
        task_group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def linked(sender: Process, receiver: Process) -> AsyncIterator[None]:
    """Link two processes; the link has to be opened again within the context."""
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sender.mesh.run)
        task_group.start_soon(receiver.mesh.run)
        receiver.mesh.add_address(sender.address)
        with anyio.fail_after(5):
            while not sender.mesh.send(receiver.name, TaskNews([])):
                await anyio.sleep(0.01)
            while not receiver.task_event_count():
                await anyio.sleep(0.01)
        # The link is reported twice: when it is opened, and when the peer is heard.
        await anyio.sleep(0.2)
        sender.linked.clear()
        yield
        with anyio.fail_after(5):
            while receiver.name not in sender.linked:
                await anyio.sleep(0.01)
        assert sender.mesh.send(receiver.name, TaskNews([]))
        task_group.cancel_scope.cancel()


# Guards against messages that are lost without an error, as a reset shows only at the next write.
async def test_link_that_the_peer_has_reset_is_opened_again_without_a_message() -> None:
    sender, receiver = Process("sender"), Process("receiver")
    sender.heartbeat_s = 60.0
    async with linked(sender, receiver):
        receiver.mesh.drop_incoming("sender")


# Guards against a reset that shows only at the next heartbeat, as it arrives during a write.
async def test_link_that_is_reset_during_a_write_is_opened_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    send = OutgoingConnection.send
    last = TaskNews([(1, 0, "done", 1, "s")])

    async def send_and_lose(connection: OutgoingConnection, messages: list[Frame]) -> None:
        await send(connection, messages)
        if last in messages:
            connection.abort()
            await anyio.sleep(0.01)

    monkeypatch.setattr(OutgoingConnection, "send", send_and_lose)
    sender, receiver = Process("sender"), Process("receiver")
    sender.heartbeat_s = 60.0
    async with linked(sender, receiver):
        assert sender.mesh.send("receiver", last)


# Guards against a peer that never hears what was not queued, as its link stays open.
async def test_link_whose_queue_is_full_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peers, "MAX_QUEUED_MESSAGES", 3)
    sender, receiver = Process("sender"), Process("receiver")
    async with linked(sender, receiver):
        # Without a wait in between, nothing leaves the queue.
        sent = [sender.mesh.send("receiver", TaskNews([])) for _ in range(5)]
        assert sent == [True, True, True, False, False]


# Guards against a work item that arrives on an old connection after its cancel came on a new one.
@pytest.mark.parametrize("is_later_first", [False, True])
async def test_only_the_latest_connection_of_a_peer_delivers(is_later_first: bool) -> None:
    receiver = Process("receiver")
    peer = Process("peer")
    first, second = peer._describe(), peer._describe()
    if is_later_first:
        first, second = second, first
    host, _, port = receiver.address.rpartition(":")
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(receiver.mesh.run)
        with anyio.fail_after(5):
            # Set as soon as the process listens.
            while receiver.mesh._task_group is None:
                await anyio.sleep(0.01)
            async with (
                await anyio.connect_tcp(host, int(port)) as one,
                await anyio.connect_tcp(host, int(port)) as other,
            ):
                await one.send(encode_frame(first))
                while not receiver.presence_count():
                    await anyio.sleep(0.01)
                await other.send(encode_frame(second))
                # The receiver sends nothing, and closes the earlier connection.
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await (other if is_later_first else one).receive()
                for stream, number in ((one, 1), (other, 2)):
                    with contextlib.suppress(anyio.BrokenResourceError):
                        await stream.send(encode_frame(TaskNews([(number, 0, "done", 1, "s")])))
                    await anyio.sleep(0.05)
                while not receiver.task_event_count():
                    await anyio.sleep(0.01)
        task_group.cancel_scope.cancel()
    events = [message.events for message in receiver.received if isinstance(message, TaskNews)]
    assert events == [[(1 if is_later_first else 2, 0, "done", 1, "s")]]
