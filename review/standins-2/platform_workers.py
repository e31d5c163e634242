"""Stand-ins for the workers, and the checks of what they are told.

``World`` knows the submitted jobs and watches every start for the rules of
the pages. A worker holds runs under a lease, lists their ends until these
are taken note of, and obeys stops, fences and attempt numbers.
"""

import asyncio
import json
import secrets
import time

from aiohttp import web

EARLY_MS = 250


def now_ms():
    """Returns the steady time in milliseconds."""
    return time.monotonic() * 1000


class Run:
    """A run of a task on a worker."""

    def __init__(self, name, attempt, call, step, at_ms):
        self.name = name
        self.attempt = attempt
        self.step = step
        self.checkpoint = call.get("checkpoint", "")
        self.at_ms = at_ms
        self.done_ms = (
            float(self.checkpoint.split("/")[1]) if (self.checkpoint) else 0.0
        )
        self.works_since_ms = None if step.get("gang") else at_ms
        self.stop_at_ms = None
        self.paced = 100

    def worked_ms(self, at_ms):
        """Returns the work that is done, in milliseconds."""
        since = self.works_since_ms
        return self.done_ms + (0.0 if since is None else at_ms - since)

    def percent(self, at_ms):
        """Returns the progress in percent."""
        if self.step.get("longRunning"):
            return 100 if self.worked_ms(at_ms) > 300 else 0
        share = self.worked_ms(at_ms) / self.step["workMs"]
        return min(100, int(100 * share))


class World:
    """The jobs, and what the workers have done for them.

    Attributes:
        jobs: Submitted jobs by ID: ``steps`` with ``workMs`` in each, and
            what else the client sent.
        more_services: Services to which other configurations send the queue.
        broken: Lines about broken rules.
    """

    def __init__(self, record, *, gang_wait_ms=3000, stop_ms=900):
        self.record = record
        self.gang_wait_ms = gang_wait_ms
        self.stop_ms = stop_ms
        self.jobs = {}
        self.workers = {}
        self.broken = []
        self.ends = {}
        self.noted = set()
        self.more_services = ()

    def fault(self, rule, text):
        """Notes a broken rule."""
        self.broken.append(f"{rule}: {text}")
        self.record(f"BROKEN {rule}: {text}")

    def step_of(self, name):
        """Returns the job and the step of a task's name, None if unknown."""
        job, _, step, index = name.split(".")
        found = self.jobs.get(job)
        if found is None or int(step) >= len(found["steps"]):
            return found, None
        spec = found["steps"][int(step)]
        return found, spec if int(index) < spec.get("count", 1) else None

    def running(self, name):
        """Returns the workers that are up and run a task, with the run."""
        return [
            (worker, worker.runs[name])
            for worker in self.workers.values()
            if worker.up and name in worker.runs
        ]

    def note(self, name):
        """Takes note that a task is done, for a gang of all its tasks."""
        _, step = self.step_of(name)
        prefix = name.rpartition(".")[0]
        members = range(step.get("count", 1)) if step.get("gang") else ()
        self.noted.update({name, *(f"{prefix}.{x}" for x in members)})

    def on_start(self, worker, name, attempt, call):
        """Checks a start that a worker is about to make."""
        job, step = self.step_of(name)
        ident, occurrence, number, _ = name.split(".")
        if step is None:
            self.fault("UNASKED", f"{name} was sent by no client")
            return None
        if call["spec"] != job["spec"]:
            self.fault("UNASKED", f"{name} has another spec")
        checkpoint = call.get("checkpoint", "")
        if checkpoint and checkpoint not in job["saved"].get(
            name if not step.get("gang") else name.rpartition(".")[0], ()
        ):
            self.fault("UNASKED", f"{name}: {checkpoint} isn't the task's")
        if not step.get("speculative"):
            for other, run in self.running(name):
                self.fault(
                    "TWICE",
                    f"{name} attempt {attempt} starts on {worker.name} while "
                    f"attempt {run.attempt} runs on {other.name}",
                )
            if name in self.noted:
                self.fault("TWICE", f"{name} starts after it was done")
        for earlier in step.get("dependsOn", ()):
            for index in range(job["steps"][earlier].get("count", 1)):
                before = f"{ident}.{occurrence}.{earlier}.{index}"
                if "done" not in self.ends.get(before, ()):
                    self.fault("ORDER", f"{name} starts before {before}")
        if job.get("repeats"):
            due = job["firstRunMs"] + int(occurrence) * job["intervalMs"]
            if time.time() * 1000 < due - EARLY_MS:
                self.fault("ORDER", f"{name} starts too early")
        label = step.get("requiredLabel")
        if label and label not in worker.labels:
            self.fault("ROUTE", f"{name} on {worker.name} without {label}")
        if worker.service not in (job["service"], *self.more_services):
            self.fault("ROUTE", f"{name} on {worker.service}")
        most = step.get("maxPerServer")
        prefix = name.rpartition(".")[0] + "."
        beside = sum(x.startswith(prefix) for x in worker.runs)
        if most and beside >= most:
            self.fault("ROUTE", f"{name} on {worker.name}, {beside} beside")
        failed = self.ends.get(name, []).count("failed")
        if failed >= job["maxAttempts"] and not step.get("longRunning"):
            self.fault("BUDGET", f"{name} after {failed} failed runs")
        for unit, size in (("cpu", worker.cpu), ("memMb", worker.mem)):
            used = sum(x.need(unit) for x in map(Need, worker.runs.values()))
            more = (
                0 if unit == "cpu" and step.get("fills") else step.get(unit, 0)
            )
            if used + more > size:
                self.fault(
                    "LIMIT", f"{name} on {worker.name}: {used}+{more} {unit}"
                )
        cancelled = job.get("cancelled_ms")
        if cancelled is not None and now_ms() - cancelled > 3000:
            self.fault("UNASKED", f"{name} starts after its cancelling")
        return step

    def gang_members(self, run):
        """Returns the runs of the gang's attempt that are present."""
        prefix = run.name.rpartition(".")[0] + "."
        return [
            (worker, other)
            for worker in self.workers.values()
            if worker.up
            for other in worker.runs.values()
            if other.attempt == run.attempt and other.name.startswith(prefix)
        ]


class Need:
    """What a run uses of a worker."""

    def __init__(self, run):
        self.run = run

    def need(self, unit):
        """Returns the amount of ``cpu`` or ``memMb``."""
        if unit == "cpu" and self.run.step.get("fills"):
            return 0
        return self.run.step.get(unit, 0)


class Worker:
    """A worker that serves on an address of its own.

    Attributes:
        up: Whether its process runs.
        cut: Whether calls reach it; None, or seconds after which a start is
            carried out without an answer.
    """

    def __init__(
        self,
        world,
        store,
        name,
        *,
        service="svc",
        cpu=16000,
        mem=65536,
        labels=("a", "r1-1"),
        zone="a",
        heartbeat_s=1.5,
        hold_max_ms=6000,
    ):
        self.world = world
        self.store = store
        self.name = name
        self.service = service
        self.cpu = cpu
        self.mem = mem
        self.labels = list(labels)
        self.zone = zone
        self.heartbeat_s = heartbeat_s
        self.hold_max_ms = hold_max_ms
        self.state = "ready"
        self.cut = False
        self.up = False
        self.late = None
        self.runner = None
        self.port = 0
        self.tasks = []
        self.pending = set()
        world.workers[name] = self

    async def start(self):
        """Starts an incarnation, at the same port as the one before."""
        self.born = int(time.time() * 1000)
        self.started_ms = now_ms()
        self.fence = 0
        self.runs = {}
        self.finished = []
        self.count = 0
        self.highest = {}
        self.lease_ms = 0.0
        self.lapsed_count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        app = web.Application()
        for call in ("run-start", "run-stop", "hold", "pace"):
            app.router.add_post(f"/api/{call}", self.serve)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self.runner.setup()
        site = web.TCPSite(
            self.runner, "127.0.0.1", self.port, reuse_address=True
        )
        await site.start()
        self.up = True
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.work()),
        ]

    async def crash(self):
        """Ends at once, with all that it runs; connections are closed."""
        self.up = False
        self.world.record(f"worker {self.name} crashes: {sorted(self.runs)}")
        for task in (*self.tasks, *self.pending):
            task.cancel()
        for handler in list(self.runner.server.connections):
            if handler.transport is not None:
                handler.transport.abort()
        await self.runner.cleanup()
        self.runs = {}

    def clock_ms(self):
        """Returns the worker's own clock."""
        return int(now_ms() - self.started_ms) + 1000

    async def beat(self):
        """Registers the worker in the store at every heartbeat."""
        while True:
            if not self.cut:
                self.sequence += 1
                self.store.register(
                    self.name,
                    {
                        "service": self.service,
                        "address": f"127.0.0.1:{self.port}",
                        "zone": self.zone,
                        "version": "1",
                        "slots": 8,
                        "state": self.state,
                        "coldLeftMs": 0,
                        "sequence": self.sequence,
                        "born": self.born,
                        "capacity": {"cpu": self.cpu, "memMb": self.mem},
                        "labels": self.labels,
                    },
                )
            await asyncio.sleep(self.heartbeat_s)

    def end(self, run, how):
        """Ends a run and lists its end."""
        if self.runs.get(run.name) is not run:
            return
        del self.runs[run.name]
        self.count += 1
        key = run.name
        self.highest[key] = max(self.highest.get(key, 0), run.attempt)
        saved = self.save(run)
        self.finished.append([self.count, run.name, run.attempt, how, saved])
        self.world.ends.setdefault(run.name, []).append(how)
        self.world.record(
            f"end {run.name} attempt {run.attempt} on {self.name}: {how}"
        )
        if run.step.get("gang"):
            self.end_gang(run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_gang(self, run, how):
        """Ends the other members of a gang."""
        for worker, other in self.world.gang_members(run):
            worker.end(other, "done" if how == "done" else "broken")
        if how == "done":
            prefix = run.name.rpartition(".")[0]
            for index in range(run.step.get("count", 1)):
                name = f"{prefix}.{index}"
                if "done" not in self.world.ends.setdefault(name, []):
                    self.world.ends[name].append("done")

    def save(self, run):
        """Returns the checkpoint that a run has reached, or empty."""
        if not run.step.get("checkpointEnabled"):
            return ""
        whole = int(run.worked_ms(now_ms()) // 1000) * 1000
        if whole > run.done_ms or not run.checkpoint:
            if whole <= 0:
                return run.checkpoint
            prefix = run.name.rpartition(".")[0]
            name = prefix if run.step.get("gang") else run.name
            run.checkpoint = f"{secrets.token_hex(4)}/{whole}"
            job = self.world.jobs[run.name.split(".")[0]]
            job["saved"].setdefault(name, set()).add(run.checkpoint)
            run.done_ms = whole
            run.works_since_ms = now_ms()
        return run.checkpoint

    async def work(self):
        """Lets runs end, and the lease expire, until cancelled."""
        while True:
            await asyncio.sleep(0.01 if len(self.runs) < 20 else 0.1)
            self.tick()

    def tick(self):
        """Ends what has to end now."""
        at_ms = now_ms()
        if self.clock_ms() > self.lease_ms:
            if self.runs:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            self.lapsed_count = self.count
        for run in list(self.runs.values()):
            if self.runs.get(run.name) is not run:
                continue
            if run.stop_at_ms is not None and at_ms >= run.stop_at_ms:
                self.end(run, "stopped")
                continue
            if run.works_since_ms is None:
                members = self.world.gang_members(run)
                if len(members) == run.step.get("count", 1):
                    for _, other in members:
                        other.works_since_ms = at_ms
                elif at_ms - run.at_ms > self.world.gang_wait_ms:
                    self.end(run, "alone")
                continue
            fails = run.step.get("fails")
            if fails and fails(run) and run.worked_ms(at_ms) > 200:
                self.end(run, "failed")
            elif run.step.get("longRunning"):
                continue
            elif run.percent(at_ms) >= 100:
                self.end(run, "done")

    async def serve(self, request):
        """Answers a call, late or not at all if the test asks for that."""
        if request.headers.get("Cicadafold-Expect-Instance") != self.name:
            return web.Response(status=421)
        call = await request.json()
        name = request.path.rpartition("/")[2]
        while self.cut:
            await asyncio.sleep(0.05)
        delay_s = self.late(name, call) if self.late else None
        if delay_s is not None:
            self.world.record(f"late {name} on {self.name}: {call}")
            task = asyncio.create_task(self.carry_out(name, call, delay_s))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
            await asyncio.sleep(3600)
        status, body = await getattr(self, name.replace("-", "_"))(call)
        body["clockMs"] = self.clock_ms()
        body["born"] = self.born
        return web.json_response(body, status=status)

    async def carry_out(self, name, call, delay_s):
        """Carries an order out after a delay."""
        await asyncio.sleep(delay_s)
        call.pop("waitMs", None)
        await getattr(self, name.replace("-", "_"))(call)

    def extend(self, deadline_ms):
        """Extends the lease, which never shortens."""
        if self.clock_ms() > self.lease_ms:
            self.tick()
        if deadline_ms is not None:
            longest = self.clock_ms() + self.hold_max_ms
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    async def run_start(self, call):
        """Starts a run, or refuses with 409."""
        name, attempt = call["task"], call["attempt"]
        if call.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = call["fence"]
        known = self.runs.get(name)
        if known is not None and known.attempt == attempt:
            return 200, {}
        if call["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(call["deadlineMs"])
        if known is not None or attempt <= self.highest.get(name, 0):
            return 409, {"reason": "old"}
        step = self.world.on_start(self, name, attempt, call)
        if step is None:
            return 400, {}
        self.world.record(
            f"start {name} attempt {attempt} on {self.name} "
            f"fence {call['fence']}"
        )
        self.runs[name] = Run(name, attempt, call, step, now_ms())
        return 200, {}

    async def run_stop(self, call):
        """Stops a run, and refuses it from now on."""
        name, attempt = call["task"], call["attempt"]
        if call.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = call["fence"]
        self.highest[name] = max(self.highest.get(name, 0), attempt)
        run = self.runs.get(name)
        if run is not None and run.attempt <= attempt:
            if run.stop_at_ms is None:
                self.world.record(f"stop {name} attempt {attempt}")
                run.stop_at_ms = now_ms() + 0.5 * self.world.stop_ms
        return 200, {}

    async def pace(self, call):
        """Takes the pace of a run."""
        if call.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        run = self.runs.get(call["task"])
        if run is not None and run.attempt == call["attempt"]:
            run.paced = call["percent"]
            self.world.record(f"pace {run.name} {run.paced}")
        return 200, {}

    async def hold(self, call):
        """Extends the lease, forgets noted ends and lists the rest."""
        if call.get("fence", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = call["fence"]
        self.extend(call.get("deadlineMs"))
        through = call.get("ackedThrough", 0)
        for number, name, _, how, _ in self.finished:
            if how == "done" and number <= through:
                if number > self.lapsed_count:
                    self.world.note(name)
        self.finished = [row for row in self.finished if row[0] > through]
        wait_s = call.get("waitMs", 0) / 1000
        if wait_s and not self.finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        at_ms = now_ms()
        rows = [
            [run.name, run.attempt, self.save(run), run.percent(at_ms), 0]
            for run in self.runs.values()
        ]
        return 200, {"running": rows, "finished": self.finished[:500]}


def spec_text(value):
    """Returns a job's text from a value."""
    return json.dumps(value)
