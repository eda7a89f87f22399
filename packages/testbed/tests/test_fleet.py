"""Guard against a fleet whose settings the entry process rejects or whose layout is wrong."""

import statistics
from collections import Counter
from pathlib import Path

import pytest

from redwingport_entry.settings import load_settings
from redwingport_messages.documents import ServiceDocument
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Fleet

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
