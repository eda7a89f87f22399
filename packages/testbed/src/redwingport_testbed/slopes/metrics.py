"""Read the metrics that an entry process exports."""

from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import HttpClient

CONTROL_BYTES = ("redwingport_peer_bytes_total", "redwingport_platform_bytes_total")


@dataclass(frozen=True, slots=True)
class Reading:
    """Store the metrics of a process at one time.

    :param value_by_name: sum over all label values, by sample name.
    """

    value_by_name: dict[str, float]

    @property
    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        return self.value_by_name["process_cpu_seconds_total"]

    @property
    def memory_mb(self) -> float:
        """Return the resident memory, in megabytes."""
        return self.value_by_name["process_resident_memory_bytes"] / 1e6

    @property
    def control_bytes(self) -> float:
        """Return the bytes sent to peers and exchanged with the platform."""
        return sum(self.value_by_name.get(name, 0.0) for name in CONTROL_BYTES)


async def read_metrics(client: HttpClient, url: str) -> Reading:
    """Read the metrics of an entry process.

    :param url: address of the process.
    :raises TestbedError: if the process does not answer with status 200.
    """
    answer = await client.request("GET", f"{url}/metrics")
    if answer.status != 200:
        raise TestbedError("read metrics", f"{url} answered with status {answer.status}")
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(answer.body.decode()):
        for sample in family.samples:
            values[sample.name] = values.get(sample.name, 0.0) + sample.value
    return Reading(values)
