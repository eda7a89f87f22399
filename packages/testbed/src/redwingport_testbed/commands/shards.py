"""Simulate the shards of a large deployment and print what jobs of each size got."""

import argparse

from redwingport_dispatch.ownership.shards import shard_count_for
from redwingport_testbed.shards.report import TABLE_HEAD, mean_worth, summarize, table_rows
from redwingport_testbed.shards.simulation import Deployment, simulate
from redwingport_testbed.shards.workload import draw_bursts, draw_jobs

HELP = "simulate the shards of a large deployment under load, in virtual time"
# Owners learn the speeds of the servers in this time.
WARM_UP_S = 2.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    parser.add_argument("--servers", type=int, default=176, help="number of servers")
    parser.add_argument("--shards", type=int, help="number of shards; by default as deployed")
    parser.add_argument("--load", type=float, default=1.0, help="factor on the rates of all kinds")
    parser.add_argument("--seconds", type=float, default=21.0, help="length of the simulation")
    parser.add_argument("--seed", type=int, default=1, help="seed of the jobs")
    parser.add_argument("--no-bursts", action="store_true", help="keep the load constant")
    parser.add_argument(
        "--owner-ms", type=float, default=2.7, help="processor time of an owner for a task, in ms"
    )


def run(options: argparse.Namespace) -> int:
    """Simulate, and print a Markdown table."""
    deployment = Deployment(
        servers=options.servers,
        shards=options.shards or shard_count_for(options.servers),
        owner_task_s=options.owner_ms / 1000,
    )
    bursts = [] if options.no_bursts else draw_bursts(options.seconds, options.seed)
    plans = draw_jobs(options.load, options.servers, options.seconds, bursts, options.seed)
    summaries = summarize(simulate(deployment, plans), WARM_UP_S)
    print(*TABLE_HEAD, *table_rows(summaries), sep="\n")
    print(f"\nmean worth of the kinds: {mean_worth(summaries):.3f}")
    return 0
