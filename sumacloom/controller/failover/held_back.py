"""Services that wait: all that answers has a log that an earlier promotion left behind."""

import logging
from typing import NamedTuple

logger = logging.getLogger(__name__)


class HeldBack(NamedTuple):
    """A service that waits.

    Attributes:
        since: when it was first found so, in seconds on the steady clock.
        backends: whose logs were left behind.
    """

    since: float
    backends: tuple[str, ...]


class HeldBackLogs:
    """The services that wait at this controller, and for how long; a new holder of the lease counts anew.

    >>> logs = HeldBackLogs(15.0)
    >>> [logs.may_lead("s", ("i-1",), now) for now in (0.0, 14.9, 15.0)]
    [False, False, True]
    """

    def __init__(self, longest_s: float) -> None:
        self._longest_s = longest_s
        self.services: dict[str, HeldBack] = {}

    def may_lead(self, service: str, backends: tuple[str, ...], now: float) -> bool:
        """Whether one of these may lead, since the service has waited long enough for another."""
        known = self.services.get(service)
        since = known.since if known else now
        self.services[service] = HeldBack(since, backends)
        names = ", ".join(backends)
        if known is None:
            logger.warning(
                "no primary for %s: the log of %s was left behind by an earlier promotion;"
                " another is waited for, %.0f s at most",
                service,
                names,
                self._longest_s,
            )
        if now - since < self._longest_s:
            return False
        logger.warning(
            "%s waited %.0f s: the log of %s leads though it was left behind, commits that were"
            " cut back are in force again",
            service,
            now - since,
            names,
        )
        return True

    def end(self, service: str) -> None:
        """The service has a primary."""
        self.services.pop(service, None)
