"""Runtime state of jobs, steps and tasks, as a scheduler tracks it."""

from cicadafold.jobs import model

__all__ = ["Job", "Step", "Task"]

MS_PER_S = 1000.0


class Task:
    """Runtime state of a task of a step.

    Attributes:
        step: Step that the task belongs to.
        index: Number of the task within the step, from 0.
        name: ``TaskName`` of the task.
        done: Whether one of its run attempts has ended as done.
        failed_attempts: Numbers of the run attempts that have failed.
        runs: Run attempts that may be executing on a worker now.
        checkpoint: Newest checkpoint, or empty.
        saved_percent: Highest progress at a checkpoint, from 0 to 100.
        not_before_ms: Monotonic time in milliseconds before which the task
            must not be started.
        crashes: ``CrashHistory`` of the task, or None if it was never lost
            with a worker or belongs to a gang.
        preempted: Whether a run attempt of it was stopped for another step
            in this term.
    """

    __slots__ = (
        "checkpoint",
        "crashes",
        "done",
        "failed_attempts",
        "index",
        "name",
        "not_before_ms",
        "preempted",
        "runs",
        "saved_percent",
        "step",
    )

    def __init__(self, *, step, index):
        self.step = step
        self.index = index
        self.name = model.TaskName(
            step.job.spec.id, step.occurrence, step.number, index
        )
        self.done = False
        self.failed_attempts = set()
        self.runs = []
        self.checkpoint = ""
        self.saved_percent = 0.0
        self.not_before_ms = 0.0
        self.crashes = None
        self.preempted = False

    def save_checkpoint(self, checkpoint, percent):
        """Keeps a checkpoint as the newest one, unless it is empty or known.

        Args:
            checkpoint: Checkpoint as reported by the worker, or empty.
            percent: Progress at the checkpoint, from 0 to 100.
        """
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.saved_percent = max(self.saved_percent, percent)

    @property
    def needs_start(self):
        """Whether the task is not done and has no run attempt."""
        return not self.done and not self.runs

    @property
    def job(self):
        """Job of the task."""
        return self.step.job

    @property
    def unit(self):
        """What is started and fails as one: the step of a gang, or itself."""
        return self.step if self.step.spec.gang else self

    @property
    def log_fields(self):
        """Fields of a log line about the task."""
        return self.step.log_fields | {"task": self.index}


class Step:
    """Runtime state of a step of one occurrence of a job.

    Times are monotonic, in milliseconds.

    Attributes:
        job: Job that the step belongs to.
        occurrence: Number of the occurrence, from 0.
        number: Number of the step within the job, from 0.
        spec: ``StepSpec`` of the step.
        tasks: Tasks of the step by their index.
        done_count: Number of tasks that are done.
        failed_attempts: Numbers of the attempts of the gang in which a
            member failed.
        tickets: Placement ticket and the time at which it expires, for each
            worker that the advice service has allowed.
        allowed_by_worker: Whether the advice service allows each worker that
            it was asked about, by worker name; None while not known.
        advice_pending: Whether a call for advice is in flight.
        advice_requested_ms: Time of the last call for advice.
        advice_paused_until_ms: Time before which it is not asked again about
            workers whose answer is known, as the gang does not fit on them.
        gang_not_before_ms: Time before which the gang must not be started.
        ready_ms: Time at which the step was found ready to start, or None.
        start_count: Number of times in this term that tasks of the step were
            started; attempt numbers derive from it.
        avoided_workers: Names of workers on which a run attempt of the step
            has failed or stalled; others are preferred.
        crashes: ``CrashHistory`` of a gang, or None if no member was lost
            with its worker.
    """

    def __init__(self, *, job, occurrence, number):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = job.spec.steps[number]
        self.tasks = [
            Task(step=self, index=index) for index in range(self.spec.tasks)
        ]
        self.done_count = 0
        self.failed_attempts = set()
        self.tickets = {}
        self.allowed_by_worker = None
        self.advice_pending = False
        self.advice_requested_ms = -1e12
        self.advice_paused_until_ms = 0.0
        self.gang_not_before_ms = 0.0
        self.ready_ms = None
        self.start_count = 0
        self.avoided_workers = set()
        self.crashes = None

    @property
    def step(self):
        """The step itself, as for a task."""
        return self

    @property
    def log_fields(self):
        """Fields of a log line about the step."""
        return {"request_id": self.job.spec.id, "step": self.number}

    @property
    def needs_start(self):
        """Whether a task is not done and has no run attempt."""
        return any(task.needs_start for task in self.tasks)

    @property
    def done(self):
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def mark_done(self, task):
        """Marks a task of the step as done."""
        if not task.done:
            task.done = True
            self.done_count += 1

    def checkpoint_for(self, task):
        """Returns the checkpoint from which a task resumes, or empty.

        All members of a gang must resume from the same checkpoint, and that
        of any member is valid for all; the most advanced one is returned.
        """
        if not self.spec.gang:
            return task.checkpoint
        best = max(self.tasks, key=lambda member: member.saved_percent)
        return best.checkpoint

    def is_ready(self, now_ms):
        """Whether the step is due and the steps it depends on are done.

        Records the time at which that was first found in ``ready_ms``.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if self.ready_ms is not None:
            return True
        job = self.job
        if now_ms < job.due_ms(self.occurrence):
            return False
        steps = job.steps[self.occurrence]
        if all(steps[number].done for number in self.spec.after):
            self.ready_ms = now_ms
            return True
        return False

    def startable_tasks(self, now_ms):
        """Returns the tasks that may be started now and have no run attempt.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        return [
            task
            for task in self.tasks
            if not task.done and not task.runs and now_ms >= task.not_before_ms
        ]


class Job:
    """Runtime state of an accepted job.

    Attributes:
        spec: ``JobSpec`` of the job.
        rule: Configuration of its queue, as of the newest configuration.
        arrived_ms: Monotonic time in milliseconds at which the caller first
            sent the job, as far as known.
        wall_offset_ms: Unix time minus monotonic time, in milliseconds.
        steps: Lists of steps by the number of the occurrence, without
            finished occurrences.
        finished: Numbers of the occurrences whose steps are all done.
        state: Current state.
        reported_state: State that callers see; a final state only once it
            is durable in the journal.
        started: Whether any task of the job has been started.
        inherited: Whether a scheduler of an earlier term may have started
            tasks of the job.
        objective_ms: Latency objective in milliseconds, or None until set.
        left: What its run attempts used when it ended, a ``ChargeLeft``, or
            None.
        beyond_rate: Whether it is beyond the rate of its team.
    """

    def __init__(self, *, spec, arrived_ms, wall_offset_ms):
        self.spec = spec
        self.rule = spec.rule
        self.arrived_ms = arrived_ms
        self.wall_offset_ms = wall_offset_ms
        self.steps = {}
        self.finished = set()
        self.state = model.JobState.QUEUED
        self.reported_state = model.JobState.QUEUED
        self.started = False
        self.inherited = False
        self.objective_ms = None
        self.left = None
        self.beyond_rate = False

    def due_ms(self, occurrence):
        """Returns the monotonic time in ms at which an occurrence is due."""
        if self.spec.repeats <= 0:
            return self.arrived_ms
        due = self.spec.first_due_ms + occurrence * self.spec.interval_ms
        return due - self.wall_offset_ms

    def create_due_occurrences(self, now_ms):
        """Creates the steps of all unfinished occurrences that are due."""
        for number in range(self.spec.occurrences):
            if number in self.steps or number in self.finished:
                continue
            if now_ms < self.due_ms(number):
                return
            self.steps_of(number)

    def ready_steps(self, now_ms):
        """Returns the steps that are due, ready and not done.

        Creates the steps of due occurrences.

        Args:
            now_ms: Monotonic time in milliseconds.
        """
        if self.spec.repeats:
            self.create_due_occurrences(now_ms)
        elif not self.steps:
            self.steps_of(0)
        return [
            step
            for steps in self.steps.values()
            for step in steps
            if not step.done and step.is_ready(now_ms)
        ]

    def steps_of(self, number):
        """Returns the steps of an occurrence; creates them on first use."""
        steps = self.steps.get(number)
        if steps is None:
            steps = self.steps[number] = []
            for step in range(len(self.spec.steps)):
                steps.append(Step(job=self, occurrence=number, number=step))
        return steps

    def find_task(self, name):
        """Returns the task of a name, or None if the job has no such task.

        Tasks of finished occurrences, and of occurrences that were not
        created before the job ended, count as missing.
        """
        if name.occurrence in self.finished:
            return None
        if self.state.final and name.occurrence not in self.steps:
            return None
        if not 0 <= name.occurrence < self.spec.occurrences:
            return None
        if not 0 <= name.step < len(self.spec.steps):
            return None
        tasks = self.steps_of(name.occurrence)[name.step].tasks
        return tasks[name.index] if name.index < len(tasks) else None

    def finish_occurrence(self, number):
        """Marks an occurrence as finished and discards its steps."""
        self.finished.add(number)
        self.steps.pop(number, None)

    @property
    def active(self):
        """Whether tasks of the job may still be started."""
        return not self.state.final

    @property
    def all_done(self):
        """Whether all occurrences are finished."""
        return len(self.finished) == self.spec.occurrences

    def runs(self):
        """Returns all run attempts that may be executing on a worker."""
        return [
            run
            for steps in self.steps.values()
            for step in steps
            for task in step.tasks
            for run in task.runs
        ]
