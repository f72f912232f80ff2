"""Stand-in for the platform's metadata store and its promotion call."""

import asyncio
import json
import time
import urllib.parse

ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 503: "Service Unavailable"}


class Store:
    """Objects by kind and name with one revision counter and watches."""

    def __init__(self, record, promote):
        self.record = record
        self.promote = promote
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.server = None
        self.port = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    # Changes.

    def note(self, kind, name, removed):
        self.events.append((self.revision, kind, removed,
                            json.loads(json.dumps(self.objects[kind][name]))))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        kinds = self.objects.setdefault(kind, {})
        known = kinds.get(name)
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        kinds[name] = {"meta": {"name": name, "revision": self.revision,
                                "created": created, "finalizers": [],
                                "deleting": False},
                       "spec": spec, "status": {}}
        self.note(kind, name, False)
        return kinds[name]

    def delete(self, kind, name):
        if name not in self.objects.get(kind, {}):
            return
        self.revision += 1
        self.note(kind, name, True)
        del self.objects[kind][name]

    # HTTP.

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                await asyncio.sleep(ANSWER_DELAY_S)
                status, answer = await self.handle(method, target, headers,
                                                   body)
                data = json.dumps(answer).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode()
                             + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(p) for p in parts.path.split("/") if p]
        sent = json.loads(body) if body else {}
        if path == ["promote"]:
            return self.promote(sent["service"], sent["id"],
                                headers["x-duty-holder"],
                                int(headers["x-fencing-token"])), {}
        if path[:2] != ["-", "objects"]:
            return 404, {}
        kind, name = path[2], (path[3] if len(path) > 3 else None)
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]),
                                        int(query.get("wait-ms", 0)))
            return self.list(kind, query.get("after", ""))
        return self.change(method, kind, name, query, sent)

    def list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][n] for n in names[:PAGE_ITEMS]]
        return 200, {"items": items, "more": len(names) > PAGE_ITEMS,
                     "current-rev": self.revision}

    async def watch(self, kind, since, wait_ms):
        if since > self.revision:
            return 410, {}
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": item, "removed": removed}
                      for revision, k, removed, item in self.events
                      if k == kind and revision > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, method, kind, name, query, sent):
        meta = sent.get("meta", {})
        name = name or meta.get("name")
        known = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "POST" and known:
            return 409, known
        if method in ("PUT", "DELETE") and not known:
            return 404, {}
        expected = meta.get("revision", query.get("revision"))
        if expected is not None and int(expected) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        self.record(f"store: {method} {kind}/{name} "
                    f"{json.dumps(sent.get('spec'))}")
        return 200, self.put(kind, name, sent.get("spec"))
