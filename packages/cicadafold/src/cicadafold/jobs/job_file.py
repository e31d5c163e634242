"""Loads the TOML job files that the command line submits."""

import pathlib
import tomllib

import msgspec

from cicadafold import exception
from cicadafold.jobs import model

__all__ = ["JobFile", "load"]


class StepFile(msgspec.Struct, forbid_unknown_fields=True):
    """A ``[[step]]`` table of a job file.

    The keys mean the same as the fields of ``model.StepSpec``, except that
    ``cores_milli``, ``memory_mb`` and ``accelerators`` together form its
    field ``need``.
    """

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

    def to_spec(self):
        """Returns the table as a ``model.StepSpec``."""
        fields = msgspec.structs.asdict(self)
        need = model.Resources(
            fields.pop("cores_milli"),
            fields.pop("memory_mb"),
            fields.pop("accelerators"),
        )
        fields["after"] = tuple(fields["after"])
        return model.StepSpec(need=need, **fields)


class JobFile(msgspec.Struct, forbid_unknown_fields=True):
    """Content of a job file.

    Attributes:
        step: ``[[step]]`` tables in order.
        payload: Text that is passed to each task.
        repeats: Number of occurrences; 0 runs the steps once, without
            waiting for ``first_due_ms``.
        first_due_ms: Unix time in milliseconds at which the first occurrence
            is due.
        interval_ms: Milliseconds between the due times of successive
            occurrences.
    """

    step: list[StepFile]
    payload: str = ""
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


def load(path):
    """Returns the content of a job file.

    Args:
        path: Path of the TOML file.

    Raises:
        InvalidCall: The file cannot be read, is not valid TOML, has a key of
            the wrong name or type, or has no step.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        content = msgspec.convert(tomllib.loads(text), JobFile)
    except (OSError, ValueError) as error:
        raise exception.InvalidCall(
            message=f"The job file {path} could not be loaded: {error}.",
            remedy="Compare it with examples/jobs/plan.toml.",
        ) from error
    if not content.step:
        raise exception.InvalidCall(
            message=f"The job file {path} has no [[step]] table.",
            remedy="Add a [[step]] table for each step.",
        )
    return content
