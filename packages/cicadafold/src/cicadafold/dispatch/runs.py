"""Runs of tasks on workers, and the room that they take."""

import enum

from cicadafold import clock
from cicadafold.scheduling import speeds
from cicadafold.scheduling import views

__all__ = ["RunAttempt", "RunState", "Worker", "run_log_fields"]

# The platform bounds a worker's clock to be at most 2% slow.
SLOW_CLOCK_FACTOR = 1.02
LEASE_MARGIN_MS = 150.0
# A worker that drains serves at least about this long.
DEFAULT_DRAIN_MS = 2500.0
# An order without an answer may be carried out this much later; the
# platform speaks of seconds, up to 12 were seen.
MAX_START_DELAY_MS = 13000.0


class RunState(enum.Enum):
    """What is known of a run.

    Attributes:
        STARTING: Its order is on the way.
        RUNNING: Its worker has taken the order.
        DOUBTFUL: The order was not answered and may be carried out later.
        STOPPING: A stop was answered; its end is not listed yet.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"
    STOPPING = "stopping"


class RunAttempt:
    """One run of a task on a worker.

    Attributes:
        task: Task, or None if its job is not known.
        name: Name of the task.
        attempt: Number of the run.
        worker: Worker that it was ordered on.
        room: Room that it takes until it is proved gone.
        state: What is known of it.
        answered_ms: Monotonic time of the answer to its order.
        started_ms: Monotonic time from which it is taken to work.
        percent: Progress that its worker last reported.
        percent_ms: Monotonic time at which the progress last grew.
        stop_wanted: Whether it should be stopped.
        stopped_ms: Monotonic time of the answer to its stop, or None.
        reading: Tail latency in milliseconds, or cores in use.
        rated_ms: Time of the report before, from which its rate is taken.
        pace: Share of its speed at which it may work.
        uncertain: Whether its order was not answered, and nothing has
            shown since that it was carried out.
    """

    __slots__ = (
        "answered_ms",
        "attempt",
        "name",
        "start_sent_ms",
        "pace",
        "percent",
        "progress_changed_ms",
        "reading",
        "rate_measured_ms",
        "room",
        "started_ms",
        "state",
        "stop_requested",
        "stop_answered_ms",
        "stop_in_progress",
        "task",
        "start_unconfirmed",
        "worker",
    )

    def __init__(self, *, task, name, attempt, worker, room, state, now_ms):
        self.task = task
        self.name = name
        self.attempt = attempt
        self.worker = worker
        self.room = room
        self.state = state
        self.start_sent_ms = now_ms
        self.answered_ms = None
        self.started_ms = now_ms
        self.percent = 0.0
        self.progress_changed_ms = now_ms
        self.stop_requested = False
        self.stop_in_progress = False
        self.stop_answered_ms = None
        self.reading = 0.0
        self.rate_measured_ms = None
        self.pace = 100
        self.start_unconfirmed = False

    @property
    def key(self):
        """Name and attempt."""
        return self.name, self.attempt


def run_log_fields(run):
    """Returns the fields of a log line about a run."""
    return {
        "request_id": run.name.job,
        "step": run.name.step,
        "task": run.name.index,
        "attempt": run.attempt,
        "worker": run.worker.report.id,
    }


class Worker:
    """One worker as the scheduler knows it.

    Attributes:
        report: Newest report of the registry.
        listed: Whether the registry has it.
        runs: Runs that may be on it, by name and attempt.
        clock: Estimate of its clock.
        born_ms: Start of its life as it says itself, or None.
        deadline_ms: Latest lease end that was sent, by its clock.
        acknowledged: Ends up to this number are recorded.
        seen: Number of the newest end that was handled.
        unrecorded: Numbers of handled ends with their journal batches.
        silent_since_ms: Monotonic time of the first unanswered call.
        lapse_at_ms: Monotonic time after which no lease is left, None
            while it answers.
        fenced: Whether it has taken this scheduler's fence.
        quarantined_until_ms: Time before which it gets no new runs.
        faults: Quarantines in a row.
        meter: Speed seen in the progress of its runs.
        speed: Speed against the median of its pool.
        reported_ms: Monotonic time of its newest report.
        faulty_jobs: Jobs with a failed run since the last success.
        late_orders: Unanswered orders that were proved dead in this life.
        closed: Whether the record of workers does not let it be given runs.
        open_batch: Journal batch whose record lets it be given runs, or
            None.
    """

    def __init__(self, *, report, now_ms):
        self.report = report
        self.listed = True
        self.runs = {}
        self.clock = clock.WorkerClock()
        self.born_ms = None
        self.deadline_ms = 0
        self.known_since_ms = now_ms
        self.reset_end_numbers()
        self.unconfirmed_starts = {}
        self.closed_to_starts = True
        self.open_batch = None
        self.silent_since_ms = None
        self.lapse_at_ms = None
        self.lapsed = False
        self.fenced = False
        self.quarantined_until_ms = 0.0
        self.quarantines_in_a_row = 0
        self.failed_jobs = frozenset()
        self.speed_meter = speeds.SpeedMeter()
        self.speed = 1.0
        self.reported_ms = now_ms
        self.used = [0, 0, 0]
        self.rack = views.rack_of(report.labels)
        self.labels = frozenset(report.labels)

    def reset_end_numbers(self):
        """Forgets the numbers of ends, at the start of a life."""
        self.acknowledged = 0
        self.handled_end = 0
        self.unrecorded = []

    def add(self, run):
        """Takes room for a run."""
        self.runs[run.key] = run
        self.adjust_used(run.room, 1)
        if run.task is not None:
            run.task.runs.append(run)

    def remove(self, run):
        """Gives back the room of a run that is proved gone."""
        if self.runs.pop(run.key, None) is None:
            return
        if run.start_unconfirmed:
            self.unconfirmed_starts[run.key] = (
                run.room,
                run.start_sent_ms,
            )
        self.adjust_used(run.room, -1)
        if run.task is not None:
            run.task.runs.remove(run)

    def adjust_used(self, resources, sign):
        """Adds to the used room."""
        self.used[0] += sign * resources.cores_milli
        self.used[1] += sign * resources.memory_mb
        self.used[2] += sign * resources.accelerators

    def usable(self, now_ms):
        """Whether it may be given new runs."""
        return (
            self.fenced
            and not self.closed_to_starts
            and self.listed
            and not self.report.draining
            and self.silent_since_ms is None
            and now_ms >= self.quarantined_until_ms
        )

    def scheduling_view(self):
        """Returns its free room for placement."""
        capacity = self.report.capacity
        return views.WorkerView(
            self.report.id,
            self.rack,
            self.report.domain,
            self.labels,
            capacity.cores_milli - self.used[0],
            capacity.memory_mb - self.used[1],
            capacity.accelerators - self.used[2],
            self.speed,
        )

    def extend_lease(self, lease_ms, now_ms):
        """Returns the end of a lease that begins now, by its clock."""
        until = int(self.clock.at_least(at_ms=now_ms) + lease_ms)
        self.deadline_ms = max(self.deadline_ms, until)
        return until

    def mark_silent(self, now_ms, longest_ms):
        """Notes an unanswered call and when its leases are over.

        Args:
            now_ms: Monotonic time.
            longest_ms: Longest lease, for a worker never heard of.
        """
        if self.silent_since_ms is None:
            self.silent_since_ms = now_ms
        if self.clock.seen_ms is None:
            left_ms = longest_ms - (now_ms - self.known_since_ms)
        else:
            left_ms = self.deadline_ms - self.clock.at_least(at_ms=now_ms)
        if self.lapse_at_ms is None:
            self.lapse_at_ms = (
                now_ms
                + max(0.0, left_ms) * SLOW_CLOCK_FACTOR
                + LEASE_MARGIN_MS
            )

    def pop_unconfirmed_starts(self, now_ms):
        """Returns unanswered orders that a new life may still carry out.

        Returns:
            Their runs, which take room until a stop is answered.
        """
        found = []
        for (name, attempt), (
            resources,
            start_sent_ms,
        ) in self.unconfirmed_starts.items():
            if now_ms - start_sent_ms > MAX_START_DELAY_MS:
                continue
            run = RunAttempt(
                task=None,
                name=name,
                attempt=attempt,
                worker=self,
                room=resources,
                state=RunState.UNCONFIRMED,
                now_ms=start_sent_ms,
            )
            run.start_unconfirmed = True
            found.append(run)
        self.unconfirmed_starts = {}
        return found

    def remaining_ms(self, now_ms):
        """Returns the least time until it leaves, while it drains."""
        said_ms = self.report.remaining_ms or DEFAULT_DRAIN_MS
        return said_ms - (now_ms - self.reported_ms)

    def mark_answering(self):
        """Notes that it answers."""
        self.silent_since_ms = None
        self.lapse_at_ms = None
        self.lapsed = False
