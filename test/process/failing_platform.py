"""The platform of the failover rig: a store that fails in several ways, and late promotions."""
import asyncio
import bisect
import json
import time

import promotion_order
import world as standins

WRITES = ("POST", "PUT", "DELETE")


class Store(standins.Store):
    """mode: ok, silent, reset, slow or lossy (answers are lost after the write)."""

    def __init__(self, record, rng):
        super().__init__(record)
        self.random = rng
        self.mode = "ok"
        self.mode_ended = asyncio.Event()
        self.kinds = {}
        self.expires = True
        self.writers = set()

    def serves(self):
        return self.mode not in ("silent", "reset")

    def fail(self, mode):
        self.record("store", f"is {mode}")
        self.mode = mode
        self.mode_ended.set()
        self.mode_ended = asyncio.Event()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    def _log(self, kind):
        return self.kinds.setdefault(kind, ([], [], [asyncio.Event()]))

    def _notify(self, kind, name, deleted):
        revisions, events, changed = self._log(kind)
        revisions.append(self.revision)
        events.append({"Object": dict(self.objects[(kind, name)]), "Deleted": deleted})
        changed[0].set()
        changed[0] = asyncio.Event()

    async def _list(self, kind, options):
        if "Watch" not in options:
            return await super()._list(kind, options)
        revisions, events, changed = self._log(kind)
        deadline = time.monotonic() + int(options.get("WaitMs", "0")) / 1000
        while True:
            first = bisect.bisect_right(revisions, int(options["Watch"]))
            left = deadline - time.monotonic()
            if first < len(events) or left <= 0:
                return 200, {"events": events[first:], "AsOf": self.revision}
            try:
                await asyncio.wait_for(changed[0].wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, body):
        if self.mode == "silent":
            await self._withhold(method, path, body)
        if self.mode == "reset":
            raise ConnectionResetError
        if self.mode == "slow":
            await asyncio.sleep(0.2 + self.random.random())
        answer = await self._execute(method, path, body)
        if self.mode == "silent":
            await self.mode_ended.wait()
            raise ConnectionResetError
        if self.mode == "reset" or self.mode == "lossy" and self.random.random() < 0.3:
            raise ConnectionResetError
        return answer

    async def _withhold(self, method, path, body):
        """The write may be executed once the silence ends; it is never answered."""
        executes = method in WRITES and self.random.random() < 0.5
        await self.mode_ended.wait()
        if executes and self.mode == "ok":
            await asyncio.sleep(self.random.random())
            await self._execute(method, path, body)
        raise ConnectionResetError

    async def _execute(self, method, path, body):
        parts = path.partition("?")[0].strip("/").split("/")
        if method == "DELETE" and len(parts) == 3:
            if (parts[1], parts[2]) not in self.objects:
                return 404, {}
            self.delete(parts[1], parts[2])
            return 200, {}
        return await super().handle(method, path, body)

    async def serve(self, reader, writer):
        async def handle(method, path, _, body):
            return await self.handle(method, path, body)

        if self.mode == "reset":
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await standins.serve_http(reader, writer, handle)
        finally:
            self.writers.discard(writer)


class Cloud(standins.Cloud):
    """The promotion call: a plan is (answered after, effect after); None means never.

    With `hold_s` set, the next call and all further ones for the same instance aren't answered;
    the first takes effect after that time.
    """

    def __init__(self, world, rng):
        super().__init__(world)
        self.random = rng
        self.hold_s = None
        self.held = set()
        self.uneven = False
        self.effects = []
        self.order = promotion_order.PromotionOrder()

    async def serve(self, reader, writer):
        sender = writer.get_extra_info("peername")

        async def handle(method, path, headers, body):
            self.note(sender, headers, body)
            return await self.handle(method, path, headers, body)

        await standins.serve_http(reader, writer, handle)

    def note(self, sender, headers, body):
        now = self.world.record.now()
        sent, closed = self.world.paths.sender_of(sender, (self.address, self.port))
        self.order.note(body["Service"], promotion_order.Call(
            headers.get("x-lease-holder"), int(headers["x-fencing-token"]), body["Id"],
            now if sent is None else sent, now, closed))

    def plan(self, identity):
        if identity in self.held:
            return None, None
        if self.hold_s is not None:
            effect, self.hold_s = self.hold_s, None
            self.held.add(identity)
            return None, effect
        if not self.uneven:
            return 0.02, 0.3
        effect = self.random.choice([0.3, 0.3, self.random.uniform(0.3, 6)])
        return self.random.choice([0.02, self.random.uniform(0.1, 3), None]), effect

    async def handle(self, method, path, headers, body):
        holder = headers.get("x-lease-holder")
        chosen = next((i for i in self.world.instances if i.id == body["Id"]), None)
        called_at = self.world.record.now()
        self.calls.append((called_at, holder, body["Id"]))
        if chosen is None or not chosen.server:
            self.world.record("cloud", f"409 to {json.dumps(body)} of {holder}")
            return 409, {}
        answer, effect = self.plan(body["Id"])
        self.world.record("cloud", f"{json.dumps(body)} of {holder}, answer after {answer}, "
                                   f"effect after {effect}")
        if effect is not None:
            # Kept: a task that nobody refers to may be collected.
            self.effects.append(asyncio.ensure_future(
                self.take_effect(chosen, holder, called_at, effect)))
        if answer is None:
            await asyncio.sleep(30)
            raise ConnectionResetError
        await asyncio.sleep(answer)
        return 200, {}

    async def take_effect(self, chosen, holder, called_at, delay):
        await asyncio.sleep(delay)
        self.held.discard(chosen.id)
        if not chosen.group.promote(chosen):
            return
        self.world.record("cloud", f"{chosen.id} leads term {chosen.term} with "
                                   f"{chosen.position()}")
        self.world.promoted(chosen, holder, called_at)
