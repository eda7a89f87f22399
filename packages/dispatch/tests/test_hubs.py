"""Topology of links in small and in large systems."""

from redwingport_dispatch.interfaces import VmRecord
from redwingport_dispatch.ownership.hubs import MAX_FULL_MESH_PROCESSES, find_hubs, find_neighbours


def record(number: int, domain: str = "d", weight: int = 1000) -> VmRecord:
    return VmRecord(f"vm{number}", f"10.0.0.{number}:1", domain, "", weight)


def large_system() -> list[VmRecord]:
    return [record(n, domain=f"d{n % 4}", weight=2000 if n < 16 else 400) for n in range(43)]


def test_small_system_is_a_full_mesh() -> None:
    records = [record(number) for number in range(MAX_FULL_MESH_PROCESSES)]
    assert find_neighbours(records[0], records[1:]) == records[1:]


def test_hubs_of_each_failure_domain_have_the_highest_weight() -> None:
    hubs = find_hubs(large_system())
    assert {hub.domain for hub in hubs} == {"d0", "d1", "d2", "d3"}
    assert len(hubs) == 12
    assert {hub.weight for hub in hubs} == {2000}


def test_process_that_is_not_a_hub_links_to_hubs_only() -> None:
    records = large_system()
    assert find_neighbours(records[40], records[:40] + records[41:]) == find_hubs(records)


def test_hub_links_to_all_processes() -> None:
    records = large_system()
    assert find_neighbours(records[0], records[1:]) == records[1:]
