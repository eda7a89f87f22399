"""Settings of a process: what is out of range ends the start with a line for each error."""

from pathlib import Path

import pytest

from redwingport_dispatch.settings import load_settings

VALID = """\
[process]
vm = vm
domain = d
cores = 1.5
core_share = 0.5

[listen]
front = 127.0.0.1:1
ready = 127.0.0.1:1
peers = 127.0.0.1:1
metrics = 127.0.0.1:1

[store]
address = 127.0.0.1:1

[bounds]
lease_ms = 1000
stop_ms = 50
grace_s = 6
far_factor = 1.5
"""


@pytest.mark.parametrize(
    "line, value",
    [
        ("cores = 1.5", "inf"),
        ("cores = 1.5", "1e300"),
        ("core_share = 0.5", "1e300"),
        ("grace_s = 6", "inf"),
        ("far_factor = 1.5", "inf"),
        ("far_factor = 1.5", "nan"),
        ("address = 127.0.0.1:1", "127.0.0.1:" + "9" * 5000),
        ("address = 127.0.0.1:1", "[127.0.0.1:1"),
    ],
)
def test_number_out_of_range_is_an_error_of_its_setting(
    tmp_path: Path, line: str, value: str
) -> None:
    """Guard against a process that fails at the start or whose heartbeats can't be sent."""
    path = tmp_path / "process.ini"
    path.write_text(VALID)
    assert load_settings(path).is_ok()
    name = line.partition(" ")[0]
    path.write_text(VALID.replace(line, f"{name} = {value}"))
    (error,) = load_settings(path).unwrap_err()
    assert f" {name}: " in error
