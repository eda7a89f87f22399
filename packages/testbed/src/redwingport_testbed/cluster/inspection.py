"""Checks of an entry process after it has received invalid input."""

from redwingport_testbed.cluster.harness import Cluster
from redwingport_testbed.cluster.raw import peak_memory_mb

MEMORY_GROWTH_MB = 100
# The smallest set of sections and keys that a settings file needs.
MINIMAL_SETTINGS = {
    "entry": {
        "name": "entry-1",
        "domain": "creamery",
        "http_host": "127.0.0.1",
        "http_port": "8001",
        "peer_host": "127.0.0.1",
        "peer_port": "9001",
    },
    "platform": {"url": "http://127.0.0.1:8000"},
    "peers": {"secret": "not-to-be-shown-secret"},
}


def pid_of(cluster: Cluster, number: int = 0) -> int:
    """Return the process id of an entry process."""
    return cluster.processes.process_by_name[cluster.vms[number].vm].pid


async def assert_healthy(cluster: Cluster, before_mb: float) -> None:
    """Assert that the first process is healthy, has bounded memory and logged no failure.

    :param before_mb: its peak resident memory before the input, in megabytes.
    """
    assert (await cluster.operator(0, "GET", "/healthz")).status == 200
    assert peak_memory_mb(pid_of(cluster)) - before_mb < MEMORY_GROWTH_MB
    log = cluster.log(0)
    assert "Traceback" not in log
    assert '"run-failed"' not in log and '"request-failed"' not in log
    assert "child-failed" not in log
