import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True
from world import Caller, run_case  # noqa: E402

CALLERS = 6
STATEMENTS = 12
PAUSE_S = 0.35


async def transaction(world, front, number, lost):
    caller = Caller(world, front, f"caller-{number}")
    await caller.open("lookups", "key-of-tenant0")
    await caller.query("BEGIN READ")
    await asyncio.sleep(number * 0.1)
    for step in range(STATEMENTS):
        identity = f"{number:08x}{step:08x}"
        sent_at = world.record.now()
        answer = await caller.query(f"READ {step:x}a4", identity)
        if answer is None:
            lost.append((identity, sent_at, world.record.now()))
            return
        if answer[-1].startswith("READY E"):
            break
        await asyncio.sleep(PAUSE_S)
    await caller.query("COMMIT")
    caller.close()


async def body(world, trouble):
    lost = []
    front = world.fronts[0]
    await asyncio.sleep(5)
    callers = [asyncio.ensure_future(transaction(world, front, n, lost)) for n in range(CALLERS)]
    await asyncio.sleep(0.8)
    stopped_at = world.record.now()
    if trouble:
        front.signal(signal.SIGTERM)
    await asyncio.gather(*callers)
    ran = {identity for _, identity, _, _ in world.runs}
    found = [f"{identity} sent {sent - stopped_at:.2f} s and cut {cut - stopped_at:.2f} s after "
             "SIGTERM" for identity, sent, cut in lost if identity in ran]
    return f"LOST: {found}" if found else None


sys.exit(run_case(FOLDER, body, fronts=3, work_s=0.25))
