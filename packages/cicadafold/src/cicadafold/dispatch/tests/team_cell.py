"""A cell without a network, for tests of the caps of teams.

The scheduler's components are the real ones. Workers are kept as what they
really run, apart from what the scheduler believes, so that the tests can
compare the two.
"""

import types

import msgspec

from cicadafold import clock
from cicadafold.dispatch import crash_tracking
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import job_table
from cicadafold.dispatch import leases
from cicadafold.dispatch import placing
from cicadafold.dispatch import runs
from cicadafold.dispatch import team_accounting
from cicadafold.dispatch import unknown_job_runs
from cicadafold.dispatch import worker_events
from cicadafold.dispatch import worker_link
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import records
from cicadafold.platform import worker_client
from cicadafold.scheduling import estimates
from cicadafold.teams import model as team_model
from cicadafold.teams import usage
from cicadafold.telemetry import containment
from cicadafold.telemetry import metrics

__all__ = ["POOL", "Cell", "RealWorker", "Term", "configuration"]

POOL = "p"
RULE = model.QueueRule(
    name="q",
    authority="a",
    prefix="/q/",
    pool=POOL,
    priority=1,
    max_failures=9,
    target_ms=1000.0,
)
URGENT = msgspec.structs.replace(RULE, name="u", prefix="/u/", priority=0)
LEASE = leases.LeaseTimes(max_lease_ms=6000.0)


def configuration(teams, version=1):
    """Returns a configuration.

    Args:
        teams: Caps in thousandths of a core by name of the team.
        version: Version number.
    """
    return model.Configuration(
        version=version,
        queues={RULE.name: RULE, URGENT.name: URGENT},
        pools={POOL: model.PoolRule(name=POOL)},
        max_body_bytes=1000,
        teams={
            name: team_model.TeamRule(name=name, cap=model.Resources(cap))
            for name, cap in teams.items()
        },
    )


class RealWorker:
    """What a worker runs, whatever the scheduler believes.

    Times are the cell's, in milliseconds.

    Attributes:
        name: Name of the worker.
        capacity: Its capacity.
        born_ms: Start of its incarnation, as a number.
        running: Specification of the job by task name and attempt.
        ends: End reports that are not acknowledged.
        end_number: Number of the newest end.
        late: Start commands that are under way, by task name and attempt:
            their job's specification and when they were sent.
        lease_ends_ms: Time at which it stops all tasks.
        reachable: Whether it answers.
        fence: Highest term that has reached this incarnation.
    """

    def __init__(self, name, cores_milli):
        self.name = name
        self.capacity = model.Resources(cores_milli, 64_000, 0)
        self.born_ms = 1
        self.running = {}
        self.ends = []
        self.end_number = 0
        self.late = {}
        self.lease_ends_ms = 0.0
        self.reachable = True
        self.fence = 0

    @property
    def report(self):
        """Its report in the registry."""
        return model.WorkerReport(
            id=self.name,
            pool=POOL,
            address="127.0.0.1:1",
            domain="d",
            draining=False,
            remaining_ms=0,
            born_ms=self.born_ms,
            capacity=self.capacity,
            labels=("r1-1",),
            sequence=1,
        )

    def restart(self):
        """Restarts; what it ran is gone, late starts may still arrive."""
        self.running = {}
        self.ends = []
        self.end_number = 0
        self.born_ms += 1
        self.fence = 0

    def end(self, key, kind=model.EndKind.DONE):
        """Ends a run attempt."""
        del self.running[key]
        self.end_number += 1
        self.ends.append(
            model.EndReport(self.end_number, key[0], key[1], kind, "")
        )

    def inventory(self, now_ms):
        """Returns its inventory."""
        running = [
            model.RunReport(name, attempt, "", 0.0, 0.0)
            for name, attempt in self.running
        ]
        return worker_client.Inventory(
            round(now_ms), self.born_ms, running, list(self.ends)
        )


class Journal:
    """Journal in which every record is durable at once."""

    durable_batch = 1

    def record_job(self, job):
        """Returns the number of the batch of a job's record."""
        return 1


class Term:
    """The components of one term that start tasks and count usage.

    Args:
        cell: ``Cell``.
        number: Number of the term.
        overage: Share of its cap by which a gang may exceed it.

    Attributes:
        placer: ``Placer``.
        teams: ``TeamAccounting``.
        started: Run attempts of the newest pass, in order of their start.
    """

    def __init__(self, *, cell, number, overage):
        self.number = number
        self.cell = cell
        self.workers = {}
        self.links = {}
        self.started = []
        self.metrics = metrics.Metrics()
        self.containment = containment.Containment(metrics=self.metrics)
        self.journal = Journal()
        self.estimates = estimates.DurationEstimates()
        self.usage = usage.TeamUsage()
        self.job_table = job_table.JobTable(
            journal=self.journal,
            estimates=self.estimates,
            stop_run=lambda run: self.events.stop_run(run),
            metrics=self.metrics,
        )
        self.crashes = crash_tracking.CrashTracker(
            job_table=self.job_table,
            journal=self.journal,
            first_attempt=(number - 1) * placing.ATTEMPTS_PER_TERM,
            metrics=self.metrics,
        )
        self.inherited_runs = inherited_runs.InheritedRuns(
            workers=self.workers,
            store=types.SimpleNamespace(last_failed_ms=-1e9),
            term_started_ms=clock.monotonic_ms(),
            horizon_ms=LEASE.lease_ms,
            crashes=self.crashes,
        )
        self.teams = team_accounting.TeamAccounting(
            usage=self.usage,
            cap_overage=overage,
            workers=self.workers,
            inherited_runs=self.inherited_runs,
            job_table=self.job_table,
            estimates=self.estimates,
            metrics=self.metrics,
        )
        self.create_events()

    def create_events(self):
        """Creates the event handler and the placer."""
        self.events = worker_events.WorkerEventHandler(
            job_table=self.job_table,
            estimates=self.estimates,
            task_group=types.SimpleNamespace(
                create_task=lambda coroutine: coroutine.close()
            ),
            wake=lambda: None,
            step_down=lambda reason: None,
            on_answering_changed=self.on_answering_changed,
            on_inventory_applied=self.inherited_runs.on_inventory_applied,
            unknown_runs=unknown_job_runs.UnknownJobRuns(
                has_read_up_to=lambda time_ms: self.cell.all_read
            ),
            crashes=self.crashes,
            metrics=self.metrics,
        )
        self.events.links = self.links
        self.placer = placing.Placer(
            term=self.number,
            job_table=self.job_table,
            estimates=self.estimates,
            workers=self.workers,
            links=self.links,
            all_runs_known=self.inherited_runs.all_runs_known,
            commands_allowed=lambda: True,
            spawn=lambda coroutine: coroutine.close(),
            lease=LEASE,
            crashes=self.crashes,
            teams=self.teams,
            metrics=self.metrics,
        )
        self.placer.log_start = lambda *arguments: None

    def configure(self, newest):
        """Takes over a configuration."""
        self.job_table.configure(newest)
        self.teams.on_configuration(newest)

    def on_answering_changed(self, worker, *, answers):
        """Passes on that a worker answers again."""
        if answers:
            self.inherited_runs.on_worker_answered(worker)

    def add_worker(self, real, *, is_open=True):
        """Adds a worker that the registry lists."""
        worker = runs.Worker(
            report=real.report,
            now_ms=clock.monotonic_ms(),
            team_usage=self.usage,
        )
        worker.closed_to_starts = not is_open
        self.workers[real.name] = worker
        link = worker_link.WorkerLink(
            worker=worker,
            client=None,
            lease=LEASE,
            events=self.events,
            journal=self.journal,
            containment=self.containment,
        )
        self.links[real.name] = link

    def record_workers(self):
        """Returns the workers as the next term reads them."""
        listed = self.inherited_runs.worker_records()
        for known in listed:
            worker = self.workers[known.report.id]
            worker.closed_to_starts = known.tasks is not None
        return records.KnownWorkers(self.number, 1, listed)

    def make_pass(self):
        """Makes a pass over the waiting steps.

        Returns:
            Run attempts that it started.
        """
        before = {
            id(run) for w in self.workers.values() for run in w.runs.values()
        }
        self.placer.place_waiting_steps()
        started = [
            run
            for worker in self.workers.values()
            for run in worker.runs.values()
            if id(run) not in before
        ]
        for run in started:
            # The start command grants a lease, as ``Placer.start`` does.
            run.worker.extend_lease(LEASE.lease_ms, clock.monotonic_ms())
        return started


class Cell:
    """Workers, jobs and the newest term.

    Args:
        caps: Caps in thousandths of a core by name of the team.
        workers: Cores of each worker, in thousandths.
        overage: Share of its cap by which a gang may exceed it.

    Attributes:
        now_ms: Monotonic time; the tests replace the clock with it.
        workers: ``RealWorker`` by name.
        specs: Specification of each job that was accepted, by identifier.
        all_read: Whether the term has read all job records.
        term: Newest ``Term``.
        known_workers: Newest record of the workers.
    """

    def __init__(self, *, caps, workers, overage=0.1):
        self.now_ms = 1_000_000.0
        self.overage = overage
        self.newest = configuration(caps)
        self.workers = {
            f"w{number}": RealWorker(f"w{number}", cores)
            for number, cores in enumerate(workers)
        }
        self.specs = {}
        self.all_read = True
        self.known_workers = None
        self.term = None

    def start_first_term(self):
        """Starts the first term, whose workers have all answered."""
        self.term = Term(cell=self, number=1, overage=self.overage)
        self.term.configure(self.newest)
        for real in self.workers.values():
            self.term.add_worker(real)
        for name in self.workers:
            self.renew(name)
        self.known_workers = self.term.record_workers()

    def take_over(self, *, unread=()):
        """Replaces the scheduler by one that has heard of no worker yet.

        Args:
            unread: Identifiers of jobs that it has not read yet.
        """
        old = self.term
        self.term = term = Term(
            cell=self, number=old.number + 1, overage=self.overage
        )
        term.configure(self.newest)
        for job, spec in self.specs.items():
            if job in unread:
                continue
            known = old.job_table.jobs.get(job)
            if known is None:
                term.job_table.add(spec, inherited=True)
                continue
            progress = records.progress_record(
                known, term=old.number, version=1
            )
            if known.state.final:
                # The specification of an ended job is dropped.
                term.job_table.restore_ended(job, progress)
            else:
                term.job_table.restore(spec, progress, cancelled=False)
        term.inherited_runs.load(self.known_workers, term.job_table)
        open_names = term.inherited_runs.open_names
        for real in self.workers.values():
            term.add_worker(real, is_open=real.name in open_names)

    def submit(self, team, *, tasks=1, cores=1000, urgent=False, **step):
        """Accepts a job of one step and returns it.

        Args:
            team: Name of its team.
            tasks: Number of tasks.
            cores: Thousandths of a core that each needs.
            urgent: Whether it has priority 0.
            **step: Further attributes of the step.
        """
        rule = self.newest.teams.get(team) or team_model.TeamRule(
            name=team, cap=model.Resources(1)
        )
        spec = model.JobSpec(
            id=f"{len(self.specs):016x}",
            rule=URGENT if urgent else RULE,
            payload="",
            steps=(
                model.StepSpec(
                    tasks=tasks,
                    need=model.Resources(cores),
                    **({"estimate_ms": 1000} | step),
                ),
            ),
            accepted_ms=0,
            team=rule,
        )
        self.specs[spec.id] = spec
        return self.term.job_table.add(spec, max_age_ms=0.0)

    def read(self, job_id):
        """Lets the term read the record of a job that it does not know."""
        if job_id not in self.term.job_table.jobs:
            self.term.job_table.add(self.specs[job_id], inherited=True)
            self.term.events.on_job_known(job_id)

    def execute(self, run):
        """Lets a worker execute the start command of a run attempt."""
        real = self.workers[run.worker.report.id]
        real.running[run.key] = self.specs[run.name.job]
        real.lease_ends_ms = self.now_ms + LEASE.lease_ms

    def accept(self, run):
        """Lets a worker execute a start command and answer it."""
        self.execute(run)
        run.state = runs.RunState.RUNNING
        run.answered_ms = self.now_ms

    def lose_answer(self, run):
        """Leaves a start command without an answer."""
        link = self.term.links[run.worker.report.id]
        link.on_unconfirmed_start(
            run, exception.TargetUnreachable(message="", sent=True)
        )

    def renew(self, name, *, acknowledge=True):
        """Renews the lease of a worker and applies its inventory."""
        real = self.workers[name]
        link = self.term.links[name]
        sent_ms = self.now_ms
        self.now_ms += 1.0
        real.fence = self.term.number
        if link.worker.clock.updated_ms is not None:
            real.lease_ends_ms = self.now_ms + LEASE.lease_ms
            link.worker.extend_lease(LEASE.lease_ms, sent_ms)
        link.on_inventory(real.inventory(self.now_ms), sent_ms)
        if acknowledge and not link.ends_deferred:
            real.ends = []

    def miss(self, name):
        """Leaves a renewal of a worker without an answer.

        It was to extend the lease, unless the worker is silent, as in
        ``WorkerLink.renew``.
        """
        worker = self.term.workers[name]
        if worker.silent_since_ms is None and worker.clock.updated_ms:
            worker.extend_lease(LEASE.lease_ms, self.now_ms)
        self.term.links[name].on_no_answer(
            exception.TargetUnreachable(message="", sent=True)
        )

    def pass_time(self, duration_ms):
        """Lets time pass; workers whose lease ends stop their tasks."""
        self.now_ms += duration_ms
        for real in self.workers.values():
            if self.now_ms >= real.lease_ends_ms:
                for key in list(real.running):
                    real.end(key, model.EndKind.LEASE_EXPIRED)

    def used(self, team):
        """Returns the thousandths of a core that a team really uses."""
        return sum(
            spec.steps[name.step].need.cores_milli
            for real in self.workers.values()
            for (name, _), spec in real.running.items()
            if spec.team.name == team
        )
