"""Election of the processes that own the backend servers.

Processes that can reach each other agree on one owner for each shard: the one that claims the
shard with the highest term. A shard without an owner is taken over by the process that owns the
fewest shards, and among equals by the one with the highest weight; processes with less than half
of the highest weight take over none. A server that two concurrent owners reach obeys the one with
the higher fencing token; where one owner reaches a server alone, the other waits for the end of
its leases. So no consensus protocol is needed.
"""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from redwingport_dispatch.interfaces import VmRecord
from redwingport_dispatch.ownership.terms import new_term
from redwingport_messages.dispatch import Presence, PresenceUnchanged

# Heartbeat interval to and from owners, and between all processes of a small system. An owner has
# to notice that a holder is unreachable before another owner can be elected on the holder's side
# of a network partition, so both directions have the same interval.
HEARTBEAT_S = 0.15
# A process that misses three heartbeats is considered unreachable.
LIVENESS_TIMEOUT_HEARTBEATS = 10 / 3
LIVENESS_TIMEOUT_S = LIVENESS_TIMEOUT_HEARTBEATS * HEARTBEAT_S
# Above this number of peers, processes that own no shard lengthen the heartbeat interval between
# each other by the square of the ratio: there is a link for each pair of processes, and its
# heartbeats would cost more than the actual work.
MAX_FULL_RATE_PEERS = 12
# Only processes with at least this fraction of the highest weight take over shards.
MIN_OWNER_WEIGHT_SHARE = 0.5
# Processes start within 0.3 s of each other and need time to discover each other in the store. A
# restarted process knows the others from the store and can end this period early.
STARTUP_GRACE_S = 0.7
# A shard is taken over only after it had no owner for this long: while links recover from a
# network partition, this process may receive heartbeats from an owner before that owner
# receives heartbeats from this process.
HOLD_DOWN_S = 0.2
# A candidate waits this much longer for each candidate that ranks before it, as those may have
# ended without having timed out yet.
TAKEOVER_STAGGER_S = 0.35
# Upper limit of the remaining liveness timeout of a peer whose address refuses connections.
REFUSED_GRACE_S = 0.1
# Time in which a process that was paused reads the heartbeats that have arrived meanwhile.
RESUME_GRACE_S = 0.1
# A peer that was silent this long is no longer counted as part of the system.
PEER_RETENTION_S = 30.0


@dataclass(slots=True)
class PeerView:
    """Hold the last known state of a peer.

    :param presence: its last presence message.
    :param received_at: monotonic time of its last heartbeat, in seconds.
    :param sequence: sequence number of its last heartbeat.
    :param heard_sequence: highest sequence number of a heartbeat of this process that the peer is
        known to have received.
    :param times_out_at: monotonic time from which it is considered unreachable, in seconds.
    :param was_extended: whether that time was extended since its last heartbeat, because this
        process had been paused.
    """

    presence: Presence
    received_at: float
    sequence: int
    heard_sequence: int
    times_out_at: float
    was_extended: bool = False

    def is_live(self, now: float) -> bool:
        """Return whether the last heartbeat is younger than the liveness timeout."""
        return now < self.times_out_at


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """Identify the owner of a shard.

    :param owner: incarnation of the owner; empty when there is none.
    :param term: term of the owner; 0 when there is none.
    """

    owner: str
    term: int


class Election:
    """Determine the owners of the shards from the presence messages of peers.

    Parameters called ``now`` are monotonic times, in seconds.

    :param incarnation: random id of this process.
    :param weight: processor capacity of this process, in thousandths of a core.
    :param tag: number that distinguishes the terms of this process.
    :param started_at: monotonic time of its start, in seconds.
    """

    def __init__(self, incarnation: str, weight: int, tag: int, started_at: float) -> None:
        self.incarnation = incarnation
        self.shard_count = 0
        self.owned_term_by_shard: dict[int, int] = {}
        self.highest_term = 0
        self.draining = False
        self.peer_by_incarnation: dict[str, PeerView] = {}
        self._weight = weight
        self._tag = tag
        self._startup_grace_ends_at = started_at + STARTUP_GRACE_S
        self._ownerless_at_by_shard: dict[int, float] = {}

    def observe(self, presence: Presence, now: float) -> bool:
        """Record a presence message of a peer, unless a newer one has arrived.

        :returns: whether the message can change the owner of a shard, or is the first one from a
            peer that was unknown or had timed out.
        """
        view = self.peer_by_incarnation.get(presence.incarnation)
        if view is not None and presence.sequence < view.sequence:
            return False
        changed = (
            view is None
            or not view.is_live(now)
            or _ownership_claims(view.presence) != _ownership_claims(presence)
        )
        heard_sequence = max(presence.heard_sequence, view.heard_sequence if view else 0)
        self.peer_by_incarnation[presence.incarnation] = PeerView(
            presence,
            now,
            presence.sequence,
            heard_sequence,
            now + _liveness_timeout_s(presence),
        )
        terms = [term for _, term in presence.owned_terms]
        self.highest_term = max(self.highest_term, presence.term, *terms)
        return changed

    def renew(self, presence: Presence, heartbeat: PresenceUnchanged, now: float) -> bool:
        """Record a heartbeat that repeats the last presence message of a live peer.

        :param presence: the repeated message.
        :param heartbeat: the heartbeat.
        :returns: whether that message is the last one of the peer, which has not timed out since;
            otherwise nothing is recorded.
        """
        view = self.peer_by_incarnation.get(presence.incarnation)
        if view is None or view.presence is not presence or not view.is_live(now):
            return False
        view.received_at = now
        view.times_out_at = now + _liveness_timeout_s(presence)
        view.was_extended = False
        view.sequence = max(view.sequence, heartbeat.sequence)
        view.heard_sequence = max(view.heard_sequence, heartbeat.heard_sequence)
        return True

    def set_shard_count(self, count: int) -> None:
        """Apply another number of shards; shards owned in the previous layout are given up."""
        self.shard_count = count
        self.owned_term_by_shard.clear()
        self._ownerless_at_by_shard.clear()

    def end_startup_grace(
        self, records: Sequence[VmRecord], refusing: Collection[str], now: float
    ) -> None:
        """End the startup grace if most of the listed processes are reachable or have ended.

        If this is true of all of them, the hold-down of shards without an owner is skipped. With
        several shards, only reachable processes count. Nothing changes while a listed process of
        higher weight is not reachable.

        :param records: the other processes as listed in the store; some may never come back.
        :param refusing: addresses that refuse connections: no process listens there, or not yet.
        """
        if now >= self._startup_grace_ends_at or not self.shard_count:
            return
        reachable = {peer.address for peer in self.reachable_peers(now)}
        missing = [record for record in records if record.address not in reachable]
        if any(record.weight > self._weight for record in missing):
            return
        # With several shards, the first process to restart would take over all of them before the
        # others are up, so it also waits for those that have ended.
        gone = refusing if self.shard_count == 1 else ()
        unknown = sum(record.address not in gone for record in missing)
        if 2 * unknown < len(records) + 1:
            self._startup_grace_ends_at = now
        if not unknown:
            # Every listed process is reachable, and has just reported which shards it owns, or has
            # ended. A shard that is still without an owner needs no hold-down.
            held_down_at = now - HOLD_DOWN_S
            self._ownerless_at_by_shard = dict.fromkeys(range(self.shard_count), held_down_at)

    def remove_peer(self, incarnation: str) -> None:
        """Remove a peer that is known to have ended."""
        self.peer_by_incarnation.pop(incarnation, None)

    def note_token(self, token: int) -> None:
        """Record a token raised by this process, so that later terms are higher."""
        self.highest_term = max(self.highest_term, token)

    def shorten_timeout(self, incarnation: str, now: float) -> None:
        """Shorten the liveness timeout of a peer whose address refuses connections.

        Either no process listens there, or the network rejects connections during a partition.
        The next heartbeat restores the full timeout.
        """
        view = self.peer_by_incarnation.get(incarnation)
        if view is not None:
            view.times_out_at = min(view.times_out_at, now + REFUSED_GRACE_S)

    def extend_timeouts(self, paused_at: float, now: float) -> None:
        """Give peers time to be heard after this process was paused.

        Their heartbeats wait to be read, so that their silence says nothing. A peer is given that
        time once, so that one that has ended is noticed by a process that is paused again.

        :param paused_at: monotonic time before the pause, in seconds.
        :param now: monotonic time after it, in seconds.
        """
        for view in self.peer_by_incarnation.values():
            if view.is_live(paused_at) and not view.was_extended:
                view.times_out_at = max(view.times_out_at, now + RESUME_GRACE_S)
                view.was_extended = True

    def receives_heartbeats_from(self, incarnation: str, now: float) -> bool:
        """Tell whether the last heartbeat of a peer is younger than its liveness timeout."""
        view = self.peer_by_incarnation.get(incarnation)
        return view is not None and view.is_live(now)

    def last_sequence(self, incarnation: str) -> int:
        """Return the sequence number of the last heartbeat of an owner; 0 for another peer."""
        view = self.peer_by_incarnation.get(incarnation)
        return view.sequence if view is not None and view.presence.owned_terms else 0

    def heard_sequence(self, incarnation: str) -> int:
        """Return the sequence number of the last heartbeat that a peer has certainly received."""
        view = self.peer_by_incarnation.get(incarnation)
        return view.heard_sequence if view is not None else 0

    def is_reachable(self, incarnation: str, now: float) -> bool:
        """Tell whether heartbeats arrive in both directions between a peer and this process."""
        view = self.peer_by_incarnation.get(incarnation)
        return view is not None and view.is_live(now) and view.presence.hears_you

    def unheard_s(self, incarnation: str, now: float) -> float:
        """Return the time since the last heartbeat of a peer in seconds; 0 for an unknown peer."""
        view = self.peer_by_incarnation.get(incarnation)
        return now - view.received_at if view is not None else 0.0

    def heartbeat_s(self, incarnation: str) -> float:
        """Return the heartbeat interval to a peer, in seconds."""
        excess = len(self.peer_by_incarnation) / MAX_FULL_RATE_PEERS
        view = self.peer_by_incarnation.get(incarnation)
        involves_owner = view is None or self.owned_term_by_shard or view.presence.owned_terms
        return HEARTBEAT_S if excess <= 1 or involves_owner else HEARTBEAT_S * excess**2

    def next_timeout_at(self, now: float) -> float:
        """Return the time at which the next liveness timeout of a peer expires.

        :returns: monotonic time in seconds; infinite when no timeout is running.
        """
        timeouts_at = [view.times_out_at for view in self.peer_by_incarnation.values()]
        return min(
            (timeout_at for timeout_at in timeouts_at if timeout_at > now), default=math.inf
        )

    def reachable_peers(self, now: float) -> list[Presence]:
        """Return the last presence messages of the reachable peers."""
        return [
            view.presence
            for incarnation, view in self.peer_by_incarnation.items()
            if self.is_reachable(incarnation, now)
        ]

    def candidate_weights(self, now: float) -> list[int]:
        """Return the weights of the reachable processes that may take over shards."""
        weights = [peer.weight for peer in self.reachable_peers(now) if not peer.draining]
        weights.append(self._weight)
        return [w for w in weights if w >= MIN_OWNER_WEIGHT_SHARE * max(weights)]

    def reaches_majority(self, now: float) -> bool:
        """Tell whether this process reaches a majority of the known processes.

        Only an owner in the majority contests servers that obey a higher token. Of two equal
        halves, the one with the lowest incarnation counts as the majority.
        """
        reachable = [peer.incarnation for peer in self.reachable_peers(now)]
        known = [
            incarnation
            for incarnation, view in self.peer_by_incarnation.items()
            if now - view.received_at < PEER_RETENTION_S
        ]
        reached, total = len(reachable) + 1, len(known) + 1
        if 2 * reached != total:
            return 2 * reached > total
        return min([self.incarnation, *known]) in [self.incarnation, *reachable]

    def decide(self, now: float, unix_ms: int) -> list[ShardOwner]:
        """Return the owner of each shard, and take over shards that are due for this process.

        :param unix_ms: Unix time in milliseconds, for new terms.
        :returns: owners by number of the shard; empty while the number of shards is unknown.
        """
        reachable = self.reachable_peers(now)
        shard_owners = [self._find_owner(shard, reachable) for shard in range(self.shard_count)]
        draining_peers = {peer.incarnation for peer in reachable if peer.draining}
        takeover_at_by_shard = {
            shard: now
            if shard_owner.owner in draining_peers
            else self._takeover_at(shard, shard_owner.owner, now)
            for shard, shard_owner in enumerate(shard_owners)
        }
        due_shards = [shard for shard, at in takeover_at_by_shard.items() if at <= now]
        candidates = self._rank_candidates(reachable)
        if self.incarnation in candidates and now >= self._startup_grace_ends_at:
            own_rank = candidates.index(self.incarnation)
            for position, shard in enumerate(due_shards):
                ranks_before = (own_rank - position) % len(candidates)
                earliest_at = max(takeover_at_by_shard[shard], self._startup_grace_ends_at)
                if now >= earliest_at + ranks_before * TAKEOVER_STAGGER_S:
                    shard_owners[shard] = self._take_over(shard, unix_ms)
        return shard_owners

    def _find_owner(self, shard: int, reachable: Sequence[Presence]) -> ShardOwner:
        claims = [
            (term, peer.incarnation)
            for peer in reachable
            for owned, term in peer.owned_terms
            if owned == shard and peer.shards == self.shard_count
        ]
        own_term = self.owned_term_by_shard.get(shard)
        if own_term:
            claims.append((own_term, self.incarnation))
        term, owner = max(claims, default=(0, ""))
        if own_term and owner != self.incarnation:
            del self.owned_term_by_shard[shard]
        return ShardOwner(owner, term)

    def _take_over(self, shard: int, unix_ms: int) -> ShardOwner:
        term = new_term(unix_ms, self._tag, self.highest_term)
        self.highest_term = self.owned_term_by_shard[shard] = term
        return ShardOwner(self.incarnation, term)

    def _takeover_at(self, shard: int, owner: str, now: float) -> float:
        """Return the monotonic time from which a shard may be taken over."""
        if owner:
            self._ownerless_at_by_shard.pop(shard, None)
            return math.inf
        return self._ownerless_at_by_shard.setdefault(shard, now) + HOLD_DOWN_S

    def _rank_candidates(self, reachable: Sequence[Presence]) -> list[str]:
        """Return the processes that may take over shards, in order of precedence."""
        ranks = [
            (-len(peer.owned_terms), peer.weight, peer.incarnation)
            for peer in reachable
            if not peer.draining
        ]
        if not self.draining:
            ranks.append((-len(self.owned_term_by_shard), self._weight, self.incarnation))
        max_weight = max((weight for _, weight, _ in ranks), default=0)
        ranks.sort(reverse=True)
        return [
            incarnation
            for _, weight, incarnation in ranks
            if weight >= MIN_OWNER_WEIGHT_SHARE * max_weight
        ]

    def prune(self, now: float) -> None:
        """Remove peers that were silent for longer than the retention time."""
        for incarnation, view in list(self.peer_by_incarnation.items()):
            if now - view.received_at >= PEER_RETENTION_S:
                del self.peer_by_incarnation[incarnation]


def _liveness_timeout_s(presence: Presence) -> float:
    return LIVENESS_TIMEOUT_HEARTBEATS * presence.heartbeat_ms / 1000


def _ownership_claims(presence: Presence) -> tuple[object, ...]:
    return presence.shards, presence.owned_terms, presence.draining, presence.hears_you
