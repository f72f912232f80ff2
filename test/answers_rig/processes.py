"""Starts the gateways and the stand-in of the platform, whose store they
read."""

import asyncio
import datetime
import itertools
import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

READY_TIMEOUT_S = 15
# Pauses between the restarts of one gateway, and before it starts again.
RESTART_PAUSE_S = (0.2, 1.5)
DOWN_S = (0, 0.6)
KILLED_SHARE = 0.5
# Time after SIGTERM at which the platform kills the process.
GRACE_S = 6
# Below the ports that the system gives to outgoing connections, one of which
# might take a port before its gateway does.
FIRST_PORT = 20000
# Each rig that runs at the same time has ports of its own.
PORTS_PER_RIG = 40
RIGS = 300


def is_free(port):
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


def free_ports():
    """Yields free ports, none twice in a row of PORTS_PER_RIG."""
    first = FIRST_PORT + os.getpid() % RIGS * PORTS_PER_RIG
    for port in itertools.cycle(range(first, first + PORTS_PER_RIG)):
        if is_free(port):
            yield port


PORTS = free_ports()


class Platform:
    """The stand-in of the platform. Only its store is used: the members are
    those of the rig."""

    def __init__(self, build):
        self.process = subprocess.Popen(
            [f"{build}/test/fake_line_platform/fake_line_platform"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        port = json.loads(self.process.stdout.readline())["port"]
        self.address = f"127.0.0.1:{port}"

    def call(self, method, path, body=None):
        request = urllib.request.Request(
            f"http://{self.address}/-/objects/{path}", method=method,
            data=json.dumps(body).encode() if body else None)
        with urllib.request.urlopen(request, timeout=5) as reply:
            return json.loads(reply.read())

    def configure(self, configuration, entries):
        """Replaces its own members and configuration by those of the rig."""
        for item in self.call("GET", "servers")["items"]:
            self.call("DELETE", "servers/" + item["meta"]["name"])
        for name, spec in entries.items():
            self.call("POST", "servers", {"meta": {"name": name}, "spec": spec})
        self.call("PUT", "config/main",
                  {"meta": {"name": "main"}, "spec": configuration})

    def publish(self, entries):
        """Writes the entries of members again."""
        for name, spec in entries.items():
            self.call("PUT", "servers/" + name,
                      {"meta": {"name": name}, "spec": spec})


class Gateway:
    """A gateway process with its own settings file and log."""

    def __init__(self, build, folder, name, zone):
        self.name, self.zone = name, zone
        self.callers, self.status = next(PORTS), next(PORTS)
        self.settings = folder / f"{name}.json"
        self.command = [f"{build}/apps/gateway/jasminelug-gateway",
                        "--settings", str(self.settings)]
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.restarts = 0

    def configure(self, store, promotion):
        """Writes the settings, with the addresses of the platform's
        services."""
        self.settings.write_text(json.dumps({
            "instance": self.name, "zone": self.zone,
            "callers": f"127.0.0.1:{self.callers}",
            "status": f"127.0.0.1:{self.status}",
            "peer_address": "127.0.0.1", "peer_ports": [next(PORTS)],
            "store": store, "promotion": promotion}))

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log,
                                            stderr=log)

    def is_ready(self):
        try:
            with urllib.request.urlopen(
                    f"http://127.0.0.1:{self.status}/-/readiness",
                    timeout=2) as reply:
                return reply.status == 200
        except OSError:
            return False

    def wait_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                print(self.log_path.read_text(errors="replace"))
                raise SystemExit(f"{self.name} did not become ready")
            time.sleep(0.05)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def restart_often(self, seeded):
        """Ends the process by SIGTERM or SIGKILL and starts it again, until
        cancelled. Callers keep their connections until the process is gone."""
        while True:
            await asyncio.sleep(seeded.uniform(*RESTART_PAUSE_S))
            killed = seeded.random() < KILLED_SHARE
            self.process.send_signal(signal.SIGKILL if killed
                                     else signal.SIGTERM)
            deadline = time.monotonic() + GRACE_S
            while self.process.poll() is None:
                if time.monotonic() > deadline:
                    self.process.kill()
                await asyncio.sleep(0.02)
            await asyncio.sleep(seeded.uniform(*DOWN_S))
            self.start()
            self.restarts += 1

    def ensure_running(self):
        """Starts the process again unless it runs, and waits until it is
        ready."""
        try:
            # It may be stopping.
            if not self.is_ready():
                self.process.wait(timeout=GRACE_S)
        except subprocess.TimeoutExpired:
            pass  # It has just started.
        if self.process.poll() is not None:
            self.start()
        self.wait_ready()

    def log_lines(self):
        """Returns the lines of its log as (time, text)."""
        lines = []
        for text in self.log_path.read_text(errors="replace").splitlines():
            try:
                moment = datetime.datetime.fromisoformat(
                    json.loads(text)["time"])
            except (ValueError, KeyError, TypeError):
                moment = None  # Not a line of the log's own.
            lines.append((moment, text))
        return lines
