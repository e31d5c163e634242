"""A randomized soak of jobs: real processes, faults from outside them.

Faults come in series and overlap. What callers are told and what workers
run is checked against the promises while it goes on and at its end.
"""

import argparse
import asyncio
import collections
import random
import shutil
import signal
import sys

import aiohttp

from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import load

__all__ = ["FAULTS", "Soak", "fault", "main"]

FAULTS = {}
NODES = 3
WORKERS = 5
WORK_MS = 250.0
SUBMIT_PAUSE_S = 0.12
FAULT_PAUSE_S = (0.2, 1.5)
LOOK_PERIOD_S = 0.01
ASK_PERIOD_S = 0.1
# A scheduler that the store does not serve gives up its term within this.
STALE_S = 3.0
FINAL = ("completed", "failed", "cancelled")
CANCEL_SHARE = 0.1
# Time for leases to end and for work to be started again, after healing.
SETTLE_S = 45.0
GONE_S = 5.0
CALLS_A_JOB = 40


def fault(name):
    """Registers a coroutine function that injects a fault and heals it."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("kill node")
async def kill_node(soak):
    """Kills a node and starts it again."""
    await soak.restart(signal.SIGKILL)


@fault("stop node")
async def stop_node(soak):
    """Stops a node as planned and starts it again."""
    await soak.restart(signal.SIGTERM)


@fault("pause node")
async def pause_node(soak):
    """Freezes a node for a while."""
    name = soak.take_node()
    if name is None:
        return
    process = soak.made.nodes[name].process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.luck.uniform(0.3, 4.0))
    process.send_signal(signal.SIGCONT)
    soak.busy.discard(name)


@fault("store silent")
async def store_silent(soak):
    """Lets the store answer nothing."""
    soak.made.store.silent = True
    await asyncio.sleep(soak.luck.uniform(0.3, 3.0))
    soak.made.store.silent = False


@fault("store refuses")
async def store_refuses(soak):
    """Lets the store refuse all calls."""
    soak.made.store.refuse = True
    await asyncio.sleep(soak.luck.uniform(0.3, 3.0))
    soak.made.store.refuse = False


@fault("store loses answers")
async def store_loses(soak):
    """Lets the store lose the answers of some appends."""
    soak.made.store.lose += soak.luck.randint(1, 6)


@fault("store forgets history")
async def store_forgets(soak):
    """Lets the store keep only the newest record of each key."""
    for topic in ("keyed.servers", "keyed.op", "keyed.control"):
        soak.made.store.forget_history(topic)


@fault("worker silent")
async def worker_silent(soak):
    """Cuts a worker off, which runs on."""
    worker = soak.luck.choice(soak.made.workers)
    worker.silent = True
    await asyncio.sleep(soak.luck.uniform(0.5, 6.0))
    worker.silent = False


@fault("worker reborn")
async def worker_reborn(soak):
    """Lets a worker crash and start anew under its name."""
    soak.luck.choice(soak.made.workers).reset()


@fault("order late")
async def order_late(soak):
    """Lets an order be carried out late and never answered."""
    worker = soak.luck.choice(soak.made.workers)
    worker.late_s = soak.luck.uniform(0.8, 4.0)


class Soak:
    """One seed: load, faults, and what broke.

    Args:
        made: Cell.
        seed: Seed of all choices.
        faults: Faults by name, from which it chooses.

    Attributes:
        accepted: Jobs that were accepted, by identifier.
        sent: Jobs that were sent, by identifier.
        refused: Identifiers of jobs of which every call was refused.
        cancelled: Identifiers of jobs whose cancelling was acknowledged.
        broken: What broke, as sentences.
        busy: Nodes that a fault holds.
        injected: How often each fault was injected.
        shown: Final states that were shown, by job, with the loop time.
    """

    def __init__(self, *, made, seed, faults=None):
        self.made = made
        self.faults = FAULTS if faults is None else faults
        self.luck = random.Random(seed)
        self.accepted = {}
        self.sent = {}
        made.log.on_start = self.check_start
        self.refused = set()
        self.cancelled = set()
        self.broken = []
        self.busy = set()
        self.injected = collections.Counter()
        self.shown = {}
        self.counter = 0

    async def run(self, seconds):
        """Plays load and faults, heals, and checks the promises."""
        for number in range(NODES):
            await self.made.start(f"n{number}")
        looking = asyncio.create_task(self.look())
        asking = asyncio.create_task(self.ask())
        faults = asyncio.create_task(self.inject(seconds))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        calls = set()
        while loop.time() < end_s:
            self.counter += 1
            call = asyncio.create_task(self.submit(f"{self.counter:016x}"))
            calls.add(call)
            await asyncio.sleep(SUBMIT_PAUSE_S)
        await asyncio.gather(faults, *calls)
        await self.check()
        looking.cancel()
        asking.cancel()

    async def inject(self, seconds):
        """Injects faults, some of them at the same time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running = []
        while loop.time() < end_s:
            name = self.luck.choice(sorted(self.faults))
            self.injected[name] += 1
            running.append(asyncio.create_task(self.faults[name](self)))
            await asyncio.sleep(self.luck.uniform(*FAULT_PAUSE_S))
        await asyncio.gather(*running)

    def take_node(self):
        """Takes a node that no fault holds, None if there is none."""
        free = sorted(set(self.made.nodes) - self.busy)
        if not free:
            return None
        name = self.luck.choice(free)
        self.busy.add(name)
        return name

    async def restart(self, number):
        """Ends a node by a signal and starts it again."""
        name = self.take_node()
        if name is None:
            return
        await self.made.stop(name, number)
        await asyncio.sleep(self.luck.uniform(0.0, 1.0))
        await self.made.start(name)
        self.busy.discard(name)

    async def submit(self, job):
        """Submits a job, again after doubtful or refused calls."""
        made = load.make_job(self.luck, cancel_share=CANCEL_SHARE)
        self.sent[job] = made
        body = made.body()
        doubtful = False
        for _ in range(CALLS_A_JOB):
            status = await self.call("POST", job, body)
            if status == 200:
                self.accepted[job] = made
                if made.cancels:
                    await self.cancel(job)
                return
            doubtful = doubtful or status not in (429, 503, "unreached")
            await asyncio.sleep(0.3)
        if not doubtful:
            self.refused.add(job)

    async def cancel(self, job):
        """Cancels a job until that is acknowledged."""
        for _ in range(CALLS_A_JOB):
            if await self.call("DELETE", job) in (200, 410):
                self.cancelled.add(job)
                return
            await asyncio.sleep(0.3)

    async def call(self, method, job, body=None):
        """Makes a call at any node and returns its status."""
        nodes = list(self.made.nodes.values())
        if not nodes:
            return "unreached"
        try:
            status, answer = await self.made.call(
                self.luck.choice(nodes), method, job, body
            )
        except aiohttp.ClientConnectorError:
            return "unreached"
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return "doubtful"
        if method == "GET":
            self.note(job, answer.get("state"))
        return status

    def note(self, job, state):
        """Notes a state that was shown; a final one never changes."""
        if state is None:
            return
        now_s = asyncio.get_running_loop().time()
        before, since_s = self.shown.get(job, (state, now_s))
        if state != before:
            # A scheduler behind a cut may still tell what it knew.
            if state in FINAL or now_s - since_s > STALE_S:
                self.broken.append(f"{job} was {before} and is {state}")
        if state in FINAL:
            self.shown.setdefault(job, (state, now_s))

    async def ask(self):
        """Asks for the states of accepted jobs again and again."""
        while True:
            if self.accepted:
                newest = sorted(self.accepted)[-20:]
                await self.call("GET", self.luck.choice(newest))
            await asyncio.sleep(ASK_PERIOD_S)

    async def look(self):
        """Looks for tasks that run in two places at the same time."""
        while True:
            seen = {}
            for worker in self.made.workers:
                for task in worker.running:
                    other = seen.setdefault(task, worker.name)
                    if other != worker.name:
                        self.broken.append(
                            f"{task} runs on {other} and {worker.name}"
                        )
            await asyncio.sleep(LOOK_PERIOD_S)

    def check_start(self, task):
        """Checks that a task may be started, by what has ended before."""
        job, occurrence, number, _ = task.split(".")
        step = self.sent[job].steps[int(number)]
        for earlier in step.after:
            name = f"{job}.{occurrence}.{earlier}."
            done = sum(task.startswith(name) for task in self.made.log.done)
            if done < self.sent[job].steps[earlier].least_done:
                self.broken.append(f"{task} was started before {name}")
        if self.made.log.noted_failures[task] >= load.MAX_FAILURES:
            self.broken.append(f"{task} was started after its last failure")

    async def check(self):
        """Checks what must hold once all faults are healed."""
        node = next(iter(self.made.nodes.values()))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + SETTLE_S
        for job, made in self.accepted.items():
            await self.check_state(node, job, made, end_s)
        await asyncio.sleep(GONE_S)
        for worker in self.made.workers:
            self.broken += [f"overfilled: {x}" for x in worker.overfilled]
            self.broken += [f"started after done: {x}" for x in worker.again]
            for task in worker.running:
                self.broken.append(f"{task} still runs")
            for task, _ in worker.starts:
                if task.partition(".")[0] in self.refused:
                    self.broken.append(f"{task} of a refused job ran")

    async def check_state(self, node, job, made, end_s):
        """Checks that a job comes to its end, and is done as shown."""
        loop = asyncio.get_running_loop()
        left_s = max(1.0, end_s - loop.time())
        states = made.states
        if job in self.cancelled:
            states = states | {"cancelled"}
        try:
            async with asyncio.timeout(left_s):
                while True:
                    _, body = await self.made.call(node, "GET", job)
                    self.note(job, body.get("state"))
                    if body.get("state") in states:
                        break
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.broken.append(f"{job} is {body}, not {states}")
            return
        count = sum(task.startswith(job) for task in self.made.log.done)
        if body["state"] == "completed" and count < made.least_done:
            self.broken.append(f"{job} is completed with {count} tasks done")


async def play(seed, seconds, keep=None):
    """Plays one seed and returns what broke.

    Args:
        seed: Seed.
        seconds: Length of load and faults.
        keep: Folder for the logs of a seed that broke, or None.
    """
    advice = random.Random(seed).random() < 0.5
    async with cell.FleetCell(
        workers=WORKERS, work_ms=WORK_MS, with_advice=advice
    ) as made:
        soak = Soak(made=made, seed=seed)
        await soak.run(seconds)
        if soak.broken and keep:
            shutil.copytree(
                made.folder.name, f"{keep}/seed-{seed}", dirs_exist_ok=True
            )
        counts = f"{len(soak.accepted)} accepted, {len(soak.refused)} refused"
        print(f"seed {seed}: {counts}, {len(soak.broken)} broken", flush=True)
        return sorted(set(soak.broken))


def main():
    """Plays seeds; the exit code tells whether a promise broke."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=5, help="seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--keep", default="out", help="folder for logs")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        broken = asyncio.run(play(seed, arguments.seconds, arguments.keep))
        failed += bool(broken)
        for sentence in broken[:20]:
            print(f"  {sentence}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
