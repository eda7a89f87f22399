"""HTTP client of the entry processes."""

import json
import socket
from dataclasses import dataclass, field
from typing import Any

import httpcore

from redwingport_cli.exceptions import AnswerError, ConnectionLostError, UnreachableError
from redwingport_messages.outcomes import Outcome

CONNECT_TIMEOUT_S = 3.0
# A VM that fails sends no reset. Keep-alive probes detect this within about 25 s; without them,
# the client would wait until its read timeout, which is over an hour for a job by default.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
_NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request to an entry process.

    :param method: HTTP method.
    :param path: path and query.
    :param body: body; empty for none.
    :param headers: additional headers.
    :param mutates: whether the request can change state or start work.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    mutates: bool = True


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the whole answer to one request.

    :param peer: address of the entry process that answered.
    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: the body.
    """

    peer: str
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def succeeded(self) -> bool:
        """Tell whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def submission(self) -> str:
        """Return the submission id named in the answer, or an empty string."""
        return self.headers.get("redwingport-submission", "")

    @property
    def outcome(self) -> Outcome | None:
        """Return the outcome of the submission, or None if the answer names none."""
        return as_outcome(self.headers.get("redwingport-outcome"))

    def json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        :raises AnswerError: if the body is not a JSON object.
        """
        try:
            value = json.loads(self.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise AnswerError("read answer", self.peer, "the body is not a JSON object")
        return value

    def json_list(self, member: str) -> list[Any]:
        """Return a member of the body that must be a list.

        :raises AnswerError: if the body has no such list.
        """
        value = self.json_object().get(member)
        if not isinstance(value, list):
            raise AnswerError("read answer", self.peer, f"the body has no list {member!r}")
        return value


def as_outcome(text: object) -> Outcome | None:
    """Return the outcome with this value, or None if the value is not an outcome."""
    return Outcome(text) if isinstance(text, str) and text in list(Outcome) else None


class EntryClient:
    """Send requests to the first entry process that accepts a connection.

    :param entries: addresses ``http://IP:PORT`` in the order in which they are tried.
    :param token: operator's token; empty for none.
    :param timeout_s: longest wait without a byte of the answer, in seconds.
    """

    def __init__(self, entries: tuple[str, ...], token: str, timeout_s: float) -> None:
        self.entries = entries
        self._token = token
        self._timeout_s = timeout_s
        self._position = 0

    def send(self, request: Request) -> Reply:
        """Send a request once, to the first entry process that accepts a connection.

        The next entry process is tried only if nothing was sent.

        :raises UnreachableError: if nothing was sent, or if a request that changes nothing got
            no answer.
        :raises ConnectionLostError: if a request that may have taken effect got no answer.
        """
        reasons = []
        for position in range(self._position, len(self.entries)):
            try:
                reply = self._send_to(self.entries[position], request)
            except _NOT_SENT_ERRORS as error:
                reasons.append(f"{self.entries[position]}: {_reason(error)}")
                continue
            finally:
                self._position = position
            return reply
        raise UnreachableError("connect", "", "; ".join(reasons))

    def skip_entry(self) -> bool:
        """Select the entry process after the one that was used last.

        :returns: whether there is one.
        """
        if self._position + 1 >= len(self.entries):
            return False
        self._position += 1
        return True

    def _send_to(self, entry: str, request: Request) -> Reply:
        # Each request uses a new connection: if the server closed an idle connection just when it
        # is reused, the request would have to be treated as possibly received.
        try:
            with httpcore.ConnectionPool(
                max_keepalive_connections=0, socket_options=_socket_options()
            ) as pool:
                response = pool.request(
                    request.method,
                    entry + request.path,
                    headers=self._headers(request),
                    content=request.body,
                    extensions={"timeout": self._timeouts()},
                )
        except _NOT_SENT_ERRORS:
            raise
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            reason = f"no complete answer: {_reason(error)}"
            if request.mutates:
                raise ConnectionLostError("wait for answer", entry, reason) from None
            raise UnreachableError("wait for answer", entry, reason) from None
        headers = {
            key.decode("latin-1").lower(): value.decode("latin-1")
            for key, value in response.headers
        }
        return Reply(entry, response.status, headers, response.content)

    def _headers(self, request: Request) -> list[tuple[bytes | str, bytes | str]]:
        headers: list[tuple[bytes | str, bytes | str]] = [("User-Agent", "redwingport")]
        headers.extend(request.headers.items())
        if self._token:
            headers.append(("Authorization", f"Bearer {self._token}"))
        return headers

    def _timeouts(self) -> dict[str, float]:
        return {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": self._timeout_s,
            "write": self._timeout_s,
        }


def _reason(error: Exception) -> str:
    return str(error).rstrip(".") or type(error).__name__


def _socket_options() -> list[tuple[int, int, int]]:
    """Return the keep-alive options that the operating system supports."""
    options = [(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)]
    value_by_option = {
        "TCP_KEEPIDLE": KEEPALIVE_IDLE_S,
        "TCP_KEEPINTVL": KEEPALIVE_INTERVAL_S,
        "TCP_KEEPCNT": KEEPALIVE_PROBES,
        "TCP_USER_TIMEOUT": 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES),
    }
    for option, value in value_by_option.items():
        if hasattr(socket, option):
            options.append((socket.IPPROTO_TCP, getattr(socket, option), value))
    return options
