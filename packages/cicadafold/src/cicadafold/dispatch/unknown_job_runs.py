"""Runs and ends of jobs whose records this term has not read yet.

The last scheduler may have started a job in the moment in which a new term
read the journal. A worker then lists work of a job that the term does not
know. Its record was durable before it was started, so it is known once all
records have been read that were there when the work was listed.
"""

from cicadafold import clock

__all__ = ["UnknownJobRuns"]


class UnknownJobRuns:
    """Keeps listed work until its job's record must have been read.

    Args:
        caught_up: Function that tells whether all records have been read
            that were there at a monotonic time in milliseconds.

    Attributes:
        first_ms: Monotonic time at which work was first listed, by name and
            attempt.
        runs: Runs with the rows that listed them, by job and key.
    """

    def __init__(self, *, has_read_up_to):
        self.has_read_up_to = has_read_up_to
        self.first_ms = {}
        self.runs = {}

    def may_become_known(self, key):
        """Whether the record of listed work may still come.

        Args:
            key: Name and attempt.
        """
        first_ms = self.first_ms.setdefault(key, clock.monotonic_ms())
        if not self.has_read_up_to(first_ms):
            return True
        del self.first_ms[key]
        return False

    def add(self, run, row):
        """Keeps a run until its job is known."""
        self.first_ms.setdefault(run.key, clock.monotonic_ms())
        self.runs.setdefault(run.name.job, {})[run.key] = (run, row)

    def pop_job(self, job):
        """Returns the runs of a job that is known now, with their rows."""
        return list(self.runs.pop(job, {}).values())

    def pop_without_record(self):
        """Returns the runs whose job has no record, and forgets them."""
        found = []
        for job, kept in list(self.runs.items()):
            for key, (run, _) in list(kept.items()):
                if not self.may_become_known(key):
                    found.append(run)
                    del kept[key]
            if not kept:
                del self.runs[job]
        return found
