"""P8: guard against a configuration that is lost, delayed, or reverts to an older revision.

Writes race and lose their answers, processes restart during an outage of the platform, and a peer
offers an old revision.
"""

import json
from pathlib import Path

import anyio
import pytest

from redwingport_entry.peers.framing import FrameStream
from redwingport_entry.peers.handshake import dial_handshake, make_hello
from redwingport_messages.frames import Document, Heartbeat, SyncAnswer, SyncRequest
from redwingport_testbed.cluster.harness import Cluster, gather, make_fleet, running_cluster

pytestmark = pytest.mark.anyio
IN_FORCE_S = 11.0


def _document(cluster: Cluster, queue_limit: int) -> dict[str, object]:
    return {**cluster.fleet.service_documents()[0], "queue_limit": queue_limit}


async def _write(cluster: Cluster, number: int, revision: int, queue_limit: int) -> int:
    path = f"/v1/services/{cluster.job_service}"
    body = _document(cluster, queue_limit)
    answer = await cluster.operator(number, "PUT", path, body, if_match=f'"{revision}"')
    return answer.status


async def _wait_until_in_force_everywhere(cluster: Cluster, revision: int) -> None:
    with anyio.fail_after(IN_FORCE_S):
        for number in range(len(cluster.vms)):
            await cluster.wait_until_in_force(number, cluster.job_service, revision)


async def test_two_operators_racing_and_lost_answers_of_writes(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        platform = cluster.stand_ins.platform
        for revision in range(1, 9):
            lost = revision % 3
            platform.faults = platform.faults.model_copy(update={"lose_answers": lost})
            statuses = await gather(
                _write(cluster, revision % 6, revision, 100 + revision),
                _write(cluster, (revision + 1) % 6, revision, 200 + revision),
            )
            assert sorted(statuses) == [200, 412], statuses
            await _wait_until_in_force_everywhere(cluster, revision + 1)
            answer = await cluster.operator(5, "GET", f"/v1/services/{cluster.job_service}")
            limit = json.loads(answer.body)["document"]["queue_limit"]
            assert limit == (100 if statuses[0] == 200 else 200) + revision
        cluster.check_guarantee("P8", "two operators racing", "lost answer of the write")


async def test_a_lost_write_that_another_replaced_is_not_called_not_run(tmp_path: Path) -> None:
    # The write takes effect, its answer is lost, and another write applies before the retry.
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        platform = cluster.stand_ins.platform
        path = f"/v1/services/{cluster.job_service}"
        row = f"services/{cluster.job_service}"

        async def replace_after_loss() -> None:
            while platform.table.row_by_key[row].revision < 2:
                await anyio.sleep(0.005)
            await cluster.network.cut_platform([cluster.vms[0].vm])
            assert await _write(cluster, 1, 2, 222) == 200
            await cluster.network.restore()

        platform.faults = platform.faults.model_copy(update={"lose_answers": 1})
        answer, _ = await gather(
            cluster.operator(0, "PUT", path, _document(cluster, 111), if_match='"1"'),
            replace_after_loss(),
        )
        members = json.loads(answer.body)
        assert members.get("outcome") != "not-run", members
        cluster.check_guarantee("P8", "lost answer of a write that was then replaced")


async def test_restart_in_a_domain_cut_from_the_platform_and_an_old_peer(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        assert await _write(cluster, 0, 1, 77) == 200
        await _wait_until_in_force_everywhere(cluster, 2)
        near = [vm.vm for vm in cluster.vms if vm.domain == cluster.vms[0].domain]
        await cluster.network.cut_platform(near)
        platform = cluster.stand_ins.platform
        platform.faults = platform.faults.model_copy(update={"outage": True})
        await cluster.stop(3)
        await cluster.start(3)
        assert await cluster.revision(3, cluster.job_service) == 2
        await _offer_old_revision(cluster, 3)
        await _offer_old_revision(cluster, 1)
        await cluster.kill(1)
        await cluster.start(1)
        for number in range(6):
            assert await cluster.revision(number, cluster.job_service) == 2
        assert (await cluster.submit(3, cluster.job(50.0))).name == "complete"
        cluster.check_guarantee(
            "P8", "restart while cut off from the platform", "platform down", "old peer"
        )


async def _offer_old_revision(cluster: Cluster, number: int) -> None:
    """Link as a peer that has the first revision, and offer it in every kind of message."""
    vm = cluster.vms[number]
    stream = await anyio.connect_tcp(vm.host, vm.peer_port)
    frames = FrameStream(stream, vm.vm)
    hello = make_hello("entry-99", vm.domain, "9" * 16)
    await dial_handshake(frames, hello, cluster.fleet.secret.encode())
    text = json.dumps(_document(cluster, 1))
    await frames.send(Heartbeat(1.0, 0, False, 0))
    await frames.send(Document(1, text))
    await frames.send(SyncAnswer([(1, text)], "", True))
    await frames.send(SyncRequest())
    with anyio.fail_after(5):
        while not isinstance(answer := await frames.receive(), SyncAnswer):
            pass
    assert max(revision for revision, _ in answer.documents) == 2
    await frames.aclose()
