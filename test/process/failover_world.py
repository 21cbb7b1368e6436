"""The deployment of the failover rig: groups and a platform that can fail, and relays."""
import asyncio
import time

import failing_platform
import proxied_paths
import replicated_group
import world as standins

TICK_S = 0.02
LATE_S = 0.2


class World(standins.World):
    """`proxied` names the paths that have relays."""

    def __init__(self, record, rng, fronts, groups, proxied):
        super().__init__(record, fronts=fronts, services=groups)
        self.cloud.socket.close()
        self.store = failing_platform.Store(record, rng)
        self.cloud = failing_platform.Cloud(self, rng)
        self.paths = proxied_paths.Paths(self, proxied, rng)
        self.fronts = [proxied_paths.Front(self, number) for number in range(fronts)]
        self.heard_at = {}
        self.committed_at = {}
        # The ids of the statements that an instance has received.
        self.passed_on = set()
        self.promoted = None
        self.used_addresses = 100 + fronts
        self.groups = [replicated_group.Group(self, service) for service in self.services]
        self.instances = [i for group in self.groups for i in group.members]
        self.lateness = 0.0
        self.store_server = None

    def next_address(self):
        self.used_addresses += 1
        return self.address(self.used_addresses % 250)

    def instance(self, identity):
        return next((i for i in self.instances if i.id == identity), None)

    async def start(self):
        self.store_server = await asyncio.start_server(
            self.store.serve, self.store_address, self.store_port, limit=1 << 22)
        await self.cloud.start()
        self.paths.open()
        self.store.put("config", "main", self.configuration())
        for instance in self.instances:
            await instance.start()
        self.tasks += [asyncio.ensure_future(self.heartbeats()), asyncio.ensure_future(self.tick())]
        for front in self.fronts:
            await front.start()

    async def stop(self):
        await super().stop()
        self.paths.close()

    async def heartbeats(self):
        while True:
            await asyncio.sleep(standins.HEARTBEAT_S)
            for instance in list(self.instances):
                instance.report()

    async def tick(self):
        """Replicates what was missed and removes entries; measures how late this loop is."""
        expected = time.monotonic() + TICK_S
        while True:
            await asyncio.sleep(max(0.0, expected - time.monotonic()))
            now = time.monotonic()
            self.lateness = max(self.lateness, now - expected)
            if now - expected > LATE_S:
                self.record("rig", f"is {now - expected:.3f} s late")
            expected = now + TICK_S
            for group in self.groups:
                group.tick()
            self.expire(now)

    def expire(self, now):
        if not self.store.serves() and not self.store.expires:
            return
        for identity, heard_at in list(self.heard_at.items()):
            if now - heard_at > replicated_group.EXPIRY_S:
                self.record("store", f"the entry of {identity} expires")
                self.store.delete("servers", identity)
                del self.heard_at[identity]
