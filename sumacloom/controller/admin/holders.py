"""Rows that say which version of something each node holds, for the tables that compare nodes."""

from typing import TYPE_CHECKING, Any

from sumacloom.transport.messages import POOLER_ROLE

if TYPE_CHECKING:
    from sumacloom.controller.core import ControllerCore

NO_ANSWER = "does not answer"


def holder_row(
    node: str, role: str, version: int = 0, digest: str = "", why: str = "", **counts: int
) -> dict[str, Any]:
    """What one node holds; `why` says why it holds nothing."""
    return {
        "node": node,
        "role": role,
        "generation": version,
        "digest": digest,
        **counts,
        "why": why,
    }


def unanswered_rows(
    core: "ControllerCore", poolers: list[dict[str, Any]], **counts: int
) -> list[dict[str, Any]]:
    """Rows of the poolers in session here, or lost, that are not among those that answered."""
    known = {*core.members.sessions, *core.members.lost(core.now)}
    silent = sorted(known - {row["node"] for row in poolers})
    return [holder_row(name, POOLER_ROLE, 0, "", NO_ANSWER, **counts) for name in silent]
