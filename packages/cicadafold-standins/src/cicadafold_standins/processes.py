"""Processes that a driver starts, and what they cost."""

import asyncio
import os
import signal
import socket
import time

import uvloop

from cicadafold_standins import worker as worker_standin

__all__ = [
    "EntryHost",
    "PortBlock",
    "Process",
    "WorkerProcess",
    "cpu_seconds",
    "resident_mb",
    "run",
    "sent_bytes",
]

STOP_TIMEOUT_S = 15.0
HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 500


class Process:
    """One process that this driver started."""

    def __init__(self, *, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.process = None

    async def start(self):
        """Starts the process; one that was begun is always kept track of."""
        with open(self.log_path, "ab") as log:
            starting = asyncio.ensure_future(
                asyncio.create_subprocess_exec(
                    *self.arguments, stdout=log, stderr=log
                )
            )
            try:
                self.process = await asyncio.shield(starting)
            except asyncio.CancelledError:
                self.process = await starting
                raise

    @property
    def pid(self):
        """Identifier of the running process."""
        return self.process.pid

    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Sends a signal to the process if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    async def stop(self):
        """Ends the process, by force after a while."""
        if not self.is_running():
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class EntryHost(Process):
    """An entry host."""

    def __init__(self, *, domain, region, address, **rest):
        super().__init__(**rest)
        self.domain = domain
        self.region = region
        self.address = address


class WorkerProcess(Process):
    """A worker; each of its runs writes a record of its own."""

    def __init__(self, *, host, folder, **rest):
        super().__init__(**rest)
        self.host = host
        self.address = host.address
        self.folder = folder
        self.base_arguments = self.arguments
        self.record_paths = []
        self.killed_s = {}

    async def start(self):
        """Starts the worker with a new record."""
        path = self.folder / f"{self.name}.{len(self.record_paths)}.jsonl"
        path.touch()
        self.record_paths.append(path)
        self.arguments = [*self.base_arguments, "--record", str(path)]
        await super().start()

    async def kill(self):
        """Kills the worker; what it ran has ended then."""
        self.process.kill()
        await self.process.wait()
        self.killed_s[self.record_paths[-1]] = time.monotonic()

    def records(self):
        """Returns the records of all runs of the worker."""
        found = []
        for path in self.record_paths:
            killed_s = self.killed_s.get(path, 0.0)
            for record in worker_standin.read_records(path):
                if not record.ended_s:
                    record.ended_s = killed_s
                found.append(record)
        return found


def run(main):
    """Runs a driver; SIGTERM ends it and all that it has started.

    Args:
        main: Coroutine to run.

    Returns:
        The coroutine's result.
    """

    async def supervised():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await main

    return uvloop.run(supervised())


class PortBlock:
    """A block of ports that no other driver of this machine uses.

    The first port of the block is kept bound as a lock. The blocks lie
    below the range from which the kernel takes ports by itself.
    """

    def __init__(self):
        self.lock = socket.socket()
        self.next_port = 0
        for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
            try:
                self.lock.bind((HOST, first))
            except OSError:
                continue
            self.next_port = first + 1
            self.end = first + PORTS_PER_BLOCK
            return
        raise RuntimeError("No block of ports is free.")

    def address(self):
        """Returns an address with the next free port of the block."""
        while self.next_port < self.end:
            port = self.next_port
            self.next_port += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return f"{HOST}:{port}"
        raise RuntimeError("The block of ports is used up.")

    def close(self):
        """Gives the block back."""
        self.lock.close()


def cpu_seconds(pid):
    """Returns the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as source:
        fields = source.read().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(fields[11]) + int(fields[12])) / ticks


def resident_mb(pid):
    """Returns the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as source:
        pages = int(source.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def sent_bytes(pid):
    """Returns the bytes that a process has written, sockets included."""
    with open(f"/proc/{pid}/io", encoding="ascii") as source:
        for line in source:
            name, _, value = line.partition(": ")
            if name == "wchar":
                return int(value)
    return 0
