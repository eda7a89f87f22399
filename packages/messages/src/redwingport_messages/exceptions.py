"""Exceptions of the message layer."""


class MessageError(Exception):
    """Report a message that does not follow its format.

    :param step: what was being done, for example ``decode frame``.
    :param peer: the sender, or an empty string when it is unknown.
    :param reason: what is wrong with the message.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} (peer {peer or 'unknown'}): {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
