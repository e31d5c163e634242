"""Descriptions of jobs, queues and hosts, as the scheduler uses them."""

import enum
import typing

import msgspec

__all__ = [
    "AdviceCost",
    "Configuration",
    "EndReport",
    "EndKind",
    "HostReport",
    "JobId",
    "JobSpec",
    "JobState",
    "PoolRule",
    "QueueName",
    "QueueRule",
    "Resources",
    "StepSpec",
    "TaskName",
    "RunReport",
]

JobId = typing.NewType("JobId", str)
QueueName = typing.NewType("QueueName", str)


class JobState(enum.Enum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self):
        """Whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class EndKind(enum.Enum):
    """How a run ended on its worker.

    Attributes:
        DONE: It finished its work.
        FAILED: It failed, through its own fault or the worker's.
        STOPPED: It was stopped on request.
        LAPSED: Its lease expired.
        BROKEN: Another member of its gang ended.
        ALONE: The other members of its gang did not come in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_INCOMPLETE = "alone"


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of a worker's room.

    Attributes:
        cores_milli: Thousandths of a core.
        memory_mb: Megabytes of memory.
        accelerators: Whole accelerators.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, capacity):
        """Whether this amount fits into a room."""
        return (
            self.cores_milli <= capacity.cores_milli
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: a number of equal tasks.

    Attributes:
        tasks: Number of tasks.
        need: Room that one task takes.
        estimate_ms: Rough estimate of a task's duration.
        after: Numbers of the steps whose tasks must be done before.
        gang: Whether the tasks only work all together.
        one_rack: Whether the gang is slowed when it spans racks.
        label: Label that the worker must carry, or empty.
        data_rack: Rack where the data lies, or empty.
        per_host: Most tasks of the step on one worker; 0 means no bound.
        speculative: Whether copies may run beside each other.
        lasting: Whether the tasks run until the job is cancelled.
        checkpoints: Whether the tasks save their progress.
        image: Name of what the tasks run, or empty.
        tail_target_ms: Bound of the tail latency that the tasks serve.
        fills: Whether the tasks only take cores that others leave unused.
        may_miss: Tasks that the system may make unavailable at a time.
    """

    tasks: int
    need: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_host: int = 0
    speculative: bool = False
    lasting: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved_resources(self):
        """Room that one task takes from its worker's capacity."""
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class AdviceCost(msgspec.Struct, frozen=True):
    """What a call for advice costs, and how long its tickets hold.

    Attributes:
        base_ms: Duration of a call.
        per_host_ms: Additional duration for each worker named.
        valid_ms: How long a ticket holds.
    """

    base_ms: float
    per_host_ms: float
    valid_ms: float


class QueueRule(msgspec.Struct, frozen=True):
    """A queue, as the operators configured it.

    Attributes:
        name: Name of the queue.
        authority: Host name that callers address.
        prefix: Start of the paths that belong to the queue.
        pool: Name of the pool of workers.
        priority: Rank; 0 comes first and may preempt others.
        max_failures: Failed runs of a task after which the job fails.
        stretch: Factor on the chain of work in the latency objective.
        target_ms: Constant part of the latency objective.
        advice: Cost of advice, or None if any worker may be used.
    """

    name: str
    authority: str
    prefix: str
    pool: str
    priority: int = 0
    max_failures: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    advice: AdviceCost | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller described it.

    Attributes:
        id: Identifier that the caller chose.
        rule: Rule of its queue when it was accepted.
        payload: Text that is handed to each task.
        steps: Steps in order.
        accepted_ms: Unix time in milliseconds of the acceptance.
        waited_ms: Time the call had waited before it was recorded.
        repeats: Number of occurrences; 0 means once, at once.
        first_due_ms: Unix time in milliseconds of the first occurrence.
        interval_ms: Time between two occurrences.
    """

    id: str
    rule: QueueRule
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    waited_ms: int = 0
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def queue(self):
        """Name of the queue."""
        return self.rule.name

    @property
    def occurrences(self):
        """How many times the steps run."""
        return max(1, self.repeats)


class TaskName(msgspec.Struct, frozen=True):
    """Name of one task within the cell."""

    job: str
    occurrence: int
    step: int
    index: int


class RunReport(msgspec.Struct, frozen=True):
    """A running task, as its worker reports it.

    Attributes:
        name: Task, or None if its name cannot be read.
        attempt: Number of the run.
        checkpoint: Newest saved progress, or empty.
        percent: Progress from 0 to 100.
        reading: Tail latency in milliseconds, or cores in use.
    """

    name: TaskName | None
    attempt: int
    checkpoint: str
    percent: float
    reading: float


class EndReport(msgspec.Struct, frozen=True):
    """An end of a run, as its worker reports it.

    Attributes:
        number: Number of the end in this life of the worker.
        name: Task, or None if its name cannot be read.
        attempt: Number of the run.
        kind: How it ended.
        checkpoint: Saved progress, or empty.
    """

    number: int
    name: TaskName | None
    attempt: int
    kind: EndKind
    checkpoint: str


class PoolRule(msgspec.Struct, frozen=True):
    """A pool of workers, as the operators configured it.

    Attributes:
        name: Name of the pool.
        guards_room: Whether its workers reject what does not fit.
        standby: Whether its machines are off.
    """

    name: str
    guards_room: bool = False
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """A whole configuration of the cell.

    Attributes:
        version: Version; higher versions replace lower ones.
        queues: Queues by name.
        pools: Pools by name.
        max_body_bytes: Largest body of a call.
    """

    version: int
    queues: dict[str, QueueRule]
    pools: dict[str, PoolRule]
    max_body_bytes: int


class HostReport(msgspec.Struct, frozen=True):
    """What a worker says of itself in the registry.

    Attributes:
        id: Name of the worker.
        pool: Pool that it belongs to.
        address: IP number and port.
        domain: Failure domain.
        draining: Whether it is about to leave.
        remaining_ms: Least time until it leaves, while it drains.
        born_ms: Unix time in milliseconds of the start of this life.
        capacity: Room that it offers.
        labels: Its labels; one of them names its rack.
        sequence: Counter of its reports in this life.
    """

    id: str
    pool: str
    address: str
    domain: str
    draining: bool
    remaining_ms: int
    born_ms: int
    capacity: Resources
    labels: tuple[str, ...]
    sequence: int
