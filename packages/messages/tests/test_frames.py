"""Tests of the encoding and decoding of frames."""

import dataclasses

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingport_messages.dispatch import (
    MAX_SHARDS,
    MAX_TERM,
    CancelWork,
    ClearedEntry,
    CrashEntry,
    LayoutAnswer,
    Presence,
    ServerCrashes,
    SurvivorEntry,
    TaskNews,
)
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
        ServerCrashes(
            [("job.0.0.0", "s0", 1_700_000_000_000, True, 60_000)],
            [("s1", 0, 60_000)],
            [("job.0.0.1", 60_000)],
        ),
        ServerCrashes(
            [CrashEntry("job.0.0.0", "s0", 1_700_000_000_000, True, 60_000, 1_700_000_060_000)],
            [SurvivorEntry("s1", 0, 60_000, 1_700_000_060_001)],
            [ClearedEntry("job.0.0.1", 60_000, 1_700_000_060_002)],
        ),
    ],
)
def test_encoded_message_is_decoded_unchanged(message: Frame) -> None:
    """Guard against fields that change between sender and receiver."""
    assert decode_frame(encode_frame(message)[LENGTH_BYTES:], "peer") == message


# Guards against ending the link to a process of an earlier revision.
def test_crashes_without_stamps_are_read() -> None:
    body = msgpack.packb(
        [26, [["job.0.0.0", "s0", 5, True, 60_000]], [["s1", 0, 60_000]], [["job.0.0.1", 60_000]]]
    )
    assert decode_frame(body, "peer") == ServerCrashes(
        [CrashEntry("job.0.0.0", "s0", 5, True, 60_000, 0)],
        [SurvivorEntry("s1", 0, 60_000, 0)],
        [ClearedEntry("job.0.0.1", 60_000, 0)],
    )


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_message_errors(body: bytes) -> None:
    """Guard against invalid frames that crash the receiver."""
    try:
        decode_frame(body, "peer")
    except MessageError as error:
        assert error.peer == "peer"


@pytest.mark.parametrize("message", [TaskNews([(2**70, 0, "done", 1, "s")]), CancelWork(2**64)])
def test_value_beyond_64_bits_raises_a_message_error(message: TaskNews | CancelWork) -> None:
    """Guard against an error of the codec that ends more than one message."""
    intact = encode_frame(CancelWork(1))
    with pytest.raises(MessageError):
        encode_frame(message)
    assert encode_frame(CancelWork(1)) == intact


def test_layout_of_too_many_shards_is_refused() -> None:
    """Guard against a message that takes the memory and time of each process."""
    body = msgpack.packb((24, 5, [1] * (MAX_SHARDS + 1)))
    with pytest.raises(MessageError):
        decode_frame(body, "peer")
    message = LayoutAnswer(5, [1] * MAX_SHARDS)
    assert decode_frame(encode_frame(message)[LENGTH_BYTES:], "peer") == message


@pytest.mark.parametrize("term", [2**53, 2**63 - 1, 2**64 - 1])
@pytest.mark.parametrize("field", ["term", "owned_terms", "layout_revision"])
def test_heartbeat_with_a_term_out_of_range_is_refused(field: str, term: int) -> None:
    """Guard against a term that no process can exceed, or send in its own heartbeats."""
    presence = Presence(
        "a", 1, 0, "vm", "d", "127.0.0.1:1", 1, MAX_TERM, 2, 3, [], 150, False, True, 1
    )
    values = {f.name: getattr(presence, f.name) for f in dataclasses.fields(presence)}
    body = encode_frame(presence)[LENGTH_BYTES:]
    assert decode_frame(body, "peer") == presence
    values[field] = [[0, term]] if field == "owned_terms" else term
    with pytest.raises(MessageError):
        decode_frame(msgpack.packb((14, *values.values())), "peer")
