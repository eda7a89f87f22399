"""Command ``drain``."""

import argparse

from redwingport_cli.client import Request
from redwingport_cli.commands.base import (
    CHANGE_EXIT_CODES,
    CommandHelp,
    Context,
    report_reply,
)
from redwingport_cli.exceptions import UsageError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.problems import exit_code_of_command
from redwingport_cli.rendering import OutputFormat, print_json


class Drain:
    """Shut one entry process down without interrupting in-flight requests."""

    name = "drain"
    needs_entry = True
    help = CommandHelp(
        "shut one entry process down gracefully",
        "Tell one entry process to accept no new work, to finish its in-flight requests and to "
        "exit. The command returns when the entry process has accepted this. Exactly one --entry "
        "must be given, so that no other process is drained if that one cannot be reached.",
        "redwingport drain --entry http://10.0.0.5:8080 --token-file operator.token",
        CHANGE_EXIT_CODES,
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add nothing: the command has no arguments of its own."""

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Start the drain."""
        client = context.client()
        if len(client.entries) != 1:
            raise UsageError("read options", "", "drain requires exactly one --entry")
        reply = client.send(Request("POST", "/v1/drain"))
        if not reply.succeeded:
            return report_reply(reply, context.output, exit_code_of_command(reply, mutates=True))
        if context.output is OutputFormat.JSON:
            print_json(reply.json_object())
        else:
            print(f"{reply.peer}: draining")
        return ExitCode.DONE
