"""Test placement and admission when a process has more tasks than slots."""

from pathlib import Path
from typing import Any, cast

import pytest

from redwingport_entry.gateways.job import Job, QueuedTask
from redwingport_entry.gateways.servers import Server
from redwingport_entry.gateways.workers import WorkerPool
from redwingport_entry.metrics import Metrics
from redwingport_entry.settings import check_settings
from redwingport_messages.documents import JobSpec, ServiceDocument
from redwingport_messages.submissions import TaskBody
from redwingport_messages.vms import VmInfo, VmKind
from redwingport_state.membership import MembershipView
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Fleet

DOCUMENT = ServiceDocument(name="route-build", team="dairy", jobs=JobSpec())
SLOTS = 16


class RecordingPool(WorkerPool):
    """Record the tasks that would be sent instead of sending them."""

    now = 100.0
    placed: list[int]

    def _submit(self, server: Server, tasks: list[QueuedTask]) -> None:
        self.placed += [task.number for task in tasks]


class FakeConnections:
    limit = 60
    open = 0

    def close_idle(self) -> None:
        """Close nothing."""


def make_pool(other_active: float) -> RecordingPool:
    """Return a pool with one worker, some of whose slots are used by other processes."""
    fleet = Fleet(DEPLOYMENT_BY_NAME["dairy"], 20_000)
    vm = fleet.entry_vms()[0]
    sections = fleet._sections(vm, Path("unused"))
    sections["log"] = {}
    settings = check_settings(sections).unwrap()
    pool = RecordingPool(
        cast(Any, None), settings, MembershipView(), Metrics(), lambda vm: None, lambda: pool.now
    )
    pool.prepare("0" * 16)
    pool.placed = []
    info = VmInfo(
        vm="worker-01", kind=VmKind.WORKER, domain="creamery", region="county",
        host="127.0.0.1", port=1, slots=SLOTS, cpus=SLOTS, memory_mb=1024,
    )  # fmt: skip
    server = pool._new_server(info)
    server.connections = cast(Any, FakeConnections())
    server.view.other_active = server.view.reported_other_active = (
        server.view.mean_other_active
    ) = other_active
    server.view.load_at = pool.now
    pool.server_by_id["worker-01"] = server
    return pool


def make_job(deadline: float) -> Job:
    return Job("job-1", DOCUMENT, [TaskBody(expected_ms=200)], deadline, 1024)


def test_a_task_past_its_latest_start_is_still_placed() -> None:
    # Guards against dropping tasks that are past their latest start time. This time only orders
    # the queue; the only limit is the deadline of the job.
    pool = make_pool(other_active=SLOTS)
    pool.add(make_job(deadline=160.0))
    assert pool.placed == []
    pool.now += 2.0
    pool.server_by_id["worker-01"].view.held_slots = 1
    pool.server_by_id["worker-01"].held_deadline = pool.now + 1.0
    pool.dispatch()
    assert pool.placed == [0]


def test_a_task_past_the_deadline_of_its_job_is_not_placed() -> None:
    pool = make_pool(other_active=SLOTS)
    pool.add(make_job(deadline=101.0))
    pool.now += 2.0
    pool.server_by_id["worker-01"].view.held_slots = 1
    pool.server_by_id["worker-01"].held_deadline = pool.now + 1.0
    pool.dispatch()
    assert pool.placed == []


def test_expected_wait_counts_only_the_slots_that_others_leave() -> None:
    # Guards against excessive admission: a wait computed from all slots admits several times the
    # work that a process can complete in time.
    assert make_pool(other_active=0).expected_wait_s(32.0) == pytest.approx(2.0)
    assert make_pool(other_active=12).expected_wait_s(32.0) == pytest.approx(8.0)


def test_a_worker_of_unknown_load_is_not_assumed_idle() -> None:
    # Guards against overload at a cold start, when every process sent each worker as many tasks as
    # the worker has slots.
    pool = make_pool(other_active=0)
    view = pool._new_server(pool.server_by_id["worker-01"].info).view
    assert view.free_slots == SLOTS / 2
