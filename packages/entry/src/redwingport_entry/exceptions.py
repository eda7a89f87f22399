"""Exceptions of the entry process."""


class EntryError(Exception):
    """Report a step that failed, and the other side it involved.

    :param step: what was being done.
    :param peer: name or address of the other side, or an empty string.
    :param reason: why it failed.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} ({peer}): {reason}" if peer else f"{step}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class PlatformError(EntryError):
    """Report that the platform did not return a usable answer."""


class PeerError(EntryError):
    """Report that a peer violated the protocol, is unreachable, or did not answer."""
