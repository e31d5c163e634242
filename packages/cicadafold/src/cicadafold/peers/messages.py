"""Messages between the processes of the cell."""

import enum

import msgspec

from cicadafold.jobs import model

__all__ = [
    "AdviseQuery",
    "AdviseReply",
    "ConfigurationQuery",
    "ConfigurationReply",
    "Health",
    "HealthQuery",
    "HealthReply",
    "Hello",
    "PendingQuery",
    "JobAccepted",
    "JobCancelled",
    "Outcome",
    "PendingReply",
    "RecordQuery",
    "RecordReply",
    "Roster",
    "StateQuery",
    "StateReply",
    "TakeOver",
    "decode",
    "encode",
]


class Hello(msgspec.Struct, tag="hello"):
    """First message of a link.

    Attributes:
        member: Name of the process that opened the link.
        term: Newest term it knows.
        address: Address for links to it.
        strength: How well its host can carry a scheduler.
    """

    member: str
    term: int
    address: str
    strength: float


class JobAccepted(msgspec.Struct, tag="accepted"):
    """Tells the scheduler of a job whose record is durable."""

    spec: model.JobSpec


class JobCancelled(msgspec.Struct, tag="cancelled"):
    """Tells the scheduler of a cancelling whose record is durable."""

    job: str


class Roster(msgspec.Struct, tag="roster"):
    """Addresses of the processes that the scheduler knows.

    Attributes:
        addresses: All addresses.
        strong: Those of hosts that can well carry a scheduler.
    """

    addresses: list[str]
    strong: list[str]


class StateQuery(msgspec.Struct, tag="state"):
    """Asks for the state of a job."""

    number: int
    job: str


class StateReply(msgspec.Struct, tag="state-is"):
    """Answers a state query.

    Attributes:
        ready: Whether the scheduler could tell.
        state: State shown for the job, None if there is no such job.
    """

    number: int
    ready: bool
    state: str | None = None


class PendingQuery(msgspec.Struct, tag="pending"):
    """Asks how many jobs of a queue have not started."""

    number: int
    queue: str


class PendingReply(msgspec.Struct, tag="pending-is"):
    """Answers a query for pending jobs."""

    number: int
    ready: bool
    count: int = 0


class AdviseQuery(msgspec.Struct, tag="advise"):
    """Asks a host to call the advice service."""

    number: int
    job: str
    occurrence: int
    step: int
    workers: list[str]
    timeout_s: float


class AdviseReply(msgspec.Struct, tag="advised"):
    """Tickets by worker, or why there are none."""

    number: int
    granted: dict[str, str] | None = None
    error: str = ""


class HealthQuery(msgspec.Struct, tag="health"):
    """Asks the scheduler whether it can do its work."""

    number: int


class Health(enum.Enum):
    """What a process says of its term.

    Attributes:
        NO_TERM: It serves none.
        UNWELL: Its term does not reach the store, or not all of it.
        WELL: It gives orders, or is about to.
    """

    NO_TERM = "no term"
    DEGRADED = "unwell"
    HEALTHY = "well"


class HealthReply(msgspec.Struct, tag="health-is"):
    """How the term of a process is, and whether it reaches the store.

    Attributes:
        health: State of its term.
        store_age_ms: Time since the store last answered it.
    """

    number: int
    health: Health
    store_age_ms: float


class TakeOver(msgspec.Struct, tag="take-over"):
    """Asks a process to claim the next term at once.

    Attributes:
        term: Term that the sender has ended.
    """

    term: int


class RecordQuery(msgspec.Struct, tag="record"):
    """Asks a process to write a record to the jobs topic.

    Attributes:
        key: Key of the record.
        value: Value of the record.
        timeout_s: Seconds after which the caller stops waiting.
    """

    number: int
    key: str
    value: bytes
    timeout_s: float


class Outcome(enum.Enum):
    """What became of a record: stored, not stored, or unknown."""

    STORED = "stored"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RecordReply(msgspec.Struct, tag="record-is"):
    """What became of a record."""

    number: int
    outcome: Outcome


class ConfigurationQuery(msgspec.Struct, tag="configuration"):
    """Asks for the configuration if it is newer than a version."""

    number: int
    version: int


class ConfigurationReply(msgspec.Struct, tag="configuration-is"):
    """A newer configuration, or none."""

    number: int
    configuration: model.Configuration | None = None


Message = (
    Hello
    | Roster
    | JobAccepted
    | JobCancelled
    | HealthQuery
    | HealthReply
    | TakeOver
    | RecordQuery
    | RecordReply
    | ConfigurationQuery
    | ConfigurationReply
    | StateQuery
    | StateReply
    | PendingQuery
    | PendingReply
    | AdviseQuery
    | AdviseReply
)

decode = msgspec.json.Decoder(Message).decode
encode = msgspec.json.Encoder().encode
