"""A small deployment on loopback: the platform's store, its promotion call, instances and hosts.

The store, the promotion call and the instances are stand-ins that follow the users' PROTOCOL.md.
The hosts are the project's own program, started with the command, the template and the environment
of the deploy file.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "StabilityWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4,
          "DrainMs": 7000, "GraceS": 6, "LostMs": 200, "ConfigApplyMs": 3000,
          "RollbackSlackMs": 250, "MaxSkewMs": 12000, "RevokeStrict": False, "RevokeMs": 5000,
          "QuotaWindowS": 5, "QuotaOverage": 0.1, "QuotaSlack": 20, "ColdOverage": 1.5,
          "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "Fencing": False, "ThawMs": 300}
HEARTBEAT_S = 1.2
REPLICATE_S = 0.008
PROMOTE_S = (0.28, 0.32)
LINK_S = 0.0014
STORE_S = 0.004
STATUS_S = (0.0005, 0.003)
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8465, 8460, 8462, 7560


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, text):
        self.file.write(f"{self.now():9.3f} {who}: {text}\n")

    def close(self):
        self.file.close()


async def serve_http(reader, writer, handle):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, path, _ = lines[0].split(" ")
            headers = {k.strip().lower(): v.strip()
                       for k, _, v in (line.partition(":") for line in lines[1:] if line)}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            status, answer = await handle(method, path, headers, json.loads(body) if body else None)
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
        pass
    finally:
        writer.transport.abort()


class Store:
    """The platform's metadata store, with all of its history."""

    def __init__(self, world):
        self.world = world
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, silent=False):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        if not silent or not old:
            self.revision += 1
        meta = {"Name": name, "Revision": self.revision if not silent or not old
                else old["meta"]["Revision"],
                "CreatedRev": old["meta"]["CreatedRev"] if old else self.revision,
                "Finalizers": [], "Deleting": False}
        stored = {"meta": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = stored
        if not silent or not old:
            self.note(kind, stored, False)
        return stored

    def delete(self, kind, name):
        old = self.objects.pop((kind, name), None)
        if old:
            self.revision += 1
            self.note(kind, old, True)

    def note(self, kind, stored, deleted):
        self.events.append((self.revision, kind, {"Object": stored, "Deleted": deleted}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, method, path, _headers, body):
        await asyncio.sleep(STORE_S)
        path, _, query = path.partition("?")
        options = dict(part.split("=") for part in query.split("&") if part)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) == 3 else None
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "Watch" in options:
            return await self.watch(kind, int(options["Watch"]), int(options.get("WaitMs", 0)))
        if method == "GET":
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "More": False, "AsOf": self.revision}
        if method not in ("POST", "PUT"):
            return 404, {}
        name = name or body["meta"]["Name"]
        old = self.objects.get((kind, name))
        if method == "POST" and old:
            return 409, old
        if method == "PUT" and not old:
            return 404, {}
        wanted = (body.get("meta") or {}).get("Revision")
        if method == "PUT" and wanted and wanted != old["meta"]["Revision"]:
            return 409, old
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            found = [e for revision, k, e in self.events if k == kind and revision > after]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Instance:
    """An instance of a database; the group's members share one list of commits in its order."""

    def __init__(self, world, service, zone, role):
        self.world, self.service, self.zone, self.role = world, service, zone, role
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = world.next_address()
        self.port = 8080
        self.term, self.held = 1, 0
        self.received = (1, 1)
        self.state = "ready"
        self.sequence, self.heard_at = 0, 0.0
        self.born = int(time.time() * 1000)
        self.server = None
        # Set when replicas have received something.
        self.progress = asyncio.Event()
        self.writers = {}
        # The hosts that it is partitioned from.
        self.cut_from = set()

    @property
    def group(self):
        return [i for i in self.world.instances if i.service == self.service]

    def position(self):
        return f"{self.received[0]}.{self.received[1]}"

    def entry(self):
        return {"Service": self.service, "Address": f"{self.address}:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": self.world.slots, "State": self.state,
                "ColdLeftMs": 0, "DbRole": self.role, "Seq": self.sequence, "born": self.born}

    def report(self):
        self.sequence += 1
        if self.zone in self.world.cut:
            return
        self.heard_at = time.monotonic()
        old = self.world.store.objects.get(("servers", self.id))
        spec = self.entry()
        silent = old is not None and old["spec"] | {"Seq": 0} == spec | {"Seq": 0}
        self.world.store.put("servers", self.id, spec, silent=silent)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port,
                                                 limit=1 << 21)
        self.report()

    async def serve(self, reader, writer):
        self.writers[writer] = None
        try:
            await self.talk(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.transport.abort()

    async def talk(self, reader, writer):
        line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        word, service, who, *expected = line.split(" ")
        if word != "START" or service != self.service or (expected and expected[0] != self.id):
            writer.write(f"ERROR MISROUTED {self.id}\r\n".encode())
            return
        front = self.world.front_at(writer.get_extra_info("peername")[1])
        self.writers[writer] = front
        session = {"state": "I", "values": {}, "names": {}, "writes": [], "who": who,
                   "front": front}
        await asyncio.sleep(0.012)
        await self.reach(front)
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                return
            identity, _, text = rest.partition(" ")
            await self.reach(front)
            rows, end = await self.run(session, identity, text)
            await self.reach(front)
            out = "".join(f"ROW {row}\r\n" for row in rows)
            out += f"{end}\r\nREADY {session['state']} {self.position()}\r\n"
            writer.write(out.encode("latin-1"))

    async def reach(self, front):
        if front in self.cut_from:
            raise ConnectionResetError

    async def run(self, session, identity, text):
        if identity != "-":
            self.world.ran(self, session, identity, text)
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            wanted, _, text = rest.partition(" ")
            if tuple(int(p) for p in wanted.split(".")) > self.received:
                return [], f"ERROR LAGGING {self.id}"
            verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            await asyncio.sleep(random.uniform(*STATUS_S))
            return self.command(verb, rest)
        if session["state"] == "E" and verb != "ROLLBACK":
            return [], f"ERROR MALFORMED {self.id}"
        if verb == "RESET":
            session["values"], session["names"] = {}, {}
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["names"][name] = shape
        elif verb == "ROLLBACK":
            if session["state"] == "I":
                return [], f"ERROR MALFORMED {self.id}"
            session["state"], session["writes"] = "I", []
        elif verb == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return [], f"ERROR READONLY {self.id}"
            session["state"], session["read"] = "T", rest == "READ"
        elif verb == "COMMIT":
            return await self.commit(session, identity)
        else:
            return await self.work(session, identity, verb, rest)
        return [], "COMPLETE -"

    async def work(self, session, identity, verb, rest):
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            name = rest.partition(" ")[0]
            if name not in session["names"]:
                return [], f"ERROR UNKNOWN {self.id}"
            writes = session["names"][name].startswith("WRITE")
        if self.role != "primary" and (writes or session["state"] == "T" and not session["read"]):
            session["state"] = "E" if session["state"] == "T" else "I"
            return [], f"ERROR READONLY {self.id}"
        await asyncio.sleep(self.world.work_time(identity))
        if writes and session["state"] == "T":
            session["writes"].append(identity)
        elif writes and not await self.append(identity):
            return [], f"ERROR FAILED {self.id}"
        return ([] if writes else ["data"]), f"COMPLETE 7.{identity}"

    async def commit(self, session, identity):
        writes, session["writes"] = session["writes"], []
        state, session["state"] = session["state"], "I"
        if state == "I":
            return [], f"ERROR MALFORMED {self.id}"
        if writes and self.role != "primary":
            return [], f"ERROR READONLY {self.id}"
        await asyncio.sleep(0.004)
        if writes and not await self.append(identity):
            return [], f"ERROR FAILED {self.id}"
        return [], f"COMPLETE 7.{identity}"

    async def append(self, identity):
        """Appends a commit; acknowledged once as many replicas as the service asks for have it."""
        self.received = (self.term, self.received[1] + 1)
        mine = self.received
        self.world.committed(self, identity)
        asyncio.get_running_loop().call_later(REPLICATE_S, self.replicate)
        needed = self.world.sync_of(self.service)
        while self.role == "primary" and needed:
            if sum(other.term == self.term and other.received >= mine
                   for other in self.replicas()) >= needed:
                return True
            progress = self.progress
            try:
                await asyncio.wait_for(progress.wait(), 2 * REPLICATE_S)
            except asyncio.TimeoutError:
                self.replicate()
        return self.role == "primary"

    def replicas(self):
        return [i for i in self.group if i is not self and i.server and i.role == "replica"
                and self.world.linked(self, i)]

    def replicate(self):
        for other in self.replicas():
            if self.role == "primary" and not other.held and other.term <= self.term:
                other.term, other.received = self.term, max(other.received, self.received)
        progress, self.progress = self.progress, asyncio.Event()
        progress.set()

    def command(self, verb, rest):
        if verb == "PAUSE" and self.role == "replica" and int(rest) > self.term:
            self.held = max(self.held, int(rest))
        elif verb == "RESUME":
            self.held = 0
        elif verb == "DEMOTE" and self.role == "primary" and int(rest) > self.term:
            self.role = "replica"
            self.report()
        if verb != "STATUS":
            self.world.record(self.id, f"{verb} {rest}")
        return [f"{self.role} {self.term} {self.position()} {self.held} 0 0 0"], "COMPLETE -"

    def promote(self):
        newest = max(i.term for i in self.group) + 1
        self.term, self.role, self.held = newest, "primary", 0
        self.world.promoted(self)
        self.report()
        for other in self.group:
            if other is not self:
                other.held = 0
                asyncio.get_running_loop().call_later(0.1, other.follow, self)

    def follow(self, primary):
        if not self.world.linked(self, primary):
            asyncio.get_running_loop().call_later(0.1, self.follow, primary)
        elif primary.role == "primary" and primary.term > self.term:
            self.role, self.term, self.received = "replica", primary.term, primary.received
            self.report()


class Cloud:
    """The promotion call."""

    def __init__(self, world):
        self.world = world
        self.calls = []

    async def handle(self, _method, _path, headers, body):
        self.calls.append((self.world.record.now(), headers.get("x-lease-holder"),
                           int(headers.get("x-fencing-token", 0)), body))
        self.world.record("cloud", f"{json.dumps(body)} of {headers.get('x-lease-holder')}")
        chosen = next((i for i in self.world.instances if i.id == body["Id"]), None)
        if chosen is None or not chosen.server:
            return 409, {}
        if chosen.role != "primary":
            delay = random.uniform(*PROMOTE_S)
            asyncio.get_running_loop().call_later(delay, chosen.promote)
            self.world.requested(chosen, self.world.record.now() + delay)
        return 200, {}


class Path:
    """A path from one host to another, the store or the promotion call, with a relay in it.

    What connects to `address` is carried on to the target while `open`; a cut path resets its
    connections and refuses new ones. The hosts tell each other their addresses, also through the
    store; the path replaces them by those of paths. `there` and `back` hold pairs of texts of one
    length: the second stands for the first.
    """

    def __init__(self, world, address, target):
        self.world, self.address, self.target = world, address, target
        self.there, self.back = [], []
        self.open = True
        self.writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.world.servers.append(await asyncio.start_server(self.serve, host, int(port)))

    def cut(self, is_cut):
        self.open = not is_cut
        for writer in list(self.writers) if is_cut else []:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        tasks, other = [], None
        try:
            if not self.open:
                return
            host, _, port = self.target.rpartition(":")
            back, other = await asyncio.open_connection(host, int(port))
            self.writers.add(other)
            tasks = [asyncio.ensure_future(self.carry(reader, other, self.there)),
                     asyncio.ensure_future(self.carry(back, writer, self.back))]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            for end in (writer, other):
                if end:
                    self.writers.discard(end)
                    end.transport.abort()

    @staticmethod
    async def carry(reader, writer, pairs):
        kept = b""
        try:
            while data := await reader.read(1 << 16):
                data, kept = kept + data, b""
                for pair in pairs:
                    data = data.replace(*pair)
                # A text may go on in the next part.
                for size in range(len(pairs[0][0]) - 1, 3, -1) if pairs else []:
                    if any(data.endswith(text[:size]) for text, _ in pairs):
                        data, kept = data[:-size], data[-size:]
                        break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


class Front:
    """One of the project's hosts."""

    def __init__(self, world, number, zone):
        self.world, self.zone = world, zone
        self.name = f"front-{zone}-{number}"
        self.address = world.next_address()
        self.process = None

    def settings(self):
        listen = {"Front": f"{self.address}:{FRONT_PORT}", "Ready": f"{self.address}:{READY_PORT}",
                  "Control": f"{self.address}:{CONTROL_PORT}"}
        seeds = [f"{self.world.peer_address(self, f)}:{CONTROL_PORT}"
                 for f in self.world.fronts[:3]]
        return {"Node": self.name, "Zone": self.zone, "Ip": self.address, "Listen": listen,
                "PortRange": [PEER_PORT, PEER_PORT + 15], "Seeds": seeds,
                "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4200,
                           "LinkMbps": 1000.0, "DiskMb": 0},
                "Bounds": BOUNDS,
                "platform": {"Address": self.world.store_of(self)},
                "Cloud": {"Address": self.world.cloud_of(self), "RatePerS": 50.0,
                          "Duties": ["failover"], "DutyPerS": 50.0},
                "Zones": {zone: "region-1" for zone in self.world.zones}}

    async def start(self):
        role = self.world.deploy["roles"]["front"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {"PATH": os.environ["PATH"], "BRONZEPLANK_CONFIG": path}
        for name, value in role.get("env", {}).items():
            environment[name] = render(value, self.settings())
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.world.processes.append(self.process)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.world.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)


def render(text, fields):
    """The platform's template, as far as the deploy file uses it."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        if found is None:
            return ""
        return json.dumps(found) if form == "json" or not isinstance(found, str) else found
    return re.sub(r"\{\{([A-Za-z.|]+)\}\}", value, text)


class World:
    """The deployment."""

    def __init__(self, record, zones=("a", "b", "c"), fronts_per_zone=1):
        self.record = record
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="bronzeplank-case-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        program = os.path.join(ROOT, self.deploy["roles"]["front"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} isn't built")
        self.base = (random.randrange(100, 250), random.randrange(100, 250))
        self.last_address = 100
        self.store, self.cloud = Store(self), Cloud(self)
        self.store_address = f"{self.next_address()}:8466"
        self.cloud_address = f"{self.next_address()}:8466"
        self.slots = 4
        self.instances, self.processes, self.tasks, self.servers = [], [], [], []
        self.fronts = []
        for zone in zones:
            for number in range(1, fronts_per_zone + 1):
                self.fronts.append(Front(self, number, zone))
        self.routes, self.tenants, self.services = [], [], []
        self.version = 7
        self.paths, self.cut, self.apart = {}, set(), set()
        self.runs, self.commits, self.promotions = {}, {}, []

    def next_address(self):
        self.last_address += 1
        return f"127.{self.base[0]}.{self.base[1]}.{self.last_address}"

    def add_paths(self):
        """Puts a relay into each path between hosts, to the store and to the promotion call."""
        self.paths = {}
        for one in self.fronts:
            self.paths[(one, "store")] = Path(self, f"{self.next_address()}:8466",
                                              self.store_address)
            self.paths[(one, "cloud")] = Path(self, f"{self.next_address()}:8466",
                                              self.cloud_address)
            for other in self.fronts:
                if one is not other:
                    self.paths[(one, other)] = Path(self, f"{self.next_address()}:{PEER_PORT}",
                                                    f"{other.address}:{PEER_PORT}")
        for (one, other), path in self.paths.items():
            if isinstance(other, Front):
                pair = (f"{one.address}:{PEER_PORT}".encode(),
                        self.paths[(other, one)].address.encode())
                path.there.append(pair)
                self.paths[(other, "store")].back.append(pair)

    def peer_address(self, one, other):
        path = self.paths.get((one, other))
        return path.address.partition(":")[0] if path else other.address

    def store_of(self, front):
        path = self.paths.get((front, "store"))
        return path.address if path else self.store_address

    def cloud_of(self, front):
        path = self.paths.get((front, "cloud"))
        return path.address if path else self.cloud_address

    def cut_zone(self, zone, is_cut):
        """Partitions a zone from the others, the store and the promotion call."""
        self.record(f"zone {zone}", "is partitioned" if is_cut else "is reached again")
        self.cut = {zone} if is_cut else set()
        for (one, other), path in self.paths.items():
            other_zone = other.zone if isinstance(other, Front) else None
            if (one.zone == zone) != (other_zone == zone):
                path.cut(is_cut)
        for instance in self.instances:
            instance.cut_from = {f for f in self.fronts if not self.linked(f, instance)}
            for writer, front in list(instance.writers.items()):
                if front in instance.cut_from:
                    writer.transport.abort()

    def linked(self, one, other):
        """Whether they reach each other; of two instances, also whether their own link is whole."""
        if one in self.apart or other in self.apart:
            return isinstance(one, Front) or isinstance(other, Front)
        return (one.zone in self.cut) == (other.zone in self.cut)

    def work_time(self, _identity):
        return 0.005

    def requested(self, chosen, effect_at):
        """Called when a promotion is requested, with the time at which it takes effect."""

    def sync_of(self, service):
        return next(s["SyncReplicas"] for s in self.services if s["Name"] == service)

    def committed(self, instance, identity):
        self.record(instance.id, f"commits {identity} at {instance.position()}")
        self.commits[identity] = (self.record.now(), instance, instance.received)

    def is_rolled_back(self, identity):
        """Whether a promote has dropped the commit."""
        _, instance, (term, number) = self.commits[identity]
        return any(chosen.service == instance.service and later > term and began < (term, number)
                   for _, chosen, later, began in self.promotions)

    def front_at(self, port):
        """The host that has the other end of a connection to an instance, or None."""
        inode = None
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                words = line.split()
                if words[0] != "sl" and int(words[1].partition(":")[2], 16) == port:
                    if words[3] == "01" and words[2].partition(":")[2] == "1F90":
                        inode = words[9]
        for front in [f for f in self.fronts if inode and f.process]:
            folder = f"/proc/{front.process.pid}/fd"
            try:
                for name in os.listdir(folder):
                    if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                        return front
            except OSError:
                pass
        return None

    def promoted(self, instance):
        self.record("cloud", f"{instance.id} leads term {instance.term} with {instance.position()}")
        self.promotions.append((self.record.now(), instance, instance.term, instance.received))

    def ran(self, instance, session, identity, text):
        self.record(instance.id, f"runs {identity} [{text}] for {session['who']}")
        self.runs.setdefault(identity, []).append(
            (self.record.now(), instance, instance.received))

    def add_service(self, name, zones, sync=1):
        self.services.append({"Name": name, "HealthPath": "/healthz", "MaxConns": 16,
                              "Protocol": "h1", "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0,
                              "SyncReplicas": sync})
        for number, zone in enumerate(zones):
            self.instances.append(Instance(self, name, zone, "replica" if number else "primary"))

    def add_route(self, database, service, kind, **fields):
        self.routes.append({"Name": f"r-{database}", "Host": database, "PathPrefix": "/",
                            "Type": kind, "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 1,
                            "Service": service, "Attempts": 2, "Public": False} | fields)

    def add_tenant(self, name, key, per_s=1000, burst=1000):
        self.tenants.append({"Name": name, "ApiKeys": [key], "Priority": 1, "RatePerS": per_s,
                             "Burst": burst})

    def configure(self):
        self.version += 2
        self.store.put("config", "main", {
            "Version": self.version, "Routes": self.routes, "Services": self.services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000, "TxIdleMs": 3000}, "Tenants": self.tenants})

    async def listen(self, address, handle):
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(lambda r, w: serve_http(r, w, handle), host, int(port))
        self.servers.append(server)

    async def start(self):
        self.configure()
        try:
            await self.listen(self.store_address, self.store.handle)
            await self.listen(self.cloud_address, self.cloud.handle)
            for path in self.paths.values():
                await path.start()
            for instance in self.instances:
                await instance.start()
        except OSError as error:
            raise CannotRun(f"an address is in use: {error}") from error
        self.tasks.append(asyncio.ensure_future(self.beat()))
        for front in self.fronts:
            await front.start()
        deadline = time.monotonic() + 20
        while not all([await front.ready() for front in self.fronts]):
            if time.monotonic() > deadline:
                raise CannotRun("the hosts don't get ready")
            await asyncio.sleep(0.2)

    async def beat(self):
        while True:
            for instance in self.instances:
                if instance.server:
                    instance.report()
                if time.monotonic() - instance.heard_at > 3 * HEARTBEAT_S:
                    self.store.delete("servers", instance.id)
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for instance in self.instances:
            if instance.server:
                instance.server.close()
            for writer in list(instance.writers):
                writer.transport.abort()
        for server in self.servers:
            server.close()


class Client:
    """A session of a client."""

    def __init__(self, world, front, name):
        self.world, self.front, self.name = world, front, name
        self.reader = self.writer = None
        # Whether the connection ended in order: then the host had read all that was sent.
        self.ended = False

    async def open(self, database, key):
        self.reader, self.writer = await asyncio.open_connection(
            self.front.address, FRONT_PORT, limit=1 << 22)
        self.writer.write(f"START {database} {key}\r\n".encode())
        line = await self.line()
        return line is not None and line.startswith("READY")

    async def line(self):
        try:
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except asyncio.IncompleteReadError:
            self.ended = True
        except OSError:
            pass
        return None

    def send(self, identity, text):
        self.world.record(self.name, f"sends {identity} [{text}] to {self.front.name}")
        self.writer.write(f"QUERY {identity} {text}\r\n".encode("latin-1"))

    async def answer(self, identity):
        """The lines up to READY, or None if the connection ends before."""
        lines = []
        while True:
            line = await self.line()
            if line is None:
                how = "ends in order" if self.ended else "is reset"
                self.world.record(self.name, f"{identity}: the connection {how} after {lines}")
                return None
            lines.append(line)
            if line.startswith("READY"):
                self.world.record(self.name, f"{identity}: {lines}")
                return lines

    async def ask(self, identity, text):
        self.send(identity, text)
        return await self.answer(identity)

    def close(self):
        if self.writer:
            self.writer.transport.abort()


_numbers = iter(range(1, 1 << 30))


def new_id():
    return f"{random.getrandbits(32):08x}{next(_numbers):08x}"


def main(case, folder):
    """Runs `case(world_record)`; it returns the ways in which the rule was broken."""
    random.seed()
    record = Record(os.path.join(folder, "record.txt"))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("verdict", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        record.file.flush()
    for line in broken:
        record("verdict", line)
        print(line)
    record("verdict", "broken" if broken else "held")
    print("the rule was broken" if broken else "the rule held")
    record.close()
    return 1 if broken else 0
