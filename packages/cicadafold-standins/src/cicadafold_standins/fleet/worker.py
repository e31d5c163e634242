"""Stand-in for a worker: runs tasks under leases, and lists their ends."""

import asyncio
import json

from aiohttp import web

from cicadafold import clock
from cicadafold_standins.fleet import run_log

__all__ = ["FleetWorker"]

MILLISECONDS = 1000.0
LONGEST_HOLD_MS = 6000.0
PERIOD_S = 0.01
DEFAULT_CORES_MILLI = 1000


class TaskOnWorker:
    """One run: when it began, and how long its work takes."""

    def __init__(self, *, task, attempt, payload, work_ms):
        self.task = task
        self.attempt = attempt
        self.need = cores_of(payload)
        self.fails = failures_of(payload)
        self.work_ms = work_ms
        self.begun_ms = clock.monotonic_ms()

    @property
    def percent(self):
        """Progress from 0 to 100."""
        ran_ms = clock.monotonic_ms() - self.begun_ms
        return min(100, int(100 * ran_ms / self.work_ms))


class FleetWorker:
    """A worker that obeys fences, leases, stops and acknowledgements.

    Args:
        name: Name of the worker.
        store: Store in which it registers.
        pool: Pool that it belongs to.
        cores_milli: Cores that it offers, in thousandths.
        work_ms: Duration of every task.

    Attributes:
        starts: Every start that was carried out, as task and attempt.
        done: Tasks whose runs have ended as done.
        log: What has become of the runs of all workers.
        again: Starts of tasks that were noted before.
        overfilled: Starts that brought it over its capacity.
        silent: Whether it leaves calls unanswered.
        late_s: If set, the next start is carried out that much later and
            never answered.
        stop_s: Time that a task goes on after its stop was answered.
    """

    def __init__(self, *, name, store, pool, cores_milli=16000, work_ms=100.0):
        self.name = name
        self.store = store
        self.pool = pool
        self.cores_milli = cores_milli
        self.work_ms = work_ms
        self.address = ""
        self.starts = []
        self.done = []
        self.log = run_log.RunLog()
        self.again = []
        self.overfilled = []
        self.silent = False
        self.late_s = None
        self.stop_s = 0.0
        self.state = "ready"
        self.sequence = 0
        self.reset()

    def reset(self):
        """Begins a new life that knows nothing of the last one."""
        self.born_ms = int(clock.wall_ms())
        self.began_ms = clock.monotonic_ms()
        self.fence = 0
        self.running = {}
        self.finished = []
        self.ends = 0
        self.stopped = {}
        self.until_ms = 0
        self.ended = asyncio.Event()

    @property
    def clock_ms(self):
        """The worker's own clock."""
        return int(clock.monotonic_ms() - self.began_ms) + 1000

    def app(self):
        """Returns the application that serves the worker."""
        app = web.Application(middlewares=[self.faults])
        app.router.add_post("/api/run-start", self.start)
        app.router.add_post("/api/run-stop", self.stop)
        app.router.add_post("/api/hold", self.hold)
        return app

    @web.middleware
    async def faults(self, request, handler):
        """Leaves calls unanswered while the worker is silent."""
        if self.silent:
            await asyncio.sleep(3600)
        expected = request.headers.get("Cicadafold-Expect-Instance")
        if expected != self.name:
            return web.Response(status=421)
        return await handler(request)

    def register(self):
        """Writes the worker's entry into the registry."""
        self.sequence += 1
        entry = {
            "service": self.pool,
            "address": self.address,
            "zone": "a",
            "state": self.state,
            "slots": 8,
            "capacity": {
                "cpu": self.cores_milli,
                "memMb": 32768,
                "gpu": 0,
            },
            "labels": ["a", "r1-1"],
            "born": self.born_ms,
            "sequence": self.sequence,
        }
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def run(self):
        """Ends tasks whose work is done or whose lease is over."""
        while True:
            await asyncio.sleep(PERIOD_S)
            lapsed = self.running and self.clock_ms > self.until_ms
            for run in list(self.running.values()):
                if lapsed:
                    self.end(run, "lapsed")
                elif run.percent >= 100:
                    fails = self.log.failures[run.task] < run.fails
                    self.end(run, "failed" if fails else "done")

    def end(self, run, how):
        """Lists the end of a run."""
        del self.running[run.task]
        self.ends += 1
        row = [self.ends, run.task, run.attempt, how, ""]
        self.finished.append(row)
        if how == "done":
            self.done.append(run.task)
        self.log.end(run.task, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def end_stopped(self, run):
        """Ends a stopped run, if it has not ended meanwhile."""
        if self.running.get(run.task) is run:
            self.end(run, "stopped")

    def answer(self, status=200, **fields):
        """Returns an answer with the worker's clock."""
        body = {"clockMs": self.clock_ms, "born": self.born_ms, **fields}
        return web.json_response(body, status=status)

    def extend(self, deadline_ms):
        """Extends the lease, up to the longest one."""
        if deadline_ms is not None:
            bound = self.clock_ms + LONGEST_HOLD_MS
            self.until_ms = max(self.until_ms, min(deadline_ms, bound))

    async def start(self, request):
        """Starts a run, or says why not."""
        message = await request.json()
        if self.late_s is not None:
            delay_s, self.late_s = self.late_s, None
            await asyncio.sleep(delay_s)
            self.carry_out(message)
            await asyncio.sleep(3600)
        reason = self.carry_out(message)
        if reason:
            return self.answer(409, reason=reason)
        return self.answer()

    def carry_out(self, message):
        """Carries out a start and returns why it did not, or None."""
        task, attempt = message["task"], message["attempt"]
        if message["fence"] < self.fence:
            return "fence"
        self.fence = message["fence"]
        if message["deadlineMs"] <= self.clock_ms:
            return "late"
        known = self.running.get(task)
        if known is not None and known.attempt == attempt:
            return None
        if known is not None or attempt <= self.stopped.get(task, 0):
            return "old"
        self.extend(message["deadlineMs"])
        need = cores_of(message["spec"])
        used = sum(run.need for run in self.running.values())
        if used + need > self.cores_milli:
            self.overfilled.append((task, attempt))
        if task in self.log.noted:
            self.again.append((task, attempt))
        self.log.start(task)
        self.starts.append((task, attempt))
        self.running[task] = TaskOnWorker(
            task=task,
            attempt=attempt,
            payload=message["spec"],
            work_ms=self.work_ms,
        )
        return None

    async def stop(self, request):
        """Stops a run; one that is not there yet will be rejected."""
        message = await request.json()
        if message["fence"] < self.fence:
            return self.answer(409, reason="fence")
        task, attempt = message["task"], message["attempt"]
        self.stopped[task] = max(self.stopped.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            loop = asyncio.get_running_loop()
            loop.call_later(self.stop_s, self.end_stopped, run)
        return self.answer()

    async def hold(self, request):
        """Extends the lease and returns both lists."""
        message = await request.json()
        if message["fence"] < self.fence:
            return self.answer(409, reason="fence")
        self.fence = message["fence"]
        self.extend(message.get("deadlineMs"))
        acknowledged = message["ackedThrough"]
        for number, task, _, how, _ in self.finished:
            if number <= acknowledged:
                self.log.note(task, how)
        self.finished = [x for x in self.finished if x[0] > acknowledged]
        wait_s = message.get("waitMs", 0) / MILLISECONDS
        if wait_s and not self.finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self.ended.wait()
            except TimeoutError:
                pass
        rows = [
            [run.task, run.attempt, "", run.percent, 0]
            for run in self.running.values()
        ]
        return self.answer(running=rows, finished=self.finished[:500])


def cores_of(payload):
    """Returns the cores that a test's payload names, or one core."""
    cores = payload.partition(" ")[0]
    return int(cores) if cores.isdigit() else DEFAULT_CORES_MILLI


def failures_of(payload):
    """Returns how often a task fails, as its payload says.

    Examples:
        >>> failures_of("2000 fails 1")
        1
    """
    times = payload.partition(" fails ")[2]
    return int(times) if times else 0
