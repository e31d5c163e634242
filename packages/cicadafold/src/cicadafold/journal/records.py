"""Records of jobs: acceptance, cancelling and progress."""

import msgspec

from cicadafold.jobs import model

__all__ = [
    "JOBS_TOPIC",
    "PROGRESS_TOPIC",
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
    "job_keys",
    "progress_record",
    "parse_key",
]

JOBS_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"
ACCEPT_PREFIX = "a/"
CANCEL_PREFIX = "x/"
PREFIX_SIZE = 2
# Key of the workers in the progress topic; no job has such an identifier.
WORKERS_KEY = "workers"

encode = msgspec.msgpack.Encoder().encode
decode_spec = msgspec.msgpack.Decoder(model.JobSpec).decode


class JobProgress(msgspec.Struct, array_like=True):
    """What has come of a job, in full.

    Attributes:
        term: Term of the scheduler that wrote the record.
        version: Counter within the term.
        state: Final state, or the state at the time.
        finished: Occurrences that are done.
        done: Occurrence, step and a bit for each done task, in hex.
        failures: Occurrence, step, index and failed attempts; the index
            is -1 for a gang. Attempts are kept rather than counted, since
            an end may be reported again to the next scheduler.
        saved: Occurrence, step, index, checkpoint and its progress.
    """

    term: int
    version: int
    state: str
    finished: list[int] = []
    done: list[tuple[int, int, str]] = []
    failures: list[tuple[int, int, int, list[int]]] = []
    checkpoints: list[tuple[int, int, int, str, float]] = []


decode_progress = msgspec.msgpack.Decoder(JobProgress).decode


class KnownWorker(msgspec.Struct, array_like=True):
    """A worker on which a term may have started tasks.

    Attributes:
        report: Its newest report.
        tasks: Tasks that may run on it if it is silent, and so gets no new
            ones; None if it answers, or if its tasks are not known.
    """

    report: model.HostReport
    tasks: list[model.TaskName] | None = None


class KnownWorkers(msgspec.Struct, array_like=True):
    """Workers on which a term may have started tasks.

    Attributes:
        term: Term of the scheduler that wrote the record.
        version: Counter within the term.
        workers: The workers.
    """

    term: int
    version: int
    workers: list[KnownWorker]


decode_workers = msgspec.msgpack.Decoder(KnownWorkers).decode


def accept_record(spec):
    """Returns key and value of an acceptance."""
    return ACCEPT_PREFIX + spec.id, encode(spec)


def cancel_record(job):
    """Returns key and value of a cancelling."""
    return CANCEL_PREFIX + job, b"1"


def job_keys(job):
    """Returns the keys that are dropped when a job is forgotten."""
    return [ACCEPT_PREFIX + job, CANCEL_PREFIX + job]


def parse_key(key):
    """Splits a key of the jobs topic.

    Returns:
        Whether it is a cancelling, and the job's identifier.

    Examples:
        >>> parse_key("x/ab")
        (True, 'ab')
    """
    return key.startswith(CANCEL_PREFIX), key[PREFIX_SIZE:]


def progress_record(job, *, term, version):
    """Returns the progress of a job as a record."""
    progress = JobProgress(
        term, version, job.state.value, sorted(job.finished)
    )
    if job.state.final:
        return progress
    for occurrence, steps in job.steps.items():
        for step in steps:
            add_step_progress(progress, occurrence, step)
    return progress


def add_step_progress(progress, occurrence, step):
    """Adds what is known of a step to a record."""
    bits = 0
    for task in step.tasks:
        where = (occurrence, step.number, task.index)
        if task.done:
            bits |= 1 << task.index
            continue
        if task.failed_attempts:
            failed = sorted(task.failed_attempts)
            progress.failures.append((*where, failed))
        if task.checkpoint:
            progress.checkpoints.append(
                (*where, task.checkpoint, task.saved_percent)
            )
    if bits:
        progress.done.append((occurrence, step.number, f"{bits:x}"))
    if step.failed_attempts:
        failed = sorted(step.failed_attempts)
        progress.failures.append((occurrence, step.number, -1, failed))


def apply_progress(job, progress):
    """Sets a job to what a record says of it."""
    job.state = job.reported_state = model.JobState(progress.state)
    job.finished = set(progress.finished)
    for number in job.finished:
        job.steps.pop(number, None)
    if job.state.final:
        return
    for occurrence, number, text in progress.done:
        step = job.steps_of(occurrence)[number]
        bits = int(text, 16)
        for task in step.tasks:
            if bits >> task.index & 1:
                step.mark_done(task)
    for occurrence, number, index, failed in progress.failures:
        step = job.steps_of(occurrence)[number]
        counted = step if index < 0 else step.tasks[index]
        counted.failed_attempts = set(failed)
    for occurrence, number, index, checkpoint, percent in progress.checkpoints:
        task = job.steps_of(occurrence)[number].tasks[index]
        task.save_checkpoint(checkpoint, percent)
    job.started = bool(progress.done or progress.failures or job.finished)
