"""Implements the steps of tools/demo-gateway."""

import argparse
import collections
import json
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

READY_TIMEOUT_S = 15
PROMOTION_TIMEOUT_S = 12
WITHDRAWAL_TIMEOUT_S = 5
STOP_TIMEOUT_S = 6
# How long the store is away before it comes back from an older copy, and within
# what time after its return all must work again.
AWAY_MS = 1000
RESTORE_TIMEOUT_S = 15
# What works for so long counts as working again. Longer than a gateway works
# without contact with the store.
STEADY_S = 8


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Session:
    """A caller's session over the line-based text protocol."""

    def __init__(self, port, key="key-1", database="beds"):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.lines = self.socket.makefile("r", newline="\r\n")
        self.queries = 0
        self.send(f"START {database} {key}")
        self.greeting = self.line()

    def send(self, line):
        self.socket.sendall((line + "\r\n").encode())

    def line(self):
        return self.lines.readline().strip()

    def run(self, text):
        """Runs a query and returns the lines of its answer without READY."""
        self.queries += 1
        self.send(f"QUERY q{self.queries} {text}")
        answer = []
        while True:
            line = self.line()
            if line.startswith("READY") or not line:
                return answer
            answer.append(line)


class Gateway:
    """A gateway process with its own settings file. `settings` adds to the
    file, and `program` names another program."""

    def __init__(self, build, folder, name, zone, store, settings=None,
                 program=None):
        self.callers, self.status = free_port(), free_port()
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps({
            "instance": name, "zone": zone,
            "callers": f"127.0.0.1:{self.callers}",
            "status": f"127.0.0.1:{self.status}",
            "peer_address": "127.0.0.1", "peer_ports": [free_port()],
            "store": store, "promotion": store} | (settings or {})))
        self.program = program or f"{build}/apps/gateway/jasminelug-gateway"
        self.log = open(folder / f"{name}.log", "a", encoding="utf-8")
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [self.program, "--settings", str(self.settings)],
            stdout=self.log, stderr=self.log)

    def get(self, path):
        try:
            with urllib.request.urlopen(
                    f"http://127.0.0.1:{self.status}{path}", timeout=2) as reply:
                return reply.status, reply.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, ""
        except OSError:
            return 0, ""

    def log_text(self):
        return pathlib.Path(self.log.name).read_text(encoding="utf-8")

    def store_calls(self):
        """Returns how often this process has called the store."""
        return sum(int(line.split()[-1])
                   for line in self.get("/metrics")[1].splitlines()
                   if line.startswith("jasminelug_store_calls_total"))

    def wait_ready(self):
        wait_for(lambda: self.get("/-/readiness")[0] == 200, READY_TIMEOUT_S,
                 "the gateway becomes ready")


Answer = collections.namedtuple("Answer", "status era body")


class Store:
    """A client of the metadata store."""

    def __init__(self, address):
        self.address = address

    def call(self, method, path, body=None):
        """Returns the answer to one call. Every answer must tell the era."""
        request = urllib.request.Request(
            f"http://{self.address}{path}", method=method,
            data=json.dumps(body).encode() if body else None)
        try:
            with urllib.request.urlopen(request, timeout=5) as reply:
                return self.answer(reply)
        except urllib.error.HTTPError as error:
            return self.answer(error)

    @staticmethod
    def answer(reply):
        return Answer(reply.status, int(reply.headers["Store-Era"]),
                      json.loads(reply.read()))

    def is_away(self):
        try:
            self.call("GET", "/-/objects/config")
        except OSError:
            return True
        return False

    def revision(self):
        return self.call("GET", "/-/objects/config").body["current-rev"]

    def members(self):
        return self.call("GET", "/-/objects/servers").body["items"]

    def note(self, name, text):
        """Writes an object of a kind that the gateways do not follow."""
        return self.call("POST", "/-/objects/notes",
                         {"meta": {"name": name}, "spec": text}).status


def wait_for(condition, timeout_s, what):
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise SystemExit(f"failed: {what}")
        time.sleep(0.05)


def expect(what, answer, *wanted):
    print(f"   {what}: {answer}", flush=True)
    text = " ".join(answer) if isinstance(answer, list) else answer
    for part in wanted:
        if part not in text:
            raise SystemExit(f"failed: {what}: no {part!r} in {text!r}")


def begin(platform, text):
    platform.stdin.write(text + "\n")
    platform.stdin.flush()


def finish(platform, text):
    answer = json.loads(platform.stdout.readline())
    if answer != {"done": text}:
        raise SystemExit(f"failed: {text}: {answer}")


def order(platform, text):
    begin(platform, text)
    finish(platform, text)


def writes(port, key="key-1"):
    answer = Session(port, key).run("WRITE arima-8 Ali")
    return bool(answer) and answer[-1].startswith("COMPLETE signed")


def check_service(one, two):
    print("== a reservation through one gateway, read through the other")
    session = Session(one.callers)
    expect("greeting", session.greeting, "READY I")
    expect("write", session.run("WRITE arima-7 Mohammed"), "COMPLETE signed")
    expect("own read", session.run("READ arima-7"), "ROW Mohammed")
    expect("read", Session(two.callers).run("READ arima-7"), "ROW Mohammed")
    print("== a transaction, a session value and a prepared statement")
    session.run("SET desk night")
    session.run("PREPARE s1 READ shape")
    expect("execute", session.run("EXECUTE s1 arima-7"), "ROW Mohammed")
    session.run("BEGIN")
    expect("in it", session.run("WRITE arima-9 Singh"), "COMPLETE signed")
    expect("rolled back", session.run("ROLLBACK"), "COMPLETE -")
    expect("nothing kept", session.run("READ arima-9"), "ROW none")


def check_bad_input(gateway, program):
    print("== bad input is refused without execution")
    expect("unknown key", Session(gateway.callers, "key-9").greeting,
           "ERROR NOAUTH")
    expect("unknown database", Session(gateway.callers, "key-1", "none").greeting,
           "ERROR NODB")
    expect("unknown statement", Session(gateway.callers).run("SELEKT 1"),
           "ERROR MALFORMED")
    broken = Session(gateway.callers)
    broken.send("HELLO")
    expect("unknown message", broken.line(), "ERROR MALFORMED")
    flood = Session(gateway.callers)
    flood.socket.sendall(b"Q" * ((1 << 20) + 4096))
    expect("overlong message", flood.line(), "ERROR MALFORMED")
    wrong = gateway.settings.with_name("wrong.json")
    wrong.write_text('{"instance": 7, "colour": "red"}')
    result = subprocess.run([program, "--check-settings", "-s", str(wrong)],
                            capture_output=True, text=True, check=False)
    expect("wrong settings", result.stderr.strip(), "instance", "colour")
    expect("exit code", str(result.returncode), "3")
    expect("metrics", gateway.get("/metrics")[1].splitlines(),
           "jasminelug_statements_refused_total")


class Member:
    """A member of the group, as its own answers show it."""

    def __init__(self, entry):
        self.id = entry["meta"]["name"]
        self.port = int(entry["spec"]["address"].split(":")[1])

    def run(self, text):
        """Runs a query at the member itself, without a gateway."""
        # The member gets "START beds-group - ID".
        return Session(self.port, f"- {self.id}", "beds-group").run(text)

    def role_and_term(self):
        return self.run("STATUS")[0].split()[1:3]


def primary(store):
    """Returns the running member that says that it is the primary."""
    for member in map(Member, store.members()):
        try:
            if member.role_and_term()[0] == "primary":
                return member
        except OSError:  # It is not running.
            pass
    raise SystemExit("failed: no member is the primary")


def answers_right(port, item, value):
    """Returns an error of a write and the read that follows, or None."""
    try:
        session = Session(port, "key-2")
        written = session.run(f"WRITE {item} {value}")
        if not (written and written[-1].startswith("COMPLETE signed")):
            return f"write: {' '.join(written) or session.greeting}"
        read = session.run(f"READ {item}")
        return None if f"ROW {value}" in read else f"read: {' '.join(read)}"
    except OSError as error:
        return str(error)


def wait_steady(gateways):
    """Waits until writes and reads through all gateways work, and keep working
    for STEADY_S."""
    began = time.monotonic()
    last_failure, count, errors = began, 0, {}
    while time.monotonic() - last_failure < STEADY_S:
        count += 1
        for number, gateway in enumerate(gateways, 1):
            error = answers_right(gateway.callers, "arima-12", f"try{count}")
            if error:
                last_failure = time.monotonic()
                errors[f"gateway-{number}: {error}"] = last_failure - began
        if last_failure - began > RESTORE_TIMEOUT_S:
            raise SystemExit(f"failed: work after the restore: {errors}")
        time.sleep(0.05)
    print(f"   work after {last_failure - began:.1f} s; failed at first (last "
          f"seen at, s): {errors}", flush=True)


def check_member_and_copies(promoted, gateways):
    """Checks that writes land at the promoted member, which no other has
    replaced since, and are read through every gateway."""
    member, term = promoted
    expect("promoted member", member.role_and_term(), "primary", term)
    for number, gateway in enumerate(gateways, 1):
        value = f"Last{number}"
        expect("write", Session(gateway.callers, "key-2").run(
            f"WRITE arima-13 {value}"), "COMPLETE signed")
        expect(f"read at {member.id}", member.run("READ arima-13"),
               f"ROW {value}")
        for other in gateways:
            session = Session(other.callers, "key-2")
            expect("read", session.run("READ arima-13"), f"ROW {value}")
            expect("older value", session.run("READ arima-11"), "ROW Between")


def takes_key(gateways, key):
    return all("READY I" in Session(g.callers, key).greeting for g in gateways)


def refuses_key(gateways, key):
    return all("NOAUTH" in Session(g.callers, key).greeting for g in gateways)


def check_configuration(platform, gateways, era):
    """Checks that the gateways have the lost configuration, which the operator
    has written again, and that they get the next one."""
    if not takes_key(gateways, f"lost-{era}"):
        raise SystemExit("failed: a configuration that was written again")
    order(platform, f"keys key-2 next-{era}")
    wait_for(lambda: takes_key(gateways, f"next-{era}"), WITHDRAWAL_TIMEOUT_S,
             "the gateways take a key that was added after the restore")
    wait_for(lambda: refuses_key(gateways, f"lost-{era}"), WITHDRAWAL_TIMEOUT_S,
             "the gateways refuse a key that was withdrawn after the restore")
    print("   a later configuration is in force", flush=True)


def replace_primary(platform, store, gateways):
    """Crashes the primary, waits for another and starts the old one again."""
    old = primary(store)
    order(platform, f"crash {old.id}")
    wait_for(lambda: all(writes(g.callers, "key-2") for g in gateways),
             PROMOTION_TIMEOUT_S, "writes succeed on a new primary")
    order(platform, f"start {old.id}")


def lose_changes(platform, store, gateways, era):
    """Takes a snapshot, then replaces the primary and adds a key. Returns the
    promoted member and its term."""
    expect("before", Session(gateways[0].callers, "key-2").run(
        "WRITE arima-10 Before"), "COMPLETE signed")
    order(platform, "snapshot")
    replace_primary(platform, store, gateways)
    expect("between", Session(gateways[1].callers, "key-2").run(
        "WRITE arima-11 Between"), "COMPLETE signed")
    order(platform, f"keys key-2 lost-{era}")
    wait_for(lambda: takes_key(gateways, f"lost-{era}"), WITHDRAWAL_TIMEOUT_S,
             "the gateways take an added key")
    promoted = primary(store)
    return promoted, promoted.role_and_term()[1]


def restore(platform, store):
    """Lets the store come back from the snapshot."""
    text = f"restore {AWAY_MS}"
    begin(platform, text)
    wait_for(store.is_away, 1, "the store is away")
    finish(platform, text)


def check_store_answers(store, era):
    """Checks that answers of all kinds tell the era."""
    above = store.revision() + 1000
    for status, method, path, body in (
            (200, "GET", "/-/objects/servers", None),
            (404, "GET", "/-/objects/servers/m9", None),
            (404, "GET", "/nothing", None),
            (409, "POST", "/-/objects/servers", {"meta": {"name": "m1"}}),
            (409, "POST", "/promote", {"id": "m9"}),
            (200, "GET", "/-/objects/servers?watch=0&wait-ms=1", None),
            (410, "GET", f"/-/objects/servers?watch={above}&wait-ms=1", None)):
        answer = store.call(method, path, body)
        if (answer.status, answer.era) != (status, era):
            raise SystemExit(f"failed: {method} {path}: {answer}")


def restart(gateways):
    for gateway in gateways:
        gateway.process.kill()
        gateway.process.wait()
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.wait_ready()


class Drill:
    """One way in which the store comes back from an older copy: how many
    objects more are written and lost, how many are written at once after the
    return, and whether all gateways are killed then and start again."""

    def __init__(self, title, lost_notes=0, notes_again=0, restarts=False):
        self.title = title
        self.lost_notes = lost_notes
        self.notes_again = notes_again
        self.restarts = restarts


DRILLS = {
    "lost": Drill("the store comes back from an older copy", lost_notes=200),
    "reused": Drill("the store comes back from an older copy and gives its old"
                    " revisions out again at once", notes_again=200),
    "restart": Drill("the store comes back from an older copy and all gateways"
                     " restart", lost_notes=200, restarts=True),
}
# Those of --restore without a name.
DEFAULT_DRILLS = ["lost", "reused"]


def lose_and_restore(platform, store, gateways, drill):
    """Lets the store come back from an older copy. Returns the member that was
    promoted meanwhile and its term."""
    era = store.call("GET", "/nothing").era
    promoted = lose_changes(platform, store, gateways, era)
    for number in range(drill.lost_notes):
        store.note(f"lost-{era}-{number}", "lost")
    before = store.revision()
    restore(platform, store)
    after = store.revision()
    for number in range(drill.notes_again):
        store.note(f"again-{era}-{number}", "again")
    print(f"   {promoted[0].id} leads term {promoted[1]}; the store went back "
          f"from revision {before} to {after}, then {store.revision()}",
          flush=True)
    return promoted


def check_restore(platform, store, gateways, drill):
    print(f"== {drill.title}", flush=True)
    era = store.call("GET", "/nothing").era
    check_store_answers(store, era)
    promoted = lose_and_restore(platform, store, gateways, drill)
    check_store_answers(store, era + 1)
    if drill.restarts:
        restart(gateways)
    calls = [gateway.store_calls() for gateway in gateways]
    wait_steady(gateways)
    calls = [g.store_calls() - old for g, old in zip(gateways, calls)]
    print(f"   calls of the store meanwhile: {calls}", flush=True)
    check_member_and_copies(promoted, gateways)
    check_configuration(platform, gateways, era)
    replace_primary(platform, store, gateways)
    print("   a later crash of the primary was dealt with", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="build folder")
    parser.add_argument("--restore", nargs="*", choices=DRILLS, metavar="DRILL",
                        help="also check that the gateways work on when the"
                        " store comes back from an older copy; any of "
                        f"{', '.join(DRILLS)} (default: "
                        f"{' '.join(DEFAULT_DRILLS)})")
    options = parser.parse_args()
    build = options.build
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        platform = subprocess.Popen(
            [f"{build}/test/fake_line_platform/fake_line_platform"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        gateways = []
        try:
            store = f"127.0.0.1:{json.loads(platform.stdout.readline())['port']}"
            for number, zone in ((1, "zone-m1"), (2, "zone-m2")):
                gateways.append(Gateway(build, folder, f"gateway-{number}", zone,
                                        store))
            run(platform, *gateways)
            if options.restore is not None:
                gateways[0].start()
                gateways[0].wait_ready()
                for name in options.restore or DEFAULT_DRILLS:
                    check_restore(platform, Store(store), gateways,
                                  DRILLS[name])
            print("done")
        finally:
            for process in [platform] + [g.process for g in gateways]:
                process.kill()
                process.wait()


def run(platform, one, two):
    one.wait_ready()
    two.wait_ready()
    check_service(one, two)
    check_bad_input(one, one.program)
    print("== the primary crashes; another member takes over")
    order(platform, "crash m1")
    started = time.monotonic()
    wait_for(lambda: writes(one.callers) and writes(two.callers),
             PROMOTION_TIMEOUT_S, "writes succeed on a new primary")
    print(f"   writes succeed after {time.monotonic() - started:.1f} s", flush=True)
    order(platform, "start m1")
    print("== a gateway is killed and restarted")
    one.process.send_signal(signal.SIGKILL)
    one.process.wait()
    expect("other one", Session(two.callers).run("READ arima-7"), "ROW Mohammed")
    one.start()
    one.wait_ready()
    expect("write", Session(one.callers).run("WRITE arima-7 Persad"),
           "COMPLETE signed")
    print("== a key is withdrawn from an open session")
    caller = Session(two.callers)
    order(platform, "withdraw")
    wait_for(lambda: "NOAUTH" in " ".join(caller.run("READ arima-7")),
             WITHDRAWAL_TIMEOUT_S, "the withdrawn key stops working")
    expect("other key", Session(two.callers, "key-2").run("READ arima-7"),
           "ROW Persad")
    print("== graceful shutdown")
    last = Session(one.callers, "key-2")
    one.process.send_signal(signal.SIGTERM)
    expect("still served", last.run("READ arima-7"), "ROW Persad")
    wait_for(lambda: one.get("/-/readiness")[0] != 200, 1, "not ready at once")
    code = one.process.wait(timeout=STOP_TIMEOUT_S)
    expect("exit code", str(code), "0")


if __name__ == "__main__":
    main()
