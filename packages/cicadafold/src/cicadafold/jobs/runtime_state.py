"""The running state of jobs, steps and tasks."""

from cicadafold.jobs import model

__all__ = ["Job", "Step", "Task"]

MS_PER_S = 1000.0


class Task:
    """One task of a step.

    Attributes:
        step: Step that it belongs to.
        index: Number within the step.
        done: Whether a run has ended as done.
        failed_attempts: Attempts that ended as failed.
        runs: Runs that may be on a worker now.
        checkpoint: Newest saved progress, or empty.
        saved_percent: Progress at the time of the checkpoint.
        not_before_ms: Monotonic time before which it is not started.
    """

    __slots__ = (
        "checkpoint",
        "done",
        "failed_attempts",
        "index",
        "name",
        "not_before_ms",
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

    def save_checkpoint(self, checkpoint, percent):
        """Takes a checkpoint that was made at some progress."""
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.saved_percent = max(self.saved_percent, percent)

    @property
    def needs_start(self):
        """Whether it needs a start and nothing of it runs."""
        return not self.done and not self.runs


class Step:
    """One step of one occurrence of a job.

    Attributes:
        job: Job that it belongs to.
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: Description of the step.
        tasks: Its tasks.
        done_count: Tasks that are done.
        failed_attempts: Attempts of the gang in which a member failed.
        tickets: Tickets of the workers that the queue's policy allows.
        allowed: Workers that the policy allows, None while unknown.
        asking: Whether a call for advice is on the way.
        asked_ms: Monotonic time of the last call for advice.
        held_until_ms: Monotonic time before which a gang is not started.
        opened_ms: Monotonic time from which its tasks may start, or None.
        launches: Number of starts in this term, for attempt numbers.
        avoid: Workers on which a run of it failed.
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
        self.gang_not_before_ms = 0.0
        self.ready_ms = None
        self.start_count = 0
        self.avoided_workers = set()

    @property
    def done(self):
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def mark_done(self, task):
        """Marks a task as done."""
        if not task.done:
            task.done = True
            self.done_count += 1

    def checkpoint_for(self, task):
        """Returns the progress from which a task resumes, or empty.

        All members of a gang resume from the same one, and that of any
        member is valid for all.
        """
        if not self.spec.gang:
            return task.checkpoint
        best = max(self.tasks, key=lambda member: member.saved_percent)
        return best.checkpoint

    def is_ready(self, now_ms):
        """Whether its tasks may be started now."""
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
        """Returns the tasks that need a start."""
        return [
            task
            for task in self.tasks
            if not task.done and not task.runs and now_ms >= task.not_before_ms
        ]


class Job:
    """One accepted job.

    Attributes:
        spec: Description of the job.
        rule: Rule of its queue, as last configured.
        arrived_ms: Monotonic time of its first send, as far as known.
        wall_offset_ms: Unix time less monotonic time.
        steps: Lists of steps by occurrence; finished ones are dropped.
        finished: Numbers of the occurrences whose steps are all done.
        state: State now.
        shown: State that callers are told; final ones are recorded first.
        started: Whether any task has been started.
        inherited: Whether an earlier scheduler may have started tasks.
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
        self.objective = None

    def due_ms(self, occurrence):
        """Returns the monotonic time at which an occurrence is due."""
        if self.spec.repeats <= 0:
            return self.arrived_ms
        due = self.spec.first_due_ms + occurrence * self.spec.interval_ms
        return due - self.wall_offset_ms

    def create_due_occurrences(self, now_ms):
        """Creates the steps of the occurrences that are due."""
        for number in range(self.spec.occurrences):
            if number in self.steps or number in self.finished:
                continue
            if now_ms < self.due_ms(number):
                return
            self.steps_of(number)

    def steps_of(self, number):
        """Returns the steps of an occurrence, created when needed."""
        steps = self.steps.get(number)
        if steps is None:
            steps = self.steps[number] = []
            for step in range(len(self.spec.steps)):
                steps.append(Step(job=self, occurrence=number, number=step))
        return steps

    def find_task(self, name):
        """Returns the task of a name, None if there is none."""
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
        """Drops the steps of an occurrence that is done."""
        self.finished.add(number)
        self.steps.pop(number, None)

    @property
    def active(self):
        """Whether tasks may still be started."""
        return not self.state.final

    @property
    def all_done(self):
        """Whether all occurrences are done."""
        return len(self.finished) == self.spec.occurrences

    def runs(self):
        """Returns all runs that may be on a worker."""
        return [
            run
            for steps in self.steps.values()
            for step in steps
            for task in step.tasks
            for run in task.runs
        ]
