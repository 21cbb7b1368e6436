"""STALE: without SyncReplicas, a zone that is cut off goes on reading from the old primary."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
sys.dont_write_bytecode = True
import small_world  # noqa: E402

CUT_S = 5.5


async def talk(world, front, number, verb, end, results):
    """A session that reads or writes again and again; opened anew when it has ended."""
    client = small_world.Client(world, front, f"client-{number}")
    while world.record.now() < end:
        if client.writer is None and not await client.open("bookings", "key-one"):
            client.close()
            client.writer = None
            await asyncio.sleep(0.1)
            continue
        identity = small_world.new_id()
        sent_at = world.record.now()
        answer = await client.ask(identity, f"{verb} 1a{number}" + (" data" * (verb == "WRITE")))
        if answer is None:
            client.close()
            client.writer = None
        elif any(line.startswith("COMPLETE") for line in answer):
            results.append((verb, identity, front, sent_at, world.record.now()))
        await asyncio.sleep(0.05 if verb == "READ" else 0.3)
    client.close()


async def case(record):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = small_world.World(record)
    world.add_paths()
    world.add_service("bookings-db", ["a", "b", "c"], sync=0)
    world.add_route("bookings", "bookings-db", "primary", TimeoutMs=800, TargetLatencyMs=120)
    world.add_tenant("tenant-one", "key-one")
    results = []
    try:
        await world.start()
        await asyncio.sleep(5)
        end = record.now() + 14
        talks = [asyncio.ensure_future(talk(world, front, number, verb, end, results))
                 for number, (front, verb) in enumerate(
                     [(front, "READ") for front in world.fronts] * 2
                     + [(front, "WRITE") for front in world.fronts[1:]])]
        await asyncio.sleep(3)
        # The replicas have what was acknowledged, so that one of them can be promoted.
        while record.now() - max(at for at, _, _ in world.commits.values()) < 0.04:
            await asyncio.sleep(0.005)
        if trouble:
            world.cut_zone("a", True)
            await asyncio.sleep(CUT_S)
            world.cut_zone("a", False)
        await asyncio.wait_for(asyncio.gather(*talks), 30)
    finally:
        await world.stop()
    if len(results) < 100:
        raise small_world.CannotRun("the clients weren't served")
    return stale_reads(world, results)


def stale_reads(world, results):
    """Successful reads at an instance whose log lacked a commit acknowledged before they began."""
    acknowledged = [(at, identity) for verb, identity, _, _, at in results if verb == "WRITE"]
    broken = []
    for verb, identity, front, sent_at, answered_at in results:
        if verb != "READ":
            continue
        ran_at, instance, received = world.runs[identity][-1]
        lacking = [(at, commit) for at, commit in acknowledged
                   if at < sent_at and world.commits[commit][2] > received
                   and not world.is_rolled_back(commit)]
        if lacking:
            at, commit = lacking[0]
            broken.append(
                f"STALE: read {identity} was sent to {front.name} at {sent_at:.3f}, ran at "
                f"{instance.id} with {received[0]}.{received[1]} at {ran_at:.3f} and was answered "
                f"at {answered_at:.3f}; it lacks {len(lacking)} commits, the first, {commit}, "
                f"acknowledged at {at:.3f}")
    return broken


sys.exit(small_world.main(case, FOLDER))
