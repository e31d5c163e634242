"""Journal records: accepted and cancelled jobs, progress and workers."""

import typing

import msgspec

from cicadafold import decoding
from cicadafold.election import terms
from cicadafold.jobs import model
from cicadafold.jobs import spec_checks
from cicadafold.journal import progress_checks
from cicadafold.scheduling import blame

__all__ = [
    "JOBS_TOPIC",
    "PROGRESS_TOPIC",
    "ChargeLeft",
    "JobProgress",
    "KnownWorker",
    "KnownWorkers",
    "WORKERS_KEY",
    "accept_record",
    "apply_progress",
    "cancel_record",
    "decode_progress",
    "decode_spec",
    "decode_workers",
    "done_entry",
    "is_job_key",
    "is_workers_key",
    "join_workers",
    "progress_entry",
    "workers_entries",
    "progress_record",
    "parse_key",
]

JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
ACCEPT_PREFIX = "a/"
CANCEL_PREFIX = "x/"
PREFIX_SIZE = 2
# Key of the first part of the ``KnownWorkers`` record in the progress topic,
# and prefix of the others; no job can have such an identifier.
WORKERS_KEY = "workers"
# With the entries' own bounds, a part of one worker without tasks fits.
WORKERS_PER_PART = 400

MAX_LAPSE_MS = 600_000
LapseMs = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_LAPSE_MS)]

encode = msgspec.msgpack.Encoder().encode
decode_spec = decoding.msgpack_decoder(model.JobSpec)


class ChargeLeft(msgspec.Struct, frozen=True, array_like=True):
    """What the run attempts of a job used that were stopped with its end.

    The specification of an ended job is dropped at once, while a worker that
    does not answer may still run its tasks.

    Attributes:
        team: Name of the job's team.
        charge: Resources that the team was charged with.
        ended_ms: Unix time in milliseconds at which the job ended.
    """

    team: str
    charge: model.Resources
    ended_ms: int


class JobProgress(msgspec.Struct, array_like=True):
    """Progress of a job: a full snapshot, which replaces earlier records.

    Attributes:
        term: Term of the scheduler that wrote the record.
        version: Counter of the records of the term.
        state: Value of the ``JobState`` when the record was written.
        finished: Numbers of the finished occurrences.
        done: Tuples of occurrence, step and a bit mask in hexadecimal, whose
            bit ``i`` is set if task ``i`` is done.
        failures: Tuples of occurrence, step, index of the task and the
            numbers of its failed attempts; the index is -1 for a gang. The
            numbers are kept rather than their count, since a worker may
            report the same end again to the next scheduler.
        checkpoints: Tuples of occurrence, step, index of the task, its newest
            checkpoint and the progress at that checkpoint.
        crashes: Tuples of occurrence, step, index of the task or -1 for a
            gang, names of the workers on which it is being started, and its
            losses.
        left: ``ChargeLeft`` of an ended job, or None if it has no team or
            had no run attempts at its end.
    """

    term: int
    version: int
    state: str
    finished: list[int] = []
    done: list[tuple[int, int, str]] = []
    failures: list[tuple[int, int, int, list[int]]] = []
    checkpoints: list[tuple[int, int, int, str, float]] = []
    crashes: list[tuple[int, int, int, tuple[str, ...], list[blame.Loss]]] = []
    left: ChargeLeft | None = None

    def __post_init__(self):
        """Refuses a state that no job has."""
        model.JobState(self.state)


decode_progress = decoding.msgpack_decoder(JobProgress)


class KnownWorker(msgspec.Struct, array_like=True):
    """A worker on which tasks of a term may run.

    Attributes:
        report: Newest report of the worker.
        tasks: Names of the tasks that may run on it, if it does not answer
            and so gets no new ones; None if it answers, or if its tasks are
            not known.
        born_ms: Start of the incarnation that may run them, Unix time in
            milliseconds; 0 if it is not known.
        unheard_since: First term since which it has not answered any term,
            0 if it has answered the one that wrote the record.
        lapse_in_ms: Milliseconds from the time of the record by which its
            leases have lapsed, if it has not answered.
    """

    report: model.WorkerReport
    tasks: list[model.TaskName] | None = None
    born_ms: int = 0
    unheard_since: terms.Term = 0
    lapse_in_ms: LapseMs = 0


class KnownWorkers(msgspec.Struct, array_like=True):
    """All workers on which tasks of a term may run.

    Attributes:
        term: Term of the scheduler that wrote the record.
        version: Counter of the records of the term.
        workers: A ``KnownWorker`` for each worker of this part.
        part: Number of this part of the record.
        parts: Number of parts, each of which is stored under its own key.
    """

    term: int
    version: int
    workers: list[KnownWorker]
    part: int = 0
    parts: int = 1


decode_workers = decoding.msgpack_decoder(KnownWorkers)


def accept_record(spec):
    """Returns key and value of the record of an accepted job."""
    return ACCEPT_PREFIX + spec.id, encode(spec)


def cancel_record(job):
    """Returns key and value of the record that a job is cancelled."""
    return CANCEL_PREFIX + job, b"1"


def is_job_key(key):
    """Whether a key of the jobs topic belongs to a job.

    Examples:
        >>> is_job_key("x/ab"), is_job_key("y/ab"), is_job_key("a/a.b")
        (True, False, False)
    """
    return key.startswith(
        (ACCEPT_PREFIX, CANCEL_PREFIX)
    ) and spec_checks.is_job_id(key[PREFIX_SIZE:])


def parse_key(key):
    """Splits a key of the jobs topic.

    Returns:
        Whether the record cancels the job, and the job's identifier.

    Examples:
        >>> parse_key("x/ab")
        (True, 'ab')
    """
    return key.startswith(CANCEL_PREFIX), key[PREFIX_SIZE:]


def is_workers_key(key):
    """Whether a key of the progress topic is one of the workers' record."""
    return key.startswith(WORKERS_KEY)


def workers_entries(found, limits):
    """Returns the record of the workers as entries that the store accepts.

    Args:
        found: ``KnownWorkers`` with all workers.
        limits: ``RecordLimits`` of the store.

    Returns:
        Pairs of key and value, one for each part.
    """
    size = WORKERS_PER_PART
    while True:
        groups = [
            found.workers[start : start + size]
            for start in range(0, len(found.workers), size)
        ] or [[]]
        entries = [
            (
                f"{WORKERS_KEY}.{part}" if part else WORKERS_KEY,
                encode(
                    KnownWorkers(
                        found.term, found.version, group, part, len(groups)
                    )
                ),
            )
            for part, group in enumerate(groups)
        ]
        if size == 1 or all(limits.fits(*entry) for entry in entries):
            return entries
        size = max(1, size // 2)


def join_workers(parts):
    """Returns the newest record of the workers, if all its parts were read.

    An older one does not count: workers that it names as closed may have been
    given tasks since.

    Args:
        parts: ``KnownWorkers`` that were read, in any order.

    Returns:
        A ``KnownWorkers`` with all workers, or None.
    """
    if not parts:
        return None
    term, version = max((found.term, found.version) for found in parts)
    newest = {
        found.part: found
        for found in parts
        if (found.term, found.version) == (term, version)
    }
    if len(newest) < next(iter(newest.values())).parts:
        return None
    workers = [
        worker for part in sorted(newest) for worker in newest[part].workers
    ]
    return KnownWorkers(term, version, workers)


def progress_entry(job, *, term, version, limits):
    """Returns the progress of a job as an entry that the store accepts.

    What does not fit is left out: checkpoints first, as a task without one
    starts from its beginning, then failures and losses.

    Args:
        job: Job with its runtime state.
        term: Term of this scheduler.
        version: Version of the record within the term.
        limits: ``RecordLimits`` of the store.

    Returns:
        Pair of key and value, and the names of the parts left out.
    """
    progress = progress_record(job, term=term, version=version)
    key, value = job.spec.id, encode(progress)
    left_out = []
    for name in ("checkpoints", "failures", "crashes"):
        if limits.fits(key, value):
            break
        setattr(progress, name, [])
        left_out.append(name)
        value = encode(progress)
    return (key, value), left_out


def done_entry(job, *, term, version):
    """Returns which tasks of a job are done, as an entry for the store.

    Args:
        job: Job with its runtime state.
        term: Term of this scheduler.
        version: Version of the record within the term.
    """
    progress = JobProgress(
        term, version, job.state.value, sorted(job.finished)
    )
    for occurrence, steps in job.steps.items():
        for step in steps if not job.state.final else ():
            add_done(progress, occurrence, step)
    return job.spec.id, encode(progress)


def progress_record(job, *, term, version):
    """Returns the progress of a job as a record.

    Args:
        job: Job with its runtime state.
        term: Term of this scheduler.
        version: Version of the record within the term.
    """
    progress = JobProgress(
        term, version, job.state.value, sorted(job.finished)
    )
    if job.state.final:
        progress.left = job.left
        return progress
    for occurrence, steps in job.steps.items():
        for step in steps:
            add_step_progress(progress, occurrence, step)
    return progress


def add_step_progress(progress, occurrence, step):
    """Adds the tasks of a step to a progress record."""
    for task in step.tasks:
        position = (occurrence, step.number, task.index)
        if task.done:
            continue
        add_crashes(progress, position, task)
        if task.failed_attempts:
            failed = sorted(task.failed_attempts)
            progress.failures.append((*position, failed))
        if task.checkpoint:
            progress.checkpoints.append(
                (*position, task.checkpoint, task.saved_percent)
            )
    add_done(progress, occurrence, step)
    if step.failed_attempts:
        failed = sorted(step.failed_attempts)
        progress.failures.append((occurrence, step.number, -1, failed))
    add_crashes(progress, (occurrence, step.number, -1), step)


def add_done(progress, occurrence, step):
    """Adds the tasks of a step that are done to a progress record."""
    bits = sum(1 << task.index for task in step.tasks if task.done)
    if bits:
        progress.done.append((occurrence, step.number, f"{bits:x}"))


def add_crashes(progress, position, unit):
    """Adds the crash history of a task or gang to a progress record."""
    if unit.crashes is not None:
        history = unit.crashes
        progress.crashes.append((*position, history.start_on, history.losses))


def apply_progress(job, progress):
    """Restores the runtime state of a job from its progress record.

    Args:
        job: Job as it is created from its specification.
        progress: ``JobProgress`` of the job.

    Raises:
        ValueError: It is not a record of this job, which is unchanged.
    """
    progress_checks.check_progress(job.spec, progress)
    job.state = job.reported_state = model.JobState(progress.state)
    job.finished = set(progress.finished)
    for number in job.finished:
        job.steps.pop(number, None)
    if job.state.final:
        job.left = progress.left
        return
    for occurrence, number, text in progress.done:
        step = job.steps_of(occurrence)[number]
        bits = int(text, 16)
        for task in step.tasks:
            if bits >> task.index & 1:
                step.mark_done(task)
    for occurrence, number, index, failed in progress.failures:
        step = job.steps_of(occurrence)[number]
        failing = step if index < 0 else step.tasks[index]
        failing.failed_attempts = set(failed)
    for occurrence, number, index, checkpoint, percent in progress.checkpoints:
        task = job.steps_of(occurrence)[number].tasks[index]
        task.save_checkpoint(checkpoint, percent)
    for occurrence, number, index, start_on, losses in progress.crashes:
        step = job.steps_of(occurrence)[number]
        unit = step if index < 0 else step.tasks[index]
        unit.crashes = blame.CrashHistory()
        unit.crashes.losses = list(losses)
        unit.crashes.start_on = start_on
        unit.crashes.inherited = bool(start_on)
    job.started = bool(progress.done or progress.failures or job.finished)
