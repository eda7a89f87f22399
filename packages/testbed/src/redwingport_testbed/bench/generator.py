"""Send one share of the arrivals of a run and record the answers."""

import gc
import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from time import monotonic

import anyio

from redwingport_messages.backend import HEADER_SUBMISSION, HEADER_TIMEOUT_MS
from redwingport_testbed.bench.arrivals import Arrival, arrival_from_json
from redwingport_testbed.entry_client import (
    JSON_HEADERS,
    NO_ANSWER,
    Call,
    Outcome,
    judge,
)
from redwingport_testbed.http_client import ConnectionBrokenError, HttpClient

# An answer that is this much later than its timeout counts as missing, so that a process that
# was cut off cannot delay the end of a run.
ANSWER_GRACE_S = 3.0


@dataclass(frozen=True, slots=True)
class Record:
    """Store the result of one submission.

    :param number: number of the arrival in the run.
    :param lag_s: delay of the send after its scheduled time, in seconds.
    :param response_s: time from the scheduled send to the complete answer, in seconds.
    :param outcome: the outcome; see :class:`redwingport_testbed.entry_client.Outcome`.
    :param problem: name of the reported problem, or an empty string.
    :param submission: submission ID from the answer, or an empty string.
    """

    number: int
    lag_s: float
    response_s: float
    outcome: str
    problem: str
    submission: str


class LoadGenerator:
    """Send arrivals at their scheduled times, independently of the answers.

    :param urls: addresses of the entry processes.
    :param arrivals: pairs of the number of an arrival in the run and the arrival.
    :param start_at: monotonic start time of the run.
    """

    def __init__(
        self, urls: Sequence[str], arrivals: Sequence[tuple[int, Arrival]], start_at: float
    ) -> None:
        self._urls = urls
        self._calls = [(number, a, a.call(number)) for number, a in arrivals]
        self._start_at = start_at
        self._client = HttpClient()
        self.records: list[Record] = []

    async def run(self) -> list[Record]:
        """Send all arrivals, wait for the answers and return the records."""
        async with anyio.create_task_group() as group:
            for number, arrival, call in self._calls:
                wait_s = self._start_at + arrival.at - monotonic()
                if wait_s > 0:
                    await anyio.sleep(wait_s)
                group.start_soon(self._send, number, arrival, call)
        await self._client.aclose()
        return self.records

    async def _send(self, number: int, arrival: Arrival, call: Call) -> None:
        intended_at = self._start_at + arrival.at
        lag_s = monotonic() - intended_at
        outcome, submission = Outcome(NO_ANSWER, 0, "", b""), ""
        headers = {**JSON_HEADERS, HEADER_TIMEOUT_MS: str(arrival.timeout_ms)}
        url = self._urls[arrival.target] + call.path
        with anyio.move_on_after(arrival.timeout_ms / 1000 + ANSWER_GRACE_S):
            try:
                answer = await self._client.request("POST", url, call.body, headers)
            except ConnectionBrokenError:
                pass
            else:
                outcome = judge(call, answer)
                submission = answer.headers.get(HEADER_SUBMISSION.lower(), "")
        response_s = monotonic() - intended_at
        self.records.append(
            Record(number, lag_s, response_s, outcome.name, outcome.problem, submission)
        )


def generate(
    arrivals_path: Path, share: tuple[int, int], start_at: float, urls: list[str], output: Path
) -> None:
    """Run one generator process.

    :param arrivals_path: file with all arrivals of the run.
    :param share: zero-based index of this generator and number of generators.
    :param start_at: monotonic start time of the run.
    :param urls: addresses of the entry processes.
    :param output: file that the records are written to.
    """
    members = json.loads(arrivals_path.read_text(encoding="utf-8"))
    number, count = share
    arrivals = [
        (index, arrival_from_json(item))
        for index, item in enumerate(members)
        if index % count == number
    ]
    generator = LoadGenerator(urls, arrivals, start_at)
    # The arrivals live until the process exits; garbage collections that scan them delay sends.
    gc.freeze()
    records = anyio.run(generator.run, backend_options={"use_uvloop": True})
    output.write_text(json.dumps([asdict(record) for record in records]), encoding="utf-8")


def read_records(paths: Sequence[Path]) -> list[Record]:
    """Read the records of all generators, sorted by arrival number."""
    records = [
        Record(**item) for path in paths for item in json.loads(path.read_text(encoding="utf-8"))
    ]
    return sorted(records, key=lambda record: record.number)
