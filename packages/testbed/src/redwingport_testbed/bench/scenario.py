"""Define benchmark scenarios: offered load, deployment and injected faults."""

from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Deployment, Fleet

# Scales all work and all interarrival times. At 1 the six entry processes, the stand-ins and the
# two generators use about half of ten cores, so no slowdown is necessary.
TIME_SCALE = 1.0
TEAMS = 3
# Quota shares of the teams, whose demands are equal.
TEAM_SHARES = (2.0, 1.0, 1.0)


class Kind(StrEnum):
    """Identify the kind of submissions."""

    JOBS = "jobs"
    REQUESTS = "requests"


class Fault(StrEnum):
    """Identify the fault that is injected into backend servers during a run."""

    NONE = "none"
    SLOW_FIFTH = "slow-fifth"
    FAILING_TWO = "failing-two"
    DOMAIN_CUT = "domain-cut"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one benchmark run.

    :param deployment: name of the deployment.
    :param kind: jobs on workers, or requests on executors.
    :param load: offered work as a fraction of the capacity without faults.
    :param entries: number of entry processes.
    :param chooser: value of ``[policy] chooser``.
    :param burst: load during the burst, as a fraction of the capacity; 0 for no burst.
    :param burst_s: duration of the burst, in seconds.
    :param declared_error: maximum factor by which declared run times deviate.
    :param fault: fault of the backend servers.
    :param warm_up_s: duration of the warm-up, in seconds; its submissions are not recorded.
    :param measure_s: duration of the recorded arrivals after the warm-up, in seconds.
    :param slack_s: timeout beyond three times the longest work of a submission, in seconds.
    :param seed: seed of the arrivals and of the policy.
    """

    deployment: str = "dairy"
    kind: Kind = Kind.JOBS
    load: float = 0.8
    entries: int = 6
    chooser: str = "completion-time"
    burst: float = 0.0
    burst_s: float = 2.0
    declared_error: float = 1.0
    fault: Fault = Fault.NONE
    warm_up_s: float = 3.0
    measure_s: float = 10.0
    slack_s: float = 5.0
    seed: int = 1

    @property
    def seconds(self) -> float:
        """Return the duration of the arrivals, in seconds."""
        return self.warm_up_s + self.measure_s

    @property
    def name(self) -> str:
        """Return the name of the scenario in file names and tables."""
        parts = [self.deployment, self.kind, f"{self.load * 100:.0f}", self.chooser]
        if self.burst:
            parts.append(f"burst{self.burst:g}")
        if self.declared_error != 1:
            parts.append(f"declared{self.declared_error:g}")
        if self.fault is not Fault.NONE:
            parts.append(self.fault)
        if self.entries != Scenario.__dataclass_fields__["entries"].default:
            parts.append(f"entries{self.entries}")
        return "-".join([*parts, f"seed{self.seed}"])

    def as_json(self) -> dict[str, Any]:
        """Return the fields as JSON values."""
        return {key: str(v) if isinstance(v, StrEnum) else v for key, v in asdict(self).items()}


def scenario_from_json(members: dict[str, Any]) -> Scenario:
    """Build a scenario from the output of :meth:`Scenario.as_json`.

    :raises TestbedError: if a field is unknown, missing or invalid.
    """
    try:
        return replace(
            Scenario(**members), kind=Kind(members["kind"]), fault=Fault(members["fault"])
        )
    except (TypeError, ValueError, KeyError) as error:
        raise TestbedError("read scenario", str(error)) from error


def deployment_of(scenario: Scenario) -> Deployment:
    """Return the deployment that a scenario names."""
    return DEPLOYMENT_BY_NAME[scenario.deployment]


def capacity(scenario: Scenario, fleet: Fleet) -> float:
    """Return the work that the servers complete per second, in seconds at speed 1.

    Only servers of the scenario's kind count: workers for jobs, executors for requests.
    """
    vms = fleet.worker_vms() if scenario.kind is Kind.JOBS else fleet.executor_vms()
    return sum(vm.slots * fleet.speed(number) for number, vm in enumerate(vms))


def team_name(deployment: Deployment, number: int) -> str:
    """Return the name of a team; team 0 is the deployment's own."""
    return deployment.team if number == 0 else f"{deployment.team}-{number + 1}"


def job_service(deployment: Deployment, number: int) -> str:
    """Return the name of a team's job service."""
    return deployment.job_service if number == 0 else f"{deployment.job_service}-{number + 1}"


def service_documents(deployment: Deployment) -> tuple[dict[str, Any], ...]:
    """Return the service documents: one job service per team and one request service."""
    weight = {"response_weight": deployment.response_weight}
    jobs = [
        weight
        | {
            "name": job_service(deployment, number),
            "team": team_name(deployment, number),
            "jobs": {"max_tasks": 150},
        }
        for number in range(TEAMS)
    ]
    operations = {name: {"timeout_ms": 60_000} for name in deployment.operations}
    requests = {
        "name": deployment.request_service,
        "team": deployment.team,
        "operations": operations,
    }
    return (*jobs, weight | requests)


def settings_changes(scenario: Scenario) -> dict[str, dict[str, str]]:
    """Return the entry process settings that depend on the scenario."""
    deployment = deployment_of(scenario)
    quotas = {team_name(deployment, n): str(TEAM_SHARES[n]) for n in range(TEAMS)}
    return {
        "policy": {"chooser": scenario.chooser, "seed": str(scenario.seed)},
        "quotas": quotas,
    }
