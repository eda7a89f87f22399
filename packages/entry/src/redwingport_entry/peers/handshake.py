"""Mutual authentication by the shared secret when a link is opened."""

import hashlib
import hmac
import secrets

import anyio

from redwingport_entry.exceptions import PeerError
from redwingport_entry.peers.framing import MAX_HANDSHAKE_BYTES, FrameStream
from redwingport_messages.exceptions import MessageError
from redwingport_messages.frames import Frame, Hello, Proof, encode_frame

HANDSHAKE_TIMEOUT_S = 3.0
NONCE_BYTES = 16


def make_hello(vm: str, domain: str, incarnation: str) -> Hello:
    """Return the hello message of this process, with a fresh nonce.

    :param vm: name of this VM.
    :param domain: failure domain of this VM.
    :param incarnation: incarnation of this process.
    """
    return Hello(vm, domain, incarnation, secrets.token_bytes(NONCE_BYTES))


def _digest(secret: bytes, role: bytes, dialer: Hello, acceptor: Hello) -> bytes:
    # The role prevents reflection: a proof sent back to its author does not verify.
    text = role + encode_frame(dialer) + encode_frame(acceptor)
    return hmac.new(secret, text, hashlib.sha256).digest()


async def _expect(frames: FrameStream, kind: type[Hello] | type[Proof]) -> Frame:
    message = await frames.receive(MAX_HANDSHAKE_BYTES)
    if not isinstance(message, kind):
        raise PeerError("handshake", frames.peer, f"unexpected message {type(message).__name__}")
    return message


def _check(frames: FrameStream, proof: Frame, expected: bytes) -> None:
    assert isinstance(proof, Proof)
    if not hmac.compare_digest(proof.digest, expected):
        raise PeerError("handshake", frames.peer, "the proof does not match the shared secret")


async def dial_handshake(frames: FrameStream, own: Hello, secret: bytes) -> Hello:
    """Run the handshake as the side that connected.

    :param frames: the new connection.
    :param own: hello message of this process.
    :param secret: the shared secret.
    :returns: hello message of the peer, whose proof was verified.
    :raises PeerError: when the peer breaks the protocol, does not know the secret or is too slow.
    :raises anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError: when the peer
        closes the connection.
    """
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            await frames.send(own)
            peer = await _expect(frames, Hello)
            assert isinstance(peer, Hello)
            proof = await _expect(frames, Proof)
            _check(frames, proof, _digest(secret, b"accept", own, peer))
            await frames.send(Proof(_digest(secret, b"dial", own, peer)))
            return peer
    except (TimeoutError, MessageError) as error:
        raise PeerError("handshake", frames.peer, str(error) or "timed out") from error


async def accept_handshake(frames: FrameStream, own: Hello, secret: bytes) -> Hello:
    """Run the handshake as the side that accepted; see :func:`dial_handshake`."""
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            peer = await _expect(frames, Hello)
            assert isinstance(peer, Hello)
            await frames.send(own)
            await frames.send(Proof(_digest(secret, b"accept", peer, own)))
            proof = await _expect(frames, Proof)
            _check(frames, proof, _digest(secret, b"dial", peer, own))
            return peer
    except (TimeoutError, MessageError) as error:
        raise PeerError("handshake", frames.peer, str(error) or "timed out") from error
