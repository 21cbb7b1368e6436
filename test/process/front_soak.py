#!/usr/bin/env python3
"""A soak of front hosts: real processes, stand-ins for the platform and the instances.

Callers use their open connections until they are closed. Meanwhile hosts are stopped, killed,
suspended and told to read their settings, also while they start or stop and several times in a row;
settings files change with and without a signal, failure domains are withdrawn, configurations
change and other programs write odd entries, in series and overlapping, as the seed has it.

Usage: front_soak.py [--seed N] [--runs N] [--seconds N] [--program FILE]
"""
import asyncio
import functools
import os
import random
import resource
import signal
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
sys.dont_write_bytecode = True
import front_signals  # noqa: E402
import seeded_runs  # noqa: E402
import world as standins  # noqa: E402

FRONTS = 4
KEY = "key-of-tenant0"
DATABASES = ["bookings", "lookups", "closeouts"]
# These codes promise that nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
# A stop that takes longer than its grace is ended here; it only keeps a run from hanging.
KILL_AFTER_S = 30
RECOVERY_LIMIT_S = 60
# Descriptors that a host keeps for itself; see platform/front_host.cpp.
RESERVED_DESCRIPTORS = 400
# The share of starts that get signals at once.
SIGNALS_AT_START = 0.3
ODD_SPECS = ["@deep", "@huge", "@surrogate", {"Service": 7}, "text", None]


class Statement:
    """What a caller sent and was answered."""

    def __init__(self, front, text):
        self.front, self.text = front, text
        self.start = front.starts
        self.code = None
        self.dropped = False


class Soak:
    """One run of a seed."""

    def __init__(self, seed, seconds, program):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = tempfile.mkdtemp(prefix="bronzeplank-soak-")
        self.record = standins.Record(os.path.join(self.folder, "record.txt"))
        self.world = standins.World(self.record, fronts=FRONTS)
        os.rmdir(self.world.folder)
        self.world.folder = self.folder
        self.world.deploy["roles"]["front"]["run"] = f"{program} front"
        self.at_limit = seed % 3 == 0
        self.statements = {}
        self.acknowledged = {}
        self.committed = {}
        self.broken = []
        self.stopping = False
        for front in self.world.fronts:
            front.starts = 0
            front.begun = False
            front.cut_short = set()
            front.suspended = False
            front.start = functools.partial(self.start_front, front)

    def check(self, holds, what):
        if not holds and what not in self.broken:
            self.broken.append(what)
            self.record("broken", what)

    async def start_front(self, front):
        front.starts += 1
        limit = RESERVED_DESCRIPTORS + 6
        if self.at_limit:
            fields = standins.Front.fields(front) | {"Limits": {"MemoryMb": 260, "MaxFds": limit}}
            front.fields = lambda: fields
        front.begun = False
        await standins.Front.start(front)
        if self.at_limit:
            resource.prlimit(front.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        front.begun = await front_signals.has_begun(front.process.pid)
        # The first processes start before any of them is started again.
        if front.begun and front.starts > 1 and self.random.random() < SIGNALS_AT_START:
            await self.signal_starting(front)

    async def signal_starting(self, front):
        order = self.random.choice([[signal.SIGHUP], [signal.SIGHUP, signal.SIGHUP],
                                    [signal.SIGHUP, signal.SIGTERM],
                                    [signal.SIGTERM, signal.SIGHUP]])
        delay_s = self.random.choice([0, self.random.random() * 0.02])
        await asyncio.sleep(delay_s)
        for number in order:
            front_signals.send(front, number)

    # Callers.

    async def call(self):
        while not self.stopping:
            front = self.random.choice(self.world.fronts)
            caller = standins.Caller(self.world, front, f"caller-{self.random.randrange(10 ** 6)}")
            try:
                if await caller.open(self.random.choice(DATABASES), KEY):
                    while not self.stopping and await self.operate(caller, front):
                        await asyncio.sleep(self.random.random() * 0.3)
            except OSError:
                pass
            finally:
                caller.close()
            await asyncio.sleep(0.2)

    async def operate(self, caller, front):
        """Runs one operation; false when the session has ended."""
        item = f"{self.random.randrange(4096):x}"
        kind = self.random.choice(["read", "write", "read only", "transaction"])
        if kind == "read":
            return await self.send(caller, front, f"READ {item}")
        if kind == "write":
            return await self.send(caller, front, f"WRITE {item} data")
        if not await self.send(caller, front, "BEGIN READ" if kind == "read only" else "BEGIN"):
            return False
        for _ in range(self.random.randrange(1, 8)):
            writes = kind == "transaction" and self.random.random() < 0.4
            text = f"WRITE {item} data" if writes else f"READ {item}"
            state = await self.send(caller, front, text)
            if not state or state == "E":
                return state and await self.send(caller, front, "ROLLBACK")
            await asyncio.sleep(self.random.random() * 0.5)
        return await self.send(caller, front, "COMMIT")

    async def send(self, caller, front, text):
        """Returns the session's state after the statement, or None when the session has ended."""
        identity = f"c{self.random.randrange(16 ** 15):015x}"
        statement = self.statements[identity] = Statement(front, text)
        lines = await caller.query(text, identity)
        if not lines:
            statement.dropped = True
            return None
        end = lines[-2].split(" ")
        statement.code = "COMPLETE" if end[0] == "COMPLETE" else end[1]
        if statement.code == "COMPLETE":
            self.acknowledged[identity] = self.record.now()
            if text.startswith("READ"):
                self.check(lines[0] == f"ROW r{identity}", f"MIXED: {identity} got {lines}")
        return lines[-1].split(" ")[1]

    # Troubles.

    async def stop(self, front):
        if front.running() and front.begun and not front.suspended:
            front_signals.send(front, signal.SIGTERM)
            await self.expect_stop(front)

    async def stop_while_reloading(self, front):
        """Both signals at once, and further ones until the process has ended."""
        if front.running() and front.begun and not front.suspended:
            process = front.process
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                front_signals.send(front, number)
            stopped = asyncio.ensure_future(self.expect_stop(front))
            while process.returncode is None and not stopped.done():
                front_signals.send(
                    front, self.random.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]))
                await asyncio.sleep(self.random.random() * 0.05)
            await stopped

    async def expect_stop(self, front):
        try:
            code = await asyncio.wait_for(asyncio.shield(front.process.wait()), KILL_AFTER_S)
        except asyncio.TimeoutError:
            code = None
            front.process.kill()
        killed = front.starts in front.cut_short
        self.check(code == 0 or killed, f"Fault: {front.name} ended with {code} after SIGTERM")

    async def kill(self, front):
        if front.running():
            front.cut_short.add(front.starts)
            front_signals.send(front, signal.SIGKILL)

    async def suspend(self, front):
        if front.running():
            front.cut_short.add(front.starts)
            front.suspended = True
            process = front.process
            front_signals.send(front, signal.SIGSTOP)
            await asyncio.sleep(self.random.random() * 3)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            front.suspended = False

    async def reload(self, front):
        if front.running() and front.begun:
            front_signals.send(front, signal.SIGHUP)

    async def reload_in_a_row(self, front):
        for _ in range(self.random.randrange(2, 60)):
            await self.reload(front)
            await asyncio.sleep(self.random.choice([0, 0.001, self.random.random() * 0.02]))

    async def change_settings(self, front):
        """The file may be incomplete, and the signal may come late or never."""
        path = os.path.join(self.folder, front.name + ".jsonc")
        starts = front.starts
        # A start takes the file as it is then.
        if not await front.ready() or front.starts != starts:
            return
        with open(path, encoding="utf-8") as file:
            text = file.read()
        changed = self.random.choice([text + "\n// changed\n", text.replace("6000", "7000"),
                                      text[:len(text) // 2], ""])
        with open(path, "w", encoding="utf-8") as file:
            file.write(changed)
        for _ in range(self.random.randrange(3)):
            await asyncio.sleep(self.random.random() * 0.3)
            await self.reload(front)
        await asyncio.sleep(self.random.random())
        if front.starts == starts:
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)

    async def withdraw(self, _):
        zone = self.random.choice(standins.ZONES)
        self.world.store.put("evacuations", zone, {})
        await asyncio.sleep(1 + self.random.random() * 3)
        self.world.store.delete("evacuations", zone)

    async def drain(self, _):
        """An instance says that it is about to stop, and that it is ready again."""
        instance = self.random.choice(self.world.instances)
        instance.state = "draining"
        instance.report()
        await asyncio.sleep(2 + self.random.random() * 2)
        instance.state = "ready"
        instance.report()

    async def configure(self, _):
        self.world.version += self.random.randrange(1, 5)
        self.world.store.put("config", "main", self.world.configuration())

    async def write_odd_entry(self, _):
        kind = self.random.choice(["servers", "bronzeplank-hosts", "evacuations"])
        name = f"odd-{self.random.randrange(3)}"
        self.world.store.put(kind, name, {"Service": standins.SERVICE, "Zone": "zone-a",
                                          "State": "ready",
                                          "Slots": self.random.choice(ODD_SPECS)})
        await asyncio.sleep(self.random.random() * 4)
        self.world.store.delete(kind, name)

    async def disturb(self):
        troubles = [self.stop, self.stop_while_reloading, self.kill, self.suspend, self.reload,
                    self.reload_in_a_row, self.change_settings, self.withdraw,
                    self.drain, self.drain, self.configure, self.write_odd_entry]
        running = []
        while self.record.now() < self.seconds:
            await asyncio.sleep(self.random.random() * 1.5)
            trouble = self.random.choice(troubles)
            running.append(asyncio.ensure_future(trouble(self.random.choice(self.world.fronts))))
        await asyncio.gather(*running)

    async def keep_running(self, front):
        """Starts the process again whenever it has ended, as the platform does."""
        while not self.stopping:
            process = front.process
            code = await process.wait()
            expected = code == 0 or front.starts in front.cut_short
            self.check(expected, f"Fault: {front.name} ended by itself with {code}")
            await asyncio.sleep(0.3)
            if not self.stopping:
                await front.start()

    # Checks.

    def observe_instances(self):
        soak = self

        async def commit(instance, identity):
            soak.committed[identity] = soak.committed.get(identity, 0) + 1
            await standins.Instance.commit(instance, identity)

        def command(instance, verb, rest):
            standins.Instance.command(instance, verb, rest)
            leader = next((i for i in instance.peers() if i.role == "primary"), None)
            # The stand-in replaces only the logs of those that are replicas at the promotion.
            if verb == "DEMOTE" and instance.role == "replica" and leader:
                instance.log, instance.term = list(leader.log), leader.term

        for instance in self.world.instances:
            instance.commit = functools.partial(commit, instance)
            instance.command = functools.partial(command, instance)

    def check_history(self):
        ran = {identity for _, identity, _, _ in self.world.runs}
        for _, identity, text, _ in self.world.runs:
            sent = self.statements.get(identity)
            if text.startswith("AFTER "):
                text = text.split(" ", 2)[2]
            self.check(sent and sent.text == text, f"UNASKED: {identity} [{text}]")
        for identity, count in self.committed.items():
            self.check(count == 1, f"TWICE: {identity} committed {count} times")
        for identity, sent in self.statements.items():
            refused = sent.code in PROMISES
            self.check(not (refused and identity in self.committed),
                       f"REFUSED: {identity} was answered {sent.code} and committed")
            lost = sent.dropped and identity in ran and sent.start not in sent.front.cut_short
            self.check(not lost, f"LOST: {identity} [{sent.text}] ran and was not answered by "
                                 f"{sent.front.name}")
        for identity, at in self.acknowledged.items():
            service, entry = self.world.commits.get(identity, (None, None))
            for promoted_at, group, chosen, log in self.world.cloud.promotions:
                if group == service and promoted_at > at:
                    self.check(entry in log, f"LOST: {identity} at {entry}, {chosen} leads without")

    async def recover(self):
        """Whether each host serves a read and a write again."""
        for front in self.world.fronts:
            deadline = self.record.now() + RECOVERY_LIMIT_S
            served = False
            while not served and self.record.now() < deadline:
                caller = standins.Caller(self.world, front, "probe")
                try:
                    served = bool(await caller.open("bookings", KEY)) and all(
                        [await self.send(caller, front, text) == "I" and
                         list(self.statements.values())[-1].code == "COMPLETE"
                         for text in ("READ 1", "WRITE 1 data")])
                except OSError:
                    pass
                caller.close()
                await asyncio.sleep(0.2)
            self.check(served, f"RECOVER: {front.name} does not serve")

    async def play(self):
        standins.RAW_VALUES.update({"@deep": "[" * 200000 + "]" * 200000, "@huge": "1e400",
                                    "@surrogate": "\"\\ud800\""})
        self.observe_instances()
        try:
            await self.world.start()
            await self.world.wait_ready(RECOVERY_LIMIT_S)
            keepers = [asyncio.ensure_future(self.keep_running(f)) for f in self.world.fronts]
            callers = [asyncio.ensure_future(self.call()) for _ in range(32)]
            await self.disturb()
            await asyncio.sleep(1)
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self.recover()
            self.stopping = True
            for task in keepers:
                task.cancel()
            await asyncio.gather(*keepers, return_exceptions=True)
        finally:
            await self.world.stop()
        self.check_history()
        self.check(len(self.acknowledged) > 0, "nothing was served")
        return self.broken

    def summary(self):
        return (f"{len(self.statements)} statements, {len(self.committed)} commits, "
                f"{len(self.world.cloud.promotions)} promotions, "
                f"{sum(f.starts for f in self.world.fronts)} starts"
                f"{', at the limit' if self.at_limit else ''}")


def main():
    parser = seeded_runs.parser(__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    options = parser.parse_args()
    seeded_runs.play_all(options, lambda seed: Soak(seed, options.seconds, options.program))


if __name__ == "__main__":
    main()
