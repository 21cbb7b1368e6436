"""Groups of instances that replicate a log, crash, return, leave and lag.

They differ from the stand-ins of review/standins in what decides whether a write is lost: a
promotion doesn't hand the successor's log to the replicas at once. One that is ahead is cut back,
one that is behind stays behind until it has received the rest.
"""
import asyncio
import time

import world as standins

BUSY_AFTER_ROLLBACK_S = 0.2
FOLLOW_AFTER_S = 1.0
REPLICATE_S = 0.002
EXPIRY_S = 3 * standins.HEARTBEAT_S
DARK_CONNECTION_S = 3.0


class Instance(standins.Instance):
    """An instance; its log holds (term, number), and an entry's number is its index plus one."""

    def __init__(self, group, number, log=None, place=None):
        super().__init__(group.world, group.service, number)
        self.group, self.number = group, number
        self.address, self.port = place or (self.address, self.port)
        self.log = list(log or self.log)
        self.waiting = {}
        self.deaf_until = 0.0
        self.busy_until = 0.0
        self.reaches_new_since = None
        # Cut from the other instances, and from the store.
        self.apart = self.offline = False
        self.crashed_at = None
        # Called before the answer to a commit that has written is sent.
        self.on_commit_answered = None
        self.born = int(time.time() * 1000)

    def entry(self):
        return super().entry() | {"born": self.born}

    async def start(self):
        self.world.paths.cover(self)
        await super().start()

    def report(self, silent=False):
        """Writes the entry; it is an event unless only Seq has changed."""
        self.sequence += 1
        if self.offline or not self.server or not self.world.store.serves():
            return
        spec = self.entry()
        stored = self.world.store.objects.get(("servers", self.id))
        same = stored is not None and stored["spec"] | {"Seq": 0} == spec | {"Seq": 0}
        self.world.store.put("servers", self.id, spec, silent=same)
        self.world.heard_at[self.id] = time.monotonic()

    def crash(self):
        self.world.record(self.id, f"crashes as {self.role} at {self.position()}")
        super().crash()
        self.crashed_at = time.monotonic()
        self.fail_waiting()

    def fail_waiting(self):
        """Sessions that wait for a commit are closed: nobody knows what becomes of it."""
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError())
        self.waiting = {}

    def has(self, entry):
        return len(self.log) >= entry[1] and self.log[entry[1] - 1] == entry

    def linked(self, other):
        return bool(self.server and other.server and not self.apart and not other.apart)

    async def commit(self, identity):
        """Appends to the log; acknowledged once one replica has received it."""
        if self.role != "primary" or not self.server:
            raise ConnectionResetError
        entry = (self.term, len(self.log) + 1)
        self.log.append(entry)
        self.world.commits[identity] = (self.service, entry)
        self.world.committed_at[identity] = self
        future = self.waiting[entry] = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(REPLICATE_S, self.group.replicate, self)
        await future
        await self.reached.wait()
        if self.on_commit_answered:
            self.on_commit_answered(self)

    async def run(self, session, identity, text):
        self.world.passed_on.add(identity)
        verb, _, rest = text.partition(" ")
        if time.monotonic() < self.busy_until and verb not in ("RESUME", "DEMOTE"):
            return [], f"ERROR BUSY {self.id}"
        if verb == "AFTER":
            wanted = tuple(int(part) for part in rest.partition(" ")[0].split("."))
            if wanted[1] > 0 and wanted > self.log[-1]:
                return [], f"ERROR LAGGING {self.id}"
        result = await super().run(session, identity, text)
        await self.reached.wait()
        return result

    def command(self, verb, rest):
        was = self.role
        super().command(verb, rest)
        if was == "primary" and self.role == "replica":
            self.fail_waiting()

    def lead(self, term):
        self.fail_waiting()
        super().lead(term)

    def follow(self, primary):
        """Takes the primary's term and drops what the primary's log doesn't have."""
        if self.role == "primary":
            self.role = "replica"
            self.fail_waiting()
            self.report()
        self.term = primary.term
        common = min(len(self.log), len(primary.log))
        while self.log[common - 1] != primary.log[common - 1]:
            common -= 1
        if common < len(self.log):
            self.world.record(self.id, f"is cut back from {self.position()} to {common}")
            del self.log[common:]
            self.busy_until = time.monotonic() + BUSY_AFTER_ROLLBACK_S

    def receives(self, primary):
        return (self.role == "replica" and not self.paused_by and self.linked(primary)
                and self.term <= primary.term and time.monotonic() >= self.deaf_until)

    async def dark(self, seconds):
        """Cut from all hosts; they drop connections to a dark end, and so does the instance."""
        self.world.record(self.id, f"is dark to hosts for {seconds:.1f} s, {self.role}")
        self.reached.clear()
        if seconds > DARK_CONNECTION_S:
            await asyncio.sleep(DARK_CONNECTION_S)
            for writer in list(self.connections):
                writer.transport.abort()
            seconds -= DARK_CONNECTION_S
        await asyncio.sleep(seconds)
        self.reached.set()
        self.world.record(self.id, "is reached again")


class Group:
    """The instances of a service, the newest term and who leads it."""

    def __init__(self, world, service):
        self.world, self.service = world, service
        self.members = [Instance(self, number) for number in range(3)]
        self.leader = self.members[0]
        self.term = 1
        self.promotions = []
        self.next_number = 3
        self.leaving = set()

    def replicas(self):
        return [i for i in self.members if i.server and i.role == "replica"]

    def replicate(self, primary):
        """Each replica that receives takes the rest of the log; commits are acknowledged."""
        if not primary.server or primary.role != "primary":
            return
        for replica in self.replicas():
            if not replica.receives(primary):
                continue
            behind = len(replica.log) < len(primary.log)
            if replica.term != primary.term or not primary.has(replica.log[-1]):
                replica.follow(primary)
            if behind:
                replica.log.extend(primary.log[len(replica.log):])
        for entry, future in list(primary.waiting.items()):
            if any(r.has(entry) and r.term == primary.term and r.linked(primary)
                   for r in self.replicas()):
                del primary.waiting[entry]
                if not future.done():
                    future.set_result(None)

    def tick(self):
        now = time.monotonic()
        for instance in self.members:
            if instance.role != "primary" or not instance.server:
                continue
            if instance.term >= self.term or not instance.linked(self.leader):
                instance.reaches_new_since = None
            elif instance.reaches_new_since is None:
                instance.reaches_new_since = now
            elif now - instance.reaches_new_since > FOLLOW_AFTER_S:
                self.world.record(instance.id, f"follows {self.leader.id}")
                instance.follow(self.leader)
            self.replicate(instance)

    def promote(self, chosen):
        """Takes effect: `chosen` leads the next term with what it had received."""
        if not chosen.server or chosen is self.leader and chosen.role == "primary":
            return False
        self.term += 1
        self.leader = chosen
        chosen.lead(self.term)
        for other in self.members:
            other.paused_by = 0
            if other.role == "replica" and other.linked(chosen):
                other.follow(chosen)
        return True

    # Instances come and go.

    async def add(self, instance):
        self.members.append(instance)
        self.world.instances.append(instance)
        await instance.start()
        self.world.record(instance.id, f"starts as {instance.role} at {instance.position()}")

    def forget(self, instance):
        for known in (self.members, self.world.instances):
            if instance in known:
                known.remove(instance)

    async def crash_and_return(self, instance, seconds):
        """It returns at its address under a new id, with its log."""
        if not instance.server or instance in self.leaving:
            return
        instance.crash()
        await asyncio.sleep(seconds)
        self.forget(instance)
        new = Instance(self, instance.number, instance.log, (instance.address, instance.port))
        new.term = instance.term
        leads = self.leader is instance and instance.role == "primary"
        new.role = "primary" if leads else "replica"
        if leads:
            self.leader = new
        await self.add(new)

    async def start_again(self, instance, seconds, deaf_s):
        """It starts under its id at its address and knows nothing; it receives nothing at first."""
        instance.crash()
        await asyncio.sleep(seconds)
        self.forget(instance)
        new = Instance(self, instance.number, None, (instance.address, instance.port))
        new.id, new.role = instance.id, "replica"
        new.deaf_until = time.monotonic() + deaf_s
        await self.add(new)

    async def leave(self, instance, extra_s=0.3):
        """A replacement joins first; the leaver counts until it is gone, its entry with it."""
        if not instance.server or instance in self.leaving:
            return
        self.leaving.add(instance)
        number, self.next_number = self.next_number, self.next_number + 1
        address = self.world.next_address()
        port = standins.free_port(address)
        new = Instance(self, number, self.leader.log, (address, port))
        new.role, new.term, new.zone = "replica", self.leader.term, instance.zone
        await self.add(new)
        instance.state = "draining"
        instance.report()
        self.world.record(instance.id, f"is leaving as {instance.role}, {new.id} replaces it")
        while not self.is_said_to_leave(instance):
            await asyncio.sleep(0.05)
        await asyncio.sleep(standins.BOUNDS["DrainMs"] / 1000 + extra_s)
        instance.crash()
        self.forget(instance)
        self.leaving.discard(instance)
        if self.world.store.serves():
            self.world.store.delete("servers", instance.id)
            self.world.heard_at.pop(instance.id, None)
        self.world.record(instance.id, "is gone")

    def is_said_to_leave(self, instance):
        """Whether the store has accepted the report; the drain begins then."""
        stored = self.world.store.objects.get(("servers", instance.id))
        return stored is not None and stored["spec"]["State"] == "draining"

    def pick(self, rng, replica=False):
        found = [i for i in self.members if i.server and i not in self.leaving
                 and (not replica or i.role == "replica")]
        return rng.choice(found) if found else None
