"""A cell of chosen size whose workers are processes of their own."""

import asyncio
import json
import os
import pathlib
import signal

from cicadafold import clock
from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import stepped_clock
from cicadafold_standins.fleet import store_gate
from cicadafold_standins.fleet import worker_main
from cicadafold_standins.fleet import worker_process

__all__ = ["LargeCell"]

CONTROL = ("keyed.control", 0)
REGISTRY = ("keyed.servers", 0)
# Processes that are started at the same time.
START_BATCH = 8
# A small page, so that the newest records take several.
STORE_PAGE_SIZE = 10
REGISTRATION_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0


class LargeCell(cell.FleetCell):
    """A cell of real processes, workers included.

    Args:
        size: Numbers of hosts and workers.
        rng: Random number generator of the workers' clocks.
        born_modes: Names of the ``worker_process.BORN_MODES`` to choose
            from.
        code: Import path of the processes of the hosts, or empty for the
            installed code.
        workers_per_process: Number of workers that share a process.

    Attributes:
        worker_processes: Processes of the workers.
        gates: ``store_gate.StoreGate`` by name of the host.
        offsets: Offset of the time of day by name of the host.
        claims: Monotonic times in milliseconds and hosts of the claims of
            the term.
        on_claim: Function called with the name of each host that claims.
        ended: ``MemberProcess`` objects that were ended on purpose.
    """

    member_module = "cicadafold_standins.fleet.stepped_member"

    def __init__(
        self, *, size, rng, born_modes, code="", workers_per_process=1
    ):
        super().__init__(workers=0)
        hosts, self.worker_count = size
        self.store.page_size = STORE_PAGE_SIZE
        self.names = [f"n{number}" for number in range(hosts)]
        self.rng = rng
        self.born_modes = born_modes
        self.code = code
        self.workers_per_process = workers_per_process
        self.worker_processes = []
        self.gates = {}
        self.offsets = {}
        self.fixed_ports = {}
        self.gate_addresses = {}
        self.claims = []
        self.ended = set()
        self.on_claim = lambda name: None

    async def __aenter__(self):
        await super().__aenter__()
        self.tasks.append(asyncio.create_task(self.follow_claims()))
        self.make_worker_processes()
        for first in range(0, len(self.worker_processes), START_BATCH):
            for each in self.worker_processes[first : first + START_BATCH]:
                self.tasks.append(asyncio.create_task(each.run()))
            await self.wait_for_registration(
                min(
                    self.worker_count,
                    (first + START_BATCH) * self.workers_per_process,
                )
            )
        for name in self.names:
            await self.open_gate(name)
        for first in range(0, len(self.names), START_BATCH):
            await asyncio.gather(
                *map(self.start, self.names[first : first + START_BATCH])
            )
        return self

    async def __aexit__(self, *details):
        for each in self.worker_processes:
            await each.close()
        for name in list(self.members):
            await self.stop(name, signal.SIGKILL)
        await super().__aexit__(*details)

    def make_worker_processes(self):
        """Prepares the processes of the workers, without starting them."""
        folder = pathlib.Path(self.folder.name) / "workers"
        failures = folder / "failures"
        failures.mkdir(parents=True)
        settings = worker_main.Settings(
            store=self.store_address,
            pool=cell.POOL,
            events="",
            failures=str(failures),
            places=[],
        )
        names = [f"w{number}" for number in range(self.worker_count)]
        step = self.workers_per_process
        for first in range(0, len(names), step):
            shared = names[first : first + step]
            self.worker_processes.append(
                worker_process.WorkerProcess(
                    names=shared,
                    ports=[self.ports.port() for _ in shared],
                    folder=folder,
                    rng=self.rng,
                    born_modes=self.born_modes,
                    settings=settings,
                )
            )

    async def wait_for_registration(self, count):
        """Waits until the store has the entries of some workers."""
        async with asyncio.timeout(REGISTRATION_TIMEOUT_S):
            while len(self.store.partition(*REGISTRY).newest) < count:
                await asyncio.sleep(0.05)

    async def open_gate(self, name):
        """Serves the store at an address for one host only."""
        self.gates[name] = store_gate.StoreGate()
        app = self.store.app()
        app.middlewares.append(self.gates[name].apply)
        self.gate_addresses[name] = await self.serve(app, name)

    async def start(self, name, *, store_address=None):
        """Starts the process of a host at the ports that it had before."""
        return await super().start(
            name, store_address=store_address or self.gate_addresses[name]
        )

    async def wait_until_ready(self, member, address):
        """Waits until a process is ready or is ended while it starts."""
        try:
            await super().wait_until_ready(member, address)
        except (RuntimeError, FileNotFoundError, TimeoutError):
            if member not in self.ended:
                raise

    def member_ports(self, name):
        """Returns the ports of a host, the same at each start."""
        if name not in self.fixed_ports:
            self.fixed_ports[name] = super().member_ports(name)
        return self.fixed_ports[name]

    def member_environment(self, folder):
        """Returns the variables that set the clock and the code."""
        if folder.name not in self.offsets:
            path = folder / "clock-offset"
            self.offsets[folder.name] = stepped_clock.OffsetFile(path)
        path = self.offsets[folder.name].path
        variables = {stepped_clock.OFFSET_VARIABLE: str(path)}
        if self.code:
            variables["PYTHONPATH"] = self.code
        return variables

    async def restart(self, name, signal_number, pause_s):
        """Ends the process of a host by a signal and starts it again.

        A process that has not ended after STOP_TIMEOUT_S is killed.

        Returns:
            Whether it had to be killed.
        """
        member = self.members.pop(name)
        self.ended.add(member)
        send(member.process, signal_number)
        killed = False
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await member.process.wait()
        except TimeoutError:
            killed = True
            send(member.process, signal.SIGKILL)
            await member.process.wait()
        keep_log(member)
        await asyncio.sleep(pause_s)
        await self.start(name)
        return killed

    async def follow_claims(self):
        """Notes each claim of the term in the store."""
        control = self.store.partition(*CONTROL)
        offset = control.end
        while True:
            if offset >= control.end:
                await control.appended.wait()
            for record in control.records[offset - control.first :]:
                self.note_claim(record[1 + record[0] :])
            offset = control.end

    def note_claim(self, value):
        """Notes a record of the control topic if it is a claim."""
        if not value:
            return
        address = json.loads(value).get("address")
        for name, ports in self.fixed_ports.items():
            if address == f"127.0.0.1:{ports[0]}":
                self.claims.append((clock.monotonic_ms(), name))
                self.on_claim(name)

    def newest_claimant(self):
        """Returns the name of the host that claimed last, or None."""
        return self.claims[-1][1] if self.claims else None

    def worker_events(self):
        """Returns the events of all workers, in no order."""
        return [
            event for each in self.worker_processes for event in each.events()
        ]

    def worker_pauses(self):
        """Returns the times from and until which each worker was paused."""
        return {
            name: each.pauses
            for each in self.worker_processes
            for name in each.names
        }

    def crashed_hosts(self):
        """Returns a sentence for each host that ended by itself."""
        return [
            f"host {name} ended with {member.process.returncode}"
            for name, member in self.members.items()
            if member.process.returncode is not None
        ]


def send(process, signal_number):
    """Sends a signal to a process that may have ended."""
    if process.returncode is None:
        process.send_signal(signal_number)


def keep_log(member):
    """Keeps the log of an ended process beside that of the next one."""
    number = 0
    while (path := member.log_path.with_suffix(f".{number}.txt")).exists():
        number += 1
    os.rename(member.log_path, path)
