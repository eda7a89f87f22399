"""Entry point of ``redwingport``."""

import argparse
import os
import sys
import traceback
from collections.abc import Sequence

from redwingport_cli.commands.base import Command, Context, RefusedQueryError, report_reply
from redwingport_cli.exceptions import CliError, OutputError
from redwingport_cli.exit_codes import ExitCode
from redwingport_cli.parser import parse_command_line
from redwingport_cli.problems import problem_of_error, report
from redwingport_cli.rendering import print_notice


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    :param argv: command line arguments; by default those of this process.
    :returns: the exit code, see :mod:`redwingport_cli.exit_codes`.
    """
    options = parse_command_line(argv)
    try:
        code = _run(options)
        sys.stdout.flush()
    except OSError as error:
        code = _output_failed(error)
    except KeyboardInterrupt:
        print_notice("interrupted; a request that was sent may still take effect")
        code = ExitCode.OUTCOME_UNKNOWN
    except Exception:
        # The interpreter would exit with 1, which means that nothing was run.
        traceback.print_exc()
        code = ExitCode.OUTCOME_UNKNOWN
    return int(code)


def _run(options: argparse.Namespace) -> ExitCode:
    command: Command = options.handler
    context = Context(options)
    try:
        return command.run(options, context)
    except CliError as error:
        report(problem_of_error(error), context.output)
        return error.exit_code
    except RefusedQueryError as error:
        return report_reply(error.reply, context.output)


def _output_failed(error: OSError) -> ExitCode:
    """Report output that could not be written.

    Standard output is redirected to the null device, because the interpreter flushes it once more
    at exit and would fail again.
    """
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    print_notice(str(OutputError("write output", "", error.strerror or str(error))))
    return ExitCode.FAILED


if __name__ == "__main__":
    sys.exit(main())
