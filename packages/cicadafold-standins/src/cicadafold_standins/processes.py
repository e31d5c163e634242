"""Child processes of a driver, their ports and their resource usage."""

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
    """A child process of this driver.

    Args:
        name: Name of the process.
        arguments: Command line.
        log_path: File to which its output is appended.
    """

    def __init__(self, *, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.process = None

    async def start(self):
        """Starts the process.

        A cancellation waits until the child exists, so that stop() can end
        it.
        """
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
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Sends a signal to the process if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    async def stop(self):
        """Terminates the process, and kills it after ``STOP_TIMEOUT_S``."""
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
    """Process of an entry host.

    Attributes:
        domain: Failure domain.
        region: Region.
        address: Address on which it listens.
    """

    def __init__(self, *, domain, region, address, **rest):
        super().__init__(**rest)
        self.domain = domain
        self.region = region
        self.address = address


class WorkerProcess(Process):
    """Process of a worker; each incarnation writes its own record file.

    Attributes:
        host: The worker as the platform's host list describes it.
        record_paths: Record files of all incarnations, oldest first.
        killed_s: Monotonic time in seconds at which an incarnation was
            killed, by its record file.
    """

    def __init__(self, *, host, folder, **rest):
        super().__init__(**rest)
        self.host = host
        self.address = host.address
        self.folder = folder
        self.base_arguments = self.arguments
        self.record_paths = []
        self.killed_s = {}

    async def start(self):
        """Starts the worker with a new record file."""
        path = self.folder / f"{self.name}.{len(self.record_paths)}.jsonl"
        path.touch()
        self.record_paths.append(path)
        self.arguments = [*self.base_arguments, "--record", str(path)]
        await super().start()

    async def kill(self):
        """Kills the worker and notes the time at which its tasks ended."""
        self.process.kill()
        await self.process.wait()
        self.killed_s[self.record_paths[-1]] = time.monotonic()

    def records(self):
        """Returns the run records of all incarnations of the worker.

        A run attempt that was cut off by a kill ends at the time of the
        kill.
        """
        records = []
        for path in self.record_paths:
            killed_s = self.killed_s.get(path, 0.0)
            for record in worker_standin.read_records(path):
                if not record.ended_s:
                    record.ended_s = killed_s
                records.append(record)
        return records


def run(main):
    """Runs the coroutine of a driver; SIGTERM cancels it.

    The cancellation lets the driver stop the processes that it started.

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
    """A block of ports that no other driver on this machine uses.

    The first port of the block stays bound as a lock. The blocks lie below
    the ephemeral port range of the kernel.
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
        raise RuntimeError(
            "All port blocks are in use; end other drivers on this machine."
        )

    def address(self):
        """Returns an address with the next free port of the block."""
        return f"{HOST}:{self.port()}"

    def port(self):
        """Returns the next free port of the block.

        Raises:
            RuntimeError: All ports of the block have been given out.
        """
        while self.next_port < self.end:
            port = self.next_port
            self.next_port += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            return port
        raise RuntimeError(
            "All ports of the block are in use; use a smaller layout."
        )

    def close(self):
        """Releases the block to other drivers."""
        self.lock.close()


def cpu_seconds(pid):
    """Returns the user and system CPU time of a process in seconds."""
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
