"""Events of jobs and run attempts, in the order in which they happened."""

import enum

import msgspec

from cicadafold import clock

__all__ = ["Event", "EventLog", "Kind"]


class Kind(enum.Enum):
    """What happened.

    Attributes:
        SUBMITTED: A caller is about to submit a job.
        CANCELLED: A cancellation was answered, with 200 if it was taken, or
            with 410 if the job was taken as unknown.
        SHOWN: A state of a job was shown.
        STARTED: A worker started a run attempt.
        CHECKPOINTED: A run attempt reached a checkpoint.
        ENDED: A run attempt ended, also with its worker.
        ACKNOWLEDGED: The scheduler acknowledged the end of a run attempt.
    """

    SUBMITTED = "submitted"
    CANCELLED = "cancelled"
    SHOWN = "shown"
    STARTED = "started"
    CHECKPOINTED = "checkpointed"
    ENDED = "ended"
    ACKNOWLEDGED = "acknowledged"


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One event.

    Attributes:
        at_ms: Monotonic time in milliseconds.
        kind: What happened.
        job: Identifier of the job.
        task: Name of the task, empty for an event of a job.
        worker: Name of the worker, empty for an event of a job.
        attempt: Number of the run attempt.
        value: Specification that was submitted or started, state that was
            shown, status of a cancellation, outcome of an end, or checkpoint
            that was reached.
        checkpoint: Checkpoint from which a run attempt was started.
        tasks: Numbers of tasks of the steps of a submitted job.
        gangs: Whether each step of a submitted job is a gang.
    """

    at_ms: float
    kind: Kind
    job: str
    task: str = ""
    worker: str = ""
    attempt: int = 0
    value: str = ""
    checkpoint: str = ""
    tasks: tuple[int, ...] = ()
    gangs: tuple[bool, ...] = ()


class EventLog:
    """The events of a run.

    Attributes:
        events: The events, oldest first.
    """

    def __init__(self):
        self.events = []

    def add_job(self, kind, job, **fields):
        """Adds an event of a job."""
        self.events.append(
            Event(at_ms=clock.monotonic_ms(), kind=kind, job=job, **fields)
        )

    def add_run(self, kind, task, **fields):
        """Adds an event of a run attempt of a task."""
        job = task.partition(".")[0]
        self.add_job(kind, job, task=task, **fields)

    def write(self, path):
        """Writes all events to a file, one a line as JSON."""
        with open(path, "wb") as output:
            for event in self.events:
                output.write(msgspec.json.encode(event) + b"\n")
