import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True
from world import RAW_VALUES, SERVICE, run_case  # noqa: E402

DEPTH = int(os.environ.get("DEPTH", "400000"))


async def body(world, trouble):
    for front in world.fronts:
        world.tasks.append(asyncio.ensure_future(front.restart_whenever_it_ends()))
    if trouble:
        RAW_VALUES["@slots"] = "[" * DEPTH + "]" * DEPTH
    world.store.put("servers", "another-writer",
                    {"Service": SERVICE, "Zone": "zone-a", "State": "ready", "Slots": "@slots"})
    await asyncio.sleep(15)
    ends = {front.name: front.ends for front in world.fronts}
    three = [name for name, codes in ends.items() if len(codes) >= 3]
    return f"Fault: processes that ended by themselves {ends}" if len(three) >= 2 else None


sys.exit(run_case(FOLDER, body, fronts=3))
