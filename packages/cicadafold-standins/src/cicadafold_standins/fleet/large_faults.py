"""Faults of cells whose workers are processes, in overlapping series."""

import asyncio
import collections
import random
import signal
import sys

from cicadafold_standins.fleet import large_cell

__all__ = ["FAULTS", "FaultInjector", "fault"]

FAULTS = {}
PAUSE_S = (0.1, 0.9)
SERIES_SHARE = 0.3
SERIES_LENGTH = (2, 5)
SERIES_PAUSE_S = (0.02, 0.4)
# Share of the new schedulers that are disturbed, and when.
CLAIM_SHARE = 0.6
AFTER_CLAIM_S = (0.0, 1.5)
MEMBER_PAUSE_S = (0.3, 5.0)
DOWN_S = (0.0, 1.5)
WORKER_PAUSE_S = (0.2, 9.0)
WORKERS_SHARE = 0.2
SHORT_STOP_S = (0.05, 0.25)
SHORT_GO_S = (0.02, 0.1)
OUTAGE_S = (0.2, 3.0)
LATE_APPEND_S = (0.3, 5.0)
SLOW_STORE_S = (0.05, 0.4)
CLOCK_STEP_MS = (-20_000.0, 20_000.0)
BUSY_PROCESSES = (6, 14)
BUSY_S = (1.0, 5.0)
BUSY_CODE = (
    "import sys, time\n"
    "end = time.monotonic() + float(sys.argv[1])\n"
    "while time.monotonic() < end: pass"
)


def fault(name):
    """Registers a coroutine function that injects a fault and heals it.

    Args:
        name: Key of the fault in FAULTS.
    """

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("host killed")
async def kill_host(injector):
    """Kills a host and starts it again."""
    await injector.restart(injector.pick_host(), signal.SIGKILL)


@fault("host stopped")
async def stop_host(injector):
    """Stops a host by SIGTERM and starts it again."""
    await injector.restart(injector.pick_host(), signal.SIGTERM)


@fault("host paused")
async def pause_host(injector):
    """Pauses a host for 0.3 to 5 s."""
    await injector.pause_host(injector.pick_host())


@fault("scheduler killed")
async def kill_scheduler(injector):
    """Kills the newest scheduler and starts its host again."""
    await injector.restart(injector.scheduler(), signal.SIGKILL)


@fault("scheduler stopped")
async def stop_scheduler(injector):
    """Stops the newest scheduler by SIGTERM and starts its host again."""
    await injector.restart(injector.scheduler(), signal.SIGTERM)


@fault("scheduler paused")
async def pause_scheduler(injector):
    """Pauses the newest scheduler for 0.3 to 5 s."""
    await injector.pause_host(injector.scheduler())


@fault("scheduler slow")
async def slow_scheduler(injector):
    """Lets the newest scheduler run in short slices for a while."""
    name = injector.scheduler()
    if name is not None:
        process = injector.cell.members[name].process
        await injector.slice_process(
            lambda number: large_cell.send(process, number)
        )


@fault("scheduler without store")
async def cut_scheduler_from_store(injector):
    """Lets the store refuse the newest scheduler, or not answer it."""
    name = injector.scheduler()
    if name is None:
        return
    gate = injector.cell.gates[name]
    attribute = injector.rng.choice(("refusing", "silent"))
    await injector.hold(gate, attribute, OUTAGE_S)


@fault("worker paused")
async def pause_workers(injector):
    """Pauses some workers for 0.2 to 9 s."""
    for each in injector.pick_workers():
        injector.spawn(injector.pause_worker(each))


@fault("worker killed")
async def kill_workers(injector):
    """Kills some workers, which are started again under their names."""
    for each in injector.pick_workers()[:2]:
        each.signal(signal.SIGKILL)


@fault("workers slow")
async def slow_workers(injector):
    """Lets some workers run in short slices for a while."""
    for each in injector.pick_workers():
        injector.spawn(injector.slice_process(each.signal))


@fault("store refuses")
async def refuse_store_calls(injector):
    """Lets the store refuse all calls."""
    await injector.hold(injector.cell.store, "refusing", OUTAGE_S)


@fault("store silent")
async def silence_store(injector):
    """Lets the store leave all calls unanswered."""
    await injector.hold(injector.cell.store, "silent", OUTAGE_S)


@fault("store slow")
async def slow_store(injector):
    """Lets the store execute each call late."""
    store = injector.cell.store
    delay_s = injector.rng.uniform(*SLOW_STORE_S)
    store.answer_delay_s += delay_s
    await asyncio.sleep(injector.rng.uniform(*OUTAGE_S))
    store.answer_delay_s = max(0.0, store.answer_delay_s - delay_s)


@fault("store loses answers")
async def lose_store_answers(injector):
    """Lets the store lose the answers of the next appends."""
    injector.cell.store.lost_answers_left += injector.rng.randint(1, 6)


@fault("store forgets history")
async def compact_store(injector):
    """Lets the store keep only the newest record of each key."""
    for topic, number in list(injector.cell.store.partitions):
        injector.cell.store.compact(topic, number)


@fault("store cuts answers")
async def cut_store_answers(injector):
    """Cuts the next answers of the store to some hosts in the middle."""
    for gate in injector.pick_gates():
        gate.cut_answers_left += injector.rng.randint(1, 8)


@fault("appends late")
async def delay_appends(injector):
    """Lets the store execute the appends of some hosts late."""
    gates = injector.pick_gates()
    delay_s = injector.rng.uniform(*LATE_APPEND_S)
    for gate in gates:
        gate.late_append_s = delay_s
    await asyncio.sleep(injector.rng.uniform(*OUTAGE_S))
    for gate in gates:
        gate.late_append_s = 0.0


@fault("clock step")
async def step_clock(injector):
    """Steps the time of day of a host, often that of the scheduler."""
    name = injector.scheduler()
    if name is None or injector.rng.random() < 0.5:
        name = injector.rng.choice(injector.cell.names)
    offset = injector.cell.offsets[name]
    offset.set(injector.rng.uniform(*CLOCK_STEP_MS))
    await asyncio.sleep(injector.rng.uniform(0.5, 6.0))
    offset.set(0.0)


@fault("busy machine")
async def keep_machine_busy(injector):
    """Runs processes that only use processor time."""
    if injector.busy_processes:
        return
    seconds = injector.rng.uniform(*BUSY_S)
    for _ in range(injector.rng.randint(*BUSY_PROCESSES)):
        injector.busy_processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable, "-c", BUSY_CODE, str(seconds)
            )
        )
    for process in injector.busy_processes:
        await process.wait()
    injector.busy_processes = []


class FaultInjector:
    """Injects faults in series that overlap, and heals them.

    Args:
        cell: Cell under test.
        seed: Seed of all random choices.
        faults: Names of the faults to choose from; None means all.

    Attributes:
        injected: Number of injections by fault.
        slow_stops: Number of hosts that had to be killed after SIGTERM.
        errors: Hosts that could not be started, as sentences.
    """

    def __init__(self, *, cell, seed, faults=None):
        self.cell = cell
        self.rng = random.Random(f"faults of {seed}")
        self.names = sorted(FAULTS if faults is None else faults)
        self.injected = collections.Counter()
        self.slow_stops = 0
        self.busy_processes = []
        self.errors = []
        self.running = set()
        self.active = False
        cell.on_claim = self.on_claim

    async def run(self, seconds):
        """Injects faults for a time and waits until all are healed."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        self.active = True
        while loop.time() < end_s:
            name = self.rng.choice(self.names)
            self.inject(name)
            if self.rng.random() < SERIES_SHARE:
                for _ in range(self.rng.randint(*SERIES_LENGTH)):
                    await asyncio.sleep(self.rng.uniform(*SERIES_PAUSE_S))
                    self.inject(name)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        self.active = False
        while self.running:
            await asyncio.gather(*self.running)

    def inject(self, name):
        """Injects a fault."""
        self.injected[name] += 1
        self.spawn(FAULTS[name](self))

    def spawn(self, coroutine):
        """Runs a part of a fault as a task."""
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def on_claim(self, name):
        """May disturb a new scheduler and the workers soon after its claim."""
        if self.active and self.rng.random() < CLAIM_SHARE:
            self.spawn(self.disturb_new_scheduler())

    async def disturb_new_scheduler(self):
        """Slows workers down, then ends or pauses the new scheduler."""
        if "workers slow" in self.names and self.rng.random() < 0.5:
            self.inject("workers slow")
        await asyncio.sleep(self.rng.uniform(*AFTER_CLAIM_S))
        names = [name for name in self.names if name.startswith("scheduler")]
        if names:
            self.inject(self.rng.choice(names))

    def scheduler(self):
        """Returns the host of the newest claim if it runs, or None."""
        name = self.cell.newest_claimant()
        return name if name in self.cell.members else None

    def pick_host(self):
        """Returns a running host, or None."""
        names = sorted(self.cell.members)
        return self.rng.choice(names) if names else None

    def pick_gates(self):
        """Returns the access to the store of 1 to 3 hosts.

        Often the newest scheduler is one of them.
        """
        names = self.rng.sample(self.cell.names, self.rng.randint(1, 3))
        newest = self.cell.newest_claimant()
        if newest is not None and self.rng.random() < 0.6:
            names.append(newest)
        return [self.cell.gates[name] for name in names]

    def pick_workers(self):
        """Returns 1 to a fifth of the processes of workers."""
        processes = self.cell.worker_processes
        most = max(1, int(len(processes) * WORKERS_SHARE))
        return self.rng.sample(processes, self.rng.randint(1, most))

    async def restart(self, name, signal_number):
        """Ends a host by a signal and starts it again."""
        if name is None or name not in self.cell.members:
            return
        pause_s = self.rng.uniform(*DOWN_S)
        try:
            self.slow_stops += await self.cell.restart(
                name, signal_number, pause_s
            )
        except (RuntimeError, TimeoutError) as error:
            self.errors.append(f"host {name} does not start: {error!r}")

    async def pause_host(self, name):
        """Pauses a host."""
        if name is not None:
            process = self.cell.members[name].process
            large_cell.send(process, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*MEMBER_PAUSE_S))
            large_cell.send(process, signal.SIGCONT)

    async def pause_worker(self, each):
        """Pauses the process of a worker."""
        each.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*WORKER_PAUSE_S))
        each.signal(signal.SIGCONT)

    async def slice_process(self, send):
        """Lets a process run in short slices.

        Args:
            send: Function that sends it a signal.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.rng.uniform(*MEMBER_PAUSE_S)
        while loop.time() < end_s:
            send(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*SHORT_STOP_S))
            send(signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(*SHORT_GO_S))

    async def hold(self, target, attribute, bounds_s):
        """Sets an attribute for a time; holds may overlap."""
        setattr(target, attribute, True)
        await asyncio.sleep(self.rng.uniform(*bounds_s))
        setattr(target, attribute, False)
