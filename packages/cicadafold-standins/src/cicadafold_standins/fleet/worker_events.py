"""What worker processes write down about their run attempts."""

import enum
import os

import msgspec

__all__ = ["Event", "EventFile", "EventKind", "read_events"]


class EventKind(enum.Enum):
    """What has happened on a worker.

    Attributes:
        BORN: An incarnation of the worker has started.
        LEASE: Its lease was extended.
        START: A start command was obeyed.
        REFUSED: A start command was refused.
        END: A run attempt has ended.
        ACKNOWLEDGED: The scheduler has acknowledged an end in time.
        GONE: The process of the incarnation has ended.
    """

    BORN = "born"
    LEASE = "lease"
    START = "start"
    REFUSED = "refused"
    END = "end"
    ACKNOWLEDGED = "acknowledged"
    GONE = "gone"


class Event(msgspec.Struct, omit_defaults=True):
    """An event of one worker.

    Attributes:
        kind: What has happened.
        at_ms: Monotonic time of the machine in milliseconds.
        worker: Name of the worker.
        life: Number of its incarnation.
        task: Name of the task.
        attempt: Number of the run attempt.
        fence: Fence of the command.
        outcome: Outcome of an end, or the reason for a refusal.
        spec: Payload of the task.
        checkpoint: Checkpoint in a start command.
        until_ms: Monotonic time at which the lease lapses; for an end, at
            which the run attempt has stopped, at the latest.
        overfilled: Whether a start exceeded the capacity of the worker.
    """

    kind: EventKind
    at_ms: float
    worker: str
    life: int
    task: str = ""
    attempt: int = 0
    fence: int = 0
    outcome: str = ""
    spec: str = ""
    checkpoint: str = ""
    until_ms: float = 0.0
    overfilled: bool = False


class EventFile:
    """A file of events, one JSON object a line.

    Each event is in the file when ``write`` returns, also if the process is
    killed then.

    Args:
        path: Path of the file.
    """

    def __init__(self, path):
        self.descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
        )

    def write(self, event):
        """Appends an event."""
        os.write(self.descriptor, msgspec.json.encode(event) + b"\n")

    def close(self):
        """Closes the file."""
        os.close(self.descriptor)


def read_events(path):
    """Returns the events in a file; a last line that is cut is left out."""
    lines = path.read_bytes().split(b"\n")
    return [msgspec.json.decode(line, type=Event) for line in lines[:-1]]
