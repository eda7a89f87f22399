"""Handling of peer messages, and forwarding of submissions to their owners."""

import logging
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from result import Err

from redwingport_entry.configuration import Configuration
from redwingport_entry.exceptions import PeerError
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.peers.link import PeerLink
from redwingport_entry.peers.mesh import PeerMesh
from redwingport_entry.submissions import Submissions
from redwingport_entry.vms import VmWatcher
from redwingport_messages.documents import StoredDocument, document_text
from redwingport_messages.frames import (
    Document,
    Forward,
    ForwardAnswer,
    Frame,
    Handover,
    Heartbeat,
    RevisionAnswer,
    RevisionQuery,
    ServerLeaving,
    SyncAnswer,
    SyncRequest,
)
from redwingport_messages.ids import SubmissionId, parse_submission_id
from redwingport_messages.outcomes import (
    Answer,
    Outcome,
    Problem,
    answer_of_problem,
    not_run,
    outcome_unknown,
)
from redwingport_messages.submissions import Submission
from redwingport_state.documents import DocumentStore
from redwingport_state.membership import MembershipView

# Longer than the owner waits for its answer after the deadline, so that this answer still arrives.
FORWARD_GRACE_S = 1.5
VM_LIST_REQUEST_INTERVAL_S = 1.0
STILL_RUNNING = "still-running"
# Status of an answer whose sender knows nothing about the submission.
UNKNOWN_STATUS = 504

logger = logging.getLogger(ROOT)


class PeerExchange:
    """Handle the messages of peers, and send those of this process.

    :param task_group: task group that runs forwarded calls and background sends.
    :param configuration: service documents.
    :param vms: the VM list.
    :param submissions: submissions of this incarnation.
    :param on_server_leaving: called with the name of each backend server that a peer
        newly reports as leaving.
    """

    def __init__(
        self,
        task_group: TaskGroup,
        configuration: Configuration,
        vms: VmWatcher,
        submissions: Submissions,
        on_server_leaving: Callable[[str], None],
    ) -> None:
        self.mesh: PeerMesh
        self._task_group = task_group
        self._configuration = configuration
        self._vms = vms
        self._submissions = submissions
        self._synced_from_platform = False
        self.forwards_in_progress = 0
        self._vm_list_requested_at = 0.0
        self._on_server_leaving = on_server_leaving

    @property
    def _store(self) -> DocumentStore:
        return self._configuration.store

    @property
    def _membership(self) -> MembershipView:
        return self._vms.view

    async def handle(self, link: PeerLink, message: Frame) -> None:
        """Handle one message of a peer.

        :param link: link that the message arrived on.
        :param message: any frame but an answer to a call, which the link handles itself.
        """
        match message:
            case Heartbeat():
                self._apply_heartbeat(link, message)
            case Document():
                self._configuration.apply_revision(message.revision, message.text, link.peer.vm)
            case SyncRequest():
                # Sent from a task of its own: two peers that both write a large answer without
                # reading would deadlock.
                self._task_group.start_soon(self._answer, link, self._sync_answer())
            case SyncAnswer():
                self._apply_sync(link, message)
            case ServerLeaving():
                for vm in message.servers:
                    if self._membership.mark_leaving(vm):
                        self._on_server_leaving(vm)
                        # Not every process has a link to the one that first noticed.
                        announcement = ServerLeaving([vm])
                        self._task_group.start_soon(
                            self.mesh.broadcast, announcement, link.peer.vm
                        )
            case RevisionQuery():
                revision = self._store.revision(message.service)
                answer = RevisionAnswer(message.call, revision)
                self._task_group.start_soon(self._answer, link, answer)
            case Forward():
                self._task_group.start_soon(self._answer_forward, link, message)
            case Handover():
                self._apply_handover(link, message)
            case _:
                log_event(logger, logging.WARNING, "unexpected-message", peer=link.peer.vm)

    def announce_document(self, stored: StoredDocument) -> None:
        """Send a revision that is new to this process to all peers, in the background."""
        message = Document(stored.revision, document_text(stored.document))
        self._task_group.start_soon(self.mesh.broadcast, message)

    def announce_leaving(self, vm: str) -> None:
        """Tell all peers that a backend server is leaving, in the background."""
        self._task_group.start_soon(self.mesh.broadcast, ServerLeaving([vm]))

    async def forward(
        self, kind: str, submission_id: SubmissionId, submission: Submission
    ) -> Answer:
        """Forward a submission, a read or a cancellation to the owner named in its id.

        :param kind: ``submit``, ``read`` or ``cancel``.
        :param submission_id: id, which names the owner's VM and incarnation.
        :param submission: the job or request; empty for a read or a cancellation.
        :returns: the answer of the owner or of a process that received its records at shutdown;
            otherwise a problem that says whether the owner has ended or is unreachable.
        """
        fingerprint = submission.fingerprint() if kind == "submit" else ""
        handed_over = self._submissions.handed_over_answer(submission_id, fingerprint)
        if handed_over is not None:
            return handed_over
        error = PeerError("forward", submission_id.vm, "the owner has ended")
        targets = self._targets(submission_id)
        for vm in targets:
            try:
                link = await self.mesh.reach(vm)
                answer = await self._call(link, kind, submission_id, submission)
            except PeerError as failure:
                error = failure
                if not self._owner_has_ended(submission_id):
                    break
            else:
                # A process that joined after the owner's shutdown, such as the restarted owner,
                # has no records.
                if answer.status != UNKNOWN_STATUS or not self._owner_has_ended(submission_id):
                    return answer
            # This call may have been the first to reveal that the VM runs a new process.
            targets += [name for name in self._targets(submission_id) if name not in targets]
        return answer_of_problem(self._unreachable(submission_id, error))

    def _targets(self, submission_id: SubmissionId) -> list[str]:
        """Return the VM of the owner, or VMs that may have received the records of an ended owner.

        Those are up to three entry VMs of the owner's failure domain, other than this one.
        """
        if not self._owner_has_ended(submission_id):
            return [submission_id.vm]
        return [
            info.vm
            for info in self._membership.entry_vms_in(submission_id.domain)
            if info.vm != self.mesh.own_name
        ][:3]

    def _owner_has_ended(self, submission_id: SubmissionId) -> bool:
        # Callers have ruled out this incarnation, so an id of this VM is an earlier process's.
        if submission_id.vm == self.mesh.own_name:
            return True
        return self._membership.has_ended(submission_id.vm, submission_id.incarnation)

    async def _call(
        self,
        link: PeerLink,
        kind: str,
        submission_id: SubmissionId,
        submission: Submission,
    ) -> Answer:
        try:
            answer = await self._call_on(link, kind, submission_id, submission)
        except PeerError:
            # When both sides dial at once, one link is closed, and with it the calls on it. The
            # owner attaches a call that it has already received to the same run.
            other = self.mesh.link_by_vm.get(link.peer.vm, link)
            if other is link or other.is_closed:
                raise
            answer = await self._call_on(other, kind, submission_id, submission)
        return Answer(
            Outcome(answer.outcome),
            answer.status,
            answer.content_type,
            answer.body,
            answer.retry_after_s,
        )

    async def _call_on(
        self, link: PeerLink, kind: str, submission_id: SubmissionId, submission: Submission
    ) -> ForwardAnswer:
        remaining_s = max(submission.deadline - anyio.current_time(), 0.0)
        message = Forward(
            0,
            kind,
            str(submission_id),
            submission.service,
            submission.operation,
            submission.content_type,
            submission.body,
            remaining_s * 1000.0,
        )
        return await link.call_forward(message, submission.deadline + FORWARD_GRACE_S)

    def _unreachable(self, submission_id: SubmissionId, error: PeerError) -> Problem:
        ended = self._owner_has_ended(submission_id)
        detail = (
            "The process that owned this id has ended; nothing will start under it."
            if ended
            else "The process that owns this id did not answer; it may have run."
        )
        return outcome_unknown(
            "owner-gone" if ended else "owner-unreachable",
            detail,
            step=error.step,
            peer=error.peer,
            retryable=not ended,
            retry_after_s=0.0 if ended else 1.0,
        )

    async def _answer_forward(self, link: PeerLink, message: Forward) -> None:
        self.forwards_in_progress += 1
        try:
            answer = await self._run_forward(message)
            await self._answer(
                link,
                ForwardAnswer(
                    message.call,
                    message.submission_id,
                    str(answer.outcome),
                    answer.status,
                    answer.content_type,
                    answer.body,
                    answer.retry_after_s,
                ),
            )
        finally:
            self.forwards_in_progress -= 1

    async def _answer(self, link: PeerLink, message: Frame) -> None:
        try:
            await link.send(message)
        except PeerError as error:
            log_event(
                logger,
                logging.INFO,
                "answer-lost",
                peer=link.peer.vm,
                message=type(message).__name__,
                error=error.reason,
            )

    async def _run_forward(self, message: Forward) -> Answer:
        """Run a forwarded call in this process; a call is never forwarded a second time."""
        parsed = parse_submission_id(message.submission_id)
        if isinstance(parsed, Err):
            return answer_of_problem(not_run(400, "invalid-id", parsed.err_value, step="forward"))
        submission_id = parsed.ok_value
        deadline = anyio.current_time() + message.remaining_ms / 1000.0
        submission = Submission(
            message.service, message.operation, message.body, message.content_type, deadline
        )
        submit = message.kind == "submit"
        if submission_id.incarnation != self._submissions.table.issuer.incarnation:
            fingerprint = submission.fingerprint() if submit else ""
            handed_over = self._submissions.handed_over_answer(submission_id, fingerprint)
            if handed_over is not None:
                return handed_over
            error = PeerError("forward", submission_id.vm, "the VM runs another incarnation")
            return answer_of_problem(self._unreachable(submission_id, error))
        if submit:
            return await self._submissions.submit_own(submission_id, submission)
        if message.kind == "cancel":
            return await self._submissions.cancel(submission_id, deadline)
        answer = await self._submissions.read(submission_id, deadline)
        return answer or answer_of_problem(still_running())

    def _apply_heartbeat(self, link: PeerLink, message: Heartbeat) -> None:
        first = link.heartbeat is None
        link.heartbeat = message
        link.leaving = message.leaving
        self._membership.weight_by_vm[link.peer.vm] = message.weight
        if first or self._needs_vm_list(message.vms_version):
            self._vm_list_requested_at = anyio.current_time()
            self._task_group.start_soon(self._answer, link, SyncRequest())

    def _needs_vm_list(self, version: int) -> bool:
        """Return whether to request the VM list of a peer.

        A process that can read the list from the platform needs no other source. One that cannot
        requests it from one peer at a time: if every peer pushed it, one change of a list of
        2,000 VMs would cost every process a copy of 500 KB on each of its links.
        """
        return (
            version > self._membership.vm_list.version
            and not self._vms.platform_answers
            and anyio.current_time() - self._vm_list_requested_at >= VM_LIST_REQUEST_INTERVAL_S
        )

    def _sync_answer(self) -> SyncAnswer:
        rows = [
            (stored.revision, document_text(stored.document))
            for stored in self._store.stored_by_name.values()
        ]
        vm_list = self._membership.vm_list
        text = vm_list.model_dump_json() if vm_list.vms else ""
        return SyncAnswer(rows, text, self._store.from_platform)

    def _apply_sync(self, link: PeerLink, message: SyncAnswer) -> None:
        self._vms.apply_list_text(message.vm_list, link.peer.vm)
        for revision, text in message.documents:
            self._configuration.apply_revision(revision, text, link.peer.vm)
        self.mesh.synced_vms.add(link.peer.vm)
        self._synced_from_platform |= message.from_platform
        self.mark_documents_complete()

    def mark_documents_complete(self) -> None:
        """Mark the documents as complete if every reachable peer of the domain has sent its own.

        One peer may lack a revision that another has. Call this about once a second, because a
        failed dial also removes a peer from those still awaited.
        """
        if self._synced_from_platform and not self.mesh.unsynced_peers():
            self._store.from_platform = True

    def _apply_handover(self, link: PeerLink, message: Handover) -> None:
        for submission_id, fingerprint, outcome, status, content_type, body in message.records:
            answer = Answer(Outcome(outcome), status, content_type, body)
            self._submissions.handed_over.add(submission_id, fingerprint, answer)


def still_running() -> Problem:
    """Return the problem for a submission that has no answer yet."""
    return outcome_unknown(
        STILL_RUNNING, "The submission has no answer yet.", step="read", retryable=True
    )
