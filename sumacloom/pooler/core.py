"""The counter's core: sessions in front, wires behind, waitlists between. No sockets here.

Inputs are the methods; what is to be sent, shut or dialled gathers in `effects`:
("send", key, bytes), ("shut", key), ("dial", key, host, port).
"""

from bisect import insort

from sumacloom.configuration.model import Blueprint
from sumacloom.line_protocol import encode
from sumacloom.logs import Scribe
from sumacloom.pooler import completion, connection_loss, server_results
from sumacloom.pooler.admission import LOGIN, Gate
from sumacloom.pooler.delivery import Spooling, holds_back, judge
from sumacloom.pooler.pending_statement import Errand
from sumacloom.pooler.pool_mode import Pooling
from sumacloom.pooler.routing import compile_rules
from sumacloom.pooler.server_pools import Yard
from sumacloom.pooler.session import Session, decode, wire_text
from sumacloom.pooler.statement_handlers import SORTS
from sumacloom.settings import Settings
from sumacloom.state_machines import load_chart

scribe = Scribe("floor")
LEAVING = load_chart("graceful_shutdown")


class Floor:
    """All sessions and wires of one counter."""

    def __init__(self, settings: Settings, life: int = 0):
        self.settings = settings
        self.spooling = Spooling(settings.node, life)
        self.yard = Yard(settings)
        self.sessions, self.wires = {}, {}
        self.waitlists = {}
        self.active = set()
        self.rules, self.blueprint = None, None
        self.leaving, self.leaving_at = LEAVING.start, 0.0
        self.effects, self.mishaps = [], []
        self.warmed_at, self.ticked_at, self.stood_still = -1e9, None, False
        self.lanes, self.unsure, self.alone = set(), False, False
        self.gate, self.pooling = Gate(), Pooling(settings.pooling)

    # ------------------------------------------------------------ news
    def take_blueprint(self, blueprint: Blueprint, now: float) -> None:
        """Takes a newer blueprint; an older one changes nothing.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z"))
        >>> floor.take_blueprint(Blueprint(3), 0.0); floor.take_blueprint(Blueprint(2), 0.0); floor.blueprint.ver
        3
        """
        if self.blueprint and blueprint.ver <= self.blueprint.ver:
            return
        self.blueprint = blueprint
        self.rules = compile_rules(blueprint)
        self.yard.services = {service.name: service for service in blueprint.svcs}
        scribe.say("the blueprint %d is in force", blueprint.ver)
        completion.draw_again(self, now)

    def take_records(self, records: list, now: float) -> None:
        """Takes backends' records from the news.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).take_records([], 0.0)
        """
        for record in records:
            for wire in self.yard.take_record(record, now):
                connection_loss.wire_lost(self, wire, "the backend is gone", now, report=False)
        for service in self.waitlists:
            self.pump(service, now)

    @property
    def ready(self) -> bool:
        """Whether this counter calls itself ready.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).ready
        False
        """
        return (
            self.leaving == LEAVING.start
            and self.rules is not None
            and bool(self.yard.backends)
            and not self.unsure
        )

    def take_lanes(self, databases: list[str], sure: bool, used: bool, now: float) -> None:
        """Takes the priority lanes in force, and whether we may rely on them.

        A counter that can't be sure is not ready and lets idle sessions go; what was asked is answered.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z")); floor.take_lanes(["books"], True, True, 0.0); floor.lanes
        {'books'}
        """
        if set(databases) != self.lanes:
            self.lanes = set(databases)
            scribe.say("the priority lane holds: %s", ", ".join(databases) or "nothing")
        unsure = used and not sure
        if unsure and not self.unsure:
            scribe.say(
                "no settled registrar is heard: not ready, since what is held here may be old"
            )
        self.unsure = unsure
        if unsure:
            completion.close_idle(self, now)

    # ------------------------------------------------------------ sessions
    def session_opened(self, key, now: float, address: str = "") -> None:
        """A client connected.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).session_opened(1, 0.0)
        """
        self.sessions[key] = Session(key, now, address)

    def session_data(self, key, data: bytes, now: float) -> None:
        """Bytes of a client.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z")); floor.session_opened(1, 0.0)
        >>> floor.session_data(1, b"HELO\\r\\n", 0.0); floor.effects[0][2]
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
        """Handles the lines that wait, one statement at a time.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z")); floor.advance(Session(1, 0.0), 0.0)
        """
        while session.waiting and session.errand is None and not session.closed:
            line = session.waiting.popleft()
            if line is None:
                self.send(session, "ERR TOOLONG a message is longer than 1 MiB")
                self.shut_session(session, now)
            elif session.database is None:
                self.take_login(session, line, now)
            else:
                self.take_line(session, line, now)

    def take_login(self, session: Session, line: str, now: float) -> None:
        """The first line of a session.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).take_login(Session(1, 0.0), "LOGIN", 0.0)
        """
        words = line.split(" ", 2)
        if words[0] != "LOGIN" or len(words) < 3 or not words[1] or not words[2]:
            self.send(session, "ERR MALFORMED a session starts with LOGIN")
        elif self.rules is None:
            self.send(session, "ERR BUSY this counter has no blueprint yet")
        elif denial := self.gate.denies(session, words[1], LOGIN):
            self.send(session, denial)
        elif words[1] not in self.rules:
            self.send(session, "ERR NODB there is no such database")
        else:
            session.database, session.who = words[1], words[2]
            session.mode = self.pooling.mode(words[1], words[2])
            self.send(session, "READY I -")
            return
        self.shut_session(session, now)

    def take_line(self, session: Session, line: str, now: float) -> None:
        """A line after the login.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z")); session = Session(1, 0.0)
        >>> floor.take_line(session, "NONSENSE", 0.0); floor.effects[0][2]
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
        if transaction and transaction.failed and statement.sort not in ("commit", "abort"):
            code = completion.tell_mishap(transaction)
            self.reply(session, [f"ERR {code} the transaction has ended"], now)
            return
        SORTS[statement.sort](self, session, statement, now)

    def shut_session(self, session: Session, now: float) -> None:
        """Ends a session from our side.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).shut_session(Session(1, 0.0), 0.0)
        """
        self.effects.append(("shut", session.key))
        self.session_closed(session.key, now, session)

    def session_closed(self, key, now: float, session: Session | None = None) -> None:
        """The client's connection is gone: its wire is rolled back and freed.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).session_closed(9, 0.0)
        """
        session = self.sessions.pop(key, session)
        if session is None or session.closed:
            return
        session.closed = True
        session.waiting.clear()
        errand, transaction = session.errand, session.transaction
        if errand and errand.stage in ("waiting", "paused", "spooling"):
            unsent = errand.wire if errand.stage == "spooling" and not transaction else None
            self.end_errand(errand)
            if unsent:
                completion.release(self, unsent, now)
        if transaction and transaction.wire and not (errand and errand.stage in ("setup", "run")):
            completion.release(self, transaction.wire, now)
        session.transaction = None

    def send(self, session: Session, *lines: str) -> None:
        """Lines to a client.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z")); floor.send(Session(1, 0.0), "READY I -"); floor.effects
        [('send', 1, b'READY I -\\r\\n')]
        """
        if not session.closed:
            self.effects.append(("send", session.key, encode(*lines)))

    def reply(self, session: Session, lines: list[str], now: float, position=None) -> None:
        """A whole reply with its READY; the next waiting line then follows.

        >>> floor = Floor(Settings("n", "r", "10.0.0.1", "z")); floor.reply(Session(1, 0.0), ["DONE -"], 0.0)
        >>> floor.effects[0][2]
        b'DONE -\\r\\nREADY I -\\r\\n'
        """
        self.send(session, *lines, f"READY {session.state} {position or '-'}")
        if session.transaction:
            session.transaction.rested_at = now
        rests = session.state == "I" and self.leaving in ("emptying", "ending")
        if (rests or session.ending) and not session.waiting:
            self.shut_session(session, now)

    # ------------------------------------------------------------ errands
    def submit(self, session: Session, statement, plan: str, now: float) -> None:
        """Sends a statement on its way: on its transaction's wire, or into the waitlist."""
        transaction = session.transaction
        rule = transaction.rule if transaction else self.rules.get(session.database)
        if rule is None:
            self.reply(session, ["ERR NODB the database is no longer there"], now)
            return
        errand = Errand(
            session, statement, rule, plan or rule.plans[statement.sort], now, transaction
        )
        if self.unsure and self.blueprint.limits.guarded and not (transaction and transaction.wire):
            completion.refuse(self, errand, now)
            return
        errand.lane = session.database in self.lanes
        session.errand = errand
        self.active.add(errand)
        if transaction and transaction.wire:
            self.start_on(errand, transaction.wire, now)
        else:
            self.enlist(errand, now)

    def enlist(self, errand: Errand, now: float) -> None:
        """Puts an errand into its service's waitlist, and tries at once."""
        errand.stage, errand.wire = "waiting", None
        waitlist = self.waitlists.setdefault(errand.rule.service, [])
        insort(waitlist, errand, key=Errand.order)
        self.pump(errand.rule.service, now)

    def end_errand(self, errand: Errand) -> None:
        """The errand is over, whatever its end."""
        judge(self, errand)
        errand.stage = "done"
        self.active.discard(errand)
        if errand.session.errand is errand:
            errand.session.errand = None

    def pump(self, service: str, now: float) -> None:
        """Starts what can start; what finds no wire waits on, in its order.

        >>> Floor(Settings("n", "r", "10.0.0.1", "z")).pump("svc", 0.0)
        """
        waitlist = self.waitlists.get(service)
        if not waitlist:
            return
        full = set()
        waiting, waitlist[:] = list(waitlist), []
        kept = [
            errand
            for errand in waiting
            if errand.stage == "waiting"
            and (now < errand.pause_until or not self.place(errand, full, len(waiting), now))
        ]
        waitlist[:] = sorted(kept + waitlist, key=Errand.order) if waitlist else kept

    def place(self, errand: Errand, full: set, waiting: int, now: float) -> bool:
        """Walks the plan's first step: draws a backend and a wire, and starts the errand on it.

        What found no wire is not looked for again in the same round: a long waitlist would else cost its square.
        """
        yard, kind = self.yard, errand.kind()
        if kind in full:
            return False
        ground = yard.ground(errand.rule.service)
        if errand.plan[0] == "rotation":
            ground.read_at = now
            errand.needed = server_results.needed(self, errand, ground, now)
            if errand.needed is None:
                return False
            backends = yard.draw_rotation(ground, errand.rule, errand.needed, now)
            if not backends:
                errand.fall_back()
        if errand.plan[0] == "lead":
            backends = yard.lead_candidates(ground, errand.rule, now)[:1]
            alive = backends and (backends[0].idle or backends[0].dark_since is None)
            ground.headless_since = None if alive else ground.headless_since or now
        held = False  # a wire is there, but not for this one
        for backend in backends:
            if backend.name in full:
                continue
            if yard.kept_back(backend, errand, bool(self.lanes), now):
                held = True
                continue
            wire = yard.take_wire(backend, errand.session.values, errand.statement.prepared)
            if wire is None:
                continue
            if not yard.warm_enough(backend, now):
                backend.idle.append(wire)
                full.add(backend.name)
                continue
            self.start_on(errand, wire, now)
            return True
        for backend in backends[: not held]:
            full.add(backend.name)
        if backends and (held or backends[0].dialing >= waiting or not self.dial(backends[0], now)):
            full.add(kind)
        return False

    def dial(self, backend, now: float) -> bool:
        """Opens one more wire to a backend, if it may have one; tells whether it may."""
        wire = self.yard.new_wire(backend, now)
        if wire:
            self.wires[wire.key] = wire
            self.effects.append(("dial", wire.key, backend.host, backend.port))
        return wire is not None

    def start_on(self, errand: Errand, wire, now: float) -> None:
        """Puts the session's values and names in place on the wire, opens what the plan opens, or runs."""
        session, transaction = errand.session, errand.transaction
        bound = transaction is not None and transaction.wire is wire
        errand.wire, errand.sends = wire, errand.sends + (not bound)
        wire.owner = errand
        texts = None if wire.lost else wire.setup(session.values, errand.statement.prepared, bound)
        if texts is None:
            completion.fail_transaction(self, errand, "ROLLEDBACK", now)
            return
        if bound and any(text.startswith("SET ") for text in texts):
            transaction.touched = True
        tagged = [("pre", text) for text in texts]
        if not bound and "open" in errand.plan:
            tagged.append(("begin", "BEGIN"))
        elif not bound and "open_read" in errand.plan:
            tagged.append(("begin", f"WAITPOS {errand.needed} BEGIN FETCH"))
        errand.pending = len(tagged)
        if not tagged:
            self.run(errand, now)
            return
        errand.stage = "setup"
        errand.ran_at = now
        data = b"".join(wire.ask(tag, "-", text, now) for tag, text in tagged)
        self.effects.append(("send", wire.key, data))

    def run(self, errand: Errand, now: float) -> None:
        """Sends the statement itself, and the end behind it where the plan has one."""
        if server_results.emptied(self, errand, now) or holds_back(self, errand, now):
            return
        wire, statement = errand.wire, errand.statement
        errand.stage, errand.ran_at = "run", now
        text = wire_text(statement, wire.names)
        if errand.plan == ("rotation", "run"):
            text = f"WAITPOS {errand.needed} {text}"
        data = wire.ask("run", statement.id, text, now)
        if errand.plan[-1] == "end":
            data += wire.ask("clean", "-", "ABORT", now)
        self.effects.append(("send", wire.key, data))
