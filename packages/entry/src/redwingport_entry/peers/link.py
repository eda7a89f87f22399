"""One open link to a peer."""

import logging
from collections.abc import Awaitable, Callable

import anyio

from redwingport_entry.exceptions import PeerError
from redwingport_entry.logs import ROOT, log_event
from redwingport_entry.metrics import Metrics
from redwingport_entry.peers.framing import FrameStream
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import (
    Forward,
    ForwardAnswer,
    Frame,
    Heartbeat,
    Hello,
    RevisionAnswer,
    RevisionQuery,
)

LINK_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    MessageError,
    OSError,
)
SEND_TIMEOUT_S = 5.0

logger = logging.getLogger(ROOT)

Handler = Callable[["PeerLink", Frame], Awaitable[None]]


class PeerLink:
    """Exchange frames with one peer until the link fails.

    :param frames: the connection, after the handshake.
    :param peer: hello message of the peer.
    :param dialed: whether this process opened the link.
    :param silence_limit_s: silence after which the link is closed, in seconds.
    :param metrics: metrics of the process.
    :ivar heartbeat: last heartbeat received; None before the first.
    :ivar leaving: whether the last heartbeat received says that the peer is draining.
    :ivar sent_at: monotonic time of the last message sent.
    :ivar heartbeat_sent_at: monotonic time of the last heartbeat sent.
    :ivar called_at: monotonic time of the last call made, initially that of the opening.
    """

    def __init__(
        self,
        frames: FrameStream,
        peer: Hello,
        dialed: bool,
        silence_limit_s: float,
        metrics: Metrics,
    ) -> None:
        self.peer = peer
        self.dialed = dialed
        self.leaving = False
        self.sent_at = 0.0
        self.heartbeat_sent_at = 0.0
        self.called_at = anyio.current_time()
        self.heartbeat: Heartbeat | None = None
        self._frames = frames
        self._silence_limit_s = silence_limit_s
        self._metrics = metrics
        self._calls = 0
        self._answer_by_call: dict[int, ForwardAnswer | RevisionAnswer] = {}
        self._waiter_by_call: dict[int, anyio.Event] = {}
        self._closed = anyio.Event()

    @property
    def is_closed(self) -> bool:
        """Return whether the link is closed."""
        return self._closed.is_set()

    async def send(self, message: Frame) -> None:
        """Send a message.

        The link to a peer that does not read is closed, so that it cannot block this process.

        :raises PeerError: when the link is closed or the send fails.
        """
        if self.is_closed:
            raise PeerError("send", self.peer.vm, "the link is closed")
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                size = await self._frames.send(message)
        except (*LINK_ERRORS, TimeoutError) as error:
            await self.close()
            raise PeerError("send", self.peer.vm, type(error).__name__) from error
        self.sent_at = anyio.current_time()
        if isinstance(message, Heartbeat):
            self.heartbeat_sent_at = self.sent_at
        kind = type(message).__name__
        self._metrics.messages.labels(f"peer-{kind}").inc()
        self._metrics.peer_bytes.labels(kind).inc(size)

    async def serve(self, handle: Handler) -> None:
        """Receive messages until the link fails or is closed.

        :param handle: called with each message that is not an answer to a call; an error it raises
            closes the link.
        """
        try:
            while not self.is_closed:
                with anyio.fail_after(self._silence_limit_s):
                    message = await self._frames.receive()
                if isinstance(message, ForwardAnswer | RevisionAnswer):
                    self._deliver_answer(message)
                else:
                    await handle(self, message)
        except MessageError as error:
            log_event(
                logger,
                logging.WARNING,
                "message-refused",
                peer=self.peer.vm,
                error=error.reason,
            )
        except (*LINK_ERRORS, TimeoutError):
            pass
        except Exception as error:
            # An unexpected error closes the link but does not end the process.
            log_event(
                logger,
                logging.ERROR,
                "message-failed",
                peer=self.peer.vm,
                error=f"{type(error).__name__}: {error}",
            )
        finally:
            await self.close()

    async def call_forward(self, message: Forward, deadline: float) -> ForwardAnswer:
        """Forward a submission, a read or a cancellation, and wait for its answer.

        :param message: the call to forward; its ``call`` is overwritten with the next call number.
        :param deadline: monotonic time at which the wait ends.
        :raises PeerError: when no valid answer arrived; a forwarded submission may have run.
        """
        self._calls += 1
        numbered = Forward(
            self._calls,
            message.kind,
            message.submission_id,
            message.service,
            message.operation,
            message.content_type,
            message.body,
            message.remaining_ms,
        )
        answer = await self._call(self._calls, numbered, deadline)
        if not isinstance(answer, ForwardAnswer):
            raise PeerError("forward", self.peer.vm, "the answer has an unexpected type")
        if answer.submission_id != message.submission_id:
            raise PeerError("forward", self.peer.vm, "the answer names another submission")
        return answer

    async def call_revision(self, service: str, deadline: float) -> int:
        """Ask which revision of a service the peer has in force.

        :param service: name of the service.
        :param deadline: monotonic time at which the wait ends.
        :raises PeerError: when no valid answer arrived.
        """
        self._calls += 1
        answer = await self._call(self._calls, RevisionQuery(self._calls, service), deadline)
        if not isinstance(answer, RevisionAnswer):
            raise PeerError("query revision", self.peer.vm, "the answer has an unexpected type")
        return answer.revision

    def is_idle_since(self, moment: float) -> bool:
        """Return whether no call waits for an answer, and none was made since a monotonic time."""
        return not self._waiter_by_call and self.called_at < moment

    async def close(self) -> None:
        """Close the link and fail the calls that wait for answers."""
        if not self._closed.is_set():
            self._closed.set()
            for waiter in self._waiter_by_call.values():
                waiter.set()
            await self._frames.aclose()

    async def _call(
        self, call: int, message: Frame, deadline: float
    ) -> ForwardAnswer | RevisionAnswer:
        self.called_at = anyio.current_time()
        waiter = self._waiter_by_call[call] = anyio.Event()
        try:
            await self.send(message)
            with anyio.move_on_at(deadline):
                await waiter.wait()
            answer = self._answer_by_call.pop(call, None)
        finally:
            del self._waiter_by_call[call]
        if answer is None:
            reason = "the link was closed" if self.is_closed else "no answer in time"
            raise PeerError("call", self.peer.vm, reason)
        return answer

    def _deliver_answer(self, answer: ForwardAnswer | RevisionAnswer) -> None:
        # An answer that arrives after its deadline has no waiter and is discarded.
        waiter = self._waiter_by_call.get(answer.call)
        if waiter is not None:
            self._answer_by_call[answer.call] = answer
            waiter.set()
