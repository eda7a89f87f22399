"""Read the counters of a run's processes: messages, task starts and CPU time."""

import json
import os
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from redwingport_messages.vms import VmInfo
from redwingport_testbed.http_client import HttpClient

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def read_metrics(client: HttpClient, urls: Sequence[str]) -> Counter[str]:
    """Sum the counters of the entry processes by name and label values."""
    total: Counter[str] = Counter()
    for url in urls:
        answer = await client.request("GET", f"{url}/metrics")
        for family in text_string_to_metric_families(answer.body.decode()):
            if family.type != "counter":
                continue
            for sample in family.samples:
                if sample.name.endswith("_total"):
                    name = sample.name.removeprefix("redwingport_").removesuffix("_total")
                    total["/".join([name, *sample.labels.values()])] += int(sample.value)
    return total


async def read_server_counts(client: HttpClient, vms: Sequence[VmInfo]) -> Counter[str]:
    """Sum the counts that backend servers report."""
    total: Counter[str] = Counter()
    for vm in vms:
        answer = await client.request("GET", f"http://{vm.host}:{vm.port}/control/counts")
        counts = json.loads(answer.body)
        for name in ("starts", "duplicates", "messages", "declines", "empty_starts"):
            total[name] += int(counts.get(name, 0))
    return total


async def read_start_counts(client: HttpClient, vms: Sequence[VmInfo]) -> Counter[tuple[str, int]]:
    """Count the starts on all servers by submission ID and task number."""
    total: Counter[tuple[str, int]] = Counter()
    for vm in vms:
        answer = await client.request("GET", f"http://{vm.host}:{vm.port}/control/starts")
        total.update((submission, task) for submission, task in json.loads(answer.body))
    return total


def processor_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except FileNotFoundError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def wasted_messages(entry: Mapping[str, int], servers: Mapping[str, int]) -> dict[str, int]:
    """Count the messages that started no task, carried no answer and reported no outcome.

    A request and its answer count as two messages. A start request is wasted if the worker
    declined all of its tasks.

    :param entry: increase of the entry processes' counters.
    :param servers: increase of the backend servers' counts.
    :returns: number of wasted messages by kind.
    """
    peers = {name: n for name, n in entry.items() if name.startswith("messages/peer-")}
    heartbeats = peers.get("messages/peer-Heartbeat", 0)
    return {
        "declines": 2 * servers.get("empty_starts", 0),
        "stops": 2 * entry.get("messages/stop", 0),
        "retries": 2 * entry.get("retries/lost", 0),
        "heartbeats": heartbeats,
        "other-peer": sum(peers.values()) - heartbeats,
        "polls": 2 * entry.get("messages/platform", 0),
    }
