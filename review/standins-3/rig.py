"""Stand-ins of the users' platform for review scripts: the store, the promotion endpoint, the
instances of one service, and clients. All of them run in one process, on one clock. Hosts are the
project's own program, as separate processes.
"""
import asyncio
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.2
DRAIN_S = 7.0
PROMOTE_S = 0.6
LAG_S = 0.02
MAX_LAG_S = 0.12
NETWORK_S = 0.0014
WORK_S = 0.004
SERVICE = "core"
LONGEST_S = 100
now = time.monotonic


class Record:
    """What was sent, answered and run, in order, with seconds since the start."""

    def __init__(self, path):
        self.started = now()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, who, what):
        if not self.file.closed:
            self.file.write(f"{now() - self.started:9.4f} {who:14} {what}\n")

    def close(self):
        self.file.close()


async def read_http(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return method, target, headers, body


def write_http(writer, status, answer):
    body = json.dumps(answer).encode()
    writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def apply(self, kind, name, spec, deleted=False, silent=False):
        present = self.objects.get((kind, name))
        if present and not deleted and present["spec"] == spec:
            return present
        self.revision += 1
        created = present["meta"]["CreatedRev"] if present else self.revision
        item = {"meta": {"Name": name, "Revision": self.revision, "CreatedRev": created,
                         "Finalizers": [], "Deleting": False}, "spec": spec, "status": {}}
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = item
        if not silent:
            self.history.append((self.revision, kind, {"Object": item, "Deleted": deleted}))
            self.changed.set()
            self.changed = asyncio.Event()
        return item

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await read_http(reader)
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                write_http(writer, status, answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(p) for p in parts.path.split("/") if p]
        kind, name = path[1], path[2] if len(path) > 2 else None
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0")))
        if method == "GET":
            items = [i for (k, _), i in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "More": False, "AsOf": self.revision}
        sent = json.loads(body)
        name = name or sent["meta"]["Name"]
        present = self.objects.get((kind, name))
        if method == "POST":
            return (409, present) if present else (200, self.apply(kind, name, sent["spec"]))
        if not present:
            return 404, {}
        expected = sent["meta"].get("Revision")
        if expected is not None and expected != present["meta"]["Revision"]:
            return 409, present
        return 200, self.apply(kind, name, sent["spec"])

    async def watch(self, kind, since, wait_ms):
        deadline = now() + wait_ms / 1000
        while True:
            events = [e for r, k, e in self.history if k == kind and r > since]
            left = deadline - now()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Instance:
    """One instance of the service. Its log is a list of (term, number, item, data)."""

    def __init__(self, world, name, zone, address, role, log):
        self.world, self.id, self.zone = world, name, zone
        self.host, self.port = address
        self.role, self.term = role, 1
        self.log = list(log)
        self.applied = len(self.log)
        self.paused_by = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.alive = True
        self.server = None
        self.writers = set()
        self.received = asyncio.Event()
        self.applies_at = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.report()
        self.world.spawn(self.beat())

    async def beat(self):
        while self.alive:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive:
                self.report()

    def report(self):
        old = self.world.store.objects.get(("servers", self.id))
        self.sequence += 1
        spec = {"Service": SERVICE, "Address": f"{self.host}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": 3, "State": self.state, "ColdLeftMs": 0,
                "Seq": self.sequence, "DbRole": self.role, "born": self.born}
        same = old is not None and {**old["spec"], "Seq": 0} == {**spec, "Seq": 0}
        self.world.store.apply("servers", self.id, spec, silent=same)

    def position(self, applied=False):
        end = self.applied if applied else len(self.log)
        return (self.log[end - 1][0], end) if end else (0, 0)

    def stop(self):
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.world.store.apply("servers", self.id, {}, deleted=True)
        self.world.record(self.id, "has left")

    # Replication: the primary hands on what a replica lacks; the replica applies it later.
    async def replicate_from(self, primary):
        await asyncio.sleep(NETWORK_S)
        if (self.alive and self.role == "replica" and not self.paused_by
                and self.term <= primary.term and primary.role == "primary" and primary.alive):
            self.follow(primary)

    def follow(self, primary):
        common = 0
        for mine, theirs in zip(self.log, primary.log):
            if mine != theirs:
                break
            common += 1
        del self.log[common:]
        self.applied = min(self.applied, common)
        self.log += primary.log[common:]
        self.term = primary.term
        # Applied in order, each entry some time after it was received.
        lag = self.world.lag_factor * min(random.lognormvariate(-0.18, 0.6) * LAG_S, MAX_LAG_S)
        self.applies_at = max(self.applies_at, now() + lag)
        self.world.spawn(self.apply_later(len(self.log), self.applies_at))
        primary.received.set()
        primary.received = asyncio.Event()

    async def apply_later(self, end, due):
        await asyncio.sleep(due - now())
        self.applied = max(self.applied, min(end, len(self.log)))

    async def commit(self, identity, writes):
        for item, data in writes:
            self.log.append((self.term, len(self.log) + 1, item, data))
        self.applied = len(self.log)
        entry, number = self.log[-1], len(self.log)
        self.world.commits[identity] = (entry[0], number)
        while True:
            for other in self.world.instances:
                if other is not self:
                    self.world.spawn(other.replicate_from(self))
            event = self.received
            if any(o is not self and o.alive and len(o.log) >= number and o.log[number - 1] == entry
                   for o in self.world.instances):
                return self.role == "primary" and self.log[number - 1] == entry
            try:
                await asyncio.wait_for(event.wait(), 0.05)
            except asyncio.TimeoutError:
                if self.role != "primary" or not self.alive:
                    return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self, writer)
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                if not await session.handle(line):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    """A host's connection to an instance."""

    def __init__(self, instance, writer):
        self.instance, self.writer = instance, writer
        self.state, self.read_only, self.writes = "I", False, []
        self.shapes = {}

    def say(self, *lines):
        term, number = self.instance.position(applied=True)
        for line in lines:
            self.writer.write((line + "\r\n").encode("latin-1"))
        self.writer.write(f"READY {self.state} {term}.{number}\r\n".encode())

    async def handle(self, line):
        word, _, rest = line.partition(" ")
        if word == "START":
            service, who, wanted = (rest.split(" ") + ["", ""])[:3]
            if service != SERVICE or wanted not in ("", self.instance.id):
                self.writer.write(b"ERROR MISROUTED\r\n")
                return False
            await asyncio.sleep(0.002)
            self.say()
            return True
        if word != "QUERY":
            return False
        identity, _, text = rest.partition(" ")
        await self.run(identity, text)
        return True

    async def run(self, identity, text):
        me = self.instance
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            wanted, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            if tuple(int(p) for p in wanted.split(".")) > me.position(applied=True):
                return self.say(f"ERROR LAGGING {me.id}")
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return self.command(verb, rest)
        if verb in ("RESET", "SET"):
            return self.say("COMPLETE -")
        if verb == "BEGIN":
            if rest != "READ" and me.role != "primary":
                return self.say(f"ERROR READONLY {me.id}")
            self.state, self.read_only, self.writes = "T", rest == "READ", []
            return self.say("COMPLETE -")
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return self.say("COMPLETE -")
        lost = self.state == "T" and not self.read_only and me.role != "primary"
        if verb == "COMMIT":
            return await self.commit(identity, lost)
        await asyncio.sleep(WORK_S)
        if lost or (verb == "WRITE" and me.role != "primary"):
            self.state = "E" if self.state == "T" else self.state
            return self.say(f"ERROR READONLY {me.id}")
        if verb == "READ":
            me.world.runs[identity] = (me.id, me.position(applied=True))
            me.world.record(me.id, f"runs {identity} READ at {me.position(applied=True)}, {me.role}")
            value = next((e[3] for e in reversed(me.log[:me.applied]) if e[2] == rest), "none")
            return self.say(f"ROW {value}", f"COMPLETE signed.{me.id}.{identity}")
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.writes.append((item, data))
            return self.say(f"COMPLETE signed.{me.id}.{identity}")
        await self.finish(identity, [(item, data)])

    async def commit(self, identity, lost):
        me, writes = self.instance, self.writes
        await asyncio.sleep(WORK_S)
        self.state, self.writes = "I", []
        if writes and lost:
            return self.say(f"ERROR READONLY {me.id}")
        if not writes:
            me.world.record(me.id, f"commits {identity}, nothing written, "
                            f"{me.role}, log at {me.position(applied=True)}")
            return self.say(f"COMPLETE signed.{me.id}.{identity}")
        await self.finish(identity, writes)

    async def finish(self, identity, writes):
        if await self.instance.commit(identity, writes):
            self.say(f"COMPLETE signed.{self.instance.id}.{identity}")
        else:
            self.writer.transport.abort()

    def command(self, verb, rest):
        me = self.instance
        term = int(rest) if rest else 0
        if verb == "PAUSE" and me.role == "replica" and term > me.term:
            me.paused_by = max(me.paused_by, term)
        if verb == "RESUME":
            me.paused_by = 0
        if verb == "DEMOTE" and me.role == "primary" and term > me.term:
            me.role = "replica"
            me.report()
        if verb != "STATUS" or os.environ.get("LOG_STATUS"):
            me.world.record(me.id, f"{verb} {rest}: {me.role} term {me.term} paused {me.paused_by}")
        position = "%d.%d" % me.position()
        self.say(f"ROW {me.role} {me.term} {position} {me.paused_by} 0 0 {len(me.writers)}",
                 "COMPLETE -")


class Client:
    """One session of a client at a host."""

    def __init__(self, world, name, host, database):
        self.world, self.name, self.host, self.database = world, name, host, database
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.host.callers)
        self.writer.write(f"START {self.database} key-1\r\n".encode())
        answer = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5)
        if not answer.startswith(b"READY"):
            raise ConnectionError(answer.decode())

    async def query(self, text):
        """Returns the id, whether it succeeded, the rows or the error, and the times."""
        identity = self.world.new_id()
        sent = now()
        self.writer.write(f"QUERY {identity} {text}\r\n".encode())
        rows, outcome = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 10))[:-2].decode("latin-1")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = line
            elif word == "READY":
                break
        got = now()
        done = outcome.startswith("COMPLETE")
        self.world.record(self.name, f"{identity} {text} -> {outcome} {rows}")
        return identity, done, rows if done else outcome, sent, got

    def close(self):
        if self.writer:
            self.writer.close()


class Host:
    """A front host: the project's program as a process."""

    def __init__(self, world, number, zone):
        self.world, self.name, self.zone = world, f"front-{zone}-{number}", zone
        self.address = f"127.{world.net}.1.{number}"
        self.callers = (self.address, world.port + 1)
        self.process = None

    def start(self):
        world = self.world
        settings = {
            "host": self.name, "failure_domain": self.zone,
            "callers": f"{self.address}:{world.port + 1}",
            "readiness": f"{self.address}:{world.port + 2}",
            "peer_ports": [[world.port + 10, world.port + 20]],
            "metrics_port": 9464, "address": self.address, "known_peers": [""],
            "store": f"{world.address}:{world.port + 3}", "orders": f"{world.address}:{world.port + 4}",
            "limits": [{"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4300,
                        "LinkMbps": 1000.0, "DiskMb": 0}],
            "bounds": [{"StabilityWindowMs": 4000, "DrainMs": 7000, "GraceS": 6,
                        "ConfigApplyMs": 3000, "EvacuateMs": 5000, "RecoveryS": 12}],
            "duties": [{"Address": f"{world.address}:{world.port + 4}", "RatePerS": 50.0,
                        "Duties": ["failover"], "DutyPerS": 50.0}],
        }
        path = os.path.join(world.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(world.folder, self.name + ".log"), "w", encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "BRONZEPLANK_CONFIG": path,
                       "BRONZEPLANK_REGIONS": json.dumps({zone: "region" for zone in ZONES})}
        self.process = subprocess.Popen([world.program, "front"], env=environment, stdout=log,
                                        stderr=log)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(self.address, self.world.port + 2)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if b" 200" in answer:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(self.name + " is not ready")


class World:
    """The platform, one service with three instances, and the hosts."""

    def __init__(self, program, record_path, hosts_per_zone=2, routes=None):
        self.program = program
        self.record = Record(record_path)
        self.net = random.randrange(20, 250)
        self.port = random.randrange(20000, 30000, 100)
        self.address = f"127.{self.net}.0.1"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tasks = set()
        self.ids = 0
        self.lag_factor = 1
        self.commits, self.runs = {}, {}
        self.store = Store()
        self.servers = []
        self.instances = []
        self.routes = routes or []
        self.hosts = [Host(self, 1 + z * hosts_per_zone + n, zone)
                      for z, zone in enumerate(ZONES) for n in range(hosts_per_zone)]

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def new_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    def instance_at(self, number, name, zone, role, log=()):
        added = Instance(self, name, zone, (f"127.{self.net}.2.{number}", self.port + 5), role, log)
        self.instances.append(added)
        return added

    def primary(self):
        leaders = [i for i in self.instances if i.role == "primary" and i.alive]
        return max(leaders, key=lambda i: i.term) if leaders else None

    async def start(self, names):
        self.servers.append(await asyncio.start_server(self.store.serve, self.address, self.port + 3))
        self.servers.append(await asyncio.start_server(self.serve_cloud, self.address, self.port + 4))
        self.store.apply("config", "main", {
            "Version": 7, "Routes": self.routes,
            "Services": [{"Name": SERVICE, "MaxConns": 32, "SyncReplicas": 1}],
            "Tenants": [{"Name": "tenant-1", "ApiKeys": ["key-1"]}], "Limits": {"TxIdleMs": 3000}})
        seed = [(1, 1, "item", "first")]
        for number, name in enumerate(names):
            instance = self.instance_at(1 + number, name, ZONES[number],
                                        "replica" if number else "primary", seed)
            await instance.start()
        self.spawn(self.feed(self.instances[0]))
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def serve_cloud(self, reader, writer):
        try:
            while True:
                _, target, headers, body = await read_http(reader)
                sent = json.loads(body or b"{}")
                instance = next((i for i in self.instances if i.id == sent.get("Id") and i.alive), None)
                status = 200 if target == "/failover" and instance else 409
                self.record("platform", f"{target} {sent} holder {headers.get('x-lease-holder')} "
                            f"token {headers.get('x-fencing-token')}: {status}")
                if status == 200 and instance is not self.primary():
                    self.spawn(self.promote(instance))
                write_http(writer, status, {})
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            writer.close()

    async def promote(self, successor):
        await asyncio.sleep(PROMOTE_S)
        if not successor.alive:
            return
        old = self.primary()
        successor.term = max(i.term for i in self.instances) + 1
        successor.role, successor.applied = "primary", len(successor.log)
        self.record(successor.id, f"leads term {successor.term} from {successor.position()}")
        successor.report()
        for instance in self.instances:
            instance.paused_by = 0
        if old and old is not successor:
            self.spawn(self.step_down(old, successor))
        self.spawn(self.feed(successor))

    async def step_down(self, old, successor):
        await asyncio.sleep(1.0)
        if old.alive and old.role == "primary" and old.term < successor.term:
            old.role = "replica"
            old.report()

    # Replicas that have missed something get it within some milliseconds.
    async def feed(self, primary):
        while primary.alive and primary.role == "primary":
            for instance in self.instances:
                if instance is not primary and (instance.term < primary.term or
                                                len(instance.log) < len(primary.log)):
                    await instance.replicate_from(primary)
            await asyncio.sleep(0.05)

    # The new one starts first and the old one drains.
    async def release(self, old, number, name):
        new = self.instance_at(number, name, old.zone, "replica", old.log)
        new.term = old.term
        await new.start()
        old.state = "draining"
        old.report()
        self.record(old.id, "is draining")
        await asyncio.sleep(DRAIN_S + 0.5)
        old.stop()

    def stop(self):
        for host in self.hosts:
            host.stop()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run_and_exit(case):
    """Ends the process with what the case returns, or with 2 if it couldn't run."""
    async def run():
        try:
            code = await asyncio.wait_for(case, LONGEST_S)
        except Exception as error:
            print(f"couldn't run: {error!r}")
            code = 2
        sys.stdout.flush()
        os._exit(code)
    asyncio.run(run())
