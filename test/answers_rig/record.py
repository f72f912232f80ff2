"""What callers sent, what members ran and answered, and the checks on both."""

import bisect
import collections
import dataclasses
import datetime
import time
from typing import Optional

# Codes that promise that nothing of the caller's attempt is kept.
PROMISES = {b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"WRONGNODE",
            b"CONNLIMIT"}
# What the gateways may send of their own, with the id "-".
OWN_VERBS = {b"STATUS", b"BEGIN", b"RESET", b"SET", b"PREPARE", b"ROLLBACK",
             b"RELEASE", b"STEPDOWN"}

TRACE_LINES = 24
MAX_TRACED_BYTES = 200


@dataclasses.dataclass(eq=False)
class Attempt:
    """One attempt of a caller at an operation: a single statement or a
    transaction."""
    database: str
    is_transaction: bool = False
    read_only: bool = False
    # Since when commits must be seen by its reads.
    began: float = 0
    statements: list = dataclasses.field(default_factory=list)
    promise: Optional[str] = None
    # The member connection on which the first statement ran last.
    connection: Optional[object] = None


@dataclasses.dataclass(eq=False)
class Statement:
    """A statement as a caller sent it."""
    id: bytes
    text: bytes
    customer: str
    # The caller's session, for reports.
    session: str
    attempt: Attempt
    writes: bool
    # Definition of the prepared statement that it executes.
    shape: Optional[tuple]
    # The session values that were acknowledged to its caller.
    values: dict
    # Number in the log of the newest commit acknowledged in its session.
    session_commit: int
    sent: float = 0


@dataclasses.dataclass
class Violation:
    rule: str
    what: str
    statement: str
    member: str
    connection: str
    when: datetime.datetime
    # What its connection received and sent last.
    trace: list


class Record:
    """Collects the evidence and checks it against the rules."""

    def __init__(self, routes):
        self.routes = routes
        self.statements = {}
        # Per statement id: the answers (signature, rows, member, connection).
        self.answers = collections.defaultdict(list)
        # Per statement id: how often its write was committed.
        self.commits = collections.Counter()
        # Per service: commit number by statement id, and the highest
        # acknowledged commit number at ascending times.
        self.numbers = {}
        self.acknowledged = collections.defaultdict(lambda: ([0.0], [0]))
        # What callers of a customer have sent: (name, value) and shapes.
        self.values_sent = collections.defaultdict(set)
        self.shapes_sent = collections.defaultdict(set)
        self.passed = collections.Counter()
        self.violations = []
        # By connection: what it received and sent last.
        self.traces = collections.defaultdict(
            lambda: collections.deque(maxlen=TRACE_LINES))

    def check(self, rule, holds, what, statement=b"-", member="-",
              connection="-"):
        """Counts one check, and reports it if it does not hold."""
        if holds:
            self.passed[rule] += 1
            return True
        self.violations.append(Violation(
            rule, what, statement.decode(errors="replace"), str(member),
            str(connection), datetime.datetime.now(datetime.timezone.utc),
            list(self.traces.get(connection, []))))
        return False

    def trace(self, connection, what, data):
        """Notes what a member connection received or sent."""
        now = datetime.datetime.now(datetime.timezone.utc)
        self.traces[connection.name].append(
            f"{now:%H:%M:%S.%f} {what} {data[:MAX_TRACED_BYTES]!r}")

    # Callers.

    def send(self, statement):
        statement.sent = time.monotonic()
        self.statements[statement.id] = statement
        statement.attempt.statements.append(statement)

    def succeed(self, statement, signature, rows):
        """Checks the success that a caller got for a statement that a member
        has to run."""
        known = self.answers[statement.id]
        signed = [a for a in known if a[0] == signature]
        place = signed[0][2:] if signed else ("-", "-")
        self.check("MIXED", bool(signed),
                   f"signature {signature!r} is of no answer to it; "
                   f"answers: {known}", statement.id, *place)
        if signed:
            self.check("MIXED", any(a[1] == rows for a in signed),
                       f"rows {rows}; sent: {signed}", statement.id, *place)
        is_commit = statement.text == b"COMMIT"
        if is_commit or (statement.writes and
                         not statement.attempt.is_transaction):
            return self.acknowledge(statement)
        return 0

    def acknowledge(self, statement):
        """Checks that an acknowledged commit is in the log. Returns its
        number."""
        ids = [s.id for s in statement.attempt.statements if s.writes]
        self.check("LOST", all(self.commits[i] for i in ids),
                   "acknowledged but not committed: "
                   f"{[i for i in ids if not self.commits[i]]}", statement.id)
        number = max((self.numbers.get(i, 0) for i in ids), default=0)
        service = self.routes[statement.attempt.database].service
        times, numbers = self.acknowledged[service]
        times.append(time.monotonic())
        numbers.append(max(number, numbers[-1]))
        return number

    def succeed_locally(self, statement, signature, rows):
        """Checks the success of a statement that is no read, write or
        commit."""
        self.check("MIXED", signature == b"-" and not rows,
                   f"{statement.text!r} got {signature!r} and {rows}",
                   statement.id)

    def refuse(self, statement, code):
        if code not in PROMISES:
            return
        attempt = statement.attempt
        attempt.promise = code.decode()
        self.check_promise(attempt, statement.id)

    def check_promise(self, attempt, cause):
        kept = [s.id for s in attempt.statements if self.commits[s.id]]
        self.check("REFUSED", not kept,
                   f"told {attempt.promise}, but committed: {kept}", cause)

    # Members.

    def run(self, member, connection, identity, text):
        """Checks a statement that a member has got. Returns it if it is a
        caller's."""
        place = (member.id, connection.name)
        if identity == b"-":
            self.run_own(member, connection, text)
            return None
        statement = self.statements.get(identity)
        if not self.check("UNASKED", statement is not None,
                          f"no caller sent this id; text {text!r}", identity,
                          *place):
            return None
        self.check("UNASKED", connection.customer == statement.customer,
                   f"run for {connection.customer}, sent by "
                   f"{statement.customer}", identity, *place)
        self.check("ROUTE", member.service ==
                   self.routes[statement.attempt.database].service,
                   f"sent to {statement.attempt.database}", identity, *place)
        self.check_text(statement, connection, text, place)
        self.check("PINNED", connection.values == statement.values,
                   f"values {connection.values}, acknowledged "
                   f"{statement.values}", identity, *place)
        self.check_transaction(statement, connection, place)
        return statement

    def run_own(self, member, connection, text):
        place = (member.id, connection.name)
        verb, _, rest = text.partition(b" ")
        self.check("UNASKED", verb in OWN_VERBS, f"a gateway sent {text!r}",
                   b"-", *place)
        customer = connection.customer
        if verb == b"SET":
            name, _, value = rest.partition(b" ")
            self.check("UNASKED", (name, value) in self.values_sent[customer],
                       f"no caller sent {text!r}", b"-", *place)
        elif verb == b"PREPARE":
            access, _, shape = rest.partition(b" ")[2].partition(b" ")
            self.check("UNASKED", (access, shape) in self.shapes_sent[customer],
                       f"no caller sent {text!r}", b"-", *place)

    def check_text(self, statement, connection, text, place):
        if not statement.text.startswith(b"EXECUTE "):
            self.check("UNASKED", text == statement.text,
                       f"ran {text!r}, sent {statement.text!r}", statement.id,
                       *place)
            return
        verb, _, rest = text.partition(b" ")
        name, _, arguments = rest.partition(b" ")
        wanted = statement.text.split(b" ", 2)[2]
        self.check("UNASKED", verb == b"EXECUTE" and arguments == wanted,
                   f"ran {text!r}, sent {statement.text!r}", statement.id,
                   *place)
        held = connection.prepared.get(name)
        self.check("PINNED", held == statement.shape,
                   f"{name!r} is {held}, the caller prepared "
                   f"{statement.shape}", statement.id, *place)

    def check_transaction(self, statement, connection, place):
        attempt, open_one = statement.attempt, connection.transaction
        if not attempt.is_transaction:
            self.check("PINNED", open_one is None,
                       "a single statement ran inside a transaction",
                       statement.id, *place)
            return
        if not self.check("PINNED", open_one is not None,
                          "ran outside its transaction", statement.id, *place):
            return
        first = statement is attempt.statements[0]
        if open_one.owner is None:
            self.check("PINNED", first, "its transaction's first statement did"
                       " not run here", statement.id, *place)
            open_one.owner = attempt
            attempt.connection = connection
        self.check("PINNED", open_one.owner is attempt and
                   attempt.connection is connection,
                   "ran inside another transaction or on another connection",
                   statement.id, *place)
        self.check("PINNED", open_one.read_only == attempt.read_only,
                   f"read only: {open_one.read_only}, begun by the caller: "
                   f"{attempt.read_only}", statement.id, *place)

    def read(self, statement, member, connection):
        """Checks that the log on which a read runs is new enough."""
        route = self.routes[statement.attempt.database]
        attempt = statement.attempt
        began = attempt.began if attempt.is_transaction else statement.sent
        if route.type == "primary":
            needed = self.acknowledged_by(route.service, began)
        else:
            needed = self.acknowledged_by(
                route.service, began - route.max_staleness_ms / 1000)
        if route.type == "read_your_writes":
            needed = max(needed, statement.session_commit)
        self.check("STALE", member.held() >= needed,
                   f"read at {member.held()}, needed {needed}", statement.id,
                   member.id, connection.name)

    def acknowledged_by(self, service, moment):
        times, numbers = self.acknowledged[service]
        return numbers[bisect.bisect_right(times, moment) - 1]

    def answer(self, identity, signature, rows, member, connection):
        self.answers[identity].append(
            (signature, rows, member.id, connection.name))

    def commit(self, member, connection, writes, number):
        """Checks the writes that a member commits."""
        place = (member.id, connection.name)
        for statement in writes:
            self.commits[statement.id] += 1
            self.numbers[statement.id] = number
            self.check("TWICE", self.commits[statement.id] == 1,
                       "the write took effect again", statement.id, *place)
            self.check("REFUSED", statement.attempt.promise is None,
                       f"committed after {statement.attempt.promise}",
                       statement.id, *place)
        if not writes or not writes[0].attempt.is_transaction:
            return
        wanted = [s.id for s in writes[0].attempt.statements if s.writes]
        self.check("PINNED", [s.id for s in writes] == wanted,
                   f"committed {[s.id for s in writes]}, its transaction wrote "
                   f"{wanted}", writes[0].id, *place)

    # The end.

    def finish(self):
        """Checks all promises again, now that nothing can run any more."""
        attempts = {id(s.attempt): s.attempt for s in self.statements.values()}
        for attempt in attempts.values():
            if attempt.promise:
                self.check_promise(attempt, attempt.statements[-1].id)
