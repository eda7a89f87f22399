"""Test that the arrivals of a run match its scenario."""

from dataclasses import replace

import pytest

from redwingport_testbed.bench.arrivals import arrival_from_json, draw_arrivals
from redwingport_testbed.bench.scenario import (
    Kind,
    Scenario,
    capacity,
    deployment_of,
    scenario_from_json,
)
from redwingport_testbed.standins.fleet import Fleet

BASE_PORT = 20_000


def fleet_of(scenario: Scenario) -> Fleet:
    return Fleet(deployment_of(scenario), BASE_PORT, scenario.entries)


@pytest.mark.parametrize("kind", list(Kind))
def test_arrivals_do_not_depend_on_the_chooser(kind: Kind) -> None:
    # Guards against comparing choosers under different loads: if the chooser changed the random
    # draw, runs of two choosers would not be comparable.
    scenario = Scenario(kind=kind)
    other = replace(scenario, chooser="random")
    assert draw_arrivals(scenario, fleet_of(scenario)) == draw_arrivals(other, fleet_of(other))
    assert draw_arrivals(replace(scenario, seed=2), fleet_of(scenario)) != draw_arrivals(
        scenario, fleet_of(scenario)
    )


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("load", [0.5, 1.2])
def test_offered_work_is_the_stated_load(kind: Kind, load: float) -> None:
    # Guards against a load that differs from the stated one: with plain Poisson arrivals, large
    # jobs make the work of a short run vary by several percent.
    scenario = Scenario(kind=kind, load=load)
    fleet = fleet_of(scenario)
    arrivals = draw_arrivals(scenario, fleet)
    offered = sum(a.work_s for a in arrivals) / (capacity(scenario, fleet) * scenario.seconds)
    assert offered == pytest.approx(load, rel=0.02)


def test_arrivals_follow_the_weights_of_the_entry_processes() -> None:
    scenario = Scenario(kind=Kind.REQUESTS, measure_s=30)
    fleet = fleet_of(scenario)
    arrivals = draw_arrivals(scenario, fleet)
    weights = [vm.weight for vm in fleet.entry_vms()]
    for number, weight in enumerate(weights):
        share = sum(1 for a in arrivals if a.target == number) / len(arrivals)
        assert share == pytest.approx(weight / sum(weights), rel=0.1)


def test_burst_adds_work_only_in_its_two_seconds() -> None:
    scenario = Scenario(load=0.5, burst=3.0)
    fleet = fleet_of(scenario)
    start = scenario.warm_up_s + 1
    inside = [
        a for a in draw_arrivals(scenario, fleet) if start <= a.at < start + scenario.burst_s
    ]
    load = sum(a.work_s for a in inside) / capacity(scenario, fleet) / scenario.burst_s
    assert load == pytest.approx(3.0, rel=0.1)


def test_arrivals_and_scenarios_round_trip_through_json() -> None:
    scenario = Scenario(declared_error=10)
    arrival = draw_arrivals(scenario, fleet_of(scenario))[0]
    assert arrival_from_json(arrival.as_json()) == arrival
    assert scenario_from_json(scenario.as_json()) == scenario
