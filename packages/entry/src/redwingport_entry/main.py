"""The program ``redwingport-entry``."""

import argparse
import logging
import signal
import sys

import anyio
from result import Err

from redwingport_entry.exit_codes import EXIT_SETTINGS
from redwingport_entry.logs import ROOT, configure_logging, log_event
from redwingport_entry.process import EntryProcess
from redwingport_entry.settings import Settings, load_settings

logger = logging.getLogger(ROOT)


def build_parser() -> argparse.ArgumentParser:
    """Build the command line parser."""
    parser = argparse.ArgumentParser(
        prog="redwingport-entry",
        description="Run one entry process: accept jobs and requests over HTTP and dispatch them.",
        epilog="SIGTERM starts a graceful shutdown. Exit codes: 0 stopped, 6 settings invalid.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE", help="the INI settings file")
    return parser


async def serve(settings: Settings) -> None:
    """Run the process until it has shut down.

    :param settings: validated settings.
    """
    async with anyio.create_task_group() as task_group:
        process = EntryProcess(settings, task_group)

        async def watch_signals() -> None:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for number in signals:
                    log_event(logger, logging.INFO, "signal", number=int(number))
                    process.start_drain()

        task_group.start_soon(watch_signals)
        log_event(
            logger,
            logging.INFO,
            "started",
            vm=settings.entry.name,
            domain=settings.entry.domain,
            incarnation=process.submissions.table.issuer.incarnation,
        )
        await process.run()
        log_event(logger, logging.INFO, "stopped")
        task_group.cancel_scope.cancel()


def main() -> None:
    """Read the settings and run the process."""
    arguments = build_parser().parse_args()
    loaded = load_settings(arguments.settings)
    if isinstance(loaded, Err):
        for line in loaded.err_value:
            print(line, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        configure_logging(loaded.ok_value.log)
    except OSError as error:
        print(f"[log] file: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    anyio.run(serve, loaded.ok_value, backend_options={"use_uvloop": True})
