"""Stand-in for a worker of the platform, as the protocol page describes it."""

import asyncio
import collections
import json
import time

from aiohttp import web

LONGEST_LEASE_MS = 6000.0
GANG_WAIT_MS = 3000.0
CHECKPOINT_MS = 500.0
STOP_S = 0.1
CHECK_INTERVAL_S = 0.02
HEARTBEAT_S = 1.5
# Time from the start of a worker until its entry is in the store.
REGISTER_S = 0.02
ENDS_PER_ANSWER = 500


def now_ms():
    """Returns the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


class Run:
    """One run attempt of a task on a worker.

    Attributes:
        unit: Job, occurrence and step, and the number of the attempt.
        work_since_ms: Time at which its work began, or None while it waits
            for the other members of its gang.
    """

    def __init__(self, *, task, attempt, work_ms, cpu, checkpoints=False):
        self.checkpoints = checkpoints
        self.task = task
        self.attempt = attempt
        self.unit = (task.rpartition(".")[0], attempt)
        self.work_ms = work_ms
        self.cpu = cpu
        self.started_ms = now_ms()
        self.work_since_ms = self.started_ms

    @property
    def percent(self):
        """Progress in percent."""
        if self.work_since_ms is None:
            return 0
        worked_ms = now_ms() - self.work_since_ms
        return min(100, int(100 * worked_ms / self.work_ms))

    @property
    def saved(self):
        """Newest checkpoint; empty if the task has none."""
        if not self.checkpoints or self.work_since_ms is None:
            return ""
        saved = int((now_ms() - self.work_since_ms) / CHECKPOINT_MS)
        return (
            f"{saved:08x}{hash(self.task) & 0xFFFFFFFF:08x}" if saved else ""
        )


class Gangs:
    """Members of the gangs that are present on all workers of a cell.

    Attributes:
        sizes: Number of tasks of a gang by job, occurrence and step.
        members: Pairs of worker and run by unit.
    """

    def __init__(self):
        self.sizes = {}
        self.members = collections.defaultdict(list)

    def add(self, worker, run):
        """Adds a member; all begin to work once the last one is there."""
        size = self.sizes.get(run.unit[0])
        if size is None:
            return
        run.work_since_ms = None
        members = self.members[run.unit]
        members.append((worker, run))
        if len(members) == size:
            for _, member in members:
                member.work_since_ms = now_ms()

    def remove(self, run, how):
        """Removes a member that has ended, and ends the others with it."""
        members = self.members.pop(run.unit, ())
        rest = "done" if how == "done" else "broken"
        for worker, member in members:
            if member is not run and member.task in worker.running:
                worker.end_run(member, rest)


class Worker:
    """A worker without an admission check.

    Attributes:
        record: Function that writes a line about an event.
        judge: ``Judge`` that is told of all starts and ends.
        down: Whether it has crashed and is not back yet.
        silent: Whether it is cut off: it leaves calls unanswered.
        draining: Whether it announces that it will leave.
        labels: Labels, of which the first is the worker's kind.
    """

    def __init__(self, *, name, store, service, labels, record, judge, gangs):
        self.name = name
        self.store = store
        self.service = service
        self.labels = labels
        self.record = record
        self.judge = judge
        self.gangs = gangs
        self.cpu = 16000
        self.address = ""
        self.down = False
        self.silent = False
        self.draining = False
        self.life = 0
        self.sequence = 0
        self.restart()

    def restart(self):
        """Begins a new incarnation, which knows nothing of before."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.since_ms = now_ms()
        self.fence = 0
        self.running = {}
        self.finished = []
        self.ends = 0
        self.sequence = 0
        self.stopped = {}
        self.lease_until = 0
        self.lapsed_through = 0
        self.ended = asyncio.Event()

    def crash(self):
        """Ends at once with everything that runs here."""
        self.record("worker crashes", worker=self.name, runs=len(self.running))
        self.down = True
        runs = list(self.running.values())
        self.running = {}
        for run in runs:
            self.judge.on_end(self, run, "crashed")
            self.gangs.remove(run, "crashed")
        self.ended.set()

    def come_back(self, labels=None):
        """Starts again under its id; serves first, then registers."""
        self.labels = labels or self.labels
        self.restart()
        self.down = False
        self.record("worker is back", worker=self.name, labels=self.labels)
        loop = asyncio.get_running_loop()
        loop.call_later(REGISTER_S, self.register)

    @property
    def clock(self):
        """Reading of the worker's clock in milliseconds."""
        return int(now_ms() - self.since_ms) + 1000

    def app(self):
        """Returns the application that serves the worker."""
        app = web.Application(middlewares=[self.guard])
        app.router.add_post("/api/run-start", self.start)
        app.router.add_post("/api/run-stop", self.stop)
        app.router.add_post("/api/hold", self.hold)
        app.router.add_post("/api/pace", self.pace)
        return app

    @web.middleware
    async def guard(self, request, handler):
        """Answers only while the worker is up, and only calls meant for it."""
        if self.silent:
            await asyncio.sleep(3600)
        life = self.life
        answer = None
        if not self.down:
            if request.headers["Cicadafold-Expect-Instance"] != self.name:
                return web.Response(status=421)
            answer = await handler(request)
        if self.silent:
            await asyncio.sleep(3600)
        if self.down or self.life != life:
            request.transport.abort()
            return web.Response(status=503)
        return answer

    def register(self):
        """Writes the worker's entry, unless the store does not answer."""
        if self.store.silent or self.store.refusing:
            return
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "sequence": self.sequence,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
            "labels": self.labels,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def work(self):
        """Ends the runs that are complete or whose lease has lapsed."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for run in list(self.running.values()):
                if run.task not in self.running:
                    continue
                if self.clock > self.lease_until:
                    self.end_run(run, "lapsed")
                elif run.percent >= 100:
                    self.end_run(run, "done")
                elif run.work_since_ms is None:
                    if now_ms() - run.started_ms > GANG_WAIT_MS:
                        self.end_run(run, "alone")

    async def heartbeat(self):
        """Registers repeatedly while the worker is up and reachable."""
        while True:
            if not self.down and not self.silent:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def end_run(self, run, how):
        """Ends a run and lists its end."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.ends += 1
        self.finished.append(
            [self.ends, run.task, run.attempt, how, run.saved]
        )
        self.judge.on_end(self, run, how)
        self.gangs.remove(run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def respond(self, status=200, **fields):
        """Returns an answer with the worker's clock."""
        body = {"clockMs": self.clock, "born": self.born, **fields}
        return web.json_response(body, status=status)

    def extend(self, deadline):
        """Extends the lease, which never gets shorter.

        Ends up to ``lapsed_through`` were listed before a lease lapsed.
        """
        if self.clock > self.lease_until:
            self.lapsed_through = self.ends
        if deadline is not None:
            latest = self.clock + LONGEST_LEASE_MS
            self.lease_until = max(self.lease_until, min(deadline, latest))

    async def start(self, request):
        """Starts a run."""
        message = await request.json()
        task, attempt = message["task"], message["attempt"]
        if message["fence"] < self.fence:
            return self.respond(409, reason="fence")
        self.fence = message["fence"]
        self.extend(message["deadlineMs"])
        running = self.running.get(task)
        if running is not None and running.attempt == attempt:
            return self.respond()
        if running is not None or attempt <= self.stopped.get(task, 0):
            return self.respond(409, reason="old")
        if message["deadlineMs"] <= self.clock:
            return self.respond(409, reason="late")
        work_ms, cpu = map(float, message["spec"].split()[:2])
        run = Run(
            task=task,
            attempt=attempt,
            work_ms=work_ms,
            cpu=cpu,
            checkpoints="saves" in message["spec"],
        )
        self.running[task] = run
        self.judge.on_start(self, run)
        self.gangs.add(self, run)
        return self.respond()

    async def stop(self, request):
        """Stops a run; one that comes later with this number is refused."""
        message = await request.json()
        if message["fence"] < self.fence:
            return self.respond(409, reason="fence")
        self.fence = message["fence"]
        task, attempt = message["task"], message["attempt"]
        self.stopped[task] = max(self.stopped.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end_run, run, "stopped")
        return self.respond()

    async def pace(self, request):
        """Accepts a pace without an effect."""
        await request.json()
        return self.respond()

    async def hold(self, request):
        """Extends the lease, drops acknowledged ends, lists runs and ends."""
        message = await request.json()
        if message["fence"] < self.fence:
            return self.respond(409, reason="fence")
        self.fence = message["fence"]
        self.extend(message.get("deadlineMs"))
        through = message["ackedThrough"]
        for row in self.finished:
            if row[0] > through:
                break
            if row[0] > self.lapsed_through:
                self.judge.on_noted(self, row)
        self.finished = [row for row in self.finished if row[0] > through]
        wait_s = message.get("waitMs", 0) / 1000.0
        if wait_s and not self.finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self.ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.attempt, run.saved, run.percent, 0]
            for run in self.running.values()
        ]
        return self.respond(
            running=running, finished=self.finished[:ENDS_PER_ANSWER]
        )
