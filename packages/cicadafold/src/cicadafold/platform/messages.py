"""Messages of the platform's log service, host list and targets."""

import enum

import msgspec

__all__ = [
    "AppendReply",
    "FenceRequest",
    "HostEntry",
    "HostList",
    "HostState",
    "LogEntry",
    "ReadReply",
    "Refusal",
    "RefusalCode",
    "RenewRequest",
    "StartTask",
    "TargetReply",
    "TaskReport",
    "TaskState",
]


class Message(msgspec.Struct, kw_only=True, gc=False, omit_defaults=True):
    """Base of the platform's messages; unknown fields are ignored."""


class AppendReply(Message):
    """Answer to an append; ``offset`` is that of the appended entry."""

    offset: int


class LogEntry(Message):
    """One entry of a log stream.

    Attributes:
        offset: Position in the stream, counted from 1.
        at_ms: Time of the append by the log's clock, in milliseconds.
        body: JSON text of the entry, not decoded.
    """

    offset: int
    at_ms: int
    body: msgspec.Raw


class ReadReply(Message):
    """Answer to a read of a log stream.

    Attributes:
        entries: Entries in order of their offsets.
        oldest: Smallest offset that the log retains.
        next_offset: Offset of the next appended entry.
        now_ms: Reading of the log's clock in milliseconds.
    """

    entries: list[LogEntry]
    oldest: int
    next_offset: int
    now_ms: int


class HostState(enum.Enum):
    """State of a worker in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(Message):
    """A worker in the platform's list.

    Attributes:
        slots: Largest number of tasks that may run at once.
        cores: Total number of CPU cores.
        memory_mb: Total memory in megabytes.
        accelerators: Total number of accelerators.
    """

    name: str
    address: str
    rack: str
    failure_domain: str
    region: str
    state: HostState = HostState.LIVE
    slots: int = 8
    cores: float = 16.0
    memory_mb: int = 32768
    accelerators: int = 0


class HostList(Message):
    """The platform's list of workers, which lags behind their real state."""

    hosts: list[HostEntry]


class TaskState(enum.Enum):
    """State of a task on its target.

    Attributes:
        LAPSED: The task was stopped because its lease expired.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class StartTask(Message):
    """Starts a task on a target, which answers when the task ends.

    Attributes:
        epoch: Boot identifier of the incarnation that must run the task.
        fence: Fencing token: the term of the rack's owner. A target refuses
            tokens lower than the highest that it has received.
        start_by_ms: Time on the target's clock after which it refuses the
            start.
        lease_until_ms: Time on the target's clock at which the task's lease
            expires.
        payload: Text that is handed to the task.
    """

    task_id: str
    epoch: str
    fence: int
    start_by_ms: int
    lease_until_ms: int
    cores: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0
    payload: str = ""


class TaskReport(Message):
    """State of one task on a target.

    Attributes:
        cores: Cores reserved for the task.
        memory_mb: Megabytes of memory reserved for the task.
        accelerators: Accelerators reserved for the task.
        cores_used: Cores in use when the target last measured them.
        memory_used_mb: Megabytes in use when the target last measured them.
    """

    task_id: str
    state: TaskState
    result: str = ""
    cores: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0
    cores_used: float = 0.0
    memory_used_mb: int = 0


class FenceRequest(Message):
    """Raises the fencing token of a target and asks for its tasks."""

    fence: int


class RenewRequest(Message):
    """Renews the leases of tasks and acknowledges the ends of others.

    Attributes:
        fence: Fencing token.
        until_ms: New end of the leases, on the target's clock.
        tasks: Identifiers of the tasks whose leases are renewed.
        acknowledged: Identifiers of ended tasks whose results the target
            may delete.
    """

    fence: int
    until_ms: int
    tasks: list[str] = []
    acknowledged: list[str] = []


class TargetReply(Message):
    """Answer of a target.

    Attributes:
        epoch: Boot identifier of the target's current incarnation.
        now_ms: Reading of the target's clock in milliseconds.
        booted_ms: Reading of the target's clock when this incarnation
            started; the target has no record of tasks from before.
        tasks: Reports of the tasks that the call was about.
    """

    epoch: str
    now_ms: int
    booted_ms: int = 0
    tasks: list[TaskReport] = []


class RefusalCode(enum.Enum):
    """Reason why a target refused a call; a refused start never runs.

    Attributes:
        FENCED: The fencing token is lower than one received before.
        EXPIRED: The start arrived after ``start_by_ms`` or after the end of
            the lease.
        WRONG_EPOCH: The target has restarted since ``epoch``.
        LEAVING: The target accepts no new tasks because it is leaving.
        KNOWN: The target already runs a task with this identifier, or has
            completed it.
    """

    FENCED = "fenced"
    EXPIRED = "expired"
    WRONG_EPOCH = "wrong_epoch"
    LEAVING = "leaving"
    KNOWN = "known"


class Refusal(Message):
    """Refusal of a call.

    Attributes:
        code: Reason of the refusal.
        epoch: Boot identifier of the target's current incarnation.
        now_ms: Reading of the target's clock in milliseconds.
    """

    code: RefusalCode
    epoch: str
    now_ms: int
