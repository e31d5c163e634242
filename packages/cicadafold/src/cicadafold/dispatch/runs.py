"""Runs of tasks on workers, and the room that they take."""

import enum

from cicadafold import clock
from cicadafold.scheduling import rooms
from cicadafold.scheduling import speeds

__all__ = ["Run", "RunState", "Worker", "run_fields"]

# The platform bounds a worker's clock to be at most 2% slow.
SLOW_CLOCK = 1.02
LAPSE_MARGIN_MS = 150.0
# A worker that drains serves at least about this long.
DEFAULT_REMAINING_MS = 2500.0
# An order without an answer may be carried out this much later; the
# platform speaks of seconds, up to 12 were seen.
LATEST_ORDER_MS = 13000.0


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
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"


class Run:
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
        "ordered_ms",
        "pace",
        "percent",
        "percent_ms",
        "reading",
        "rated_ms",
        "room",
        "started_ms",
        "state",
        "stop_wanted",
        "stopped_ms",
        "stopping",
        "task",
        "uncertain",
        "worker",
    )

    def __init__(self, *, task, name, attempt, worker, room, state, now_ms):
        self.task = task
        self.name = name
        self.attempt = attempt
        self.worker = worker
        self.room = room
        self.state = state
        self.ordered_ms = now_ms
        self.answered_ms = None
        self.started_ms = now_ms
        self.percent = 0.0
        self.percent_ms = now_ms
        self.stop_wanted = False
        self.stopping = False
        self.stopped_ms = None
        self.reading = 0.0
        self.rated_ms = None
        self.pace = 100
        self.uncertain = False

    @property
    def key(self):
        """Name and attempt."""
        return self.name, self.attempt


def run_fields(run):
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
        self.begun_ms = now_ms
        self.reset_counts()
        self.late_orders = {}
        self.closed = True
        self.open_batch = None
        self.silent_since_ms = None
        self.lapse_at_ms = None
        self.lapsed = False
        self.fenced = False
        self.quarantined_until_ms = 0.0
        self.faults = 0
        self.faulty_jobs = frozenset()
        self.meter = speeds.SpeedMeter()
        self.speed = 1.0
        self.reported_ms = now_ms
        self.used = [0, 0, 0]
        self.rack = rooms.rack_of(report.labels)
        self.labels = frozenset(report.labels)

    def reset_counts(self):
        """Forgets the numbers of ends, at the start of a life."""
        self.acknowledged = 0
        self.seen = 0
        self.unrecorded = []

    def add(self, run):
        """Takes room for a run."""
        self.runs[run.key] = run
        self.count(run.room, 1)
        if run.task is not None:
            run.task.runs.append(run)

    def remove(self, run):
        """Gives back the room of a run that is proved gone."""
        if self.runs.pop(run.key, None) is None:
            return
        if run.uncertain:
            self.late_orders[run.key] = (run.room, run.ordered_ms)
        self.count(run.room, -1)
        if run.task is not None:
            run.task.runs.remove(run)

    def count(self, room, sign):
        """Adds to the used room."""
        self.used[0] += sign * room.cores_milli
        self.used[1] += sign * room.memory_mb
        self.used[2] += sign * room.accelerators

    def usable(self, now_ms):
        """Whether it may be given new runs."""
        return (
            self.fenced
            and not self.closed
            and self.listed
            and not self.report.draining
            and self.silent_since_ms is None
            and now_ms >= self.quarantined_until_ms
        )

    def view(self):
        """Returns its free room for placement."""
        capacity = self.report.capacity
        return rooms.HostRoom(
            self.report.id,
            self.rack,
            self.report.domain,
            self.labels,
            capacity.cores_milli - self.used[0],
            capacity.memory_mb - self.used[1],
            capacity.accelerators - self.used[2],
            self.speed,
        )

    def lease_until(self, lease_ms, now_ms):
        """Returns the end of a lease that begins now, by its clock."""
        until = int(self.clock.lower_bound_ms(at_ms=now_ms) + lease_ms)
        self.deadline_ms = max(self.deadline_ms, until)
        return until

    def silent(self, now_ms, longest_ms):
        """Notes an unanswered call and when its leases are over.

        Args:
            now_ms: Monotonic time.
            longest_ms: Longest lease, for a worker never heard of.
        """
        if self.silent_since_ms is None:
            self.silent_since_ms = now_ms
        if self.clock.updated_ms is None:
            left_ms = longest_ms - (now_ms - self.begun_ms)
        else:
            left_ms = self.deadline_ms - self.clock.lower_bound_ms(
                at_ms=now_ms
            )
        if self.lapse_at_ms is None:
            self.lapse_at_ms = (
                now_ms + max(0.0, left_ms) * SLOW_CLOCK + LAPSE_MARGIN_MS
            )

    def take_late_orders(self, now_ms):
        """Returns unanswered orders that a new life may still carry out.

        Returns:
            Their runs, which take room until a stop is answered.
        """
        found = []
        for (name, attempt), (room, ordered_ms) in self.late_orders.items():
            if now_ms - ordered_ms > LATEST_ORDER_MS:
                continue
            run = Run(
                task=None,
                name=name,
                attempt=attempt,
                worker=self,
                room=room,
                state=RunState.DOUBTFUL,
                now_ms=ordered_ms,
            )
            run.uncertain = True
            found.append(run)
        self.late_orders = {}
        return found

    def remaining_ms(self, now_ms):
        """Returns the least time until it leaves, while it drains."""
        said_ms = self.report.remaining_ms or DEFAULT_REMAINING_MS
        return said_ms - (now_ms - self.reported_ms)

    def answered(self):
        """Notes that it answers."""
        self.silent_since_ms = None
        self.lapse_at_ms = None
        self.lapsed = False
