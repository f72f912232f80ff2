"""Stand-ins for the cases of the second review: the platform's store with the
promotion call, the members of a service, and the start of a gateway process
with the command, the template and the build of the deploy file.

The stand-ins follow PROTOCOL.md. Where it is silent, they behave like a sound
server. They run in one asyncio loop, and everything is on loopback addresses.
"""

import asyncio
import collections
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STREAM_LIMIT = 4 << 20
WRITE_BUFFER = 64 << 10
TCP_ESTABLISHED = "01"
PAGE_ITEMS = 500
# Those of the small site bedline-tt.
GROUP = "beds-group"
TENANT = "shelters"
KEY = "key-1"
KEY_OF_OTHERS = "key-2"
WORK_S = 0.008
NEW_CONNECTION_S = 0.012
PROMOTE_S = 0.6
HEARTBEAT_S = 1.2
MAX_MESSAGE_BYTES = 1 << 20


class Record:
    """What was sent, answered and run, as a text file in the case's folder."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file, flush=True)

    def say(self, text):
        self.note(text)
        print(text, flush=True)


class Store:
    """The platform's store: objects by kind and name, watches, one revision."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = collections.defaultdict(dict)
        self.history = []
        self.changed = asyncio.Event()
        self.promote = None
        self.calls = 0
        # Decides which answers are lost, if set: called with the target and the
        # answer. A connection on which an answer was lost returns nothing more.
        self.loses = None
        self.answers = self.lost = 0

    async def start(self, address):
        self.server = await asyncio.start_server(
            self.serve, *address, limit=STREAM_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    def stored(self, kind, name, spec, status, finalizers):
        self.revision += 1
        known = self.objects[kind].get(name)
        created = known["meta"]["created"] if known else self.revision
        thing = {"meta": {"name": name, "revision": self.revision,
                          "created": created, "finalizers": finalizers,
                          "deleting": False},
                 "spec": spec, "status": status}
        self.objects[kind][name] = thing
        self.tell(kind, False, thing)
        return thing

    def tell(self, kind, removed, thing):
        self.history.append((self.revision, kind, removed, thing))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """A write of the operator or of a member."""
        known = self.objects[kind].get(name)
        if known and known["spec"] == spec:
            return known
        return self.stored(kind, name, spec,
                           known["status"] if known else None, [])

    def remove(self, kind, name):
        thing = self.objects[kind].pop(name, None)
        if thing:
            self.revision += 1
            self.tell(kind, True, thing)
        return thing

    async def serve(self, reader, writer):
        lost = False
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {k.lower(): v.strip() for k, _, v in
                           (line.partition(":") for line in lines[1:])}
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                if lost:
                    continue
                status, answer = await self.answer(method, target, headers,
                                                   json.loads(body or b"{}"))
                self.answers += 1
                lost = self.loses is not None and self.loses(target, answer)
                if lost:
                    self.lost += 1
                    self.record.note(f"the answer to {method} {target} is lost")
                    continue
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        self.calls += 1
        url = urllib.parse.urlsplit(target)
        if url.path == "/promote" and method == "POST":
            self.record.note(f"promote {body} by {headers.get('x-duty-holder')}"
                             f" with {headers.get('x-fencing-token')}")
            return await self.promote(body)
        parts = url.path.split("/")
        if parts[:3] != ["", "-", "objects"] or len(parts) < 4:
            return 404, {}
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, name = parts[3], "/".join(parts[4:])
        if method == "GET" and "watch" in query:
            return await self.watch(kind, name, query)
        if method == "GET":
            return self.read(kind, name, query)
        return self.change(method, kind, name, query, body)

    def read(self, kind, name, query):
        if name:
            known = self.objects[kind].get(name)
            return (200, known) if known else (404, {})
        names = sorted(n for n in self.objects[kind]
                       if n > query.get("after", ""))
        return 200, {"items": [self.objects[kind][n]
                               for n in names[:PAGE_ITEMS]],
                     "more": len(names) > PAGE_ITEMS,
                     "current-rev": self.revision}

    async def watch(self, kind, name, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            events = [{"removed": removed, "object": thing}
                      for revision, k, removed, thing in self.history
                      if revision > since and k == kind and
                      (not name or thing["meta"]["name"] == name)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, method, kind, name, query, body):
        meta = body.get("meta", {})
        is_status = name.endswith("/status")
        if is_status:
            name = name[:-len("/status")]
        if method == "POST":
            name = meta.get("name", name)
        known = self.objects[kind].get(name)
        if method == "POST":
            if known:
                return 409, known
            return 200, self.stored(kind, name, body.get("spec"),
                                    body.get("status"),
                                    meta.get("finalizers", []))
        if not known:
            return 404, {}
        wanted = meta.get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self.remove(kind, name)
        spec, status = known["spec"], known["status"]
        finalizers = known["meta"]["finalizers"]
        if is_status:
            status = body.get("status")
        else:
            spec = body.get("spec")
            finalizers = meta.get("finalizers", finalizers)
        if (spec, status, finalizers) == (known["spec"], known["status"],
                                          known["meta"]["finalizers"]):
            return 200, known
        return 200, self.stored(kind, name, spec, status, finalizers)


class Service:
    """The members of one service, their common log and who leads."""

    def __init__(self, record, store, addresses, zones):
        self.record, self.store = record, store
        self.term, self.log = 1, []
        self.members = [Member(self, f"m{n}", address, zone)
                        for n, (address, zone) in
                        enumerate(zip(addresses, zones), 1)]
        self.primary = self.members[0]
        store.promote = self.promote
        self.work_s = WORK_S

    async def start(self):
        for member in self.members:
            await member.start()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            for member in self.members:
                if member.listed:
                    member.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def promote(self, body):
        chosen = [m for m in self.members if m.id == body.get("id")]
        if not chosen:
            return 409, {}
        if chosen[0] is self.primary:
            return 200, {}
        asyncio.create_task(self.take_over(chosen[0]))
        return 200, {}

    async def take_over(self, member):
        await asyncio.sleep(PROMOTE_S)
        self.term += 1
        self.primary = member
        self.record.note(f"{member.id} leads term {self.term}")
        for known in self.members:
            known.register()

    def value_of(self, item):
        for written in reversed(self.log):
            if item in written:
                return written[item]
        return "none"


class Member:
    """A member of a service, which speaks the wire protocol."""

    def __init__(self, service, name, address, zone):
        self.service, self.id, self.zone = service, name, zone
        self.address = address
        self.listed, self.state = True, "ready"
        self.beats = self.signatures = self.open = self.busy = 0
        self.born = int(time.time() * 1000)
        # Called with the connection's peer, the id and the text of what runs.
        self.on_run = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, limit=STREAM_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        self.beats += 1
        role = "primary" if self.service.primary is self else "replica"
        self.service.store.put("servers", self.id, {
            "service": GROUP, "address": f"{self.address[0]}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 3,
            "state": self.state, "cold-left-ms": 0, "db-role": role,
            "seq-num": self.beats, "born": self.born})

    def position(self):
        return f"{self.service.term}.{len(self.service.log)}"

    async def serve(self, reader, writer):
        self.open += 1
        session = {"writes": None, "prepared": {}, "read_only": False}
        try:
            if await self.greet(reader, writer):
                while True:
                    line = await reader.readuntil(b"\r\n")
                    await self.on_line(session, line[:-2].decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def greet(self, reader, writer):
        words = (await reader.readuntil(b"\r\n")).decode().split()
        if words[1] != GROUP or (len(words) > 3 and words[3] != self.id):
            writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode())
            return False
        if self.open > 21:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return False
        await asyncio.sleep(NEW_CONNECTION_S)
        writer.write(f"READY I {self.position()}\r\n".encode())
        await writer.drain()
        return True

    async def on_line(self, session, line, writer):
        _, name, text = line.split(" ", 2)
        answer = await self.run(session, name, text)
        state = "I" if session["writes"] is None else "T"
        writer.write(f"{answer}READY {state} {self.position()}\r\n".encode())
        await writer.drain()

    def signed(self):
        self.signatures += 1
        return f"COMPLETE signed.{self.id}.{self.signatures}\r\n"

    async def run(self, session, name, text):
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            position, _, text = rest.partition(" ")
            term, number = map(int, position.split("."))
            if (term, number) > (self.service.term, len(self.service.log)):
                return "ERROR LAGGING -\r\n"
            return await self.run(session, name, text)
        if verb == "STATUS":
            role = "primary" if self.service.primary is self else "replica"
            return (f"ROW {role} {self.service.term} {self.position()} "
                    f"{self.service.term} 0 {self.busy} {self.open}\r\n"
                    "COMPLETE -\r\n")
        if verb in ("PAUSE", "RESUME", "STEPDOWN"):
            return await self.run(session, name, "STATUS")
        if verb == "BEGIN":
            if rest != "READ" and self.service.primary is not self:
                return f"ERROR READONLY {self.id}\r\n"
            session["writes"], session["read_only"] = {}, rest == "READ"
            return "COMPLETE -\r\n"
        if verb == "PREPARE":
            words = rest.split(" ", 2)
            session["prepared"][words[0]] = words[1]
            return "COMPLETE -\r\n"
        if verb in ("SET", "RESET", "RELEASE"):
            if verb == "RESET":
                session["prepared"] = {}
            return "COMPLETE -\r\n"
        if verb == "ROLLBACK":
            session["writes"] = None
            return "COMPLETE -\r\n"
        return await self.run_data(session, name, verb, rest)

    async def run_data(self, session, name, verb, rest):
        if self.on_run:
            self.on_run(name, verb, rest)
        self.busy += 1
        await asyncio.sleep(self.service.work_s)
        self.busy -= 1
        if verb == "COMMIT":
            written, session["writes"] = session["writes"], None
            if written:
                self.service.log.append(written)
            return self.signed()
        if verb == "EXECUTE":
            prepared, _, rest = rest.partition(" ")
            if prepared not in session["prepared"]:
                return f"ERROR NOSTMT {prepared}\r\n"
            verb = session["prepared"][prepared]
        item, _, value = rest.partition(" ")
        if verb == "READ":
            own = (session["writes"] or {}).get(item)
            return f"ROW {own or self.service.value_of(item)}\r\n" + \
                self.signed()
        if self.service.primary is not self or session["read_only"]:
            return f"ERROR READONLY {self.id}\r\n"
        if session["writes"] is None:
            self.service.log.append({item: value})
        else:
            session["writes"][item] = value
        return self.signed()


def manifest(version, **changes):
    """A manifest with one service, a route to it and two tenants."""
    tenant = {"priority": 1, "rate-per-s": 2000, "burst": 2000}
    return {"version": version,
            "routes": [{"name": "r", "host": "beds", "path-prefix": "/",
                        "route-type": "read_your_writes", "timeout-ms": 1000,
                        "latency-slo-ms": 400, "priority": 2, "service": GROUP,
                        "max-attempts": 2, "max-staleness-ms": 2500,
                        "public": False}],
            "services": [{"name": GROUP, "health-path": "/health",
                          "max-conns": 21, "protocol": "h1", "tls": False,
                          "cold-start-s": 0.0, "cold-per-s": 0.0,
                          "sync-replicas": 0}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                       "tx-idle-ms": 3000},
            "tenants": [{"name": TENANT, "api-keys": [KEY]} | tenant,
                        {"name": "kiosks", "api-keys": [KEY_OF_OTHERS]} |
                        tenant]} | changes


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def lookup(fields, path):
    for key in path.split("."):
        fields = fields[int(key)] if isinstance(fields, list) else fields[key]
    return fields


def render(text, fields):
    """Fills in the parts of the template language that deploy/settings.json
    uses."""
    def section(match):
        table = fields[match[1]]
        keys = list(table)
        parts = []
        for number, key in enumerate(keys):
            part = match[2].replace("{{@}}", key)
            part = part.replace("{{.|json}}", json.dumps(table[key]))
            comma = "," if number + 1 < len(keys) else ""
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)
    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\|json\}\}",
                  lambda match: json.dumps(lookup(fields, match[1])), text)


class Gateway:
    """A gateway process of the deploy file on a loopback address of its own."""

    def __init__(self, name, ip, zone, zones, store, ports, folder, **limits):
        self.ip = ip
        self.front, self.ready, self.peers = ports
        fields = {
            "node-name": name, "zone": zone, "ip": ip,
            "zones": {z: "trinidad" for z in zones},
            "listen": {"front": f"{ip}:{self.front}",
                       "ready": f"{ip}:{self.ready}"},
            "internal-ports": self.peers,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260,
                       "max-fds": 4300, "link-mbps": 1000.0,
                       "disk-mb": 0} | limits,
            "platform": {"address": store}, "cloud-api": {"address": store},
            "bounds": {"revoke-ms": 5000, "grace-s": 6}}
        self.limits = fields["limits"]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        self.command = role["run"].split()
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.settings.write_text(
            render((ROOT / role["template"]).read_text(), fields))

    def start(self, stdout):
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=stdout,
            stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"],
                 "JASMINELUG_CONFIG": str(self.settings)})

    def memory_mb(self, key):
        """VmRSS or VmHWM of the process, or None if it is gone."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(key + r":\s+(\d+)", text)[1]) / 1024
        except (OSError, TypeError):
            return None

    def unread_mb(self, most_each):
        """What callers' connections have received and the process has not
        read, with at most `most_each` bytes for a connection."""
        packed = socket.inet_aton(self.ip)[::-1].hex().upper()
        local, total = f"{packed}:{self.front:04X}", 0
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                words = line.split()
                if words[1] == local and words[3] == TCP_ESTABLISHED:
                    total += min(int(words[4].split(":")[1], 16), most_each)
        return total / 1048576

    async def is_ready(self, timeout_s=1.0):
        """One probe of the platform; None without an answer."""
        try:
            return await asyncio.wait_for(self.probe(), timeout_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def probe(self):
        reader, writer = await asyncio.open_connection(self.ip, self.ready)
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            return (await reader.readuntil(b"\r\n")).split()[1] == b"200"
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=20):
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                return False
            await asyncio.sleep(0.1)
        return True

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Client:
    """A caller's session."""

    def __init__(self, gateway, key=KEY, database="beds"):
        self.gateway, self.key, self.database = gateway, key, database
        self.statements = 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.gateway.ip, self.gateway.front, limit=STREAM_LIMIT)
        self.writer.transport.set_write_buffer_limits(high=WRITE_BUFFER)
        self.writer.write(f"START {self.database} {self.key}\r\n".encode())
        return (await self.reader.readuntil(b"\r\n")).decode().strip()

    async def answer(self):
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await self.reader.readuntil(b"\r\n")
            lines.append(line.decode().strip())
            if lines[0].startswith("ERROR") and self.reader.at_eof():
                break
        return lines

    def send(self, name, text):
        self.writer.write(f"QUERY {name} {text}\r\n".encode())

    async def run(self, name, text, timeout_s=5.0):
        """The lines of the answer, or the reason why there is none."""
        try:
            self.send(name, text)
            return await asyncio.wait_for(self.answer(), timeout_s)
        except asyncio.TimeoutError:
            return ["NO ANSWER"]
        except (OSError, asyncio.IncompleteReadError):
            return ["CLOSED"]

    def close(self):
        self.writer.close()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, play, limit_s=110):
    """Runs the coroutine function `play` with a Record; it returns 0 or 1."""
    record = Record(case)
    try:
        code = asyncio.run(asyncio.wait_for(play(record), limit_s))
    except Exception as error:  # The case could not run.
        record.say(f"could not run: {type(error).__name__}: {error}")
        code = 2
    record.say(f"exit code {code}")
    sys.exit(code)
