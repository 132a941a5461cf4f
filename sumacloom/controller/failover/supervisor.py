"""The failover supervisor: probes suspected primaries, and starts the plans that services need."""

import logging
from typing import TYPE_CHECKING

import curio

from sumacloom.controller.failover import lease_confirmation
from sumacloom.controller.failover.commands import BackendQuery
from sumacloom.controller.failover.executor import (
    PROBE_TIMEOUT_S,
    REFUSED,
    WRONG_HOST,
    CommandExecutor,
    UnclearCall,
)
from sumacloom.controller.failover.lease_confirmation import HeldLease
from sumacloom.controller.failover.plan_selection import SelectedPlan, ServiceView, select_plan
from sumacloom.transport.updates import BackendRecord

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

logger = logging.getLogger(__name__)

PROBE_EVERY_S = 0.2
UNREACHABLE_S = 0.15  # how long a quorum must find a primary unreachable before it is replaced
NEW_PRIMARY_S = 2.5  # how long a promoted backend may take to say that it is the primary
POLL_S = 0.05
LEASE_RETRY_S = 0.2
FIRST_RETRY_S, MAX_RETRY_S = 0.1, 1.0
HELD_BACK_RETRY_S = 0.25  # while a log that no promotion left behind is waited for

LeaseIdentity = tuple[str, int]
"""Holder and nonce: one holding of the lease, whatever its token."""


class FailoverSupervisor:
    """Watches over primaries.

    Attributes:
        plans: per service, the name of the plan under way.
    """

    def __init__(self, process: "ControllerProcess", executor: CommandExecutor):
        self._process = process
        self._executor = executor
        self.plans: dict[str, str] = {}
        self._probing: set[str] = set()
        self._failed_plans: dict[str, int] = {}
        self._without_primary_since: dict[str, float] = {}
        self._known_lease: LeaseIdentity | None = None  # the holding that unclear calls belong to

    # ------------------------------------------------------------ probes
    async def on_timer(self, now: float) -> None:
        """Probes suspects; as lease holder, starts the plans that services need."""
        await self._probe_suspects(now)
        core = self._process.core
        if not core.failover_lease.is_held(now):
            return
        self._inherit_unclear_calls()
        if now >= lease_confirmation.first_call_at(core):
            await self._start_plans(now)

    async def _probe_suspects(self, now: float) -> None:
        registry, records = self._process.core.registry, self._process.core.cache.records
        for name in list(registry.probe_failed_since):
            if name not in records or records[name].is_gone:
                del registry.probe_failed_since[name]
        heartbeat_s = self._process.settings.beat_ms / 1000
        for name in registry.suspects(heartbeat_s, now):
            if name not in self._probing:
                self._probing.add(name)
                await curio.spawn(self._probe, records[name], daemon=True)

    async def _probe(self, record: BackendRecord) -> None:
        """Logs in at a suspected primary."""
        core, started_at = self._process.core, self._process.now()
        result = await self._executor.query_backend(
            BackendQuery(record, ""), timeout_s=PROBE_TIMEOUT_S
        )
        failed_since = core.registry.probe_failed_since
        if result not in (None, REFUSED, WRONG_HOST):
            failed_since.pop(record.name, None)
        elif record.name not in failed_since:
            failed_since[record.name] = started_at
            logger.info("the primary %s can't be reached from here", record.name)
            core.broadcast(core.peer_heartbeat(self._process.now()))
        await curio.sleep(PROBE_EVERY_S)
        self._probing.discard(record.name)

    # ------------------------------------------------------------ plans
    def _inherit_unclear_calls(self) -> None:
        """What an earlier holder left unfinished may yet take effect; the first holder has none before it."""
        core = self._process.core
        lease = core.failover_lease.value
        if lease is None or self._known_lease == (lease.holder, lease.nonce):
            return
        self._known_lease = (lease.holder, lease.nonce)
        unclear = UnclearCall(lease.fencing_token - 1, lease_confirmation.first_call_at(core))
        services = {record.service for record in core.cache.records.values()}
        first = lease.fencing_token <= 1
        self._executor.unclear_calls = {} if first else dict.fromkeys(services, unclear)

    async def _start_plans(self, now: float) -> None:
        core = self._process.core
        by_service: dict[str, list[BackendRecord]] = {}
        for record in core.cache.records.values():
            by_service.setdefault(record.service, []).append(record)
        configuration = core.cache.configuration
        sync_acks = {one.name: one.sync_acks for one in configuration.svcs} if configuration else {}
        for service, records in by_service.items():
            self._track_primary(service, records, now)
            if service in self.plans or service not in sync_acks:
                continue
            selected = select_plan(self._view(service, records, sync_acks[service], now), now)
            if selected:
                self.plans[service] = selected.name
                await curio.spawn(self._carry_out, service, selected, daemon=True)

    def _track_primary(self, service: str, records: list[BackendRecord], now: float) -> None:
        if any(record.is_primary and not record.is_gone for record in records):
            self._without_primary_since.pop(service, None)
        else:
            self._without_primary_since.setdefault(service, now)

    def _view(
        self, service: str, records: list[BackendRecord], sync_acks: int, now: float
    ) -> ServiceView:
        core = self._process.core
        voters = len(core.acceptor.quorum.new)
        return ServiceView(
            service,
            records,
            core.cache.zones,
            lambda name: core.registry.unreachable_since(name, voters, now),
            sync_acks,
            UNREACHABLE_S,
            self._without_primary_since.get(service),
            service in self._executor.unclear_calls,
            core.promotions_of(service),
        )

    async def _carry_out(self, service: str, selected: SelectedPlan) -> None:
        """Runs one plan, after a quorum has confirmed that the lease is ours."""
        try:
            await self._run_confirmed(service, selected)
        finally:
            self.plans.pop(service, None)

    async def _run_confirmed(self, service: str, selected: SelectedPlan) -> None:
        process, lease = self._process, self._process.core.failover_lease
        read = await lease_confirmation.read_lease(process)
        value = lease.value
        confirmed = read.error is None and value is not None and read.lease() == value
        if value is None or not confirmed or not lease.is_held(process.now()):
            await curio.sleep(LEASE_RETRY_S)
            return
        logger.info("%s for %s begins", selected.name, service)
        unclear = service in self._executor.unclear_calls
        primary = await self._executor.run_plan(selected.plan, HeldLease(value, read))
        if primary and unclear:
            self._executor.unclear_calls.pop(service, None)
        logger.info(
            "%s for %s ended, %s is the primary", selected.name, service, primary or "nobody new"
        )
        if primary:
            self._failed_plans[service] = 0
            self._executor.held_back.end(service)
            await self._await_primary(primary)
            await self._confirm_promotion(service, primary)
        else:
            await self._back_off(service)

    async def _confirm_promotion(self, service: str, name: str) -> None:
        """Records which term the newest promotion led, unless that is known."""
        core = self._process.core
        record, history = core.cache.records.get(name), core.promotions_of(service)
        if record and record.is_primary and history and not history[-1].led_term:
            await self._executor.confirm_promotion(service, record)

    async def _back_off(self, service: str) -> None:
        if service in self._executor.held_back.services:
            await curio.sleep(HELD_BACK_RETRY_S)
            return
        failed = self._failed_plans[service] = self._failed_plans.get(service, 0) + 1
        await curio.sleep(min(MAX_RETRY_S, FIRST_RETRY_S * 2**failed))

    async def _await_primary(self, name: str) -> None:
        """Waits until a promoted backend says itself that it is the primary."""
        started_at = self._process.now()
        while self._process.now() - started_at < NEW_PRIMARY_S:
            record = self._process.core.cache.records.get(name)
            if record is None or record.is_primary:
                return
            await curio.sleep(POLL_S)
