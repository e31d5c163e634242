"""Quarantine of workers on which tasks fail."""

from cicadafold import clock
from cicadafold.telemetry import logs

__all__ = ["quarantine_if_faulty"]

# A worker on which tasks of this many jobs have failed, without a success in
# between, is quarantined. Each quarantine in a row takes twice as long as the
# last one, up to the maximum.
QUARANTINE_JOBS = 2
QUARANTINE_MS = 2500.0
MAX_QUARANTINE_MS = 20000.0

LOG = logs.get_logger("ends")


def quarantine_if_faulty(worker, job):
    """Counts a failed job of a worker, and quarantines it after several.

    Args:
        worker: Worker on which a task has failed.
        job: Identifier of the task's job.
    """
    worker.failed_jobs = worker.failed_jobs | {job}
    # After a quarantine, one failed job without a success is enough.
    jobs_needed = 1 if worker.quarantines_in_a_row else QUARANTINE_JOBS
    if len(worker.failed_jobs) < jobs_needed:
        return
    worker.quarantines_in_a_row += 1
    pause_ms = min(
        MAX_QUARANTINE_MS,
        QUARANTINE_MS * 2 ** (worker.quarantines_in_a_row - 1),
    )
    worker.quarantined_until_ms = clock.monotonic_ms() + pause_ms
    worker.failed_jobs = frozenset()
    LOG.warning(
        "A worker is quarantined after failures of its tasks; it gets no "
        "new tasks during the pause.",
        fields={"worker": worker.report.id, "pause_ms": pause_ms},
    )
