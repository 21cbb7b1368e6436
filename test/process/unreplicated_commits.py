"""Sequences of the failover rig in which a primary crashes with a log that is ahead of its replicas.

The answers of the primary then name positions that no replica has received. A replica with every
acknowledged commit has to be promoted all the same.
"""
import asyncio

from held_promotions import COMMITS, acknowledged_since
from failover_troubles import until
import world as standins

# The bound of a change of primary.
FAILOVER_LIMIT_S = 19
DEAF_S = 1.0
CRASH_AFTER_S = 0.5
ANSWER_TRAVEL_S = 0.1
AHEAD_LIMIT_S = 30
READERS = 12


async def end_transactions_without_writes(rig, group):
    """One caller after another; a statement without an answer ends the session."""
    database = "bookings" if group.service == "svc0" else f"bookings-{group.service}"
    while not rig.stopping:
        front = rig.random.choice(rig.world.fronts)
        caller = standins.Caller(rig.world, front, "caller-reader")
        try:
            if await asyncio.wait_for(caller.open(database, "key-of-tenant0"), 4):
                state = "I"
                while state == "I" and not rig.stopping:
                    for text in ("BEGIN", "READ 1f", "COMMIT"):
                        state = await rig.send(caller, group.service, text)
        except (OSError, asyncio.TimeoutError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            caller.close()
        await asyncio.sleep(0.05)


async def crash_for_good(rig, group):
    """Crashes the primary, and checks that a replica leads and acknowledges commits in time."""
    term, at = group.term, rig.record.now()
    ahead = len(group.leader.log) - max(len(replica.log) for replica in group.replicas())
    rig.record(group.leader.id, f"has {ahead} entries that no replica has received")
    if ahead < 1:
        raise standins.CannotRun("the primary's log was not ahead")
    crashed = asyncio.ensure_future(group.crash_and_return(group.leader, 10 * FAILOVER_LIMIT_S))
    led = await until(lambda: group.term > term
                      and acknowledged_since(rig, group, at) >= COMMITS, FAILOVER_LIMIT_S)
    crashed.cancel()
    if not led:
        rig.broken.append(f"no replica led and acknowledged commits in {FAILOVER_LIMIT_S} s")


async def waiting_commits(rig):
    """Commits wait for the replicas, while callers end transactions that wrote nothing."""
    group = rig.world.groups[0]
    readers = [asyncio.ensure_future(end_transactions_without_writes(rig, group))
               for _ in range(READERS)]
    try:
        await asyncio.sleep(2)
        for replica in group.replicas():
            rig.deafen(replica, DEAF_S)
        await asyncio.sleep(CRASH_AFTER_S)
        await crash_for_good(rig, group)
    finally:
        for reader in readers:
            reader.cancel()


async def answer_ahead(rig):
    """A commit is answered with the position of a later one, which no replica receives."""
    group = rig.world.groups[0]
    await asyncio.sleep(2)
    ahead = asyncio.Event()

    def on_commit_answered(primary):
        received = max(len(replica.log) for replica in group.replicas())
        if primary is group.leader and len(primary.log) > received and not ahead.is_set():
            ahead.set()
            for replica in group.replicas():
                rig.deafen(replica, DEAF_S)

    for instance in group.members:
        instance.on_commit_answered = on_commit_answered
    try:
        await asyncio.wait_for(ahead.wait(), AHEAD_LIMIT_S)
    except asyncio.TimeoutError:
        raise standins.CannotRun("no answer was ahead of the replicas") from None
    await asyncio.sleep(ANSWER_TRAVEL_S)
    await crash_for_good(rig, group)


SEQUENCES = {"waiting-commits": waiting_commits, "answer-ahead": answer_ahead}
