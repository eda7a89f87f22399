"""Command line of a dispatch process."""

import argparse
import logging
import os
import signal
import sys

import anyio
from result import Err

from redwingport_dispatch.event_loop import RoundUpTimerLoop
from redwingport_dispatch.logs import BoundedHandler, configure_logging
from redwingport_dispatch.process import DispatchProcess, OpenPlatform
from redwingport_dispatch.settings import Settings, load_settings
from redwingport_entry.exit_codes import EXIT_SETTINGS
from redwingport_entry.logs import ROOT, log_event

logger = logging.getLogger(ROOT)


def build_parser(settings_variable: str) -> argparse.ArgumentParser:
    """Build the command line parser.

    :param settings_variable: environment variable that names the settings file.
    """
    parser = argparse.ArgumentParser(
        prog="redwingport-dispatch",
        description="Run one process that accepts jobs over HTTP and dispatches their tasks.",
        epilog="SIGTERM starts a graceful shutdown, SIGHUP reloads the settings. "
        "Exit codes: 0 stopped, 6 settings invalid.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(settings_variable),
        metavar="FILE",
        help=f"INI settings file; defaults to the value of {settings_variable}",
    )
    parser.add_argument("--check", action="store_true", help="validate the settings file and exit")
    return parser


async def serve(settings: Settings, path: str, open_platform: OpenPlatform) -> None:
    """Run the process until it has shut down.

    :param settings: validated settings.
    :param path: path of the settings file, which is reloaded on SIGHUP.
    :param open_platform: builds the platform adapter.
    """
    async with anyio.create_task_group() as task_group:
        process = DispatchProcess(settings, task_group, open_platform)

        async def watch_signals() -> None:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                async for number in signals:
                    log_event(logger, logging.INFO, "signal", number=int(number))
                    if number == signal.SIGHUP:
                        _reload(path, settings)
                    else:
                        process.start_drain()

        task_group.start_soon(watch_signals)
        log_event(
            logger,
            logging.INFO,
            "started",
            vm=settings.process.vm,
            domain=settings.process.domain,
            incarnation=process.incarnation,
        )
        await process.run()
        log_event(logger, logging.INFO, "stopped")
        task_group.cancel_scope.cancel()


def _reload(path: str, settings: Settings) -> None:
    """Reload the settings; only the log level can change without a restart."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        log_event(logger, logging.ERROR, "reload-failed", errors=list(loaded.err_value))
        return
    changed = [
        name
        for name in ("process", "listen", "store", "bounds")
        if getattr(loaded.ok_value, name) != getattr(settings, name)
    ]
    logger.setLevel(loaded.ok_value.log.level.upper())
    log_event(logger, logging.INFO, "reloaded", needs_restart=changed)


def main(open_platform: OpenPlatform, settings_variable: str) -> None:
    """Read the settings and run the process.

    :param open_platform: builds the platform adapter.
    :param settings_variable: environment variable that names the settings file.
    """
    parser = build_parser(settings_variable)
    arguments = parser.parse_args()
    if not arguments.settings:
        parser.error(f"--settings or {settings_variable} is required")
    loaded = load_settings(arguments.settings)
    if isinstance(loaded, Err):
        for line in loaded.err_value:
            print(line, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        return
    handler: BoundedHandler = configure_logging(loaded.ok_value.log)
    try:
        anyio.run(
            serve,
            loaded.ok_value,
            arguments.settings,
            open_platform,
            backend_options={"loop_factory": RoundUpTimerLoop},
        )
    finally:
        handler.close()
