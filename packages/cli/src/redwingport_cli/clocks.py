"""Offsets between the clocks of processes, from the lines of all requests.

A holder logs with the end of a request how long it took, and an owner logs with each decision how
long ago the request arrived at its holder. Both give the time of arrival, each on its own clock.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable

from redwingport_cli.log_lines import LogLine

END_EVENTS = ("job-ended", "job-rejected")
# Error of an offset: the time from a holder to an owner counts as part of it.
CLOCK_ERROR_S = 0.005
# A message that waits makes an owner's time of arrival late, so the offset is estimated from the
# lowest tenth of the differences.
ESTIMATE_QUANTILE = 0.1

# Source of a holder, and source of an owner.
_Pair = tuple[str, str]


def estimate_clock_offsets(lines: Iterable[LogLine], reference: str) -> dict[str, float]:
    """Return how far the clocks of processes are ahead of that of one process, in seconds.

    :param lines: log lines of all processes.
    :param reference: source of the process with offset 0.
    :returns: offset by source; processes that cannot be compared are missing.
    """
    differences_by_pair = _collect_differences(lines)
    ahead_s_by_pair: dict[_Pair, float] = {}
    for pair, differences in differences_by_pair.items():
        ahead_s_by_pair[pair] = sorted(differences)[int(len(differences) * ESTIMATE_QUANTILE)]
    neighbours: dict[str, dict[str, float]] = defaultdict(dict)
    for (holder, owner), ahead_s in ahead_s_by_pair.items():
        back_s = ahead_s_by_pair.get((owner, holder))
        # The delays of the two directions cancel out.
        both_s = ahead_s if back_s is None else (ahead_s - back_s) / 2
        neighbours[holder][owner] = both_s
        neighbours[owner][holder] = -both_s
    offset_s_by_source = {reference: 0.0}
    to_visit = deque([reference])
    while to_visit:
        source = to_visit.popleft()
        for other, ahead_s in neighbours[source].items():
            if other not in offset_s_by_source:
                offset_s_by_source[other] = offset_s_by_source[source] + ahead_s
                to_visit.append(other)
    return offset_s_by_source


def _collect_differences(lines: Iterable[LogLine]) -> dict[_Pair, list[float]]:
    """Return the differences between the times of arrival at owners and holders, in seconds."""
    arrival_by_holder: dict[str, dict[str, float]] = defaultdict(dict)
    repeated: set[tuple[str, str]] = set()
    arrivals_at_owners: dict[str, list[tuple[str, str, float]]] = defaultdict(list)
    source_by_incarnation: dict[str, str] = {}
    for line in lines:
        fields = line.fields
        job = str(fields.get("job", ""))
        if line.event in END_EVENTS and "took_s" in fields:
            if line.source in arrival_by_holder[job]:
                repeated.add((job, line.source))
            arrival_by_holder[job][line.source] = line.at - float(fields["took_s"])
        elif job and "holder" in fields and "waited_s" in fields:
            arrival = line.at - float(fields["waited_s"])
            arrivals_at_owners[job].append((line.source, str(fields["holder"]), arrival))
        elif line.event == "started" and "incarnation" in fields:
            source_by_incarnation[str(fields["incarnation"])] = line.source
    sources = _guess_sources(arrival_by_holder, arrivals_at_owners) | source_by_incarnation
    differences: dict[_Pair, list[float]] = defaultdict(list)
    for job, owner_arrivals in arrivals_at_owners.items():
        for owner, incarnation, arrival in owner_arrivals:
            holder = sources.get(incarnation, "")
            held_at = arrival_by_holder[job].get(holder)
            if held_at is not None and holder != owner and (job, holder) not in repeated:
                differences[holder, owner].append(arrival - held_at)
    return differences


def _guess_sources(
    arrival_by_holder: dict[str, dict[str, float]],
    arrivals_at_owners: dict[str, list[tuple[str, str, float]]],
) -> dict[str, str]:
    """Return the source of each holder whose start is not in the logs, from jobs with one end."""
    votes: dict[str, Counter[str]] = defaultdict(Counter)
    for job, owner_arrivals in arrivals_at_owners.items():
        incarnations = {incarnation for _, incarnation, _ in owner_arrivals}
        if len(incarnations) == len(arrival_by_holder[job]) == 1:
            votes[incarnations.pop()].update(arrival_by_holder[job])
    return {incarnation: count.most_common(1)[0][0] for incarnation, count in votes.items()}
