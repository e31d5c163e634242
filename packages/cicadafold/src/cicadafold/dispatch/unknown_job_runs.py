"""Run attempts and ends of jobs whose records this term has not read yet.

The scheduler of the previous term may have started a task of a job just
while the new term was reading the journal. A worker then lists a run attempt
or an end of a job that the new term does not know. The record of a job is
durable before its first task is started. So if all records that existed when
the worker's list arrived have been read and the job is still unknown, it has
no record.
"""

from cicadafold import clock

__all__ = ["UnknownJobRuns"]


class UnknownJobRuns:
    """Keeps run attempts of unknown jobs.

    They are kept until the record of the job has been read, or until it is
    certain that there is none.

    Args:
        has_read_up_to: Function that returns whether all job records that
            existed at a monotonic time, in milliseconds, have been read.

    Attributes:
        first_ms: Monotonic time, in milliseconds, at which a run attempt or
            end was first listed, by task name and attempt.
        runs: Pairs of a run attempt and the row that listed it, by job and
            then by task name and attempt.
    """

    def __init__(self, *, has_read_up_to):
        self.has_read_up_to = has_read_up_to
        self.first_ms = {}
        self.runs = {}

    def may_become_known(self, key):
        """Whether the record of a job may exist and not be read yet.

        Args:
            key: Task name and attempt of the listed run attempt or end.
        """
        first_ms = self.first_ms.setdefault(key, clock.monotonic_ms())
        if not self.has_read_up_to(first_ms):
            return True
        del self.first_ms[key]
        return False

    def add(self, run, row):
        """Keeps a run attempt, with its row, until its job is known."""
        self.first_ms.setdefault(run.key, clock.monotonic_ms())
        self.runs.setdefault(run.name.job, {})[run.key] = (run, row)

    def pop_job(self, job):
        """Removes and returns the run attempts and rows of a job."""
        return list(self.runs.pop(job, {}).values())

    def pop_without_record(self):
        """Removes and returns the run attempts whose job has no record."""
        found = []
        for job, kept in list(self.runs.items()):
            for key, (run, _) in list(kept.items()):
                if not self.may_become_known(key):
                    found.append(run)
                    del kept[key]
            if not kept:
                del self.runs[job]
        return found
