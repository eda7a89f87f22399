"""Service documents: polling the platform, changes by operators, and updates from peers."""

import logging
from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from redwingport_entry.exceptions import PlatformError
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.metrics import Metrics
from redwingport_entry.platform import PlatformClient, TableOp, TableResult
from redwingport_entry.settings import PlatformSettings
from redwingport_messages.documents import (
    ServiceDocument,
    StoredDocument,
    document_text,
    parse_document,
)
from redwingport_messages.outcomes import Problem, not_run, outcome_unknown
from redwingport_state.documents import DocumentStore

KEY_PREFIX = "services/"
CHANGE_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.2

logger = logging.getLogger(ROOT)


class Configuration:
    """Keep the service documents of one process up to date.

    :param platform: client of the platform.
    :param store: the documents in force.
    :param settings: section ``[platform]``.
    :param metrics: metrics of the process.
    :param on_new_revision: called with each revision that was new to this process.
    """

    def __init__(
        self,
        platform: PlatformClient,
        store: DocumentStore,
        settings: PlatformSettings,
        metrics: Metrics,
        on_new_revision: Callable[[StoredDocument], None],
    ) -> None:
        self.store = store
        self._platform = platform
        self._settings = settings
        self._metrics = metrics
        self._on_new_revision = on_new_revision

    async def poll(self) -> None:
        """Refresh the documents from the platform on a timer."""
        while True:
            try:
                await self.refresh()
            except PlatformError as error:
                log_event(logger, logging.WARNING, "poll-failed", error=str(error))
            await anyio.sleep(self._settings.poll_s)

    async def refresh(self) -> None:
        """Fetch every document that has a higher revision on the platform.

        :raises PlatformError: when the platform gave no usable answer.
        """
        for key, revision in await self._platform.read_index(KEY_PREFIX):
            if revision > self.store.revision(key.removeprefix(KEY_PREFIX)):
                row = await self._platform.read_row(key)
                if row is not None:
                    self.apply_revision(row[0], row[1], "platform")
        self.store.from_platform = True

    def apply_revision(self, revision: int, text: str, source: str) -> bool:
        """Apply a revision from the platform, a peer or an operator if it is new.

        :param revision: the revision.
        :param text: JSON text of the document.
        :param source: sender of the revision, for the log.
        :returns: whether it was new.
        """
        parsed = parse_document(text)
        if isinstance(parsed, Err):
            errors = "; ".join(parsed.err_value)
            log_event(
                logger, logging.ERROR, "document-invalid", source=source, errors=errors[:500]
            )
            return False
        stored = StoredDocument(revision, parsed.ok_value)
        if not self.store.offer(stored):
            return False
        self._metrics.documents.labels(stored.name).set(revision)
        log_event(
            logger,
            logging.INFO,
            "document-in-force",
            service=stored.name,
            revision=revision,
            source=source,
        )
        self._on_new_revision(stored)
        return True

    async def require_revision(self, name: str, expected_revision: int) -> Result[None, Problem]:
        """Check that a revision is the current one, after fetching it if it is not in force here.

        :param name: name of the service.
        :param expected_revision: revision that an operator wants to replace, 0 to create.
        :returns: None, or the refusal when the current revision is another one.
        """
        if self.store.revision(name) != expected_revision:
            try:
                row = await self._platform.read_row(KEY_PREFIX + name)
            except PlatformError as error:
                return Err(_unreachable(error))
            if row is not None:
                self.apply_revision(row[0], row[1], "platform")
        current = self.store.revision(name)
        if current == expected_revision or (not expected_revision and self._is_deleted(name)):
            return Ok(None)
        return Err(_conflict(name, expected_revision, current))

    def _is_deleted(self, name: str) -> bool:
        stored = self.store.stored_by_name.get(name)
        return stored is None or stored.document.deleted

    async def change(
        self, document: ServiceDocument, expected_revision: int
    ) -> Result[StoredDocument, Problem]:
        """Write a new revision of a document.

        :param document: the complete new document.
        :param expected_revision: revision that it replaces, 0 to create.
        :returns: the new revision, which is then in force in this process, or the refusal.
        """
        stored = self.store.stored_by_name.get(document.name)
        if not expected_revision and stored is not None and stored.document.deleted:
            # The row of a deleted service is kept, so that its revisions keep increasing.
            expected_revision = stored.revision
        key = KEY_PREFIX + document.name
        text = document_text(document)
        op = TableOp(
            op="compare_and_set" if expected_revision else "insert",
            key=key,
            value=text,
            revision=expected_revision,
        )
        written = await self._write(op)
        if isinstance(written, Err):
            return written
        result, was_retried = written.ok_value
        if not result.applied and not self._is_ours(result, text, expected_revision):
            if was_retried and result.revision > expected_revision + 1:
                return Err(_replaced(document.name, result.revision))
            return Err(_conflict(document.name, expected_revision, result.revision))
        self.apply_revision(result.revision, text, "operator")
        return Ok(StoredDocument(result.revision, document))

    async def _write(self, op: TableOp) -> Result[tuple[TableResult, bool], Problem]:
        """Send a write, and retry it until an answer arrives.

        Retrying is safe: a compare-and-set that took effect fails the second time, and the answer
        then carries the row that the first attempt wrote, or a later one.

        :returns: the result and whether the write was retried, or a problem without an answer.
        """
        deadline = anyio.current_time() + CHANGE_TIMEOUT_S
        was_retried = False
        while True:
            try:
                return Ok(((await self._platform.transact([op]))[0], was_retried))
            except PlatformError as error:
                was_retried = True
                if anyio.current_time() >= deadline:
                    return Err(_undecided(error))
                await anyio.sleep(RETRY_DELAY_S)

    def _is_ours(self, result: TableResult, text: str, expected_revision: int) -> bool:
        return result.revision == expected_revision + 1 and result.value == text


def _conflict(name: str, expected: int, actual: int) -> Problem:
    detail = f"The service {name} has revision {actual}, not {expected}."
    if not expected:
        detail = f"The service {name} exists with revision {actual}."
    return not_run(412, "revision-conflict", detail, step="write document", peer="platform")


def _replaced(name: str, actual: int) -> Problem:
    """Return the problem for a retried write whose row has a later revision by now."""
    return outcome_unknown(
        "change-undecided",
        f"The answer to the write was lost, and the service {name} now has revision {actual}; "
        "the change may have been in force before.",
        status=409,
        step="write document",
        peer="platform",
    )


def _unreachable(error: PlatformError) -> Problem:
    return not_run(
        503,
        "platform-unreachable",
        "The platform cannot be reached; nothing was changed.",
        step=error.step,
        peer=error.peer,
        retryable=True,
        retry_after_s=1.0,
    )


def _undecided(error: PlatformError) -> Problem:
    return outcome_unknown(
        "change-undecided",
        "The platform did not confirm whether the change took effect; read the service to check.",
        step=error.step,
        peer=error.peer,
        retryable=True,
    )
