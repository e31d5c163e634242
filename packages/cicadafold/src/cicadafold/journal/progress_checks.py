"""Checks that the progress of a job fits its specification."""

from cicadafold.jobs import model

__all__ = ["check_progress"]

# Index of a record that concerns all tasks of a gang.
WHOLE_STEP = -1


def check_progress(spec, progress):
    """Checks that a progress record is one of a job.

    A final state holds for the whole job, so it needs no more to fit.

    Args:
        spec: ``JobSpec`` of the job.
        progress: ``JobProgress``.

    Raises:
        ValueError: It names an occurrence, a step or a task that the job
            does not have.
    """
    if model.JobState(progress.state).final:
        return
    for number in progress.finished:
        if not 0 <= number < spec.occurrences:
            raise ValueError(f"occurrence {number} does not exist")
    for occurrence, step, text in progress.done:
        if int(text, 16) < 0:
            raise ValueError(f"the mask {text[:40]} is negative")
        check_position(spec, occurrence, step)
    for occurrence, step, index, *_ in progress.checkpoints:
        check_position(spec, occurrence, step, index)
    for occurrence, step, index, *_ in (
        *progress.failures,
        *progress.crashes,
    ):
        if index != WHOLE_STEP:
            check_position(spec, occurrence, step, index)
        check_position(spec, occurrence, step)


def check_position(spec, occurrence, step, index=0):
    """Checks that a job has a task, by default the first one of a step."""
    if not (
        0 <= occurrence < spec.occurrences
        and 0 <= step < len(spec.steps)
        and 0 <= index < spec.steps[step].tasks
    ):
        raise ValueError(f"task {occurrence}.{step}.{index} does not exist")
