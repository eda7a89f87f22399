"""Options that select the entry processes and the operator's token."""

import argparse
import os
import re
from collections.abc import Mapping
from pathlib import Path

from redwingport_cli import arguments
from redwingport_cli.client import EntryClient
from redwingport_cli.exceptions import UsageError

ENTRY_VARIABLE = "REDWINGPORT_ENTRY"
TOKEN_VARIABLE = "REDWINGPORT_TOKEN"


def add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Add the options shared by all commands that talk to an entry process.

    The options have no defaults here, so that they can be given before or after the command: a
    default of the command's parser would overwrite a value given before the command.
    """
    group = parser.add_argument_group("connection")
    group.add_argument(
        "--entry",
        action="append",
        type=arguments.entry_url,
        metavar="http://IP:PORT",
        default=argparse.SUPPRESS,
        help="entry process to use; may be given several times: the next one is tried only if "
        f"connecting failed before anything was sent (default: ${ENTRY_VARIABLE}, "
        "separated by commas)",
    )
    group.add_argument(
        "--token",
        default=argparse.SUPPRESS,
        help="operator's token; discouraged, since other users of the machine can see the "
        f"command line: use --token-file or ${TOKEN_VARIABLE}",
    )
    group.add_argument(
        "--token-file",
        metavar="FILE",
        default=argparse.SUPPRESS,
        help="file whose first line is the operator's token",
    )


def resolve_entries(
    options: argparse.Namespace, environment: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the addresses to try, in order.

    :raises UsageError: if there is none, or one in the environment is malformed.
    """
    given = getattr(options, "entry", None)
    if given:
        return tuple(given)
    texts = [part.strip() for part in environment.get(ENTRY_VARIABLE, "").split(",")]
    try:
        entries = tuple(arguments.entry_url(text) for text in texts if text)
    except argparse.ArgumentTypeError as error:
        raise UsageError("read environment", ENTRY_VARIABLE, str(error)) from None
    if not entries:
        raise UsageError("read options", "", f"no --entry given and ${ENTRY_VARIABLE} is not set")
    return entries


def resolve_token(options: argparse.Namespace, environment: Mapping[str, str]) -> str:
    """Return the operator's token, or an empty string if there is none.

    No error message contains the token.

    :raises UsageError: if the token cannot be read or cannot be sent as a header.
    """
    given, file = getattr(options, "token", None), getattr(options, "token_file", None)
    if given is not None and file is not None:
        raise UsageError("read options", "", "--token and --token-file are mutually exclusive")
    if file is not None:
        given = _first_line(file)
    token = given if given is not None else environment.get(TOKEN_VARIABLE, "")
    if given is not None and not token:
        raise UsageError("read token", file or "--token", "the token is empty")
    if not re.fullmatch(r"[!-~]*", token):
        raise UsageError(
            "read token", "", "the token contains characters that are not visible ASCII"
        )
    return token


def build_client(options: argparse.Namespace, timeout_s: float) -> EntryClient:
    """Build a client from the options and the environment.

    :param options: the parsed command line.
    :param timeout_s: longest wait without a byte of the answer, in seconds.
    :raises UsageError: if an option or a variable is wrong.
    """
    return EntryClient(
        resolve_entries(options, os.environ), resolve_token(options, os.environ), timeout_s
    )


def _first_line(file: str) -> str:
    try:
        lines = Path(file).read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise UsageError("read token", file, error.strerror or "cannot be read") from None
    except UnicodeDecodeError:
        raise UsageError("read token", file, "is not UTF-8 text") from None
    return lines[0].strip() if lines else ""
