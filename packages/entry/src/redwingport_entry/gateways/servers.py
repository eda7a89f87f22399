"""State that a gateway keeps of one backend server, beside the policy's view of it."""

from dataclasses import dataclass

import httpcore

from redwingport_entry.gateways.connections import ServerConnections
from redwingport_messages.backend import WorkerLoad
from redwingport_messages.vms import VmInfo
from redwingport_policy.base import Candidate
from redwingport_policy.estimates import observe_load


@dataclass(slots=True)
class Server:
    """Hold the state of one backend server.

    :param info: the VM as listed.
    :param view: the policy's view of the server.
    :param connections: the connections to the server.
    :param lease: id of the lease held, or an empty string.
    :param lease_deadline: monotonic time at which the lease ends.
    :param held_deadline: monotonic time at which the held slots expire.
    :param clock_offset: server's clock minus the monotonic clock, in seconds; None if unknown.
    :param unreachable_until: monotonic time before which no connection is attempted.
    """

    info: VmInfo
    view: Candidate
    connections: ServerConnections
    lease: str = ""
    lease_deadline: float = 0.0
    held_deadline: float = 0.0
    clock_offset: float | None = None
    unreachable_until: float = 0.0

    def url(self, path: str) -> httpcore.URL:
        """Return the URL of a path on the server."""
        return httpcore.URL(scheme="http", host=self.info.host, port=self.info.port, target=path)

    def apply_worker_load(self, load: WorkerLoad, now: float, hold_s: float) -> None:
        """Update the policy's view from the load that a worker reports.

        :param load: the reported load.
        :param now: monotonic time at which the report arrived.
        :param hold_s: how long idle slots stay held, in seconds.
        """
        view = self.view
        view.slots = load.slots
        # Unconfirmed starts use held slots that this report may still count as held.
        in_flight = max(0, view.own_active - view.confirmed)
        view.held_slots = max(0, load.held - in_flight)
        others = load.slots - load.free - load.held - view.confirmed
        observe_load(view, max(0.0, others), now)
        view.leaving = view.leaving or load.leaving
        if load.held:
            self.held_deadline = now + hold_s
