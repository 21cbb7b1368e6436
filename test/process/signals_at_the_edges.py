#!/usr/bin/env python3
"""Signals that reach a process while it starts, and while it ends after its loop.

Each of the processes gets SIGHUP and SIGTERM in an order and at times that the seed gives, from the
moment at which its own code has begun. It must end with 0, and only once it was told to stop.

Usage: signals_at_the_edges.py [--seed N] [--runs N] [--program FILE]
"""
import asyncio
import functools
import json
import os
import random
import signal
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
sys.dont_write_bytecode = True
import front_signals  # noqa: E402
import seeded_runs  # noqa: E402
import world as standins  # noqa: E402

FRONTS = 10
SERVES = 4
END_LIMIT_S = 30
HUP, TERM, INT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT


class Edges:
    """One run of a seed."""

    def __init__(self, seed, program):
        self.random = random.Random(seed)
        self.program = program
        self.folder = tempfile.mkdtemp(prefix="bronzeplank-edges-")
        self.record = standins.Record(os.path.join(self.folder, "record.txt"))
        self.world = standins.World(self.record, fronts=FRONTS)
        os.rmdir(self.world.folder)
        self.world.folder = self.folder
        self.world.deploy["roles"]["front"]["run"] = f"{program} front"
        self.broken = []
        self.trials = []

    def check(self, holds, what):
        if not holds:
            self.broken.append(what)

    async def signal_edges(self, name, process, orders):
        handle = os.pidfd_open(process.pid)

        def send(number):
            try:
                signal.pidfd_send_signal(handle, number)
            except ProcessLookupError:
                pass

        try:
            await self.send_order(name, process, send, self.random.choice(orders))
        finally:
            os.close(handle)

    async def send_order(self, name, process, send, order):
        delay_s = self.random.choice([0, self.random.random() * 0.02])
        text = " ".join(signal.Signals(number).name for number in order) + f" after {delay_s:.4f} s"
        if not await front_signals.has_begun(process.pid):
            self.check(False, f"{name}: has not begun")
            return
        await asyncio.sleep(delay_s)
        for number in order:
            send(number)
        stops = any(number != HUP for number in order)
        if not stops:
            await asyncio.sleep(0.5)
            self.check(process.returncode is None,
                       f"{name}: {text}: ended with {process.returncode} untold")
            if process.returncode is not None:
                return
            send(TERM)
        deadline = self.record.now() + END_LIMIT_S
        # A reload may be asked for up to the last moment.
        while process.returncode is None and self.record.now() < deadline:
            if HUP in order:
                send(HUP)
            await asyncio.sleep(0.0005)
        self.check(process.returncode == 0, f"{name}: {text}: ended with {process.returncode}")

    async def start_front(self, front):
        await standins.Front.start(front)
        orders = [[HUP], [HUP, HUP], [HUP, TERM], [TERM, HUP], [TERM]]
        self.trials.append(asyncio.ensure_future(
            self.signal_edges(front.name, front.process, orders)))

    async def start_serve(self, number):
        address = self.world.address(80 + number)
        ports = [standins.free_port(address) for _ in range(3)]
        settings = os.path.join(self.folder, f"serve-{number}.jsonc")
        with open(settings, "w", encoding="utf-8") as file:
            json.dump({"host": f"serve-{number}", "failure_domain": "a",
                       "callers": f"{address}:{ports[0]}", "operators": f"{address}:{ports[1]}",
                       "peers": f"{address}:{ports[2]}",
                       "platform": f"{self.world.store_address}:{self.world.store_port}",
                       "known_peers": [], "session_secret": "a-secret-for-tests-only",
                       "limits": {"balancer_time_ms": 300}}, file)
        with open(settings + ".log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, self.program), "serve", "--settings", settings,
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        orders = [[TERM], [INT], [TERM, INT]]
        try:
            await self.signal_edges(f"serve-{number}", process, orders)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def play(self):
        for front in self.world.fronts:
            front.start = functools.partial(self.start_front, front)
        try:
            await self.world.start()
            for number in range(SERVES):
                self.trials.append(asyncio.ensure_future(self.start_serve(number)))
            await asyncio.gather(*self.trials)
        finally:
            await self.world.stop()
        return self.broken

    @staticmethod
    def summary():
        return f"{FRONTS + SERVES} processes"


def main():
    options = seeded_runs.parser(__doc__).parse_args()
    seeded_runs.play_all(options, lambda seed: Edges(seed, options.program))


if __name__ == "__main__":
    main()
