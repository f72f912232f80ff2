"""A replica drains, the other one receives nothing, the primary crashes."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from database import Group  # noqa: E402
from gateways import Gateway, Session, manifest  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = pathlib.Path(__file__).resolve().parent
SERVICE, KEY = "beds-db", "key-1"
WRITERS = 4
WRITE_PAUSE_S = 0.05
DEAF_S = 6.5
CRASH_S = 7.0


class Case:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.out = open(HERE / "record.txt", "w", encoding="utf-8")
        self.group = Group(self.note, SERVICE, sync=1)
        self.store = Store(self.note, self.group.promote)
        self.group.store = self.store
        self.group.on_promoted = self.check_promoted
        self.folder = folder
        self.gateways = []
        self.acknowledged = {}
        self.lost = set()
        self.promotions = 0

    def note(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def check_promoted(self, member):
        """LOST: an acknowledged commit is not in the promoted member's log."""
        self.promotions += 1
        held = {query for query, _, _ in member.log}
        missing = [q for q in self.acknowledged if q not in held]
        self.lost.update(missing)
        self.note(f"check: {len(missing)} of {len(self.acknowledged)} "
                  f"acknowledged commits are not in the log of {member.name}")
        for query in missing[:20]:
            self.note(f"check: LOST {query}, acknowledged at "
                      f"{self.acknowledged[query]:.3f}")

    async def writer(self, number):
        count, session = 0, None
        gateway = self.gateways[number % len(self.gateways)]
        while True:
            count += 1
            query = f"w{number}n{count}"
            try:
                session = session or await Session.open(gateway.front, "beds",
                                                        KEY)
                kind, text, _, _ = await session.query(
                    query, f"WRITE bed-{number} v{count}")
                if kind == "COMPLETE":
                    self.acknowledged[query] = time.monotonic() - self.began
                self.note(f"client: {query} at {gateway.name}: {kind} {text}")
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError) as error:
                self.note(f"client: {query} at {gateway.name}: no answer "
                          f"({type(error).__name__})")
                session = None
            await asyncio.sleep(WRITE_PAUSE_S)

    async def trouble(self):
        members = self.group.members
        await asyncio.sleep(2)
        self.note("plan: m2 is to be replaced; it reports draining")
        members["m2"].state = "draining"
        self.group.publish(members["m2"])
        await asyncio.sleep(1.5)
        self.note("fault: m3 receives nothing")
        members["m3"].deaf = True
        await asyncio.sleep(1.5)
        self.note("fault: the primary m1 crashes")
        members["m1"].crash()
        await asyncio.sleep(DEAF_S - 1.5)
        self.note("fault ends: m3 receives again")
        members["m3"].deaf = False

    async def run(self):
        await self.store.start()
        await self.group.start([("m1", "zone-a", 0.06), ("m2", "zone-b", 0.06),
                                ("m3", "zone-c", 0.06)])
        self.store.put("config", "main",
                       manifest(7, SERVICE, [KEY], sync=1))
        tasks = [asyncio.create_task(self.group.heartbeats())]
        for zone in "abc":
            gateway = Gateway(self.folder, f"front-{zone}", f"zone-{zone}",
                              self.store.port)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.note("all gateways are ready")
        tasks += [asyncio.create_task(self.writer(n)) for n in range(WRITERS)]
        if TROUBLE:
            tasks.append(asyncio.create_task(self.trouble()))
        await asyncio.sleep(18)
        for task in tasks:
            if task.done() and task.exception():
                raise task.exception()
            task.cancel()

    def result(self):
        if not self.acknowledged or (TROUBLE and not self.promotions):
            self.note("result: the case could not run: nothing was "
                      "acknowledged or nobody was promoted")
            return 2
        self.note(f"result: {len(self.acknowledged)} acknowledged, "
                  f"{self.promotions} promotions, {len(self.lost)} LOST")
        return 1 if self.lost else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder)
        try:
            await case.run()
        finally:
            for gateway in case.gateways:
                gateway.stop()
        return case.result()


if __name__ == "__main__":
    try:
        CODE = asyncio.run(main())
    except Exception as error:  # Any failure of the case itself.
        print(f"could not run: {error!r}", file=sys.stderr)
        CODE = 2
    sys.exit(CODE)
