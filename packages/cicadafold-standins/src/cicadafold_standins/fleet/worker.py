"""Stand-in for a worker: runs tasks under a lease and reports their ends."""

import asyncio
import json

from aiohttp import web

from cicadafold import clock
from cicadafold_standins.fleet import payloads
from cicadafold_standins.fleet import run_log

__all__ = ["FleetWorker"]

MS_PER_S = 1000.0
LONGEST_LEASE_MS = 6000.0
CHECK_INTERVAL_S = 0.01
# Time from the start of a deadly task until it crashes its worker.
CRASH_DELAY_S = 0.02
# A start may still use the capacity that a worker had until this time after
# its registry entry shows a smaller one: the platform's contact bound and
# one interval of the entries.
SHRINK_GRACE_MS = 3500.0


class RunAttempt:
    """One run attempt of a task on the worker.

    Args:
        task: Name of the task.
        attempt: Number of the attempt.
        payload: Payload of the task, which names its cores and failures.
        work_ms: Duration of the task.
    """

    def __init__(self, *, task, attempt, payload, work_ms):
        self.task = task
        self.attempt = attempt
        self.cores_milli = payloads.cores_milli_of(payload)
        self.deadly = payloads.is_deadly(task, payload)
        self.failures = payloads.failures_of(payload)
        self.work_ms = work_ms
        self.started_ms = clock.monotonic_ms()

    @property
    def percent(self):
        """Progress in percent."""
        ran_ms = clock.monotonic_ms() - self.started_ms
        return min(100, int(100 * ran_ms / self.work_ms))


class FleetWorker:
    """A worker that honours fences, leases, stops and acknowledgements.

    Args:
        name: Name of the worker.
        store: Store in which it registers.
        pool: Pool that it belongs to.
        cores_milli: Cores that it offers, in thousandths.
        work_ms: Duration of every task.

    Attributes:
        starts: All starts that were applied, as pairs of task and attempt.
        done: Tasks with a run attempt that ended as done, one entry per end.
        run_log: Record of the run attempts of all workers.
        started_after_done: Starts of tasks whose end as done had already
            been acknowledged, as pairs of task and attempt.
        overfilled: Starts that exceeded the capacity, as pairs of task and
            attempt.
        silent: Whether it leaves calls unanswered.
        call_delay_s: Time until each call is executed.
        answer_delay_s: Time from then until it is answered.
        late_start_delay_s: If not None, the next start command is applied
            after this delay and never answered.
        stop_delay_s: Time that a task keeps running after its stop command
            was answered.
        shrunk: Pairs of an earlier, larger number of cores and the monotonic
            time in milliseconds until which it may still be used, None while
            the registry does not show the smaller one.
        down: Whether the process of the worker is not running.
        crashes: Number of crashes.
        down_s: Seconds for which a crashed worker is down.
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
        self.run_log = run_log.RunLog()
        self.started_after_done = []
        self.overfilled = []
        self.silent = False
        self.call_delay_s = 0.0
        self.answer_delay_s = 0.0
        self.late_start_delay_s = None
        self.stop_delay_s = 0.0
        self.shrunk = []
        self.down = False
        self.crashes = 0
        self.down_s = 4.5
        self.state = "ready"
        self.sequence = 0
        self.restart()

    def restart(self):
        """Starts a new incarnation without the state of the previous one."""
        self.born_ms = int(clock.wall_ms())
        self.started_ms = clock.monotonic_ms()
        self.fence = 0
        self.running = {}
        self.finished = []
        self.end_count = 0
        self.stopped_attempts = {}
        self.lease_until_ms = 0
        self.lapsed_through = 0
        self.run_ended = asyncio.Event()

    def resize(self, cores_milli):
        """Changes the cores that the worker offers, in thousandths."""
        if cores_milli < self.cores_milli:
            self.shrunk.append([self.cores_milli, None])
        self.cores_milli = cores_milli

    @property
    def usable_cores_milli(self):
        """Most cores that a start may use up, in thousandths."""
        now_ms = clock.monotonic_ms()
        self.shrunk = [
            [cores, until_ms]
            for cores, until_ms in self.shrunk
            if until_ms is None or now_ms < until_ms
        ]
        return max([self.cores_milli, *(cores for cores, _ in self.shrunk)])

    async def crash(self):
        """Ends with everything that runs here; a new life follows."""
        self.down = True
        self.crashes += 1
        self.run_log.record_crash(list(self.running))
        self.running = {}
        self.run_ended.set()
        await asyncio.sleep(self.down_s)
        self.restart()
        self.down = False

    @property
    def clock_ms(self):
        """Time since the start of this incarnation, plus 1000 ms.

        Deadlines in commands refer to this clock.
        """
        return int(clock.monotonic_ms() - self.started_ms) + 1000

    def app(self):
        """Returns the application that serves the worker."""
        app = web.Application(middlewares=[self.apply_faults])
        app.router.add_post("/api/run-start", self.start)
        app.router.add_post("/api/run-stop", self.stop)
        app.router.add_post("/api/hold", self.hold)
        return app

    @web.middleware
    async def apply_faults(self, request, handler):
        """Leaves calls unanswered while the worker is silent.

        Calls that are addressed to another worker are refused with 421.
        A worker that is down closes its connections.
        """
        if self.silent:
            await asyncio.sleep(3600)
        expected = request.headers.get("Cicadafold-Expect-Instance")
        if expected != self.name:
            return web.Response(status=421)
        crashes = self.crashes
        if self.call_delay_s:
            await asyncio.sleep(self.call_delay_s)
        answer = None if self.down else await handler(request)
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if self.down or self.crashes != crashes:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        return answer

    def register(self):
        """Writes the worker's entry to the registry in the store.

        Does nothing while the store does not answer.
        """
        if self.store.silent or self.store.refusing:
            return
        until_ms = clock.monotonic_ms() + SHRINK_GRACE_MS
        for former in self.shrunk:
            former[1] = former[1] or until_ms
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
        """Ends run attempts that are complete or whose lease has lapsed.

        Crashes shortly after the start of a deadly task.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.runs_deadly_task():
                await self.crash()
                continue
            lapsed = self.running and self.clock_ms > self.lease_until_ms
            for run in list(self.running.values()):
                if lapsed:
                    self.end_run(run, "lapsed")
                elif run.percent >= 100:
                    must_fail = self.run_log.failures[run.task] < run.failures
                    self.end_run(run, "failed" if must_fail else "done")

    def runs_deadly_task(self):
        """Whether a deadly task has run for CRASH_DELAY_S."""
        latest_ms = clock.monotonic_ms() - CRASH_DELAY_S * MS_PER_S
        return any(
            run.deadly and run.started_ms <= latest_ms
            for run in self.running.values()
        )

    def end_run(self, run, outcome):
        """Ends a run attempt and adds its end to the unacknowledged ends."""
        del self.running[run.task]
        self.end_count += 1
        row = [self.end_count, run.task, run.attempt, outcome, ""]
        self.finished.append(row)
        if outcome == "done":
            self.done.append(run.task)
        self.run_log.record_end(run.task, outcome)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def end_stopped_run(self, run):
        """Ends a stopped run attempt unless it has ended already."""
        if self.running.get(run.task) is run:
            self.end_run(run, "stopped")

    def respond(self, status=200, **fields):
        """Returns a response with the worker's clock and start time."""
        body = {"clockMs": self.clock_ms, "born": self.born_ms, **fields}
        return web.json_response(body, status=status)

    def extend(self, deadline_ms):
        """Extends the lease to a deadline in ms of the worker's clock.

        The lease ends at most LONGEST_LEASE_MS from now.
        """
        if self.clock_ms > self.lease_until_ms:
            self.lapsed_through = self.end_count
        if deadline_ms is not None:
            latest_ms = self.clock_ms + LONGEST_LEASE_MS
            self.lease_until_ms = max(
                self.lease_until_ms, min(deadline_ms, latest_ms)
            )

    async def start(self, request):
        """Handles a start command; refuses it with 409 and the reason.

        A late one is lost if the worker crashes meanwhile.
        """
        message = await request.json()
        if self.late_start_delay_s is not None:
            delay_s, self.late_start_delay_s = self.late_start_delay_s, None
            crashes = self.crashes
            await asyncio.sleep(delay_s)
            if self.crashes == crashes:
                self.apply_start(message)
            await asyncio.sleep(3600)
        reason = self.apply_start(message)
        if reason:
            return self.respond(409, reason=reason)
        return self.respond()

    def apply_start(self, message):
        """Starts a run attempt unless the start command must be refused.

        Returns:
            The reason for the refusal, or None.
        """
        task, attempt = message["task"], message["attempt"]
        if message["fence"] < self.fence:
            return "fence"
        self.fence = message["fence"]
        if message["deadlineMs"] <= self.clock_ms:
            return "late"
        running = self.running.get(task)
        if running is not None and running.attempt == attempt:
            return None
        if running is not None or attempt <= self.stopped_attempts.get(
            task, 0
        ):
            return "old"
        self.extend(message["deadlineMs"])
        cores_milli = payloads.cores_milli_of(message["spec"])
        used = sum(run.cores_milli for run in self.running.values())
        if used + cores_milli > self.usable_cores_milli:
            self.overfilled.append((task, attempt))
        if task in self.run_log.acknowledged:
            self.started_after_done.append((task, attempt))
        self.run_log.record_start(task)
        self.starts.append((task, attempt))
        self.running[task] = RunAttempt(
            task=task,
            attempt=attempt,
            payload=message["spec"],
            work_ms=self.work_ms,
        )
        return None

    async def stop(self, request):
        """Handles a stop command.

        Start commands that arrive later for this attempt, or for an earlier
        one, are refused.
        """
        message = await request.json()
        if message["fence"] < self.fence:
            return self.respond(409, reason="fence")
        task, attempt = message["task"], message["attempt"]
        self.stopped_attempts[task] = max(
            self.stopped_attempts.get(task, 0), attempt
        )
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            loop = asyncio.get_running_loop()
            loop.call_later(self.stop_delay_s, self.end_stopped_run, run)
        return self.respond()

    async def hold(self, request):
        """Handles a renewal of the lease.

        Drops the ends that the scheduler has acknowledged. Returns the
        running attempts and the unacknowledged ends. If there are no such
        ends, waits for the next one, at most for ``waitMs`` of the request.
        """
        message = await request.json()
        if message["fence"] < self.fence:
            return self.respond(409, reason="fence")
        self.fence = message["fence"]
        self.extend(message.get("deadlineMs"))
        acknowledged = message["ackedThrough"]
        for number, task, _, outcome, _ in self.finished:
            # A task whose end was acknowledged only after the lease had lapsed
            # may have been started elsewhere meanwhile.
            lapsed = outcome == "done" and number <= self.lapsed_through
            if number <= acknowledged and not lapsed:
                self.run_log.record_acknowledgement(task, outcome)
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        wait_s = message.get("waitMs", 0) / MS_PER_S
        if wait_s and not self.finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self.run_ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.attempt, "", run.percent, 0]
            for run in self.running.values()
        ]
        return self.respond(running=running, finished=self.finished[:500])
