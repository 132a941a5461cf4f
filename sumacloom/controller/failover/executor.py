"""Runs the commands of failover plans: texts for backends, calls to the platform, reads of the registry."""

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import curio

from sumacloom.controller.failover import lease_confirmation
from sumacloom.controller.failover.backend_status import BackendStatus, parse_status
from sumacloom.controller.failover.commands import (
    AnnouncePrimary,
    BackendQuery,
    Command,
    HoldBack,
    ListBackends,
    Promote,
    RaiseFencingToken,
    Wait,
    is_refusal,
)
from sumacloom.controller.failover.held_back import HeldBackLogs
from sumacloom.controller.failover.lease_confirmation import HeldLease
from sumacloom.controller.failover.plans import Plan
from sumacloom.controller.failover.promotion_recorder import PromotionRecorder
from sumacloom.controller.registers import FAILOVER_LEASE_KEY
from sumacloom.controller.registers.lease import acquire_lease
from sumacloom.errors import SumacloomError
from sumacloom.http import call
from sumacloom.line_protocol import LineSplitter, encode
from sumacloom.settings import split_address
from sumacloom.transport.link import RECEIVE_BYTES, dial
from sumacloom.transport.messages import PrimaryPending
from sumacloom.transport.updates import BackendRecord
from sumacloom.types import NEVER

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

logger = logging.getLogger(__name__)

QUERY_TIMEOUT_S = 0.7
PROBE_TIMEOUT_S = 0.3
OTHERS_S = 0.15  # how long the rest of a batch is waited for once one backend has answered
PROMOTE_TIMEOUT_S = 1.2
BATCH_POLL_S = 0.01

# results of a query besides a status and a backend's own error code
READY, REFUSED, RESET, WRONG_HOST = "READY", "REFUSED", "RESET", "WRONGHOST"


class UnclearCall(NamedTuple):
    """A call to the platform that may yet take effect: its token, and until when."""

    fencing_token: int
    until: float


class LeaseNotConfirmedError(ConnectionAbortedError):
    """No quorum confirmed the lease in time: the call never leaves."""


class CommandExecutor:
    """Runs commands and whole plans.

    Attributes:
        unclear_calls: services for which a promotion may yet take effect.
        platform_calls: when the last calls to the platform left.
        held_back: services that wait for a log that no promotion left behind.
        recorder: writes down what is decided.
    """

    def __init__(self, process: "ControllerProcess"):
        self._process = process
        self.unclear_calls: dict[str, UnclearCall] = {}
        self.platform_calls: deque[float] = deque()
        self.held_back = HeldBackLogs(process.settings.failover.left_behind_s)
        self.recorder = PromotionRecorder(process)
        self._runners: dict[type, Callable[..., Awaitable[Any]]] = {
            BackendQuery: self.query_backend,
            Promote: self.promote,
            HoldBack: self.hold_back,
            AnnouncePrimary: self.announce_primary,
            RaiseFencingToken: self.raise_fencing_token,
            ListBackends: self.list_backends,
            Wait: self.wait,
        }

    # ------------------------------------------------------------ plans
    async def run_plan(self, plan: Plan, held_lease: HeldLease) -> str | None:
        """Walks a plan to its end; returns what it returns.

        Returns None where it was given up: the lease is lost, or this process was stalled meanwhile.
        """
        process, started_at = self._process, self._process.now()
        try:
            commands = next(plan)
            while True:
                now = process.now()
                stalled = process.stalls.stalled_since(started_at, now)
                if stalled or not process.core.failover_lease.is_held(now):
                    plan.close()
                    return None
                commands = plan.send(await self.run_batch(commands, held_lease))
        except StopIteration as end:
            return end.value

    async def run_batch(self, commands: list[Command], held_lease: HeldLease) -> dict[Any, Any]:
        """Runs commands side by side; returns the result of each.

        Once a backend has answered, silent ones are waited for a little only, but for patient queries.
        """
        results: dict[Any, Any] = dict.fromkeys(commands)
        tasks = {
            command: await curio.spawn(self._runners[type(command)], command, held_lease)
            for command in commands
        }
        answered_at: float | None = None
        while any(not task.terminated for task in tasks.values()):
            now = self._process.now()
            if answered_at is None and any(_has_status(task) for task in tasks.values()):
                answered_at = now
            patient = any(
                not task.terminated
                for command, task in tasks.items()
                if isinstance(command, BackendQuery) and command.patient
            )
            if not patient and answered_at is not None and now - answered_at >= OTHERS_S:
                break
            await curio.sleep(BATCH_POLL_S)
        for command, task in tasks.items():
            if task.terminated:
                results[command] = await task.join()
            else:
                await task.cancel()
        return results

    # ------------------------------------------------------------ backends
    async def query_backend(
        self,
        command: BackendQuery,
        _held_lease: HeldLease | None = None,
        timeout_s: float = QUERY_TIMEOUT_S,
    ) -> BackendStatus | str | None:
        """Sends one text to one backend.

        Returns:
            Its status, an error code, READY if there was no text, REFUSED if nothing listens there, RESET
            if it ended the connection (too many of them, but not dead), or None for silence.
        """
        started_at = self._process.now()
        try:
            async with curio.timeout_after(timeout_s):
                sock = await dial(*split_address(command.backend.address))
                async with sock:
                    return await self._exchange(sock, command, started_at + timeout_s)
        except ConnectionRefusedError:
            return REFUSED
        except ConnectionResetError:
            return RESET
        except (OSError, curio.TaskTimeout, IndexError):
            return None

    async def _exchange(
        self, sock: Any, command: BackendQuery, deadline: float
    ) -> BackendStatus | str | None:
        backend, splitter = command.backend, LineSplitter()
        login = f"LOGIN {backend.service} {self._process.settings.node} {backend.name}"
        await sock.sendall(encode(login))
        line = (await _read_lines(sock, splitter, ("READY", "ERR")))[-1]
        if line.startswith("ERR"):
            return line.split(" ")[1]
        if not command.text:
            return READY
        if self._process.now() > deadline:
            return None  # this process was stalled: what the plan meant to say may be out of date
        await sock.sendall(encode(f"QUERY - {command.text}"))
        lines = await _read_lines(sock, splitter, ("DONE", "ERR"))
        await sock.sendall(encode("QUIT"))
        if lines[-1].startswith("ERR"):
            return lines[-1].split(" ")[1]
        rows = [line.removeprefix("ROW ") for line in lines if line.startswith("ROW ")]
        return parse_status(rows[0]) if rows else None

    async def list_backends(
        self, command: ListBackends, _held_lease: HeldLease | None = None
    ) -> set[str]:
        """The replicas of a service that are there now."""
        return {
            record.name
            for record in self._process.core.cache.records.values()
            if record.service == command.service and not record.is_gone and not record.is_primary
        }

    # ------------------------------------------------------------ platform
    async def promote(self, command: Promote, held_lease: HeldLease) -> int | None:
        """Tells the platform which backend takes over.

        The lease is read at a quorum while the connection is made, unless the plan began by a young read.
        How old that read is, and that the lease is still the plan's, is checked once both are there, and
        nothing waits between that check and the call. Meanwhile the decision is recorded at a quorum; without
        that no call leaves, and one that surely had no effect is taken back. From the moment it leaves the
        call counts as one that may yet take effect, until a clear answer is read: also where the plan ends
        meanwhile. The next plan then begins with a higher token than that call's.

        Returns:
            The HTTP status, 0 for silence, or None if the call never left.
        """
        process, service = self._process, command.service
        headers = (
            ("X-Holder", process.settings.node),
            ("X-Fence", str(held_lease.value.fencing_token)),
        )
        body = b'{"svc":"%s","id":"%s"}' % (service.encode(), command.backend.encode())
        sent: list[
            UnclearCall | None
        ] = []  # the unclear call before this one, once this one leaves

        async def dial_confirmed(host: str, port: int) -> Any:
            sock = await self._dial_confirmed(host, port, held_lease, command)
            sent.append(self.unclear_calls.get(service))
            self.unclear_calls[service] = UnclearCall(
                held_lease.value.fencing_token, process.now() + lease_confirmation.FLIGHT_S
            )
            return sock

        await self._respect_rate()
        address = split_address(process.settings.cloud.addr)
        response = await call(
            dial_confirmed, address, "POST", "/promote", body, headers, PROMOTE_TIMEOUT_S
        )
        if not sent:
            logger.info(
                "no promotion of %s for %s: no connection, or the lease is not confirmed",
                command.backend,
                service,
            )
            await self.recorder.withdraw(command)
            return None
        if 200 <= response.status < 300:
            self.unclear_calls.pop(service, None)
            if sent[0] is not None:  # an earlier call is not answered by this one
                self.unclear_calls[service] = sent[0]
            self.held_back.end(service)
        elif is_refusal(response.status) and sent[0] is None:
            await self.recorder.withdraw(command)
        logger.info(
            "the platform answered %d to the promotion of %s for %s",
            response.status,
            command.backend,
            service,
        )
        return response.status

    async def _dial_confirmed(
        self, host: str, port: int, held_lease: HeldLease, command: Promote
    ) -> Any:
        """Dials the platform while the lease is read, and the decision recorded, at a quorum.

        Raises:
            LeaseNotConfirmedError: the lease is not ours any more, or no quorum says so in time, or the
                decision can't be recorded.
            OSError: there is no connection.
        """
        process = self._process
        reading = await curio.spawn(lease_confirmation.read_lease, process, held_lease, daemon=True)
        recording = await curio.spawn(self.recorder.record, command, daemon=True)
        try:
            sock = await dial(host, port)
        except BaseException:
            await reading.cancel()
            await recording.cancel()
            raise
        try:
            recorded = await recording.join()
            if recorded and await lease_confirmation.confirm(
                process, held_lease, await reading.join()
            ):
                return sock
        except BaseException:
            await sock.close()
            raise
        await sock.close()
        raise LeaseNotConfirmedError("the lease is not confirmed")

    async def confirm_promotion(self, service: str, primary: BackendRecord) -> None:
        """Asks a promoted backend which term it leads, and records that."""
        status = await self.query_backend(BackendQuery(primary, "STAT"))
        if isinstance(status, BackendStatus) and status.is_primary:
            await self.recorder.confirm(service, primary.name, status.term)

    async def hold_back(self, command: HoldBack, _held_lease: HeldLease | None = None) -> bool:
        """Whether a log that was left behind may lead, since no other came for long."""
        return self.held_back.may_lead(command.service, command.backends, self._process.now())

    async def _respect_rate(self) -> None:
        """Waits until the platform's rate allows one more call."""
        process = self._process
        rate = process.settings.cloud.duty_per_s
        delay = lease_confirmation.delay_before_call(self.platform_calls, rate, process.now())
        self.platform_calls.append(process.now() + delay)
        if delay:
            await curio.sleep(delay)

    # ------------------------------------------------------------ the fleet
    async def announce_primary(
        self, command: AnnouncePrimary, _held_lease: HeldLease | None = None
    ) -> None:
        """Tells all poolers, by way of their controllers."""
        pending = PrimaryPending(command.service, command.seconds)
        self._process.announce(pending)
        self._process.core.broadcast(pending)
        await self._process.flush()

    async def raise_fencing_token(self, command: RaiseFencingToken, held_lease: HeldLease) -> bool:
        """Renews the lease with a higher token, unless ours is above the unclear call's already.

        Where the platform checks no tokens, waits until that call can't take effect any more.
        """
        process, lease = self._process, self._process.core.failover_lease
        unclear = self.unclear_calls.get(
            command.service, UnclearCall(held_lease.value.fencing_token, NEVER)
        )
        if not process.settings.bounds.fencing and unclear.until > process.now():
            await curio.sleep(unclear.until - process.now())
        if lease.is_own() and not self._has_higher_token(unclear):
            core = process.core
            renewal = acquire_lease(core.me, core.nonce, lease.value)
            try:
                await process.commit(FAILOVER_LEASE_KEY, renewal)
            except SumacloomError as error:
                logger.info("raising the fencing token: %s", error.message)
        # whatever the outcome was: what counts is which token of ours is committed now
        if lease.value is None or not lease.is_own() or not self._has_higher_token(unclear):
            return False
        held_lease.renew(lease.value)
        return True

    def _has_higher_token(self, unclear: UnclearCall) -> bool:
        value = self._process.core.failover_lease.value
        return value is not None and value.fencing_token > unclear.fencing_token

    async def wait(self, command: Wait, _held_lease: HeldLease | None = None) -> None:
        """Pauses."""
        await curio.sleep(command.seconds)


def _has_status(task: Any) -> bool:
    return task.terminated and isinstance(task.result, BackendStatus)


async def _read_lines(sock: Any, splitter: LineSplitter, ends: tuple[str, ...]) -> list[str]:
    """Reads lines up to one that starts with a word of `ends`; returns those and the rows."""
    lines: list[str] = []
    while not any(line.split(" ")[0] in ends for line in lines):
        data = await sock.recv(RECEIVE_BYTES)
        if not data:
            raise OSError("the backend closed the connection")
        lines += splitter.feed(data)
    return [line for line in lines if line.split(" ")[0] in (*ends, "ROW")]
