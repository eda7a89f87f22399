"""Compute the report of a run from its raw results."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from redwingport_testbed.bench.arrivals import Arrival
from redwingport_testbed.bench.counters import wasted_messages
from redwingport_testbed.bench.faults import cut_domain
from redwingport_testbed.bench.generator import Record
from redwingport_testbed.bench.measurement import Measurement
from redwingport_testbed.bench.scenario import (
    TEAM_SHARES,
    TEAMS,
    Fault,
    Kind,
    Scenario,
    capacity,
    team_name,
)
from redwingport_testbed.entry_client import COMPLETE
from redwingport_testbed.standins.fleet import Fleet

PERCENTILES = (50.0, 90.0, 99.0)
# With a higher p99 lag the results describe the generator rather than the policy: 10 ms is a
# fifth of the shortest task.
MAX_LAG_P99_MS = 10.0
# Above this share of one core, the event loop of the stand-ins delays task completions.
MAX_STAND_IN_LOAD = 0.85
MAX_REFUSAL_MS = 50.0
NOT_RUN = "not-run"
_HISTOGRAM_SCALE = 1_000


class Report:
    """Compute the metrics of one run.

    :param scenario: scenario of the run.
    :param fleet: fleet that the run used.
    :param arrivals: all arrivals of the run.
    :param measurement: raw results of the run.
    """

    def __init__(
        self,
        scenario: Scenario,
        fleet: Fleet,
        arrivals: list[Arrival],
        measurement: Measurement,
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._arrivals = arrivals
        self._measurement = measurement
        self._capacity = capacity(scenario, fleet)
        self._recorded = [
            record
            for record in measurement.records
            if arrivals[record.number].at >= scenario.warm_up_s and self._is_counted(record)
        ]

    @property
    def records(self) -> list[Record]:
        """Return the records of all submissions."""
        return self._measurement.records

    def as_json(self) -> dict[str, Any]:
        """Return all metrics of the run as JSON values."""
        lag_ms = percentiles(record.lag_s * 1000 for record in self._recorded)
        reasons = self._void_reasons(lag_ms)
        return {
            "scenario": self._scenario.as_json(),
            "void": reasons,
            "outcomes": self._outcomes(),
            "over_ideal": self._over_ideal(1.0),
            "over_fastest": self._over_ideal(max(self._fleet.deployment.speeds)),
            "over_ideal_by_second": self._over_ideal_by_second(),
            "refusal_ms": self._refusal_ms(),
            "untruthful_refusals": self._untruthful_refusals(),
            "started_twice": sum(1 for n in self._measurement.started.values() if n > 1),
            "goodput": self._goodput(),
            "fairness": self._fairness(),
            "messages": self._messages(),
            "processor": self._processor(),
            "generator_lag_ms": lag_ms,
            "elapsed_s": round(self._measurement.elapsed_s, 2),
        }

    def _is_counted(self, record: Record) -> bool:
        """Return False for submissions to entry processes in the domain that is cut off."""
        if self._scenario.fault is not Fault.DOMAIN_CUT:
            return True
        vm = self._fleet.entry_vms()[self._arrivals[record.number].target]
        return vm.domain != cut_domain(self._fleet)

    def _ideal_s(self, record: Record, speed: float) -> float:
        arrival = self._arrivals[record.number]
        return max(arrival.longest_s / speed, arrival.work_s / self._capacity)

    def _response_ratios(self, speed: float) -> Iterable[tuple[float, float]]:
        for record in self._recorded:
            if record.outcome == COMPLETE:
                arrival = self._arrivals[record.number]
                yield arrival.at, record.response_s / self._ideal_s(record, speed)

    def _over_ideal(self, speed: float) -> dict[str, float]:
        return percentiles(ratio for _, ratio in self._response_ratios(speed))

    def _over_ideal_by_second(self) -> dict[str, float]:
        ratios_by_second: dict[int, list[float]] = defaultdict(list)
        for at, ratio in self._response_ratios(1.0):
            ratios_by_second[int(at)].append(ratio)
        return {
            str(second): percentiles(ratios)["p50"]
            for second, ratios in sorted(ratios_by_second.items())
        }

    def _outcomes(self) -> dict[str, int]:
        counts = Counter(f"{r.outcome} {r.problem}".strip() for r in self._recorded)
        return dict(sorted(counts.items()))

    def _refusal_ms(self) -> dict[str, float]:
        times = [r.response_s * 1000 for r in self._recorded if r.outcome == NOT_RUN]
        summary = percentiles(times)
        if times:
            within = sum(1 for ms in times if ms <= MAX_REFUSAL_MS)
            summary["within_50_ms"] = round(within / len(times), 4)
        return summary

    def _untruthful_refusals(self) -> int:
        """Count submissions that were reported as not run although a task was started."""
        started = {submission for submission, _ in self._measurement.started}
        records = self._measurement.records
        return sum(1 for r in records if r.outcome == NOT_RUN and r.submission in started)

    def _completed_work_s(self, records: Iterable[Record]) -> float:
        """Sum the work of submissions that completed between the warm-up and the last arrivals."""
        total = 0.0
        for record in records:
            arrival = self._arrivals[record.number]
            ended_at = arrival.at + record.response_s
            in_interval = self._scenario.warm_up_s <= ended_at <= self._scenario.seconds
            if record.outcome == COMPLETE and in_interval:
                total += arrival.work_s
        return total

    def _goodput(self) -> dict[str, float]:
        full_work_s = self._capacity * self._scenario.measure_s
        offered = sum(self._arrivals[r.number].work_s for r in self._recorded)
        refused = sum(
            self._arrivals[r.number].work_s for r in self._recorded if r.outcome == NOT_RUN
        )
        return {
            "offered": round(offered / full_work_s, 4),
            "done": round(self._completed_work_s(self._measurement.records) / full_work_s, 4),
            "refused": round(refused / full_work_s, 4),
        }

    def _fairness(self) -> dict[str, Any]:
        """Compare each team's completed work with its entitlement.

        The entitlement is the smaller of the team's demand and its share of the capacity.
        """
        if self._scenario.kind is not Kind.JOBS:
            return {}
        full_work_s = self._capacity * self._scenario.measure_s
        share_by_team: dict[str, float] = {}
        for number in range(TEAMS):
            team = team_name(self._fleet.deployment, number)
            records = [r for r in self._recorded if self._arrivals[r.number].team == team]
            all_records = [
                r for r in self._measurement.records if self._arrivals[r.number].team == team
            ]
            demand = sum(self._arrivals[r.number].work_s for r in records)
            quota = TEAM_SHARES[number] / sum(TEAM_SHARES) * full_work_s
            entitled = min(demand, quota)
            if entitled:
                share_by_team[team] = round(self._completed_work_s(all_records) / entitled, 4)
        worst = min(share_by_team.values(), default=0.0)
        return {"done_over_entitled": share_by_team, "worst": worst}

    def _messages(self) -> dict[str, Any]:
        measurement = self._measurement
        tasks = max(measurement.servers["starts"], 1)
        wasted = wasted_messages(measurement.messages, measurement.servers)
        return {
            "tasks": measurement.servers["starts"],
            "declined_tasks": measurement.messages["task_declines"],
            "start_requests": measurement.messages["messages/start"],
            "wasted_per_task": round(sum(wasted.values()) / tasks, 4),
            "wasted_per_task_by_kind": {k: round(n / tasks, 4) for k, n in wasted.items()},
            "counters": dict(sorted(measurement.messages.items())),
        }

    def _processor(self) -> dict[str, Any]:
        used = self._measurement.processor_s_by_process
        entries = {name: s for name, s in used.items() if name.startswith("entry-")}
        tasks = max(self._measurement.servers["starts"], 1)
        elapsed_s = self._measurement.elapsed_s
        return {
            "entry_ms_per_task": round(sum(entries.values()) * 1000 / tasks, 4),
            "busiest_entry": round(max(entries.values()) / elapsed_s, 3),
            "stand_ins": round(used.get("standins", 0.0) / elapsed_s, 3),
            "seconds": used,
        }

    def _void_reasons(self, lag_ms: dict[str, float]) -> list[str]:
        reasons = []
        if lag_ms.get("p99", 0.0) > MAX_LAG_P99_MS:
            reasons.append(f"the p99 lag of the generator was {lag_ms['p99']:.1f} ms")
        if len(self._measurement.records) != len(self._arrivals):
            reasons.append("some submissions were not sent")
        load = self._measurement.processor_s_by_process.get("standins", 0.0)
        load /= self._measurement.elapsed_s
        if load > MAX_STAND_IN_LOAD:
            reasons.append(f"the stand-ins used {load:.0%} of a core")
        return reasons


def percentiles(values: Iterable[float]) -> dict[str, float]:
    """Return the count, the percentiles and the maximum of the values."""
    histogram = HdrHistogram(1, 3_600_000 * _HISTOGRAM_SCALE, 3)
    for value in values:
        histogram.record_value(max(1, int(value * _HISTOGRAM_SCALE)))
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    found = histogram.get_percentile_to_value_dict(PERCENTILES)
    summary = {f"p{p:g}": found[p] / _HISTOGRAM_SCALE for p in PERCENTILES}
    return {"count": count, **summary, "max": histogram.get_max_value() / _HISTOGRAM_SCALE}
