"""One term of the scheduler: recovery first, then orders."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import advising
from cicadafold.dispatch import ends
from cicadafold.dispatch import handover
from cicadafold.dispatch import inheritance
from cicadafold.dispatch import job_table
from cicadafold.dispatch import pacing
from cicadafold.dispatch import placing
from cicadafold.dispatch import record_cleanup
from cicadafold.dispatch import steadiness
from cicadafold.dispatch import unknown
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_link
from cicadafold.dispatch import worker_table
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import accepting
from cicadafold.journal import progress as progress_module
from cicadafold.journal import reading
from cicadafold.peers import asking
from cicadafold.peers import messages
from cicadafold.scheduling import estimates
from cicadafold.telemetry import logs

__all__ = ["Term", "TermEnded"]

STEADY_TAIL_S = 1.6
# A recovery that takes longer is left to another process.
RECOVERY_MS = 3500.0
# Hosts follow a new term within this time.
INHERITED_MS = 2000.0

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
        confirm: Coroutine function that reads the newest claim.
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
        confirm,
        longest_lease_ms,
        status_s,
        uses_advice,
        strength,
        metrics,
    ):
        self.number = number
        self.store = store
        self.configuration = configuration
        self.uses_advice = uses_advice
        self.advice_lines = advice_lines
        self.metrics = metrics
        self.lease = worker_link.LeaseTimes(longest_ms=longest_lease_ms)
        self.begun_ms = clock.monotonic_ms()
        self.tails = []
        self.journal_state = None
        self.ready = False
        self.steadiness = steadiness.Steadiness(
            confirm=confirm, on_steady=lambda: self.placer.wake()
        )
        self.over = asyncio.Event()
        self.reason = ""
        self.durations = estimates.DurationEstimates()
        self.group = None
        self.journal = progress_module.ProgressWriter(
            store=store,
            term=number,
            metrics=metrics,
            on_durable=self.on_durable,
        )
        self.record_cleaner = record_cleanup.RecordCleaner(
            store=store,
            journal=self.journal,
            status_s=status_s,
            on_end_dropped=self.forget,
        )
        self.cell = worker_table.WorkerTable(
            term=number,
            registry=registry,
            make_calls=make_calls,
            lease=self.lease,
            journal=self.journal,
            begun_ms=self.begun_ms,
        )
        self.inheritance = inheritance.Inheritance(
            workers=self.cell.workers,
            store=store,
            begun_ms=self.begun_ms,
            lease_ms=self.lease.lease_ms,
        )
        self.handover = handover.Handover(
            term=number,
            store=store,
            lines=advice_lines,
            strength=strength,
            begun_ms=self.begun_ms,
        )
        self.table = job_table.JobTable(
            journal=self.journal,
            durations=self.durations,
            stop_run=lambda run: self.events.stop_run(run),
            metrics=metrics,
        )

    def on_durable(self, states):
        """Shows the states that are recorded now."""
        self.table.on_durable(states)
        for job, state in states:
            if state.final:
                self.record_cleaner.add(job.spec.id)

    def forget(self, job_id):
        """Forgets a job that nobody asks for any more."""
        self.table.forget(job_id)
        self.journal_state.forget(job_id)

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
            self.cell.close()

    def build(self):
        """Makes the parts that need the task group."""
        self.events = ends.WorkerEvents(
            table=self.table,
            durations=self.durations,
            group=self.group,
            wake=lambda: self.placer.wake(),
            step_down=self.step_down,
            on_workers=self.cell.on_answer,
            unknown=unknown.UnknownWork(caught_up=self.caught_up),
            metrics=self.metrics,
        )
        self.events.links = self.cell.links
        self.placer = placing.Placer(
            term=self.number,
            table=self.table,
            durations=self.durations,
            workers=self.cell.workers,
            links=self.cell.links,
            all_runs_known=self.inheritance.settled,
            commands_allowed=self.steady,
            spawn=self.group.create_task,
            lease=self.lease,
            metrics=self.metrics,
        )
        if self.uses_advice:
            self.placer.advice_dispatcher = advising.AdviceDispatcher(
                peers=self.advice_lines,
                spawn=self.group.create_task,
                wake=self.placer.wake,
                record_permitted_share=(
                    self.placer.ticket_planner.record_permitted_share
                ),
                metrics=self.metrics,
            )
        self.group.create_task(self.steadiness.run())
        self.cell.events = self.events
        self.cell.inheritance = self.inheritance
        self.cell.spawn = self.group.create_task
        self.cell.wake = self.placer.wake
        self.watcher = watching.Watcher(
            workers=self.cell.workers,
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
        spawn(self.cell.registry.run())
        spawn(self.hand_over())
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
        await self.cell.registry.ready.wait()
        self.inheritance.take(state.workers, self.table)
        self.cell.add_recorded(state.workers)
        self.cell.open_known()
        spawn(self.cell.open_recorded())
        spawn(self.cell.record())
        self.cell.start_links()
        self.ready = True
        spawn(self.placer.run())
        spawn(self.watcher.run())
        spawn(self.record_cleaner.run())
        pacer = pacing.Pacer(workers=self.cell.workers, links=self.cell.links)
        spawn(pacer.run())
        LOG.info(
            "The term gives orders.",
            fields={
                "term": self.number,
                "jobs": len(self.table.jobs),
                "active": len(self.table.active),
                "workers": len(self.cell.workers),
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
                self.record_cleaner.add(job)
        self.record_cleaner.partitions = state.homes

    async def hand_over(self):
        """Ends the term when another process takes it over."""
        self.step_down(await self.handover.run())

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
            self.record_cleaner.add(job_id)
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
            self.events.job_known(job_id)
        if job is not None and job_id in state.cancelled:
            self.table.cancel(job)
        self.placer.wake()

    def state_of(self, job_id):
        """Returns the state shown for a job, None if there is none.

        Raises:
            Starting: The journal is not read to its end.
        """
        if not self.ready:
            raise asking.starting()
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
            raise asking.starting()
        return None

    def reads_jobs(self):
        """Whether newly accepted jobs are known without much delay."""
        now_s = asyncio.get_running_loop().time()
        return all(
            now_s - tail.read_at_s <= STEADY_TAIL_S for tail in self.tails
        )

    def steady(self):
        """Whether orders may be given: no stall, and no later term."""
        return not self.over.is_set() and self.steadiness.steady()

    def caught_up(self, since_ms):
        """Whether all jobs have been read that were recorded at a time.

        Args:
            since_ms: Monotonic time in milliseconds.
        """
        since_s = since_ms / clock.MILLISECONDS
        return all(tail.whole_from_s > since_s for tail in self.tails)

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
            raise asking.starting()
        return self.table.count_unstarted(queue)
