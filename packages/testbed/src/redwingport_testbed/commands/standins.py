"""Run the platform and all workers and executors of a deployment in this process."""

import argparse
import signal

import anyio

from redwingport_testbed.standins.fleet import DEPLOYMENT_BY_NAME, Fleet, serve_stand_ins

HELP = "run the platform, the workers and the executors of a deployment"
DEFAULT_BASE_PORT = 20_000
READY_LINE = "ready"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the options."""
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENT_BY_NAME), default="dairy")
    parser.add_argument("--base-port", type=int, default=DEFAULT_BASE_PORT)
    parser.add_argument(
        "--entries", type=int, default=6, help="number of entry VMs in the VM list"
    )


def run(options: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT."""
    fleet = Fleet(DEPLOYMENT_BY_NAME[options.deployment], options.base_port, options.entries)
    anyio.run(_serve, fleet, backend_options={"use_uvloop": True})
    return 0


async def _serve(fleet: Fleet) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with serve_stand_ins(fleet):
            print(READY_LINE, flush=True)
            async for _ in signals:
                return
