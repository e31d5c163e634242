"""Messages between the processes of the cell.

A query and its reply carry the same number, which the sender of the query
chooses.
"""

import enum

import msgspec

from cicadafold import decoding
from cicadafold.election import loss
from cicadafold.election import terms
from cicadafold.jobs import model
from cicadafold.settings import table
from cicadafold.teams import model as team_model

__all__ = [
    "AdmissionNotice",
    "AdmissionQuery",
    "AdmissionReply",
    "AdviseQuery",
    "AdviseReply",
    "ClaimIntent",
    "ConfigurationNotice",
    "ConfigurationQuery",
    "ConfigurationReply",
    "Health",
    "HealthQuery",
    "HealthReply",
    "KnownHealth",
    "Hello",
    "JobAccepted",
    "JobCancelled",
    "KnownClaim",
    "Outcome",
    "PROCESS_ENDED",
    "PeerAddresses",
    "PendingQuery",
    "PendingReply",
    "RecordQuery",
    "RecordReply",
    "StateQuery",
    "StateReply",
    "TakeOver",
    "decode",
    "encode",
]


# Stands for the newest term that a process knows which has ended.
PROCESS_ENDED = -1


class Hello(msgspec.Struct, tag="hello"):
    """First message over a link, from the process that opened it.

    Attributes:
        member: Name of the process.
        term: Newest term that it knows.
        address: IP number and port for links to it.
        strength: Election priority of its host.
    """

    member: str
    term: terms.Term
    address: str
    strength: float

    def __post_init__(self):
        """Refuses an address that cannot be called."""
        if not table.is_address(self.address):
            raise ValueError("the address is not valid")


class JobAccepted(msgspec.Struct, tag="accepted"):
    """Notifies the scheduler of an accepted job whose record is durable.

    Attributes:
        spec: Specification of the job.
    """

    spec: model.JobSpec


class JobCancelled(msgspec.Struct, tag="cancelled"):
    """Notifies the scheduler of a cancellation whose record is durable.

    Attributes:
        job: Identifier of the job.
    """

    job: str


class ClaimIntent(msgspec.Struct, tag="claiming"):
    """Announces that the sender claims the term after a given one.

    Attributes:
        term: Term that has ended.
    """

    term: terms.Term


class KnownClaim(msgspec.Struct):
    """Answer to the announcement of a claim.

    Attributes:
        term: Term of the newest claim that the process knows, 0 for none.
    """

    term: terms.Term


class PeerAddresses(msgspec.Struct, tag="roster"):
    """Peer addresses that the scheduler knows, sent to its peers.

    Attributes:
        addresses: Addresses of all processes.
        strong: Those of hosts with a high election priority.
    """

    addresses: list[str]
    strong: list[str]


class StateQuery(msgspec.Struct, tag="state"):
    """Asks the scheduler for the state of a job.

    Attributes:
        job: Identifier of the job.
        team: Name of the team that asks, empty for none.
        recorded_age_ms: Milliseconds since its record became durable, if the
            process that asks has accepted it, else None.
    """

    number: int
    job: str
    team: str = ""
    recorded_age_ms: float | None = None


class StateReply(msgspec.Struct, tag="state-is"):
    """Reply to a ``StateQuery``.

    Attributes:
        ready: Whether the scheduler has read the journal far enough to
            answer.
        state: Value of the job's state, or None if the job is unknown.
        foreign: Whether it is a job of another team.
    """

    number: int
    ready: bool
    state: str | None = None
    foreign: bool = False


class PendingQuery(msgspec.Struct, tag="pending"):
    """Asks the scheduler how many jobs of a queue have not started."""

    number: int
    queue: str


class PendingReply(msgspec.Struct, tag="pending-is"):
    """Reply to a ``PendingQuery``.

    Attributes:
        ready: Whether the scheduler has read the journal far enough to
            answer.
        count: Number of jobs that have not started.
    """

    number: int
    ready: bool
    count: int = 0


class AdviseQuery(msgspec.Struct, tag="advise"):
    """Asks a process to call the advice service for a step of a job.

    Attributes:
        job: Identifier of the job.
        occurrence: Number of the job's occurrence.
        step: Number of the step.
        workers: Names of the workers that tickets are wanted for.
        timeout_s: Seconds after which the scheduler stops waiting.
    """

    number: int
    job: str
    occurrence: int
    step: int
    workers: list[str]
    timeout_s: float


class AdviseReply(msgspec.Struct, tag="advised"):
    """Reply to an ``AdviseQuery``.

    Attributes:
        granted: Tickets by name of the worker, or None if the call failed.
        error: Why the call failed.
    """

    number: int
    granted: dict[str, str] | None = None
    error: str = ""


class HealthQuery(msgspec.Struct, tag="health"):
    """Asks a process for the health of its term and of its store access."""

    number: int


class Health(enum.Enum):
    """Health of the term that a process serves.

    Attributes:
        NO_TERM: The process serves no term.
        DEGRADED: The term cannot read all journal partitions at the store,
            or its recovery makes no progress.
        HEALTHY: The term sends commands to workers, or is recovering.
    """

    NO_TERM = "no term"
    DEGRADED = "unwell"
    HEALTHY = "well"


class HealthReply(msgspec.Struct, tag="health-is"):
    """Reply to a ``HealthQuery``.

    Attributes:
        health: Health of the process's term.
        store_age_ms: Milliseconds since the store last answered the
            process.
    """

    number: int
    health: Health
    store_age_ms: float


class KnownHealth(msgspec.Struct):
    """What a process knows of the scheduler.

    Attributes:
        term: Term of the newest claim that the process knows, 0 for none.
        health: Health of that term; None if its process does not answer.
    """

    term: terms.Term
    health: Health | None


class TakeOver(msgspec.Struct, tag="take-over"):
    """Asks a process to claim the next term at once.

    Attributes:
        term: Term that is to be replaced.
        reason: Why it is replaced.
    """

    term: terms.Term
    reason: loss.LossReason = loss.LossReason.HANDED_OVER


class RecordQuery(msgspec.Struct, tag="record"):
    """Asks a process to write a journal record to the jobs topic.

    Attributes:
        key: Key of the record.
        value: Value of the record.
        timeout_s: Seconds after which the sender stops waiting.
    """

    number: int
    key: str
    value: bytes
    timeout_s: float


class Outcome(enum.Enum):
    """Outcome of writing a journal record.

    Attributes:
        STORED: The record is durable.
        REFUSED: The record is not stored and never will be.
        UNKNOWN: The record may be stored.
    """

    STORED = "stored"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RecordReply(msgspec.Struct, tag="record-is"):
    """Reply to a ``RecordQuery``.

    Attributes:
        outcome: Outcome of writing the record.
    """

    number: int
    outcome: Outcome


class ConfigurationQuery(msgspec.Struct, tag="configuration"):
    """Asks up to where a process knows the operators' topic."""

    number: int


class ConfigurationReply(msgspec.Struct, tag="configuration-is"):
    """Reply to a ``ConfigurationQuery``.

    Attributes:
        end: Offset up to which the topic is known.
        age_ms: Milliseconds since it is known to have ended there.
    """

    number: int
    end: int = 0
    age_ms: float = 1e12


class ConfigurationNotice(msgspec.Struct, tag="configuration-notice"):
    """Announces that the operators' topic has grown.

    Attributes:
        end: Offset up to which the sender knows it.
    """

    end: int


class AdmissionNotice(msgspec.Struct, tag="admission-notice"):
    """Announces the teams that are beyond their rate while a pool is full.

    It replaces the previous notice and expires unless it is repeated.

    Attributes:
        term: Term of the sender.
        teams: Names of the teams by name of the pool.
    """

    term: int
    teams: dict[str, list[str]]


class AdmissionQuery(msgspec.Struct, tag="admission"):
    """Asks the scheduler whether to accept a job of an announced team.

    Attributes:
        job: Identifier of the job.
        team: Rule of its team.
        pool: Name of the pool of its queue.
    """

    number: int
    job: str
    team: team_model.TeamRule
    pool: str


class AdmissionReply(msgspec.Struct, tag="admission-is"):
    """Reply to an ``AdmissionQuery``.

    Attributes:
        wait_ms: Milliseconds until the turn of the job, or None if it may be
            accepted now.
    """

    number: int
    wait_ms: float | None = None


Message = (
    Hello
    | PeerAddresses
    | JobAccepted
    | JobCancelled
    | HealthQuery
    | HealthReply
    | TakeOver
    | RecordQuery
    | RecordReply
    | ConfigurationQuery
    | ConfigurationReply
    | ConfigurationNotice
    | StateQuery
    | StateReply
    | PendingQuery
    | PendingReply
    | AdviseQuery
    | AdviseReply
    | AdmissionNotice
    | AdmissionQuery
    | AdmissionReply
)

decode = decoding.json_decoder(Message)
encode = msgspec.json.Encoder().encode
