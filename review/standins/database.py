"""Stand-in for one database group whose members speak the line protocol."""

import asyncio
import time

PROMOTE_S = 0.6
NETWORK_S = 0.001
WORK_S = 0.004
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
STEP_DOWN_S = 1.0


class Member:
    """One member: its log holds (statement id, item, data) per commit."""

    def __init__(self, group, name, zone, lag_s):
        self.group, self.name, self.zone, self.lag_s = group, name, zone, lag_s
        self.role = "replica"
        self.term = 1
        self.log = []  # what was received, in order
        self.applied = 0
        self.deaf = False
        self.running = True
        self.state = "ready"
        self.received = asyncio.Event()
        self.writers = set()
        self.port = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port or 0, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def position(self):
        held = len(self.log) if self.role == "primary" else self.applied
        return f"{self.term}.{held}"

    # Replication.

    def receive(self, leader, upto):
        """Gets the leader's log up to a number, unless it is cut off."""
        if not self.running or self.deaf or leader.role != "primary":
            return
        if leader.term < self.term:
            return
        self.term = leader.term
        if upto > len(self.log):
            self.log = leader.log[:upto]
            leader.note_received()
            asyncio.get_running_loop().call_later(self.lag_s, self.apply, upto)

    def apply(self, upto):
        self.applied = max(self.applied, min(upto, len(self.log)))

    def note_received(self):
        self.received.set()
        self.received = asyncio.Event()

    async def commit(self, writes):
        """Appends the writes. Returns whether the commit is acknowledged."""
        self.log += writes
        number = len(self.log)
        loop = asyncio.get_running_loop()
        for other in self.group.members.values():
            if other is not self:
                loop.call_later(NETWORK_S, other.receive, self, number)
        while self.group.sync and not any(
                other is not self and other.running and
                len(other.log) >= number
                for other in self.group.members.values()):
            await self.received.wait()
        return True

    # Protocol.

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.session(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def session(self, reader, writer):
        start = (await reader.readuntil(b"\r\n")).decode().strip().split(" ")
        if start[1] != self.group.name or (len(start) > 3 and
                                           start[3] != self.name):
            writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
            return
        writer.write(f"READY I {self.position()}\r\n".encode())
        session = {"tx": None, "read_only": False, "prepared": {}}
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            query, _, text = rest.partition(" ")
            if query != "-":
                self.group.on_statement(self, query, text)
            answer = await self.run(session, query, text)
            state = "I" if session["tx"] is None else "T"
            writer.write(f"{answer}READY {state} {self.position()}\r\n".encode())
            await writer.drain()

    async def run(self, session, query, text):
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            position, _, inner = rest.partition(" ")
            term, number = map(int, position.split("."))
            if (term, number) > tuple(map(int, self.position().split("."))):
                return f"ERROR LAGGING {self.name}\r\n"
            return await self.run(session, query, inner)
        if verb == "STATUS":
            return (f"ROW {self.role} {self.term} {self.term}.{len(self.log)} "
                    f"{self.term} 0 0 {len(self.writers)}\r\nCOMPLETE -\r\n")
        if verb in ("SET", "RESET", "RELEASE"):
            return "COMPLETE -\r\n"
        if verb == "PREPARE":
            name, access, _ = (rest + " ").split(" ", 2)
            session["prepared"][name] = access
            return "COMPLETE -\r\n"
        if verb == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return f"ERROR READONLY {self.name}\r\n"
            session["tx"] = []
            return "COMPLETE -\r\n"
        if verb == "ROLLBACK":
            session["tx"] = None
            return "COMPLETE -\r\n"
        await asyncio.sleep(WORK_S)
        if verb == "COMMIT":
            writes, session["tx"] = session["tx"] or [], None
            if writes and self.role != "primary":
                return f"ERROR READONLY {self.name}\r\n"
            if writes:
                await self.commit(writes)
            return f"COMPLETE sig.{query}\r\n"
        access = {"READ": "READ", "WRITE": "WRITE"}.get(verb)
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            access = session["prepared"].get(name)
            if access is None:
                return f"ERROR NOSTMT {name}\r\n"
        item, _, data = rest.partition(" ")
        if access == "WRITE":
            return await self.write(session, query, item, data)
        held = self.log if self.role == "primary" else self.log[:self.applied]
        value = next((d for _, i, d in reversed(held) if i == item), "none")
        rows = self.group.rows.get(item, [value])
        return "".join(f"ROW {row}\r\n" for row in rows) + \
            f"COMPLETE sig.{query}\r\n"

    async def write(self, session, query, item, data):
        if self.role != "primary":
            return f"ERROR READONLY {self.name}\r\n"
        entry = (query, item, data)
        if session["tx"] is not None:
            session["tx"].append(entry)
        else:
            await self.commit([entry])
        return f"COMPLETE sig.{query}\r\n"


class Group:
    """The members of one service, their entries in the store, promotions."""

    def __init__(self, record, name, sync):
        self.record, self.name, self.sync = record, name, sync
        self.members = {}
        self.store = None
        self.fences = []
        self.on_promoted = lambda member: None
        self.on_statement = lambda member, query, text: None
        # Items with an answer of many rows.
        self.rows = {}
        self.beats = 0

    async def start(self, places):
        for name, zone, lag_s in places:
            self.members[name] = Member(self, name, zone, lag_s)
            await self.members[name].start()
        first = next(iter(self.members.values()))
        first.role = "primary"

    def primary(self):
        leaders = [m for m in self.members.values()
                   if m.role == "primary" and m.running]
        return max(leaders, key=lambda m: m.term) if leaders else None

    def publish(self, member):
        self.store.put("servers", member.name, {
            "service": self.name, "address": f"127.0.0.1:{member.port}",
            "zone": member.zone, "version": "v1", "slots": 8,
            "state": member.state, "cold-left-ms": 0, "db-role": member.role,
            "seq-num": self.beats, "born": 1700})

    async def heartbeats(self):
        silent = {}
        while True:
            self.beats += 1
            for member in self.members.values():
                silent[member.name] = (0 if member.running
                                       else silent.get(member.name, 0) + 1)
                if member.running:
                    self.publish(member)
                elif silent[member.name] == SILENT_HEARTBEATS:
                    self.store.delete("servers", member.name)
            await asyncio.sleep(HEARTBEAT_S)

    def promote(self, service, name, holder, fence):
        self.record(f"platform: POST /promote service={service} id={name} "
                    f"holder={holder} fence={fence}")
        self.fences.append((time.monotonic(), holder, fence, name))
        member = self.members.get(name)
        if service != self.name or not member or not member.running:
            return 409
        if member.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTE_S, self.lead, member)
        return 200

    def lead(self, member):
        if not member.running or member.role == "primary":
            return
        old = max(self.members.values(), key=lambda m: m.term)
        member.term = old.term + 1
        member.role = "primary"
        member.applied = len(member.log)
        self.record(f"database: {member.name} leads term {member.term} with "
                    f"{len(member.log)} commits")
        self.on_promoted(member)
        loop = asyncio.get_running_loop()
        for other in self.members.values():
            if other is member:
                continue
            if other.role == "primary":
                loop.call_later(STEP_DOWN_S, self.follow, other, member)
            else:
                self.follow(other, member)
        self.publish(member)

    def follow(self, member, leader):
        """Makes a member a replica of the leader; rolls back what is ahead."""
        if leader.role != "primary":
            return
        member.role = "replica"
        member.log = member.log[:len(leader.log)]
        member.applied = min(member.applied, len(member.log))
        member.receive(leader, len(leader.log))
        if member.running:
            self.publish(member)
