"""Job files in TOML, as the command line reads them."""

import pathlib
import tomllib

import msgspec

from cicadafold import exception
from cicadafold.jobs import model

__all__ = ["JobFile", "load"]


class StepFile(msgspec.Struct, forbid_unknown_fields=True):
    """One step of a job file; see ``model.StepSpec`` for the meanings."""

    tasks: int = 1
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: list[int] = []
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

    def spec(self):
        """Returns the step as the scheduler knows it."""
        fields = msgspec.structs.asdict(self)
        need = model.Resources(
            fields.pop("cores_milli"),
            fields.pop("memory_mb"),
            fields.pop("accelerators"),
        )
        fields["after"] = tuple(fields["after"])
        return model.StepSpec(need=need, **fields)


class JobFile(msgspec.Struct, forbid_unknown_fields=True):
    """A job file.

    Attributes:
        step: Steps in order.
        payload: Text that is handed to each task.
        repeats: Number of occurrences; 0 means once, at once.
        first_due_ms: Unix time in milliseconds of the first occurrence.
        interval_ms: Time between two occurrences.
    """

    step: list[StepFile]
    payload: str = ""
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


def load(path):
    """Reads a job file.

    Raises:
        InvalidCall: The file cannot be read or has a fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        found = msgspec.convert(tomllib.loads(text), JobFile)
    except (OSError, ValueError) as error:
        raise exception.InvalidCall(
            message=f"The job file {path} has a fault: {error}.",
            remedy="Compare it with examples/jobs/plan.toml.",
        ) from error
    if not found.step:
        raise exception.InvalidCall(
            message=f"The job file {path} has no step.",
            remedy="Add a [[step]] table.",
        )
    return found
