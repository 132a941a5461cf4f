"""The pooler's core: sessions in front, connections behind, queues between. No sockets here.

Inputs are the methods; what is to be sent, closed or dialled gathers in `effects`.
"""

import logging
from collections import Counter

from sumacloom.configuration.model import Configuration
from sumacloom.line_protocol import encode
from sumacloom.pooler import completion, connection_loss, server_results
from sumacloom.pooler.admission import LOGIN, AccessControl
from sumacloom.pooler.delivery import DeliveryTracker, judge
from sumacloom.pooler.delivery_intents import hold_for_intent
from sumacloom.pooler.effects import Close, Effect, Send
from sumacloom.pooler.missing_database import MissingDatabase
from sumacloom.pooler.pending_statement import PendingStatement, StatementStage
from sumacloom.pooler.pool_mode import PoolModes
from sumacloom.pooler.routing import compile_rules
from sumacloom.pooler.scheduler import Scheduler
from sumacloom.pooler.server_pools import ServerPools
from sumacloom.pooler.session import Session, decode, server_text
from sumacloom.pooler.statement_handlers import HANDLERS
from sumacloom.settings import Settings
from sumacloom.state_machines import load_state_machine
from sumacloom.types import NEVER

logger = logging.getLogger(__name__)
SHUTDOWN = load_state_machine("graceful_shutdown")


class PoolerCore:
    """All sessions and connections of one pooler."""

    def __init__(self, settings: Settings, incarnation: int = 0):
        self.settings = settings
        self.delivery = DeliveryTracker(settings.node, incarnation)
        self.pools = ServerPools(settings)
        self.sessions, self.connections = {}, {}
        self.scheduler = Scheduler(self)
        self.active = set()
        self.refusals: Counter[str] = Counter()  # of statements that had not run, by cause
        self.rules, self.configuration = None, None
        self.leaving, self.leaving_at = SHUTDOWN.start, 0.0
        self.effects: list[Effect] = []
        self.failed_backends: list[str] = []
        self.warmed_at, self.ticked_at, self.stalled = NEVER, None, False
        self.priority_databases, self.unsure, self.isolated = set(), False, False
        self.missing_database = MissingDatabase()
        self.access_control, self.pool_modes = AccessControl(), PoolModes(settings.pooling)

    # ------------------------------------------------------------ updates
    def apply_configuration(self, configuration: Configuration, now: float) -> None:
        """Takes a newer configuration; an older one changes nothing.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z"))
        >>> core.apply_configuration(Configuration(3), 0.0); core.apply_configuration(Configuration(2), 0.0); core.configuration.ver
        3
        """
        if self.configuration and configuration.ver <= self.configuration.ver:
            return
        self.configuration = configuration
        self.rules = compile_rules(configuration)
        self.pools.apply_services(configuration)
        logger.info("the configuration %d is in force", configuration.ver)
        self.scheduler.reroute(now)

    def apply_records(self, records: list, now: float) -> None:
        """Takes backends' records from an update.

        >>> PoolerCore(Settings("n", "r", "10.0.0.1", "z")).apply_records([], 0.0)
        """
        for record in records:
            for connection in self.pools.apply_record(record, now):
                connection_loss.connection_lost(
                    self, connection, "the backend is gone", now, report=False
                )
        self.scheduler.dispatch_all(now)

    @property
    def ready(self) -> bool:
        """Whether this pooler calls itself ready.

        >>> PoolerCore(Settings("n", "r", "10.0.0.1", "z")).ready
        False
        """
        return (
            self.leaving == SHUTDOWN.start
            and self.rules is not None
            and bool(self.pools.backends)
            and not self.unsure
        )

    def apply_priority(
        self, databases: list[str], is_current: bool, used: bool, now: float
    ) -> None:
        """Takes the databases with priority in force, and whether we may rely on them.

        A pooler that can't be sure is not ready and lets idle sessions go; what was asked is answered.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z")); core.apply_priority(["books"], True, True, 0.0); core.priority_databases
        {'books'}
        """
        if set(databases) != self.priority_databases:
            self.priority_databases = set(databases)
            logger.info("priority databases: %s", ", ".join(databases) or "nothing")
        unsure = used and not is_current
        if unsure and not self.unsure:
            logger.info(
                "no controller in contact with a quorum is heard: not ready, since what is held here may be old"
            )
        self.unsure = unsure
        if unsure:
            completion.close_idle(self, now)

    # ------------------------------------------------------------ sessions
    def session_opened(self, key, now: float, address: str = "") -> None:
        """A client connected.

        >>> PoolerCore(Settings("n", "r", "10.0.0.1", "z")).session_opened(1, 0.0)
        """
        self.sessions[key] = Session(key, now, address)

    def session_data(self, key, data: bytes, now: float) -> None:
        """Bytes of a client.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z")); core.session_opened(1, 0.0)
        >>> core.session_data(1, b"HELO\\r\\n", 0.0); core.effects[0].data
        b'ERR MALFORMED a session starts with LOGIN\\r\\n'
        """
        session = self.sessions.get(key)
        if session is None:
            return
        session.waiting.extend(session.splitter.feed(data))
        if session.splitter.overflow:
            session.waiting.append(None)
        self.advance(session, now)

    def advance(self, session: Session, now: float) -> None:
        """Handles the lines that wait, one statement at a time; a call from within one leaves them to the first.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z")); core.advance(Session(1, 0.0), 0.0)
        """
        if session.advancing:
            return
        session.advancing = True
        while session.waiting and session.pending is None and not session.closed:
            line = session.waiting.popleft()
            if line is None:
                self.send(session, "ERR TOOLONG a message is longer than 1 MiB")
                self.shut_session(session, now)
            elif session.database is None:
                self.take_login(session, line, now)
            else:
                self.take_line(session, line, now)
        session.advancing = False

    def take_login(self, session: Session, line: str, now: float) -> None:
        """The first line of a session.

        >>> PoolerCore(Settings("n", "r", "10.0.0.1", "z")).take_login(Session(1, 0.0), "LOGIN", 0.0)
        """
        words = line.split(" ", 2)
        if words[0] != "LOGIN" or len(words) < 3 or not words[1] or not words[2]:
            self.send(session, "ERR MALFORMED a session starts with LOGIN")
        elif self.rules is None:
            self.send(session, "ERR BUSY this pooler has no configuration yet")
        elif denial := self.access_control.denies(session, words[1], LOGIN):
            self.send(session, denial)
        elif words[1] not in self.rules:
            self.send(session, self.missing_database.answer(now))
        else:
            session.database, session.who = words[1], words[2]
            session.mode = self.pool_modes.mode(words[1], words[2])
            self.send(session, "READY I -")
            return
        self.shut_session(session, now)

    def take_line(self, session: Session, line: str, now: float) -> None:
        """A line after the login.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z")); session = Session(1, 0.0)
        >>> core.take_line(session, "NONSENSE", 0.0); core.effects[0].data
        b'ERR MALFORMED this line is not understood\\r\\nREADY I -\\r\\n'
        """
        head, _blank, rest = line.partition(" ")
        if head == "QUIT":
            self.shut_session(session, now)
            return
        statement = decode(rest, session.names) if head == "QUERY" else None
        if statement is None:
            self.reply(session, ["ERR MALFORMED this line is not understood"], now)
            return
        transaction = session.transaction
        if transaction and transaction.failed and statement.kind not in ("commit", "abort"):
            code = completion.take_failure_code(transaction)
            self.reply(session, [f"ERR {code} the transaction has ended"], now)
            return
        HANDLERS[statement.kind](self, session, statement, now)

    def shut_session(self, session: Session, now: float) -> None:
        """Ends a session from our side.

        >>> PoolerCore(Settings("n", "r", "10.0.0.1", "z")).shut_session(Session(1, 0.0), 0.0)
        """
        self.effects.append(Close(session.key))
        self.session_closed(session.key, now, session)

    def session_closed(self, key, now: float, session: Session | None = None) -> None:
        """The client's connection is gone: its server connection is rolled back and freed.

        >>> PoolerCore(Settings("n", "r", "10.0.0.1", "z")).session_closed(9, 0.0)
        """
        session = self.sessions.pop(key, session)
        if session is None or session.closed:
            return
        session.closed = True
        session.waiting.clear()
        pending, transaction = session.pending, session.transaction
        if pending and pending.stage in (
            StatementStage.WAITING,
            StatementStage.PAUSED,
            StatementStage.AWAITING_INTENT,
        ):
            unsent = (
                pending.connection
                if pending.stage == StatementStage.AWAITING_INTENT and not transaction
                else None
            )
            self.complete(pending)
            if unsent:
                completion.release(self, unsent, now)
        if (
            transaction
            and transaction.connection
            and not (pending and pending.stage in (StatementStage.SETUP, StatementStage.RUNNING))
        ):
            completion.release(self, transaction.connection, now)
        session.transaction = None

    def send(self, session: Session, *lines: str) -> None:
        """Lines to a client.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z")); core.send(Session(1, 0.0), "READY I -"); core.effects
        [Send(key=1, data=b'READY I -\\r\\n')]
        """
        if not session.closed:
            self.effects.append(Send(session.key, encode(*lines)))

    def reply(self, session: Session, lines: list[str], now: float, position=None) -> None:
        """A whole reply with its READY; the next waiting line then follows.

        >>> core = PoolerCore(Settings("n", "r", "10.0.0.1", "z")); core.reply(Session(1, 0.0), ["DONE -"], 0.0)
        >>> core.effects[0].data
        b'DONE -\\r\\nREADY I -\\r\\n'
        """
        self.send(session, *lines, f"READY {session.state} {position or '-'}")
        if session.transaction:
            session.transaction.rested_at = now
        rests = session.state == "I" and self.leaving in ("emptying", "ending")
        if (rests or session.ending) and not session.waiting:
            self.shut_session(session, now)

    # ------------------------------------------------------------ statements
    def submit(self, session: Session, statement, plan: str, now: float) -> None:
        """Sends a statement on its way: on its transaction's connection, or into the queue."""
        transaction = session.transaction
        rule = transaction.rule if transaction else self.rules.get(session.database)
        if rule is None:
            self.reply(session, [self.missing_database.answer(now)], now)
            return
        pending = PendingStatement(
            session, statement, rule, plan or rule.plans[statement.kind], now, transaction
        )
        if (
            self.unsure
            and self.configuration.limits.guarded
            and not (transaction and transaction.connection)
        ):
            completion.refuse(self, pending, now, completion.UNCONFIRMED)
            return
        pending.prioritized = session.database in self.priority_databases
        session.pending = pending
        self.active.add(pending)
        if transaction and transaction.connection:
            self.start_on(pending, transaction.connection, now)
        else:
            self.scheduler.enqueue(pending, now)

    def complete(self, pending: PendingStatement) -> None:
        """The statement is over, whatever its end."""
        judge(self, pending)
        self.scheduler.withdraw(pending)
        pending.stage = StatementStage.DONE
        self.active.discard(pending)
        if pending.session.pending is pending:
            pending.session.pending = None

    def start_on(self, pending: PendingStatement, connection, now: float) -> None:
        """Puts the session's values and names in place on the connection, opens what the plan opens, or runs."""
        session, transaction = pending.session, pending.transaction
        bound = transaction is not None and transaction.connection is connection
        pending.connection, pending.started_at = connection, now
        connection.owner = pending
        backend = self.pools.backends.get(connection.backend)
        if bound and backend and backend.send_backoff.is_paused(now):
            pending.stage, pending.not_before = (
                StatementStage.PAUSED,
                backend.send_backoff.resumes_at,
            )
            return
        texts = (
            None
            if connection.lost
            else connection.setup(session.values, pending.statement.prepared, bound)
        )
        if texts is None:
            completion.fail_transaction(self, pending, "ROLLEDBACK", now)
            return
        if bound and any(text.startswith("SET ") for text in texts):
            transaction.values_changed = True
        tagged = [("pre", text) for text in texts]
        if not bound and "open" in pending.plan:
            tagged.append(("begin", "BEGIN"))
        elif not bound and "open_read" in pending.plan:
            tagged.append(("begin", f"WAITPOS {pending.needed} BEGIN FETCH"))
        pending.setup_replies_due = len(tagged)
        if not tagged:
            self.run(pending, now)
            return
        pending.stage = StatementStage.SETUP
        pending.sent_at = now
        data = b"".join(connection.ask(tag, "-", text, now) for tag, text in tagged)
        self.effects.append(Send(connection.key, data))

    def run(self, pending: PendingStatement, now: float) -> None:
        """Sends the statement itself, and the end behind it where the plan has one."""
        if server_results.drained_meanwhile(self, pending, now) or hold_for_intent(
            self, pending, now
        ):
            return
        connection, statement = pending.connection, pending.statement
        pending.stage, pending.sent_at = StatementStage.RUNNING, now
        text = server_text(statement, connection.names)
        if pending.plan == ("rotation", "run"):
            text = f"WAITPOS {pending.needed} {text}"
        data = connection.ask("run", statement.id, text, now)
        if pending.plan[-1] == "end":
            data += connection.ask("clean", "-", "ABORT", now)
        self.effects.append(Send(connection.key, data))
