"""Troubles of the paths between front hosts and what they call, in an order by the seed."""
import asyncio

import failover_troubles
import loopback_proxy
import proxied_paths


def pick(rig):
    """The relays of one host, of a third of them, or of all, on one kind of path or on all."""
    paths, fronts = rig.world.paths, rig.world.fronts
    kinds = [kind for kind in proxied_paths.ALL if paths.of(kind)]
    if rig.random.random() < 0.8:
        kinds = [rig.random.choice(kinds)]
    count = rig.random.choice([1, max(1, len(fronts) // 3), len(fronts)])
    chosen = rig.random.sample(fronts, count)
    rig.record("rig", f"{', '.join(kinds)} of {', '.join(front.name for front in chosen)}:")
    return [relay for kind in kinds for front in chosen
            for relay in paths.relays[kind].get(front, {}).values()]


async def hold(rig, relays):
    """A partition: both ways or one, of all connections or a part of the new ones."""
    ways = rig.random.choice([loopback_proxy.BOTH_WAYS, [loopback_proxy.TO_TARGET],
                              [loopback_proxy.TO_SENDER]])
    share = rig.random.choice([1.0, 1.0, 0.6])
    seconds = rig.random.uniform(0.3, 8)
    rig.record("rig", f"hold ways {ways}, share {share:.1f}, for {seconds:.1f} s")
    for relay in relays:
        relay.hold(ways, share)
    await asyncio.sleep(seconds)
    for relay in relays:
        relay.release()


async def delay(rig, relays):
    most = rig.random.uniform(0.02, 0.4)
    rig.record("rig", f"delay by {most:.3f} s")
    for relay in relays:
        relay.delay(most)
    await asyncio.sleep(rig.random.uniform(1, 6))
    for relay in relays:
        relay.delay(0.0)


async def reset(rig, relays):
    rig.record("rig", "reset")
    for relay in relays:
        relay.reset()


async def silence(rig, relays):
    rig.record("rig", "silence")
    for relay in relays:
        relay.silence()


async def fail_paths(rig, _):
    trouble = rig.random.choice([hold, hold, hold, delay, reset, silence])
    await trouble(rig, pick(rig))


async def paths_by_the_seed(rig):
    await failover_troubles.by_the_seed(rig, [fail_paths] * 16 + failover_troubles.SINGLE)


SEQUENCES = {"paths-by-the-seed": paths_by_the_seed}
