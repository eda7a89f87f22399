"""Guard against a fleet whose settings the entry process rejects or whose layout is wrong."""

import statistics
from collections import Counter
from pathlib import Path

import pytest

from redwingport_entry.settings import load_settings
from redwingport_messages.documents import ServiceDocument
from redwingport_testbed.standins.fleet import (
    BASE_PORTS,
    DEPLOYMENT_BY_NAME,
    PORT_SPAN,
    Fleet,
    free_base_port,
)

# Ports that the tests of the dispatcher and of the platform choose for their processes.
OTHER_TEST_PORTS = range(20_000, 32_000)

deployments = pytest.mark.parametrize("name", sorted(DEPLOYMENT_BY_NAME))


@deployments
def test_servers_are_spread_evenly_over_domains_and_speeds_differ_fourfold(name: str) -> None:
    fleet = Fleet(DEPLOYMENT_BY_NAME[name], 20_000)
    for vms in (fleet.worker_vms(), fleet.executor_vms()):
        assert len(set(Counter(vm.domain for vm in vms).values())) == 1
        speeds = [fleet.speed(number) for number in range(len(vms))]
        assert max(speeds) == pytest.approx(4 * min(speeds))
        assert statistics.mean(speeds) == pytest.approx(1.0)


@deployments
@pytest.mark.parametrize("entries", [6, 9])
def test_all_ports_are_distinct(name: str, entries: int) -> None:
    fleet = Fleet(DEPLOYMENT_BY_NAME[name], 20_000, entries)
    vms = fleet.vm_list().vms
    ports = [fleet.base_port, *(vm.port for vm in vms), *(vm.peer_port for vm in vms)]
    used = [port for port in ports if port]
    assert len(set(used)) == len(used) == 1 + 24 + 24 + 2 * entries


@deployments
def test_the_entry_process_accepts_the_settings(name: str, tmp_path: Path) -> None:
    fleet = Fleet(DEPLOYMENT_BY_NAME[name], 20_000)
    paths = fleet.write_settings(tmp_path, {"platform": {"poll_s": "1"}})
    for vm, path in zip(fleet.entry_vms(), paths, strict=True):
        settings = load_settings(path).unwrap()
        assert (settings.entry.name, settings.entry.domain) == (vm.vm, vm.domain)
        assert (settings.entry.http_port, settings.entry.peer_port) == (vm.port, vm.peer_port)
        assert settings.platform.poll_s == 1
        assert path.stat().st_mode & 0o077 == 0


@deployments
def test_the_service_documents_are_valid(name: str) -> None:
    for document in Fleet(DEPLOYMENT_BY_NAME[name], 20_000).service_documents():
        ServiceDocument.model_validate(document)


# Guards against an entry process that cannot listen: its port was free when the base port was
# chosen, and in use by another test suite when the process started.
def test_ports_are_not_those_of_other_tests_nor_of_outgoing_connections() -> None:
    text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
    first, last = map(int, text.split())
    chosen = free_base_port()
    assert chosen in BASE_PORTS
    for base_port in (chosen, *BASE_PORTS):
        for port in range(base_port, base_port + PORT_SPAN):
            assert port not in OTHER_TEST_PORTS and not first <= port <= last
