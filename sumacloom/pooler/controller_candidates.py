"""Which controllers a pooler knows, and in which order it tries them. No sockets here.

Who failed least in a row is tried first, then the nearest: an address at which nobody is left fails each
time, and so stands behind every controller that answers.
"""

from collections.abc import Iterable
from dataclasses import dataclass

RETRY_S = (
    3.0  # until a controller that failed is looked at as a nearer one; doubled for each failure
)
MAX_DOUBLINGS = 2
NEARER_SHARE = 0.25  # of the present latency: what is worth a change of session
MAX_CANDIDATES = 16
FORGET_S = 120.0  # a controller that fails and that nobody has named for so long is dropped


@dataclass
class Candidate:
    """What is known of one controller.

    Attributes:
        named_at: when a controller or the settings named it last.
        latency_s: how long the newest connection took; None before the first.
        failures: in a row, since a controller in a quorum answered there; a failure of all counts as one.
        retry_at: before this it isn't looked at as a nearer one.
    """

    named_at: float
    latency_s: float | None = None
    failures: int = 0
    retry_at: float = 0.0


class ControllerCandidates:
    """The controllers by address, `IP:PORT`; times are in seconds on the steady clock.

    >>> candidates = ControllerCandidates(["a:1", "b:1"], 0.0)
    >>> candidates.record_latency("a:1", 0.001); candidates.record_latency("b:1", 0.04)
    >>> candidates.order()
    ['a:1', 'b:1']
    >>> candidates.record_failure("a:1", 0.0); candidates.order()
    ['b:1', 'a:1']
    """

    def __init__(self, seeds: Iterable[str], now: float) -> None:
        self._seeds = list(seeds)
        self._known: dict[str, Candidate] = {}
        self.learn(self._seeds, now)

    def __len__(self) -> int:
        return len(self._known)

    @property
    def least_failures(self) -> int:
        """The failures in a row of the one that failed least."""
        return min((candidate.failures for candidate in self._known.values()), default=0)

    def learn(self, addresses: Iterable[str], now: float) -> None:
        """A controller or the settings name these."""
        for address in addresses:
            self._known.setdefault(address, Candidate(now)).named_at = now
        self._forget(now)

    def replace_seeds(self, seeds: Iterable[str], now: float) -> None:
        """The settings were read again."""
        self._seeds = list(seeds)
        self.learn(self._seeds, now)

    def order(self) -> list[str]:
        """All addresses in the order in which they are tried: least failures first, then the nearest."""
        return sorted(self._known, key=self._rank)

    def others(self, address: str) -> list[str]:
        """All but one, in the same order."""
        return [other for other in self.order() if other != address]

    def nearer_than(self, address: str, now: float) -> list[str]:
        """Those that may be clearly nearer than a controller and are due to be looked at."""
        return [
            other
            for other in self.others(address)
            if self._known[other].retry_at <= now and self.is_nearer(other, address)
        ]

    def is_nearer(self, address: str, than: str) -> bool:
        """Whether a controller is clearly nearer than another; one never measured may be."""
        latency_s = self._latency_s(address)
        reference_s = self._latency_s(than)
        if latency_s is None or reference_s is None:
            return latency_s is None
        return latency_s < reference_s * NEARER_SHARE

    def is_measured(self, address: str) -> bool:
        """Whether a connection there was ever opened."""
        return self._latency_s(address) is not None

    def record_latency(self, address: str, latency_s: float) -> None:
        """A connection to a controller took so long."""
        if address in self._known:
            self._known[address].latency_s = latency_s

    def record_failure(self, address: str, now: float) -> None:
        """A controller could not be reached, went quiet, or was not in a quorum."""
        candidate = self._known.get(address)
        if candidate is None:
            return
        candidate.retry_at = now + RETRY_S * 2 ** min(candidate.failures, MAX_DOUBLINGS)
        candidate.failures += 1

    def record_round_failed(self, now: float) -> None:
        """Nobody answered: that tells the candidates apart no more."""
        for candidate in self._known.values():
            candidate.failures, candidate.retry_at = 1, now + RETRY_S

    def record_answer(self, address: str) -> None:
        """A controller in a quorum answered there."""
        if address in self._known:
            self._known[address].failures = 0

    def _rank(self, address: str) -> tuple[int, float]:
        candidate = self._known[address]
        latency_s = float("inf") if candidate.latency_s is None else candidate.latency_s
        return candidate.failures, latency_s

    def _latency_s(self, address: str) -> float | None:
        candidate = self._known.get(address)
        return candidate.latency_s if candidate else None

    def _forget(self, now: float) -> None:
        """Drops what failed and isn't named any more, and the worst beyond what is kept."""
        for address, candidate in list(self._known.items()):
            is_stale = candidate.failures > 0 and now - candidate.named_at > FORGET_S
            if is_stale and address not in self._seeds:
                del self._known[address]
        excess = len(self._known) - MAX_CANDIDATES
        if excess > 0:
            dispensable = [address for address in self.order() if address not in self._seeds]
            for address in dispensable[-excess:]:
                del self._known[address]
