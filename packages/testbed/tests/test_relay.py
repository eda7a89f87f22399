"""Guard against a relay that forwards bytes while it should simulate a partition."""

from collections.abc import AsyncIterator
from time import monotonic

import anyio
import pytest
from anyio.abc import SocketStream

from redwingport_testbed.standins.relay import Relay, RelayMode

pytestmark = pytest.mark.anyio


@pytest.fixture
async def relay() -> AsyncIterator[Relay]:
    """Serve a relay in front of an echo server."""

    async def echo(stream: SocketStream) -> None:
        async with stream:
            async for chunk in stream:
                await stream.send(chunk)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    relay = Relay(listener.extra(anyio.abc.SocketAttribute.local_port))
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, echo)
        async with relay.serving():
            yield relay
        group.cancel_scope.cancel()


async def test_the_delay_applies_in_each_direction(relay: Relay) -> None:
    relay.delay_s = 0.05
    async with await anyio.connect_tcp("127.0.0.1", relay.port) as stream:
        sent_at = monotonic()
        await stream.send(b"x")
        assert await stream.receive() == b"x"
        assert monotonic() - sent_at >= 2 * relay.delay_s


async def test_drop_closes_open_connections_and_refuses_new_ones(relay: Relay) -> None:
    async with await anyio.connect_tcp("127.0.0.1", relay.port) as stream:
        await stream.send(b"x")
        await stream.receive()
        await relay.set_mode(RelayMode.DROP)
        with anyio.fail_after(1), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await stream.receive()
    async with await anyio.connect_tcp("127.0.0.1", relay.port) as stream:
        with anyio.fail_after(1), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await stream.receive()


async def test_swallow_keeps_connections_open_without_an_answer(relay: Relay) -> None:
    async with await anyio.connect_tcp("127.0.0.1", relay.port) as stream:
        await relay.set_mode(RelayMode.SWALLOW)
        await stream.send(b"lost")
        with anyio.move_on_after(0.2) as scope:
            await stream.receive()
        assert scope.cancelled_caught
        await relay.set_mode(RelayMode.PASS)
        await stream.send(b"x")
        assert await stream.receive() == b"x"
