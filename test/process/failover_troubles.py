"""The troubles of the failover rig: named sequences, and single ones in an order by the seed."""
import asyncio
import signal

import front_signals

# Troubles that last longer at the end of a run are left as they are.
SETTLE_S = 4


async def kill_hosts(rig, fronts):
    for front in fronts:
        if front.running():
            front_signals.send(front, signal.SIGKILL)
    await asyncio.sleep(0)


async def until(holds, limit_s=20):
    for _ in range(int(limit_s / 0.02)):
        if holds():
            return True
        await asyncio.sleep(0.02)
    return False


# Named sequences.

async def leaver_then_all_killed(rig):
    """Incident 43: only the leaver has what its successor acknowledged, and all hosts are new."""
    group = rig.world.groups[0]
    await asyncio.sleep(2)
    leaver = group.leader
    leaving = asyncio.ensure_future(group.leave(leaver))
    await until(lambda: group.leader is not leaver)
    await asyncio.sleep(1)
    successor = group.leader
    for other in group.members:
        if other not in (leaver, successor):
            rig.deafen(other, 60)
    await leaving
    await asyncio.sleep(1)
    await kill_hosts(rig, rig.world.fronts)
    await asyncio.sleep(0.2)
    await vanish(successor, 9)
    for other in group.members:
        rig.deafen(other, 0)
    await asyncio.sleep(4)


async def stalled_promotions(rig):
    """The primary has no replica that receives, and is promoted again without a change."""
    group = rig.world.groups[0]
    await asyncio.sleep(2)
    for replica in group.replicas():
        rig.deafen(replica, 8)
    await asyncio.sleep(12)


async def late_promotion(rig):
    """A call isn't answered and takes effect after another instance has been promoted."""
    group, cloud = rig.world.groups[0], rig.world.cloud
    await asyncio.sleep(2)
    for _ in range(max(1, int(rig.seconds // 20))):
        calls = len(cloud.calls)
        cloud.hold_s = rig.random.uniform(4, 6)
        cut = [asyncio.ensure_future(group.leader.dark(rig.random.uniform(2, 5)))]
        if await until(lambda calls=calls: len(cloud.calls) > calls):
            named = rig.world.instance(cloud.calls[-1][2])
            seconds = cloud.calls[-1][0] + 7 - rig.record.now()
            cut.append(asyncio.ensure_future(vanish(named, seconds)))
        if rig.random.random() < 0.7:
            await asyncio.sleep(rig.random.uniform(0.1, 3))
            await kill_hosts(rig, rig.world.fronts)
        await asyncio.gather(*cut)
        await asyncio.sleep(8)


async def vanish(instance, seconds):
    """Neither the hosts nor the store hear of it; it runs on."""
    instance.offline = True
    await instance.dark(seconds)
    instance.offline = False


# Single troubles.

async def crash(rig, group):
    instance = group.leader if rig.random.random() < 0.6 else group.pick(rig.random)
    if instance:
        await group.crash_and_return(instance, rig.random.uniform(0.2, 7))


async def leave(rig, group):
    instance = group.leader if rig.random.random() < 0.6 else group.pick(rig.random)
    if instance and not group.leaving:
        await group.leave(instance, rig.random.choice([0.3, 0.3, 3]))


async def be_deaf(rig, group):
    one = group.pick(rig.random, replica=True)
    all_of_them = rig.random.random() < 0.3
    for replica in group.replicas() if all_of_them else [one] if one else []:
        rig.deafen(replica, rig.random.uniform(1, 8))


async def be_dark(rig, group):
    instance = group.leader if rig.random.random() < 0.6 else group.pick(rig.random)
    if instance and instance.reached.is_set():
        offline = rig.random.random() < 0.4
        instance.offline = instance.offline or offline
        await instance.dark(rig.random.uniform(1, 9))
        instance.offline = instance.offline and not offline


async def be_cut(rig, group):
    """Cut from the other instances, the store, or both."""
    instance = group.pick(rig.random)
    if not instance or instance.apart or instance.offline:
        return
    instance.apart, instance.offline = rig.random.choice(
        [(True, False), (False, True), (True, True)])
    rig.record(instance.id, f"apart {instance.apart}, offline {instance.offline}")
    await asyncio.sleep(rig.random.uniform(1, 8))
    instance.apart = instance.offline = False
    rig.record(instance.id, "is linked again")


async def fail_store(rig, _):
    store = rig.world.store
    if store.mode != "ok":
        return
    store.expires = rig.random.random() < 0.5
    store.fail(rig.random.choice(["silent", "reset", "slow", "lossy"]))
    await asyncio.sleep(rig.random.uniform(1, 8))
    if store.mode != "stopped":
        store.fail("ok")
    store.expires = True


async def uneven_promotions(rig, _):
    rig.world.cloud.uneven = True
    await asyncio.sleep(rig.random.uniform(3, 10))
    rig.world.cloud.uneven = False


async def freeze(rig, _):
    fronts = rig.random.sample(rig.world.fronts,
                               rig.random.randint(1, max(1, len(rig.world.fronts) // 3)))
    stopped = [(f, f.process) for f in fronts if f.running()]
    for front, _ in stopped:
        front_signals.send(front, signal.SIGSTOP)
    await asyncio.sleep(rig.random.uniform(0.3, 6))
    for _, process in stopped:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)


async def kill_some(rig, _):
    """One host, most of them, or all."""
    count = len(rig.world.fronts)
    count = rig.random.choice([1, count * 2 // 3, count])
    await kill_hosts(rig, rig.random.sample(rig.world.fronts, max(1, count)))


async def lone_leaver(rig, group):
    """The primary leaves, and the other replicas lag for about as long as it stays."""
    leaver = group.leader
    if group.leaving or not leaver.server:
        return
    leaving = asyncio.ensure_future(group.leave(leaver))
    await until(lambda: group.leader is not leaver, 5)
    await asyncio.sleep(rig.random.uniform(0.3, 2))
    successor = group.leader
    for other in group.members:
        if other not in (leaver, successor):
            rig.deafen(other, rig.random.uniform(4, 12))
    await leaving
    await asyncio.sleep(rig.random.uniform(0, 2))
    if rig.random.random() < 0.4:
        await kill_hosts(rig, rig.world.fronts)
    if successor.reached.is_set():
        await vanish(successor, rig.random.uniform(2, 7))


async def held_promotion(rig, group):
    """The primary goes dark, and the next call takes effect late, without an answer."""
    rig.world.cloud.hold_s = rig.random.uniform(2, 6)
    if group.leader.reached.is_set():
        await group.leader.dark(rig.random.uniform(1, 6))


SINGLE = [crash, crash, crash, crash, leave, leave, be_deaf, be_deaf, be_deaf, be_dark, be_dark,
          be_dark, be_cut, be_cut, fail_store, fail_store, uneven_promotions, freeze, kill_some,
          lone_leaver, lone_leaver, held_promotion, held_promotion]


LEAVERS = [lone_leaver, lone_leaver, lone_leaver, be_deaf, be_dark, crash, kill_some, kill_some,
           fail_store]


async def by_the_seed(rig, troubles=tuple(SINGLE)):
    """Troubles in an order by the seed; several at a time."""
    running = []
    pause_s = 5 / len(rig.world.groups)
    while rig.record.now() - rig.began < rig.seconds:
        await asyncio.sleep(rig.random.uniform(0, pause_s))
        trouble = rig.random.choice(troubles)
        running.append(asyncio.ensure_future(trouble(rig, rig.random.choice(rig.world.groups))))
    for task in running:
        task.add_done_callback(rig.note_failure)
    _, left = await asyncio.wait(running, timeout=SETTLE_S)
    for task in left:
        task.cancel()


async def leavers_by_the_seed(rig):
    """Mostly primaries that leave while the other replicas lag."""
    await by_the_seed(rig, LEAVERS)


async def all_at_once(rig):
    """The primaries of all groups fail together while replicas lag; hosts are frozen and killed."""
    while rig.record.now() - rig.began < rig.seconds:
        running = []
        for group in rig.world.groups:
            lagging = group.pick(rig.random, replica=True)
            if lagging and rig.random.random() < 0.6:
                rig.deafen(lagging, rig.random.uniform(1, 5))
        await asyncio.sleep(rig.random.uniform(0.3, 1.5))
        for group in rig.world.groups:
            seconds = rig.random.uniform(1, 6)
            fails = rig.random.choice([group.crash_and_return, vanish])
            if group.leader.server and group.leader.reached.is_set():
                running.append(fails(group.leader, seconds))
        running = [asyncio.ensure_future(task) for task in running]
        for trouble in (freeze, kill_some):
            await asyncio.sleep(rig.random.uniform(0, 1))
            if rig.random.random() < 0.6:
                running.append(asyncio.ensure_future(trouble(rig, rig.world.groups[0])))
        for task in running:
            task.add_done_callback(rig.note_failure)
        await asyncio.gather(*running, return_exceptions=True)
        await asyncio.sleep(5)


SEQUENCES = {"by-the-seed": by_the_seed, "all-at-once": all_at_once, "leavers-by-the-seed": leavers_by_the_seed,
             "leaver-then-all-killed": leaver_then_all_killed,
             "stalled-promotions": stalled_promotions, "late-promotion": late_promotion}
