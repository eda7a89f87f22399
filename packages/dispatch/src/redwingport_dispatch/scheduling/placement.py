"""The choice of a server for one task."""

from dataclasses import dataclass

from redwingport_dispatch.interfaces import TaskShape
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds

# Declared run times are off by a factor of 1.5 in either direction, and a job waits for the
# longest of its tasks; work is only placed on a slow server when it would be in time there
# although it takes this much longer than expected.
RUN_TIME_MARGIN = 1.6
# Declared run times are off by a factor of 1.5 in either direction and servers of one kind differ
# a little; a server under a disturbance is several times as slow.
DISTURBANCE_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold a choice and what it rests on.

    :param server: the server.
    :param expected_s: expected run time there, in seconds.
    :param in_time: whether the task is expected to be in time there.
    """

    server: ServerState
    expected_s: float
    in_time: bool


def conservative_slowness(server: ServerState, speeds: Speeds) -> float:
    """Return measured over declared run time at a server, as learned or as seen at present.

    What is at work tends to be what was declared too short. That makes this a cautious figure for
    the time that places take to become free, but not one of the server's speed.
    """
    learned = speeds.slowness(server.listing.server_id, server.kind)
    return max(learned, server.observed_slowness)


def likely_slowness(server: ServerState, speeds: Speeds) -> float:
    """Return measured over declared run time that a new task will find at a server."""
    learned = speeds.slowness(server.listing.server_id, server.kind)
    is_clear = server.observed_slowness > DISTURBANCE_FACTOR * learned
    return server.observed_slowness if is_clear else learned


def expected_run_s(
    server: ServerState, shape: TaskShape, slowness: float, far_factor: float
) -> float:
    """Return the expected run time of a task at a server, in seconds.

    :param slowness: its likely slowness.
    :param far_factor: times as long a task takes on another rack than that of its data.
    """
    far = shape.near_rack and shape.near_rack not in server.listing.labels
    factor = far_factor if far else 1.0
    return shape.estimate_s * slowness * factor


def choose_server(
    expected_s_by_server: dict[ServerState, float], now: float, target_at: float
) -> Placement | None:
    """Choose the slowest server on which a task is in time, or else the fastest.

    Work that has time leaves the fast servers to work that has none. Among servers of one speed
    the one with the least room left is taken, so that wide tasks still find an empty one.

    :param expected_s_by_server: servers with room for the task, and its run time at each.
    :param target_at: monotonic time until which the task is in time.
    :returns: the choice, or None when there is no server.
    """
    if not expected_s_by_server:
        return None
    left_s = target_at - now
    in_time = [s for s, run_s in expected_s_by_server.items() if run_s * RUN_TIME_MARGIN <= left_s]
    if in_time:
        server = max(in_time, key=lambda s: (expected_s_by_server[s], -s.free_cpu_millis))
    else:
        server = min(
            expected_s_by_server, key=lambda s: (expected_s_by_server[s], s.free_cpu_millis)
        )
    return Placement(server, expected_s_by_server[server], bool(in_time))
