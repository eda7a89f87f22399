"""Messages between entry processes and their encoding as msgpack frames."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Annotated, Any

import msgpack
from pydantic import ConfigDict, Field, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from redwingport_messages.dispatch import (
    CancelWork,
    ConfigurationAnswer,
    ConfigurationQuery,
    LayoutAnswer,
    LayoutQuery,
    OpenWorks,
    Presence,
    PresenceUnchanged,
    ReleaseWork,
    ServerCrashes,
    SubmitWork,
    TaskNews,
    WorkAbandoned,
    WorkRefused,
)
from redwingport_messages.exceptions import MessageError

MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_BYTES = 4
_STRICT = ConfigDict(strict=True, allow_inf_nan=False)
OutcomeName = Annotated[str, Field(pattern=r"^(complete|not-run|failed|outcome-unknown)$")]
Status = Annotated[int, Field(ge=200, le=599)]


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Hello:
    """First message of a handshake: identify the sender and challenge the receiver.

    :param vm: VM of the sender.
    :param domain: failure domain of the sender.
    :param incarnation: incarnation of the sender.
    :param nonce: random bytes to be signed by the receiver.
    """

    vm: str
    domain: str
    incarnation: str
    nonce: bytes


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Proof:
    """Prove knowledge of the shared secret.

    :param digest: HMAC, keyed with the shared secret, of the sender's side of the link and the
        ``Hello`` messages of both sides.
    """

    digest: bytes


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Heartbeat:
    """Heartbeat of a process, with its size and load.

    :param weight: relative size of the VM.
    :param queued: number of waiting tasks.
    :param leaving: whether the process is shutting down.
    :param vms_version: version of the VM list in force at the sender.
    """

    weight: Annotated[float, Field(gt=0, le=1000)]
    queued: int
    leaving: bool
    vms_version: int


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Document:
    """Propagate one revision of a service document.

    :param revision: number of the revision.
    :param text: JSON text of the document.
    """

    revision: int
    text: str


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class SyncRequest:
    """Request all service documents and the VM list."""


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class SyncAnswer:
    """Return all service documents and the VM list.

    :param documents: pairs of revision and JSON text.
    :param vm_list: JSON text of the VM list, or an empty string.
    :param from_platform: whether the documents of the sender originate from the platform,
        directly or through a peer.
    """

    documents: list[tuple[int, str]]
    vm_list: str
    from_platform: bool


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class ServerLeaving:
    """Propagate that backend servers are about to shut down.

    :param servers: names of the VMs of the servers.
    """

    servers: list[str]


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Forward:
    """Forward a submission to the incarnation named in its id.

    :param call: number of this call, unique on the link.
    :param kind: ``submit``, ``read`` or ``cancel``.
    :param submission_id: id of the submission.
    :param service: name of the service; empty for ``read`` and ``cancel``.
    :param operation: name of the operation of a request; empty for a job.
    :param content_type: media type of the body.
    :param body: body as received.
    :param remaining_ms: time left until the deadline of the caller, in milliseconds.
    """

    call: int
    kind: str
    submission_id: str
    service: str
    operation: str
    content_type: str
    body: bytes
    remaining_ms: float


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class ForwardAnswer:
    """Answer a forwarded submission.

    :param call: number of the answered call.
    :param submission_id: id of the submission, copied from the call.
    :param outcome: outcome of the submission.
    :param status: HTTP status code.
    :param content_type: media type of the body.
    :param body: response body for the caller.
    :param retry_after_s: value of ``Retry-After``, in seconds; 0 for none.
    """

    call: int
    submission_id: str
    outcome: OutcomeName
    status: Status
    content_type: str
    body: bytes
    retry_after_s: float


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class RevisionQuery:
    """Request the revision of a service that is in force at the receiver.

    :param call: number of this call, unique on the link.
    :param service: name of the service.
    """

    call: int
    service: str


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class RevisionAnswer:
    """Return the revision of a service that is in force at the sender.

    :param call: number of the answered call.
    :param revision: revision in force; 0 for none.
    """

    call: int
    revision: int


@checked_dataclass(frozen=True, slots=True, config=_STRICT)
class Handover:
    """Hand over the finished records of an incarnation that is shutting down.

    :param incarnation: incarnation that is shutting down.
    :param records: submission id, fingerprint, outcome, status, content type and body of each
        record.
    :param last: whether this is the last message of the handover.
    """

    incarnation: str
    records: list[tuple[str, str, OutcomeName, Status, str, bytes]]
    last: bool


Frame = (
    Hello
    | Proof
    | Heartbeat
    | Document
    | SyncRequest
    | SyncAnswer
    | ServerLeaving
    | Forward
    | ForwardAnswer
    | RevisionQuery
    | RevisionAnswer
    | Handover
    | Presence
    | SubmitWork
    | CancelWork
    | ReleaseWork
    | OpenWorks
    | TaskNews
    | WorkRefused
    | WorkAbandoned
    | ConfigurationQuery
    | ConfigurationAnswer
    | LayoutQuery
    | LayoutAnswer
    | PresenceUnchanged
    | ServerCrashes
)


@dataclass(frozen=True, slots=True)
class _Codec:
    """Describe how the fields of a message class are read and checked.

    :param cls: class that checks the values of its fields.
    :param field_count: number of fields.
    :param read: returns the values of the fields of a message.
    """

    cls: type[Any]
    field_count: int
    read: Callable[[Any], tuple[Any, ...]]


def _codec(cls: type[Any]) -> _Codec:
    names = [field.name for field in fields(cls)]
    # A getter of several attributes returns a tuple and needs no loop in Python.
    if len(names) > 1:
        return _Codec(cls, len(names), attrgetter(*names))
    return _Codec(cls, len(names), lambda message: tuple(getattr(message, n) for n in names))


# Message numbers are part of the protocol and are never reused for another message. 13 was an
# unsolicited VM list.
_CODEC_BY_CODE = {
    1: _codec(Hello),
    2: _codec(Proof),
    3: _codec(Heartbeat),
    4: _codec(Document),
    5: _codec(SyncRequest),
    6: _codec(SyncAnswer),
    7: _codec(ServerLeaving),
    8: _codec(Forward),
    9: _codec(ForwardAnswer),
    10: _codec(RevisionQuery),
    11: _codec(RevisionAnswer),
    12: _codec(Handover),
    14: _codec(Presence),
    15: _codec(SubmitWork),
    16: _codec(CancelWork),
    17: _codec(TaskNews),
    18: _codec(WorkRefused),
    19: _codec(ConfigurationQuery),
    20: _codec(ConfigurationAnswer),
    21: _codec(WorkAbandoned),
    22: _codec(ReleaseWork),
    23: _codec(LayoutQuery),
    24: _codec(LayoutAnswer),
    25: _codec(PresenceUnchanged),
    26: _codec(ServerCrashes),
    27: _codec(OpenWorks),
}
_CODE_BY_CLASS = {codec.cls: code for code, codec in _CODEC_BY_CODE.items()}

# msgpack.packb would build a packer for each call.
_pack = msgpack.Packer().pack


def encode_frame(message: Frame) -> bytes:
    """Encode a message as a frame.

    :param message: the message.
    :returns: length of the body (4 bytes, big endian) and msgpack body.
    :raises MessageError: if the body is longer than :data:`MAX_FRAME_BYTES`, or has a value that
        msgpack can't represent, such as an integer of more than 64 bits.
    """
    code = _CODE_BY_CLASS[type(message)]
    try:
        body: bytes = _pack((code, *_CODEC_BY_CODE[code].read(message)))
    except (OverflowError, ValueError) as error:
        kind = type(message).__name__
        raise MessageError("encode frame", "", f"{kind}: {error}") from error
    if len(body) > MAX_FRAME_BYTES:
        raise MessageError("encode frame", "", f"{len(body)} bytes exceed {MAX_FRAME_BYTES}")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_frame(body: bytes, peer: str) -> Frame:
    """Decode a message from the body of a frame.

    :param body: msgpack body without the length.
    :param peer: name of the sender, for error messages.
    :returns: the message.
    :raises MessageError: if the body is not a known message with fields of the declared types.
    """
    try:
        values = msgpack.unpackb(body, use_list=True, max_ext_len=0)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise MessageError("decode frame", peer, f"invalid msgpack: {error}") from error
    if not isinstance(values, list) or not values or not isinstance(values[0], int):
        raise MessageError(
            "decode frame", peer, "body is not a list that starts with a message number"
        )
    codec = _CODEC_BY_CODE.get(values[0])
    if codec is None:
        raise MessageError("decode frame", peer, f"unknown message number {values[0]}")
    if len(values) - 1 != codec.field_count:
        raise MessageError("decode frame", peer, f"{codec.cls.__name__}: wrong number of fields")
    members = [_as_tuples(value) if type(value) is list else value for value in values[1:]]
    try:
        message: Frame = codec.cls(*members)
    except ValidationError as error:
        kind = codec.cls.__name__
        raise MessageError(
            "decode frame", peer, f"{kind}: {error.error_count()} validation errors"
        ) from error
    return message


def _as_tuples(values: list[Any]) -> list[Any]:
    """Convert the inner lists of a list to tuples, as declared by the message classes."""
    return [tuple(item) if isinstance(item, list) else item for item in values]
