"""The relays of the failover rig: each front host reaches the rest of the deployment by its own.

Loopback tells no senders apart, so a front host has a block of addresses for itself: what is at
127.A.B.N in the deployment is at 127.C.D.N for that host, behind a relay. Its own address is in
that block, too. What the store and other hosts say to it, and it to them, is translated.
"""
import collections
import itertools
import random

import loopback_proxy
import world as standins

ALL = ["promotions", "store", "instances", "hosts"]
# The store says where instances and hosts are, so they have relays together.
LISTED = {"instances", "hosts"}
COUNTED = ["held", "delivered", "delivered after the close", "dropped after the reset"]


class Paths:
    """The relays by kind of path and front host."""

    def __init__(self, world, proxied, rng):
        self.world, self.random = world, rng
        self.record = world.record
        self.proxied = set(proxied)
        if self.proxied & LISTED:
            self.proxied |= LISTED | {"store"}
        self.counts = collections.Counter()
        self.senders = {}
        self.relays = {kind: {} for kind in ALL}
        self.blocks = self.blocks_like(world.block)

    def blocks_like(self, block):
        """Blocks whose text is as long, so that the translated text is."""
        own = block.split(".", 1)[1]
        pairs = (f"{a}.{b}" for a, b in itertools.product(range(1, 255), repeat=2))
        found = [pair for pair in pairs if len(pair) == len(own) and pair != own]
        # Not by the seed: runs of one seed beside each other would listen at the same addresses.
        return ["127." + pair for pair in random.SystemRandom().sample(found, 60)]

    def block_of(self, front):
        return self.blocks[front.number] if self.proxied & LISTED else self.world.block

    def seen_by(self, front, address):
        return address.replace(self.world.block + ".", self.blocks[front.number] + ".", 1)

    def open(self):
        world = self.world
        for front in world.fronts:
            self.relay("promotions", front, (world.cloud.address, world.cloud.port))
            self.relay("store", front, (world.store_address, world.store_port))
            for other in world.fronts:
                if other is not front:
                    own = self.seen_by(other, other.address)
                    self.relay("hosts", front, (other.address, world.peer_port),
                               (own, world.peer_port))

    def cover(self, instance):
        """An instance that starts again at an address is found by the same relays."""
        for front in self.world.fronts:
            self.relay("instances", front, (instance.address, instance.port))

    def relay(self, kind, front, place, target=None):
        if kind not in self.proxied:
            return
        own = self.relays[kind].setdefault(front, {})
        if place in own:
            return
        seen = (self.seen_by(front, place[0]), place[1])
        name = f"{front.name} to {kind}" + (f" {place[0]}" if kind in LISTED else "")
        replaced = ((b"", b""), (b"", b""))
        if self.proxied & LISTED and kind in ("store", "hosts"):
            replaced = self.translations(front, target or place)
        own[place] = loopback_proxy.Relay(self, name, seen, target or place, replaced)

    def translations(self, front, target):
        """What the target's block and the front's are to each other."""
        here = f"{self.blocks[front.number]}.".encode()
        there = target[0].rpartition(".")[0].encode() + b"."
        return (here, there), (there, here)

    def sender_of(self, address, target):
        """When the sender of what the target gets began to send, and when it closed."""
        connection = self.senders.get((address, target))
        if connection is None:
            return None, None
        way = connection.ways[loopback_proxy.TO_TARGET]
        return way.began_at, way.closed_at

    def of(self, kind):
        return [relay for own in self.relays[kind].values() for relay in own.values()]

    def close(self):
        for relay in sum((self.of(kind) for kind in ALL), []):
            relay.close()

    def summary(self):
        return ", ".join(f"{self.counts[what]} {what}" for what in COUNTED)


class Front(standins.Front):
    """A front host whose settings name the addresses of its relays."""

    def __init__(self, world, number):
        super().__init__(world, number)
        self.number = number

    def fields(self):
        fields, paths = super().fields(), self.world.paths
        for name, kind in (("Cloud", "promotions"), ("platform", "store")):
            if kind in paths.proxied:
                fields[name]["Address"] = paths.seen_by(self, fields[name]["Address"])
        if "hosts" in paths.proxied:
            fields["Ip"] = paths.seen_by(self, fields["Ip"])
            fields["Seeds"] = [paths.seen_by(self, seed) for seed in fields["Seeds"]]
        return fields
