"""One term of the scheduler, from its recovery to its end."""

import asyncio
import math

from cicadafold import clock
from cicadafold.dispatch import advising
from cicadafold.dispatch import crash_tracking
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

# New jobs are known without much delay if every partition of the journal was
# read within this time.
MAX_TAIL_AGE_S = 1.6
# A term whose recovery takes longer reports itself as degraded, so that
# another process takes over.
MAX_RECOVERY_MS = 3500.0
# Time after the start of a term by which all entry hosts notify its scheduler
# of accepted jobs. An earlier scheduler may have started jobs that are read
# from the journal before that.
INHERITED_PERIOD_MS = 2000.0

LOG = logs.get_logger("term")


class TermEnded(Exception):
    """The term has ended; the message is the reason."""


class Term:
    """The scheduler of one term: its state, components and tasks.

    Args:
        number: Number of the term, its fence at the workers and the journal.
        store: Client of the store.
        registry: Reader of the registry of workers.
        make_client: Function that returns the client of a worker, from its
            report and the number of the term.
        list_peers: Function that returns the handles of this process and
            its peers.
        configuration: ``Routes`` with the newest configuration.
        read_newest_claim: Coroutine function that reads the newest claim.
        longest_lease_ms: Longest lease that a worker grants, in ms.
        status_s: Seconds for which the state of an ended job is kept.
        uses_advice: Whether there is an advice service.
        election_priority: Election priority of this process.
        metrics: Metrics of the process.

    Attributes:
        started_ms: Monotonic time of the start of the term, in milliseconds.
        ready: Whether the recovery is complete and the term has not ended.
        ended: Set once the term has to end.
        end_reason: Why the term has to end.
        journal_state: Content of the journal; None until it has been read.
        job_tails: Readers of new job records, one for each partition.
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
        self.job_table = job_table.JobTable(
            journal=self.journal,
            estimates=self.estimates,
            stop_run=lambda run: self.events.stop_run(run),
            metrics=metrics,
        )

        self.crashes = crash_tracking.CrashTracker(
            job_table=self.job_table,
            journal=self.journal,
            first_attempt=(number - 1) * placing.ATTEMPTS_PER_TERM,
            metrics=metrics,
        )
        self.inherited_runs = inherited_runs.InheritedRuns(
            workers=self.worker_table.workers,
            store=store,
            term_started_ms=self.started_ms,
            lease_ms=self.lease.lease_ms,
            crashes=self.crashes,
        )
        self.handover = handover.Handover(
            term=number,
            store=store,
            list_peers=list_peers,
            election_priority=election_priority,
            term_started_ms=self.started_ms,
        )

    def on_durable(self, states):
        """Handles pairs of a job and its state, now durable in the journal."""
        self.job_table.on_durable(states)
        for job, state in states:
            if state.final:
                self.record_cleaner.add(job.spec.id)

    def forget_job(self, job_id):
        """Removes an ended job whose retention time has passed."""
        self.job_table.forget(job_id)
        self.journal_state.remove_job(job_id)

    def step_down(self, reason):
        """Ends the term and keeps the first reason given, for the log."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()

    async def run(self):
        """Runs the term until it ends."""
        LOG.info(
            "The term starts; recovering its state from the journal.",
            fields={"term": self.number},
        )
        try:
            async with asyncio.TaskGroup() as task_group:
                self.task_group = task_group
                self.create_components()
                task_group.create_task(self.raise_when_ended())
                task_group.create_task(self.recover_and_run())
        except* TermEnded as ended:
            LOG.info(
                "The term has ended: %s.",
                ended.exceptions[0],
                fields={"term": self.number},
            )
        finally:
            self.ready = False
            self.worker_table.close()

    def create_components(self):
        """Creates and connects the components that need the task group."""
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
            crashes=self.crashes,
            metrics=self.metrics,
        )
        self.events.links = self.worker_table.links
        self.placer = placing.Placer(
            term=self.number,
            job_table=self.job_table,
            estimates=self.estimates,
            workers=self.worker_table.workers,
            links=self.worker_table.links,
            all_runs_known=self.inherited_runs.all_runs_known,
            commands_allowed=self.commands_allowed,
            spawn=self.task_group.create_task,
            lease=self.lease,
            crashes=self.crashes,
            metrics=self.metrics,
        )
        if self.uses_advice:
            self.placer.advice_dispatcher = advising.AdviceDispatcher(
                list_peers=self.list_peers,
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
            job_table=self.job_table,
            events=self.events,
        )

    async def raise_when_ended(self):
        """Raises ``TermEnded``, which ends all tasks, when the term ends."""
        await self.ended.wait()
        raise TermEnded(self.end_reason)

    async def recover_and_run(self):
        """Recovers the state of earlier terms, then starts all loops.

        Fences and reads the journal, then opens the links to the workers.
        The loops place, watch and pace tasks and clean up records.

        Raises:
            TermEnded: A later term has fenced the journal.
        """
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
            "The term is recovered; tasks are started from now on.",
            fields={
                "term": self.number,
                "jobs": len(self.job_table.jobs),
                "active": len(self.job_table.active),
                "workers": len(self.worker_table.workers),
                "took_ms": round(clock.monotonic_ms() - self.started_ms),
            },
        )

    def restore_jobs(self, state):
        """Adds the jobs of the journal to the job table."""
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
        """Ends the term once it has been handed over to a peer."""
        self.step_down(await self.handover.run())

    async def write_progress(self):
        """Records job progress; raises ``TermEnded`` when a later term starts.

        The later term fences the journal, so that an append fails.
        """
        try:
            await self.journal.run()
        except exception.LogFenced as error:
            raise TermEnded("a later term has fenced the journal") from error

    def on_job_accepted(self, spec):
        """Adds a job, as notified by the entry host that accepted it."""
        if self.ready and spec.id not in self.journal_state.specs:
            self.journal_state.specs[spec.id] = spec
            # The entry host sends its jobs to this term, so the scheduler of
            # an earlier term cannot have started this one.
            self.on_job_changed(spec.id, max_age_ms=0.0, from_host=True)

    def on_job_cancelled(self, job_id):
        """Cancels a job, as notified by the entry host that recorded it."""
        if self.ready and job_id not in self.journal_state.cancelled:
            self.journal_state.cancelled.add(job_id)
            self.on_job_changed(job_id)

    def on_job_changed(self, job_id, max_age_ms=math.inf, *, from_host=False):
        """Adds or cancels a job according to its records in the journal.

        Args:
            job_id: Identifier of the job.
            max_age_ms: Longest time in milliseconds for which its newest
                record can have existed.
            from_host: Whether the job's entry host has sent it directly.
        """
        state = self.journal_state
        job = self.job_table.jobs.get(job_id)
        spec = state.specs.get(job_id)
        if job_id in self.job_table.ended:
            # The job was submitted again after its end. Its new record is
            # removed too.
            self.record_cleaner.add(job_id)
            return
        if job is None and spec is not None:
            # Its entry host may have notified the scheduler of the last
            # term, which may have started the job.
            age_ms = clock.monotonic_ms() - self.started_ms
            inherited = not from_host and age_ms < INHERITED_PERIOD_MS
            job = self.job_table.add(
                spec, inherited=inherited, max_age_ms=max_age_ms
            )
            LOG.info(
                "A job was added.",
                fields={
                    "request_id": job_id,
                    "queue": spec.queue,
                    "steps": len(spec.steps),
                    "objective_ms": round(job.objective_ms),
                    "age_ms": round(clock.monotonic_ms() - job.arrived_ms),
                },
            )
            self.events.on_job_known(job_id)
        if job is not None and job_id in state.cancelled:
            self.job_table.cancel(job)
        self.placer.wake()

    def job_state(self, job_id):
        """Returns the state of a job that callers may see, None if unknown.

        A final state is returned only once it is recorded.

        Raises:
            Starting: The journal has not been read up to now.
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
        """Whether all partitions of the journal were read recently."""
        now_s = asyncio.get_running_loop().time()
        return all(
            now_s - tail.read_at_s <= MAX_TAIL_AGE_S for tail in self.job_tails
        )

    def commands_allowed(self):
        """Whether the term may send commands to workers.

        It may not once it has to end, nor between a stall of the process and
        the next read of the newest claim.
        """
        return (
            not self.ended.is_set() and self.stall_detector.commands_allowed()
        )

    def has_read_up_to(self, time_ms):
        """Whether all job records from before a monotonic time are read."""
        time_s = time_ms / clock.MS_PER_S
        return all(tail.complete_until_s > time_s for tail in self.job_tails)

    def health(self):
        """Returns the health of the term, as reported to peers."""
        if self.ended.is_set():
            return messages.Health.NO_TERM
        now_ms = clock.monotonic_ms()
        if self.ready:
            healthy = self.jobs_up_to_date()
        else:
            healthy = now_ms - self.started_ms < MAX_RECOVERY_MS
        return messages.Health.HEALTHY if healthy else messages.Health.DEGRADED

    def pending(self, queue):
        """Returns the number of jobs of a queue that have not started.

        Raises:
            Starting: The journal has not been read up to now.
        """
        if not self.ready or not self.jobs_up_to_date():
            raise scheduler_client.starting_error()
        return self.job_table.count_unstarted(queue)
