"""Starts gateways with the command and the settings template of the deploy
file, and speaks to them as a client."""

import asyncio
import json
import os
import pathlib
import re
import socket
import subprocess
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def fill(template, fields):
    """Fills in placeholders of the form {{a.b|json}}."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[part]
        return json.dumps(found)
    return re.sub(r"\{\{([a-z.-]+)\|json\}\}", value, template)


class Gateway:
    """One gateway process."""

    def __init__(self, folder, name, zone, store_port, promote_port=None):
        self.name = name
        self.front, self.ready, self.internal = (free_port()
                                                 for _ in range(3))
        fields = {
            "node-name": name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{self.front}",
                       "ready": f"127.0.0.1:{self.ready}"},
            "internal-ports": [self.internal, self.internal],
            "limits": {"cpu-share": 0.25, "cores": 1},
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "cloud-api": {"address":
                          f"127.0.0.1:{promote_port or store_port}"},
            "bounds": {"revoke-ms": 5000, "grace-s": 6}}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        template = (ROOT / role["template"]).read_text()
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.settings.write_text(fill(template, fields))
        self.command = role["run"].split(" ")
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None

    def start(self, output=None):
        """Starts the process; its output goes to a file or to `output`."""
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["JASMINELUG_CONFIG"] = str(self.settings)
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=env,
                                        stdout=output or self.log,
                                        stderr=output or self.log)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def probe(self):
        try:
            with urllib.request.urlopen(
                    f"http://127.0.0.1:{self.ready}/-/readiness",
                    timeout=1) as reply:
                return reply.status == 200
        except OSError:
            return False

    async def wait_ready(self, limit_s=20):
        loop = asyncio.get_running_loop()
        for _ in range(int(limit_s / 0.1)):
            if await loop.run_in_executor(None, self.probe):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} did not become ready")


class Session:
    """A client's session. Answers are (kind, text, rows, state)."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port, database, key):
        reader, writer = await asyncio.open_connection("127.0.0.1", port,
                                                       limit=1 << 21)
        session = cls(reader, writer)
        writer.write(f"START {database} {key}\r\n".encode())
        line = await session.line(2)
        if not line.startswith("READY"):
            session.close()
            raise ConnectionError(line)
        return session

    async def line(self, limit_s):
        data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)
        return data.decode()[:-2]

    async def query(self, identity, text, limit_s=5):
        self.writer.write(f"QUERY {identity} {text}\r\n".encode())
        rows, kind, message = [], "", ""
        while True:
            line = await self.line(limit_s)
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "READY":
                return kind, message, rows, rest.split(" ")[0]
            else:
                kind, message = word, rest

    def close(self):
        self.writer.close()


def manifest(version, service, keys, route_type="primary", sync=0,
             max_conns=50, rate=200, timeout_ms=1000, database="beds"):
    """A manifest with one route, one service and one tenant."""
    route = {"name": "r-1", "host": database, "path-prefix": "/",
             "route-type": route_type, "timeout-ms": timeout_ms,
             "latency-slo-ms": 400, "priority": 1, "service": service,
             "max-attempts": 2, "public": False}
    if route_type != "primary":
        route["max-staleness-ms"] = 1500
    return {"version": version, "routes": [route],
            "services": [{"name": service, "health-path": "/health",
                          "max-conns": max_conns, "protocol": "h1",
                          "tls": False, "cold-start-s": 0.0,
                          "cold-per-s": 0.0, "sync-replicas": sync}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                       "tx-idle-ms": 3000},
            "tenants": [{"name": "shelters", "api-keys": keys, "priority": 1,
                         "rate-per-s": rate, "burst": rate}]}
