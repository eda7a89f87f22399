"""Interface and helpers of the commands."""

import argparse
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from redwingport_cli.client import EntryClient, Reply, Request
from redwingport_cli.connection import build_client
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.problems import exit_code_of_command, problem_of_reply, report
from redwingport_cli.rendering import OutputFormat

COMMAND_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class CommandHelp:
    """Hold the texts of a command's ``--help``.

    :param summary: one line for the list of commands.
    :param description: what the command does.
    :param example: example command lines.
    :param exit_codes: exit codes that the command can return.
    """

    summary: str
    description: str
    example: str
    exit_codes: tuple[ExitCode, ...]


class Context:
    """Provide a command with its output format and its client.

    :param options: the parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self.output = OutputFormat(getattr(options, "output", OutputFormat.TEXT))

    def client(self, timeout_s: float = COMMAND_TIMEOUT_S) -> EntryClient:
        """Build a client for the configured entry processes.

        :param timeout_s: longest wait without a byte of the answer, in seconds.
        :raises UsageError: if a connection option is wrong.
        """
        return build_client(self._options, timeout_s)


class Command(Protocol):
    """Add the arguments of one command and run it.

    ``name`` is the command's name on the command line, without the name of its group; ``help``
    holds the texts of its ``--help``; ``needs_entry`` tells whether the command sends requests to
    an entry process.
    """

    name: str
    help: CommandHelp
    needs_entry: bool

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's own arguments to its parser."""

    def run(self, options: argparse.Namespace, context: Context) -> ExitCode:
        """Run the command.

        :param options: the parsed command line.
        :param context: output format and client.
        :returns: the exit code.
        :raises CliError: if the command fails without an answer to report.
        """


@dataclass(frozen=True, slots=True)
class CommandGroup:
    """Group commands that share the first word of their names.

    :param name: the shared word.
    :param summary: one line for the list of commands.
    :param commands: the commands of the group.
    """

    name: str
    summary: str
    commands: tuple[Command, ...]


QUERY_EXIT_CODES = (
    ExitCode.DONE,
    ExitCode.NOT_RUN,
    ExitCode.USAGE,
    ExitCode.FAILED,
    ExitCode.UNREACHABLE,
)
CHANGE_EXIT_CODES = (*QUERY_EXIT_CODES, ExitCode.OUTCOME_UNKNOWN)


def all_commands(items: tuple[Command | CommandGroup, ...]) -> Iterator[tuple[str, Command]]:
    """Iterate over all commands with their full names, including those of groups."""
    for item in items:
        if isinstance(item, CommandGroup):
            yield from ((f"{item.name} {command.name}", command) for command in item.commands)
        else:
            yield item.name, item


class RefusedQueryError(Exception):
    """Report that a query was answered with an error status.

    :param reply: the answer.
    """

    def __init__(self, reply: Reply) -> None:
        super().__init__(f"query refused with status {reply.status}")
        self.reply = reply


def query(client: EntryClient, path: str) -> Reply:
    """Send a query, which changes nothing, to an entry process.

    :param path: path and query.
    :raises RefusedQueryError: if the status is not 2xx.
    :raises UnreachableError: if no entry process answers.
    """
    reply = client.send(Request("GET", path, mutates=False))
    if not reply.succeeded:
        raise RefusedQueryError(reply)
    return reply


def report_reply(reply: Reply, output: OutputFormat, code: ExitCode | None = None) -> ExitCode:
    """Show the problem that an answer reports and return the exit code.

    :param code: the exit code; by default that of a refused query.
    """
    report(problem_of_reply(reply), output)
    return exit_code_of_command(reply, mutates=False) if code is None else code
