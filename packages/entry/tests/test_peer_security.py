"""Guard against unauthenticated connections to the peer port.

A peer must prove the shared secret and, with TLS, present a certificate of the same authority.
"""

import ssl
from pathlib import Path

import anyio
import pytest
import trustme
from anyio.streams.tls import TLSStream

from redwingport_entry.exceptions import PeerError
from redwingport_entry.peers.framing import FrameStream
from redwingport_entry.peers.handshake import accept_handshake, dial_handshake, make_hello
from redwingport_entry.peers.tls import client_context, server_context
from redwingport_entry.settings import PeerSettings
from redwingport_messages.frames import Heartbeat, Hello, Proof

SECRET = b"0123456789abcdef"


async def _exchange(dial_secret: bytes, accept_secret: bytes) -> tuple[object, object]:
    """Run both sides of a handshake; return the hello message or the error of each."""
    results: dict[str, object] = {}
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    done = anyio.Event()

    async def accept(stream: anyio.abc.SocketStream) -> None:
        frames = FrameStream(stream, "dialer")
        try:
            hello = make_hello("entry-2", "creamery", "b" * 16)
            results["accept"] = await accept_handshake(frames, hello, accept_secret)
        except (PeerError, anyio.EndOfStream, anyio.IncompleteRead) as error:
            results["accept"] = error
        await frames.aclose()
        done.set()

    async with listener, anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, accept)
        stream = await anyio.connect_tcp("127.0.0.1", port)
        frames = FrameStream(stream, "acceptor")
        try:
            hello = make_hello("entry-1", "creamery", "a" * 16)
            results["dial"] = await dial_handshake(frames, hello, dial_secret)
        except PeerError as error:
            results["dial"] = error
        await frames.aclose()
        await done.wait()
        task_group.cancel_scope.cancel()
    return results["dial"], results["accept"]


def test_peers_with_the_same_secret_accept_each_other() -> None:
    dialed, accepted = anyio.run(_exchange, SECRET, SECRET)
    assert isinstance(dialed, Hello) and dialed.vm == "entry-2"
    assert isinstance(accepted, Hello) and accepted.vm == "entry-1"


def test_handshake_with_different_secrets_fails_on_both_sides() -> None:
    dialed, accepted = anyio.run(_exchange, SECRET, b"another-secret-16")
    assert isinstance(dialed, PeerError) and dialed.step == "handshake"
    assert not isinstance(accepted, Hello)


@pytest.mark.parametrize("message", [Heartbeat(1.0, 0, False, 0), Proof(b"")])
def test_peer_that_does_not_start_with_hello_is_refused(message: Heartbeat | Proof) -> None:
    async def run() -> object:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        result: list[object] = []

        async def accept(stream: anyio.abc.SocketStream) -> None:
            hello = make_hello("entry-2", "creamery", "b" * 16)
            try:
                result.append(await accept_handshake(FrameStream(stream, "x"), hello, SECRET))
            except PeerError as error:
                result.append(error)
            task_group.cancel_scope.cancel()

        async with listener, anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, accept)
            stream = await anyio.connect_tcp("127.0.0.1", port)
            await FrameStream(stream, "y").send(message)
            await anyio.sleep(5)
        return result[0]

    assert isinstance(anyio.run(run), PeerError)


def _tls_settings(directory: Path, authority: trustme.CA, name: str) -> PeerSettings:
    certificate = authority.issue_cert("127.0.0.1")
    chain, key, ca = (directory / f"{name}.{part}" for part in ("crt", "key", "ca"))
    certificate.cert_chain_pems[0].write_to_path(str(chain))
    certificate.private_key_pem.write_to_path(str(key))
    authority.cert_pem.write_to_path(str(ca))
    return PeerSettings.model_validate(
        {
            "secret": SECRET.decode(),
            "tls_certificate": str(chain),
            "tls_key": str(key),
            "tls_ca": str(ca),
        }
    )


async def _tls_link(server: PeerSettings, client: PeerSettings) -> bytes:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    accepting, dialing = server_context(server), client_context(client)
    assert accepting is not None and dialing is not None

    async def accept(stream: anyio.abc.SocketStream) -> None:
        try:
            tls = await TLSStream.wrap(stream, server_side=True, ssl_context=accepting)
            await tls.send(await tls.receive())
        except (ssl.SSLError, anyio.BrokenResourceError, anyio.EndOfStream):
            await stream.aclose()

    async with listener, anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, accept)
        raw = await anyio.connect_tcp("127.0.0.1", port)
        try:
            tls = await TLSStream.wrap(raw, server_side=False, ssl_context=dialing)
            await tls.send(b"ping")
            return await tls.receive()
        finally:
            task_group.cancel_scope.cancel()


def test_tls_accepts_only_peers_of_the_same_authority(tmp_path: Path) -> None:
    authority, other_authority = trustme.CA(), trustme.CA()
    server = _tls_settings(tmp_path, authority, "server")
    assert anyio.run(_tls_link, server, _tls_settings(tmp_path, authority, "client")) == b"ping"
    outsider = _tls_settings(tmp_path, other_authority, "outsider")
    with pytest.raises(BaseExceptionGroup) as raised:
        anyio.run(_tls_link, server, outsider)
    assert raised.group_contains((ssl.SSLError, anyio.BrokenResourceError, anyio.EndOfStream))
