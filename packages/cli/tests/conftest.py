"""Fake entry process with configurable answers."""

import json
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest

ID = "bkk-a.entry-1.0123456789abcdef.17.89abcdef01234567"
PROBLEM = "application/problem+json"


@dataclass
class Answer:
    """Hold one answer; ``cut`` truncates it by announcing one byte more than is sent."""

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"
    cut: bool = False


class FakeEntry:
    """Answer requests from ``answer_by_route`` and record them in ``requests``."""

    def __init__(self) -> None:
        self.answer_by_route: dict[str, Answer] = {}
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self.url = f"http://127.0.0.1:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))
        self._thread.start()

    @property
    def routes(self) -> list[str]:
        return [route for route, _, _ in self.requests]

    def answer(self, route: str, status: int = 200, body: Any = None, **members: Any) -> None:
        """Set the answer to a route; status 0 closes the connection without an answer."""
        self.answer_by_route[route] = Answer(status, body, **members)

    def answer_problem(
        self, route: str, status: int, outcome: str, submission: str = "", **members: Any
    ) -> None:
        """Set problem details as the answer to a route.

        :param submission: id for the header; empty for none.
        :param members: additional members of the problem.
        """
        body = {"type": "urn:redwingport:problem:some-code", "status": status, "outcome": outcome}
        body.update({"detail": "Some detail.", **members})
        headers = {"Redwingport-Outcome": outcome}
        if submission:
            headers["Redwingport-Submission"] = submission
        self.answer(route, status, body, headers=headers, content_type=PROBLEM)

    def answer_complete(self, route: str, body: Any) -> None:
        """Set the answer of a completed submission."""
        headers = {"Redwingport-Submission": ID, "Redwingport-Outcome": "complete"}
        self.answer(route, 200, body, headers=headers)

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        entry = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_one_request(self) -> None:
                self.raw_requestline = self.rfile.readline()
                if not self.raw_requestline or not self.parse_request():
                    self.close_connection = True
                    return
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                route = f"{self.command} {self.path}"
                entry.requests.append((route, dict(self.headers.items()), body))
                self._answer(entry.answer_by_route[route])

            def _answer(self, answer: Answer) -> None:
                self.close_connection = True
                if answer.status == 0:
                    return
                body = answer.body
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                self.send_response(answer.status)
                self.send_header("Content-Type", answer.content_type)
                self.send_header("Content-Length", str(len(body) + (1 if answer.cut else 0)))
                for name, value in answer.headers.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                """Log nothing, to keep the output of the tests clean."""

        return Handler


@pytest.fixture
def submission() -> str:
    return ID


@pytest.fixture(autouse=True)
def clean_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("REDWINGPORT_ENTRY", raising=False)
    monkeypatch.delenv("REDWINGPORT_TOKEN", raising=False)


@pytest.fixture
def new_entry() -> Iterator[Callable[[], FakeEntry]]:
    entries: list[FakeEntry] = []

    def start() -> FakeEntry:
        entries.append(FakeEntry())
        return entries[-1]

    yield start
    for item in entries:
        item.close()


@pytest.fixture
def entry(new_entry: Callable[[], FakeEntry]) -> FakeEntry:
    return new_entry()


@pytest.fixture
def refusing_url() -> Iterator[str]:
    """Reserve a port that refuses connections."""
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{reserved.getsockname()[1]}"
