"""A small deployment on loopback for the scripts of this review.

The platform's store, its promotion endpoint, the instances of one service and the callers are
stand-ins that follow PROTOCOL.md. The front hosts are the project's own program, started with the
command of deploy/system.toml and with settings rendered from its template.
"""
import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zone-a", "zone-b", "zone-c"]
# The bounds of the site files under sites/.
BOUNDS = {"GraceS": 6, "DrainMs": 7000, "EvacuateMs": 5000}
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
SERVICE = "svc0"

# Statements with such an id are background load: only their number is recorded.
BACKGROUND_ID = "b0"
# JSON texts that stand in bodies in place of these strings.
RAW_VALUES = {}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, source, text):
        line = f"{time.monotonic() - self.started:8.3f} {source}: {text}"
        self.file.write(line.encode("unicode_escape").decode()[:400] + "\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started


class Store:
    """The platform's metadata store: objects with revisions, conditional writes, watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.on_write = None

    def put(self, kind, name, spec, silent=False):
        """A write of the operator or of an instance. Silent: it is no event for watches."""
        key = (kind, name)
        old = self.objects.get(key)
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision,
                "CreatedRev": old["meta"]["CreatedRev"] if old else self.revision,
                "Finalizers": [], "Deleting": False}
        self.objects[key] = {"meta": meta, "spec": spec, "status": None}
        if not silent:
            self._notify(kind, name, False)
        return self.objects[key]

    def delete(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
            self._notify(kind, name, True)
            del self.objects[(kind, name)]

    def _notify(self, kind, name, deleted):
        self.events.append((self.revision, kind, {"Object": dict(self.objects[(kind, name)]),
                                                  "Deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, body):
        path, _, query = path.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        if len(parts) == 2 and method == "GET":
            return await self._list(kind, options)
        if len(parts) == 2 and method == "POST":
            name = body["meta"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self._write(kind, name, body["spec"])
        name = parts[2]
        present = self.objects.get((kind, name))
        if present is None:
            return 404, {}
        if method == "GET":
            return 200, present
        if method == "PUT" and len(parts) == 3:
            expected = body.get("meta", {}).get("Revision")
            if expected is not None and expected != present["meta"]["Revision"]:
                return 409, present
            return 200, self._write(kind, name, body["spec"])
        return 404, {}

    def _write(self, kind, name, spec):
        written = self.put(kind, name, spec)
        self.record("store", f"{kind}/{name} = {json.dumps(spec)} at {self.revision}")
        if self.on_write:
            self.on_write(kind, name, spec)
        return written

    async def _list(self, kind, options):
        if "Watch" not in options:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "More": False, "AsOf": self.revision}
        since = int(options["Watch"])
        deadline = time.monotonic() + int(options.get("WaitMs", "0")) / 1000
        while True:
            found = [e for r, k, e in self.events if k == kind and r > since]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


async def serve_http(reader, writer, handle):
    """Serves one HTTP/1.1 connection; `handle` gets method, path, headers and parsed body."""
    try:
        while True:
            line = await reader.readline()
            if not line:
                return
            method, path, _ = line.decode().split(" ", 2)
            headers = {}
            while True:
                field = (await reader.readline()).decode().strip()
                if not field:
                    break
                name, _, value = field.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            raw = await reader.readexactly(length) if length else b""
            status, body = await handle(method, path, headers, json.loads(raw) if raw else None)
            text = json.dumps(body)
            for placeholder, raw_value in RAW_VALUES.items():
                text = text.replace(json.dumps(placeholder), raw_value)
            text = text.encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
        pass
    finally:
        writer.close()


class Instance:
    """One instance of the service: sessions in the line protocol and a replicated log."""

    def __init__(self, world, service, number):
        self.world = world
        self.service = service
        self.id = f"i-{service[-1]}{number}{random.randrange(16 ** 6):06x}"
        self.zone = ZONES[number % len(ZONES)]
        self.address = world.address(10 + 3 * int(service[-1]) + number)
        self.port = free_port(self.address)
        self.role = "primary" if number == 0 else "replica"
        self.term = 1
        self.log = [(1, 1)]
        self.paused_by = 0
        self.state = "ready"
        self.sequence = 0
        self.server = None
        self.connections = set()
        # Clear while the instance is partitioned from the machines of the system.
        self.reached = asyncio.Event()
        self.reached.set()

    def entry(self):
        return {"Service": self.service, "Address": f"{self.address}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.world.slots, "State": self.state, "ColdLeftMs": 0,
                "DbRole": self.role, "Seq": self.sequence}

    def report(self, silent=False):
        self.sequence += 1
        self.world.store.put("servers", self.id, self.entry(), silent)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port,
                                                 limit=1 << 22)
        self.report()

    def crash(self):
        """The process is gone: connections are reset and new ones refused."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.server = None

    def position(self):
        return "%d.%d" % self.log[-1]

    def peers(self):
        return [i for i in self.world.instances if i.service == self.service and i is not self]

    async def commit(self, identity):
        """Appends to the log and waits until one replica has received it."""
        entry = (self.term, self.log[-1][1] + 1)
        self.log.append(entry)
        self.world.commits[identity] = (self.service, entry)
        acknowledged = asyncio.Event()
        for other in self.peers():
            if other.server:
                asyncio.ensure_future(self._replicate(other, entry, acknowledged))
        await acknowledged.wait()

    async def _replicate(self, other, entry, acknowledged):
        """Sends an entry to a replica, in order, while this instance leads the entry's term."""
        await asyncio.sleep(0.002)
        while self.role == "primary" and self.term == entry[0] and self.server and other.server:
            behind = entry[1] - other.log[-1][1]
            if other.role != "replica" or other.term > self.term or behind < 1:
                return
            if behind == 1 and not other.paused_by:
                other.log.append(entry)
                other.term = self.term
                acknowledged.set()
                return
            await asyncio.sleep(0.005)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        session = {"values": {}, "prepared": {}, "tx": None, "wrote": False, "started": False}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "surrogateescape")
                await self.reached.wait()
                word, _, rest = line.partition(" ")
                if word == "BYE":
                    return
                if word == "START":
                    fields = rest.split(" ")
                    if fields[0] != self.service or (len(fields) > 2 and fields[2] != self.id):
                        writer.write(f"ERROR MISROUTED {self.id}\r\n".encode())
                        return
                    session["tenant"] = fields[1]
                    writer.write(f"READY I {self.position()}\r\n".encode())
                    continue
                identity, _, text = rest.partition(" ")
                rows, end = await self.run(session, identity, text)
                state = "T" if session["tx"] else "I"
                answer = "".join(f"ROW {row}\r\n" for row in rows)
                answer += f"{end}\r\nREADY {state} {self.position()}\r\n"
                writer.write(answer.encode("utf-8", "surrogateescape"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, RuntimeError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, session, identity, text):
        """Runs one statement; returns its rows and the line that ends its answer."""
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            rest = rest.partition(" ")[2]
            verb, _, rest = rest.partition(" ")
        done = f"COMPLETE 1.{self.id}.{random.randrange(16 ** 12):012x}"
        if verb == "STATUS":
            return self.status(), "COMPLETE -"
        if verb in ("PAUSE", "RESUME", "DEMOTE"):
            self.command(verb, rest)
            return self.status(), "COMPLETE -"
        if verb == "BEGIN":
            if self.role != "primary" and rest != "READ":
                return [], f"ERROR READONLY {self.id}"
            session["tx"], session["wrote"] = "read" if rest == "READ" else "write", False
            return [], "COMPLETE -"
        if verb == "ROLLBACK":
            session["tx"] = None
            return [], "COMPLETE -"
        if verb in ("SET", "RESET", "PREPARE", "CLOSE"):
            name, _, value = rest.partition(" ")
            if verb == "RESET":
                session["values"], session["prepared"] = {}, {}
            elif verb == "SET":
                session["values"][name] = value
            elif verb == "PREPARE":
                session["prepared"][name] = value
            return [], "COMPLETE -"
        shape = session["prepared"].get(rest.partition(" ")[0], "") if verb == "EXECUTE" else ""
        if verb == "EXECUTE" and not shape:
            return [], f"ERROR UNKNOWN {rest.partition(' ')[0]}"
        writes = verb == "WRITE" or shape.startswith("WRITE")
        if (writes or session["tx"] == "write") and self.role != "primary":
            return [], f"ERROR READONLY {self.id}"
        if identity.startswith(BACKGROUND_ID):
            self.world.background_runs += 1
        else:
            self.world.record(self.id, f"runs {identity} [{text}] for {session['tenant']}")
            self.world.runs.append((self.id, identity, text, session["tx"]))
        await asyncio.sleep(self.world.work_s)
        if verb == "COMMIT":
            wrote, session["tx"] = session["wrote"], None
            if wrote:
                await self.commit(identity)
            return [], done
        if writes and session["tx"]:
            session["wrote"] = True
        elif writes:
            await self.commit(identity)
        return ([] if writes else ["r" + identity]), done

    def status(self):
        return [f"{self.role} {self.term} {self.position()} {self.paused_by} 0 0 1"]

    def command(self, verb, rest):
        self.world.record(self.id, f"gets {verb} {rest}, {self.role} at {self.position()}")
        if verb == "PAUSE" and self.role == "replica" and self.world.on_pause:
            self.world.on_pause(self, int(rest))
        if verb == "PAUSE" and self.role == "replica" and int(rest) > self.term:
            self.paused_by = max(self.paused_by, int(rest))
        elif verb == "RESUME":
            self.paused_by = 0
        elif verb == "DEMOTE" and self.role == "primary" and int(rest) > self.term:
            self.role = "replica"
            self.report()

    def lead(self, term):
        self.role, self.term, self.paused_by = "primary", term, 0
        self.report()


class Cloud:
    """The platform's promotion endpoint; it does not check fences."""

    def __init__(self, world):
        self.world = world
        self.address = world.address(3)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.address, 0))
        self.port = self.socket.getsockname()[1]
        self.calls = []
        self.promotions = []
        self.fillers = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=self.socket)

    def listen_only(self):
        """Takes no connection: the queue is full, and opening packets are dropped."""
        self.socket.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.address, self.port))
            self.fillers.append(filler)

    def stop_fillers(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    async def serve(self, reader, writer):
        await serve_http(reader, writer, self.handle)

    async def handle(self, method, path, headers, body):
        holder = headers.get("x-lease-holder")
        token = int(headers.get("x-fencing-token", "0"))
        self.world.record("cloud", f"{method} {path} {json.dumps(body)} holder {holder} "
                                   f"token {token}")
        self.calls.append((self.world.record.now(), holder, token, body["Id"]))
        chosen = next((i for i in self.world.instances if i.id == body["Id"]), None)
        if chosen is None or not chosen.server:
            return 409, {}
        if chosen.role != "primary":
            asyncio.ensure_future(self.promote(chosen))
        return 200, {}

    async def promote(self, chosen):
        await asyncio.sleep(PROMOTE_S)
        term = max(i.term for i in chosen.peers() + [chosen]) + 1
        self.world.record("cloud", f"{chosen.id} leads term {term} with {chosen.position()}")
        self.promotions.append((self.world.record.now(), chosen.service, chosen.id,
                                list(chosen.log)))
        former = [i for i in chosen.peers() if i.role == "primary"]
        chosen.lead(term)
        for other in chosen.peers():
            if other.server and other.role == "replica":
                other.log, other.term, other.paused_by = list(chosen.log), term, 0
        await asyncio.sleep(1.0)
        for other in former:
            if other.server and other.role == "primary" and other.term < term:
                other.role, other.term, other.log = "replica", term, list(chosen.log)
                other.report()


class Front:
    """A front host: the project's program as it is deployed."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.address = world.address(40 + number)
        self.callers = free_port(self.address)
        self.readiness = free_port(self.address)
        self.control = free_port(self.address)
        self.process = None
        self.ends = []

    async def start(self):
        role = self.world.deploy["roles"]["front"]
        settings = os.path.join(self.world.folder, self.name + ".jsonc")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.fields())
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = role["run"].split(" ")
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "BRONZEPLANK_CONFIG": settings})
        log.close()
        self.world.record(self.name, f"started, callers at {self.address}:{self.callers}")

    def fields(self):
        world = self.world
        return {"Node": self.name, "Zone": self.zone, "Ip": self.address,
                "Listen": {"Front": f"{self.address}:{self.callers}",
                           "Ready": f"{self.address}:{self.readiness}",
                           "Control": f"{self.address}:{self.control}"},
                "PortRange": [world.peer_port, world.peer_port + 15],
                "Seeds": [f"{f.address}:{f.control}" for f in world.fronts[:3]],
                "platform": {"Address": f"{world.store_address}:{world.store_port}"},
                "Cloud": {"Address": f"{world.cloud.address}:{world.cloud.port}"},
                "Limits": {"MemoryMb": 260, "MaxFds": 4200}, "Bounds": BOUNDS}

    def signal(self, number):
        self.world.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def restart_whenever_it_ends(self):
        """The platform starts a process again that has ended."""
        while True:
            code = await self.process.wait()
            self.ends.append(code)
            self.world.record(self.name, f"ended with {code}")
            await asyncio.sleep(0.5)
            await self.start()


class Caller:
    """A caller's session."""

    def __init__(self, world, front, name):
        self.world, self.front, self.name = world, front, name
        self.reader = self.writer = None
        self.quiet = False

    async def open(self, database, key):
        self.reader, self.writer = await asyncio.open_connection(
            self.front.address, self.front.callers, limit=1 << 22)
        return await self.exchange(f"START {database} {key}")

    def send(self, line):
        self.quiet = line.startswith(f"QUERY {BACKGROUND_ID}")
        if not self.quiet:
            self.world.record(self.name, f"sends [{line}]")
        self.writer.write(line.encode("utf-8") + b"\r\n")

    async def answer(self):
        """The lines up to READY, or up to an error that ends the session; None at a close."""
        lines = []
        while True:
            raw = await self.reader.readline()
            if not raw.endswith(b"\r\n"):
                self.world.record(self.name, f"connection closed after {lines}")
                return None
            lines.append(raw[:-2].decode())
            if lines[-1].startswith("READY"):
                break
        if not self.quiet or lines[-2:][0].startswith("ERROR"):
            self.world.record(self.name, f"gets {lines}")
        return lines

    async def exchange(self, line):
        self.send(line)
        try:
            return await self.answer()
        except OSError:
            self.world.record(self.name, "connection reset")
            return None

    async def query(self, text, identity=None):
        identity = identity or f"a0{random.randrange(16 ** 14):014x}"
        return await self.exchange(f"QUERY {identity} {text}")

    def close(self):
        if self.writer:
            self.writer.close()


class World:
    """The deployment: three instances and `fronts` front hosts."""

    def __init__(self, record, fronts=3, work_s=0.004, slots=2, cloud_starts=True, services=1):
        self.record = record
        self.work_s, self.slots, self.cloud_starts = work_s, slots, cloud_starts
        self.block = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        self.folder = tempfile.mkdtemp(prefix="bronzeplank-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.runs = []
        self.background_runs = 0
        # The position of each commit, by the id of its statement.
        self.commits = {}
        self.on_pause = None
        self.store = Store(record)
        self.store_address = self.address(2)
        self.store_port = free_port(self.store_address)
        self.cloud = Cloud(self)
        self.services = [f"svc{number}" for number in range(services)]
        self.instances = [Instance(self, service, number)
                          for service in self.services for number in range(3)]
        self.fronts = [Front(self, number) for number in range(fronts)]
        self.peer_port = free_port(self.fronts[0].address)
        self.tasks = []
        self.version = 7

    def address(self, number):
        return f"{self.block}.{number}"

    def configuration(self):
        route = {"PathPrefix": "/", "Service": SERVICE, "Attempts": 2, "Public": False}
        routes = [
            route | {"Name": "r1", "Host": "bookings", "Type": "primary", "TimeoutMs": 1000,
                     "TargetLatencyMs": 200, "Priority": 1},
            route | {"Name": "r2", "Host": "lookups", "Type": "bounded_staleness",
                     "TimeoutMs": 2000, "TargetLatencyMs": 600, "Priority": 2,
                     "MaxStalenessMs": 1500},
            route | {"Name": "r3", "Host": "closeouts", "Type": "read_your_writes",
                     "TimeoutMs": 1000, "TargetLatencyMs": 400, "Priority": 2,
                     "MaxStalenessMs": 2500}]
        for service in self.services[1:]:
            routes.append(routes[0] | {"Name": f"r-{service}", "Host": f"bookings-{service}",
                                       "Service": service})
        return {"Version": self.version, "Routes": routes,
                "Services": [{"Name": service, "HealthPath": "/healthz", "MaxConns": 32,
                              "Protocol": "h1", "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0,
                              "SyncReplicas": 1} for service in self.services],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                           "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000},
                "Tenants": [{"Name": "tenant0", "ApiKeys": ["key-of-tenant0"], "Priority": 1,
                             "RatePerS": 1000, "Burst": 1000}]}

    async def start(self):
        async def handle(method, path, headers, body):
            return await self.store.handle(method, path, body)

        async def serve(reader, writer):
            await serve_http(reader, writer, handle)

        await asyncio.start_server(serve, self.store_address, self.store_port, limit=1 << 22)
        if self.cloud_starts:
            await self.cloud.start()
        self.store.put("config", "main", self.configuration())
        for instance in self.instances:
            await instance.start()
        self.tasks.append(asyncio.ensure_future(self.heartbeats()))
        for front in self.fronts:
            await front.start()

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for instance in self.instances:
                if instance.server:
                    instance.report(silent=True)

    async def wait_ready(self, limit_s=20):
        deadline = time.monotonic() + limit_s
        for front in self.fronts:
            while not await front.ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f"{front.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("script", "all front hosts are ready")

    async def stop(self):
        """Ends everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for front in self.fronts:
            if front.running():
                try:
                    front.process.send_signal(signal.SIGCONT)
                    front.process.kill()
                except ProcessLookupError:
                    pass
            if front.process is not None:
                await front.process.wait()


class CannotRun(Exception):
    pass


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fills in the placeholders that the project's template uses."""

    def value_of(path):
        value = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return value

    def replaced(match):
        path, _, form = match.group(1).partition("|")
        value = value_of(path)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replaced, template)


def run_case(folder, body, **options):
    """Runs `body(world, trouble)`, which returns the broken rule's description or None."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        world = World(record, **options)
        try:
            await world.start()
            await world.wait_ready()
            return await asyncio.wait_for(body(world, trouble), 110)
        finally:
            await world.stop()
            record("script", f"{world.background_runs} statements of the background load were run")
            for front in world.fronts:
                path = os.path.join(world.folder, front.name + ".log")
                if os.path.exists(path):
                    with open(path, encoding="utf-8", errors="replace") as file:
                        for line in list(file)[-200:]:
                            record.file.write(f"log of {front.name}: {line}")
            shutil.rmtree(world.folder, ignore_errors=True)

    # The processes are ended as well if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(play())
    except Exception as error:  # pylint: disable=broad-except
        record("script", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    verdict = f"BROKEN {broken}" if broken else "held"
    record("script", verdict)
    print(verdict)
    return 1 if broken else 0
