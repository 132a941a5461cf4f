"""What becomes of a pooler's sessions with controllers: counted for the metrics, and logged."""

import logging

logger = logging.getLogger("sumacloom.pooler.controller_session")
REPEAT_S = 1.0  # between two lines about a session that does not come about


class SessionLog:
    """Counts and logs attempts, sessions and their ends.

    Attributes:
        opened: sessions opened.
        ended: sessions ended.
        dials_failed: connections that could not be opened.
    """

    def __init__(self, now: float) -> None:
        self.opened = self.ended = self.dials_failed = 0
        self._without_since: float | None = now  # since when there is no session; None: there is
        self._failed_since = 0  # attempts failed since then
        self._logged_at = now
        self._held = 0

    def dial_failed(self, address: str, error: OSError, now: float) -> None:
        """A controller could not be reached; told once a second while there is no session.

        Args:
            address: the controller's.
            error: why.
            now: seconds on the steady clock.
        """
        self.dials_failed += 1
        self._failed_since += 1
        if self._without_since is None or now - self._logged_at < REPEAT_S:
            return
        self._logged_at = now
        logger.warning(
            "no session with a controller for %.1f s, %d attempts failed, the last at %s: %s;"
            " the configuration held is %d",
            now - self._without_since,
            self._failed_since,
            address,
            error,
            self._held,
        )

    def session_opened(self, address: str, now: float) -> None:
        """A connection to a controller stands."""
        self.opened += 1
        without_s = 0.0 if self._without_since is None else now - self._without_since
        logger.info(
            "in session with the controller at %s after %.2f s and %d failed attempts",
            address,
            without_s,
            self._failed_since,
        )
        self._without_since, self._failed_since = None, 0

    def session_ended(self, address: str, reason: str, held: int, now: float) -> None:
        """The session is over.

        Args:
            address: the controller's.
            reason: why.
            held: the version of the configuration held.
            now: seconds on the steady clock.
        """
        self.ended += 1
        self._held = held
        self._without_since = self._logged_at = now
        logger.info("the session with the controller at %s ended: %s", address, reason)
