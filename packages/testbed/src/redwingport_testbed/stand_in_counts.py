"""Read the counts of the stand-ins over their control routes."""

import json
from collections import Counter

from redwingport_messages.vms import VmInfo
from redwingport_testbed.http_client import HttpClient

SUMMED_COUNTS = (
    "starts",
    "distinct",
    "duplicates",
    "messages",
    "declines",
    "empty_starts",
    "running",
)


async def sum_counts(client: HttpClient, vms: tuple[VmInfo, ...]) -> Counter[str]:
    """Return the counts summed over backend servers."""
    total: Counter[str] = Counter()
    for vm in vms:
        answer = await client.request("GET", f"http://{vm.host}:{vm.port}/control/counts")
        counts = json.loads(answer.body)
        total.update({name: counts.get(name, 0) for name in SUMMED_COUNTS})
    return total


async def tasks_started_twice(client: HttpClient, vms: tuple[VmInfo, ...]) -> list[str]:
    """List the tasks that were started more than once, on any servers."""
    count_by_task: Counter[tuple[str, int]] = Counter()
    for vm in vms:
        answer = await client.request("GET", f"http://{vm.host}:{vm.port}/control/starts")
        count_by_task.update((submission, task) for submission, task in json.loads(answer.body))
    return [f"{name} task {task}" for (name, task), count in count_by_task.items() if count > 1]
