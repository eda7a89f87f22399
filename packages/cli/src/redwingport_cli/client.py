"""HTTP client towards the entry processes."""

import json
import socket
from dataclasses import dataclass, field
from typing import Any

import httpcore

from redwingport_cli.exceptions import AnswerError, ConnectionLostError, UnreachableError
from redwingport_messages.outcomes import Outcome

CONNECT_TIMEOUT_S = 3.0
# A VM that vanishes sends no reset. Keep-alive probes report it within about 25 s, although a
# job may take an hour to answer.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
_NOTHING_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request to an entry process.

    :param method: HTTP method.
    :param path: path and query.
    :param body: body, empty for none.
    :param headers: further headers.
    :param changes: whether the request can change anything or start work.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    changes: bool = True


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
        """Return the outcome of the submission, if the answer names one."""
        return as_outcome(self.headers.get("redwingport-outcome"))

    def json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        :raises AnswerError: if it is none.
        """
        try:
            value = json.loads(self.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise AnswerError("read answer", self.peer, "the body is not a JSON object")
        return value

    def json_list(self, member: str) -> list[Any]:
        """Return a member of the body that is a list.

        :raises AnswerError: if the body has no such list.
        """
        value = self.json_object().get(member)
        if not isinstance(value, list):
            raise AnswerError("read answer", self.peer, f"the body has no list {member!r}")
        return value


def as_outcome(text: object) -> Outcome | None:
    """Return the outcome with this name, if there is one."""
    return Outcome(text) if isinstance(text, str) and text in list(Outcome) else None


class EntryClient:
    """Send requests to the first entry process that can be connected to.

    :param entries: addresses ``http://IP:PORT`` in the order in which they are tried.
    :param token: operator's token, empty for none.
    :param timeout_s: longest silence of the other side, in seconds.
    """

    def __init__(self, entries: tuple[str, ...], token: str, timeout_s: float) -> None:
        self.entries = entries
        self._token = token
        self._timeout_s = timeout_s
        self._position = 0

    def send(self, request: Request) -> Reply:
        """Send a request once, at the first entry process that accepts a connection.

        Another entry process is tried only while nothing was sent.

        :raises UnreachableError: if nothing was sent, or a request that changes nothing got
            no answer.
        :raises ConnectionLostError: if a request that may take effect got no answer.
        """
        reasons = []
        for position in range(self._position, len(self.entries)):
            try:
                reply = self._send_to(self.entries[position], request)
            except _NOTHING_SENT as error:
                reasons.append(f"{self.entries[position]}: {_reason(error)}")
                continue
            finally:
                self._position = position
            return reply
        raise UnreachableError("connect", "", "; ".join(reasons))

    def skip_entry(self) -> bool:
        """Go on to the entry process after the one used last.

        :returns: whether there is one.
        """
        if self._position + 1 >= len(self.entries):
            return False
        self._position += 1
        return True

    def _send_to(self, entry: str, request: Request) -> Reply:
        # Each request has its own connection: an idle connection that the server closes at the
        # moment of reuse would look like a request that may have been received.
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
        except _NOTHING_SENT:
            raise
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            reason = f"no whole answer: {_reason(error)}"
            if request.changes:
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
    """List the keep-alive options that the operating system knows."""
    options = [(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)]
    wanted = {
        "TCP_KEEPIDLE": KEEPALIVE_IDLE_S,
        "TCP_KEEPINTVL": KEEPALIVE_INTERVAL_S,
        "TCP_KEEPCNT": KEEPALIVE_PROBES,
        "TCP_USER_TIMEOUT": 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES),
    }
    for option, value in wanted.items():
        if hasattr(socket, option):
            options.append((socket.IPPROTO_TCP, getattr(socket, option), value))
    return options
