"""Jobs of a term: those that arrive, and what callers may know of them."""

import asyncio
import math

from cicadafold import clock
from cicadafold.jobs import model
from cicadafold.journal import accept_writer
from cicadafold.journal import reader
from cicadafold.peers import scheduler_client
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["JobIntake"]

# New jobs are known without much delay if every partition of the journal was
# read within this time.
MAX_TAIL_AGE_S = 1.6
# Time after the start of a term by which all entry hosts notify its scheduler
# of accepted jobs. An earlier scheduler may have started jobs that are read
# from the journal before that.
INHERITED_PERIOD_MS = 2000.0
# Pause before a job that could not be added is added again.
RETRY_S = 1.0

LOG = logs.get_logger("term")
Part = containment.Part


class JobIntake:
    """Adds jobs to the job table and answers queries about them.

    Jobs are notified by the entry hosts that accepted them, or read from the
    journal.

    Args:
        job_table: Jobs of the term.
        record_cleaner: Removes the records of ended jobs.
        started_ms: Monotonic time of the start of the term, in milliseconds.
        on_known: Function called with the identifier of each new job.
        wake: Function called when waiting tasks may have become placeable.
        all_runs_known: Function that returns whether all run attempts that
            earlier terms may have left in a pool are known.
        containment: ``Containment`` of the term.

    Attributes:
        ready: Whether the recovery is complete and the term has not ended.
        journal_state: Content of the journal; None until it has been read.
        job_tails: Readers of new job records, one for each partition.
        spawn: Function that runs a coroutine as a task; set before the tails
            are started.
    """

    def __init__(
        self,
        *,
        job_table,
        record_cleaner,
        started_ms,
        on_known,
        wake,
        all_runs_known,
        containment,
    ):
        self.containment = containment
        self.spawn = None
        self.all_runs_known = all_runs_known
        self.job_table = job_table
        self.record_cleaner = record_cleaner
        self.started_ms = started_ms
        self.on_known = on_known
        self.wake = wake
        self.ready = False
        self.journal_state = None
        self.job_tails = []

    def restore(self, state):
        """Adds the jobs of the journal to the job table.

        Args:
            state: Content of the journal.
        """
        self.journal_state = state
        self.record_cleaner.stored = state.stored
        self.record_cleaner.has_read_up_to = self.has_read_up_to
        for job, spec in state.specs.items():
            self.job_table.restore(
                spec, state.progress.get(job), cancelled=job in state.cancelled
            )
        for job, progress in state.progress.items():
            if job not in state.specs:
                self.job_table.restore_ended(job, progress)
                self.record_cleaner.add(job)
        for job in (
            state.cancelled - state.specs.keys() - state.progress.keys()
        ):
            self.record_cleaner.add_stray(job)

    def start_tails(self, store, run_loop):
        """Starts to read the job records that are written from now on.

        Args:
            store: Client of the store.
            run_loop: Function of a name and a coroutine function that runs
                it as a loop, again after unexpected errors.
        """
        for partition in range(accept_writer.PARTITIONS):
            tail = reader.JobsTail(
                store=store,
                partition=partition,
                state=self.journal_state,
                on_job=self.on_read,
                on_stored=self.record_cleaner.on_stored,
            )
            self.job_tails.append(tail)
            run_loop(f"intake {partition}", tail.run)

    def on_accepted(self, spec):
        """Adds a job, as notified by the entry host that accepted it."""
        if self.ready and spec.id not in self.journal_state.specs:
            self.journal_state.specs[spec.id] = spec
            # The entry host sends its jobs to this term, so the scheduler of
            # an earlier term cannot have started this one.
            self.on_read(spec.id, max_age_ms=0.0, from_host=True)

    def on_cancelled(self, job_id):
        """Cancels a job, as notified by the entry host that recorded it."""
        if self.ready and job_id not in self.journal_state.cancelled:
            self.journal_state.cancelled.add(job_id)
            self.on_read(job_id)

    def on_read(self, job_id, max_age_ms=math.inf, *, from_host=False):
        """Adds or cancels a job as ``on_changed``, and again if that fails.

        Its record counts as read, so that nothing else would add it.

        Args:
            job_id: Identifier of the job.
            max_age_ms: As for ``on_changed``.
            from_host: As for ``on_changed``.
        """
        try:
            self.on_changed(job_id, max_age_ms, from_host=from_host)
        except Exception as error:
            self.containment.report(
                Part.INTAKE, job_id, error, request_id=job_id
            )
            self.spawn(self.read_again(job_id))

    async def read_again(self, job_id):
        """Adds or cancels a job, after a pause."""
        await asyncio.sleep(RETRY_S)
        self.on_read(job_id)

    def on_changed(self, job_id, max_age_ms=math.inf, *, from_host=False):
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
            # The job was submitted again after its end.
            return
        if job is None and spec is not None:
            job = self.job_table.add(
                spec,
                inherited=self.may_be_inherited(spec, from_host),
                max_age_ms=max_age_ms,
            )
            LOG.info(
                "A job was added.",
                fields={
                    "request_id": job_id,
                    "queue": spec.queue,
                    "team": spec.team_name,
                    "steps": len(spec.steps),
                    "objective_ms": round(job.objective_ms),
                    "age_ms": round(clock.monotonic_ms() - job.arrived_ms),
                },
            )
            self.record_cleaner.on_known(job_id)
            with self.containment.contain(
                Part.INTAKE, job_id, request_id=job_id
            ):
                self.on_known(job_id)
        if job_id in state.cancelled:
            if job is None:
                self.record_cleaner.add_stray(job_id)
            else:
                self.job_table.cancel(job)
        self.wake()

    def may_be_inherited(self, spec, from_host):
        """Whether a scheduler of an earlier term may have started a job.

        It may have been notified of the job until the workers have the fence
        of this term, however long that takes. That holds also for a job that
        a host has accepted for this term, as its submission may be a repeated
        one.

        Args:
            spec: Specification of a job that has become known.
            from_host: Whether the job's entry host has sent it directly.
        """
        if not self.ready:
            return True
        rule = self.job_table.rules.get(spec.queue, spec.rule)
        if not self.all_runs_known(rule.pool):
            return True
        age_ms = clock.monotonic_ms() - self.started_ms
        return not from_host and age_ms < INHERITED_PERIOD_MS

    def state(self, job_id, team="", recorded_ms=None):
        """Returns the state of a job that callers may see, None if unknown.

        An unknown job whose record has been read was forgotten some time
        after its end; one whose record may not have been read is queued.

        A final state is returned only once it is recorded. The team of an
        ended job whose specification has been dropped is not known; its state
        is returned to every team.

        Args:
            job_id: Identifier of the job.
            team: Name of the team that asks, empty for none.
            recorded_ms: Monotonic time in milliseconds by which its record
                was durable, None if that is not known.

        Raises:
            Starting: The journal has not been read up to now.
            UnknownRequest: It is a job of another team.
        """
        if not self.ready:
            raise scheduler_client.starting_error()
        ended = self.job_table.ended.get(job_id)
        if ended is not None:
            return ended
        job = self.job_table.jobs.get(job_id)
        if job is not None:
            if job.spec.team_name != team:
                raise scheduler_client.foreign_error()
            if job.reported_state.final:
                return job.reported_state
            return (
                model.JobState.RUNNING
                if job.started
                else model.JobState.QUEUED
            )
        spec = self.journal_state.specs.get(job_id)
        if spec is not None:
            # It could not be added yet.
            if spec.team_name != team:
                raise scheduler_client.foreign_error()
            return model.JobState.QUEUED
        if not self.up_to_date():
            raise scheduler_client.starting_error()
        if recorded_ms is not None and not self.has_read_up_to(recorded_ms):
            return model.JobState.QUEUED
        return None

    def may_be_accepted(self, job_id):
        """Whether a job may have been accepted, as far as is known now.

        That is so for each job of the journal, and for any one while the
        journal has not been read up to now.
        """
        return (
            not self.ready
            or job_id in self.job_table.jobs
            or job_id in self.job_table.ended
            or job_id in self.journal_state.specs
            or not self.up_to_date()
        )

    def up_to_date(self):
        """Whether all partitions of the journal were read recently."""
        now_s = asyncio.get_running_loop().time()
        return all(
            now_s - tail.read_at_s <= MAX_TAIL_AGE_S for tail in self.job_tails
        )

    def advancing(self):
        """Whether all partitions of the journal are being read.

        Reading one again takes long if the store has deleted records before
        they were read.
        """
        now_s = asyncio.get_running_loop().time()
        return all(
            now_s - tail.progress_at_s <= MAX_TAIL_AGE_S
            for tail in self.job_tails
        )

    def has_read_up_to(self, time_ms):
        """Whether all job records from before a monotonic time are read."""
        time_s = time_ms / clock.MS_PER_S
        return all(tail.complete_until_s > time_s for tail in self.job_tails)

    def pending(self, queue):
        """Returns the number of jobs of a queue that have not started.

        Raises:
            Starting: The journal has not been read up to now.
        """
        if not self.ready or not self.up_to_date():
            raise scheduler_client.starting_error()
        return self.job_table.count_unstarted(queue)
