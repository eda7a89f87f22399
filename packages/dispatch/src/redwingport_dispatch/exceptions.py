"""Exceptions of dispatch."""

import enum

from redwingport_entry.exceptions import EntryError


class OrderFailure(enum.Enum):
    """Reason why a backend server did not execute an order."""

    FENCED = enum.auto()
    """The server has seen a higher fencing token: another process owns it."""
    OUTDATED = enum.auto()
    """The server has seen a higher fencing token, and this owner uses a higher one by now."""
    OLD_RUN = enum.auto()
    """The run number is not higher than that of a run that has ended on the server."""
    LATE = enum.auto()
    """The lease had expired on the server's clock."""
    NO_ROOM = enum.auto()
    """The server lacks capacity for the task."""
    UNHEALTHY = enum.auto()
    """The server temporarily refuses orders and has not executed this one."""
    OTHER_LIFETIME = enum.auto()
    """Another incarnation of a server answers at this address."""
    INVALID = enum.auto()
    """The server rejects the order as invalid."""
    NOT_SENT = enum.auto()
    """No connection could be opened, so the server did not receive the order."""
    REFUSED = enum.auto()
    """The machine of the server refused the connection: nothing listens at the address."""
    NO_LEASE = enum.auto()
    """This owner may grant no sufficient lease at present, and has not sent the order."""
    NO_ANSWER = enum.auto()
    """No answer arrived in time; the order may still be executed."""


class OrderError(EntryError):
    """Report that a backend server did not execute an order, or may not have.

    :param failure: reason of the failure.
    """

    def __init__(self, step: str, peer: str, reason: str, failure: OrderFailure) -> None:
        super().__init__(step, peer, reason)
        self.failure = failure


class StoreError(EntryError):
    """Report that the platform's store did not return a usable answer.

    :param history_lost: whether the store no longer keeps the requested changes.
    """

    def __init__(self, step: str, peer: str, reason: str, history_lost: bool = False) -> None:
        super().__init__(step, peer, reason)
        self.history_lost = history_lost
