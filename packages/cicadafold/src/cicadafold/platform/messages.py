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
    """Offset that the log gave to an appended entry."""

    offset: int


class LogEntry(Message):
    """One entry of a log stream.

    Attributes:
        offset: Position in the stream, counted from 1.
        at_ms: Time of the append by the log's clock, in milliseconds.
        body: JSON text of the entry.
    """

    offset: int
    at_ms: int
    body: msgspec.Raw


class ReadReply(Message):
    """Entries from an offset on.

    Attributes:
        entries: Entries in order of their offsets.
        oldest: Smallest offset that the log still keeps.
        next_offset: Offset that the next append will get.
        now_ms: The log's clock in milliseconds.
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
    """A worker as the platform's list describes it.

    Attributes:
        cores: Processor cores in all.
        memory_mb: Memory in all, in megabytes.
        slots: Tasks that may run at once.
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
    """The platform's lagging list of workers."""

    hosts: list[HostEntry]


class TaskState(enum.Enum):
    """State of a task on its target."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class StartTask(Message):
    """Asks a target to start a task and to answer when it ends.

    Attributes:
        epoch: Boot identifier of the worker that the start is meant for.
        fence: Ownership term; a lower one than the highest is refused.
        start_by_ms: Worker time after which the start is refused.
        lease_until_ms: Worker time at which the task's lease lapses.
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
    """State of one task; usage lags behind.

    Attributes:
        cores: Cores that are reserved for the task.
        cores_used: Cores that the task was last seen to use.
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
    """Raises the fence of a target and asks for its inventory."""

    fence: int


class RenewRequest(Message):
    """Renews leases and frees acknowledged results.

    Attributes:
        until_ms: Worker time until which the leases are renewed.
        tasks: Tasks whose leases are renewed.
        acknowledged: Ended tasks whose results are no longer needed.
    """

    fence: int
    until_ms: int
    tasks: list[str] = []
    acknowledged: list[str] = []


class TargetReply(Message):
    """Answer of a target with its clock.

    Attributes:
        epoch: Boot identifier of the worker.
        now_ms: The worker's clock, in milliseconds.
        booted_ms: What the clock showed when the worker was booted; it
            knows nothing of tasks from before.
    """

    epoch: str
    now_ms: int
    booted_ms: int = 0
    tasks: list[TaskReport] = []


class RefusalCode(enum.Enum):
    """Why a target refused a call; a refused start never ran."""

    FENCED = "fenced"
    EXPIRED = "expired"
    WRONG_EPOCH = "wrong_epoch"
    LEAVING = "leaving"
    KNOWN = "known"


class Refusal(Message):
    """A refused call with the target's clock."""

    code: RefusalCode
    epoch: str
    now_ms: int
