"""Guard against stale state after a restart, and against needless or failed peer messages.

A restarted process that becomes ready before every reachable peer of its failure domain has
answered may serve an older revision than a slow peer holds.
"""

from types import SimpleNamespace
from typing import Any, cast

import anyio

from redwingport_entry.metrics import Metrics
from redwingport_entry.peers.exchange import PeerExchange
from redwingport_entry.peers.link import PeerLink
from redwingport_entry.peers.mesh import PeerMesh
from redwingport_entry.settings import check_settings
from redwingport_messages.frames import Heartbeat, Hello, SyncAnswer, SyncRequest
from redwingport_messages.vms import VmInfo, VmKind, VmList
from redwingport_state.documents import DocumentStore
from redwingport_state.membership import MembershipView


def _entry(vm: str, domain: str) -> VmInfo:
    return VmInfo(vm=vm, kind=VmKind.ENTRY, domain=domain, host="127.0.0.1", port=1, peer_port=2)


def _link(vm: str) -> PeerLink:
    return cast(PeerLink, SimpleNamespace(peer=Hello(vm, "creamery", "0" * 16, b"n")))


def test_documents_are_complete_once_every_reachable_peer_of_the_domain_answered(
    sections: dict[str, dict[str, str]],
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as task_group:
            view = MembershipView()
            vms = [_entry(f"entry-{n}", "creamery") for n in (1, 2, 3)]
            view.apply(VmList(version=1, vms=(*vms, _entry("entry-4", "farm-office"))))
            unused = cast(Any, None)
            store = DocumentStore()
            configuration = SimpleNamespace(store=store, apply_revision=lambda *_: True)
            watcher = SimpleNamespace(view=view, apply_list_text=lambda *_: False)
            exchange = PeerExchange(
                task_group, cast(Any, configuration), cast(Any, watcher), unused, unused
            )
            settings = check_settings(sections).unwrap()
            exchange.mesh = PeerMesh(
                task_group, settings, "1" * 16, view, Metrics(), exchange.handle
            )
            answer = SyncAnswer([(1, "{}")], "", True)
            await exchange.handle(_link("entry-2"), answer)
            assert exchange.mesh.unsynced_peers() == ["entry-3"]
            assert not store.from_platform
            await exchange.handle(_link("entry-3"), SyncAnswer([(2, "{}")], "", False))
            assert store.from_platform

    anyio.run(run)


def test_only_a_process_without_the_platform_requests_a_newer_list_from_a_peer(
    sections: dict[str, dict[str, str]],
) -> None:
    """Guard against a change of the VM list that is sent over every link."""

    async def run() -> None:
        async with anyio.create_task_group() as task_group:
            view = MembershipView()
            view.apply(VmList(version=1, vms=(_entry("entry-1", "creamery"),)))
            unused = cast(Any, None)
            watcher = SimpleNamespace(view=view, platform_answers=True)
            exchange = PeerExchange(task_group, unused, cast(Any, watcher), unused, unused)
            sent: list[object] = []

            async def send(message: object) -> None:
                sent.append(message)

            old = Heartbeat(1.0, 0, False, 1)
            link = SimpleNamespace(peer=_link("entry-2").peer, heartbeat=old, send=send)
            newer = Heartbeat(1.0, 0, False, 2)
            await exchange.handle(cast(PeerLink, link), newer)
            await anyio.sleep(0.01)
            assert sent == []
            watcher.platform_answers = False
            for _ in range(2):
                await exchange.handle(cast(PeerLink, link), newer)
            await anyio.sleep(0.01)
            assert sent == [SyncRequest()]

    anyio.run(run)


def test_reach_returns_the_link_of_a_successful_dial(sections: dict[str, dict[str, str]]) -> None:
    """Guard against a forward that fails while the first link to its owner is being opened."""

    async def run() -> None:
        async with anyio.create_task_group() as task_group:
            view = MembershipView()
            view.apply(VmList(version=1, vms=(_entry("entry-2", "creamery"),)))
            settings = check_settings(sections).unwrap()
            mesh = PeerMesh(task_group, settings, "1" * 16, view, Metrics(), cast(Any, None))
            link = cast(PeerLink, SimpleNamespace(is_closed=False))

            async def dial(name: str, host: str, port: int) -> None:
                await anyio.sleep(0.005)
                mesh.link_by_vm[name] = link
                mesh._dialing.discard(name)

            mesh._dial = dial  # type: ignore[method-assign]
            assert await mesh.reach("entry-2") is link

    anyio.run(run)
