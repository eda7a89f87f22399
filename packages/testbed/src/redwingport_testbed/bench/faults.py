"""Inject the faults of a run through the control interface of the stand-ins."""

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
    """Return the servers that the scenario's fault affects."""
    vms = fleet.worker_vms() if scenario.kind is Kind.JOBS else fleet.executor_vms()
    if scenario.fault is Fault.SLOW_FIFTH:
        return vms[::SLOW_SERVER_INTERVAL]
    if scenario.fault is Fault.FAILING_TWO:
        # One server from each half of the list, so that they are in different failure domains.
        return vms[2 :: len(vms) // FAILING_SERVERS][:FAILING_SERVERS]
    if scenario.fault is Fault.DOMAIN_CUT:
        return tuple(vm for vm in vms if vm.domain == cut_domain(fleet))
    return ()


def cut_domain(fleet: Fleet) -> str:
    """Return the failure domain that is cut off, which is the last one."""
    return fleet.deployment.domains[-1]


def fault_start_s(scenario: Scenario) -> float:
    """Return the start time of the fault, in seconds from the start of the run.

    A failure domain is cut off in the middle of the measured time; other faults start with the
    run.
    """
    if scenario.fault is Fault.DOMAIN_CUT:
        return scenario.warm_up_s + scenario.measure_s / 2
    return 0.0


async def start_fault(
    scenario: Scenario, fleet: Fleet, client: HttpClient, processes: Processes
) -> None:
    """Start the fault of a scenario.

    To cut off a failure domain, its servers and entry processes stop reading and answering, which
    is how the cut appears to processes outside it.

    :raises TestbedError: if a stand-in rejects the change.
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
            raise TestbedError(f"set fault of {vm.vm}", f"answered with status {answer.status}")


async def end_fault(
    scenario: Scenario, fleet: Fleet, client: HttpClient, processes: Processes
) -> None:
    """Resume a failure domain that was cut off, so that its counters can be read."""
    if scenario.fault is not Fault.DOMAIN_CUT:
        return
    for vm in faulty_servers(scenario, fleet):
        url = f"http://{vm.host}:{vm.port}/control/faults"
        await client.request("POST", url, b'{"hang": false}')
    for vm in fleet.entry_vms():
        if vm.domain == cut_domain(fleet):
            processes.signal(vm.vm, signal.SIGCONT)
