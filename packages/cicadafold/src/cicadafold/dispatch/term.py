"""One term of the scheduler: recovery first, then orders."""

import asyncio

from cicadafold import clock
from cicadafold.dispatch import advising
from cicadafold.dispatch import handover
from cicadafold.dispatch import inherited_runs
from cicadafold.dispatch import job_table
from cicadafold.dispatch import pacing
from cicadafold.dispatch import placing
from cicadafold.dispatch import record_cleanup
from cicadafold.dispatch import stall_detector
from cicadafold.dispatch import unknown_job_runs
from cicadafold.dispatch import watching
from cicadafold.dispatch import worker_events
from cicadafold.dispatch import worker_link
from cicadafold.dispatch import worker_table
from cicadafold import exception
from cicadafold.jobs import model
from cicadafold.journal import accept_writer
from cicadafold.journal import progress_writer
from cicadafold.journal import reader
from cicadafold.peers import messages
from cicadafold.peers import scheduler_client
from cicadafold.scheduling import estimates
from cicadafold.telemetry import logs

__all__ = ["Term", "TermEnded"]

MAX_TAIL_AGE_S = 1.6
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
        election_priority: How well this host can carry a scheduler.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        *,
        number,
        store,
        registry,
        make_client,
        list_peers,
        configuration,
        read_newest_claim,
        longest_lease_ms,
        status_s,
        uses_advice,
        election_priority,
        metrics,
    ):
        self.number = number
        self.store = store
        self.configuration = configuration
        self.uses_advice = uses_advice
        self.list_peers = list_peers
        self.metrics = metrics
        self.lease = worker_link.LeaseTimes(max_lease_ms=longest_lease_ms)
        self.started_ms = clock.monotonic_ms()
        self.job_tails = []
        self.journal_state = None
        self.ready = False
        self.stall_detector = stall_detector.StallDetector(
            read_newest_claim=read_newest_claim,
            on_resumed=lambda: self.placer.wake(),
        )
        self.ended = asyncio.Event()
        self.end_reason = ""
        self.estimates = estimates.DurationEstimates()
        self.task_group = None
        self.journal = progress_writer.ProgressWriter(
            store=store,
            term=number,
            metrics=metrics,
            on_durable=self.on_durable,
        )
        self.record_cleaner = record_cleanup.RecordCleaner(
            store=store,
            journal=self.journal,
            status_s=status_s,
            on_end_dropped=self.forget_job,
        )
        self.worker_table = worker_table.WorkerTable(
            term=number,
            registry=registry,
            make_client=make_client,
            lease=self.lease,
            journal=self.journal,
            term_started_ms=self.started_ms,
        )
        self.inherited_runs = inherited_runs.InheritedRuns(
            workers=self.worker_table.workers,
            store=store,
            term_started_ms=self.started_ms,
            lease_ms=self.lease.lease_ms,
        )
        self.handover = handover.Handover(
            term=number,
            store=store,
            list_peers=list_peers,
            election_priority=election_priority,
            term_started_ms=self.started_ms,
        )
        self.job_table = job_table.JobTable(
            journal=self.journal,
            estimates=self.estimates,
            stop_run=lambda run: self.events.stop_run(run),
            metrics=metrics,
        )

    def on_durable(self, states):
        """Shows the states that are recorded now."""
        self.job_table.on_durable(states)
        for job, state in states:
            if state.final:
                self.record_cleaner.add(job.spec.id)

    def forget_job(self, job_id):
        """Forgets a job that nobody asks for any more."""
        self.job_table.forget(job_id)
        self.journal_state.remove_job(job_id)

    def step_down(self, reason):
        """Ends the term for good."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()

    async def run(self):
        """Runs the term until a later one begins.

        Raises:
            TermEnded: The term is over.
        """
        LOG.info("The term begins.", fields={"term": self.number})
        try:
            async with asyncio.TaskGroup() as task_group:
                self.task_group = task_group
                self.create_components()
                task_group.create_task(self.raise_when_ended())
                task_group.create_task(self.recover_and_run())
        except* TermEnded as ended:
            LOG.info(
                "The term ends: %s.",
                ended.exceptions[0],
                fields={"term": self.number},
            )
        finally:
            self.ready = False
            self.worker_table.close()

    def create_components(self):
        """Makes the parts that need the task group."""
        self.events = worker_events.WorkerEventHandler(
            job_table=self.job_table,
            estimates=self.estimates,
            task_group=self.task_group,
            wake=lambda: self.placer.wake(),
            step_down=self.step_down,
            on_answering_changed=self.worker_table.on_answering_changed,
            unknown_runs=unknown_job_runs.UnknownJobRuns(
                has_read_up_to=self.has_read_up_to
            ),
            metrics=self.metrics,
        )
        self.events.links = self.worker_table.links
        self.placer = placing.Placer(
            term=self.number,
            table=self.job_table,
            estimates=self.estimates,
            workers=self.worker_table.workers,
            links=self.worker_table.links,
            all_runs_known=self.inherited_runs.all_runs_known,
            commands_allowed=self.commands_allowed,
            spawn=self.task_group.create_task,
            lease=self.lease,
            metrics=self.metrics,
        )
        if self.uses_advice:
            self.placer.advice_dispatcher = advising.AdviceDispatcher(
                peers=self.list_peers,
                spawn=self.task_group.create_task,
                wake=self.placer.wake,
                record_permitted_share=(
                    self.placer.ticket_planner.record_permitted_share
                ),
                metrics=self.metrics,
            )
        self.task_group.create_task(self.stall_detector.run())
        self.worker_table.events = self.events
        self.worker_table.inherited_runs = self.inherited_runs
        self.worker_table.spawn = self.task_group.create_task
        self.worker_table.wake = self.placer.wake
        self.watcher = watching.Watcher(
            workers=self.worker_table.workers,
            table=self.job_table,
            events=self.events,
        )

    async def raise_when_ended(self):
        """Ends the task group when the term is over."""
        await self.ended.wait()
        raise TermEnded(self.end_reason)

    async def recover_and_run(self):
        """Recovers what earlier terms left, then gives orders."""
        spawn = self.task_group.create_task
        spawn(self.worker_table.registry.run())
        spawn(self.run_handover())
        try:
            await progress_writer.fence_partitions(self.store, self.number)
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error
        state = await reader.read_journal(self.store)
        self.journal_state = state
        self.job_table.rules = self.configuration.rules()
        self.restore_jobs(state)
        spawn(self.write_progress())
        for partition in range(accept_writer.PARTITIONS):
            tail = reader.JobsTail(
                store=self.store,
                partition=partition,
                state=state,
                on_job=self.on_job_changed,
            )
            self.job_tails.append(tail)
            spawn(tail.run())
        await self.worker_table.registry.ready.wait()
        self.inherited_runs.load(state.workers, self.job_table)
        self.worker_table.add_inherited(state.workers)
        self.worker_table.open_inherited()
        spawn(self.worker_table.open_when_recorded())
        spawn(self.worker_table.record_changes())
        self.worker_table.start_links()
        self.ready = True
        spawn(self.placer.run())
        spawn(self.watcher.run())
        spawn(self.record_cleaner.run())
        pacer = pacing.Pacer(
            workers=self.worker_table.workers, links=self.worker_table.links
        )
        spawn(pacer.run())
        LOG.info(
            "The term gives orders.",
            fields={
                "term": self.number,
                "jobs": len(self.job_table.jobs),
                "active": len(self.job_table.active),
                "workers": len(self.worker_table.workers),
                "took_ms": round(clock.monotonic_ms() - self.started_ms),
            },
        )

    def restore_jobs(self, state):
        """Takes the jobs of the journal."""
        for job, spec in state.specs.items():
            self.job_table.restore(
                spec, state.progress.get(job), cancelled=job in state.cancelled
            )
        for job, progress in state.progress.items():
            if job not in state.specs:
                self.job_table.restore_ended(job, progress)
                self.record_cleaner.add(job)
        self.record_cleaner.partitions = state.partitions

    async def run_handover(self):
        """Ends the term when another process takes it over."""
        self.step_down(await self.handover.run())

    async def write_progress(self):
        """Records progress until a later term begins."""
        try:
            await self.journal.run()
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error

    def on_job_accepted(self, spec):
        """Takes a job from the host that has accepted it."""
        if self.ready and spec.id not in self.journal_state.specs:
            self.journal_state.specs[spec.id] = spec
            # Its host follows this term, so no other scheduler knows it.
            self.on_job_changed(spec.id, told=True)

    def on_job_cancelled(self, job_id):
        """Takes a cancelling from the host that has recorded it."""
        if self.ready and job_id not in self.journal_state.cancelled:
            self.journal_state.cancelled.add(job_id)
            self.on_job_changed(job_id)

    def on_job_changed(self, job_id, *, told=False):
        """Takes a new or cancelled job.

        Args:
            job_id: Identifier of the job.
            told: Whether the host that accepted it told this process.
        """
        state = self.journal_state
        job = self.job_table.jobs.get(job_id)
        spec = state.specs.get(job_id)
        if job_id in self.job_table.ended:
            # It came again after its end; its record is dropped again.
            self.record_cleaner.add(job_id)
            return
        if job is None and spec is not None:
            # A host may still have told the last scheduler of it.
            age_ms = clock.monotonic_ms() - self.started_ms
            inherited = not told and age_ms < INHERITED_MS
            job = self.job_table.add(spec, inherited=inherited)
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
            self.events.on_job_known(job_id)
        if job is not None and job_id in state.cancelled:
            self.job_table.cancel(job)
        self.placer.wake()

    def job_state(self, job_id):
        """Returns the state shown for a job, None if there is none.

        Raises:
            Starting: The journal is not read to its end.
        """
        if not self.ready:
            raise scheduler_client.starting_error()
        ended = self.job_table.ended.get(job_id)
        if ended is not None:
            return ended
        job = self.job_table.jobs.get(job_id)
        if job is not None:
            if job.reported_state.final:
                return job.reported_state
            return (
                model.JobState.RUNNING
                if job.started
                else model.JobState.QUEUED
            )
        if not self.jobs_up_to_date():
            raise scheduler_client.starting_error()
        return None

    def jobs_up_to_date(self):
        """Whether newly accepted jobs are known without much delay."""
        now_s = asyncio.get_running_loop().time()
        return all(
            now_s - tail.read_at_s <= MAX_TAIL_AGE_S for tail in self.job_tails
        )

    def commands_allowed(self):
        """Whether orders may be given: no stall, and no later term."""
        return (
            not self.ended.is_set() and self.stall_detector.commands_allowed()
        )

    def has_read_up_to(self, since_ms):
        """Whether all jobs have been read that were recorded at a time.

        Args:
            since_ms: Monotonic time in milliseconds.
        """
        since_s = since_ms / clock.MILLISECONDS
        return all(tail.complete_until_s > since_s for tail in self.job_tails)

    def health(self):
        """Returns what this term says of itself to peers."""
        if self.ended.is_set():
            return messages.Health.NO_TERM
        now_ms = clock.monotonic_ms()
        if self.ready:
            well = self.jobs_up_to_date()
        else:
            well = now_ms - self.started_ms < RECOVERY_MS
        return messages.Health.HEALTHY if well else messages.Health.DEGRADED

    def pending(self, queue):
        """Returns how many jobs of a queue have not started.

        Raises:
            Starting: The journal is not read to its end.
        """
        if not self.ready or not self.jobs_up_to_date():
            raise scheduler_client.starting_error()
        return self.job_table.count_unstarted(queue)
