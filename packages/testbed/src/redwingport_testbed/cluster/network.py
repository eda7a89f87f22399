"""Relays on the links between entry processes and to the platform, to simulate partitions."""

from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager

from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from redwingport_messages.vms import VmInfo, VmList
from redwingport_testbed.standins.platform import Platform
from redwingport_testbed.standins.relay import Relay, RelayMode
from redwingport_testbed.standins.server import Site, serving


class PlatformView:
    """Serve the platform to one failure domain, with the peer ports replaced by relay ports.

    :param platform: the platform.
    :param peer_port_by_vm: port of the relay to each entry VM's peer port, by VM name.
    """

    def __init__(self, platform: Platform, peer_port_by_vm: dict[str, int]) -> None:
        self._platform = platform
        self._peer_port_by_vm = peer_port_by_vm

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Rewrite the VM list and pass all other requests to the platform."""
        app: ASGIApp = self._platform.app
        faults = self._platform.faults
        if scope["type"] == "http" and scope["path"] == "/vms" and not faults.outage:
            body = self._rewritten(self._platform.lists.served(faults.list_lag_s))
            app = Response(body.model_dump_json(), media_type="application/json")
        await app(scope, receive, send)

    def _rewritten(self, vm_list: VmList) -> VmList:
        vms = tuple(
            vm.model_copy(update={"peer_port": self._peer_port_by_vm.get(vm.vm, vm.peer_port)})
            for vm in vm_list.vms
        )
        return VmList(version=vm_list.version, vms=vms)


class Network:
    """Run a relay from each failure domain to each entry VM, and from each VM to the platform."""

    def __init__(self) -> None:
        self.relay_by_link: dict[tuple[str, str], Relay] = {}
        self.relay_to_platform_by_vm: dict[str, Relay] = {}
        self._domain_by_vm: dict[str, str] = {}

    def peer_ports(self, domain: str) -> dict[str, int]:
        """Return the ports at which a failure domain reaches the entry VMs, by VM name."""
        return {vm: r.port for (source, vm), r in self.relay_by_link.items() if source == domain}

    async def cut(self, domain: str, mode: RelayMode = RelayMode.SWALLOW) -> None:
        """Cut the peer links between a failure domain and all others, in both directions."""
        for (source, vm), relay in self.relay_by_link.items():
            if (source == domain) != (self._domain_by_vm[vm] == domain):
                await relay.set_mode(mode)

    async def cut_platform(self, vms: Iterable[str], mode: RelayMode = RelayMode.DROP) -> None:
        """Cut the links between entry VMs and the platform."""
        for vm in vms:
            await self.relay_to_platform_by_vm[vm].set_mode(mode)

    async def restore(self) -> None:
        """Restore all links, and close the connections that lost bytes."""
        for relay in (*self.relay_by_link.values(), *self.relay_to_platform_by_vm.values()):
            if relay.mode is RelayMode.SWALLOW:
                await relay.set_mode(RelayMode.DROP)
            await relay.set_mode(RelayMode.PASS)

    @asynccontextmanager
    async def serving(
        self, entries: tuple[VmInfo, ...], platform: Platform
    ) -> AsyncIterator[None]:
        """Serve all relays and platform views for the duration of the context."""
        domains = dict.fromkeys(vm.domain for vm in entries)
        self._domain_by_vm = {vm.vm: vm.domain for vm in entries}
        async with AsyncExitStack() as stack:
            for domain in domains:
                for vm in entries:
                    relay = self.relay_by_link[domain, vm.vm] = Relay(vm.peer_port)
                    await stack.enter_async_context(relay.serving())
            views = [PlatformView(platform, self.peer_ports(domain)) for domain in domains]
            ports = await stack.enter_async_context(serving([Site(view, 0) for view in views]))
            port_by_domain = dict(zip(domains, ports, strict=True))
            for vm in entries:
                relay = self.relay_to_platform_by_vm[vm.vm] = Relay(port_by_domain[vm.domain])
                await stack.enter_async_context(relay.serving())
            yield
