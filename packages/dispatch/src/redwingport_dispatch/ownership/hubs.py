"""Topology of the links between processes.

A small system is a full mesh. In a large system the processes with the highest weight in each
failure domain are hubs: hubs keep links to all processes, and all other processes keep links to
the hubs only. Owners are elected among the hubs, and a failure domain that is partitioned from
the others still has hubs of its own.
"""

from collections.abc import Sequence

from redwingport_dispatch.interfaces import VmRecord

# Maximum number of processes that form a full mesh.
MAX_FULL_MESH_PROCESSES = 13
# With three hubs, a failure domain can lose two of them, or have their VMs replaced, before the
# other processes have to connect to all listed addresses to find a hub.
HUBS_PER_DOMAIN = 3


def find_hubs(records: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the hubs, to which all other processes keep links.

    :param records: all processes as listed in the store.
    :returns: the hubs; all processes if they form a full mesh.
    """
    if len(records) <= MAX_FULL_MESH_PROCESSES:
        return list(records)
    records_by_domain: dict[str, list[VmRecord]] = {}
    for record in sorted(records, key=lambda record: (-record.weight, record.vm)):
        records_by_domain.setdefault(record.domain, []).append(record)
    return [hub for ranked in records_by_domain.values() for hub in ranked[:HUBS_PER_DOMAIN]]


def find_neighbours(own: VmRecord, others: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the processes to which a process keeps links.

    :param own: row of the process.
    :param others: rows of all other processes.
    """
    hubs = find_hubs([own, *others])
    if any(hub.vm == own.vm for hub in hubs):
        return list(others)
    return hubs
