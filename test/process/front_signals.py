"""Signals to front hosts of the stand-ins, also to ones that start or have just ended."""
import asyncio
import os
import signal
import time


def send(front, number):
    """Signals a host by a process descriptor.

    Process.send_signal() takes the exit code of a process that has just ended from asyncio.
    """
    front.world.record(front.name, f"gets {signal.Signals(number).name}")
    try:
        descriptor = os.pidfd_open(front.process.pid)
    except ProcessLookupError:
        return
    try:
        signal.pidfd_send_signal(descriptor, number)
    except ProcessLookupError:
        pass
    finally:
        os.close(descriptor)


async def has_begun(pid, limit_s=10):
    """Whether the program's own code runs: a host ignores SIGPIPE first of all.

    Before that, the process is still being loaded, and nothing in it can keep a signal.
    """
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        try:
            with open(f"/proc/{pid}/status", encoding="ascii") as file:
                ignored = [line.split()[1] for line in file if line.startswith("SigIgn:")]
        except FileNotFoundError:
            return False
        if ignored and int(ignored[0], 16) >> (signal.SIGPIPE - 1) & 1:
            return True
        await asyncio.sleep(0)
    return False
