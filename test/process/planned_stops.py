#!/usr/bin/env python3
"""Planned stops with real processes: each request that a host has read must be answered.

Hosts are stopped and started in turn as the platform does it (SIGTERM, SIGKILL after the grace),
told to read their settings, and given new configurations, while callers use their connections until
these are closed. The platform's entry sends new callers to the hosts that are ready, and some
callers connect to hosts that aren't. Nothing else fails, unless a sequence says so.

Usage: planned_stops.py [--seed N] [--runs N] [--seconds N] [--fronts N] [--groups N] [--cores N]
                        [--wave N] [--gap SECONDS] [--slow SHARE] [--sequence NAME ...]
                        [--program FILE]

With several sequences, one seed after another plays the next of them.
"""
import asyncio
import os
import resource
import signal
import sys

sys.dont_write_bytecode = True
import failover_rig  # noqa: E402
import front_signals  # noqa: E402
import proxied_paths  # noqa: E402
import replicated_group  # noqa: E402
import seeded_runs  # noqa: E402
import world as standins  # noqa: E402

GRACE_S = standins.BOUNDS["GraceS"]
LOST_AFTER_S = 0.2
# Of a request that was sent within this time after SIGTERM, the instance may still be at work in
# the last sixth of the grace.
EARLY_S = 3.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
# Such ids aren't recorded one by one.
ID_PREFIX = standins.BACKGROUND_ID


class Request:
    """A statement that a caller sent and how it ended."""

    def __init__(self, identity, text, front, at):
        self.identity, self.text, self.front, self.sent_at = identity, text, front, at
        self.process = front.process
        self.ended = None
        self.took = 0.0


class Caller(standins.Caller):
    """A session that tells a close from a reset."""

    async def exchange(self, line):
        self.send(line)
        try:
            lines = await self.answer()
        except OSError:
            return "reset"
        return lines or "close"


class Entry:
    """The platform's entry: probes each host once a second; two misses take it out."""

    def __init__(self, rig):
        self.rig = rig
        self.misses = {front: 0 for front in rig.world.fronts}

    async def probe(self, front):
        try:
            ready = await asyncio.wait_for(front.ready(), PROBE_TIMEOUT_S)
        except asyncio.TimeoutError:
            ready = False
        self.misses[front] = 0 if ready else self.misses[front] + 1

    async def run(self):
        while True:
            await asyncio.gather(*(self.probe(front) for front in self.misses))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def pick(self, zone):
        """With fewer than half of a zone's hosts in rotation, all of them are used."""
        hosts = [front for front in self.misses if front.zone == zone]
        rotation = [front for front in hosts if self.misses[front] < 2]
        return self.rig.random.choice(rotation if 2 * len(rotation) >= len(hosts) else hosts)


class PlannedStops(failover_rig.Rig):
    """One run of a seed."""

    def __init__(self, seed, options):
        super().__init__(seed, options)
        self.entry = Entry(self)
        self.requests = {}
        self.stopped_at = {}
        self.stops = self.killed = self.reloads = self.versions = 0
        self.longest_stop = 0.0
        # The host that all direct callers connect to.
        self.target = None
        self.refusals = {}
        self.unanswered = []
        self.instance_run = replicated_group.Instance.run

    # Callers.

    async def call(self, service):
        database = "bookings" if service == "svc0" else f"bookings-{service}"
        zone = self.random.choice(standins.ZONES)
        while not self.stopping:
            direct = self.random.random() < self.options.direct
            front = self.target or self.random.choice(self.world.fronts)
            front = front if direct else self.entry.pick(zone)
            caller = Caller(self.world, front, f"caller-{self.random.randrange(10 ** 6)}")
            caller.quiet = True
            try:
                if not isinstance(await caller.open(database, failover_rig.KEY), str):
                    while not self.stopping and await self.operate(caller, service):
                        await asyncio.sleep(self.random.uniform(0, 0.3))
            except OSError:
                pass
            finally:
                caller.close()
            await asyncio.sleep(0.05)

    async def operate(self, caller, service):
        item = f"{self.random.randrange(4096):x}"
        kind = self.random.choice(["read", "read", "write", "transaction"])
        if kind != "transaction":
            text = f"READ {item}" if kind == "read" else f"WRITE {item} data"
            return await self.send(caller, service, text)
        if await self.send(caller, service, "BEGIN") != "T":
            return False
        for _ in range(self.random.randrange(1, 6)):
            verb = self.random.choice([f"READ {item}", f"WRITE {item} data"])
            state = await self.send(caller, service, verb)
            if state != "T":
                return state and (state == "I" or await self.send(caller, service, "ROLLBACK"))
            await asyncio.sleep(self.random.uniform(0, 0.6))
        return await self.send(caller, service, "COMMIT")

    async def send(self, caller, service, text):
        identity = f"{ID_PREFIX}{self.random.randrange(16 ** 14):014x}"
        request = Request(identity, text, caller.front, self.record.now())
        self.requests[identity] = request
        self.sent += 1
        lines = await caller.query(text, identity)
        request.took = self.record.now() - request.sent_at
        if isinstance(lines, str) or len(lines) < 2:
            request.ended = lines if isinstance(lines, str) else f"cut after {lines}"
            self.record(caller.front.name, f"{request.ended} after {request.took:.3f} s, "
                                           f"{identity} [{text}]")
            return None
        request.ended = lines[-2].partition(" ")[0]
        if request.ended == "ERROR":
            code = lines[-2].split(" ")[1]
            self.refusals[code] = self.refusals.get(code, 0) + 1
        if request.ended == "COMPLETE" and identity in self.world.commits:
            self.acknowledge(identity, service, caller.front)
        return lines[-1].split(" ")[1]

    # Planned work.

    async def stop(self, front):
        process = front.process
        if not front.running() or process in self.stopped_at:
            return
        if not await front_signals.has_begun(process.pid):
            return
        self.stops += 1
        self.stopped_at[process] = began = self.record.now()
        front_signals.send(front, signal.SIGTERM)
        try:
            code = await asyncio.wait_for(asyncio.shield(process.wait()), GRACE_S)
            if code != 0:
                self.broken.append(f"Fault: {front.name} ended with {code} after SIGTERM")
        except asyncio.TimeoutError:
            self.killed += 1
            self.record(front.name, "is killed after its grace")
            if process.returncode is None:
                process.kill()
        self.longest_stop = max(self.longest_stop, self.record.now() - began)

    async def roll(self):
        """Stops hosts in turn, `wave` at a time, `gap` seconds apart."""
        stops = []
        while self.record.now() - self.began < self.seconds:
            order = self.random.sample(self.world.fronts, len(self.world.fronts))
            while order and self.record.now() - self.began < self.seconds:
                wave, order = order[:self.options.wave], order[self.options.wave:]
                stops += [asyncio.ensure_future(self.stop(front)) for front in wave]
                await asyncio.sleep(self.options.gap * self.random.uniform(0.5, 1.5))
        await asyncio.gather(*stops)

    async def called_to_the_end(self):
        await self.stop_called(late=False)

    async def late_at_the_end(self):
        await self.stop_called(late=True)

    async def stop_called(self, late):
        """Stops a host that callers connect to all the while; late: it gets no time for some tenths
        of a second before the end of its grace."""
        while self.record.now() - self.began < self.seconds:
            self.target = self.random.choice(self.world.fronts)
            process = self.target.process
            stop = asyncio.ensure_future(self.stop(self.target))
            await asyncio.sleep(self.random.uniform(5.0, 5.3))
            if late and process.returncode is None:
                front_signals.send(self.target, signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.3, 0.5))
                front_signals.send(self.target, signal.SIGCONT)
            await stop
            await asyncio.sleep(1)

    async def reload(self):
        while True:
            await asyncio.sleep(self.random.uniform(0, 0.5))
            front = self.random.choice(self.world.fronts)
            if front.running() and await front_signals.has_begun(front.process.pid):
                self.reloads += 1
                front_signals.send(front, signal.SIGHUP)

    async def configure(self):
        while True:
            await asyncio.sleep(self.random.uniform(1, 6))
            self.versions += 1
            self.world.version += self.random.randrange(1, 5)
            self.world.store.put("config", "main", self.world.configuration())

    async def keep_running(self, front):
        while not self.stopping:
            code = await front.process.wait()
            if front.process not in self.stopped_at and not self.stopping:
                self.broken.append(f"Fault: {front.name} ended by itself with {code}")
            await asyncio.sleep(failover_rig.RESTART_AFTER_S)
            if not self.stopping:
                self.starts += 1
                await front.start()
                self.share_cores(front)

    def share_cores(self, front):
        """The hosts share these cores, so that each gets little time."""
        if self.options.cores:
            os.sched_setaffinity(front.process.pid, set(range(self.options.cores)))

    # Instances.

    def vary_work(self):
        """Most statements take milliseconds, some most of their time."""
        rig, run = self, replicated_group.Instance.run

        async def slow_run(instance, session, identity, text):
            if identity.startswith(ID_PREFIX) and rig.random.random() < rig.options.slow:
                rig.world.passed_on.add(identity)
                await asyncio.sleep(rig.random.uniform(0.05, 0.9))
            return await run(instance, session, identity, text)

        replicated_group.Instance.run = slow_run

    # The checks.

    def is_lost(self, request):
        """Passed on, or unanswered for longer than LostMs, by a process that wasn't killed."""
        passed_on = request.identity in self.world.passed_on
        late = request.took > LOST_AFTER_S + self.world.lateness
        if request.ended in ("COMPLETE", "ERROR", None) or not passed_on and not late:
            return False
        stopped_at = self.stopped_at.get(request.process)
        early = stopped_at is not None and request.sent_at <= stopped_at + EARLY_S
        ended_at = request.sent_at + request.took
        at_work = passed_on and early and ended_at > stopped_at + GRACE_S * 5 / 6
        return not at_work

    def check(self):
        ends = {}
        for request in self.requests.values():
            ends[request.ended] = ends.get(request.ended, 0) + 1
            if not self.is_lost(request):
                continue
            stopped_at = self.stopped_at.get(request.process)
            since = (f"{request.sent_at - stopped_at:.3f} s after SIGTERM" if stopped_at
                     else "without a SIGTERM")
            passed_on = request.identity in self.world.passed_on
            self.unanswered.append(
                f"LOST: {request.identity} [{request.text}] of {request.front.name}, sent "
                f"{since}, {request.ended} after {request.took:.3f} s, "
                f"{'passed on' if passed_on else 'not passed on'}")
        self.broken += self.unanswered
        self.ends = ends

    async def play(self):
        self.vary_work()
        tasks = []
        try:
            await self.world.start()
            await self.world.wait_ready(failover_rig.START_LIMIT_S)
            for front in self.world.fronts:
                self.share_cores(front)
            await self.start_busy()
            self.world.lateness, self.began = 0.0, self.record.now()
            services = self.world.services
            tasks += [asyncio.ensure_future(self.keep_running(f)) for f in self.world.fronts]
            tasks += [asyncio.ensure_future(self.entry.run())]
            tasks += [asyncio.ensure_future(self.call(services[number % len(services)]))
                      for number in range(self.options.callers)]
            await asyncio.sleep(2)
            tasks += [asyncio.ensure_future(self.reload()), asyncio.ensure_future(self.configure())]
            for task in tasks:
                task.add_done_callback(self.note_failure)
            await SEQUENCES[self.sequence](self)
            await asyncio.sleep(1)
        finally:
            self.stopping = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for process in self.busy:
                process.kill()
            await self.world.stop()
            replicated_group.Instance.run = self.instance_run
        self.check()
        if not any(self.acknowledged.values()):
            self.broken.append("nothing was acknowledged")
        self.broken += self.losses
        self.record("verdict", self.summary())
        return self.broken

    def summary(self):
        promotions = sum(len(group.promotions) for group in self.world.groups)
        ends = ", ".join(f"{end} {count}" for end, count in sorted(
            self.ends.items(), key=lambda item: str(item[0])))
        refusals = ", ".join(f"{code} {count}" for code, count in sorted(self.refusals.items()))
        return (f"{self.sequence}, {len(self.world.fronts)} hosts, {self.sent} requests "
                f"({ends}; errors {refusals}), "
                f"{self.stops} stops (the longest {self.longest_stop:.2f} s, {self.killed} killed "
                f"after the grace), {self.reloads} reloads, {self.versions} configurations, "
                f"{promotions} promotions, {len(self.unanswered)} requests lost, "
                f"{len(self.lost)} commits lost, the rig at most "
                f"{self.world.lateness * 1000:.0f} ms late")


SEQUENCES = {"roll": PlannedStops.roll, "called-to-the-end": PlannedStops.called_to_the_end,
             "late-at-the-end": PlannedStops.late_at_the_end}


def main():
    parser = seeded_runs.parser(__doc__)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--fronts", type=int, default=9)
    parser.add_argument("--groups", type=int, default=2)
    parser.add_argument("--callers", type=int, default=90)
    parser.add_argument("--cores", type=int, default=0)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--wave", type=int, default=2)
    parser.add_argument("--gap", type=float, default=1.2)
    parser.add_argument("--slow", type=float, default=0.05)
    # The share of callers that connect to any host, also to one that is stopping.
    parser.add_argument("--direct", type=float, default=0.3)
    parser.add_argument("--sequence", nargs="+", default=["roll"], choices=SEQUENCES)
    parser.add_argument("--proxied", nargs="*", default=[], choices=proxied_paths.ALL)
    options = parser.parse_args()
    options.program = os.path.abspath(options.program)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    # The hosts are ended as well if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    seeded_runs.play_all(options, lambda seed: PlannedStops(seed, options))


if __name__ == "__main__":
    main()
