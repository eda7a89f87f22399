"""Random courses of requests and messages at a holder: what each request may be told."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
from hypothesis import given, settings
from hypothesis import strategies as st

from redwingport_dispatch.holder import Holder, Job, JobEnd, Outcome, OwnerMessage
from redwingport_dispatch.interfaces import JobRequest, Route, StepRequest, TaskShape
from redwingport_dispatch.metrics import Metrics
from redwingport_dispatch.ownership.election import ShardOwner
from redwingport_dispatch.ownership.shards import even_layout
from redwingport_dispatch.scheduling.admission import ID_IN_USE, NO_SERVER, TOO_LATE
from redwingport_messages.dispatch import SubmitWork, TaskNews, WorkAbandoned, WorkRefused

JOB_ID = "0" * 16
QUEUES = ("a", "b")
CONTENTS = ("x", "y")
OWNERS = ("o", "p", "q")
STEPS = (
    StepRequest(2, TaskShape(1000, 64, 0, 0.1)),
    StepRequest(1, TaskShape(1000, 64, 0, 0.1)),
    StepRequest(1, TaskShape(1000, 64, 0, 0.1), after=(0, 1)),
)
TIMEOUT_S = 600.0
# Iterations of the event loop in which the requests notice a message.
SETTLE_STEPS = 5

Action = tuple[str, int, int, int]


@dataclass(eq=False)
class Request:
    """One request.

    :param queue: its queue.
    :param identity: identity of its job.
    :param first_work: number of the last work item before those of its job.
    :param others: identities of the jobs that were open when it arrived.
    :param scope: cancelled when its client leaves.
    :param end: the end that it was told; None before.
    :param deleted: whether its job was deleted while it waited.
    :param left: whether its client has left.
    :param is_checked: whether its end was checked; messages that arrive later don't matter.
    """

    queue: str
    identity: str
    first_work: int
    others: set[str]
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    end: JobEnd | None = None
    deleted: bool = False
    left: bool = False
    is_checked: bool = False


class Course:
    """Play actions at a holder, and check the end of each request."""

    def __init__(self, task_group: anyio.abc.TaskGroup) -> None:
        self.holder = Holder("me", self._send, lambda owner: 0.0, Metrics())
        self.requests: list[Request] = []
        self._task_group = task_group
        self._submitted: list[tuple[str, int, SubmitWork]] = []
        self._done: set[tuple[int, int]] = set()
        self._started: set[int] = set()
        self._term = 0

    def _send(self, owner: str, message: OwnerMessage) -> bool:
        if isinstance(message, SubmitWork):
            self._submitted.append((owner, self._term, message))
        return True

    def open_requests(self) -> list[Request]:
        return [request for request in self.requests if request.end is None and not request.left]

    async def play(self, action: Action) -> None:
        name, first, second, third = action
        if name == "request":
            await self._request(QUEUES[first % 2], CONTENTS[second % 2])
        elif name == "leave" and self.open_requests():
            request = self.open_requests()[first % len(self.open_requests())]
            request.left = True
            request.scope.cancel()
        elif name == "delete":
            for request in self.open_requests():
                request.deleted |= request.queue == QUEUES[first % 2]
            self.holder.cancel(JOB_ID, QUEUES[first % 2])
        elif name == "owner":
            self._term += 1
            owners = [ShardOwner(OWNERS[first % 3], self._term)]
            self.holder.set_owners(owners, even_layout(1))
        elif self._submitted:
            self._notify(name, first, second, third)
        for _ in range(SETTLE_STEPS):
            await anyio.lowlevel.checkpoint()
        self.check()

    def _notify(self, name: str, first: int, second: int, third: int) -> None:
        """Let a present or former owner report on one of its work items, or on an older one."""
        owner, term, message = self._submitted[-1 - first % min(8, len(self._submitted))]
        work_id, index = message.work_id, second % STEPS[message.step].count
        if name == "refused":
            reason = (TOO_LATE, NO_SERVER)[second % 2]
            self.holder.handle_notification(owner, WorkRefused(work_id, term, reason, 1))
        elif name == "abandoned":
            self.holder.handle_notification(owner, WorkAbandoned(work_id, term))
        elif name == "placed":
            self._started.add(work_id)
            news = TaskNews([(work_id, index, "placed", 1 + third % 3, "s")])
            self.holder.handle_notification(owner, news)
        elif name == "failed":
            news = TaskNews([(work_id, index, "failed", 3, "s")])
            self.holder.handle_notification(owner, news)
        else:
            count = STEPS[message.step].count
            indexes = [index] if name == "done" else list(range(count))
            self._started.add(work_id)
            self._done |= {(work_id, number) for number in indexes}
            news = TaskNews([(work_id, i, "done", 1 + third % 3, "s") for i in indexes])
            self.holder.handle_notification(owner, news)

    async def _request(self, queue: str, content: str) -> None:
        route = Route(queue, "host", "/", "desk", 0, 3, 1.6, 0.06, 0.0)
        now = anyio.current_time()
        identity = f"{queue}/{content}"
        job = Job(
            JOB_ID,
            route,
            JobRequest(content, STEPS),
            now,
            now + 1,
            now + TIMEOUT_S,
            identity,
        )
        open_requests = self.open_requests()
        own = [request for request in open_requests if request.identity == identity]
        submitted = [message.work_id for _, _, message in self._submitted]
        first_work = own[0].first_work if own else max(submitted, default=0)
        others = {request.identity for request in open_requests} - {identity}
        request = Request(queue, identity, first_work, others)

        async def run() -> None:
            with request.scope:
                request.end = await self.holder.run(job)

        self.requests.append(request)
        self._task_group.start_soon(run)

    def check(self) -> None:
        for request in self.requests:
            end = request.end
            if end is None or request.is_checked:
                continue
            request.is_checked = True
            works = self._works_of(request)
            if end.outcome is Outcome.COMPLETE:
                assert all(self._is_done(works, step) for step in range(len(STEPS)))
            elif end.outcome is Outcome.CANCELLED:
                assert request.deleted
            elif end.reason == ID_IN_USE:
                assert request.others
            elif end.outcome is Outcome.REFUSED:
                assert not self._started & {work.work_id for work in works}

    def _works_of(self, request: Request) -> list[SubmitWork]:
        """Return the work items of the job of a request, and of later ones of the same content."""
        return [
            message
            for _, _, message in self._submitted
            if message.identity == request.identity and message.work_id > request.first_work
        ]

    def _is_done(self, works: Sequence[SubmitWork], step: int) -> bool:
        """Return whether a work item of a step was reported as done completely."""
        return any(
            all((work.work_id, index) in self._done for index in range(STEPS[step].count))
            for work in works
            if work.step == step
        )

    def check_open(self) -> None:
        """Check that all requests that wait at a time wait for one job."""
        assert len({request.identity for request in self.open_requests()}) <= 1
        assert bool(self.holder.job_by_id) == bool(self.open_requests())


ACTIONS = st.tuples(
    st.sampled_from(
        ("request", "leave", "delete", "owner", "placed", "failed", "refused", "abandoned")
        + 2 * ("done",)
        + 4 * ("finished",)
    ),
    st.integers(0, 7),
    st.integers(0, 5),
    st.integers(0, 2),
)


async def play_all(actions: Sequence[Action]) -> None:
    async with anyio.create_task_group() as task_group:
        course = Course(task_group)
        await course.play(("owner", 0, 0, 0))
        await course.play(("request", 0, 0, 0))
        for action in actions:
            await course.play(action)
            course.check_open()
        task_group.cancel_scope.cancel()


# Guards against answers that no order of messages and requests may lead to: `complete` while a
# task is not done, a cancellation that nobody asked for, and the end of another job.
@settings(max_examples=400, deadline=None, derandomize=True)
@given(actions=st.lists(ACTIONS, max_size=30))
def test_each_request_is_told_the_end_of_its_own_job(actions: list[Action]) -> None:
    anyio.run(play_all, actions)
