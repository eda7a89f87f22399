"""Order in which a process handles the messages that it sends to itself."""

from redwingport_dispatch.loopback import Loopback


# Guards against messages that are handled within the call that sends them, and out of order.
def test_messages_sent_while_one_is_handled_follow_those_sent_before() -> None:
    handled: list[str] = []

    def handle(message: str) -> None:
        if message == "first":
            loopback.send("answer to first")
            assert handled == []
        handled.append(message)

    loopback = Loopback(handle)
    loopback.send("first")
    loopback.send("second")
    assert handled == []
    loopback.deliver()
    assert handled == ["first", "second", "answer to first"]
