"""Decides which plan a service needs, from what is known of it at a moment."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from sumacloom.controller.failover.plans import Plan, fail_over, release_replicas, switch_over
from sumacloom.controller.registers.promotions import Promotion
from sumacloom.transport.updates import BackendRecord

# names of plans, as logs and the admin API show them
FAIL_OVER, SWITCH_OVER, RELEASE_REPLICAS = "replace_dead", "hand_over", "look_over"


class SelectedPlan(NamedTuple):
    """A plan and its name."""

    name: str
    plan: Plan


class ServiceView(NamedTuple):
    """What is known of one service at a moment.

    Attributes:
        records: its backends.
        drained_zones: zones whose backends get nothing more.
        unreachable_since: since when a quorum can't reach a backend, by its name; None if it can.
        sync_acks: how many replicas must have received a commit before it is answered.
        unreachable_s: how long a primary must be unreachable before it is replaced.
        without_primary_since: since when no backend says that it is the primary; None if one does.
        unclear: whether an earlier call for this service may yet take effect.
        history: the promotions that were decided for it, the oldest first.
    """

    service: str
    records: list[BackendRecord]
    drained_zones: list[str]
    unreachable_since: Callable[[str], float | None]
    sync_acks: int
    unreachable_s: float
    without_primary_since: float | None
    unclear: bool = False
    history: tuple[Promotion, ...] = ()


def select_plan(view: ServiceView, now: float) -> SelectedPlan | None:
    """The plan that a service needs now, if any."""
    present = [record for record in view.records if not record.is_gone]
    primaries = [record for record in present if record.is_primary]
    replicas = [record for record in present if not record.is_primary]
    up = [record for record in replicas if record.phase == "up"]
    elsewhere = [record for record in up if record.zone not in view.drained_zones]
    good = elsewhere or up
    if not good:
        return None
    # with sync_acks every replica counts, since any may hold the newest commit
    candidates = replicas if view.sync_acks else good
    service, sync_acks = view.service, view.sync_acks
    unclear, history = view.unclear, view.history
    if not primaries:
        since = view.without_primary_since
        if since is None or now - since < view.unreachable_s:
            return None
        plan = fail_over(service, None, candidates, sync_acks, unclear, history)
        return SelectedPlan(FAIL_OVER, plan)
    living = [record for record in primaries if view.unreachable_since(record.name) is None]
    if not living:
        times = [view.unreachable_since(record.name) for record in primaries]
        if now - max(time for time in times if time is not None) < view.unreachable_s:
            return None
        dead = primaries[0]
        if sync_acks:
            # a former primary goes on as a replica of its successor, and may hold the newest commit
            dead = last_promoted(primaries, history)
            candidates = [record for record in present if record is not dead]
        plan = fail_over(service, dead, candidates, sync_acks, unclear, history)
        return SelectedPlan(FAIL_OVER, plan)
    leaver = living[0]
    if len(living) == 1 and leaver.phase == "draining":
        plan = switch_over(service, leaver, candidates, sync_acks, unclear, history)
        return SelectedPlan(SWITCH_OVER, plan)
    if len(living) == 1 and leaver.zone in view.drained_zones and elsewhere:
        plan = switch_over(service, leaver, elsewhere, sync_acks, unclear, history)
        return SelectedPlan(SWITCH_OVER, plan)
    if unclear and sync_acks:
        return SelectedPlan(RELEASE_REPLICAS, release_replicas(service, present))
    return None


def last_promoted(
    primaries: Sequence[BackendRecord], history: Sequence[Promotion]
) -> BackendRecord:
    """Of the backends that said last that they are the primary, the one that was promoted last.

    >>> records = [BackendRecord(name, "s", "10.0.0.1:80", "a") for name in ("i-1", "i-2")]
    >>> last_promoted(records, [Promotion("i-1", 0, 1, 1, 5), Promotion("i-2", 0, 2, 2, 9)]).name
    'i-2'
    """
    by_name = {record.name: record for record in primaries}
    for promotion in reversed(history):
        if promotion.backend in by_name:
            return by_name[promotion.backend]
    return primaries[0]
