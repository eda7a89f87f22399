"""The links of this process: which peers it dials, and the one link kept for each peer."""

import logging
import random
from collections import defaultdict
from collections.abc import Iterator
from functools import partial

import anyio
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.tls import TLSStream

from redwingport_entry.exceptions import PeerError
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.metrics import Metrics
from redwingport_entry.peers.framing import FrameStream
from redwingport_entry.peers.handshake import accept_handshake, dial_handshake, make_hello
from redwingport_entry.peers.link import LINK_ERRORS, Handler, PeerLink
from redwingport_entry.peers.tls import client_context, server_context
from redwingport_entry.settings import Settings
from redwingport_entry.supervisor import Supervisor
from redwingport_messages.frames import Frame, Heartbeat, Hello
from redwingport_messages.vms import VmInfo, VmKind
from redwingport_policy.subset import rendezvous_subset
from redwingport_state.membership import MembershipView

DIAL_INTERVAL_S = 0.25
DIAL_TIMEOUT_S = 2.0
MAX_BACKOFF_S = 4.0
# The platform's VM list usually arrives within this time and makes seeds unnecessary.
SEED_DELAY_S = 0.5
SEEDS_PER_ROUND = 3
UNWANTED_LINK_IDLE_S = 10.0
# Longest gap between heartbeats on a link with other traffic.
MAX_HEARTBEAT_GAP_INTERVALS = 3

logger = logging.getLogger(ROOT)


class PeerMesh:
    """Open and accept links, and keep them alive.

    A process links to every other one of its failure domain, and to a few of each other failure
    domain, chosen by rendezvous hashing.

    :param task_group: task group that runs the links.
    :param settings: settings of the process.
    :param incarnation: incarnation of this process.
    :param membership: the view of all VMs.
    :param metrics: metrics of the process.
    :param handle: called with each message from a peer.
    :ivar link_by_vm: the registered link to each VM; it may already be closed.
    :ivar synced_vms: VMs that answered a sync request since this process started.
    :ivar vms_version: version of the VM list in force, sent in heartbeats.
    :ivar queued: number of queued tasks and requests, sent in heartbeats.
    :ivar leaving: whether this process is draining, sent in heartbeats.
    """

    def __init__(
        self,
        task_group: TaskGroup,
        settings: Settings,
        incarnation: str,
        membership: MembershipView,
        metrics: Metrics,
        handle: Handler,
    ) -> None:
        self.link_by_vm: dict[str, PeerLink] = {}
        self.synced_vms: set[str] = set()
        self.own_name = settings.entry.name
        self.own_domain = settings.entry.domain
        self.vms_version = 0
        self.queued = 0
        self.leaving = False
        self._settings = settings
        self._incarnation = incarnation
        self._membership = membership
        self._metrics = metrics
        self._handle = handle
        self._supervisor = Supervisor(task_group, "peers")
        self._secret = settings.peers.secret.get_secret_value().encode()
        self._dialing: set[str] = set()
        self._chosen_by_domain: dict[str, set[str]] = {}
        self._failures_by_name: dict[str, int] = defaultdict(int)
        self._retry_at_by_name: dict[str, float] = {}

    def links(self, domain: str | None = None) -> Iterator[PeerLink]:
        """Yield the open links.

        :param domain: only links to this failure domain; None for all.
        """
        for link in list(self.link_by_vm.values()):
            if not link.is_closed and (domain is None or link.peer.domain == domain):
                yield link

    def unsynced_peers(self) -> list[str]:
        """Return the listed peers of the domain that neither synced nor failed their last dial."""
        return [
            info.vm
            for info in self._membership.entry_vms_in(self.own_domain)
            if info.vm != self.own_name
            and info.vm not in self.synced_vms
            and not self._failures_by_name.get(info.vm)
        ]

    async def broadcast(self, message: Frame, skip: str = "") -> None:
        """Send a message on every link but one.

        :param skip: VM to leave out, because the message came from it.
        """
        async with anyio.create_task_group() as task_group:
            for link in self.links():
                if link.peer.vm != skip:
                    task_group.start_soon(self._send_or_log, link, message)

    async def listen(self) -> None:
        """Accept links on the peer address of the settings."""
        own = self._settings.entry
        listener = await anyio.create_tcp_listener(
            local_host=own.peer_host, local_port=own.peer_port, reuse_port=False
        )
        async with listener:
            await listener.serve(self._accept)

    async def dial(self) -> None:
        """Open missing links and close unneeded ones, on a timer."""
        started_at = anyio.current_time()
        while True:
            now = anyio.current_time()
            wanted = list(self._missing_links())
            if not self._membership.vm_list.vms and now - started_at >= SEED_DELAY_S:
                wanted = self._seeds()
            await self._close_unwanted(now)
            for name, host, port in wanted:
                if name not in self._dialing and self._retry_at_by_name.get(name, 0.0) <= now:
                    self._dialing.add(name)
                    self._supervisor.start(f"dial-{name}", partial(self._dial, name, host, port))
            await anyio.sleep(DIAL_INTERVAL_S)

    async def send_heartbeats(self) -> None:
        """Send heartbeats on links that carried no other message within the interval.

        Links with other traffic get one every :data:`MAX_HEARTBEAT_GAP_INTERVALS` intervals.
        """
        peers = self._settings.peers
        while True:
            await anyio.sleep(peers.heartbeat_s / 4)
            now = anyio.current_time()
            # Sent concurrently: a peer that does not read delays only its own heartbeat.
            async with anyio.create_task_group() as task_group:
                for link in self.links():
                    near = link.peer.domain == self.own_domain
                    interval_s = peers.heartbeat_s if near else peers.remote_heartbeat_s
                    # Other messages prove liveness, but carry neither the queue length nor the
                    # version of the VM list.
                    quiet = now - link.sent_at >= interval_s
                    if (
                        quiet
                        or now - link.heartbeat_sent_at >= interval_s * MAX_HEARTBEAT_GAP_INTERVALS
                    ):
                        task_group.start_soon(self._send_or_log, link, self.heartbeat())

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state of this process."""
        weight = self._settings.entry.weight
        return Heartbeat(weight, self.queued, self.leaving, self.vms_version)

    async def reach(self, vm: str) -> PeerLink:
        """Return a link to a VM, opening one if there is none.

        :raises PeerError: when the VM is not a listed entry VM or no link opens in time.
        """
        link = self.link_by_vm.get(vm)
        if link is not None and not link.is_closed:
            return link
        info = self._membership.info_by_vm.get(vm)
        if info is None or info.kind is not VmKind.ENTRY:
            raise PeerError("reach peer", vm, "the VM is not listed")
        if vm not in self._dialing:
            self._dialing.add(vm)
            self._supervisor.start(
                f"reach-{vm}", partial(self._dial, vm, info.host, info.peer_port)
            )
        with anyio.move_on_after(DIAL_TIMEOUT_S):
            while vm in self._dialing:
                await anyio.sleep(0.01)
        # The wait also ends when the dial succeeded.
        link = self.link_by_vm.get(vm)
        if link is not None and not link.is_closed:
            return link
        raise PeerError("reach peer", vm, "no link was opened in time")

    def _missing_links(self) -> Iterator[tuple[str, str, int]]:
        own = self._settings.entry
        infos_by_domain: dict[str, list[VmInfo]] = defaultdict(list)
        for info in self._membership.of_kind(VmKind.ENTRY):
            if info.vm != own.name and info.peer_port:
                infos_by_domain[info.domain].append(info)
        for domain, infos in infos_by_domain.items():
            names = [info.vm for info in infos]
            if domain != own.domain:
                size = self._settings.peers.links_per_domain
                names = rendezvous_subset(own.name, names, size)
            self._chosen_by_domain[domain] = set(names)
            for info in infos:
                link = self.link_by_vm.get(info.vm)
                if info.vm in names and (link is None or link.is_closed):
                    yield info.vm, info.host, info.peer_port

    def _seeds(self) -> list[tuple[str, str, int]]:
        """Return a few seeds to dial while no VM list is known."""
        seeds = list(self._settings.peers.seeds)
        if any(True for _ in self.links()) or self._dialing:
            return []
        chosen = random.sample(seeds, min(SEEDS_PER_ROUND, len(seeds)))
        parts = [(seed, *seed.rpartition(":")[::2]) for seed in chosen]
        return [(seed, host.strip("[]"), int(port)) for seed, host, port in parts]

    async def _close_unwanted(self, now: float) -> None:
        """Close idle links that this process dialed to peers outside its chosen set."""
        if not self._membership.vm_list.vms:
            return
        for link in list(self.links()):
            chosen = self._chosen_by_domain.get(link.peer.domain, set())
            idle = link.is_idle_since(now - UNWANTED_LINK_IDLE_S)
            if link.dialed and link.peer.vm not in chosen and idle:
                await link.close()

    async def _dial(self, name: str, host: str, port: int) -> None:
        """Open one link and serve it; a failure delays the next attempt by exponential backoff."""
        try:
            with anyio.fail_after(DIAL_TIMEOUT_S):
                stream = await self._connect(host, port)
            frames = FrameStream(stream, name)
            peer = await self._authenticate(frames, dialed=True)
        except (*LINK_ERRORS, TimeoutError, PeerError) as error:
            self._failures_by_name[name] += 1
            delay_s = min(DIAL_INTERVAL_S * 2 ** self._failures_by_name[name], MAX_BACKOFF_S)
            self._retry_at_by_name[name] = anyio.current_time() + delay_s
            self._dialing.discard(name)
            reason = f"{type(error).__name__}: {error}"
            log_event(logger, logging.WARNING, "dial-failed", peer=name, error=reason)
            return
        self._failures_by_name.pop(name, None)
        try:
            await self._serve(frames, peer, dialed=True, dial_name=name)
        finally:
            self._dialing.discard(name)

    async def _connect(self, host: str, port: int) -> ByteStream:
        stream: ByteStream = await anyio.connect_tcp(host, port)
        context = client_context(self._settings.peers)
        if context is not None:
            stream = await TLSStream.wrap(
                stream, server_side=False, ssl_context=context, standard_compatible=False
            )
        return stream

    async def _accept(self, stream: ByteStream) -> None:
        try:
            context = server_context(self._settings.peers)
            if context is not None:
                with anyio.fail_after(DIAL_TIMEOUT_S):
                    stream = await TLSStream.wrap(
                        stream, server_side=True, ssl_context=context, standard_compatible=False
                    )
            frames = FrameStream(stream, "unknown")
            peer = await self._authenticate(frames, dialed=False)
        except (*LINK_ERRORS, TimeoutError, PeerError) as error:
            reason = f"{type(error).__name__}: {error}"
            log_event(logger, logging.WARNING, "peer-refused", error=reason)
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await stream.aclose()
            return
        await self._serve(frames, peer, dialed=False)

    async def _authenticate(self, frames: FrameStream, dialed: bool) -> Hello:
        own = self._settings.entry
        hello = make_hello(own.name, own.domain, self._incarnation)
        run_handshake = dial_handshake if dialed else accept_handshake
        peer = await run_handshake(frames, hello, self._secret)
        if peer.incarnation == self._incarnation:
            raise PeerError("handshake", peer.vm, "the peer is this process itself")
        frames.peer = peer.vm
        return peer

    async def _serve(
        self, frames: FrameStream, peer: Hello, dialed: bool, dial_name: str = ""
    ) -> None:
        link = PeerLink(frames, peer, dialed, self._settings.peers.timeout_s, self._metrics)
        if not await self._register(link):
            await link.close()
            return
        self._dialing.discard(dial_name)
        log_event(
            logger,
            logging.INFO,
            "peer-linked",
            peer=peer.vm,
            incarnation=peer.incarnation,
            dialed=dialed,
        )
        try:
            await self._send_or_log(link, self.heartbeat())
            await link.serve(self._handle)
        finally:
            await link.close()
            if self.link_by_vm.get(peer.vm) is link:
                del self.link_by_vm[peer.vm]
            self._metrics.peers.set(len(self.link_by_vm))
            log_event(logger, logging.INFO, "peer-lost", peer=peer.vm)

    async def _register(self, link: PeerLink) -> bool:
        """Register a link as the one for its VM, unless a preferred one is already open.

        :returns: whether the link was registered.
        """
        vm = link.peer.vm
        self._membership.incarnation_by_vm[vm] = link.peer.incarnation
        old = self.link_by_vm.get(vm)
        if old is not None and not old.is_closed:
            # When both sides dial at once, both keep the link dialed by the smaller name.
            preferred = link.dialed == (self._settings.entry.name < vm)
            if old.peer.incarnation == link.peer.incarnation and not preferred:
                return False
            self.link_by_vm[vm] = link
            # The acceptor closes the other link, so that both sides have registered the preferred
            # one before calls on the other one fail.
            if old.peer.incarnation != link.peer.incarnation or not link.dialed:
                await old.close()
        self.link_by_vm[vm] = link
        self._metrics.peers.set(len(self.link_by_vm))
        return True

    async def _send_or_log(self, link: PeerLink, message: Frame) -> None:
        try:
            await link.send(message)
        except PeerError as error:
            log_event(logger, logging.INFO, "send-failed", peer=link.peer.vm, error=error.reason)
