"""All jobs that a scheduler knows, and how their states change."""

from cicadafold import clock
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import records
from cicadafold.scheduling import estimates
from cicadafold.scheduling import ranking
from cicadafold.telemetry import logs

__all__ = ["JobTable"]

MILLISECONDS = 1000.0
# Calls for advice name about this many workers.
ADVISED_WORKERS = 24

LOG = logs.get_logger("jobs")
State = model.JobState


class JobTable:
    """Jobs by identifier, and their states.

    Args:
        journal: Writer of progress.
        estimates: Expected durations.
        stop_run: Function called with each run that should be stopped.
        metrics: Where ended jobs are counted.
    """

    def __init__(self, *, journal, learned, stop_run, metrics):
        self.journal = journal
        self.learned = learned
        self.stop_run = stop_run
        self.metrics = metrics
        self.jobs = {}
        self.active = {}
        self.ended = {}
        self.rules = {}

    def configure(self, configuration):
        """Takes the rules of a new configuration."""
        self.rules = configuration.queues
        for job in self.active.values():
            job.rule = self.rules.get(job.spec.queue, job.spec.rule)

    def add(self, spec, *, inherited=False):
        """Adds an accepted job.

        Args:
            spec: Description of the job.
            inherited: Whether an earlier scheduler may have started it.
        """
        now_ms = clock.monotonic_ms()
        wall_ms = clock.wall_ms()
        age_ms = max(0.0, wall_ms - spec.accepted_ms) + spec.waited_ms
        job = runtime_state.Job(
            spec=spec,
            arrived_ms=now_ms - age_ms,
            wall_offset_ms=wall_ms - now_ms,
        )
        job.rule = self.rules.get(spec.queue, spec.rule)
        job.inherited = inherited
        job.objective = self.objective(job)
        self.jobs[spec.id] = job
        self.active[spec.id] = job
        return job

    def objective(self, job):
        """Returns the latency objective of a job in milliseconds."""
        rule = job.rule
        chain = estimates.chain_ms(
            job.spec.steps,
            lambda step: self.learned.task_ms(rule.name, step.estimate_ms),
        )
        advice_ms = 0.0
        if rule.advice is not None:
            each = rule.advice.per_host_ms * ADVISED_WORKERS
            advice_ms = rule.advice.base_ms + each
        return ranking.objective_ms(rule, chain, advice_ms)

    def restore(self, spec, progress, *, cancelled):
        """Adds a job of the journal with its recorded progress."""
        job = self.add(spec, inherited=True)
        if progress is not None:
            records.apply_progress(job, progress)
        if cancelled and not job.state.final:
            job.state = job.reported_state = State.CANCELLED
        if job.state.final:
            self.retire(job)
            self.journal.record_job(job)
        return job

    def restore_ended(self, job_id, progress):
        """Takes a job whose end is recorded and whose description is gone."""
        state = State(progress.state)
        if state.final:
            self.ended[job_id] = state

    def forget(self, job_id):
        """Forgets an ended job."""
        self.jobs.pop(job_id, None)
        self.ended.pop(job_id, None)

    def find(self, name):
        """Returns the task of a name, None if it is not known."""
        job = self.jobs.get(name.job)
        return None if job is None else job.find_task(name)

    def unknown(self, name):
        """Whether nothing is known of the job of a task."""
        if name is None:
            return False
        return name.job not in self.jobs and name.job not in self.ended

    def pending(self, queue):
        """Returns how many jobs of a queue have not started."""
        return sum(
            1
            for job in self.active.values()
            if not job.started and job.spec.queue == queue
        )

    def cancel(self, job):
        """Cancels a job and stops what runs of it."""
        if job.state.final:
            return
        self.finish(job, State.CANCELLED, "its caller cancelled it")
        # The cancelling itself is recorded, so it may be shown at once.
        job.reported_state = State.CANCELLED

    def fail(self, job, reason):
        """Ends a job as failed."""
        if not job.state.final:
            self.finish(job, State.FAILED, reason)

    def finish(self, job, state, reason):
        """Sets a final state, stops all runs and records it."""
        now_ms = clock.monotonic_ms()
        for run in job.runs():
            self.stop_run(run)
        job.state = state
        self.journal.record_job(job)
        self.retire(job)
        took_ms = now_ms - job.arrived_ms
        self.metrics.count("jobs_ended", state=state.value)
        LOG.info(
            "A job has ended: %s.",
            reason,
            fields={
                "request_id": job.spec.id,
                "state": state.value,
                "queue": job.spec.queue,
                "took_ms": round(took_ms),
                "objective_ms": round(job.objective),
            },
        )

    def retire(self, job):
        """Takes a job out of the active ones."""
        self.active.pop(job.spec.id, None)

    def task_done(self, task):
        """Marks a task, or its whole gang, as done."""
        step = task.step
        members = step.tasks if step.spec.gang else (task,)
        for member in members:
            step.mark_done(member)
            for run in member.runs:
                if not step.spec.gang:
                    self.stop_run(run)
        job = step.job
        job.started = True
        self.close_done(job, step.occurrence)
        return self.journal.record_job(job)

    def close_done(self, job, occurrence):
        """Closes an occurrence, and the job, when all is done."""
        steps = job.steps.get(occurrence)
        if steps is None or not all(step.done for step in steps):
            return
        job.finish_occurrence(occurrence)
        if job.all_done and not job.state.final:
            self.finish(job, State.COMPLETED, "all tasks are done")

    def task_failed(self, task, attempt):
        """Counts a failed run; too many end the job."""
        step = task.step
        job = step.job
        counted = step if step.spec.gang else task
        counted.failed_attempts.add(attempt)
        count = len(counted.failed_attempts)
        if count >= job.rule.max_failures:
            self.fail(job, f"a task has failed {count} times")
        return self.journal.record_job(job)

    def on_durable(self, states):
        """Shows the final states that are now recorded."""
        for job, state in states:
            if state.final:
                job.reported_state = state
                job.steps = {} if not job.runs() else job.steps
