"""Measure the memory that each item of an entry process's state takes."""

import random
import tracemalloc
from collections.abc import Callable
from typing import Any

from redwingport_messages.ids import IdIssuer
from redwingport_messages.outcomes import Answer, Outcome
from redwingport_messages.submissions import TaskBody
from redwingport_messages.vms import VmInfo, VmKind, VmList
from redwingport_policy.base import Candidate
from redwingport_state.membership import MembershipView
from redwingport_state.submissions import Started, SubmissionTable, TableSettings
from redwingport_testbed.slopes.series import Series

ANSWER_BYTES = 200


def memory_series(quick: bool) -> list[tuple[Series, float]]:
    """Measure the memory of submissions, open tasks, listed VMs and backend servers.

    :param quick: measure small numbers of items, to test the tool.
    :returns: pairs of a series in kilobytes and its planned size.
    """
    scale = 100 if quick else 1000
    counts = [scale, 2 * scale, 4 * scale, 8 * scale]
    return [
        (_series("remembered submissions, KB", counts, _finished_submissions), 6000),
        (_series("open tasks of jobs, KB", counts, _open_tasks), 10_000),
        (_series("listed VMs, KB", counts, _listed_vms), 2100),
        (_series("backend servers in use, KB", counts, _candidates), 128),
    ]


def _series(name: str, counts: list[int], build: Callable[[int], Any]) -> Series:
    points = tuple((float(count), _allocated_kb(build, count)) for count in counts)
    return Series(name, "items", points)


def _allocated_kb(build: Callable[[int], Any], count: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build(count)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / 1000


def _finished_submissions(count: int) -> SubmissionTable:
    table = SubmissionTable(IdIssuer("creamery", "entry-1"), TableSettings())
    for number in range(count):
        begun = table.begin(table.issue(), f"{number:032x}").unwrap()
        assert isinstance(begun, Started)
        body = random.Random(number).randbytes(ANSWER_BYTES)
        table.finish(begun.record, Answer(Outcome.COMPLETE, 200, "application/json", body))
    return table


def _open_tasks(count: int) -> list[TaskBody]:
    return [
        TaskBody.model_validate({"payload": {"work_ms": number, "token": f"token-{number}"}})
        for number in range(count)
    ]


def _listed_vms(count: int) -> MembershipView:
    view = MembershipView()
    vms = tuple(
        VmInfo(
            vm=f"worker-{number}",
            kind=VmKind.WORKER,
            domain=f"domain-{number % 13}",
            host=f"10.0.{number // 250}.{number % 250}",
            port=8000,
            rack=f"rack-{number // 6}",
            slots=16,
            cpus=16,
            memory_mb=65536,
        )
        for number in range(count)
    )
    view.apply(VmList(version=1, vms=vms))
    return view


def _candidates(count: int) -> list[Candidate]:
    return [Candidate(f"worker-{n}", f"domain-{n % 13}", True, 16) for n in range(count)]
