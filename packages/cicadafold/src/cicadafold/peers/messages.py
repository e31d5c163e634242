"""Messages between the processes of the cell."""

import msgspec

__all__ = [
    "AdviseQuery",
    "AdviseReply",
    "HealthQuery",
    "HealthReply",
    "Hello",
    "PendingQuery",
    "PendingReply",
    "StateQuery",
    "StateReply",
    "decode",
    "encode",
]


class Hello(msgspec.Struct, tag="hello"):
    """First message of a link.

    Attributes:
        member: Name of the process that opened the link.
        term: Newest term it knows.
    """

    member: str
    term: int


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


class HealthReply(msgspec.Struct, tag="health-is"):
    """Whether the scheduler gives orders and reaches the store."""

    number: int
    healthy: bool


Message = (
    Hello
    | HealthQuery
    | HealthReply
    | StateQuery
    | StateReply
    | PendingQuery
    | PendingReply
    | AdviseQuery
    | AdviseReply
)

decode = msgspec.json.Decoder(Message).decode
encode = msgspec.json.Encoder().encode
