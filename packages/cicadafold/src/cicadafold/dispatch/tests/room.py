"""A room of workers in virtual time, for tests of the placer's decisions."""

import heapq
import itertools
import random
import types

from cicadafold import clock
from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import job_table
from cicadafold.dispatch import leases
from cicadafold.dispatch import placing
from cicadafold.dispatch import preempting
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import accounting
from cicadafold.dispatch import worker_events
from cicadafold.jobs import model
from cicadafold.platform import worker_client
from cicadafold.scheduling import estimates
from cicadafold.telemetry import metrics

State = runs.RunState
STEP_MS = 12.0
RESTORE_MS = 200.0
CHECKPOINT_MS = 1000.0


class Room:
    """Workers that run tasks in virtual time, with the real placer.

    A stopped task resumes with the progress that it had when it was stopped.

    Args:
        monkeypatch: Fixture, with which the clock is replaced.
        workers: Number of workers with sixteen cores.
        preempts: Whether the placer preempts.
        seed: Seed of the durations.
        noise: Standard deviation of the logarithm of the durations.
        stop_ms: Milliseconds that a worker takes to stop a task.

    Attributes:
        now_ms: Virtual time.
        finished_ms: Time of completion by job identifier.
        stops: Run attempts that were stopped for another step.
        stop_spread: Share of the time of a stop by which it varies.
        deaf: Whether workers answer no stops.
        allowed: Whether commands may be sent.
    """

    def __init__(
        self,
        monkeypatch,
        *,
        workers,
        preempts=True,
        seed=1,
        noise=0.0,
        stop_ms=250.0,
    ):
        self.now_ms = 1000.0
        monkeypatch.setattr(clock, "monotonic_ms", lambda: self.now_ms)
        monkeypatch.setattr(clock, "wall_ms", lambda: self.now_ms)
        self.random = random.Random(seed)
        self.noise = noise
        self.stop_ms = stop_ms
        self.numbers = itertools.count()
        self.events = []
        self.work_ms = {}
        self.finished_ms = {}
        self.stops = []
        self.stop_spread = 0.0
        self.deaf = False
        self.allowed = True
        self.metrics = metrics.Metrics()
        self.estimates = estimates.DurationEstimates()
        self.jobs = job_table.JobTable(
            journal=types.SimpleNamespace(record_job=lambda job: 0),
            estimates=self.estimates,
            stop_run=self.stop_run,
            metrics=self.metrics,
        )
        self.workers = {}
        self.links = {}
        self.link = None
        for number in range(workers):
            self.add_worker(f"w{number:03}")
        self.crashes = crash_tracking.CrashTracker(
            job_table=self.jobs,
            journal=None,
            first_attempt=0,
            metrics=self.metrics,
        )
        self.handler = worker_events.WorkerEventHandler(
            job_table=self.jobs,
            estimates=self.estimates,
            task_group=None,
            wake=lambda: None,
            step_down=None,
            on_answering_changed=None,
            on_inventory_applied=None,
            unknown_runs=None,
            crashes=self.crashes,
            metrics=self.metrics,
        )
        self.handler.stop_run = self.stop_run
        self.link = types.SimpleNamespace(
            start=self.start, events=self.handler
        )
        self.links = dict.fromkeys(self.workers, self.link)
        self.placer = placing.Placer(
            term=1,
            job_table=self.jobs,
            estimates=self.estimates,
            workers=self.workers,
            links=self.links,
            all_runs_known=lambda pool: True,
            commands_allowed=lambda: self.allowed,
            spawn=run_to_end,
            lease=leases.LeaseTimes(max_lease_ms=6000.0),
            crashes=self.crashes,
            teams=accounting.settled_accounting(),
            metrics=self.metrics,
        )
        self.preempting = preempting.Preempting(
            workers=self.workers,
            estimates=self.estimates,
            reservations=self.placer.reservations,
            make_demand=self.placer.demand,
            stop_run=self.preempt,
            commands_allowed=lambda: self.allowed,
            spawn=run_to_end,
            settings=types.SimpleNamespace(
                stop_ms=1.2 * stop_ms,
                restore_ms=RESTORE_MS,
                checkpoint_ms=CHECKPOINT_MS,
            ),
            metrics=self.metrics,
        )
        if preempts:
            self.placer.preempting = self.preempting

    def add_worker(self, name, *, pool="p", labels=()):
        """Adds a worker that may be used at once, and returns it.

        Args:
            name: Name of the worker.
            pool: Pool of the worker.
            labels: Labels of the worker.
        """
        report = model.WorkerReport(
            id=name,
            pool=pool,
            address="127.0.0.1:1",
            domain="d",
            draining=False,
            remaining_ms=0,
            born_ms=1,
            capacity=model.Resources(16000, 64000, 0),
            labels=labels,
            sequence=1,
        )
        worker = runs.Worker(report=report, now_ms=self.now_ms)
        worker.fenced = True
        worker.closed_to_starts = False
        worker.clock.update(0, at_ms=self.now_ms)
        self.workers[name] = worker
        self.links[name] = self.link
        return worker

    def submit(self, name, rule, **fields):
        """Adds a job of one step and returns its state."""
        step = model.StepSpec(**fields)
        spec = model.JobSpec(
            id=name,
            rule=rule,
            payload="",
            steps=(step,),
            accepted_ms=int(self.now_ms),
        )
        return self.jobs.add(spec)

    def true_ms(self, task):
        """Returns how long a task runs on any worker, in milliseconds."""
        unit = task.unit
        if unit not in self.work_ms:
            factor = self.random.lognormvariate(0.0, self.noise)
            self.work_ms[unit] = task.step.spec.estimate_ms * factor
        return self.work_ms[unit]

    async def start(self, run, command):
        """Accepts a start command, and plans the end of the task."""
        run.state = State.RUNNING
        run.answered_ms = self.now_ms
        task = run.task
        left_ms = self.true_ms(task) * (1 - task.saved_percent / 100)
        if command.checkpoint:
            left_ms += RESTORE_MS
        self.at(left_ms, self.end, run, model.EndKind.DONE)
        return worker_client.CommandResult.ACCEPTED

    def at(self, in_ms, function, *arguments):
        """Calls a function after some virtual time."""
        at_ms = self.now_ms + in_ms
        number = next(self.numbers)
        heapq.heappush(self.events, (at_ms, number, function, arguments))

    def stop_run(self, run):
        """Tells a worker to stop a run attempt."""
        run.stop_requested = True
        if not self.deaf:
            share = 1 - self.random.random() * self.stop_spread
            in_ms = self.stop_ms * share
            self.at(in_ms, self.end, run, model.EndKind.STOPPED)

    def preempt(self, run):
        """Stops a run attempt for another step."""
        self.stops.append(run)
        self.stop_run(run)

    def end(self, run, kind):
        """Ends a run attempt, unless it has ended."""
        worker = run.worker
        if worker.runs.get(run.key) is not run:
            return
        checkpoint = ""
        if kind is model.EndKind.STOPPED and run.task.step.spec.checkpoints:
            ran_ms = self.now_ms - run.started_ms - self.stop_ms
            run.percent = min(
                99.0,
                run.task.saved_percent
                + max(0.0, ran_ms) / self.true_ms(run.task) * 100,
            )
            checkpoint = f"{run.attempt}"
        end = model.EndReport(0, run.name, run.attempt, kind, checkpoint)
        job = run.task.job
        self.handler.on_end(worker, end, run)
        worker.remove(run)
        if job.state.final:
            self.finished_ms.setdefault(job.spec.id, self.now_ms)

    def play(self, for_ms, until=None):
        """Lets time pass, with a placement pass in each step of it.

        Args:
            for_ms: Virtual time to play in milliseconds.
            until: Function that ends the play once it returns true.
        """
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            while self.events and self.events[0][0] <= self.now_ms:
                _, _, function, arguments = heapq.heappop(self.events)
                function(*arguments)
            self.report_progress()
            if self.allowed:
                self.placer.place_waiting_steps()
            if until is not None and until():
                return

    def report_progress(self):
        """Lets the workers report the progress of their tasks."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                ran_ms = self.now_ms - run.started_ms
                share = ran_ms / self.true_ms(run.task) * 100
                saved = run.task.saved_percent
                run.percent = min(99.0, max(saved, saved + share))


def run_to_end(coroutine):
    """Runs a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


def rule(name, *, priority, target_ms, stretch=0.0, advice=None, pool="p"):
    """Returns the rule of a queue, by default in the pool of the room."""
    return model.QueueRule(
        name=name,
        authority="a",
        prefix="/",
        pool=pool,
        priority=priority,
        max_failures=3,
        stretch=stretch,
        target_ms=target_ms,
        advice=advice,
    )


ADVICE = model.AdviceCost(20.0, 1.0, 5000.0)
URGENT = rule("urgent", priority=0, target_ms=1400.0)
MEDIUM = rule("medium", priority=2, target_ms=22000.0)
WIDE = rule("wide", priority=2, target_ms=12000.0)
