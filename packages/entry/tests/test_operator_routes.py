"""Guard against unauthenticated clients of the operator routes.

Without a valid token a client must neither learn which services exist, nor make a process read a
document.
"""

from typing import Any, cast

import anyio
import pytest
from starlette.applications import Starlette

from redwingport_entry.api.operators import OperatorRoutes


@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_change_without_token_is_refused_before_the_body_is_read(method: str) -> None:
    unused = cast(Any, None)
    routes = OperatorRoutes(unused, unused, {}, unused, unused)
    status: list[int] = []

    async def receive() -> dict[str, Any]:
        raise AssertionError("the body was read")

    async def send(message: dict[str, Any]) -> None:
        status.append(message.get("status", 0))

    scope = {
        "type": "http",
        "method": method,
        "path": "/v1/services/route-desk",
        "headers": [],
        "query_string": b"",
        "root_path": "",
    }
    anyio.run(Starlette(routes=list(routes.routes())).__call__, scope, receive, send)
    assert status[0] == 401
