"""Exceptions of the message package."""


class MessageError(Exception):
    """Raised if a message violates its format.

    :param step: operation that failed, for example ``decode frame``.
    :param peer: name of the sender, or an empty string if it is unknown.
    :param reason: why the message is invalid.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} (peer {peer or 'unknown'}): {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
