"""The choice of the processes that own the backend servers.

Processes that reach each other agree on one owner of each shard: the live one with the highest
term. A shard without one is taken over by the heaviest process that owns the fewest. Two owners
at a time are harmless, as backend servers obey the higher token; so no agreement protocol is
needed.
"""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from redwingport_dispatch.interfaces import VmRecord
from redwingport_dispatch.ownership.terms import new_term
from redwingport_messages.dispatch import Presence

# Time between the heartbeats of an owner, and of all processes of a small system.
HEARTBEAT_S = 0.15
# Time between heartbeats to an owner: it needs them only to give up the works of a dead process.
TO_OWNER_HEARTBEAT_S = 0.45
# A process that misses three heartbeats counts as gone.
LIVENESS_TIMEOUT_HEARTBEATS = 10 / 3
LIVENESS_TIMEOUT_S = LIVENESS_TIMEOUT_HEARTBEATS * HEARTBEAT_S
# Beyond this many peers, those that own nothing send fewer heartbeats to each other, by the square
# of the excess: there is a link for each pair, and its heartbeats would outweigh the work.
MAX_FULL_RATE_PEERS = 12
# Processes with at least this share of the heaviest one's weight take shards over.
MIN_OWNER_WEIGHT_SHARE = 0.5
# Processes start within 0.3 s of each other and need time to find each other in the store. One
# that was there before knows from the store who else may come, and can wait less.
STARTUP_GRACE_S = 0.7
# A shard is taken over when it had no owner for this long: while links come back after a cut, an
# owner may be heard before it hears this process.
HOLD_DOWN_S = 0.2
# A process that is not the first in turn to take a shard over waits this much longer for each that
# goes before it: they may be gone without that being noticed yet.
TAKEOVER_STAGGER_S = 0.35
# A peer whose address refuses connections gets this much longer to be heard.
REFUSED_GRACE_S = 0.1
# A peer that was silent this long no longer counts as part of the system.
PEER_RETENTION_S = 30.0


@dataclass(slots=True)
class PeerView:
    """Hold what is known of a peer.

    :param presence: its last message about itself.
    :param heard_at: monotonic time of that message, in seconds.
    """

    presence: Presence
    heard_at: float

    @property
    def liveness_timeout_s(self) -> float:
        """Return the silence after which the peer counts as gone, in seconds."""
        return LIVENESS_TIMEOUT_HEARTBEATS * self.presence.heartbeat_ms / 1000


@dataclass(frozen=True, slots=True)
class ShardOwner:
    """Hold who owns a shard.

    :param owner: incarnation of the owner; empty when there is none.
    :param term: its term.
    """

    owner: str
    term: int


class Election:
    """Decide who owns the shards, from what peers say.

    :param incarnation: random id of this process.
    :param weight: thousandths of a core that this process has.
    :param tag: number that tells this process apart in a term.
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
        """Take in a peer's message about itself, unless a newer one has arrived.

        :returns: whether it says anything that can change who owns a shard.
        """
        view = self.peer_by_incarnation.get(presence.incarnation)
        if view is not None and presence.sequence < view.presence.sequence:
            return False
        was_live = view is not None and now - view.heard_at < view.liveness_timeout_s
        changed = (
            view is None
            or not was_live
            or _ownership_claims(view.presence) != _ownership_claims(presence)
        )
        self.peer_by_incarnation[presence.incarnation] = PeerView(presence, now)
        terms = [term for _, term in presence.owned_terms]
        self.highest_term = max(self.highest_term, presence.term, *terms)
        return changed

    def raise_shard_count(self, count: int) -> None:
        """Take in a higher number of shards; what was owned are parts of another layout."""
        self.shard_count = count
        self.owned_term_by_shard.clear()
        self._ownerless_at_by_shard.clear()

    def end_startup_grace(
        self, records: Sequence[VmRecord], refusing: Collection[str], now: float
    ) -> None:
        """End the grace of a restart if most of the listed processes are heard or gone.

        :param records: the other processes as listed in the store; some may be gone for good.
        :param refusing: addresses that refuse connections: nobody is there, or not yet.
        """
        if now >= self._startup_grace_ends_at or not self.shard_count:
            return
        live = {peer.address for peer in self.live_peers(now)}
        missing = [record for record in records if record.address not in live]
        if any(record.weight > self._weight for record in missing):
            return
        # The first to be back would take all shards; those that come after it shall share them.
        gone = refusing if self.shard_count == 1 else ()
        unknown = sum(record.address not in gone for record in missing)
        if 2 * unknown < len(records) + 1:
            self._startup_grace_ends_at = now
        if not unknown:
            # The live ones have just said that they own nothing.
            held_down_at = now - HOLD_DOWN_S
            self._ownerless_at_by_shard = dict.fromkeys(range(self.shard_count), held_down_at)

    def remove_peer(self, incarnation: str) -> None:
        """Drop a peer that is known to be gone."""
        self.peer_by_incarnation.pop(incarnation, None)

    def note_token(self, token: int) -> None:
        """Take in a token that this process has raised: later terms are higher."""
        self.highest_term = max(self.highest_term, token)

    def shorten_timeout(self, incarnation: str, now: float) -> None:
        """Shorten the wait for a peer whose address refuses connections.

        Nobody listens there, or a cut is answered in its place; a heartbeat undoes this.
        """
        view = self.peer_by_incarnation.get(incarnation)
        if view is not None:
            view.heard_at = min(view.heard_at, now - view.liveness_timeout_s + REFUSED_GRACE_S)

    def hears(self, incarnation: str, now: float) -> bool:
        """Tell whether a peer was heard lately."""
        view = self.peer_by_incarnation.get(incarnation)
        return view is not None and now - view.heard_at < view.liveness_timeout_s

    def is_heard_by(self, incarnation: str, now: float) -> bool:
        """Tell whether a peer says that it hears this process; what it said long ago is void."""
        view = self.peer_by_incarnation.get(incarnation)
        return (
            view is not None
            and now - view.heard_at < view.liveness_timeout_s
            and view.presence.hears_you
        )

    def unheard_s(self, incarnation: str, now: float) -> float:
        """Return the time since a peer was last heard, in seconds; 0 for an unknown one."""
        view = self.peer_by_incarnation.get(incarnation)
        return now - view.heard_at if view is not None else 0.0

    def heartbeat_s(self, incarnation: str) -> float:
        """Return the time between heartbeats to a peer, in seconds."""
        excess = len(self.peer_by_incarnation) / MAX_FULL_RATE_PEERS
        view = self.peer_by_incarnation.get(incarnation)
        if excess <= 1 or view is None or self.owned_term_by_shard:
            return HEARTBEAT_S
        if view.presence.owned_terms:
            return TO_OWNER_HEARTBEAT_S
        return HEARTBEAT_S * excess**2

    def next_timeout_at(self, now: float) -> float:
        """Return the time at which the next live peer counts as gone if it stays silent."""
        ends_at = [
            view.heard_at + view.liveness_timeout_s for view in self.peer_by_incarnation.values()
        ]
        return min((end_at for end_at in ends_at if end_at > now), default=math.inf)

    def live_peers(self, now: float) -> list[Presence]:
        """Return the peers with which messages go in both directions."""
        return [
            view.presence
            for incarnation, view in self.peer_by_incarnation.items()
            if self.is_heard_by(incarnation, now)
        ]

    def reaches_majority(self, now: float) -> bool:
        """Tell whether this process reaches most of the processes it knows of.

        Only such an owner contests servers that obey a higher token. Of two halves the one with
        the lowest incarnation counts as the majority.
        """
        live = [peer.incarnation for peer in self.live_peers(now)]
        known = [
            incarnation
            for incarnation, view in self.peer_by_incarnation.items()
            if now - view.heard_at < PEER_RETENTION_S
        ]
        reached, total = len(live) + 1, len(known) + 1
        if 2 * reached != total:
            return 2 * reached > total
        return min([self.incarnation, *known]) in [self.incarnation, *live]

    def decide(self, now: float, unix_ms: int) -> list[ShardOwner]:
        """Return who owns each shard, and take over those that it is this process's turn to.

        :param unix_ms: time of day, in milliseconds, for new terms.
        :returns: by number of the shard; empty while their number is not known.
        """
        live = self.live_peers(now)
        shard_owners = [self._find_owner(shard, live) for shard in range(self.shard_count)]
        draining_peers = {peer.incarnation for peer in live if peer.draining}
        takeover_at_by_shard = {
            shard: now
            if shard_owner.owner in draining_peers
            else self._takeover_at(shard, shard_owner.owner, now)
            for shard, shard_owner in enumerate(shard_owners)
        }
        ownerless_shards = [shard for shard, at in takeover_at_by_shard.items() if at <= now]
        candidates = self._rank_candidates(live)
        if self.incarnation in candidates and now >= self._startup_grace_ends_at:
            own_rank = candidates.index(self.incarnation)
            for position, shard in enumerate(ownerless_shards):
                ranks_before = (own_rank - position) % len(candidates)
                earliest_at = max(takeover_at_by_shard[shard], self._startup_grace_ends_at)
                if now >= earliest_at + ranks_before * TAKEOVER_STAGGER_S:
                    shard_owners[shard] = self._take_over(shard, unix_ms)
        return shard_owners

    def _find_owner(self, shard: int, live: Sequence[Presence]) -> ShardOwner:
        claims = [
            (term, peer.incarnation)
            for peer in live
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
        """Return the time from which a shard may be taken over."""
        if owner:
            self._ownerless_at_by_shard.pop(shard, None)
            return math.inf
        return self._ownerless_at_by_shard.setdefault(shard, now) + HOLD_DOWN_S

    def _rank_candidates(self, live: Sequence[Presence]) -> list[str]:
        """Return the processes that take shards over, the first in turn first."""
        ranks = [
            (-len(peer.owned_terms), peer.weight, peer.incarnation)
            for peer in live
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
        """Drop peers that were silent for long."""
        for incarnation, view in list(self.peer_by_incarnation.items()):
            if now - view.heard_at >= PEER_RETENTION_S:
                del self.peer_by_incarnation[incarnation]


def _ownership_claims(presence: Presence) -> tuple[object, ...]:
    return presence.shards, presence.owned_terms, presence.draining, presence.hears_you
