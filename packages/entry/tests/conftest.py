"""Settings shared by the tests of the entry package."""

import pytest

Sections = dict[str, dict[str, str]]


@pytest.fixture
def sections() -> Sections:
    """Return the sections and keys that a settings file requires."""
    return {
        "entry": {
            "name": "entry-1",
            "domain": "creamery",
            "http_host": "127.0.0.1",
            "http_port": "8001",
            "peer_host": "127.0.0.1",
            "peer_port": "9001",
        },
        "platform": {"url": "http://127.0.0.1:8000"},
        "peers": {"secret": "0123456789abcdef"},
    }
