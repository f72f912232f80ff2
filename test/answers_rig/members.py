"""Members of database groups that speak the line protocol, with troubles."""

import asyncio
import dataclasses
import itertools
import random
from typing import Optional

import texts

MAX_LINE_BYTES = 1 << 21
# Time from a promotion until it takes effect.
PROMOTION_S = 0.3
WORK_MS = (1, 4)
# How much later than the primary a replica has a commit.
REPLICATION_MS = (1, 60)
# Delays of answers that are in trouble.
REPEAT_DELAY_MS = 150
# Share of the repeated answers that come just before a later answer of their
# connection, if that is sent within the delay, and the most answers between.
BEFORE_LATER_SHARE = 0.6
MAX_ANSWERS_BETWEEN = 8
PIECE_PAUSE_MS = 15
LOST_SHARE = 0.01
CUT_SHARE = 0.01


@dataclasses.dataclass
class Troubles:
    """What members do to their answers. `text`: rows hold what reads like the
    protocol (callers' texts as well). `repeat`: some answers to callers'
    statements come twice. `own`: so do answers to the gateways' own statements
    and to the start of a connection. `busy`: some statements are refused
    without a run, as BUSY or LAGGING. `begin`: so is BEGIN, as BUSY. `setup`: so
    are SET and RESET outside a transaction. `pieces`: every answer comes in two
    pieces (some callers' statements as well). `lost`: some answers never come
    or end in the middle."""
    text: bool = False
    repeat: bool = False
    own: bool = False
    busy: bool = False
    begin: bool = False
    setup: bool = False
    pieces: bool = False
    lost: bool = False
    # Share of the answers that come twice, and of the refused statements.
    repeated_share: float = 0.15
    refused_share: float = 0.10

    @staticmethod
    def names():
        return [f.name for f in dataclasses.fields(Troubles) if f.type is bool]

    def stop(self):
        for name in self.names():
            setattr(self, name, False)


@dataclasses.dataclass(eq=False)
class HeldBack:
    """A repeated answer that is to come just before a later one."""
    data: bytes
    answers_between: int


@dataclasses.dataclass
class Transaction:
    read_only: bool
    owner: Optional[object] = None
    writes: list = dataclasses.field(default_factory=list)
    failed: bool = False


class Group:
    """A service: its log and its members, the first of which leads."""

    def __init__(self, service, size, slots, max_connections, record, troubles,
                 seed):
        self.service, self.slots = service, slots
        self.max_connections = max_connections
        self.record, self.troubles = record, troubles
        self.term = 1
        self.promotions = 0
        # Reports a change of the members' roles.
        self.on_roles = lambda: None
        # Per commit: its writes, as (statement, item, data).
        self.log = []
        self.members = [Member(self, f"{service}-{n}", n == 0,
                               random.Random(f"{seed}.{service}.{n}"))
                        for n in range(size)]

    async def start(self):
        for member in self.members:
            await member.start()

    async def stop(self):
        for member in self.members:
            await member.stop()

    def promote(self, name):
        """Lets a member lead the next term, soon. Returns whether there is
        such a member."""
        found = [m for m in self.members if m.id == name]
        if found and not found[0].leads:
            asyncio.get_running_loop().call_later(PROMOTION_S, self.lead,
                                                  found[0])
        return bool(found)

    def lead(self, member):
        """Every member has received all commits, so none is lost. The primary
        before it becomes a replica at once."""
        if member.leads:
            return
        self.promotions += 1
        self.term += 1
        for other in self.members:
            if other.leads:
                other.applied = len(self.log)
            other.leads = other is member
        member.apply(len(self.log))
        self.on_roles()

    def commit(self, writes):
        """Appends a commit. Returns its number."""
        self.log.append(writes)
        number = len(self.log)
        loop = asyncio.get_running_loop()
        for member in self.members:
            if not member.leads:
                loop.call_later(member.random.uniform(*REPLICATION_MS) / 1000,
                                member.apply, number)
        return number


class Connection:
    """A gateway's connection to a member."""

    numbers = itertools.count(1)

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.name = f"c{next(Connection.numbers)}"
        self.customer = None
        self.values, self.prepared = {}, {}
        self.transaction = None
        self.lock = asyncio.Lock()
        # Repeated answers that are to come just before a later answer.
        self.held_back = []
        # Whether it sends no more answers.
        self.mute = False

    def state(self):
        if self.transaction is None:
            return "I"
        return "E" if self.transaction.failed else "T"

    async def send(self, data, cut_at=None):
        """Sends an answer whole, or in two pieces."""
        async with self.lock:
            if self.mute or self.writer.is_closing():
                return
            if cut_at is None:
                self.writer.write(data)
                await self.writer.drain()
                return
            self.writer.write(data[:cut_at[0]])
            await self.writer.drain()
            await asyncio.sleep(cut_at[1])
            self.writer.write(data[cut_at[0]:])
            await self.writer.drain()


class Member:
    """One member of a group."""

    def __init__(self, group, name, leads, seeded):
        self.group, self.id, self.leads = group, name, leads
        self.service = group.service
        self.random = seeded
        self.texts = texts.Texts(seeded, True)
        self.record, self.troubles = group.record, group.troubles
        self.applied = 0
        self.items = {}
        self.connections = set()
        # Tasks: one for each connection and for each answer to be repeated.
        self.sessions, self.repeats = set(), set()
        self.serial = itertools.count(1)
        self.port = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=MAX_LINE_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes all connections and waits until nothing runs any more."""
        self.server.close()
        for connection in self.connections:
            connection.writer.transport.abort()
        await asyncio.gather(*self.sessions, *self.repeats)

    def entry(self, zone):
        """Returns its entry for the metadata store."""
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": zone, "version": "v1", "slots": self.group.slots,
                "state": "ready", "cold-left-ms": 0,
                "db-role": "primary" if self.leads else "replica",
                "seq-num": 1, "born": 1700}

    def held(self):
        return len(self.group.log) if self.leads else self.applied

    def apply(self, number):
        """Applies the log up to a commit."""
        for writes in self.group.log[self.applied:number]:
            for _, item, data in writes:
                self.items[item] = data
        self.applied = max(self.applied, number)

    # Connections.

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        self.sessions.add(asyncio.current_task())
        try:
            if await self.greet(connection):
                await self.serve_statements(connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            self.sessions.discard(asyncio.current_task())
            connection.transaction = None
            writer.close()

    async def greet(self, connection):
        line = await connection.reader.readuntil(b"\r\n")
        fields = line[:-2].decode(errors="replace").split(" ")
        if (fields[0] != "START" or fields[1] != self.service or
                fields[3:] not in ([], [self.id])):
            connection.writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode())
            return False
        if len(self.connections) > self.group.max_connections:
            connection.writer.write(f"ERROR CONNLIMIT {self.id}\r\n".encode())
            return False
        connection.customer = fields[2]
        return await self.deliver(connection, b"-", self.ready(connection))

    def ready(self, connection):
        return (f"READY {connection.state()} {self.group.term}."
                f"{self.held()}\r\n").encode()

    async def serve_statements(self, connection):
        while True:
            line = (await connection.reader.readuntil(b"\r\n"))[:-2]
            word, _, rest = line.partition(b" ")
            if not self.record.check("UNASKED", word == b"QUERY",
                                     f"a gateway sent {line!r}", b"-", self.id,
                                     connection.name):
                return
            self.record.trace(connection, "got", line)
            identity, _, text = rest.partition(b" ")
            outcome = await self.run(connection, identity, text)
            if not await self.deliver(connection, identity,
                                      outcome + self.ready(connection)):
                return

    async def deliver(self, connection, identity, data):
        """Sends an answer, with the troubles that are on. Returns whether the
        connection goes on."""
        is_own = identity == b"-"
        if self.troubles.lost and not is_own:
            luck = self.random.random()
            if luck < CUT_SHARE + LOST_SHARE:
                self.record.trace(connection, "loses", data)
            if luck < CUT_SHARE:
                await connection.send(
                    data[:self.random.randint(0, len(data))])
                return False
            if luck < CUT_SHARE + LOST_SHARE:
                connection.mute = self.random.random() < 0.5
                return True
        for held in list(connection.held_back):
            held.answers_between -= 1
            if held.answers_between < 0:
                await self.send_held_back(connection, held)
        self.record.trace(connection, "answers", data)
        await connection.send(data, self.piece(data))
        repeats = self.troubles.own if is_own else self.troubles.repeat
        if repeats and self.random.random() < self.troubles.repeated_share:
            self.plan_repeat(connection, data)
        return True

    def plan_repeat(self, connection, data):
        if self.random.random() < BEFORE_LATER_SHARE:
            held = HeldBack(data, self.random.randrange(MAX_ANSWERS_BETWEEN))
            connection.held_back.append(held)
            repeat = self.repeat_held_back(connection, held)
        else:
            repeat = self.repeat(connection, data)
        task = asyncio.create_task(repeat)
        self.repeats.add(task)
        task.add_done_callback(self.repeats.discard)

    def piece(self, data):
        if not self.troubles.pieces:
            return None
        return (self.random.randrange(1, len(data)),
                self.random.uniform(0, PIECE_PAUSE_MS) / 1000)

    async def repeat(self, connection, data):
        await asyncio.sleep(self.random.uniform(0, REPEAT_DELAY_MS) / 1000)
        await self.send_again(connection, data)

    async def repeat_held_back(self, connection, held):
        await asyncio.sleep(REPEAT_DELAY_MS / 1000)
        await self.send_held_back(connection, held)

    async def send_held_back(self, connection, held):
        """Sends a repeated answer, unless it has been sent."""
        if held in connection.held_back:
            connection.held_back.remove(held)
            await self.send_again(connection, held.data)

    async def send_again(self, connection, data):
        self.record.trace(connection, "repeats", data)
        try:
            await connection.send(data, self.piece(data))
        except ConnectionError:
            pass  # The gateway has closed the connection.

    # Statements. The functions return an answer without READY.

    async def run(self, connection, identity, text):
        verb, _, rest = text.partition(b" ")
        if verb == b"AFTER":
            position, _, rest = rest.partition(b" ")
            lags = (self.troubles.busy and not self.leads and
                    self.is_refused())
            if lags or int(position.partition(b".")[2]) > self.held():
                self.record.run(self, connection, identity, rest)
                return self.error(connection, "LAGGING")
            text = rest
        statement = self.record.run(self, connection, identity, text)
        if identity == b"-":
            if (self.troubles.begin and text.startswith(b"BEGIN") and
                    self.is_refused()):
                return self.error(connection, "BUSY")
            if (self.troubles.setup and connection.transaction is None and
                    text.startswith((b"SET ", b"RESET")) and
                    self.is_refused()):
                return self.error(connection, "BUSY")
            return self.run_own(connection, text)
        if statement is None:
            return self.error(connection, "MALFORMED")
        await asyncio.sleep(self.random.uniform(*WORK_MS) / 1000)
        if self.troubles.busy and self.is_refused():
            return self.error(connection, "BUSY")
        if connection.state() == "E":
            return self.error(connection, "MALFORMED")
        return self.run_data(connection, statement, text)

    def is_refused(self):
        return self.random.random() < self.troubles.refused_share

    def error(self, connection, code):
        if connection.transaction is not None:
            connection.transaction.failed = True
        return f"ERROR {code} {self.id}\r\n".encode()

    def run_own(self, connection, text):
        verb, _, rest = text.partition(b" ")
        if verb == b"STATUS":
            role = "primary" if self.leads else "replica"
            term = self.group.term
            return (f"ROW {role} {term} {term}.{len(self.group.log)} {term} 0 0"
                    f" {len(self.connections)}\r\nCOMPLETE -\r\n").encode()
        if verb == b"ROLLBACK":
            connection.transaction = None
        elif connection.state() == "E":
            return self.error(connection, "MALFORMED")
        elif verb == b"BEGIN":
            if rest != b"READ" and not self.leads:
                return self.error(connection, "READONLY")
            connection.transaction = Transaction(rest == b"READ")
        elif verb == b"RESET":
            connection.values, connection.prepared = {}, {}
        elif verb == b"SET":
            name, _, value = rest.partition(b" ")
            connection.values[name] = value
        elif verb == b"PREPARE":
            name, _, definition = rest.partition(b" ")
            access, _, shape = definition.partition(b" ")
            connection.prepared[name] = (access, shape)
        return b"COMPLETE -\r\n"

    def run_data(self, connection, statement, text):
        if text == b"COMMIT":
            return self.commit(connection, statement)
        verb, _, rest = text.partition(b" ")
        if verb == b"EXECUTE":
            name, _, rest = rest.partition(b" ")
            if name not in connection.prepared:
                return self.error(connection, "NOSTMT")
            verb = connection.prepared[name][0]
        item, _, data = rest.partition(b" ")
        if verb == b"WRITE":
            return self.write(connection, statement, item, data)
        self.record.read(statement, self, connection)
        return self.complete(connection, statement, self.rows(connection, item))

    def rows(self, connection, item):
        """Returns the value of an item, and rows that no other answer has."""
        own = connection.transaction.writes if connection.transaction else []
        written = [data for _, name, data in own if name == item]
        value = written[-1] if written else self.items.get(item, b"none")
        rows = [value]
        for _ in range(self.random.randint(1, 3)):
            serial = f"{self.id}.{next(self.serial)}".encode()
            field = (self.texts.field() if self.troubles.text
                     else self.texts.word().encode())
            rows.append(self.random.choice([serial + field, field + serial]))
        return rows

    def complete(self, connection, statement, rows):
        signature = f"signed.{self.id}.{next(self.serial)}".encode()
        self.record.answer(statement.id, signature, rows, self, connection)
        lines = [b"ROW " + row + b"\r\n" for row in rows]
        return b"".join(lines) + b"COMPLETE " + signature + b"\r\n"

    def write(self, connection, statement, item, data):
        transaction = connection.transaction
        if not self.leads or (transaction and transaction.read_only):
            return self.error(connection, "READONLY")
        if transaction:
            transaction.writes.append((statement, item, data))
        else:
            self.append(connection, [(statement, item, data)])
        return self.complete(connection, statement, [])

    def commit(self, connection, statement):
        transaction, connection.transaction = connection.transaction, None
        if transaction is None:
            return self.error(connection, "MALFORMED")
        if transaction.writes and not self.leads:
            return self.error(connection, "READONLY")
        if transaction.writes:
            self.append(connection, transaction.writes)
        return self.complete(connection, statement, [])

    def append(self, connection, writes):
        number = self.group.commit(writes)
        self.apply(number)
        self.record.commit(self, connection, [w[0] for w in writes], number)
