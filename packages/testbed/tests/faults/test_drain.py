"""P7: guard against a graceful shutdown that interrupts an in-flight request."""

import json
from collections import Counter
from pathlib import Path

import anyio
import pytest

from redwingport_testbed.cluster.harness import (
    Cluster,
    Reply,
    gather,
    make_fleet,
    running_cluster,
    wait_until,
)
from redwingport_testbed.entry_client import EntryClient

pytestmark = pytest.mark.anyio
BALANCER_POLL_S = 0.2
# Half of the time for which a process that reports draining accepts submissions.
BALANCER_STATE_S = 0.5


class Balancer:
    """Send load to the entry VMs that report ready, as the platform's load balancer does.

    An old report counts for nothing, so that a busy machine does not send submissions to a process
    that reported draining long ago.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.ready_at_by_vm: dict[int, float] = {}
        self.in_flight: Counter[int] = Counter()
        self.stopped = False
        self.replies: list[Reply] = []

    def ready(self) -> list[int]:
        """Return the VMs that were ready at most BALANCER_STATE_S ago."""
        oldest = anyio.current_time() - BALANCER_STATE_S
        return sorted(vm for vm, at in self.ready_at_by_vm.items() if at >= oldest)

    async def poll(self, vm: int) -> None:
        entry = EntryClient(self.cluster.client, self.cluster.url(vm))
        while not self.stopped:
            asked_at = anyio.current_time()
            if await entry.ready():
                self.ready_at_by_vm[vm] = asked_at
            else:
                self.ready_at_by_vm.pop(vm, None)
            await anyio.sleep(BALANCER_POLL_S)

    async def load(self, number: int) -> None:
        cluster = self.cluster
        while not self.stopped:
            if ready := self.ready():
                vm = ready[number % len(ready)]
                call = cluster.request(80.0) if number % 3 else cluster.job(100.0, 900.0)
                self.in_flight[vm] += 1
                self.replies.append(await cluster.submit(vm, call))
                self.in_flight[vm] -= 1
            await anyio.sleep(0.01)


async def test_rolling_restart_under_load_cuts_nothing(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        balancer = Balancer(cluster)
        async with anyio.create_task_group() as group:
            for number in range(6):
                group.start_soon(balancer.poll, number)
            for number in range(24):
                group.start_soon(balancer.load, number)
            await anyio.sleep(1)
            for number in range(6):
                await wait_until(lambda n=number: balancer.in_flight[n], f"load at {number}")
                assert await cluster.stop(number) == 0
                await cluster.start(number)
            await anyio.sleep(1)
            balancer.stopped = True
        bad = [reply for reply in balancer.replies if reply.name != "complete"]
        assert not bad, (len(bad), len(balancer.replies), bad[:3])
        cluster.check_guarantee("P7", "rolling restart under load")


async def test_long_requests_idle_clients_and_a_client_that_never_closes(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(entries=3), tmp_path) as cluster:
        vm = cluster.vms[0]
        idle = await anyio.connect_tcp(vm.host, vm.port)
        await idle.send(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        assert b"200" in await idle.receive()
        silent = await anyio.connect_tcp(vm.host, vm.port)
        partial = await anyio.connect_tcp(vm.host, vm.port)
        await partial.send(b"POST /v1/submissions HTTP/1.1\r\nhost: x\r\n")
        own, forwarded = await cluster.issue(0), await cluster.issue(0)
        # The slowest executor takes 5 s for the request, half of its time-out.
        long_job, long_request = cluster.job(4_000.0, 100.0), cluster.request(2_000.0)

        async def stop() -> int | None:
            await anyio.sleep(0.7)
            return await cluster.stop(0)

        first, second, code = await gather(
            cluster.submit(0, long_job, own), cluster.submit(1, long_request, forwarded), stop()
        )
        assert (first.name, second.name, code) == ("complete", "complete", 0)
        for stream in (idle, silent, partial):
            await stream.aclose()
        # The records were handed over within the failure domain, which has no other VM here.
        again = await cluster.submit(1, long_job, own)
        assert again.name in ("complete", "outcome-unknown")
        cluster.check_guarantee(
            "P7", "long requests", "idle clients", "a client that never closes"
        )


async def test_answers_of_a_stopped_vm_are_given_by_its_domain(tmp_path: Path) -> None:
    # After the restart the owner's VM is the first of its failure domain to be queried.
    async with running_cluster(make_fleet(), tmp_path) as cluster:
        call = cluster.job(100.0, 50.0)
        submission_id = await cluster.issue(0)
        first = await cluster.submit(0, call, submission_id)
        assert await cluster.stop(0) == 0
        near = await cluster.submit(3, call, submission_id)
        assert (near.name, near.outcome.body) == ("complete", first.outcome.body)
        await cluster.start(0)
        await cluster.wait_until_linked()
        replies = await gather(*(cluster.submit(n, call, submission_id) for n in range(6)))
        assert {reply.name for reply in replies} == {"complete"}, [
            json.loads(reply.outcome.body).get("detail") for reply in replies
        ]
        cluster.check_guarantee("P7", "resubmission after a shutdown")
