"""The fleet's state as tables, gathered from all controllers and their poolers.

Nothing here touches the way of statements: poolers answer with what they hold. Names of tables and columns
are part of the admin API and never change, even where the code uses another word.
"""

import logging
from typing import TYPE_CHECKING, Any

import curio

from sumacloom.consensus.proposal_number import ProposalNumber
from sumacloom.controller.admin import pool_mode_calls, subscriber_calls, undo_calls
from sumacloom.controller.admin.priority_calls import priority_rows
from sumacloom.controller.admin.promotion_rows import held_back_rows, promotion_rows
from sumacloom.controller.registers import FAILOVER_LEASE_KEY
from sumacloom.logs import set_level
from sumacloom.release import release
from sumacloom.transport.messages import TablesReply, TablesRequest

if TYPE_CHECKING:
    from sumacloom.controller.process import ControllerProcess

logger = logging.getLogger(__name__)

GATHER_S = 0.6  # how long the other controllers are waited for
POOLERS_S = 0.25  # how long our own poolers are waited for
POLL_S = 0.02
TABLES = (
    "registrars",
    "registers",
    "members",
    "counters",
    "backends",
    "rotation",
    "duties",
    "promotions",
    "held_back",
    "zones",
    "lanes",
    "generations",
    "listeners",
    "listening",
    "access",
    "pooling",
    "poolers",
    "sharing",
)
ONE_ROW_PER_NODE = ("generations", "listening", "poolers")

Tables = dict[str, list[dict[str, Any]]]


def _number_text(number: ProposalNumber) -> str:
    return str(tuple(number[:2]))


class TableService:
    """Makes the tables of one controller, and gathers those of all."""

    def __init__(self, process: "ControllerProcess"):
        self._process = process
        self._requests = 0
        self._replies: dict[int, dict[str, Tables]] = {}  # request: peer address: its tables

    # ------------------------------------------------------------ own rows
    async def own_tables(self) -> Tables:
        """This controller's rows, with fresh ones of the poolers in session here."""
        core, node = self._process.core, self._process.settings.node
        reports = await self._pooler_reports()
        now = self._process.now()
        poolers = [report["counter"] for report in reports]
        return {
            "registrars": [self._controller_row()],
            "registers": self._register_rows(),
            "held_back": held_back_rows(self._process.executor.held_back, node, now),
            "members": self._member_rows(),
            "counters": poolers,
            "listening": subscriber_calls.holder_rows(core, node, poolers),
            "generations": undo_calls.version_rows(core, node, poolers, now),
            "poolers": pool_mode_calls.holder_rows(core, node, poolers),
            "sharing": [row for report in reports for row in report.get("sharing", [])],
            "access": [row for report in reports for row in report.get("access", [])],
            "rotation": [row for report in reports for row in report["rotation"]],
        }

    async def _pooler_reports(self) -> list[dict[str, Any]]:
        process, asked_at = self._process, self._process.now()
        links = list(process.sessions.links.values())
        for link in links:
            process.sessions.send_heartbeat(link, asked_at, want_report=True)
        while process.now() - asked_at < POOLERS_S:
            if all(link.reported_at >= asked_at for link in links):
                break
            await curio.sleep(POLL_S)
        return [link.report for link in links if link.report and link.reported_at >= asked_at]

    def _controller_row(self) -> dict[str, Any]:
        process, core = self._process, self._process.core
        settings, now, digest = process.settings, process.now(), core.cache.digest()
        standing = core.reconfiguration.standing()
        alive = [peer for peer in core.peer_addresses() if core.is_alive(peer, now)]
        plans = sorted(process.supervisor.plans.items())
        return {
            "node": settings.node,
            "zone": settings.zone,
            "ip": settings.ip,
            "votes": core.is_voter,
            "learned": core.acceptor.recovered,
            "blueprint": digest.configuration,
            "evacuations": digest.zone_drains,
            "hears": ",".join(alive),
            "plans": ",".join(f"{service}:{plan}" for service, plan in plans),
            "voters_generation": standing.version,
            "voters": ",".join(standing.voters),
            "leaving_voters": ",".join(standing.leaving),
            "standing": standing.standing,
            "view": "majority" if core.in_quorum(now) else "own",
            "alone_ms": round(1000 * process.out_of_quorum_s()),
            "lacks": ",".join(core.missing_keys(now)),
            "release": release(),
            "disk": "refuses" if process.disk_writer.failing else "well",
        }

    def _register_rows(self) -> list[dict[str, Any]]:
        core, registers = self._process.core, self._process.core.acceptor.registers
        return [
            {
                "node": self._process.settings.node,
                "key": key,
                "decided": _number_text(core.committed_number(key)),
                "accepted": _number_text(registers[key].accepted) if key in registers else "-",
            }
            for key in core.keys()  # noqa: SIM118 - a method of the core, not a mapping
        ]

    def _member_rows(self) -> list[dict[str, Any]]:
        now = self._process.now()
        return [
            {
                "node": name,
                "zone": session.zone,
                "address": session.address,
                "registrar": self._process.settings.node,
                "heard_ms": round((now - session.last_heartbeat_at) * 1000),
            }
            for name, session in sorted(self._process.core.members.sessions.items())
        ]

    # ------------------------------------------------------------ rows that all hold alike
    def shared_tables(self) -> Tables:
        """Rows that every controller holds alike, as this one holds them."""
        core, now = self._process.core, self._process.now()
        lease = core.failover_lease.value
        return {
            "backends": self._backend_rows(now),
            "duties": [
                {
                    "duty": FAILOVER_LEASE_KEY,
                    "holder": lease.holder if lease else "",
                    "fence": lease.fencing_token if lease else 0,
                    "vacant": core.failover_lease.is_vacant(now),
                }
            ],
            "promotions": promotion_rows(core.promotions),
            "lanes": priority_rows(core, now),
            "pooling": pool_mode_calls.pool_mode_rows(core),
            "listeners": subscriber_calls.subscriber_rows(core, now),
            "zones": [
                {"zone": zone, "region": region, "evacuated": zone in core.cache.zones}
                for zone, region in sorted(self._process.settings.zones.items())
            ],
        }

    def _backend_rows(self, now: float) -> list[dict[str, Any]]:
        core = self._process.core
        records = sorted(
            core.cache.records.values(), key=lambda record: (record.service, record.name)
        )
        voters = len(core.acceptor.quorum.new)
        rows = []
        for record in records:
            if record.is_gone:
                continue
            heard_at = core.registry.last_heartbeat_at.get(record.name)
            since = core.registry.unreachable_since(record.name, voters, now)
            rows.append(
                {
                    "backend": record.name,
                    "service": record.service,
                    "zone": record.zone,
                    "address": record.address,
                    "phase": record.phase,
                    "role": record.role,
                    "slots": record.slots,
                    "position": self._position_text(record.name),
                    "heard_ms": -1 if heard_at is None else round((now - heard_at) * 1000),
                    "dark": since is not None,
                }
            )
        return rows

    def _position_text(self, backend: str) -> str:
        observed = self._process.core.registry.observed.get(backend)
        if observed is None:
            return "-"
        return f"{observed.observation.term}.{observed.observation.number}"

    # ------------------------------------------------------------ the whole fleet
    async def gather(self) -> Tables:
        """All tables; controllers that don't answer in time are left out, and named as unheard."""
        process, core = self._process, self._process.core
        self._requests += 1
        number = self._requests
        replies = self._replies[number] = {}
        now = process.now()
        peers = [peer for peer in core.peer_addresses() if core.is_alive(peer, now)]
        for peer in peers:
            core.send(peer, TablesRequest(number))
        await process.flush()
        started_at = process.now()
        tables = await self.own_tables()
        while process.now() - started_at < GATHER_S and len(replies) < len(peers):
            await curio.sleep(POLL_S)
        del self._replies[number]
        for reply in replies.values():
            for name, rows in reply.items():
                tables[name] = tables[name] + rows
        unheard = [peer for peer in core.peer_addresses() if peer not in replies]
        tables["registrars"] += [self._unheard_row(peer) for peer in unheard]
        for name in ONE_ROW_PER_NODE:
            tables[name] = undo_calls.one_per_node(tables[name], unheard)
        return {**tables, **self.shared_tables()}

    def _unheard_row(self, peer: str) -> dict[str, Any]:
        state = self._process.core.peers.get(peer)
        silence_s = self._process.now() - state.received_at if state else None
        return {
            "node": "",
            "zone": "",
            "ip": peer,
            "votes": False,
            "learned": False,
            "blueprint": 0,
            "evacuations": 0,
            "hears": "unheard",
            "plans": "",
            "view": "unheard",
            "alone_ms": None if silence_s is None else round(1000 * silence_s),
        }

    def receive_reply(self, peer: str, message: TablesReply) -> None:
        """A peer's part."""
        if message.number in self._replies:
            self._replies[message.number][peer] = message.tables

    def answer_request(self, peer: str, message: TablesRequest) -> None:
        """A peer asks for our part; it is made in a task of its own, since poolers are waited for."""

        async def answer() -> None:
            tables = await self.own_tables()
            self._process.core.send(peer, TablesReply(message.number, tables))
            await self._process.flush()

        self._process.background.append(answer)

    # ------------------------------------------------------------ log level
    def apply_log_level(self, level: str) -> None:
        """Sets the level here and at the poolers in session here."""
        set_level(level)
        logger.info("the log level is %s", level)
        for link in self._process.sessions.links.values():
            self._process.sessions.send_heartbeat(link, self._process.now(), log_level=level)
