import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True
from world import BACKGROUND_ID, Caller, run_case  # noqa: E402

# No evacuation begins later.
LAST_ROUND_S = 95
DELAY_S = float(os.environ.get("DELAY", "0.13"))
KEY = "key-of-tenant0"


def database_of(service):
    return "bookings" if service == "svc0" else f"bookings-{service}"


def background_id():
    return f"{BACKGROUND_ID}{random.randrange(16 ** 14):014x}"


async def read_on(world, front, service):
    """Reads at the primary, as the callers of a busy deployment do."""
    while True:
        caller = Caller(world, front, f"reader-{front.name}-{service}")
        try:
            await caller.open(database_of(service), KEY)
            while True:
                if await caller.query("READ 1a4", background_id()) is None:
                    break
                await asyncio.sleep(0.02)
        except OSError:
            pass
        await asyncio.sleep(0.1)


async def open_transaction(world, front, service, name):
    caller = Caller(world, front, name)
    await caller.open(database_of(service), KEY)
    await caller.query("BEGIN")
    answer = await caller.query(f"WRITE 2b7 {name}")
    return caller if answer and answer[-1].startswith("READY T") else None


class Round:
    """A zone is evacuated while a replica of each service is partitioned from the machines."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.holders = {}
        self.callers = {}
        self.acknowledged = {}
        self.tasks = {}

    def on_write(self, kind, name, spec):
        if kind == "bronzeplank-claims" and not spec["finished"]:
            self.holders[name] = spec["holder"]

    def on_pause(self, instance, term):
        service = instance.service
        if service in self.holders and service not in self.tasks:
            self.tasks[service] = asyncio.ensure_future(self.commit(service))

    async def commit(self, service):
        await asyncio.sleep(DELAY_S)
        ready = [c for c in self.callers.get(service, [])
                 if c and c.front.name != self.holders[service]]
        if not ready:
            return
        caller = random.choice(ready)
        identity = f"c{self.number:07x}{service[-1]}{random.randrange(16 ** 7):07x}"
        answer = await caller.query("COMMIT", identity)
        if answer and answer[-2].startswith("COMPLETE"):
            self.acknowledged[identity] = self.world.record.now()

    async def play(self, trouble):
        world = self.world
        primary = next(i for i in world.instances if i.role == "primary")
        zone = primary.zone
        cut = []
        for service in world.services:
            members = [i for i in world.instances if i.service == service]
            replicas = [i for i in members if i.role == "replica" and i.zone != zone]
            cut.append(random.choice(replicas))
        if trouble:
            for instance in cut:
                world.record(instance.id, "is partitioned from the machines")
                instance.reached.clear()
        await asyncio.sleep(0.6)
        world.store.on_write, world.on_pause = self.on_write, self.on_pause
        for service in world.services:
            self.callers[service] = [
                await open_transaction(world, front, service, f"tx{self.number}-{service}-{n}")
                for n, front in enumerate(world.fronts)]
        world.record("operator", f"evacuates {zone}")
        world.store.put("evacuations", zone, {})
        await asyncio.sleep(2)
        world.store.delete("evacuations", zone)
        for instance in cut:
            instance.reached.set()
        for callers in self.callers.values():
            for caller in callers:
                if caller:
                    caller.close()
        world.store.on_write = world.on_pause = None
        await asyncio.sleep(2.2)


async def body(world, trouble):
    readers = [asyncio.ensure_future(read_on(world, front, service))
               for front in world.fronts[:3] for service in world.services]
    await asyncio.sleep(4)
    lost = []
    acknowledged = 0
    number = 0
    while world.record.now() < LAST_ROUND_S and not lost:
        number += 1
        played = Round(world, number)
        await played.play(trouble)
        for identity, at in played.acknowledged.items():
            acknowledged += 1
            service, entry = world.commits[identity]
            later = [p for p in world.cloud.promotions if p[1] == service and p[0] > at]
            if later and entry not in later[0][3]:
                lost.append(f"{identity} at {entry} acknowledged at {at:.2f}, {later[0][2]} "
                            f"leads at {later[0][0]:.2f} with {later[0][3][-1]}")
    for reader in readers:
        reader.cancel()
    world.record("script", f"{acknowledged} commits acknowledged after a pause, "
                           f"{len(world.cloud.promotions)} promotions")
    return f"LOST: {len(lost)} of {acknowledged}: {lost}" if lost else None


sys.exit(run_case(FOLDER, body, fronts=6, services=3))
