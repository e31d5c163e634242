"""Converts between the platform's JSON documents and the model's types."""

import math
import typing

import msgspec

from cicadafold import decoding
from cicadafold.jobs import model
from cicadafold.jobs import spec_checks
from cicadafold.settings import table

__all__ = [
    "format_task_name",
    "job_document",
    "parse_end_report",
    "parse_worker_report",
    "parse_job",
    "parse_number",
    "parse_run_report",
]

MAX_COUNT = spec_checks.MAX_COUNT
MAX_AMOUNT = spec_checks.MAX_AMOUNT
MAX_TASKS = spec_checks.MAX_TASKS
MAX_TIME_MS = spec_checks.MAX_TIME_MS
# Bounds of what another party may send. The journal holds a worker's entry
# and the names of its tasks, in records of bounded size.
MAX_NAME_LENGTH = 256
MAX_LABELS = 32
MAX_ROWS = 100_000
MAX_CHECKPOINT_LENGTH = 1024
MAX_INDEX_DIGITS = 9
FULL_PERCENT = 100.0

Time = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, lt=MAX_AMOUNT)]
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Labels = typing.Annotated[list[Name], msgspec.Meta(max_length=MAX_LABELS)]


class WireCapacity(msgspec.Struct):
    """Capacity of a worker; ``cpu`` in thousandths of a core."""

    cpu: Amount = 0
    memMb: Amount = 0  # noqa: N815
    gpu: Amount = 0

    def resources(self):
        """Returns the capacity in the type of the model."""
        return model.Resources(self.cpu, self.memMb, self.gpu)


class WireResources(msgspec.Struct):
    """Resources of a task; ``cpu`` in thousandths of a core."""

    cpu: int = 0
    memMb: int = 0  # noqa: N815
    gpu: int = 0

    def resources(self):
        """Returns the resources in the type of the model."""
        return model.Resources(self.cpu, self.memMb, self.gpu)


class WireStep(WireResources):
    """A step of a submitted job; ``model.StepSpec`` explains its fields.

    Attributes:
        count: Number of equal tasks.
        affinity: Name of the rack that holds the data, or empty.
        maxPerServer: Most tasks of the step on one worker; 0 means no limit.
        targetMs: Limit of the tail latency that the tasks serve.
        fills: Whether the tasks only use idle cores; their cores then do
            not count against the worker's capacity.
        mayMiss: Number of tasks that may be made unavailable at a time.
    """

    count: int = 1
    estimateMs: float = 0  # noqa: N815
    dependsOn: list[int] = []  # noqa: N815
    checkpointEnabled: bool = False  # noqa: N815
    gang: bool = False
    sameRack: bool = False  # noqa: N815
    requiredLabel: str = ""  # noqa: N815
    affinity: str = ""
    maxPerServer: int = 0  # noqa: N815
    speculative: bool = False
    longRunning: bool = False  # noqa: N815
    image: str = ""
    targetMs: float = 0  # noqa: N815
    fills: bool = False
    mayMiss: int = 0  # noqa: N815


class WireJob(msgspec.Struct):
    """A submitted job.

    ``spec`` is the payload of each task, ``repeats`` the number of
    occurrences: 0 means one, due at once.
    """

    steps: list[WireStep]
    spec: str = ""
    repeats: int = 0
    firstRunMs: int = 0  # noqa: N815
    intervalMs: int = 0  # noqa: N815


class WireServer(msgspec.Struct):
    """A worker's entry in the registry.

    Attributes:
        service: Name of the worker's pool.
        zone: Failure domain.
        born: Unix time in milliseconds at which this incarnation started.
        sequence: Number of the report within the incarnation.
        remainingMs: Least time until the worker stops, while it drains.
    """

    service: Name
    address: Name
    state: Name
    capacity: WireCapacity
    zone: Name = ""
    labels: Labels = []
    born: Time = 0
    sequence: Time = 0
    remainingMs: Time = 0  # noqa: N815


decode_job = decoding.json_decoder(WireJob)
decode_server = decoding.json_decoder(WireServer)

DRAINING_BY_STATE = {"ready": False, "draining": True}


def parse_job(body, *, job, rule, accepted_ms, waited_ms=0, team=None):
    """Decodes and checks a submitted job.

    Args:
        body: JSON text of the job.
        job: Identifier of the job.
        rule: Rule of the queue of the job.
        accepted_ms: Unix time of the acceptance in milliseconds.
        waited_ms: Milliseconds that the call had waited before then.
        team: ``TeamRule`` of the team that submits it, or None.

    Raises:
        ValueError: The body cannot be decoded, or a value is out of range.
    """
    found = decode_job(body)
    if not found.steps:
        raise ValueError("a job needs at least one step")
    if sum(step.count for step in found.steps) > MAX_TASKS:
        raise ValueError(f"over {MAX_TASKS} tasks in total; submit more jobs")
    steps = tuple(
        parse_step(number, step) for number, step in enumerate(found.steps)
    )
    numbers = (found.repeats, found.firstRunMs, found.intervalMs)
    if not all(0 <= number < MAX_TIME_MS for number in numbers):
        raise ValueError("the schedule is out of range")
    if found.repeats > MAX_COUNT:
        raise ValueError("repeats is out of range")
    return model.JobSpec(
        id=job,
        rule=rule,
        payload=found.spec,
        steps=steps,
        accepted_ms=accepted_ms,
        waited_ms=waited_ms,
        repeats=found.repeats,
        first_due_ms=found.firstRunMs,
        interval_ms=found.intervalMs,
        team=team,
    )


def job_document(job_file):
    """Converts a job file to the document that a caller submits."""
    return WireJob(
        steps=[wire_step(step.to_spec()) for step in job_file.step],
        spec=job_file.payload,
        repeats=job_file.repeats,
        firstRunMs=job_file.first_due_ms,
        intervalMs=job_file.interval_ms,
    )


def wire_step(step):
    """Converts a step to the form that the platform uses."""
    return WireStep(
        cpu=step.need.cores_milli,
        memMb=step.need.memory_mb,
        gpu=step.need.accelerators,
        count=step.tasks,
        estimateMs=step.estimate_ms,
        dependsOn=list(step.after),
        checkpointEnabled=step.checkpoints,
        gang=step.gang,
        sameRack=step.one_rack,
        requiredLabel=step.label,
        affinity=step.data_rack,
        maxPerServer=step.per_host,
        speculative=step.speculative,
        longRunning=step.lasting,
        image=step.image,
        targetMs=step.tail_target_ms,
        fills=step.fills,
        mayMiss=step.may_miss,
    )


def parse_step(number, step):
    """Checks a submitted step and returns it as ``StepSpec``.

    Raises:
        ValueError: A field is out of range; the message names the step.
    """
    amounts = (
        step.cpu,
        step.memMb,
        step.gpu,
        step.estimateMs,
        step.targetMs,
        step.maxPerServer,
        step.mayMiss,
    )
    if not 1 <= step.count <= MAX_COUNT:
        raise ValueError(f"step {number}: count is out of range")
    if not all(0 <= amount < MAX_AMOUNT for amount in amounts):
        raise ValueError(f"step {number}: an amount is out of range")
    if not all(0 <= earlier < number for earlier in step.dependsOn):
        raise ValueError(f"step {number}: dependsOn names no earlier step")
    return model.StepSpec(
        tasks=step.count,
        need=step.resources(),
        estimate_ms=int(step.estimateMs),
        after=tuple(step.dependsOn),
        gang=step.gang,
        one_rack=step.sameRack,
        label=step.requiredLabel,
        data_rack=step.affinity,
        per_host=step.maxPerServer,
        speculative=step.speculative,
        lasting=step.longRunning,
        checkpoints=step.checkpointEnabled,
        image=step.image,
        tail_target_ms=int(step.targetMs),
        fills=step.fills,
        may_miss=step.mayMiss,
    )


def parse_worker_report(worker, value):
    """Decodes a worker's entry in the registry.

    Returns:
        The ``WorkerReport`` of the worker, or None if the entry cannot be
        decoded, a field of it is out of range, its state is unknown, or the
        worker cannot be called by its name and address.
    """
    try:
        found = decode_server(value)
        callable_as_named = table.is_name(worker) and table.is_address(
            found.address
        )
    except ValueError:
        return None
    if not callable_as_named:
        return None
    draining = DRAINING_BY_STATE.get(found.state)
    if draining is None:
        return None
    return model.WorkerReport(
        id=worker,
        pool=found.service,
        address=found.address,
        domain=found.zone,
        draining=draining,
        remaining_ms=found.remainingMs,
        born_ms=found.born,
        capacity=found.capacity.resources(),
        labels=tuple(found.labels),
        sequence=found.sequence,
    )


def format_task_name(name):
    """Formats the name of a task as the workers expect it.

    Examples:
        >>> format_task_name(model.TaskName("ab", 0, 1, 17))
        'ab.0.1.17'
    """
    return f"{name.job}.{name.occurrence}.{name.step}.{name.index}"


def parse_task_name(text):
    """Parses the name of a task; returns None for a name of another form."""
    parts = text.split(".")
    if len(parts) != 4 or not spec_checks.is_job_id(parts[0]):
        return None
    if not all(
        part.isascii() and part.isdigit() and len(part) <= MAX_INDEX_DIGITS
        for part in parts[1:]
    ):
        return None
    return model.TaskName(
        parts[0], int(parts[1]), int(parts[2]), int(parts[3])
    )


def parse_run_report(row):
    """Decodes a row of a worker's list of running attempts.

    Its items are the fields of ``RunReport``; the last one is optional.

    Raises:
        ValueError: A number is out of range.
    """
    reading = float(row[4]) if len(row) > 4 else 0.0
    return model.RunReport(
        parse_task_name(row[0]),
        parse_number(row[1]),
        parse_checkpoint(row[2]),
        min(FULL_PERCENT, max(0.0, float(row[3]))),
        reading if math.isfinite(reading) else 0.0,
    )


def parse_end_report(row):
    """Decodes a row of a worker's list of ended run attempts.

    Its items are the fields of ``EndReport``; the last one is optional.

    Raises:
        ValueError: A number is out of range.
    """
    return model.EndReport(
        parse_number(row[0]),
        parse_task_name(row[1]),
        parse_number(row[2]),
        model.EndKind(row[3]),
        parse_checkpoint(row[4]) if len(row) > 4 else "",
    )


def parse_number(value):
    """Returns a count or time, which the journal can hold.

    Raises:
        ValueError: It is out of range.
    """
    number = int(value)
    if not 0 <= number <= MAX_TIME_MS:
        raise ValueError(f"{number} is not between 0 and {MAX_TIME_MS}")
    return number


def parse_checkpoint(value):
    """Returns a checkpoint, or an empty one if it is too long to record."""
    text = str(value or "")
    return text if len(text) <= MAX_CHECKPOINT_LENGTH else ""
