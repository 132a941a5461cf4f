"""The paper's health: which replicas of a service may serve reads.

Kept per replica: last position, lag behind the freshest replica seen, when soft lag began,
how long it has been inside the band. The state machine `replica` decides; this module measures.
"""

import logging
from collections import deque

from sumacloom.settings import Health
from sumacloom.state_machines import load_state_machine
from sumacloom.types import LOG_START, Position

logger = logging.getLogger(__name__)
STATE_MACHINE = load_state_machine("replica_health")
TIP_STEP_S = 0.25
SHOWN = 1.2  # sweeps: a position shown so lately, here or by way of the controllers, spares a STAT
LEAST_SOFT, LEAST_HARD = 3, 8  # positions; the source's own figures, kept as least widths


class Replica:
    """What a pooler knows of one replica's freshness."""

    __slots__ = (
        "band_since",
        "lag",
        "name",
        "own_at",
        "position",
        "seen_at",
        "soft_since",
        "state",
    )

    def __init__(self, name: str):
        self.name = name
        self.state = STATE_MACHINE.start
        self.position = LOG_START
        self.lag = 0
        self.seen_at = self.own_at = None
        self.soft_since = self.band_since = 0.0


class ReplicaHealth:
    """The replicas of one service that serve reads.

    >>> replica_health = ReplicaHealth(Health())
    >>> replica_health.see("a", Position(1, 10), 0.0); replica_health.see("b", Position(1, 9), 0.1)
    >>> [replica.name for replica in replica_health.eligible()]
    ['a', 'b']
    """

    def __init__(self, health: Health, turn: float = 0.0):
        self.health = health
        self.replicas = {}
        self.tip = LOG_START
        self.tips = deque(maxlen=32)
        self.frozen = False
        self.turn = (
            turn  # 0 to 1: who sweeps first differs by pooler and service, and spares the rest
        )

    def lag_limits(self) -> tuple[int, int]:
        """The soft and the hard width in positions, from the commit rate seen.

        >>> ReplicaHealth(Health()).lag_limits()
        (3, 8)
        """
        rate = 0.0
        if len(self.tips) > 1:
            (first_at, first), (last_at, last) = self.tips[0], self.tips[-1]
            if last_at > first_at and last.term == first.term:
                rate = (last.number - first.number) / (last_at - first_at)
        return (
            max(LEAST_SOFT, round(rate * self.health.soft_lag_ms / 1000)),
            max(LEAST_HARD, round(rate * self.health.hard_lag_ms / 1000)),
        )

    def see(self, name: str, position: Position, now: float, own: bool = True) -> None:
        """Takes a position read from a replica, by a sweep, by ordinary traffic, or seen by another pooler.

        The lag is counted against the freshest replica as it stood at the moment of that reading.

        >>> replica_health = ReplicaHealth(Health())
        >>> replica_health.see("a", Position(1, 50), 0.0); replica_health.see("b", Position(1, 1), 0.1)
        >>> [replica.name for replica in replica_health.eligible()]
        ['a']
        """
        if self.frozen:
            return
        replica = self.replicas.get(name)
        if replica is None:
            replica = self.replicas[name] = Replica(name)
        if replica.seen_at is not None and now < replica.seen_at:
            return
        if position > self.tip:
            if (
                not self.tips
                or now - self.tips[-1][0] >= TIP_STEP_S
                or position.term != self.tip.term
            ):
                self.tips.append((now, position))
            self.tip = position
        tip = self.tip_at(now)
        first = replica.seen_at is None
        replica.position, replica.seen_at = position, now
        replica.own_at = now if own else replica.own_at
        behind = tip.term > position.term
        soft, hard = self.lag_limits()
        replica.lag = hard if behind else max(0, tip.number - position.number)
        if replica.lag <= soft:
            self.apply(replica, "first" if first else "band", now)
            if replica.state == "staying" and now - replica.band_since >= self.health.readmit_s:
                self.apply(replica, "stayed", now)
        elif replica.lag < hard:
            self.apply(replica, "soft", now)
            graced_out = (
                replica.state == "lagging" and now - replica.soft_since >= self.health.grace_s
            )
            if graced_out and len(self.eligible()) > self.health.floor:
                self.apply(replica, "graced_out", now)
        else:
            self.apply(replica, "hard", now)

    def tip_at(self, moment: float) -> Position:
        """The freshest position known at a moment.

        >>> replica_health = ReplicaHealth(Health()); replica_health.see("a", Position(1, 5), 1.0); replica_health.see("a", Position(1, 9), 2.0)
        >>> replica_health.tip_at(1.5), replica_health.tip_at(2.5)
        (Position(term=1, number=5), Position(term=1, number=9))
        """
        if not self.tips or moment >= self.tips[-1][0] + TIP_STEP_S:
            return self.tip
        return max((position for seen, position in self.tips if seen <= moment), default=LOG_START)

    def silent(self, name: str, now: float) -> None:
        """A sweep or a connection of that replica got no answer.

        >>> replica_health = ReplicaHealth(Health()); replica_health.see("a", Position(1, 1), 0.0)
        >>> replica_health.silent("a", 1.0); replica_health.eligible()
        []
        """
        replica = self.replicas.get(name)
        if replica and not self.frozen:
            self.apply(replica, "silent", now)

    def forget(self, name: str) -> None:
        """The replica is gone, or is the primary now.

        >>> ReplicaHealth(Health()).forget("a")
        """
        self.replicas.pop(name, None)

    def apply(self, replica: Replica, event: str, now: float) -> None:
        """Runs one event through the state machine and does what it says.

        >>> replica_health = ReplicaHealth(Health()); replica = Replica("a")
        >>> replica_health.apply(replica, "first", 0.0); replica.state
        'inside'
        """
        replica.state, actions = STATE_MACHINE.step(replica.state, event)
        for action in actions:
            if action == "mark_soft":
                replica.soft_since = now
            elif action == "mark_band":
                replica.band_since = now
            elif action == "say_evicted":
                logger.info(
                    "the replica %s is ejected (%s, %d behind)",
                    replica.name,
                    event,
                    replica.lag,
                )
            elif action == "say_readmitted":
                logger.info("the replica %s serves reads again", replica.name)

    def eligible(self) -> list[Replica]:
        """The replicas that serve reads.

        >>> ReplicaHealth(Health()).eligible()
        []
        """
        return [
            replica for replica in self.replicas.values() if replica.state in ("inside", "lagging")
        ]

    def due(self, name: str, now: float) -> bool:
        """Whether this sweep must ask the replica, traffic not having shown its position.

        >>> ReplicaHealth(Health()).due("a", 5.0)
        True
        """
        replica = self.replicas.get(name)
        return (
            replica is None
            or replica.seen_at is None
            or now - replica.seen_at >= self.health.sweep_s * (SHOWN + self.turn)
        )
