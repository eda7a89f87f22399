"""Tests of the encoding and decoding of frames."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingport_messages.dispatch import ServerCrashes
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import (
    LENGTH_BYTES,
    Forward,
    Frame,
    Handover,
    Heartbeat,
    SyncAnswer,
    decode_frame,
    encode_frame,
)


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(1.5, 3, False, 7),
        SyncAnswer([(3, "{}")], "", True),
        Forward(1, "submit", "id", "route", "", "application/json", b"\x00\xff", 12.5),
        Handover("00ff", [("id", "print", "complete", 200, "text/plain", b"x")], True),
        ServerCrashes([("job.0.0.0", "s0", 1_700_000_000_000, True, 60_000)], [("s1", 0)]),
    ],
)
def test_encoded_message_is_decoded_unchanged(message: Frame) -> None:
    """Guard against fields that change between sender and receiver."""
    assert decode_frame(encode_frame(message)[LENGTH_BYTES:], "peer") == message


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_message_errors(body: bytes) -> None:
    """Guard against invalid frames that crash the receiver."""
    try:
        decode_frame(body, "peer")
    except MessageError as error:
        assert error.peer == "peer"
