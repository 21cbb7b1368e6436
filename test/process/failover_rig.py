#!/usr/bin/env python3
"""Failovers with real processes: front hosts against groups that can lose acknowledged writes.

Instances crash, return, leave, lag and are cut off; promotions are late or unanswered; the store
fails; hosts are frozen and killed; relays hold, delay, reset and silence connections. Whenever a
promotion takes effect, each commit that a caller was acknowledged must be in the successor's log.
The calls that request promotions must keep rule ONE.

Usage: failover_rig.py [--seed N] [--runs N] [--seconds N] [--fronts N] [--groups N] [--busy N]
                       [--sequence NAME ...] [--proxied PATH ...] [--program FILE]

With several sequences, one seed after another plays the next of them.
"""
import asyncio
import os
import random
import resource
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
sys.dont_write_bytecode = True
import failover_troubles  # noqa: E402
import failover_world  # noqa: E402
import held_promotions  # noqa: E402
import path_troubles  # noqa: E402
import proxied_paths  # noqa: E402
import seeded_runs  # noqa: E402
import unreplicated_commits  # noqa: E402
import world as standins  # noqa: E402

KEY = "key-of-tenant0"
ANSWER_LIMIT_S = 4
START_LIMIT_S = 60
RESTART_AFTER_S = 0.3
RESTART_SPREAD_S = 1.0
SEQUENCES = (failover_troubles.SEQUENCES | held_promotions.SEQUENCES
             | path_troubles.SEQUENCES | unreplicated_commits.SEQUENCES)


class Rig:
    """One run of a seed."""

    def __init__(self, seed, options):
        self.random = random.Random(seed)
        self.options, self.seconds = options, options.seconds
        self.sequence = options.sequence[seed % len(options.sequence)]
        self.folder = tempfile.mkdtemp(prefix="bronzeplank-rig-")
        self.record = standins.Record(os.path.join(self.folder, "record.txt"))
        self.world = failover_world.World(self.record, random.Random(seed + 1), options.fronts,
                                          options.groups, options.proxied)
        os.rmdir(self.world.folder)
        self.world.folder = self.folder
        self.world.deploy["roles"]["front"]["run"] = f"{options.program} front"
        self.world.promoted = self.promoted
        self.acknowledged = {service: {} for service in self.world.services}
        self.lost = {}
        self.losses = []
        self.broken = []
        self.sent = 0
        self.starts = 0
        self.began = 0.0
        self.stopping = False
        self.busy = []

    def deafen(self, instance, seconds):
        self.record(instance.id, f"receives nothing for {seconds:.1f} s")
        instance.deaf_until = time.monotonic() + seconds

    def note_failure(self, task):
        if not task.cancelled() and task.exception():
            self.broken.append(f"the rig failed: {task.exception()!r}")

    # Callers.

    async def call(self, service):
        database = "bookings" if service == "svc0" else f"bookings-{service}"
        while not self.stopping:
            front = self.random.choice(self.world.fronts)
            caller = standins.Caller(self.world, front, f"caller-{self.random.randrange(10 ** 6)}")
            try:
                if await asyncio.wait_for(caller.open(database, KEY), ANSWER_LIMIT_S):
                    while not self.stopping and await self.operate(caller, service):
                        await asyncio.sleep(self.random.uniform(0, 0.4))
            except (OSError, asyncio.TimeoutError, asyncio.LimitOverrunError, ValueError):
                pass
            finally:
                caller.close()
            await asyncio.sleep(0.2)

    async def operate(self, caller, service):
        """Runs one operation; false when the session has ended."""
        item = f"{self.random.randrange(4096):x}"
        kind = self.random.choice(["read", "write", "write", "transaction"])
        if kind != "transaction":
            text = f"READ {item}" if kind == "read" else f"WRITE {item} data"
            return await self.send(caller, service, text)
        for text in ("BEGIN", f"READ {item}", f"WRITE {item} data"):
            state = await self.send(caller, service, text)
            if state != "T":
                return state and (state == "I" or await self.send(caller, service, "ROLLBACK"))
        return await self.send(caller, service, "COMMIT")

    async def send(self, caller, service, text):
        """Returns the session's state, or None when the session has ended."""
        self.sent += 1
        identity = f"c{self.random.randrange(16 ** 15):015x}"
        lines = await asyncio.wait_for(caller.query(text, identity), ANSWER_LIMIT_S)
        if not lines or len(lines) < 2:
            return None
        if lines[-2].startswith("COMPLETE") and identity in self.world.commits:
            self.acknowledge(identity, service, caller.front)
        return lines[-1].split(" ")[1]

    # The check.

    def acknowledge(self, identity, service, front):
        """Remembers the commit; one that the group's leader lacks came from an old primary."""
        _, entry = self.world.commits[identity]
        instance = self.world.committed_at[identity]
        self.acknowledged[service][identity] = (entry, self.record.now(), instance, front.name)
        leader = instance.group.leader
        if instance.group.term > entry[0] and not leader.has(entry):
            self.lost[identity] = entry
            self.losses.append(f"ONE: {service}: {identity} at {entry} of {instance.id}, "
                               f"acknowledged at {self.record.now():.3f} by {front.name}, "
                               f"{leader.id} leads term {leader.term} without it")

    def promoted(self, chosen, holder, called_at):
        commits = self.acknowledged[chosen.service]
        missing = {identity: commit for identity, commit in commits.items()
                   if identity not in self.lost and not chosen.has(commit[0])}
        chosen.group.promotions.append((self.record.now(), chosen.id))
        if not missing:
            return
        self.losses.append(f"LOST: {chosen.service}: promote of {chosen.id}, called at "
                           f"{called_at:.3f} by {holder}, took effect at {self.record.now():.3f}, "
                           f"leads term {chosen.term} without {len(missing)} acknowledged commits")
        first = sorted(missing.items(), key=lambda item: item[1][0])[:3]
        for identity, (entry, at, instance, front) in first:
            self.losses.append(f"  {identity} at {entry} of {instance.id}, acknowledged at "
                               f"{at:.3f} by {front}, {self.holders(chosen.group, entry)}")
        self.lost.update(missing)

    def holders(self, group, entry):
        having = [f"{i.id} ({i.role}, {'runs' if i.server else 'is down'})"
                  for i in group.members if i.has(entry)]
        return "known by " + (", ".join(having) or "no instance that is left")

    # The run.

    async def keep_running(self, front):
        while not self.stopping:
            await front.process.wait()
            await asyncio.sleep(RESTART_AFTER_S + self.random.uniform(0, RESTART_SPREAD_S))
            if not self.stopping:
                self.starts += 1
                await front.start()

    async def start_busy(self):
        for _ in range(self.options.busy):
            self.busy.append(await asyncio.create_subprocess_exec(
                sys.executable, "-c", "while True: pass"))

    async def play(self):
        tasks = []
        try:
            await self.world.start()
            await self.world.wait_ready(START_LIMIT_S)
            await self.start_busy()
            self.world.lateness, self.began = 0.0, self.record.now()
            tasks += [asyncio.ensure_future(self.keep_running(f)) for f in self.world.fronts]
            services = self.world.services
            tasks += [asyncio.ensure_future(self.call(services[number % len(services)]))
                      for number in range(self.options.callers)]
            for task in tasks:
                task.add_done_callback(self.note_failure)
            await SEQUENCES[self.sequence](self)
            await self.stop_store()
        except standins.CannotRun as error:
            self.broken.append(f"could not run: {error}")
        finally:
            self.stopping = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for process in self.busy:
                process.kill()
            await self.world.stop()
        if not any(self.acknowledged.values()):
            self.broken.append("nothing was acknowledged")
        self.broken += self.losses + self.world.cloud.order.broken
        self.record("verdict", self.summary())
        return self.broken

    async def stop_store(self):
        """The store is stopped before the hosts are; promotions may still take effect."""
        self.world.store.fail("reset")
        await asyncio.sleep(3)

    def summary(self):
        acknowledged = sum(len(commits) for commits in self.acknowledged.values())
        promotions = sum(len(group.promotions) for group in self.world.groups)
        return (f"{self.sequence}, {self.sent} statements, {acknowledged} commits acknowledged, "
                f"{promotions} promotions, {self.starts} restarts of hosts, "
                f"{len(self.lost)} commits lost, {self.world.paths.summary()}, the rig at most "
                f"{self.world.lateness * 1000:.0f} ms late")


def main():
    parser = seeded_runs.parser(__doc__)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--fronts", type=int, default=12)
    parser.add_argument("--groups", type=int, default=2)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--sequence", nargs="+", default=["by-the-seed"],
                        choices=SEQUENCES)
    parser.add_argument("--proxied", nargs="*", default=proxied_paths.ALL,
                        choices=proxied_paths.ALL)
    options = parser.parse_args()
    options.program = os.path.abspath(options.program)
    # Each group is a host's connection or two, and each end is a descriptor here.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    # The hosts are ended as well if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    seeded_runs.play_all(options, lambda seed: Rig(seed, options))


if __name__ == "__main__":
    main()
