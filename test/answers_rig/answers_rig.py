"""Runs gateway processes between callers and members that repeat, cut, delay
and lose answers, and checks that each caller gets its own answers only and that
members run only what callers sent."""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

import callers
import members
import processes
import promotion
import record

ZONES = ["zone-a", "zone-b", "zone-c"]
CUSTOMERS = {"shelters": "key-a", "kiosks": "key-b"}
MEMBERS_PER_GROUP = 3
SLOTS = 8
# Time after the end of the troubles for what they left behind, and how long
# callers work after it.
SETTLE_S = 1.5
CALM_S = 2.0
MIN_SUCCESS_SHARE = 0.95
MIN_CALM_STATEMENTS = 50
# How long statements may still run after the last caller has left.
END_PAUSE_S = 0.5
PAUSE_PROBE_S = 0.05
# How much of the gateways' logs is printed with a violation.
LOG_WINDOW_S = 0.4
MAX_LOG_LINES = 8
MAX_PRINTED_CHARACTERS = 2000


@dataclasses.dataclass(frozen=True)
class Route:
    """A database, and the service that has it. So few connections are left to
    `passes` that each customer's are held by one gateway."""
    database: str
    type: str
    service: str
    max_connections: int
    timeout_ms: int = 1000
    max_staleness_ms: int = 1500


ROUTES = [Route("beds", "read_your_writes", "rig-beds", 60),
          Route("ledger", "primary", "rig-ledger", 60),
          Route("passes", "bounded", "rig-passes", 7)]


def configuration():
    routes = [{"name": r.database, "host": r.database, "path-prefix": "/",
               "route-type": r.type, "timeout-ms": r.timeout_ms,
               "latency-slo-ms": 600, "priority": 1, "service": r.service,
               "max-staleness-ms": r.max_staleness_ms, "public": False}
              for r in ROUTES]
    services = [{"name": r.service, "max-conns": r.max_connections,
                 "sync-replicas": 0} for r in ROUTES]
    tenants = [{"name": name, "api-keys": [key], "priority": 1,
                "rate-per-s": 100000, "burst": 100000}
               for name, key in CUSTOMERS.items()]
    return {"version": 100, "routes": routes, "services": services,
            "limits": {"tx-idle-ms": 3000}, "tenants": tenants}


def show(text):
    """Prints a line; some texts are very long."""
    print(text[:MAX_PRINTED_CHARACTERS])


class Rig:
    """The processes, members and callers of one run."""

    def __init__(self, options, seed, folder):
        self.options, self.seed = options, seed
        self.troubles = members.Troubles(
            **{name: True for name in options.troubles},
            repeated_share=options.repeated_share,
            refused_share=options.refused_share)
        self.record = record.Record({r.database: r for r in ROUTES})
        self.groups = [
            members.Group(r.service, MEMBERS_PER_GROUP, SLOTS,
                          r.max_connections, self.record, self.troubles, seed)
            for r in ROUTES]
        self.platform = processes.Platform(options.build)
        self.promotions = promotion.PromotionService(self.promote)
        self.gateways = [
            processes.Gateway(options.build, folder, f"gateway-{n + 1}",
                              ZONES[n % len(ZONES)])
            for n in range(options.gateways)]
        self.callers = [self.make_caller(n) for n in range(options.callers)]
        self.phases = {}
        self.longest_pause_s = 0.0

    def make_caller(self, number):
        # Few callers use `passes`, which has few connections.
        route = ROUTES[2] if number % 8 >= 6 else ROUTES[number // 2 % 2]
        customer = list(CUSTOMERS)[number % len(CUSTOMERS)]
        return callers.Caller(
            f"caller-{number}", customer, CUSTOMERS[customer], route.database,
            route, self.gateways, self.record,
            random.Random(f"{self.seed}.caller.{number}"), self.troubles)

    async def start(self):
        for group in self.groups:
            await group.start()
            group.on_roles = lambda group=group: self.publish_roles(group)
        await self.promotions.start()
        entries = {}
        for group in self.groups:
            entries.update(self.entries(group))
        # The members must answer while the gateways start.
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.platform.configure,
                                   configuration(), entries)
        for gateway in self.gateways:
            gateway.configure(self.platform.address, self.promotions.address)
            gateway.start()
        for gateway in self.gateways:
            await loop.run_in_executor(None, gateway.wait_ready)

    @staticmethod
    def entries(group):
        return {m.id: m.entry(zone) for m, zone in zip(group.members, ZONES)}

    def promote(self, service, member):
        groups = [g for g in self.groups if g.service == service]
        return bool(groups) and groups[0].promote(member)

    def publish_roles(self, group):
        asyncio.get_running_loop().run_in_executor(
            None, self.platform.publish, self.entries(group))

    async def run(self):
        await self.start()
        pauses = asyncio.create_task(self.measure_pauses())
        works = [asyncio.create_task(c.work()) for c in self.callers]
        restarts = [asyncio.create_task(g.restart_often(random.Random(
            f"{self.seed}.{g.name}"))) for g in self.gateways
                    if self.options.restarts]
        await self.phase("troubles", self.options.seconds, works)
        self.troubles.stop()
        await self.end_restarts(restarts)
        await self.phase("settling", SETTLE_S, works)
        await self.phase("calm", CALM_S, works)
        for caller in self.callers:
            caller.stopping = True
        await asyncio.gather(*works)
        await asyncio.sleep(END_PAUSE_S)
        self.check_end()
        pauses.cancel()
        for group in self.groups:
            await group.stop()

    async def measure_pauses(self):
        """Measures for how long this process itself does not run."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(PAUSE_PROBE_S)
            pause_s = time.monotonic() - before - PAUSE_PROBE_S
            self.longest_pause_s = max(self.longest_pause_s, pause_s)

    async def end_restarts(self, restarts):
        for restart in restarts:
            restart.cancel()
        results = await asyncio.gather(*restarts, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise result
        loop = asyncio.get_running_loop()
        for gateway in self.gateways if restarts else []:
            await loop.run_in_executor(None, gateway.ensure_running)

    async def phase(self, name, seconds, works):
        """Lets callers work, and counts apart what they got."""
        for caller in self.callers:
            caller.totals = callers.Totals()
            self.phases.setdefault(name, []).append(caller.totals)
        done, _ = await asyncio.wait(works, timeout=seconds,
                                     return_when=asyncio.FIRST_EXCEPTION)
        for work in done:
            work.result()

    def sum_phase(self, name):
        total, codes = collections.Counter(), collections.Counter()
        for totals in self.phases[name]:
            codes.update(totals.codes)
            total.update(sent=totals.sent, succeeded=totals.succeeded,
                         operations=totals.operations,
                         operations_succeeded=totals.operations_succeeded)
        return total, codes

    def check_end(self):
        self.record.finish()
        calm, codes = self.sum_phase("calm")
        self.record.check("LIVENESS", calm["sent"] >= MIN_CALM_STATEMENTS,
                          f"only {calm['sent']} statements after the troubles")
        share = calm["succeeded"] / max(calm["sent"], 1)
        self.record.check("LIVENESS", share >= MIN_SUCCESS_SHARE,
                          f"{share:.3f} of the statements succeed after the "
                          f"troubles: {dict(calm)} {dict(codes)}")
        for gateway in self.gateways:
            self.record.check("LIVENESS", gateway.process.poll() is None,
                              f"{gateway.name} has ended by itself")

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.process.kill()
        self.platform.process.wait()

    # Reports.

    def report(self):
        """Prints the outcome. Returns whether all checks held."""
        for name in self.phases:
            total, codes = self.sum_phase(name)
            print(f"   {name}: {dict(total)} {dict(codes)}")
        if self.options.restarts:
            print("   restarts: "
                  f"{ {g.name: g.restarts for g in self.gateways} }")
        print("   promotions: "
              f"{ {g.service: g.promotions for g in self.groups} }, longest "
              f"pause of the rig itself: {self.longest_pause_s:.2f} s")
        violations = self.record.violations
        logs = {g.name: g.log_lines() for g in self.gateways}
        for violation in violations[:self.options.shown]:
            self.report_violation(violation, logs)
        rules = collections.Counter(v.rule for v in violations)
        print(f"seed {self.seed}: {sum(self.record.passed.values())} passed, "
              f"{len(violations)} failed {dict(rules) if rules else ''}",
              flush=True)
        return not violations

    def report_violation(self, violation, logs):
        show(f"{violation.rule} seed {self.seed} statement "
             f"{violation.statement} member {violation.member} connection "
             f"{violation.connection} at {violation.when.isoformat()}: "
             f"{violation.what}")
        statement = self.record.statements.get(violation.statement.encode())
        if statement:
            show(f"   sent by {statement.session}: {statement.text!r}")
            show(f"   its answers: {self.record.answers[statement.id]}")
        for line in violation.trace:
            show(f"   {violation.connection}: {line}")
        for name, lines in logs.items():
            about = [text for moment, text in lines
                     if self.is_about(violation, moment, text)]
            for text in about[:MAX_LOG_LINES]:
                show(f"   {name}: {text}")

    @staticmethod
    def is_about(violation, moment, text):
        if violation.statement != "-" and f'"{violation.statement}"' in text:
            return True
        if moment is None or violation.member == "-":
            return False
        near = abs((moment - violation.when).total_seconds()) <= LOG_WINDOW_S
        return near and f'"{violation.member}"' in text and "WARN" in text


def run_seed(options, seed):
    print(f"== seed {seed}, {options.seconds} s, troubles: "
          f"{' '.join(options.troubles) or 'none'}"
          f"{', restarts' if options.restarts else ''}", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(options, seed, pathlib.Path(options.logs or folder))
        try:
            asyncio.run(rig.run())
            return rig.report()
        finally:
            rig.stop()


def main():
    names = members.Troubles.names()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="build folder")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="how many seeds to run, one after the other")
    parser.add_argument("--seconds", type=float, default=8,
                        help="how long the troubles last")
    parser.add_argument("--troubles", nargs="*", choices=names,
                        default=[n for n in names
                                 if n not in ("begin", "setup")],
                        help="default: all but begin and setup")
    parser.add_argument("--repeated-share", type=float, default=0.15)
    parser.add_argument("--refused-share", type=float, default=0.10)
    parser.add_argument("--restarts", action="store_true",
                        help="also end the gateways by SIGTERM and SIGKILL and "
                        "start them again, while the troubles last")
    # With fewer, each would hold connections to all services.
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--shown", type=int, default=20,
                        help="how many violations to print in full")
    parser.add_argument("--logs", help="folder for the gateways' logs")
    options = parser.parse_args()
    # The processes are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = [seed for seed in range(options.seed, options.seed + options.seeds)
              if not run_seed(options, seed)]
    print(f"{options.seeds - len(failed)} seeds passed, {len(failed)} failed"
          f"{': ' + ' '.join(map(str, failed)) if failed else ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
