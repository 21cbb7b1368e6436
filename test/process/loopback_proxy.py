"""A TCP relay on loopback that holds, delays, resets and silences what passes, each way.

Held bytes are delivered when the hold ends, also if their sender has closed the connection since,
and dropped if it has reset it.
"""
import asyncio
import collections
import socket
import struct

TO_TARGET, TO_SENDER = 0, 1
BOTH_WAYS = (TO_TARGET, TO_SENDER)
CHUNK = 1 << 16
MOST_KEPT = 1 << 20
STATE_CLOSE = 7
ABORTIVE = struct.pack("ii", 1, 0)


def is_reset(connection):
    """After the FIN no event tells of a reset; the state of the connection does."""
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == STATE_CLOSE


class Way:
    """One direction of a connection."""

    def __init__(self, connection, held, delay_s, replaced):
        self.connection, self.held, self.delay_s = connection, held, delay_s
        self.replaced = replaced
        self.source = self.sink = self.back = None
        # The times when they came and when they may leave, and bytes; none stand for the FIN.
        self.kept = collections.deque()
        self.kept_size = 0
        self.ended = False
        # The first byte since the other end has last answered.
        self.began_at = None
        self.closed_at = None
        self.loop = asyncio.get_running_loop()

    def read(self):
        try:
            data = self.source.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            self.loop.remove_reader(self.source)
            self.flush()
            return
        now = self.connection.now()
        if not data:
            self.closed_at = now
        elif self.began_at is None:
            self.began_at = now
        if data and self.held:
            self.connection.note_held(self, now)
        data = data.replace(*self.replaced)
        self.kept.append((now, now + self.delay_s, data))
        self.kept_size += len(data)
        if not data or self.kept_size > MOST_KEPT:
            self.loop.remove_reader(self.source)
        self.flush()

    def release(self):
        if not self.held:
            return
        self.held = False
        if self.kept_size and not is_reset(self.source):
            self.connection.note_delivered(self)
        self.flush()

    def flush(self):
        """Passes on what may leave."""
        if self.sink is not None and not self.ended:
            self.loop.remove_writer(self.sink)
        if self.held or self.ended or self.source is None:
            return
        # A connection that both ends have closed is in the same state.
        if is_reset(self.source) and not self.back.ended:
            self.connection.note_dropped(self)
            self.connection.abort()
        elif self.sink is None:
            self.connection.connect()
        else:
            self.send()

    def send(self):
        try:
            while self.kept and self.kept[0][1] <= self.connection.now():
                came, due, data = self.kept[0]
                if not data:
                    self.end()
                    return
                sent = self.sink.send(data)
                self.back.began_at = None
                self.kept_size -= sent
                self.kept.popleft()
                if sent < len(data):
                    self.kept.appendleft((came, due, data[sent:]))
        except BlockingIOError:
            self.loop.add_writer(self.sink, self.flush)
            return
        except OSError:
            self.connection.abort()
            return
        if self.kept:
            self.loop.call_later(self.kept[0][1] - self.connection.now(), self.flush)
        if self.closed_at is None and self.kept_size <= MOST_KEPT:
            self.loop.add_reader(self.source, self.read)

    def end(self):
        self.ended = True
        self.sink.shutdown(socket.SHUT_WR)
        if self.back.ended:
            self.connection.close()


class Connection:
    """A connection that a sender has opened, and the one to the target."""

    def __init__(self, relay, sender, held):
        self.relay, self.sender, self.target = relay, sender, None
        self.connecting = None
        self.silent = False
        self.ways = [Way(self, way in held, relay.delays[way], relay.replaced[way])
                     for way in BOTH_WAYS]
        out, back = self.ways
        out.back, back.back = back, out
        out.source = back.sink = sender
        out.loop.add_reader(sender, out.read)
        out.flush()

    def now(self):
        return self.relay.record.now()

    def connect(self):
        if self.connecting is None:
            self.connecting = asyncio.ensure_future(self.connect_to_target())

    async def connect_to_target(self):
        out, back = self.ways
        target = socket.socket()
        target.setblocking(False)
        self.target = target
        try:
            await out.loop.sock_connect(target, self.relay.target)
        except OSError:
            self.abort()
            return
        out.sink = back.source = target
        self.relay.senders[(target.getsockname(), self.relay.target)] = self
        out.loop.add_reader(target, back.read)
        out.flush()

    def hold(self, ways):
        for way in ways:
            self.ways[way].held = True

    def release(self):
        if not self.silent:
            for way in self.ways:
                way.release()

    def silence(self):
        self.silent = True
        self.hold(BOTH_WAYS)

    def note_held(self, way, now):
        if not way.kept_size:
            self.relay.count("held", "holds back", now)

    def note_delivered(self, way):
        if way.closed_at is None:
            self.relay.count("delivered", "delivers", way.kept[0][0])
        else:
            self.relay.count("delivered after the close",
                             f"delivers, its sender closed at {way.closed_at:.3f},",
                             way.kept[0][0])

    def note_dropped(self, way):
        if way.kept_size:
            self.relay.count("dropped after the reset", "drops, its sender has reset,",
                             way.kept[0][0])

    def abort(self):
        for end in (self.sender, self.target):
            if end is not None and end.fileno() >= 0:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE)
        self.close()

    def close(self):
        for end, way in ((self.sender, self.ways[0]), (self.target, self.ways[1])):
            way.ended = True
            if end is not None and end.fileno() >= 0:
                way.loop.remove_reader(end)
                way.loop.remove_writer(end)
                if end is self.target:
                    self.relay.senders.pop((end.getsockname(), self.relay.target), None)
                end.close()
        if self.connecting is not None:
            self.connecting.cancel()
        self.relay.connections.discard(self)


class Relay:
    """One path: what connects to `listen` is carried on to the target.

    `replaced` holds a pair of texts of one length for each way: the second stands for the first.
    """

    def __init__(self, paths, name, listen, target, replaced=((b"", b""), (b"", b""))):
        self.record, self.random = paths.record, paths.random
        self.counts, self.senders = paths.counts, paths.senders
        self.name, self.target, self.replaced = name, target, replaced
        self.connections = set()
        self.delays = [0.0, 0.0]
        self.held, self.share = (), 1.0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(listen)
        self.listener.listen(1024)
        self.address = "%s:%d" % self.listener.getsockname()
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self):
        try:
            sender, _ = self.listener.accept()
        except OSError:
            return
        sender.setblocking(False)
        holds = self.held and self.random.random() < self.share
        self.connections.add(Connection(self, sender, self.held if holds else ()))

    def hold(self, ways=BOTH_WAYS, share=1.0):
        """Holds open connections, or a share of the new ones if that is below one."""
        self.held, self.share = ways, share
        for connection in list(self.connections) if share == 1.0 else []:
            connection.hold(ways)

    def release(self):
        self.held = ()
        for connection in list(self.connections):
            connection.release()

    def delay(self, seconds, ways=BOTH_WAYS):
        for way in ways:
            self.delays[way] = seconds
            for connection in self.connections:
                connection.ways[way].delay_s = seconds

    def reset(self):
        for connection in list(self.connections):
            connection.abort()

    def silence(self):
        """Open connections go silent for good; new ones work."""
        for connection in self.connections:
            connection.silence()

    def kept(self):
        """What is held back on the way to the target."""
        return b"".join(data for connection in self.connections if connection.ways[0].held
                        for _, _, data in connection.ways[0].kept)

    def count(self, what, text, sent_at):
        self.counts[what] += 1
        self.record(self.name, f"{text} what was sent at {sent_at:.3f}")

    def close(self):
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()
        for connection in list(self.connections):
            connection.abort()
