"""One term of the scheduler: recovery first, then orders."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import advising
from cicadafold.dispatch import dropping
from cicadafold.dispatch import ends
from cicadafold.dispatch import inheritance
from cicadafold.dispatch import job_table
from cicadafold.dispatch import pacing
from cicadafold.dispatch import placing
from cicadafold.dispatch import registry_tail
from cicadafold.dispatch import runs
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_link
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import accepting
from cicadafold.journal import progress as progress_module
from cicadafold.journal import reading
from cicadafold.peers import messages
from cicadafold.scheduling import estimates
from cicadafold.telemetry import logs

__all__ = ["Term", "TermEnded"]

# A worker that left the registry while it answers is used this long.
UNLISTED_GRACE_S = 2.3
STEADY_TAIL_S = 1.6
# A recovery that takes longer is left to another process.
RECOVERY_MS = 2500.0
STORE_LOOK_S = 0.1
RECORD_WORKERS_S = 0.2
# Hosts follow a new term within this time.
INHERITED_MS = 2000.0
# Covers the time of the question to the peer.
SERVED_MARGIN_MS = 120.0
# A term moves only to a host that is stronger by this factor, and not
# before it has lasted a while.
STRONGER_FACTOR = 1.5
CALM_MS = 1000.0

LOG = logs.get_logger("term")


class TermEnded(Exception):
    """The term is over; the message says why."""


class Term:
    """Everything that one term of the scheduler holds.

    Args:
        number: The term; also the fence at workers and in the journal.
        store: Client of the store.
        registry: Reader of the registry of workers.
        make_calls: Function that returns the client of a worker.
        advice_lines: Function that returns the lines to other processes.
        configuration: Holder of the newest configuration.
        longest_lease_ms: Longest lease that a worker grants.
        status_s: Seconds for which the state of an ended job is kept.
        uses_advice: Whether there is an advice service.
        strength: How well this host can carry a scheduler.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        *,
        number,
        store,
        registry,
        make_calls,
        advice_lines,
        configuration,
        longest_lease_ms,
        status_s,
        uses_advice,
        strength,
        metrics,
    ):
        self.number = number
        self.store = store
        self.make_calls = make_calls
        self.configuration = configuration
        self.status_s = status_s
        self.uses_advice = uses_advice
        self.strength = strength
        self.advice_lines = advice_lines
        self.metrics = metrics
        self.lease = worker_link.LeaseTimes(longest_ms=longest_lease_ms)
        self.begun_ms = clock.monotonic_ms()
        self.workers = {}
        self.links = {}
        self.tails = []
        self.journal_state = None
        self.ready = False
        self.over = asyncio.Event()
        self.reason = ""
        self.learned = estimates.Estimates()
        self.group = None
        self.workers_changed = False
        self.inheritance = inheritance.Inheritance(
            workers=self.workers,
            store=store,
            begun_ms=self.begun_ms,
            lease_ms=self.lease.lease_ms,
        )
        self.journal = progress_module.ProgressWriter(
            store=store,
            term=number,
            metrics=metrics,
            on_durable=self.on_durable,
        )
        self.dropper = dropping.RecordDropper(
            store=store, journal=self.journal, status_s=status_s
        )
        self.table = job_table.JobTable(
            journal=self.journal,
            learned=self.learned,
            stop_run=lambda run: self.events.stop_run(run),
            metrics=metrics,
        )
        self.registry = registry_tail.RegistryTail(
            source=registry,
            on_report=self.on_report,
            on_gone=self.on_gone,
        )

    def on_durable(self, jobs):
        """Shows the states that are recorded now."""
        self.table.on_durable(jobs)
        for job in jobs:
            if job.state.final:
                self.dropper.add(job.spec.id)

    def step_down(self, reason):
        """Ends the term for good."""
        if not self.over.is_set():
            self.reason = reason
            self.over.set()

    async def run(self):
        """Runs the term until a later one begins.

        Raises:
            TermEnded: The term is over.
        """
        LOG.info("The term begins.", fields={"term": self.number})
        try:
            async with asyncio.TaskGroup() as group:
                self.group = group
                self.build()
                group.create_task(self.until_over())
                group.create_task(self.serve())
        except* TermEnded as ended:
            LOG.info(
                "The term ends: %s.",
                ended.exceptions[0],
                fields={"term": self.number},
            )
        finally:
            self.ready = False
            for link in self.links.values():
                link.closed = True

    def build(self):
        """Makes the parts that need the task group."""
        self.events = ends.WorkerEvents(
            table=self.table,
            learned=self.learned,
            group=self.group,
            wake=lambda: self.placer.wake(),
            step_down=self.step_down,
            on_workers=self.on_workers,
            metrics=self.metrics,
        )
        self.events.links = self.links
        self.placer = placing.Placer(
            term=self.number,
            table=self.table,
            learned=self.learned,
            workers=self.workers,
            links=self.links,
            settled=self.inheritance.settled,
            spawn=self.group.create_task,
            lease=self.lease,
            metrics=self.metrics,
        )
        if self.uses_advice:
            self.placer.desk = advising.AdviceDesk(
                lines=self.advice_lines,
                spawn=self.group.create_task,
                wake=self.placer.wake,
                learn=self.placer.learn_permitted,
                metrics=self.metrics,
            )
        self.watcher = watching.Watcher(
            workers=self.workers,
            table=self.table,
            events=self.events,
        )

    async def until_over(self):
        """Ends the task group when the term is over."""
        await self.over.wait()
        raise TermEnded(self.reason)

    async def serve(self):
        """Recovers what earlier terms left, then gives orders."""
        spawn = self.group.create_task
        spawn(self.registry.run())
        spawn(self.watch_store())
        try:
            await progress_module.fence_partitions(self.store, self.number)
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error
        state = await reading.read_journal(self.store)
        self.journal_state = state
        self.table.rules = self.configuration.rules()
        self.restore(state)
        spawn(self.write_progress())
        for partition in range(accepting.PARTITIONS):
            tail = reading.JobsTail(
                store=self.store,
                partition=partition,
                state=state,
                on_job=self.on_job,
            )
            self.tails.append(tail)
            spawn(tail.run())
        await self.registry.ready.wait()
        self.add_recorded_workers()
        spawn(self.record_workers())
        for link in self.links.values():
            spawn(link.run())
        self.ready = True
        spawn(self.placer.run())
        spawn(self.watcher.run())
        spawn(self.dropper.run())
        spawn(pacing.Pacer(workers=self.workers, links=self.links).run())
        LOG.info(
            "The term gives orders.",
            fields={
                "term": self.number,
                "jobs": len(self.table.jobs),
                "active": len(self.table.active),
                "workers": len(self.workers),
                "took_ms": round(clock.monotonic_ms() - self.begun_ms),
            },
        )

    def restore(self, state):
        """Takes the jobs of the journal."""
        for job, spec in state.specs.items():
            self.table.restore(
                spec, state.progress.get(job), cancelled=job in state.cancelled
            )
        for job, progress in state.progress.items():
            if job not in state.specs:
                self.table.restore_ended(job, progress)
        self.dropper.homes = state.homes

    def add_recorded_workers(self):
        """Takes workers of the last term that the registry has lost.

        They may run tasks; they get no new ones until they are listed.
        """
        recorded = self.journal_state.workers
        self.inheritance.take(recorded, self.table)
        for known in recorded.workers if recorded else ():
            if known.report.id not in self.workers:
                self.on_report(known.report)
                self.workers[known.report.id].listed = False

    async def record_workers(self):
        """Records the workers whenever they have changed."""
        while True:
            self.drop_gone()
            if self.workers_changed:
                self.workers_changed = False
                self.journal.note_workers(self.inheritance.record())
            await asyncio.sleep(RECORD_WORKERS_S)

    def drop_gone(self):
        """Forgets workers that have left and whose leases are over."""
        for name, worker in list(self.workers.items()):
            if worker.lapsed and not worker.listed:
                LOG.info("A worker is forgotten.", fields={"worker": name})
                self.links.pop(name).closed = True
                del self.workers[name]
                self.workers_changed = True

    def on_workers(self, worker, *, answers):
        """Notes that a worker fell silent, or answers."""
        if answers:
            self.inheritance.answered(worker.report.id)
        self.workers_changed = True

    async def watch_store(self):
        """Hands over when the store serves a peer but not this process."""
        while True:
            await asyncio.sleep(STORE_LOOK_S)
            reason = "the store does not serve this process"
            if self.store.failing:
                peer = await self.find_successor()
            else:
                reason = "a much stronger host takes over"
                peer = await self.find_stronger()
            if peer is None:
                continue
            LOG.warning(
                "The term is handed to a peer.",
                fields={
                    "term": self.number,
                    "peer": peer.member,
                    "reason": reason,
                },
            )
            await peer.take_over(self.number)
            self.step_down(reason)

    async def find_successor(self):
        """Returns the line of a peer that the store serves, or None.

        The store must have answered the peer after it began to fail here;
        otherwise it is down for all, and the term goes on.
        """
        lines = [line for line in self.advice_lines() if line.store_age_ms]
        ages = await asyncio.gather(*(line.store_age_ms() for line in lines))
        failing_ms = clock.monotonic_ms() - self.store.failing_since_ms
        served = [
            line
            for line, age_ms in zip(lines, ages)
            if age_ms <= failing_ms - SERVED_MARGIN_MS
        ]
        return max(served, key=lambda line: line.strength, default=None)

    async def find_stronger(self):
        """Returns the line of a much stronger peer, or None."""
        age_ms = clock.monotonic_ms() - self.begun_ms
        least = self.strength * STRONGER_FACTOR
        lines = [x for x in self.advice_lines() if x.strength >= least]
        if not lines or age_ms < CALM_MS:
            return None
        line = max(lines, key=lambda line: line.strength)
        if await line.store_age_ms() > CALM_MS:
            return None
        return line

    async def write_progress(self):
        """Records progress until a later term begins."""
        try:
            await self.journal.run()
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error

    def on_accepted(self, spec):
        """Takes a job from the host that has accepted it."""
        if self.ready and spec.id not in self.journal_state.specs:
            self.journal_state.specs[spec.id] = spec
            # Its host follows this term, so no other scheduler knows it.
            self.on_job(spec.id, told=True)

    def on_cancelled(self, job_id):
        """Takes a cancelling from the host that has recorded it."""
        if self.ready and job_id not in self.journal_state.cancelled:
            self.journal_state.cancelled.add(job_id)
            self.on_job(job_id)

    def on_job(self, job_id, *, told=False):
        """Takes a new or cancelled job.

        Args:
            job_id: Identifier of the job.
            told: Whether the host that accepted it told this process.
        """
        state = self.journal_state
        job = self.table.jobs.get(job_id)
        spec = state.specs.get(job_id)
        if job_id in self.table.ended:
            # It came again after its end; its record is dropped again.
            self.dropper.add(job_id)
            return
        if job is None and spec is not None:
            # A host may still have told the last scheduler of it.
            age_ms = clock.monotonic_ms() - self.begun_ms
            inherited = not told and age_ms < INHERITED_MS
            job = self.table.add(spec, inherited=inherited)
            LOG.info(
                "A job is known.",
                fields={
                    "request_id": job_id,
                    "queue": spec.queue,
                    "steps": len(spec.steps),
                    "objective_ms": round(job.objective),
                    "age_ms": round(clock.monotonic_ms() - job.arrived_ms),
                },
            )
        if job is not None and job_id in state.cancelled:
            self.table.cancel(job)
        self.placer.wake()

    def on_report(self, report):
        """Takes a worker's report."""
        worker = self.workers.get(report.id)
        if worker is None:
            worker = runs.Worker(report=report, now_ms=clock.monotonic_ms())
            worker.begun_ms = max(self.begun_ms, worker.begun_ms)
            self.workers[report.id] = worker
            link = worker_link.WorkerLink(
                worker=worker,
                calls=self.make_calls(report, self.number),
                lease=self.lease,
                events=self.events,
                journal=self.journal,
            )
            self.links[report.id] = link
            self.workers_changed = True
            LOG.info(
                "A worker is known.",
                fields={"worker": report.id, "pool": report.pool},
            )
            if self.ready:
                self.group.create_task(link.run())
            return
        if report.draining and not worker.report.draining:
            self.workers_changed = True
            LOG.info("A worker is leaving.", fields={"worker": report.id})
        if report.address != worker.report.address:
            self.links[report.id].calls = self.make_calls(report, self.number)
        worker.report = report
        worker.reported_ms = clock.monotonic_ms()
        worker.labels = frozenset(report.labels)
        worker.listed = True
        self.placer.wake()

    def on_gone(self, name):
        """Notes that a worker has left the registry."""
        LOG.info("A worker left the registry.", fields={"worker": name})
        self.group.create_task(self.unlist(name))

    async def unlist(self, name):
        """Takes a worker out of use unless its entry comes back."""
        await asyncio.sleep(UNLISTED_GRACE_S)
        if name not in self.registry.names and name in self.workers:
            self.workers[name].listed = False

    def state_of(self, job_id):
        """Returns the state shown for a job, None if there is none.

        Raises:
            Starting: The journal is not read to its end.
        """
        if not self.ready:
            raise not_ready()
        ended = self.table.ended.get(job_id)
        if ended is not None:
            return ended
        job = self.table.jobs.get(job_id)
        if job is not None:
            if job.shown.final:
                return job.shown
            return (
                model.JobState.RUNNING
                if job.started
                else model.JobState.QUEUED
            )
        if not self.reads_jobs():
            raise not_ready()
        return None

    def reads_jobs(self):
        """Whether newly accepted jobs are known without much delay."""
        now_s = asyncio.get_running_loop().time()
        return all(
            now_s - tail.read_at_s <= STEADY_TAIL_S for tail in self.tails
        )

    def health(self):
        """Returns what this term says of itself to peers."""
        if self.over.is_set():
            return messages.Health.NO_TERM
        now_ms = clock.monotonic_ms()
        if self.ready:
            well = self.reads_jobs()
        else:
            well = now_ms - self.begun_ms < RECOVERY_MS
        return messages.Health.WELL if well else messages.Health.UNWELL

    def pending(self, queue):
        """Returns how many jobs of a queue have not started.

        Raises:
            Starting: The journal is not read to its end.
        """
        if not self.ready or not self.reads_jobs():
            raise not_ready()
        return self.table.pending(queue)


def not_ready():
    """Returns the error of a question that cannot be answered yet."""
    return exception.Starting(
        message="The scheduler has not read the journal to its end.",
        remedy="Ask again.",
        retry_after_ms=300,
    )
