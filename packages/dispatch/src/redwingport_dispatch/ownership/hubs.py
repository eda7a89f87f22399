"""Which processes keep links to which.

In a small system each process has links to all others. In a large one the heaviest processes of
each failure domain are hubs: they have links to all, and the others to them. Owners are found
among the hubs, and each failure domain has some when it is cut off.
"""

from collections.abc import Sequence

from redwingport_dispatch.interfaces import VmRecord

# Up to this many processes each has links to all others.
MAX_FULL_MESH_PROCESSES = 13
# Two hubs in a failure domain may be lost, or their VMs replaced, before one takes over that is
# found only by dialling all.
HUBS_PER_DOMAIN = 3


def find_hubs(records: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the processes to which all others keep links.

    :param records: all processes, as listed in the store.
    """
    if len(records) <= MAX_FULL_MESH_PROCESSES:
        return list(records)
    records_by_domain: dict[str, list[VmRecord]] = {}
    for record in sorted(records, key=lambda record: (-record.weight, record.vm)):
        records_by_domain.setdefault(record.domain, []).append(record)
    return [hub for ranked in records_by_domain.values() for hub in ranked[:HUBS_PER_DOMAIN]]


def find_neighbours(own: VmRecord, others: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the processes to which one process keeps links.

    :param own: its own row.
    :param others: the rows of all others.
    """
    hubs = find_hubs([own, *others])
    if any(hub.vm == own.vm for hub in hubs):
        return list(others)
    return hubs
