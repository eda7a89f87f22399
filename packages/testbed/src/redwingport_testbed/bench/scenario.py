"""Scenarios of the bench: what is offered, to which deployment, under which faults."""

from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Deployment, Fleet

# Factor on all work and all times between arrivals. At 1 the six processes, the stand-ins and
# two generators need about half of ten cores, so nothing has to be stretched.
TIME_SCALE = 1.0
TEAMS = 3
# Shares of the teams in the quotas; their demands are equal.
TEAM_SHARES = (2.0, 1.0, 1.0)


class Kind(StrEnum):
    """Name what is submitted."""

    JOBS = "jobs"
    REQUESTS = "requests"


class Fault(StrEnum):
    """Name the faults of backend servers during a run."""

    NONE = "none"
    SLOW_FIFTH = "slow-fifth"
    FAILING_TWO = "failing-two"
    DOMAIN_CUT = "domain-cut"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one measurement.

    :param deployment: name of the deployment.
    :param kind: jobs on workers, or requests on executors.
    :param load: offered work over capacity of the servers without faults.
    :param entries: number of entry processes.
    :param chooser: value of ``[policy] chooser``.
    :param burst: load during the burst, over capacity; 0 for none.
    :param burst_s: length of the burst, in seconds.
    :param declared_error: largest factor by which declared run times are off.
    :param fault: fault of backend servers.
    :param warm_up_s: submissions intended before this time are not recorded.
    :param measure_s: time during which submissions are recorded, in seconds.
    :param slack_s: time a submission may take beyond three times its longest work, in seconds.
    :param seed: seed of the arrivals.
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
        """Return the time during which submissions are sent."""
        return self.warm_up_s + self.measure_s

    @property
    def name(self) -> str:
        """Return a name for files and tables."""
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
        """Return the JSON members."""
        return {key: str(v) if isinstance(v, StrEnum) else v for key, v in asdict(self).items()}


def scenario_from_json(members: dict[str, Any]) -> Scenario:
    """Read what :meth:`Scenario.as_json` returned.

    :raises TestbedError: when a member is unknown or has a wrong value.
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
    """Return the work that all servers of a kind do in a second, in seconds at speed 1."""
    vms = fleet.worker_vms() if scenario.kind is Kind.JOBS else fleet.executor_vms()
    return sum(vm.slots * fleet.speed(number) for number, vm in enumerate(vms))


def team_name(deployment: Deployment, number: int) -> str:
    """Return the name of a team; the first one is the deployment's own."""
    return deployment.team if number == 0 else f"{deployment.team}-{number + 1}"


def job_service(deployment: Deployment, number: int) -> str:
    """Return the name of a team's service for jobs."""
    return deployment.job_service if number == 0 else f"{deployment.job_service}-{number + 1}"


def service_documents(deployment: Deployment) -> tuple[dict[str, Any], ...]:
    """Return the service documents: one per team for jobs, one for requests."""
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
    """Return the settings of the entry processes that a scenario determines."""
    deployment = deployment_of(scenario)
    quotas = {team_name(deployment, n): str(TEAM_SHARES[n]) for n in range(TEAMS)}
    return {
        "policy": {"chooser": scenario.chooser, "seed": str(scenario.seed)},
        "quotas": quotas,
    }
