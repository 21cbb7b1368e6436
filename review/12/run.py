"""A primary is replaced as planned while replicas fall behind and callers have transactions open that
write nothing.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
import rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NAMES = ("i-1f30a7c2", "i-5b21d9e4", "i-9c04e7f1")
NEW = "i-2c91f0aa"
RELEASE_AT_S, END_S = 4.0, 14.0
# Replicas apply that many times as late, from the release on.
LAG_FACTOR, LAG_FOR_S = 10, 6.5
ROUTES = [{"Host": "bookings", "Service": rig.SERVICE, "Type": "primary", "TimeoutMs": 1000,
           "TargetLatencyMs": 200, "Priority": 1, "MaxStalenessMs": 0},
          {"Host": "lookups", "Service": rig.SERVICE, "Type": "bounded_staleness",
           "TimeoutMs": 2000, "TargetLatencyMs": 600, "Priority": 2, "MaxStalenessMs": 1500}]


async def loop_of(world, name, host, step):
    """Repeats the step in one session after another; a session that fails is opened again."""
    while True:
        client = rig.Client(world, name, host, "bookings")
        try:
            await client.open()
            while await step(client):
                pass
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        client.close()
        await asyncio.sleep(0.1)


def transactions():
    async def step(client):
        for text in ("BEGIN", "READ item"):
            if not (await client.query(text))[1]:
                return False
        await asyncio.sleep(random.uniform(1.5, 2.8))
        return (await client.query("COMMIT"))[1]
    return step


def writes(acknowledged):
    async def step(client):
        identity, done, _, _, got = await client.query(f"WRITE item {random.randrange(10**6)}")
        if done:
            acknowledged.append((got, identity))
        await asyncio.sleep(0.02)
        return done
    return step


def reads(found):
    async def step(client):
        identity, done, _, sent, _ = await client.query("READ item")
        if done:
            found.append((sent, identity))
        await asyncio.sleep(random.uniform(0.03, 0.09))
        return True
    return step


def stale_reads(world, acknowledged, found):
    kept = {entry[:2] for entry in world.primary().log}
    stale = []
    for sent, identity in found:
        before = [i for got, i in acknowledged if got < sent and world.commits[i] in kept]
        if not before:
            continue
        newest = max(world.commits[i] for i in before)
        instance, position = world.runs[identity]
        if position < newest:
            stale.append(f"{identity} ran on {instance} at {position}, "
                         f"{newest} had been acknowledged before it was sent")
    return stale


async def main(program, record):
    world = rig.World(program, record, hosts_per_zone=2, routes=ROUTES)
    acknowledged, found = [], []
    try:
        await world.start(NAMES)
        await asyncio.sleep(2)
        for number, host in enumerate(world.hosts):
            for session in range(3):
                world.spawn(loop_of(world, f"lookup-{number}-{session}", host, transactions()))
        for number, host in enumerate(world.hosts):
            for session in range(4 if host.zone == rig.ZONES[0] else 1):
                world.spawn(loop_of(world, f"reader-{number}-{session}", host, reads(found)))
            if host.zone != rig.ZONES[0]:
                for session in range(2):
                    world.spawn(loop_of(world, f"writer-{number}-{session}", host,
                                        writes(acknowledged)))
        await asyncio.sleep(RELEASE_AT_S)
        if TROUBLE:
            world.lag_factor = LAG_FACTOR
            world.spawn(world.release(world.instances[0], 4, NEW))
            asyncio.get_running_loop().call_later(LAG_FOR_S, lambda: setattr(world, "lag_factor", 1))
        await asyncio.sleep(END_S)
        stale = stale_reads(world, acknowledged, found)
        for line in stale:
            world.record("STALE", line)
        print(f"{len(acknowledged)} writes acknowledged, {len(found)} reads served, "
              f"{len(stale)} stale")
        if not acknowledged or not found:
            return 2
        return 1 if stale else 0
    finally:
        world.stop()


if __name__ == "__main__":
    rig.run_and_exit(main(sys.argv[1], sys.argv[2]))
