#!/usr/bin/env python3
"""Tests of the relay that holds, delays, resets and silences connections."""
import asyncio
import collections
import os
import random
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
import loopback_proxy  # noqa: E402
from loopback_proxy import TO_SENDER, TO_TARGET  # noqa: E402

HOST = "127.0.0.1"
SOON_S = 0.1


class Record:
    def __init__(self):
        self.lines = []

    def __call__(self, source, text):
        self.lines.append(f"{source}: {text}")

    def now(self):
        return time.monotonic()


class Paths:
    def __init__(self):
        self.record, self.random = Record(), random.Random(1)
        self.counts, self.senders = collections.Counter(), {}


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received, self.ended = [], []
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.paths = Paths()
        self.relay = loopback_proxy.Relay(self.paths, "a path", (HOST, 0),
                                          self.server.sockets[0].getsockname())

    async def asyncTearDown(self):
        self.relay.close()
        self.server.close()

    async def serve(self, reader, writer):
        """Answers each piece with itself."""
        try:
            while data := await reader.read(1 << 16):
                self.received.append(data)
                writer.write(data)
            self.ended.append("closed")
        except ConnectionResetError:
            self.ended.append("reset")
        finally:
            writer.close()

    async def open(self):
        connection = socket.socket()
        connection.setblocking(False)
        host, port = self.relay.address.split(":")
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        self.addCleanup(connection.close)
        return connection

    async def send(self, connection, data):
        await asyncio.get_running_loop().sock_sendall(connection, data)
        await asyncio.sleep(SOON_S)

    async def answer(self, connection, limit_s=1.0):
        return await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(connection, 1 << 16), limit_s)

    async def close(self, connection):
        connection.close()
        await asyncio.sleep(SOON_S)

    async def reset(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, loopback_proxy.ABORTIVE)
        await self.close(connection)

    async def release(self):
        self.relay.release()
        await asyncio.sleep(SOON_S)

    async def test_passes_on_both_ways_and_the_close(self):
        connection = await self.open()
        await self.send(connection, b"one")
        self.assertEqual(await self.answer(connection), b"one")
        await self.close(connection)
        self.assertEqual(self.ended, ["closed"])
        self.assertFalse(self.relay.connections)

    async def test_passes_on_more_than_it_keeps(self):
        connection = await self.open()
        size = 8 * loopback_proxy.MOST_KEPT
        sending = asyncio.ensure_future(self.send(connection, b"x" * size))
        got = 0
        while got < size:
            got += len(await self.answer(connection))
        await sending
        self.assertEqual(sum(map(len, self.received)), size)

    async def test_passes_on_a_reset(self):
        connection = await self.open()
        await self.send(connection, b"one")
        await self.reset(connection)
        self.assertEqual(self.ended, ["reset"])

    async def test_delivers_what_is_held_after_its_sender_has_closed(self):
        self.relay.hold()
        connection = await self.open()
        await self.send(connection, b"late")
        await self.close(connection)
        self.assertEqual(self.received, [])
        await self.release()
        self.assertEqual((self.received, self.ended), ([b"late"], ["closed"]))
        self.assertEqual(self.paths.counts, {"held": 1, "delivered after the close": 1})

    async def test_drops_what_is_held_after_its_sender_has_reset(self):
        self.relay.hold()
        connection = await self.open()
        await self.send(connection, b"late")
        await self.reset(connection)
        await self.release()
        self.assertEqual(self.received, [])
        self.assertEqual(self.paths.counts, {"held": 1, "dropped after the reset": 1})

    async def test_drops_what_is_held_after_a_fin_and_a_reset(self):
        self.relay.hold()
        connection = await self.open()
        await self.send(connection, b"late")
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(SOON_S)
        await self.reset(connection)
        await self.release()
        self.assertEqual(self.received, [])
        self.assertEqual(self.paths.counts, {"held": 1, "dropped after the reset": 1})

    async def test_drops_what_is_held_on_an_open_connection_after_a_reset(self):
        connection = await self.open()
        await self.send(connection, b"one")
        self.relay.hold()
        await self.send(connection, b"late")
        await self.reset(connection)
        await self.release()
        self.assertEqual((self.received, self.ended), ([b"one"], ["reset"]))

    async def test_holds_one_way(self):
        self.relay.hold([TO_SENDER])
        connection = await self.open()
        await self.send(connection, b"one")
        self.assertEqual(self.received, [b"one"])
        with self.assertRaises(asyncio.TimeoutError):
            await self.answer(connection, SOON_S)
        await self.release()
        self.assertEqual(await self.answer(connection), b"one")

    async def test_holds_a_share_of_new_connections(self):
        first = await self.open()
        self.relay.hold(share=0.5)
        connections = [first] + [await self.open() for _ in range(40)]
        for connection in connections:
            await asyncio.get_running_loop().sock_sendall(connection, b"one")
        await asyncio.sleep(SOON_S)
        self.assertEqual(await self.answer(first), b"one")
        self.assertTrue(10 < len(self.received) < 31, len(self.received))
        await self.release()
        self.assertEqual(len(self.received), 41)

    async def test_delays_one_way(self):
        self.relay.delay(0.3, [TO_TARGET])
        connection = await self.open()
        began = time.monotonic()
        await self.send(connection, b"one")
        await self.send(connection, b"two")
        self.assertEqual(self.received, [])
        self.assertEqual(await self.answer(connection), b"one")
        self.assertGreater(time.monotonic() - began, 0.29)
        self.assertEqual(await self.answer(connection), b"two")

    async def test_drops_what_is_delayed_after_an_answer_and_a_reset(self):
        self.relay.delay(0.3, [TO_TARGET])
        connection = await self.open()
        await self.send(connection, b"one")
        await asyncio.sleep(0.1)
        await self.send(connection, b"two")
        self.assertEqual(await self.answer(connection), b"one")
        await self.reset(connection)
        self.assertEqual((self.received, self.ended), ([b"one"], ["reset"]))
        self.assertEqual(self.paths.counts, {"dropped after the reset": 1})

    async def test_resets_open_connections(self):
        connection = await self.open()
        await self.send(connection, b"one")
        self.relay.reset()
        await self.answer(connection)
        with self.assertRaises(ConnectionResetError):
            await self.answer(connection)

    async def test_silences_open_connections_for_good(self):
        silent = await self.open()
        await asyncio.sleep(SOON_S)
        self.relay.silence()
        await self.send(silent, b"one")
        await self.release()
        self.assertEqual(self.received, [])
        connection = await self.open()
        await self.send(connection, b"two")
        self.assertEqual(await self.answer(connection), b"two")

    async def test_resets_a_sender_whose_target_refuses(self):
        self.server.close()
        connection = await self.open()
        with self.assertRaises(ConnectionResetError):
            await self.answer(connection)


if __name__ == "__main__":
    unittest.main()
