"""Sequences of the failover rig in which promotion calls are held up on their way."""
import asyncio

import world as standins
from failover_troubles import until

LIMIT_S = 40
COMMITS = 3
SETTLE_S = 4


async def reach(holds, what):
    if not await until(holds, LIMIT_S):
        raise standins.CannotRun(f"waited {LIMIT_S} s until {what}")


async def hold_first_caller(rig, group, back_after_s):
    """Crashes the primary and returns the relay of the first host that requests a promotion."""
    relays = rig.world.paths.of("promotions")
    for relay in relays:
        relay.hold()
    crashed = asyncio.ensure_future(group.crash_and_return(group.leader, back_after_s))
    await reach(lambda: any(relay.kept() for relay in relays), "a promotion was requested")
    first = next(relay for relay in relays if relay.kept())
    for relay in relays:
        if relay is not first:
            relay.release()
    return first, crashed


def acknowledged_since(rig, group, at):
    """The commits of the newest term that callers were acknowledged after that time."""
    commits = rig.acknowledged[group.service].values()
    return sum(entry[0] == group.term and when > at for entry, when, _, _ in commits)


async def held_promotions(rig):
    """Incident 49: the calls of the first holder arrive when another one has promoted."""
    group = rig.world.groups[0]
    await asyncio.sleep(2)
    term = group.term
    first, crashed = await hold_first_caller(rig, group, LIMIT_S)
    await reach(lambda: group.term > term and acknowledged_since(rig, group, 0) >= COMMITS,
                "another host's successor acknowledged commits")
    first.release()
    await asyncio.sleep(SETTLE_S)
    crashed.cancel()


SEQUENCES = {"held-promotions": held_promotions}
