"""P1: guard against a task that starts twice when its submission is resubmitted.

Resubmissions reach other processes during and after the run, after a crash or a pause of the
owner, with a key whose insert lost its answer, and across a partition.
"""

import signal
from pathlib import Path

import anyio
import pytest

from redwingport_testbed.cluster.harness import (
    gather,
    make_fleet,
    running_cluster,
    wait_until,
)
from redwingport_testbed.standins.relay import RelayMode

pytestmark = pytest.mark.anyio
# Longer than a worker's lease of 3 s.
PAST_LEASES_S = 4.5
SHORT_PEER_TIMEOUT = {"peers": {"timeout_s": "3"}}


async def test_resubmission_at_every_vm_while_running_and_after_the_end(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        for call in (cluster.job(*[300.0] * 40), cluster.request(400.0)):
            submission_id = await cluster.issue(0)
            replies = await gather(*(cluster.submit(n, call, submission_id) for n in range(6)))
            replies += await gather(*(cluster.submit(n, call, submission_id) for n in range(6)))
            assert {reply.name for reply in replies} == {"complete"}
            assert len({reply.outcome.body for reply in replies}) == 1
            assert cluster.starts_of(submission_id) == len(call.tokens)
        other = await cluster.submit(2, cluster.job(50.0), submission_id)
        assert (other.name, other.outcome.problem) == ("outcome-unknown", "id-reused")
        cluster.check_guarantee("P1", "resubmitted while running", "resubmitted after the end")


async def test_resubmission_after_the_owner_was_killed(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path, SHORT_PEER_TIMEOUT) as cluster:
        call = cluster.job(*[1_500.0] * 20)
        submission_id = await cluster.issue(0)

        async def kill_owner() -> None:
            await wait_until(lambda: cluster.starts_of(submission_id), "tasks started")
            await cluster.kill(0)

        await gather(cluster.submit(0, call, submission_id), kill_owner())
        replies = await gather(*(cluster.submit(n, call, submission_id) for n in range(1, 6)))
        assert {reply.name for reply in replies} == {"outcome-unknown"}
        # The VM returns with another incarnation, so the id's owner is known to have ended.
        await cluster.start(0)
        await cluster.wait_until_linked()
        replies = await gather(*(cluster.submit(n, call, submission_id) for n in range(6)))
        assert {reply.outcome.problem for reply in replies} == {"owner-gone"}
        assert not any(reply.retryable for reply in replies)
        cluster.check_guarantee("P1", "owner killed", "owner restarted")


async def test_owner_frozen_past_its_leases(tmp_path: Path) -> None:
    # With three servers tasks remain queued, so that starts follow after the pause.
    async with running_cluster(make_fleet(servers=3), tmp_path, SHORT_PEER_TIMEOUT) as cluster:
        calls = [cluster.job(*[400.0] * 60) for _ in range(3)]
        ids = [await cluster.issue(0) for _ in calls]

        async def freeze() -> None:
            await wait_until(lambda: all(map(cluster.starts_of, ids[:1])), "tasks started")
            cluster.signal(0, signal.SIGSTOP)
            replies = await gather(
                *(
                    cluster.submit(3, c, i, timeout_ms=2_000)
                    for c, i in zip(calls, ids, strict=True)
                )
            )
            assert {reply.name for reply in replies} == {"outcome-unknown"}
            assert all(reply.retryable for reply in replies)
            await anyio.sleep(PAST_LEASES_S)
            cluster.signal(0, signal.SIGCONT)

        first = gather(*(cluster.submit(0, c, i) for c, i in zip(calls, ids, strict=True)))
        await gather(first, freeze())
        await cluster.wait_until_linked()
        again = await gather(*(cluster.submit(3, c, i) for c, i in zip(calls, ids, strict=True)))
        # Tasks whose answers were lost during the pause fail; they are not started again.
        assert {reply.name for reply in again} <= {"complete", "failed"}
        cluster.check_guarantee("P1", "owner frozen past its leases")


async def test_key_at_two_vms_with_a_lost_answer_of_the_insert(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        platform = cluster.stand_ins.platform
        for number in range(8):
            call = cluster.job(*[200.0] * 4) if number % 2 else cluster.request(200.0)
            lost = number % 3
            platform.faults = platform.faults.model_copy(update={"lose_answers": lost})
            vms = (number % 6, (number + 1) % 6)
            replies = await gather(*(cluster.submit(n, call, key=f"key-{number}") for n in vms))
            replies.append(await cluster.submit((number + 3) % 6, call, key=f"key-{number}"))
            assert {reply.name for reply in replies} == {"complete"}, replies
            assert len({reply.submission_id for reply in replies}) == 1
        starts = cluster.starts().total()
        assert starts == 4 * 4 + 4
        assert platform.counts["lost_answers"] >= 7
        cluster.check_guarantee(
            "P1", "same key at two VMs at once", "lost answer of a key's insert"
        )


async def test_failure_domain_cut_from_the_others(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path, SHORT_PEER_TIMEOUT) as cluster:
        for mode in (RelayMode.SWALLOW, RelayMode.DROP):
            call = cluster.job(*[2_000.0] * 6)
            submission_id = await cluster.issue(0)
            await cluster.network.cut(cluster.vms[0].domain, mode)

            async def resubmit(call=call, submission_id=submission_id) -> None:  # type: ignore[no-untyped-def]
                await wait_until(lambda: cluster.starts_of(submission_id), "tasks started")
                far = await gather(
                    *(cluster.submit(n, call, submission_id, timeout_ms=3_000) for n in (1, 2))
                )
                assert {reply.name for reply in far} == {"outcome-unknown"}
                assert all(reply.retryable for reply in far)
                near = await cluster.submit(3, call, submission_id)
                assert near.name == "complete"

            first, _ = await gather(cluster.submit(0, call, submission_id), resubmit())
            assert first.name == "complete"
            own = await cluster.submit(1, cluster.job(100.0))
            assert own.name == "complete"
            await cluster.network.restore()
            await cluster.wait_until_linked()
            again = await gather(*(cluster.submit(n, call, submission_id) for n in range(6)))
            assert {reply.name for reply in again} <= {"complete", "outcome-unknown"}
            assert again[3].name == "complete"
        cluster.check_guarantee(
            "P1", "failure domain cut off silently", "failure domain cut off with refusals"
        )
