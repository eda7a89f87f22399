"""Random mixes of faults for simulated clusters."""

import functools
import random
from collections.abc import Callable, Sequence

from redwingport_testbed.simulation.cluster import Cluster, Entry

KILL_DOWN_S = (0.3, 2.5)
FAULT_S = (0.3, 3.0)
SILENCE_S = (0.05, 1.0)
RESTART_POLL_S = 0.5

Fault = Callable[["FaultMix"], str]


class FaultMix:
    """Inject random faults into a cluster.

    :param cluster: the cluster.
    :param seed: seed of all choices.
    :param faults: faults to choose from; None for :data:`FAULTS`.
    """

    def __init__(
        self, cluster: Cluster, seed: int, faults: "Sequence[Fault] | None" = None
    ) -> None:
        self._cluster = cluster
        self._random = random.Random(f"faults {seed}")
        self._faults = FAULTS if faults is None else faults

    def schedule(self, count: int, duration_s: float) -> None:
        """Inject a number of faults at random times of the next seconds."""
        chosen = self._random.sample(self._faults, min(len(self._faults), 4))
        for _ in range(count):
            fault = self._random.choice(chosen)
            self._cluster.world.call_later(
                self._random.uniform(0, duration_s), functools.partial(self._inject, fault)
            )

    def _inject(self, fault: Fault) -> None:
        text = fault(self)
        fields: dict[str, object] = {"fault": fault.__name__, "on": text}
        self._cluster.events.append((self._cluster.world.now, "world", "fault", fields))

    def _duration_s(self) -> float:
        return self._random.uniform(*FAULT_S)

    def _entry(self) -> Entry:
        """Return a process, every second time an owner."""
        owners = [entry for entries in self._cluster.owners().values() for entry in entries]
        if owners and self._random.random() < 0.5:
            return self._random.choice(owners)
        return self._random.choice(self._cluster.entries)

    def _server(self) -> str:
        return self._random.choice(sorted(self._cluster.store.listing_by_id) or ["s0"])

    def _some(self, names: Sequence[str], share: float) -> list[str]:
        return self._random.sample(list(names), max(1, round(share * len(names))))

    def cut_domain(self) -> str:
        """Cut a failure domain off, in both directions or in one."""
        domain = self._random.choice(self._cluster.domains)
        mode = self._random.choice(["both", "both", "in", "out"])
        self._cluster.cut_domain(domain, self._duration_s(), mode)
        return f"{domain} {mode}"

    def cut_processes(self) -> str:
        """Cut some processes from some others, which still reach common ones."""
        names = [entry.node.name for entry in self._cluster.entries]
        group = self._some(names, self._random.uniform(0.0, 0.4))
        others = [name for name in names if name not in group]
        beyond = self._some(others, self._random.uniform(0.1, 0.6))
        both = self._random.random() < 0.6
        self._cluster.cut_pairs(group, beyond, self._duration_s(), both)
        return f"{group} {beyond} {both}"

    def cut_owner_from_process(self) -> str:
        """Cut an owner from one other process."""
        name, other = self._entry().node.name, self._entry().node.name
        if name != other:
            both = self._random.random() < 0.6
            self._cluster.cut_pairs([name], [other], self._duration_s(), both)
        return f"{name} {other}"

    def cut_servers_from_processes(self) -> str:
        """Cut some servers from some processes."""
        names = [entry.node.name for entry in self._cluster.entries]
        group = self._some(names, self._random.uniform(0.1, 0.6))
        servers = self._some(sorted(self._cluster.server_by_id), self._random.uniform(0.1, 0.5))
        both = self._random.random() < 0.6
        self._cluster.cut_pairs(group, servers, self._duration_s(), both)
        return f"{group} {servers} {both}"

    def cut_server(self) -> str:
        """Cut one server from everything."""
        server_id = self._server()
        self._cluster.cut_server(server_id, self._duration_s())
        return server_id

    def kill(self) -> str:
        """End a process at once."""
        entry, refuses = self._entry(), self._random.random() < 0.5
        self._cluster.kill(entry, refuses)
        self._restart_later(entry)
        return f"{entry.node.name} {refuses}"

    def drain(self) -> str:
        """Stop a process gracefully and start it again."""
        entry = self._entry()
        self._cluster.drain(entry)
        self._restart_later(entry)
        return entry.node.name

    def _restart_later(self, entry: Entry) -> None:
        def restart() -> None:
            if entry.process is not None and entry.process.draining:
                self._cluster.world.call_later(RESTART_POLL_S, restart)
            else:
                self._cluster.start(entry)

        self._cluster.world.call_later(self._random.uniform(*KILL_DOWN_S), restart)

    def freeze(self) -> str:
        """Freeze a process for some time."""
        entry = self._entry()
        self._cluster.freeze(entry, self._duration_s())
        return entry.node.name

    def slow_loop(self) -> str:
        """Make each iteration of an event loop take time."""
        entry = self._entry()
        node, step_s = entry.node, entry.node.step_s
        node.step_s = self._random.choice([0.002, 0.005])
        self._cluster.world.call_later(self._duration_s(), lambda: setattr(node, "step_s", 0.0001))
        return f"{node.name} was {step_s}"

    def jump_clock(self) -> str:
        """Let the wall clock of a process jump."""
        entry = self._entry()
        entry.wall_offset_s = self._random.choice([-5.0, -0.5, 0.5, 5.0])
        return f"{entry.node.name} {entry.wall_offset_s}"

    def add_servers(self) -> str:
        """Add servers, which may raise the number of shards."""
        count = self._random.randint(3, 9)
        for _ in range(count):
            self._cluster.add_server(cpu_millis=self._random.choice([8000, 16000, 32000]))
        return str(count)

    def drain_servers(self) -> str:
        """Drain servers and remove them."""
        server_ids = [self._server() for _ in range(self._random.randint(1, 4))]
        for server_id in server_ids:
            self._cluster.drain_server(server_id, self._random.uniform(0.5, 2.0))
        return str(server_ids)

    def restart_server(self) -> str:
        """Restart a server."""
        server_id = self._server()
        self._cluster.restart_server(server_id, self._random.uniform(*KILL_DOWN_S))
        return server_id

    def restart_in_silence(self) -> str:
        """Restart servers of a failure domain in silence, and cut them off soon after."""
        cluster, domain = self._cluster, self._random.choice(self._cluster.domains)
        names = [name for name, s in cluster.server_by_id.items() if s.node.domain == domain]
        server_ids = self._some(names, self._random.uniform(0.3, 1.0))
        down_s, duration_s = self._random.uniform(*SILENCE_S), self._duration_s()
        for server_id in server_ids:
            cluster.restart_in_silence(server_id, down_s)
        cut_after_s = max(0.0, down_s + self._random.uniform(-0.6, 2.0))
        mode = self._random.choice(["domain", "servers", "processes", "none"])
        if mode == "domain":
            cut = functools.partial(cluster.cut_domain, domain, duration_s)
            cluster.world.call_later(cut_after_s, cut)
        elif mode != "none":
            entries = [entry.node.name for entry in cluster.entries]
            share = self._random.uniform(0.1, 0.6) if mode == "processes" else 1.0
            group, both = self._some(entries, share), self._random.random() < 0.8
            cut = functools.partial(cluster.cut_pairs, group, server_ids, duration_s, both)
            cluster.world.call_later(cut_after_s, cut)
        return f"{server_ids} down_s={down_s:.3f} cut={mode} cut_after_s={cut_after_s:.3f}"

    def disturb_orders(self) -> str:
        """Lose orders or answers, or execute orders late."""
        server_ids = self._some(sorted(self._cluster.server_by_id), 0.4)
        late = self._random.random() < 0.5
        for server_id in server_ids:
            server = self._cluster.server_by_id[server_id]
            attribute = "late_share" if late else "loss_share"
            setattr(server, attribute, self._random.choice([0.05, 0.2]))
            self._cluster.world.call_later(
                self._duration_s(),
                functools.partial(setattr, server, attribute, 0.0),
            )
        return f"{server_ids} late={late}"

    def slow_servers(self) -> str:
        """Slow some servers down."""
        server_ids = self._some(sorted(self._cluster.server_by_id), 0.3)
        slowness = self._random.choice([2.0, 5.0])
        for server_id in server_ids:
            server = self._cluster.server_by_id[server_id]
            server.slowness = slowness
            self._cluster.world.call_later(
                self._duration_s(), functools.partial(setattr, server, "slowness", 1.0)
            )
        return f"{server_ids} {slowness}"

    def lose_clients(self) -> str:
        """Break connections of clients without notice."""
        return str(self._cluster.lose_clients(self._random.uniform(0.1, 1.0)))

    def reset_connections(self) -> str:
        """Reset some connections of a process, and lose what is under way there."""
        entry, share = self._entry(), self._random.choice([0.5, 1.0])
        return f"{entry.node.name} {self._cluster.reset_connections(entry, share)}"

    def delete_jobs(self) -> str:
        """Let clients delete some of the jobs for which they wait."""
        return str(self._cluster.delete_some(self._random.uniform(0.1, 0.4)))

    def reset_and_delete(self) -> str:
        """Reset some connections of a process while clients delete jobs there."""
        cluster, entry = self._cluster, self._entry()
        share = self._random.choice([0.3, 0.5])
        cluster.world.call_later(0.1, lambda: cluster.reset_connections(entry, share))
        for _ in range(4):
            deletes = functools.partial(cluster.delete_some, 0.2, [entry])
            cluster.world.call_later(self._random.uniform(0.0, 0.4), deletes)
        return f"{entry.node.name} {share}"

    def unlist_servers(self) -> str:
        """Let the entries of some servers lapse, while the servers work on."""
        server_ids = [self._server() for _ in range(self._random.randint(1, 4))]
        for server_id in server_ids:
            self._cluster.unlist_server(server_id, self._random.uniform(0.5, 6.0))
        return str(server_ids)

    def move_server(self) -> str:
        """Change the address of a server."""
        server_id = self._server()
        if server_id in self._cluster.store.listing_by_id:
            self._cluster.move_server(server_id)
        return server_id

    def suspend(self) -> str:
        """Suspend the VM of a process for some time."""
        entry = self._entry()
        self._cluster.suspend(entry, self._duration_s())
        return entry.node.name

    def freeze_behind_cut(self) -> str:
        """Freeze a process for some time while servers are cut off for longer."""
        entry, duration_s = self._entry(), self._random.uniform(0.4, 1.8)
        server_ids = self._some(sorted(self._cluster.server_by_id), 0.4)
        for server_id in server_ids:
            self._cluster.cut_server(server_id, duration_s + self._random.uniform(0.0, 1.0))
        self._cluster.freeze(entry, duration_s)
        return f"{entry.node.name} {server_ids}"

    def burst(self) -> str:
        """Send more jobs for a while."""
        jobs_per_s = self._random.choice([40.0, 80.0])
        self._cluster.load(jobs_per_s, 1.0)
        return str(jobs_per_s)


FAULTS: tuple[Fault, ...] = (
    FaultMix.cut_domain,
    FaultMix.cut_domain,
    FaultMix.cut_processes,
    FaultMix.cut_processes,
    FaultMix.cut_owner_from_process,
    FaultMix.cut_servers_from_processes,
    FaultMix.cut_server,
    FaultMix.kill,
    FaultMix.kill,
    FaultMix.drain,
    FaultMix.freeze,
    FaultMix.freeze,
    FaultMix.slow_loop,
    FaultMix.jump_clock,
    FaultMix.add_servers,
    FaultMix.drain_servers,
    FaultMix.restart_server,
    FaultMix.disturb_orders,
    FaultMix.slow_servers,
    FaultMix.lose_clients,
    FaultMix.lose_clients,
    FaultMix.burst,
)

# The same, and those that tell only with tasks that outlast leases and grace periods.
FAULTS_OF_LASTING_TASKS: tuple[Fault, ...] = (
    *FAULTS,
    FaultMix.unlist_servers,
    FaultMix.unlist_servers,
    FaultMix.move_server,
    FaultMix.suspend,
    FaultMix.freeze_behind_cut,
    FaultMix.freeze_behind_cut,
)

# Servers that forget everything, beside changes of owners.
FAULTS_OF_RESTARTED_SERVERS: tuple[Fault, ...] = (
    FaultMix.restart_in_silence,
    FaultMix.restart_in_silence,
    FaultMix.restart_in_silence,
    FaultMix.restart_in_silence,
    FaultMix.cut_domain,
    FaultMix.cut_processes,
    FaultMix.cut_owner_from_process,
    FaultMix.cut_servers_from_processes,
    FaultMix.cut_server,
    FaultMix.kill,
    FaultMix.drain,
    FaultMix.freeze,
    FaultMix.disturb_orders,
    FaultMix.slow_servers,
    FaultMix.slow_loop,
    FaultMix.lose_clients,
)
