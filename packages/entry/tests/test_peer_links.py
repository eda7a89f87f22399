"""Guard against calls that are lost when two processes open a link to each other at once."""

from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest
from anyio.abc import TaskGroup

from redwingport_entry.metrics import Metrics
from redwingport_entry.peers.exchange import PeerExchange
from redwingport_entry.peers.link import PeerLink
from redwingport_entry.peers.mesh import PeerMesh
from redwingport_entry.settings import check_settings
from redwingport_messages.frames import Forward, ForwardAnswer, Frame
from redwingport_messages.ids import SubmissionId
from redwingport_messages.outcomes import Outcome
from redwingport_messages.submissions import Submission
from redwingport_messages.vms import VmInfo, VmKind, VmList
from redwingport_state.membership import MembershipView

HOST = "127.0.0.1"
Sections = dict[str, dict[str, str]]


class Peer:
    """Run the mesh of one of two processes, and hold the calls that it receives.

    :ivar received: numbers of the forwarded calls, in the order of their arrival.
    :ivar may_answer: set when the calls are to be answered.
    """

    def __init__(
        self, task_group: TaskGroup, sections: Sections, name: str, port_by_vm: dict[str, int]
    ) -> None:
        entry = {**sections["entry"], "name": name, "peer_port": str(port_by_vm[name])}
        settings = check_settings({**sections, "entry": entry}).unwrap()
        view = MembershipView()
        vms = tuple(
            VmInfo(vm=vm, kind=VmKind.ENTRY, domain="creamery", host=HOST, port=1, peer_port=port)
            for vm, port in port_by_vm.items()
        )
        view.apply(VmList(version=1, vms=vms))
        unused = cast(Any, None)
        submissions = SimpleNamespace(handed_over_answer=lambda *_: None)
        watcher = SimpleNamespace(view=view, platform_answers=True)
        self.received: list[int] = []
        self.may_answer = anyio.Event()
        self._task_group = task_group
        self.exchange = PeerExchange(
            task_group, unused, cast(Any, watcher), cast(Any, submissions), unused
        )
        self.mesh = PeerMesh(task_group, settings, name[-1] * 16, view, Metrics(), self._handle)
        self.exchange.mesh = self.mesh
        task_group.start_soon(self.mesh.listen)

    async def _handle(self, link: PeerLink, message: Frame) -> None:
        if isinstance(message, Forward):
            self.received.append(message.call)
            self._task_group.start_soon(self._answer, link, message)

    async def _answer(self, link: PeerLink, message: Forward) -> None:
        await self.may_answer.wait()
        if not link.is_closed:
            name = message.submission_id
            await link.send(ForwardAnswer(message.call, name, "complete", 200, "", b"{}", 0.0))


async def wait_until_listening(port: int) -> None:
    while True:
        try:
            stream = await anyio.connect_tcp(HOST, port)
        except OSError:
            await anyio.sleep(0.01)
        else:
            return await stream.aclose()


@pytest.mark.parametrize(("caller", "owner"), [("entry-1", "entry-2"), ("entry-2", "entry-1")])
def test_call_in_flight_is_answered_when_its_link_is_replaced(
    sections: Sections, free_tcp_port_factory: Any, caller: str, owner: str
) -> None:
    """Guard against a submission reported as unknown although its owner can be reached."""
    port_by_vm = {name: free_tcp_port_factory() for name in ("entry-1", "entry-2")}

    async def run() -> None:
        async with anyio.create_task_group() as task_group:
            peers = {name: Peer(task_group, sections, name, port_by_vm) for name in port_by_vm}
            first, second = peers["entry-1"].mesh, peers["entry-2"].mesh
            answers = []

            async def forward() -> None:
                submission_id = SubmissionId("creamery", owner, owner[-1] * 16, 1, "")
                submission = Submission("desk", "", b"", "", anyio.current_time() + 30)
                exchange = peers[caller].exchange
                answers.append(await exchange.forward("submit", submission_id, submission))

            with anyio.fail_after(30):
                for port in port_by_vm.values():
                    await wait_until_listening(port)
                await second.reach("entry-1")
                while "entry-2" not in first.link_by_vm:
                    await anyio.sleep(0.01)
                replaced = first.link_by_vm["entry-2"], second.link_by_vm["entry-1"]
                task_group.start_soon(forward)
                while not peers[owner].received:
                    await anyio.sleep(0.01)
                # The other process had started to dial before it accepted the first link.
                task_group.start_soon(first._dial, "entry-2", HOST, port_by_vm["entry-2"])
                while not all(link.is_closed for link in replaced):
                    await anyio.sleep(0.01)
                peers[owner].may_answer.set()
                while not answers:
                    await anyio.sleep(0.01)
            assert answers[0].outcome is Outcome.COMPLETE
            task_group.cancel_scope.cancel()

    anyio.run(run)
