"""Exceptions of the command line."""

from redwingport_cli.exit_codes import ExitCode
from redwingport_messages.outcomes import Outcome


class CliError(Exception):
    """Report a command that failed without a usable answer of the entry process.

    :param step: operation that failed.
    :param peer: what the operation was about, such as an entry process, a file, an option or a
        field of a document; may be empty.
    :param reason: cause of the failure.
    :param errors: errors in an input file, each with its place.
    """

    code = "command-failed"
    exit_code = ExitCode.FAILED
    outcome = Outcome.NOT_RUN

    def __init__(self, step: str, peer: str, reason: str, errors: tuple[str, ...] = ()) -> None:
        super().__init__(f"{step} ({peer}): {reason}" if peer else f"{step}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.errors = errors


class UsageError(CliError):
    """Report a wrong argument or an unreadable input file."""

    code = "usage"
    exit_code = ExitCode.USAGE


class InvalidFileError(CliError):
    """Report an input file whose content is not valid."""

    code = "invalid-file"
    exit_code = ExitCode.INVALID


class UnreachableError(CliError):
    """Report that no entry process answered and nothing was changed."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE


class ConnectionLostError(CliError):
    """Report a connection lost after a request that may have taken effect was sent."""

    code = "connection-lost"
    exit_code = ExitCode.OUTCOME_UNKNOWN
    outcome = Outcome.OUTCOME_UNKNOWN


class AnswerError(CliError):
    """Report an answer that does not follow the HTTP API."""

    code = "unexpected-answer"


class OutputError(CliError):
    """Report output that could not be written."""

    code = "output-failed"
