"""Specifications of jobs, queues and pools, and reports of workers."""

import enum
import typing

import msgspec

from cicadafold.jobs.resources import Resources
from cicadafold.jobs import spec_checks
from cicadafold.teams import model as team_model

__all__ = [
    "AdviceCost",
    "Configuration",
    "EndReport",
    "EndKind",
    "WorkerReport",
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
    """State of a job, as reported to its callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self):
        """Whether a job in this state never changes state again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class EndKind(enum.Enum):
    """How a run attempt ended on its worker.

    Attributes:
        DONE: The task completed.
        FAILED: The run attempt failed, because of the task or the worker.
        STOPPED: The run attempt was stopped by a command.
        LEASE_EXPIRED: The worker stopped it because its lease had expired.
        GANG_MEMBER_ENDED: Another member of its gang had ended.
        GANG_INCOMPLETE: The other members of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_INCOMPLETE = "alone"


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a step of a job: a number of identical tasks.

    Attributes:
        tasks: Number of tasks.
        need: Resources that each task needs.
        estimate_ms: Rough estimate of a task's duration in milliseconds.
        after: Numbers of the steps of the job that must be done before this
            one starts.
        gang: Whether the tasks must all run at the same time.
        one_rack: Whether a gang runs slower on workers of several racks.
        label: Label that a worker must have, or empty for any worker.
        data_rack: Rack that holds the input data, or empty.
        per_host: Maximum number of tasks of the step on one worker; 0 for
            no limit.
        speculative: Whether a task may run as several copies at a time.
        lasting: Whether the tasks run until the job is cancelled.
        checkpoints: Whether the tasks save checkpoints.
        image: Name of the image that the tasks run, or empty.
        tail_target_ms: Upper bound in milliseconds for the tail latency of
            the service that the tasks provide; 0 for none.
        fills: Whether the tasks only use cores that other tasks leave idle,
            and so reserve none.
        may_miss: Maximum number of tasks that the system may make
            unavailable at the same time.
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

    def __post_init__(self):
        """Refuses values out of range."""
        spec_checks.check_step(self)

    @property
    def reserved_resources(self):
        """Resources that one task reserves of its worker's capacity."""
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class AdviceCost(msgspec.Struct, frozen=True):
    """Duration of a call for placement advice, and validity of its tickets.

    Attributes:
        base_ms: Fixed part of the duration of a call, in milliseconds.
        per_host_ms: Additional duration for each worker that the call names,
            in milliseconds.
        valid_ms: Milliseconds for which a ticket is valid.
    """

    base_ms: float
    per_host_ms: float
    valid_ms: float


class QueueRule(msgspec.Struct, frozen=True, omit_defaults=True):
    """Configuration of a queue.

    Attributes:
        name: Name of the queue.
        authority: Host name to which callers send the requests of the queue.
        prefix: Prefix of the request paths that belong to the queue.
        pool: Name of the pool of workers that run its jobs.
        priority: Priority; 0 is the highest and may preempt the others.
        max_failures: Number of failed run attempts of a task, or of a gang,
            at which the job fails.
        stretch: Factor by which the latency objective multiplies the
            estimated duration of the job's longest chain of steps.
        target_ms: Constant part of the latency objective, in milliseconds.
        advice: Cost of placement advice, or None if the queue's tasks may
            run on any worker without advice.
        anonymous: Whether its calls need no key of a team.
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
    anonymous: bool = False

    def __post_init__(self):
        """Refuses values out of range."""
        spec_checks.check_queue_rule(self)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a job, as submitted by its caller.

    Attributes:
        id: Identifier chosen by the caller.
        rule: Configuration of its queue at the time of acceptance.
        payload: Text that is passed to each task.
        steps: Steps in order.
        accepted_ms: Unix time in milliseconds at which it was accepted.
        waited_ms: Milliseconds for which the caller's request had waited
            before then.
        repeats: Number of occurrences; 0 runs the steps once, without
            waiting for ``first_due_ms``.
        first_due_ms: Unix time in milliseconds at which the first occurrence
            is due.
        interval_ms: Milliseconds between the due times of successive
            occurrences.
        team: Rule of the team that submitted it, at the time of acceptance;
            None if the cell has no teams or the queue is anonymous.
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
    team: team_model.TeamRule | None = None

    def __post_init__(self):
        """Refuses values out of range."""
        spec_checks.check_job(self)

    @property
    def team_name(self):
        """Name of the team that submitted the job, or empty."""
        return "" if self.team is None else self.team.name

    @property
    def queue(self):
        """Name of the queue that the job was submitted to."""
        return self.rule.name

    @property
    def occurrences(self):
        """Number of times that the steps run."""
        return max(1, self.repeats)


class TaskName(msgspec.Struct, frozen=True):
    """Name of a task, unique within the cell.

    Attributes:
        job: Identifier of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step within the job, from 0.
        index: Number of the task within the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int


class RunReport(msgspec.Struct, frozen=True):
    """Report of a worker on a run attempt that it is executing.

    Attributes:
        name: Name of the task, or None if it cannot be parsed.
        attempt: Number of the run attempt.
        checkpoint: Newest checkpoint, or empty.
        percent: Progress from 0 to 100.
        reading: Tail latency in milliseconds for a step with
            ``tail_target_ms``, or cores in use.
    """

    name: TaskName | None
    attempt: int
    checkpoint: str
    percent: float
    reading: float


class EndReport(msgspec.Struct, frozen=True):
    """Report of a worker on the end of a run attempt.

    Attributes:
        number: Sequence number of the end within the worker's incarnation.
        name: Name of the task, or None if it cannot be parsed.
        attempt: Number of the run attempt.
        kind: How it ended.
        checkpoint: Last checkpoint, or empty.
    """

    number: int
    name: TaskName | None
    attempt: int
    kind: EndKind
    checkpoint: str


class PoolRule(msgspec.Struct, frozen=True):
    """Configuration of a pool of workers.

    Attributes:
        name: Name of the pool.
        guards_room: Whether its workers have an admission check, which
            rejects a start that exceeds their free capacity.
        standby: Whether its workers are switched off.
    """

    name: str
    guards_room: bool = False
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """Configuration of the cell.

    Attributes:
        version: Version number; a higher version replaces a lower one.
        queues: ``QueueRule`` of each queue by its name.
        pools: ``PoolRule`` of each pool by its name.
        max_body_bytes: Maximum size of a request body in bytes.
        teams: ``TeamRule`` of each team by its name; None if the cell has no
            teams, so that no call needs a key.
        keys: Name of the team by the digest of each of its keys.
    """

    version: int
    queues: dict[str, QueueRule]
    pools: dict[str, PoolRule]
    max_body_bytes: int
    teams: dict[team_model.TeamName, team_model.TeamRule] | None = None
    keys: dict[team_model.KeyDigest, team_model.TeamName] = {}

    def __post_init__(self):
        """Refuses values out of range."""
        spec_checks.check_configuration(self)


class WorkerReport(msgspec.Struct, frozen=True):
    """Report of a worker in the platform's registry.

    Attributes:
        id: Name of the worker.
        pool: Name of its pool.
        address: IP number and port.
        domain: Name of its failure domain.
        draining: Whether it is draining.
        remaining_ms: Minimum number of milliseconds until it leaves, if it
            is draining.
        born_ms: Unix time in milliseconds at which its incarnation started.
        capacity: Total resources that it offers to tasks.
        labels: Its labels; one of them names its rack.
        sequence: Counter of its reports within the incarnation.
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
