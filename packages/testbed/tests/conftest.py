"""Run the asynchronous tests on uvloop, the event loop of the test bed."""

import pytest


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}
