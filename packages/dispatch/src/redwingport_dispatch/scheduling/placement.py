"""Choice of a server for one task."""

from dataclasses import dataclass

from redwingport_dispatch.interfaces import TaskShape
from redwingport_dispatch.scheduling.servers import ServerState
from redwingport_dispatch.scheduling.speeds import Speeds

# Factor by which a run may exceed its expected time and still meet its target, for its server to
# count as in time. Declared run times are off by a factor of 1.5 in either direction, and a job
# waits for the longest of its tasks.
RUN_TIME_MARGIN = 1.6
# Ratio of observed to learned slowness above which a server counts as disturbed. Declared run
# times are off by a factor of 1.5 in either direction and servers of one kind differ a little; a
# disturbed server is several times as slow.
DISTURBANCE_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class Placement:
    """Represent the choice of a server for a task.

    :param server: the chosen server.
    :param expected_s: expected run time on that server, in seconds.
    :param in_time: whether the task meets its target there even if it runs
        :data:`RUN_TIME_MARGIN` times as long as expected.
    """

    server: ServerState
    expected_s: float
    in_time: bool


def conservative_slowness(server: ServerState, speeds: Speeds) -> float:
    """Return the larger of the learned and the observed slowness of a server.

    Runs in progress tend to be those that were declared too short. The result is therefore a
    conservative basis for the time until slots become free, but not an estimate of the server's
    speed.
    """
    learned = speeds.slowness(server.listing.server_id, server.kind)
    return max(learned, server.observed_slowness)


def likely_slowness(server: ServerState, speeds: Speeds) -> float:
    """Return the slowness of a server for a new task: measured over declared run time."""
    learned = speeds.slowness(server.listing.server_id, server.kind)
    is_disturbed = server.observed_slowness > DISTURBANCE_FACTOR * learned
    return server.observed_slowness if is_disturbed else learned


def expected_run_s(
    server: ServerState, shape: TaskShape, slowness: float, far_factor: float
) -> float:
    """Return the expected run time of a task on a server, in seconds.

    :param slowness: likely slowness of the server.
    :param far_factor: factor on the run time of a task whose data is in another rack.
    """
    far = shape.near_rack and shape.near_rack not in server.listing.labels
    factor = far_factor if far else 1.0
    return shape.estimate_s * slowness * factor


def choose_server(
    expected_s_by_server: dict[ServerState, float], now: float, target_at: float
) -> Placement | None:
    """Choose the slowest server on which a task is in time, or else the fastest.

    Tasks with slack leave the fast servers to urgent tasks. Among servers of equal speed the one
    with the least free capacity is chosen, so that large tasks still find an empty server.

    :param expected_s_by_server: servers with capacity for the task, and its expected run time on
        each, in seconds.
    :param now: monotonic time, in seconds.
    :param target_at: monotonic time by which the task has to end to be on time, in seconds.
    :returns: the placement, or None when there is no server.
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
