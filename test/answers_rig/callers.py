"""Callers of the gateways: sessions, operations and their retries."""

import asyncio
import dataclasses
import time
from typing import Optional

import record
import texts

START_TIMEOUT_S = 2
# How much later than its time limit a statement may be answered or its
# connection closed.
ANSWER_SLACK_S = 1.0
OPERATION_LIMIT_S = 3
RETRY_PAUSE_MS = (5, 60)
THINK_MS = (0, 10)
ITEMS = [f"{n:x}" for n in range(40)]
# Names that collide between callers.
VALUE_NAMES = [b"v1", b"v2"]
PREPARED_NAMES = [b"s1", b"s2", b"s3"]
VALUES = 12
LEAVE_SHARE = 0.03
# Share of the lines that are sent in two pieces.
PIECES_SHARE = 0.2
RECONNECT_SHARE = 0.05
# Share of the refused operations that are retried in a new session.
MOVE_SHARE = 0.4


class Closed(Exception):
    """The gateway closed the connection."""


class Left(Exception):
    """The caller has closed its connection in the middle of an operation."""


@dataclasses.dataclass(frozen=True)
class Answer:
    code: Optional[bytes]
    signature: bytes
    rows: list
    state: bytes


@dataclasses.dataclass
class Totals:
    """What callers got, in one phase of the run."""
    sent: int = 0
    succeeded: int = 0
    operations: int = 0
    operations_succeeded: int = 0
    codes: dict = dataclasses.field(default_factory=dict)


def line_of(statement):
    return b"QUERY %s %s\r\n" % (statement.id, statement.text)


class Session:
    """A caller's connection to a gateway."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.buffer = bytearray()
        self.values, self.prepared = {}, {}
        self.commit_number = 0

    async def line(self):
        while True:
            end = self.buffer.find(b"\r\n")
            if end >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[:end + 2]
                return line
            data = await self.reader.read(1 << 16)
            if not data:
                raise Closed()
            self.buffer += data

    async def answer(self):
        """Returns an answer, or None if its lines are not those of one."""
        rows, outcome = [], None
        while True:
            word, _, rest = (await self.line()).partition(b" ")
            if word == b"ROW" and outcome is None:
                rows.append(rest)
            elif word == b"COMPLETE" and outcome is None:
                outcome = (None, rest)
            elif word == b"ERROR" and outcome is None and not rows:
                outcome = (rest.partition(b" ")[0], b"")
            elif word == b"READY" and outcome is not None:
                state = rest.partition(b" ")[0]
                return Answer(outcome[0], outcome[1], rows, state)
            else:
                return None

    def close(self):
        self.writer.close()


class Caller:
    """A caller with one session at a time."""

    def __init__(self, name, customer, key, database, route, gateways, checks,
                 seeded, troubles):
        self.name, self.customer, self.key = name, customer, key
        self.database, self.route = database, route
        self.gateways, self.record = gateways, checks
        self.random = seeded
        self.texts = texts.Texts(seeded, troubles.text)
        self.troubles = troubles
        self.session = None
        self.gateway = None
        self.totals = Totals()
        self.stopping = False

    async def work(self):
        while not self.stopping:
            await self.operate()
            if self.session and self.random.random() < RECONNECT_SHARE:
                if self.random.random() < 0.5:
                    self.session.writer.write(b"TERM\r\n")
                self.drop()
            await asyncio.sleep(self.random.uniform(*THINK_MS) / 1000)
        self.drop()

    def drop(self):
        if self.session:
            self.session.close()
        self.session = None

    # Sessions.

    async def connect(self):
        """Opens a session. Returns whether it is open."""
        self.gateway = self.random.choice(self.gateways)
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.gateway.callers)
        except OSError:
            return False
        session = Session(reader, writer)
        writer.write(f"START {self.database} {self.key}\r\n".encode())
        try:
            greeting = await asyncio.wait_for(session.line(), START_TIMEOUT_S)
        except (asyncio.TimeoutError, Closed, ConnectionError):
            greeting = b""
        if not greeting.startswith(b"READY I"):
            session.close()
            return False
        self.session = session
        return True

    async def send(self, text, attempt, writes=False, shape=None,
                   leave=False):
        """Sends a statement and returns its answer. Raises Closed if the
        connection is closed instead."""
        statement = self.new_statement(text, attempt, writes, shape)
        self.totals.sent += 0 if leave else 1
        totals = self.totals
        try:
            await self.write(line_of(statement))
        except ConnectionError:
            raise Closed() from None
        if leave:
            raise Left()
        return await self.receive(statement, totals)

    async def send_together(self, plans):
        """Sends single statements ahead of their answers. Returns the
        answers."""
        statements = [
            self.new_statement(text, self.attempt(), plan[0], shape)
            for plan in plans for text, shape in [self.text_of(plan)]]
        self.totals.sent += len(statements)
        totals = self.totals
        try:
            await self.write(b"".join(map(line_of, statements)))
        except ConnectionError:
            raise Closed() from None
        limit_s = len(statements) * self.answer_limit_s()
        return [await self.receive(s, totals, limit_s) for s in statements]

    def new_statement(self, text, attempt, writes, shape):
        session = self.session
        statement = record.Statement(
            self.new_id(), text, self.customer,
            f"{self.name}@{self.gateway.name}", attempt, writes, shape,
            dict(session.values), session.commit_number)
        self.record.check("MIXED", not session.buffer,
                          f"got {bytes(session.buffer)!r} while no request was"
                          " outstanding", statement.id)
        self.record.send(statement)
        return statement

    def answer_limit_s(self):
        return self.route.timeout_ms / 1000 + ANSWER_SLACK_S

    async def receive(self, statement, totals, limit_s=None):
        """Waits for the answer to a statement and checks it."""
        try:
            answer = await asyncio.wait_for(
                self.session.answer(), limit_s or self.answer_limit_s())
        except asyncio.TimeoutError:
            self.record.check("LIVENESS", False, "neither answered nor closed:"
                              f" {statement.text!r} of {statement.session}",
                              statement.id)
            raise Closed() from None
        except ConnectionError:
            raise Closed() from None
        self.record.check("LIVENESS", True, "")
        if not self.record.check("MIXED", answer is not None,
                                 "the lines are no answer", statement.id):
            raise Closed()
        self.judge(statement, answer, totals)
        return answer

    async def write(self, line):
        """Sends a line, in two pieces while that trouble is on."""
        if self.troubles.pieces and self.random.random() < PIECES_SHARE:
            cut = self.random.randrange(1, len(line))
            self.session.writer.write(line[:cut])
            await asyncio.sleep(self.random.uniform(*THINK_MS) / 1000)
            line = line[cut:]
        self.session.writer.write(line)
        await self.session.writer.drain()

    async def leave_inside_line(self, text):
        """Leaves after a part of a statement, which must not be run."""
        line = b"QUERY %s %s\r\n" % (self.new_id(), text)
        self.session.writer.write(line[:self.random.randrange(1, len(line))])
        await self.session.writer.drain()
        raise Left()

    def new_id(self):
        return self.random.randbytes(8).hex().encode()

    def judge(self, statement, answer, totals):
        code = answer.code.decode() if answer.code else "success"
        totals.codes[code] = totals.codes.get(code, 0) + 1
        if answer.code:
            self.record.refuse(statement, answer.code)
            return
        totals.succeeded += 1
        self.judge_state(statement, answer)
        if statement.text.split(b" ")[0] in (b"READ", b"WRITE", b"EXECUTE",
                                             b"COMMIT"):
            number = self.record.succeed(statement, answer.signature,
                                         answer.rows)
            self.session.commit_number = max(self.session.commit_number, number)
        else:
            self.record.succeed_locally(statement, answer.signature,
                                        answer.rows)

    def judge_state(self, statement, answer):
        attempt = statement.attempt
        inside = (attempt.is_transaction and
                  statement.text not in (b"COMMIT", b"ROLLBACK"))
        wanted = b"T" if inside else b"I"
        self.record.check("MIXED", answer.state == wanted,
                          f"success of {statement.text!r} in state "
                          f"{answer.state!r}", statement.id)

    # Operations.

    async def operate(self):
        """Runs one operation, with retries."""
        self.totals.operations += 1
        totals = self.totals
        operation = self.choose()
        deadline = time.monotonic() + OPERATION_LIMIT_S
        while time.monotonic() < deadline:
            if self.session or await self.connect():
                try:
                    retry = await operation()
                except Left:
                    self.drop()
                    return
                if not retry:
                    totals.operations_succeeded += retry is False
                    return
            await asyncio.sleep(self.random.uniform(*RETRY_PAUSE_MS) / 1000)

    def choose(self):
        """Returns an operation: a function whose result says whether it is to
        be retried, or is None if it failed and must not be retried."""
        roll = self.random.random()
        if roll < 0.08:
            return self.set_value
        if roll < 0.16:
            return self.prepare
        if roll < 0.18:
            return self.release
        if roll < 0.24:
            return self.together()
        if roll < 0.65:
            return self.single(self.plan())
        return self.transaction()

    def attempt(self):
        return record.Attempt(self.database)

    async def local(self, text):
        """Runs a statement that no member has to run. Returns whether it
        succeeded."""
        try:
            answer = await self.send(text, self.attempt())
        except Closed:
            self.drop()
            return False
        if answer.code:
            self.drop()  # The session's values are unknown now.
            return False
        return True

    async def set_value(self):
        name = self.random.choice(VALUE_NAMES)
        value = self.texts.field()
        self.record.values_sent[self.customer].add((name, value))
        if not await self.local(b"SET %s %s" % (name, value)):
            return True
        self.session.values[name] = value
        return False

    async def prepare(self):
        name = self.random.choice(PREPARED_NAMES)
        shape = (self.random.choice([b"READ", b"WRITE"]), self.texts.field())
        self.record.shapes_sent[self.customer].add(shape)
        if not await self.local(b"PREPARE %s %s %s" % (name, *shape)):
            return True
        self.session.prepared[name] = shape
        return False

    async def release(self):
        if not self.session.prepared:
            return False
        name = self.random.choice(list(self.session.prepared))
        if await self.local(b"RELEASE " + name):
            del self.session.prepared[name]
        return False

    def plan(self, reads_only=False):
        """Returns what a statement does: (writes, item, data, executes)."""
        writes = not reads_only and self.random.random() < 0.45
        item = self.random.choice(ITEMS).encode()
        data = self.texts.field() if writes else b""
        return writes, item, data, self.random.random() < 0.4

    def text_of(self, plan):
        """Returns the text for a plan and the prepared shape that it
        executes."""
        writes, item, data, executes = plan
        access = b"WRITE" if writes else b"READ"
        arguments = item + b" " + data if writes else item
        names = [name for name, shape in self.session.prepared.items()
                 if shape[0] == access]
        if executes and names:
            name = self.random.choice(names)
            return (b"EXECUTE %s %s" % (name, arguments),
                    self.session.prepared[name])
        return b"%s %s" % (access, arguments), None

    def single(self, plan):
        async def run():
            leave = self.random.random() < LEAVE_SHARE
            text, shape = self.text_of(plan)
            try:
                if leave and self.random.random() < 0.5:
                    await self.leave_inside_line(text)
                answer = await self.send(text, self.attempt(), plan[0], shape,
                                         leave)
            except (Closed, ConnectionError):
                self.drop()
                return None if plan[0] else True
            if not answer.code:
                return False
            self.maybe_move()
            return self.may_retry(answer.code, not plan[0], not plan[0])
        return run

    def maybe_move(self):
        """Closes the session, at times, so that a retry may reach another
        gateway."""
        if self.random.random() < MOVE_SHARE:
            self.drop()

    def may_retry(self, code, reads_only, nothing_final_sent):
        if code in record.PROMISES or nothing_final_sent:
            return True
        return True if code == b"FAILED" and reads_only else None

    def together(self):
        plans = [self.plan() for _ in range(self.random.randint(2, 5))]

        async def run():
            try:
                answers = await self.send_together(plans)
            except Closed:
                self.drop()
                return None
            # A caller that sends ahead does not retry.
            return None if any(a.code for a in answers) else False
        return run

    def transaction(self):
        reads_only = self.random.random() < 0.4
        plans = [self.plan(reads_only)
                 for _ in range(self.random.randint(1, 6))]
        ending = self.random.choices(["COMMIT", "ROLLBACK", "leave"],
                                     [70, 20, 10])[0]

        async def run():
            attempt = self.attempt()
            attempt.is_transaction, attempt.read_only = True, reads_only
            attempt.began = time.monotonic()
            try:
                return await self.run_transaction(attempt, plans, ending)
            except Closed:
                self.drop()
                sent = [s.text for s in attempt.statements]
                return None if b"COMMIT" in sent else True
        return run

    async def run_transaction(self, attempt, plans, ending):
        # BEGIN belongs to no member: its attempt has the statements after it.
        begin = record.Attempt(self.database, is_transaction=True)
        answer = await self.send(
            b"BEGIN READ" if attempt.read_only else b"BEGIN", begin)
        if answer.code:
            self.maybe_move()
            return self.may_retry(answer.code, attempt.read_only, True)
        for plan in plans:
            text, shape = self.text_of(plan)
            answer = await self.send(text, attempt, plan[0], shape)
            if answer.code:
                return await self.end_failed(answer)
            if self.random.random() < 0.1:
                await self.set_inside(attempt)
            await asyncio.sleep(self.random.uniform(*THINK_MS) / 1000)
        if ending == "leave":
            raise Left()
        answer = await self.send(ending.encode(), attempt)
        if not answer.code:
            return False
        if answer.state != b"I":
            self.drop()
        return self.may_retry(answer.code, attempt.read_only,
                              ending == "ROLLBACK")

    async def set_inside(self, attempt):
        """Sets a session value inside a transaction."""
        name = self.random.choice(VALUE_NAMES)
        value = self.texts.field()
        self.record.values_sent[self.customer].add((name, value))
        inside = record.Attempt(self.database, is_transaction=True)
        answer = await self.send(b"SET %s %s" % (name, value), inside)
        if answer.code:
            raise Closed()
        self.session.values[name] = value

    async def end_failed(self, answer):
        """Ends a transaction of which a statement failed. It is retried."""
        if answer.state == b"I" or self.random.random() < 0.3:
            self.drop()
            return True
        rollback = await self.send(b"ROLLBACK", self.attempt())
        if rollback.code or rollback.state != b"I":
            self.drop()
        return True
