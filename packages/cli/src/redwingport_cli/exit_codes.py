"""Exit codes of the command line."""

from collections.abc import Iterable
from enum import IntEnum

from redwingport_messages.outcomes import Outcome


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    NOT_RUN = 1
    USAGE = 2
    FAILED = 3
    OUTCOME_UNKNOWN = 4
    UNREACHABLE = 5
    INVALID = 6


MEANING_BY_EXIT_CODE = {
    ExitCode.DONE: "done",
    ExitCode.NOT_RUN: "refused: nothing was run and nothing was changed",
    ExitCode.USAGE: "usage: an argument is wrong, or an input file cannot be read",
    ExitCode.FAILED: (
        "failed: the submission ended without a complete answer, "
        "or the answer cannot be read or written"
    ),
    ExitCode.OUTCOME_UNKNOWN: "the outcome is not known; it may have run or may still run",
    ExitCode.UNREACHABLE: "no entry process could be reached; nothing was run or changed",
    ExitCode.INVALID: "a settings file or document is invalid, or a checked file is not current",
}

EXIT_CODE_BY_OUTCOME = {
    Outcome.COMPLETE: ExitCode.DONE,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.FAILED: ExitCode.FAILED,
    Outcome.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


def describe_exit_codes(codes: Iterable[ExitCode]) -> str:
    """Format exit codes and their meanings for a help text.

    :param codes: the codes to list.
    :returns: one indented line per code.
    """
    return "\n".join(f"  {int(code)}  {MEANING_BY_EXIT_CODE[code]}" for code in sorted(codes))
