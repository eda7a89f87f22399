"""Processes that exchange crashes and retractions over any links, in any order."""

import random
from dataclasses import dataclass, replace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingport_dispatch import process
from redwingport_dispatch.process import DispatchProcess
from redwingport_dispatch.scheduling.crashes import (
    RECORD_TTL_S,
    Crash,
    CrashLog,
    Lifetime,
    Retraction,
)
from redwingport_messages.dispatch import ServerCrashes

PROCESSES = 4
TASKS = ("a.0.0.0", "a.0.0.1", "b.0.0.0")
LIFETIMES = (Lifetime("s0", 1), Lifetime("s0", 2), Lifetime("s1", 1))
MAX_DELAY_MS = 50
# Differences between the clocks of processes, and steps of a clock.
OFFSETS_MS = st.integers(-5_000, 5_000)

NUMBERS = st.integers(0, PROCESSES - 1)
STEPS = st.one_of(
    st.tuples(
        st.just("observe"),
        NUMBERS,
        st.sampled_from(TASKS),
        st.sampled_from(LIFETIMES),
        st.booleans(),
    ),
    st.tuples(st.just("clear"), NUMBERS, st.sampled_from(TASKS)),
    st.tuples(st.just("survived"), NUMBERS, st.sampled_from(LIFETIMES)),
    st.tuples(st.just("link"), NUMBERS, NUMBERS),
    st.tuples(st.just("deliver"), st.integers(0, 1000), st.booleans()),
    st.tuples(st.just("clock"), NUMBERS, OFFSETS_MS),
)


@dataclass(frozen=True)
class Delivery:
    """Represent a message under way."""

    sender: int
    receiver: int
    message: ServerCrashes


class Peer:
    """Exchange crashes like a dispatch process.

    :param network: the network of the process.
    :param number: number of the process.
    """

    _announce_retraction = DispatchProcess._announce_retraction
    _handle_crashes = DispatchProcess._handle_crashes

    def __init__(self, network: "Network", number: int) -> None:
        self.offset_ms = 0
        self._network = network
        self._number = number
        self._crash_log = CrashLog(
            self._count_crashes, self._count_retraction, clock_ms=self._clock_ms
        )

    def _clock_ms(self) -> int:
        return round(self._network.now * 1000) + self.offset_ms

    def _count_crashes(self, crashes: list[Crash]) -> None:
        self._network.announced += len(crashes)
        self._send_to_peers(process._encode_crashes(crashes, []))

    def _count_retraction(self, retraction: Retraction) -> None:
        self._network.announced += 1
        self._announce_retraction(retraction)

    def _send_to_peers(self, message: ServerCrashes, except_for: str = "") -> None:
        for receiver in self._network.peers_of(self._number):
            if str(receiver) != except_for:
                self._network.send(self._number, receiver, message)

    def contents(self) -> tuple[set[Crash], set[Retraction]]:
        log = self._crash_log
        return (
            {replace(crash, expires_at=0.0) for crash in log.all_crashes()},
            {replace(retraction, expires_at=0.0) for retraction in log.all_retractions()},
        )


class Network:
    """Connect processes, all to all or all to one hub."""

    def __init__(self, has_hub: bool) -> None:
        self.now = 1000.0
        self.announced = 0
        self.sent = 0
        self.under_way: list[Delivery] = []
        self._has_hub = has_hub
        self.peers = [Peer(self, number) for number in range(PROCESSES)]

    def peers_of(self, number: int) -> list[int]:
        if self._has_hub and number:
            return [0]
        return [other for other in range(PROCESSES) if other != number]

    def send(self, sender: int, receiver: int, message: ServerCrashes) -> None:
        self.sent += 1
        self.under_way.append(Delivery(sender, receiver, message))

    def open_link(self, sender: int, receiver: int) -> None:
        log = self.peers[sender]._crash_log
        message = process._encode_crashes(log.all_crashes(), log.all_retractions())
        self.send(sender, receiver, message)

    def deliver(self, index: int, delay_ms: int, keep: bool = False) -> None:
        self.now += delay_ms / 1000
        position = index % len(self.under_way)
        delivery = self.under_way[position]
        if not keep:
            del self.under_way[position]
        peer = self.peers[delivery.receiver]
        peer._handle_crashes(str(delivery.sender), delivery.message)  # type: ignore[arg-type]

    def perform(self, step: tuple) -> None:  # type: ignore[type-arg]
        kind, *arguments = step
        self.now += 0.001
        if kind == "deliver":
            if self.under_way:
                self.deliver(arguments[0], arguments[0] % MAX_DELAY_MS, keep=arguments[1])
            return
        number = arguments.pop(0)
        peer = self.peers[number]
        log = peer._crash_log
        if kind == "observe":
            log.observe([Crash(*arguments, self.now + RECORD_TTL_S)])
        elif kind == "clear":
            log.clear(arguments[0], self.now)
        elif kind == "survived":
            log.note_survived(arguments[0], self.now)
        elif kind == "clock":
            peer.offset_ms = arguments[0]
        elif arguments[0] in self.peers_of(number):
            self.open_link(number, arguments[0])

    def settle(self, order: random.Random) -> None:
        """Deliver all messages; each log may pass on each item once."""
        limit = len(self.under_way) + self.announced * PROCESSES * (PROCESSES - 1)
        for _ in range(limit):
            if not self.under_way:
                return
            self.deliver(order.randrange(1000), order.randrange(MAX_DELAY_MS))
        assert not self.under_way, "the exchange goes on"


# Guards against processes that pass on crashes and retractions to each other without end, after a
# crash has arrived later than its retraction.
@settings(max_examples=400)
@given(
    st.booleans(),
    st.lists(OFFSETS_MS, min_size=PROCESSES, max_size=PROCESSES),
    st.lists(STEPS, max_size=30),
    st.integers(0, 1000),
)
def test_exchange_falls_silent_with_equal_contents(
    has_hub: bool,
    offsets_ms: list[int],
    steps: list[tuple],  # type: ignore[type-arg]
    seed: int,
) -> None:
    network = Network(has_hub)
    for peer, offset_ms in zip(network.peers, offsets_ms, strict=True):
        peer.offset_ms = offset_ms
    order = random.Random(seed)
    with mock.patch("redwingport_dispatch.process.current_time", lambda: network.now):
        for step in steps:
            network.perform(step)
        network.settle(order)
        assert all(peer.contents() == network.peers[0].contents() for peer in network.peers)
        sent = network.sent
        links = [(i, j) for i in range(PROCESSES) for j in network.peers_of(i)]
        for link in links:
            network.open_link(*link)
        network.settle(order)
    assert network.sent == sent + len(links), "nothing known is passed on"


# Guards against full logs that drop what they hold for what the others have dropped, and pass that
# on without end.
@settings(max_examples=200)
@given(
    st.booleans(),
    st.lists(st.tuples(NUMBERS, st.integers(0, 1)), min_size=6, max_size=40),
    st.integers(0, 1000),
)
def test_exchange_falls_silent_when_logs_are_full(
    has_hub: bool, observed: list[tuple[int, int]], seed: int
) -> None:
    network = Network(has_hub)
    order = random.Random(seed)
    with (
        mock.patch("redwingport_dispatch.process.current_time", lambda: network.now),
        mock.patch("redwingport_dispatch.scheduling.crashes.MAX_TASKS", 3),
    ):
        for task, (number, clears) in enumerate(observed):
            network.perform(("observe", number, f"job{task}.0.0.0", LIFETIMES[0], False))
            if clears:
                network.perform(("clear", number, f"job{task}.0.0.0"))
        network.settle(order)
    for peer in network.peers:
        assert len(peer._crash_log.all_crashes()) <= 3
        assert len(peer._crash_log.all_retractions()) <= 3


# Guards against crashes that expire later with each process that passes them on.
@given(st.lists(st.floats(100.0, 200.0), min_size=1, max_size=6))
def test_known_items_expire_no_later_than_reported(times: list[float]) -> None:
    log = CrashLog()
    for expires_at in times:
        log.merge([Crash(TASKS[0], LIFETIMES[0], False, expires_at, 7)])
        log.retract(Retraction(TASKS[1], expires_at, 7))
    assert [crash.expires_at for crash in log.all_crashes()] == [min(times)]
    assert [retraction.expires_at for retraction in log.all_retractions()] == [min(times)]


# Guards against ignoring a crash because the clock was set back since the last retraction.
@given(OFFSETS_MS, OFFSETS_MS)
def test_later_crash_counts_though_the_clock_has_stepped_back(first: int, second: int) -> None:
    clock_ms = [10_000, 10_000 + first, 10_000 + first + second]
    log = CrashLog(clock_ms=lambda: clock_ms[0])
    crash = Crash(TASKS[0], LIFETIMES[0], False, 160.0)
    for _ in range(3):
        assert log.observe([crash])
        log.clear(TASKS[0], 100.0)
        assert not log.is_suspect(TASKS[0])
        clock_ms.append(clock_ms.pop(0))
