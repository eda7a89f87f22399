"""Guard against requests that the client of the test bed itself loses."""

import anyio
import pytest
from anyio.abc import SocketStream

from redwingport_testbed.cluster.raw import http_answer
from redwingport_testbed.http_client import HttpClient

pytestmark = pytest.mark.anyio


# Guards against a submission without an answer after a server has closed idle connections.
async def test_connection_that_the_server_closed_while_idle_is_not_used_again() -> None:
    closed = anyio.Event()

    async def answer_once(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(http_answer(b"{}"))
        closed.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client = HttpClient()
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer_once)
        for _ in range(3):
            answer = await client.request("GET", f"http://127.0.0.1:{port}/")
            assert answer.status == 200
            await closed.wait()
            closed = anyio.Event()
        group.cancel_scope.cancel()
    await client.aclose()
