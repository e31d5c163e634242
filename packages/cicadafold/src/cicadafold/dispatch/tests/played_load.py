"""Plays a load of jobs on the real placer, in virtual time."""

import heapq
import itertools
import statistics
import types
import typing

from cicadafold import clock
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import accounting
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.scheduling import estimates
from cicadafold.scheduling import locality
from cicadafold.scheduling import ranking
from cicadafold.scheduling import speeds
from cicadafold.telemetry import metrics

__all__ = ["Arrival", "PlayedCell", "mean_ms", "share_in_time"]

PASS_PAUSE_MS = 1000.0 * placing.PASS_PAUSE_S
IDLE_PASS_MS = 1000.0 * placing.IDLE_PASS_S
# Time between two reports of the workers on the progress of their tasks.
REPORT_MS = 200.0
# One task in thirty takes seven times as long.
LONG_TASK_SHARE = 1 / 30
LONG_TASK_FACTOR = 7.0
# A worker that turns slow runs its tasks at a sixth of its speed.
SLOWED = 1 / 6


class Arrival(typing.NamedTuple):
    """A job that is submitted.

    Attributes:
        at_ms: Time after the start of the play, in milliseconds.
        spec: ``JobSpec``.
        true_ms: True durations of the tasks near, in milliseconds, by step.
    """

    at_ms: float
    spec: model.JobSpec
    true_ms: tuple


class Execution:
    """True progress of a run attempt.

    Attributes:
        run: Run attempt.
        work_ms: Time that it takes at speed 1, in milliseconds.
        done_ms: Part of it that is done.
        end_ms: Virtual time of its end, or of its gang.
    """

    def __init__(self, run, work_ms):
        self.run = run
        self.work_ms = work_ms
        self.done_ms = 0.0
        self.end_ms = None


class PlayedCell:
    """Workers with true speeds, and jobs whose true durations are unknown.

    Args:
        racks: Number of racks.
        workers_per_rack: Number of workers in each.
        cores: Number of cores of each worker.
        far_factor: Factor on the duration of a task elsewhere.
        monkeypatch: Fixture with which the clock is replaced.

    Attributes:
        now_ms: Virtual time in milliseconds.
        placer: Placer that is tested.
        true_speeds: True speed by name of the worker.
        ended: Pairs of an ended job and the time that it took, in ms.
    """

    def __init__(
        self, *, racks, workers_per_rack, cores, far_factor, monkeypatch
    ):
        self.far_factor = far_factor
        # Monotonic times are never near 0 in practice.
        self.now_ms = 100_000.0
        self.events = []
        self.order = itertools.count()
        self.pass_at_ms = None
        self.running = {}
        self.advanced_ms = self.now_ms
        self.true_ms = {}
        self.ended = []
        monkeypatch.setattr(clock, "monotonic_ms", lambda: self.now_ms)
        self.workers = {
            f"w{rack}-{number}": self.make_worker(rack, number, cores)
            for rack in range(racks)
            for number in range(workers_per_rack)
        }
        self.true_speeds = dict.fromkeys(self.workers, 1.0)
        self.estimates = estimates.DurationEstimates()
        self.estimates.far_factor = far_factor
        self.active = {}
        self.metrics = metrics.Metrics()
        self.placer = placing.Placer(
            term=1,
            job_table=types.SimpleNamespace(active=self.active),
            estimates=self.estimates,
            workers=self.workers,
            links={},
            all_runs_known=lambda pool: True,
            commands_allowed=lambda: True,
            spawn=self.on_start,
            lease=None,
            crashes=types.SimpleNamespace(settle_doubtful=lambda tasks: None),
            teams=accounting.settled_accounting(),
            metrics=self.metrics,
        )
        self.placer.start = lambda run, ticket: run

    def make_worker(self, rack, number, cores):
        """Returns a worker that may be given tasks."""
        report = model.WorkerReport(
            id=f"w{rack}-{number}",
            pool="p",
            address="",
            domain="d",
            draining=False,
            remaining_ms=0,
            born_ms=1,
            capacity=model.Resources(1000 * cores, 64_000, 0),
            labels=(f"r{rack}-0",),
            sequence=1,
        )
        worker = runs.Worker(report=report, now_ms=self.now_ms)
        worker.fenced = True
        worker.closed_to_starts = False
        return worker

    def at(self, at_ms, function, *arguments):
        """Calls a function at a virtual time in milliseconds."""
        item = (at_ms, next(self.order), function, arguments)
        heapq.heappush(self.events, item)

    def load(self, arrivals):
        """Submits jobs at their times, and reports progress meanwhile."""
        for arrival in arrivals:
            self.at(self.now_ms + arrival.at_ms, self.submit, arrival)
        until_ms = self.now_ms + arrivals[-1].at_ms
        self.at(self.now_ms, self.report_progress, until_ms)

    def submit(self, arrival):
        """Adds a job now."""
        spec = arrival.spec
        job = runtime_state.Job(
            spec=spec, arrived_ms=self.now_ms, wall_offset_ms=0.0
        )
        job.objective_ms = ranking.objective_ms(
            spec.rule,
            estimates.critical_path_ms(spec.steps, lambda x: x.estimate_ms),
        )
        self.true_ms[spec.id] = arrival.true_ms
        self.active[spec.id] = job
        self.request_pass()

    def request_pass(self, pause_ms=PASS_PAUSE_MS):
        """Lets the placer make a pass after a pause, or earlier."""
        at_ms = self.now_ms + pause_ms
        if self.pass_at_ms is None or at_ms < self.pass_at_ms:
            self.pass_at_ms = at_ms
            self.at(at_ms, self.make_pass, at_ms)

    def make_pass(self, at_ms):
        """Makes a pass, and requests the next one while tasks wait."""
        if at_ms != self.pass_at_ms:
            return
        self.pass_at_ms = None
        self.placer.place_waiting_steps()
        if self.active:
            self.request_pass(IDLE_PASS_MS)

    def on_start(self, run):
        """Computes when a run attempt ends, once its gang is complete."""
        step = run.task.step
        run.state = runs.RunState.RUNNING
        spec = step.spec
        group = [run]
        if spec.gang:
            group = [r for task in step.tasks for r in task.runs]
            if any(r.state is not runs.RunState.RUNNING for r in group):
                return
        self.advance()
        racks = {r.worker.rack for r in group}
        group = [Execution(r, self.work_ms(r, racks)) for r in group]
        self.running[run.key] = group
        self.schedule_end(run.key)

    def work_ms(self, run, racks):
        """Returns how long a run attempt takes at speed 1, in ms."""
        name = run.name
        near_ms = self.true_ms[name.job][name.step][name.index]
        far = locality.is_far(run.task.step.spec, run.worker.rack, racks)
        return near_ms * (self.far_factor if far else 1.0)

    def schedule_end(self, key):
        """Schedules the end of a run attempt or gang at present speeds."""
        group = self.running[key]
        left_ms = max(
            (one.work_ms - one.done_ms) / self.speed_of(one.run)
            for one in group
        )
        end_ms = group[0].end_ms = self.now_ms + left_ms
        self.at(end_ms, self.end_group, key, end_ms)

    def speed_of(self, run):
        """Returns the true speed of a run attempt's worker."""
        return self.true_speeds[run.worker.report.id]

    def advance(self):
        """Advances the progress of all run attempts to the present."""
        passed_ms = self.now_ms - self.advanced_ms
        self.advanced_ms = self.now_ms
        for group in self.running.values():
            for one in group:
                one.done_ms += passed_ms * self.speed_of(one.run)

    def set_speed(self, name, speed):
        """Changes the true speed of a worker."""
        self.advance()
        self.true_speeds[name] = speed
        for key, group in self.running.items():
            if any(one.run.worker.report.id == name for one in group):
                self.schedule_end(key)

    def end_group(self, key, end_ms):
        """Ends a run attempt or gang, unless its end was moved."""
        group = self.running.get(key)
        if group is None or group[0].end_ms != end_ms:
            return
        del self.running[key]
        for one in group:
            run = one.run
            factor = self.estimates.run_factor(run)
            ran_ms = self.now_ms - run.started_ms
            self.estimates.record_duration(
                run.task.job.spec.queue, ran_ms / factor
            )
        for one in group:
            one.run.worker.remove(one.run)
            one.run.task.step.mark_done(one.run.task)
        job = run.task.job
        if all(step.done for step in job.steps[0]):
            del self.active[job.spec.id]
            job.state = model.JobState.COMPLETED
            self.ended.append((job, self.now_ms - job.arrived_ms))
        self.request_pass()

    def report_progress(self, until_ms):
        """Reports progress, from which speeds are measured, periodically."""
        self.advance()
        for group in self.running.values():
            for one in group:
                self.report_run(one)
        measured = {
            name: worker.speed_meter.speed(self.now_ms)
            for name, worker in self.workers.items()
        }
        for name, speed in speeds.relative_speeds(measured).items():
            self.workers[name].speed = speed
        if self.now_ms < until_ms or self.active:
            self.at(self.now_ms + REPORT_MS, self.report_progress, until_ms)

    def report_run(self, one):
        """Reports the progress of one run attempt."""
        run = one.run
        percent = min(100.0, 100.0 * one.done_ms / one.work_ms)
        if not run.task.step.spec.gang and run.percent:
            gained = (percent - run.percent) / 100.0
            expected_ms = self.estimates.run_duration_ms(run)
            run.worker.speed_meter.record_rate(
                run.name.job, gained * expected_ms / REPORT_MS, self.now_ms
            )
        run.percent = percent

    def play(self, limit_ms=1e9):
        """Plays all events; raises ``AssertionError`` if jobs never end."""
        end_ms = self.now_ms + limit_ms
        while self.events and self.now_ms < end_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        assert not self.active


def mean_ms(ended):
    """Returns the mean time that the jobs took, in milliseconds."""
    return statistics.fmean(took_ms for _, took_ms in ended)


def share_in_time(ended):
    """Returns the share of the jobs that met their objective."""
    return statistics.fmean(
        took_ms <= job.objective_ms for job, took_ms in ended
    )
