"""Plays callers that harm a gateway's memory beside callers that do not, and
checks the gateway's peak memory and the served share of the others.

Prints one JSON line with the figures. Fails if the gateway ends, if its peak
memory exceeds MAX_MEMORY_SHARE of its limit, or if the others' served share is
lower by more than MAX_LOSS than before the harmful callers came.
"""

import argparse
import collections
import json
import multiprocessing
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
import demo_gateway  # noqa: E402

MAX_MEMORY_SHARE = 0.7
MAX_LOSS = 0.02
KINDS = ("flood", "rows", "half", "silent", "values")
OTHERS = 10
OTHERS_PAUSE_S = 0.1
OBJECTIVE_S = 0.4
STEP_S = 0.02
RECONNECT_S = 0.2
# What one harmful caller reads, and what it sends at most in a step.
READ_BYTES_PER_S = 64 * 1024
SENT_BYTES_PER_STEP = 256 * 1024
LARGE_ITEM_BYTES = 256 * 1024
FLOOD = b"QUERY f ROLLBACK\r\n" * 2000
ROWS = b"QUERY r READ large\r\n" * 64
VALUE = b"x" * (64 * 1024)
HALF_LINE = b"QUERY h WRITE 1 " + b"x" * (900 * 1024)


class HarmfulCaller:
    """One connection that sends without a pause and reads slowly."""

    def __init__(self, port, kind):
        self.port, self.kind = port, kind
        self.socket, self.not_before, self.closed = None, 0.0, 0
        self.read = self.sets = 0

    def connect(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.socket.settimeout(5)
        self.socket.connect(("127.0.0.1", self.port))
        self.pending = b""
        if self.kind != "silent":
            self.pending = b"START beds key-kiosks\r\n"
        if self.kind == "half":
            self.pending += HALF_LINE
        self.socket.setblocking(False)

    def step(self):
        now = time.monotonic()
        if now < self.not_before:
            return
        try:
            if self.socket is None:
                self.connect()
            self.send()
            self.receive()
        except BlockingIOError:
            pass
        except OSError:
            self.closed += 1
            self.socket.close()
            self.socket, self.not_before = None, now + RECONNECT_S

    def next_statements(self):
        if self.kind == "values":
            self.sets += 1
            return b"QUERY s SET v%d %s\r\n" % (self.sets, VALUE)
        return {"flood": FLOOD, "rows": ROWS}.get(self.kind, b"")

    def send(self):
        room = SENT_BYTES_PER_STEP
        while room > 0:
            if not self.pending:
                self.pending = self.next_statements()
            if not self.pending:
                return
            try:
                sent = self.socket.send(self.pending)
            except BlockingIOError:
                return
            self.pending = self.pending[sent:]
            room -= sent

    def receive(self):
        data = self.socket.recv(int(READ_BYTES_PER_S * STEP_S))
        if not data:
            raise ConnectionError
        self.read += len(data)


def play_harmful(port, kinds, results, stop):
    callers = [HarmfulCaller(port, kind) for kind in kinds]
    while not stop.is_set():
        began = time.monotonic()
        for caller in callers:
            caller.step()
        time.sleep(max(0.0, STEP_S - (time.monotonic() - began)))
    results.put((sum(c.closed for c in callers), sum(c.read for c in callers)))


class Others:
    """Callers that wait for each answer."""

    def __init__(self, port, seed):
        self.port, self.asked, self.served = port, 0, 0
        self.latencies = []
        self.refusals = collections.Counter()
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.play, args=(random.Random(seed + i),))
            for i in range(OTHERS)]
        for thread in self.threads:
            thread.start()

    def play(self, luck):
        session = None
        while not self.stopped.is_set():
            began = time.monotonic()
            try:
                session = session or demo_gateway.Session(self.port, "key-2")
                item = f"arima-{luck.randrange(20)}"
                text = (f"WRITE {item} v" if luck.random() < 0.3
                        else f"READ {item}")
                answer = session.run(text)
            except OSError:
                answer = []
            took = time.monotonic() - began
            done = bool(answer) and answer[-1].startswith("COMPLETE")
            if not answer:
                session = None
            with self.lock:
                self.asked += 1
                self.served += done and took <= OBJECTIVE_S
                self.latencies.append(took)
                if not done:
                    self.refusals[" ".join(answer) or "no answer"] += 1
            time.sleep(OTHERS_PAUSE_S * (0.5 + luck.random()))

    def take(self):
        """Returns the share served and the median latency since the last
        call."""
        with self.lock:
            asked, served = self.asked, self.served
            latencies = sorted(self.latencies)
            self.asked = self.served = 0
            self.latencies = []
        median = latencies[len(latencies) // 2] if latencies else 0.0
        return served / asked if asked else 0.0, median * 1000

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def memory_mb(pid, field):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    return 0.0


def watch(process, limit_mb, seconds):
    """Waits, and ends the process as the platform does if it exceeds its
    limit. Returns whether it is alive."""
    end = time.monotonic() + seconds
    while time.monotonic() < end and process.poll() is None:
        if memory_mb(process.pid, "VmRSS") > limit_mb:
            process.kill()
            process.wait()
        time.sleep(0.05)
    return process.poll() is None


def play(options, gateway):
    gateway.wait_ready()
    writer = demo_gateway.Session(gateway.callers, "key-2")
    demo_gateway.expect("large item",
                        writer.run("WRITE large " + "x" * LARGE_ITEM_BYTES),
                        "COMPLETE signed")
    others = Others(gateway.callers, options.seed)
    results, stop = multiprocessing.Queue(), multiprocessing.Event()
    kinds = KINDS if options.kind == "mixed" else (options.kind,)
    harmful = multiprocessing.Process(
        target=play_harmful,
        args=(gateway.callers,
              [kinds[i % len(kinds)] for i in range(options.callers)], results,
              stop))
    try:
        time.sleep(options.calm_seconds)
        calm_share, calm_ms = others.take()
        before = memory_mb(gateway.process.pid, "VmRSS")
        harmful.start()
        alive = watch(gateway.process, options.memory_mb, options.seconds)
        peak = (memory_mb(gateway.process.pid, "VmHWM") if alive
                else options.memory_mb)
        share, median_ms = others.take()
        stop.set()
        closed, read = results.get(timeout=30)
        overloads = gateway.log_text().count("closed the heaviest caller")
    finally:
        stop.set()
        others.stop()
        if harmful.is_alive():
            harmful.join(timeout=30)
    return {"kind": options.kind, "callers": options.callers,
            "memory_mb": options.memory_mb, "seconds": options.seconds,
            "alive": alive, "before_mb": round(before, 1),
            "peak_mb": round(peak, 1),
            "peak_share": round(peak / options.memory_mb, 3),
            "calm_share": round(calm_share, 4), "share": round(share, 4),
            "calm_ms": round(calm_ms, 1), "median_ms": round(median_ms, 1),
            "refusals": dict(others.refusals), "closed": closed,
            "closed_for_memory": overloads, "read_mb": round(read / 2**20, 1)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="build folder")
    parser.add_argument("--kind", choices=KINDS + ("mixed",), default="mixed")
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--memory-mb", type=int, default=160)
    parser.add_argument("--calm-seconds", type=float, default=2)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateway", help="another gateway program, and no"
                        " memory limit in its settings")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        platform = subprocess.Popen(
            [f"{options.build}/test/fake_line_platform/fake_line_platform"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        gateway = None
        try:
            port = json.loads(platform.stdout.readline())["port"]
            limits = {"memory-mb": options.memory_mb}
            gateway = demo_gateway.Gateway(
                options.build, pathlib.Path(temporary), "gateway-1", "zone-m1",
                f"127.0.0.1:{port}",
                {} if options.gateway else {"limits": limits},
                options.gateway)
            figures = play(options, gateway)
            print(json.dumps(figures), flush=True)
            if options.seconds > 30 or not figures["alive"]:
                print(gateway.log_text()[-2000:], file=sys.stderr)
        finally:
            for process in [platform] + ([gateway.process] if gateway else []):
                process.kill()
                process.wait()
    failed = (not figures["alive"]
              or figures["peak_share"] > MAX_MEMORY_SHARE
              or figures["share"] < figures["calm_share"] - MAX_LOSS)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
