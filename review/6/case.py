"""LOST: a paused replica starts again while a successor is being promoted, and vouches for a commit."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
sys.dont_write_bytecode = True
import small_world  # noqa: E402

SERVICES = tuple(f"db-{number}" for number in range(6))
WRITERS, READERS = 24, 12
RUN_S = 85
BETWEEN_S = 4.8
DOWN_S = 0.08


class World(small_world.World):
    """Crashes one replica, the one that isn't named, as a promotion is requested."""

    trouble = False
    # The service that the clients use.
    busy = SERVICES[0]

    def __init__(self, record):
        super().__init__(record)
        self.crashed = set()

    def front_at(self, _port):
        return None

    def requested(self, chosen, _effect_at):
        fresh = [i for i in chosen.group
                 if i is not chosen and i.role == "replica" and i not in self.crashed]
        if self.trouble and fresh and chosen.service == self.busy:
            self.crashed.add(fresh[0])
            self.tasks.append(asyncio.ensure_future(self.restart(fresh[0])))

    async def restart(self, replica):
        self.record(replica.id, "crashes")
        replica.server.close()
        replica.server = None
        for writer in list(replica.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        # It holds and knows nothing of before.
        replica.term, replica.held, replica.received = 0, 0, (0, 0)
        replica.sequence, replica.born = 0, int(time.time() * 1000)
        await replica.start()
        self.record(replica.id, "starts again under its id")
        await asyncio.sleep(small_world.LINK_S)
        for primary in replica.group:
            if primary.role == "primary":
                primary.replicate()


async def ask(client, text, results=None):
    """Returns the state, or None when the session has ended."""
    identity = small_world.new_id()
    answer = await client.ask(identity, text)
    if answer is None:
        return None
    if results is not None and answer[0].startswith("COMPLETE"):
        results.append((identity, client.front, client.world.record.now()))
    return answer[-1].split(" ")[1]


async def transact(client, results):
    if await ask(client, "BEGIN") != "T":
        return False
    state = await ask(client, "WRITE 1a4 data")
    if state == "T":
        await asyncio.sleep(random.uniform(0.1, 0.6))
        return await ask(client, "COMMIT", results) == "I"
    return state == "E" and await ask(client, "ROLLBACK") == "I"


async def talk(world, front, number, end, results):
    client = small_world.Client(world, front, f"client-{number}")
    service = None
    while world.record.now() < end:
        if client.writer is not None and service != world.busy:
            client.close()
            client.writer = None
        if client.writer is None:
            service = world.busy
            if not await client.open(f"on-{service}", "key-one"):
                client.close()
                client.writer = None
                await asyncio.sleep(0.1)
                continue
        if number < WRITERS:
            goes_on = await transact(client, results)
        else:
            goes_on = await ask(client, "READ 1a4") == "I"
            await asyncio.sleep(0.03)
        if not goes_on:
            client.close()
            client.writer = None
    client.close()


async def case(record):
    world = World(record)
    world.trouble = os.environ.get("TROUBLE", "1") != "0"
    for service in SERVICES:
        world.add_service(service, ["a", "b", "c"])
        world.add_route(f"on-{service}", service, "primary", TimeoutMs=1500, TargetLatencyMs=400)
    world.add_tenant("tenant-one", "key-one")
    results = []
    try:
        await world.start()
        await asyncio.sleep(4)
        end = record.now() + RUN_S
        talks = [asyncio.ensure_future(talk(world, world.fronts[number % 3], number, end, results))
                 for number in range(WRITERS + READERS)]
        await asyncio.sleep(3)
        while record.now() < end - 8 and not lost_commits(world, results):
            zone = next(i for i in world.instances
                        if i.role == "primary" and i.service == world.busy).zone
            record("operator", f"evacuates {zone}")
            world.store.put("evacuations", zone, {})
            await asyncio.sleep(2.2)
            world.store.delete("evacuations", zone)
            world.busy = SERVICES[(SERVICES.index(world.busy) + 1) % len(SERVICES)]
            await asyncio.sleep(BETWEEN_S - 2.2)
        for task in talks:
            task.cancel()
        await asyncio.gather(*talks, return_exceptions=True)
    finally:
        await world.stop()
    if len(results) < 100:
        raise small_world.CannotRun("the clients weren't served")
    return lost_commits(world, results)


def lost_commits(world, results):
    """Acknowledged commits that aren't in the log with which a later term began."""
    broken = []
    for identity, front, answered_at in results:
        if identity not in world.commits:
            continue
        _, instance, position = world.commits[identity]
        for promoted_at, chosen, term, began in world.promotions:
            same = chosen.service == instance.service
            if same and term > position[0] and position > began:
                broken.append(
                    f"LOST: {identity}, sent to {front.name}, is {position[0]}.{position[1]} of "
                    f"{instance.id}, acknowledged at {answered_at:.3f}; {chosen.id} leads term "
                    f"{term} since {promoted_at:.3f} and began it with {began[0]}.{began[1]}")
                break
    return broken


sys.exit(small_world.main(case, FOLDER))
