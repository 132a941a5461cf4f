"""Orders without a number: a late copy looks like a new one, so each counts only while its caller waits."""

from typing import TYPE_CHECKING

from sumacloom.consensus.codec import Change
from sumacloom.errors import CallerGoneError, ProcessStalledError
from sumacloom.http import Request

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess


def unless_abandoned(request: Request, change: Change) -> Change:
    """The change, for as long as its caller waits: one that gave up may have ordered the contrary since."""

    def checked(current: bytes | None) -> bytes | None:
        if request.is_abandoned():
            raise CallerGoneError
        return change(current)

    return checked


async def commit_order(
    process: "ControllerProcess", request: Request, key: str, change: Change
) -> bytes | None:
    """Commits an order without a number; returns the register's value.

    Raises:
        ProcessStalledError: this process was stalled a moment ago, so the order may be old.
        CallerGoneError: the caller has closed its connection.
        SumacloomError: the change was refused, or no quorum answered in time.
    """
    if process.is_waking():
        raise ProcessStalledError
    return await process.commit(key, unless_abandoned(request, change))
