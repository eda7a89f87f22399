"""Last steps of a graceful shutdown: waiting for runs and handing over records."""

import logging

import anyio

from redwingport_entry.exceptions import PeerError
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.peers.exchange import PeerExchange
from redwingport_entry.peers.mesh import PeerMesh
from redwingport_entry.submissions import Submissions
from redwingport_messages.frames import Handover
from redwingport_state.submissions import Record, SubmissionTable

POLL_INTERVAL_S = 0.05
LINGER_S = 0.2
MAX_BATCH_BYTES = 1024 * 1024

logger = logging.getLogger(ROOT)


async def wait_for_runs(
    submissions: Submissions, exchange: PeerExchange, timeout_s: float
) -> None:
    """Wait until no submission runs and every forwarded one is answered, or until the timeout.

    No submission is started afterwards.

    :param submissions: submissions of this process.
    :param exchange: counts the forwarded submissions in progress.
    :param timeout_s: longest wait, in seconds.
    """
    deadline = anyio.current_time() + timeout_s
    while anyio.current_time() < deadline:
        if not submissions.table.running() and not exchange.forwards_in_progress:
            break
        await anyio.sleep(POLL_INTERVAL_S)
    submissions.closed = True


async def hand_over(submissions: Submissions, mesh: PeerMesh, domain: str) -> None:
    """Send the records of ended submissions to the peers of the failure domain.

    The records no longer change, so any process may answer from them. Without a link in the
    failure domain they go to one peer elsewhere.

    :param submissions: submissions of this process.
    :param mesh: links to peers.
    :param domain: failure domain of this process.
    """
    table = submissions.table
    links = list(mesh.links(domain)) or list(mesh.links())[:1]
    sent = 0
    for message in _messages(table):
        for link in links:
            try:
                await link.send(message)
            except PeerError as error:
                log_event(
                    logger, logging.WARNING, "handover-failed", peer=error.peer, error=error.reason
                )
        sent += len(message.records)
    log_event(logger, logging.INFO, "handover", records=sent, peers=len(links))
    # Closing a socket with unread input resets the connection, and the peer may lose the last
    # message.
    await anyio.sleep(LINGER_S)


def _messages(table: SubmissionTable) -> list[Handover]:
    incarnation = table.issuer.incarnation
    batches: list[list[tuple[str, str, str, int, str, bytes]]] = [[]]
    size = 0
    for record in table.ended():
        row = _row(record)
        if size + len(row[5]) > MAX_BATCH_BYTES and batches[-1]:
            batches.append([])
            size = 0
        batches[-1].append(row)
        size += len(row[5])
    last = len(batches) - 1
    return [Handover(incarnation, rows, number == last) for number, rows in enumerate(batches)]


def _row(record: Record) -> tuple[str, str, str, int, str, bytes]:
    answer = record.answer
    assert answer is not None
    return (
        str(record.submission_id),
        record.fingerprint,
        str(answer.outcome),
        answer.status,
        answer.content_type,
        answer.body,
    )
