"""The jobs that a scheduler knows, and the changes of their states."""

import math

from cicadafold import clock
from cicadafold.jobs import model
from cicadafold.jobs import runtime_state
from cicadafold.journal import records
from cicadafold.scheduling import estimates
from cicadafold.scheduling import ranking
from cicadafold.scheduling import team_caps
from cicadafold.telemetry import logs

__all__ = ["JobTable"]

MS_PER_S = 1000.0
# Assumed number of workers in an advice call, for the latency objective.
ADVISED_WORKERS = 24

LOG = logs.get_logger("jobs")
State = model.JobState


class JobTable:
    """Jobs by identifier, and the changes of their states.

    Args:
        journal: Writer of job progress to the journal.
        estimates: Duration estimates.
        stop_run: Function called with each run attempt to stop.
        metrics: Metrics in which ended jobs are counted.

    Attributes:
        jobs: All jobs with a specification, by identifier.
        active: Those of them that have not ended.
        ended: Final states of jobs whose specification has been dropped.
        rules: Configured rules by name of the queue.
        team_rules: Configured ``TeamRule`` by name of the team.
        inherited: Inherited jobs in the order in which they were added.
        left: ``ChargeLeft`` of each job that an earlier term has ended with
            run attempts, by its identifier.
    """

    def __init__(self, *, journal, estimates, stop_run, metrics):
        self.journal = journal
        self.estimates = estimates
        self.stop_run = stop_run
        self.metrics = metrics
        self.jobs = {}
        self.active = {}
        self.ended = {}
        self.rules = {}
        self.team_rules = {}
        self.inherited = []
        self.left = {}

    def configure(self, configuration):
        """Applies the queue rules of a new configuration to active jobs.

        A job whose queue is no longer configured falls back to the rule with
        which it was accepted.
        """
        self.rules = configuration.queues
        self.team_rules = configuration.teams or {}
        for job in self.active.values():
            job.rule = self.rules.get(job.spec.queue, job.spec.rule)

    def add(self, spec, *, inherited=False, max_age_ms=math.inf):
        """Adds an accepted job and returns its running state.

        Args:
            spec: Specification of the job.
            inherited: Whether a scheduler of an earlier term may have
                started tasks of it.
            max_age_ms: Longest time in milliseconds for which it can have
                been accepted. The times of day of two hosts, from which the
                age is computed, may differ by seconds.
        """
        now_ms = clock.monotonic_ms()
        wall_ms = clock.wall_ms()
        accepted_for_ms = max(0.0, wall_ms - spec.accepted_ms)
        age_ms = min(accepted_for_ms, max_age_ms) + spec.waited_ms
        job = runtime_state.Job(
            spec=spec,
            arrived_ms=now_ms - age_ms,
            wall_offset_ms=wall_ms - now_ms,
        )
        job.rule = self.rules.get(spec.queue, spec.rule)
        job.inherited = inherited
        if inherited:
            self.inherited.append(job)
        job.objective_ms = self.objective(job)
        self.jobs[spec.id] = job
        self.active[spec.id] = job
        return job

    def objective(self, job):
        """Returns the latency objective of a job, in milliseconds.

        A step that is wider than the cap of its team runs in waves. Without
        them in the objective, the job would rank as late from its start.
        """
        rule = job.rule
        cap = self.cap_of(job.spec.team)

        def duration_ms(step):
            task_ms = self.estimates.task_duration_ms(
                rule.name, step.estimate_ms
            )
            return task_ms * team_caps.waves(step, cap)

        chain = estimates.critical_path_ms(job.spec.steps, duration_ms)
        advice_ms = 0.0
        if rule.advice is not None:
            per_call_ms = rule.advice.per_host_ms * ADVISED_WORKERS
            advice_ms = rule.advice.base_ms + per_call_ms
        return ranking.objective_ms(rule, chain, advice_ms)

    def cap_of(self, team):
        """Returns the cap in force for a team.

        Args:
            team: ``TeamRule`` of a job's acceptance, which applies if the
                team is no longer configured, or None.
        """
        if team is None:
            return team_caps.NO_CAP
        return self.team_rules.get(team.name, team).cap

    def restore(self, spec, progress, *, cancelled):
        """Adds a job from the journal and returns its running state.

        Args:
            spec: Specification of the job.
            progress: Recorded progress, or None if there is none.
            cancelled: Whether a cancellation is recorded.
        """
        job = self.add(spec, inherited=True)
        if progress is not None:
            self.apply_progress(job, progress)
        if cancelled and not job.state.final:
            job.left = charge_left(
                job, [(step.need, step.tasks) for step in spec.steps]
            )
            job.state = job.reported_state = State.CANCELLED
        if job.state.final:
            self.deactivate(job)
            self.journal.record_job(job)
        return job

    def apply_progress(self, job, progress):
        """Applies a progress record, unless it is not one of the job.

        Args:
            job: Job as it was accepted.
            progress: Recorded progress.
        """
        try:
            records.apply_progress(job, progress)
        except ValueError as error:
            LOG.warning(
                "The progress record of a job does not fit the job and is "
                "skipped: %s",
                error,
                fields={"request_id": job.spec.id},
            )

    def restore_ended(self, job_id, progress):
        """Adds an ended job whose specification has been dropped.

        Args:
            job_id: Identifier of the job.
            progress: Recorded progress, which holds its state.
        """
        state = State(progress.state)
        if state.final:
            self.ended[job_id] = state
            if progress.left is not None:
                self.left[job_id] = progress.left

    def forget(self, job_id):
        """Removes an ended job from the table."""
        self.jobs.pop(job_id, None)
        self.ended.pop(job_id, None)
        self.left.pop(job_id, None)

    def find(self, name):
        """Returns the task with a name, or None if it is not known."""
        job = self.jobs.get(name.job)
        return None if job is None else job.find_task(name)

    def is_unknown(self, name):
        """Whether the job of a task is neither known nor recorded as ended.

        Args:
            name: Name of the task; for None the result is False.
        """
        if name is None:
            return False
        return name.job not in self.jobs and name.job not in self.ended

    def count_unstarted(self, queue):
        """Returns how many active jobs of a queue have not started."""
        return sum(
            1
            for job in self.active.values()
            if not job.started and job.spec.queue == queue
        )

    def cancel(self, job):
        """Cancels a job and stops its run attempts, unless it has ended."""
        if job.state.final:
            return
        self.end_job(job, State.CANCELLED, "its caller cancelled it")
        # The cancellation request is recorded already, so callers may see the
        # state at once.
        job.reported_state = State.CANCELLED

    def fail(self, job, reason):
        """Ends a job as failed, unless it has ended.

        Args:
            job: Job.
            reason: Reason for the log line.
        """
        if not job.state.final:
            self.end_job(job, State.FAILED, reason)

    def end_job(self, job, state, reason):
        """Ends a job: stops its run attempts and records the final state.

        Args:
            job: Job.
            state: Final state.
            reason: Reason for the log line.
        """
        now_ms = clock.monotonic_ms()
        job_runs = job.runs()
        job.left = (
            charge_left(job, [(run.charge, 1) for run in job_runs]) or job.left
        )
        for run in job_runs:
            self.stop_run(run)
        job.state = state
        self.journal.record_job(job)
        self.deactivate(job)
        took_ms = now_ms - job.arrived_ms
        self.metrics.count("jobs_ended", state=state.value)
        LOG.info(
            "Job ended: %s.",
            reason,
            fields={
                "request_id": job.spec.id,
                "state": state.value,
                "queue": job.spec.queue,
                "took_ms": round(took_ms),
                "objective_ms": round(job.objective_ms),
            },
        )

    def deactivate(self, job):
        """Removes a job from the active jobs."""
        self.active.pop(job.spec.id, None)

    def complete_task(self, task):
        """Marks a task, or its whole gang, as done.

        Other run attempts of a task that is not in a gang are stopped.

        Returns:
            Number of the journal batch that records the change.
        """
        step = task.step
        members = step.tasks if step.spec.gang else (task,)
        for member in members:
            step.mark_done(member)
            for run in member.runs:
                if not step.spec.gang:
                    self.stop_run(run)
        job = step.job
        job.started = True
        self.close_if_done(job, step.occurrence)
        return self.journal.record_job(job)

    def close_if_done(self, job, occurrence):
        """Closes an occurrence whose steps are all done.

        The job is completed when its last occurrence is closed.
        """
        steps = job.steps.get(occurrence)
        if steps is None or not all(step.done for step in steps):
            return
        # Members of a gang may still run when it is done.
        job.left = charge_left(
            job,
            [
                (run.charge, 1)
                for step in steps
                for task in step.tasks
                for run in task.runs
            ],
        )
        job.finish_occurrence(occurrence)
        if job.all_done and not job.state.final:
            self.end_job(job, State.COMPLETED, "all tasks are done")

    def record_task_failure(self, task, attempt):
        """Records a failed run attempt of a task.

        Attempts are counted by number, for a gang over all its tasks. The
        job fails when the rule of its queue permits no more failures.

        Returns:
            Number of the journal batch that records the failure.
        """
        step = task.step
        job = step.job
        counted = step if step.spec.gang else task
        counted.failed_attempts.add(attempt)
        count = len(counted.failed_attempts)
        if count >= job.rule.max_failures:
            self.fail(job, f"a task failed {count} times, the limit")
        return self.journal.record_job(job)

    def on_durable(self, states):
        """Makes recorded final states visible to callers.

        Args:
            states: Pairs of a job and the state of it that is now durable in
                the journal.
        """
        for job, state in states:
            if state.final:
                job.reported_state = state
                job.steps = {} if not job.runs() else job.steps


def charge_left(job, charges):
    """Returns what run attempts of a job may use after its end.

    Args:
        job: Job.
        charges: Pairs of ``Resources`` and the number of run attempts.

    Returns:
        ``ChargeLeft``; None if the job has no team or no run attempts.
    """
    if job.spec.team is None or not charges:
        return None
    totals = [0, 0, 0]
    for charge, count in charges:
        for place, amount in enumerate(team_caps.amounts(charge)):
            totals[place] += amount * count
    return records.ChargeLeft(
        job.spec.team.name, model.Resources(*totals), round(clock.wall_ms())
    )
