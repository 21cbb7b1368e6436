"""Sequences of the failover rig in which promotion calls are held up on their way."""
import asyncio

import failover_troubles
import world as standins
from failover_troubles import until

LIMIT_S = 40
COMMITS = 3
# A host takes a promotion without an answer to have no effect any more this long after.
DOUBT_S = 10
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


async def fall_behind(rig, group, instance):
    """It starts again or is cut off for a while, and receives nothing after that."""
    seconds = rig.random.uniform(0.2, 3)
    if rig.random.random() < 0.5:
        await group.start_again(instance, seconds, deaf_s=LIMIT_S * 2)
        return
    rig.deafen(instance, LIMIT_S * 2)
    await failover_troubles.vanish(instance, seconds)


async def held_past_the_doubt(rig):
    """The first successor is behind when the call that names it arrives."""
    group = rig.world.groups[0]
    await asyncio.sleep(2)
    term = group.term
    first, crashed = await hold_first_caller(rig, group, rig.random.uniform(1, 4))
    held_at, kept = rig.record.now(), first.kept()
    named = next(i for i in group.members if i.id.encode() in kept)
    await fall_behind(rig, group, named)
    await crashed
    doubt_ends = held_at + DOUBT_S + 1
    await reach(lambda: acknowledged_since(rig, group, doubt_ends) >= COMMITS,
                "commits were acknowledged after the doubt")
    if group.term == term:
        crashed = asyncio.ensure_future(group.crash_and_return(group.leader, 8))
    await reach(lambda: group.term > term
                and acknowledged_since(rig, group, doubt_ends) >= COMMITS,
                "a second successor acknowledged commits")
    first.release()
    await asyncio.sleep(SETTLE_S)
    await crashed


async def hold_and_crash(rig, group):
    """Most connections to the promotion address that are opened meanwhile are held."""
    relays = rig.world.paths.of("promotions")
    share = rig.random.uniform(0.6, 0.7)
    for relay in relays:
        relay.hold(share=share)
    crashed = asyncio.ensure_future(
        group.crash_and_return(group.leader, rig.random.uniform(0.2, 7)))
    await asyncio.sleep(rig.random.uniform(3, 8))
    for relay in relays:
        relay.release()
    await crashed


async def held_promotions_by_the_seed(rig):
    await failover_troubles.by_the_seed(rig, [hold_and_crash] * 8 + failover_troubles.SINGLE)


SEQUENCES = {"held-promotions": held_promotions, "held-past-the-doubt": held_past_the_doubt,
             "held-promotions-by-the-seed": held_promotions_by_the_seed}
