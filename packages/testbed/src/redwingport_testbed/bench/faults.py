"""Faults of a run, set through the control interface of the stand-ins."""

import json
import signal

from redwingport_messages.vms import VmInfo
from redwingport_testbed.bench.scenario import Fault, Kind, Scenario
from redwingport_testbed.exceptions import TestbedError
from redwingport_testbed.http_client import HttpClient
from redwingport_testbed.processes import Processes
from redwingport_testbed.standins.fleet import Fleet

SLOW_SERVER_INTERVAL = 5
SLOW_FACTOR = 5.0
FAILING_SERVERS = 2


def faulty_servers(scenario: Scenario, fleet: Fleet) -> tuple[VmInfo, ...]:
    """Return the servers that a scenario's fault concerns."""
    vms = fleet.worker_vms() if scenario.kind is Kind.JOBS else fleet.executor_vms()
    if scenario.fault is Fault.SLOW_FIFTH:
        return vms[::SLOW_SERVER_INTERVAL]
    if scenario.fault is Fault.FAILING_TWO:
        # One in each half, so that they are in different failure domains.
        return vms[2 :: len(vms) // FAILING_SERVERS][:FAILING_SERVERS]
    if scenario.fault is Fault.DOMAIN_CUT:
        return tuple(vm for vm in vms if vm.domain == cut_domain(fleet))
    return ()


def cut_domain(fleet: Fleet) -> str:
    """Return the failure domain that is cut off: the last one."""
    return fleet.deployment.domains[-1]


def fault_start_s(scenario: Scenario) -> float:
    """Return when the fault starts, in seconds from the start of the run.

    A failure domain is cut off in the middle of the run; other faults are there from its start.
    """
    if scenario.fault is Fault.DOMAIN_CUT:
        return scenario.warm_up_s + scenario.measure_s / 2
    return 0.0


async def start_fault(
    scenario: Scenario, fleet: Fleet, client: HttpClient, processes: Processes
) -> None:
    """Start the fault of a scenario.

    A failure domain that is cut off is one whose servers and entry processes neither read nor
    answer, which is what the others see of it.

    :raises TestbedError: when a stand-in refuses.
    """
    change: dict[str, object] = {}
    if scenario.fault is Fault.SLOW_FIFTH:
        change = {"straggle_factor": SLOW_FACTOR}
    elif scenario.fault is Fault.FAILING_TWO:
        change = {"fails_everything": True}
    elif scenario.fault is Fault.DOMAIN_CUT:
        change = {"hang": True}
        for vm in fleet.entry_vms():
            if vm.domain == cut_domain(fleet):
                processes.signal(vm.vm, signal.SIGSTOP)
    for vm in faulty_servers(scenario, fleet):
        url = f"http://{vm.host}:{vm.port}/control/faults"
        answer = await client.request("POST", url, json.dumps(change).encode())
        if answer.status != 200:
            raise TestbedError(f"set fault of {vm.vm}", f"status {answer.status}")


async def end_fault(
    scenario: Scenario, fleet: Fleet, client: HttpClient, processes: Processes
) -> None:
    """End the cut of a failure domain, so that the counts can be read."""
    if scenario.fault is not Fault.DOMAIN_CUT:
        return
    for vm in faulty_servers(scenario, fleet):
        url = f"http://{vm.host}:{vm.port}/control/faults"
        await client.request("POST", url, b'{"hang": false}')
    for vm in fleet.entry_vms():
        if vm.domain == cut_domain(fleet):
            processes.signal(vm.vm, signal.SIGCONT)
