"""What the scheduling decisions see of workers and of waiting tasks."""

import msgspec

from cicadafold.jobs import model

__all__ = ["Demand", "WorkerView", "rack_of"]

# A label that starts with this and contains a hyphen names a rack.
RACK_PREFIX = "r"


class WorkerView(msgspec.Struct):
    """A worker with its free capacity, which placement reserves in turn.

    Attributes:
        id: Name of the worker.
        rack: Label that names the rack of the worker, or empty.
        domain: Failure domain.
        labels: Labels of the worker.
        cores_milli: Free capacity in thousandths of a core.
        memory_mb: Free memory in megabytes.
        accelerators: Number of free accelerators.
        speed: Measured speed relative to the median of the pool, which is 1.
    """

    id: str
    rack: str
    domain: str
    labels: frozenset
    cores_milli: int
    memory_mb: int
    accelerators: int
    speed: float = 1.0

    def max_tasks(self, resources):
        """Returns how many tasks fit into the free capacity.

        Args:
            resources: Resources that one task needs.
        """
        counts = [
            free // size
            for free, size in (
                (self.cores_milli, resources.cores_milli),
                (self.memory_mb, resources.memory_mb),
                (self.accelerators, resources.accelerators),
            )
            if size > 0
        ]
        return max(0, min(counts)) if counts else UNBOUNDED

    def reserve(self, resources, count=1):
        """Reserves resources for a number of equal tasks."""
        self.cores_milli -= resources.cores_milli * count
        self.memory_mb -= resources.memory_mb * count
        self.accelerators -= resources.accelerators * count

    def release(self, resources, count=1):
        """Releases the resources of a number of equal tasks."""
        self.reserve(resources, -count)


# Tasks that fit on a worker if a task needs no resources at all.
UNBOUNDED = 1_000_000


class Demand(msgspec.Struct, kw_only=True):
    """Tasks of one step that need workers.

    Attributes:
        tasks: Number of tasks.
        need: Resources that one task needs.
        gang: Whether either all tasks are placed or none.
        one_rack: Whether a gang should stay within one rack.
        label: Label that a worker must have, or empty.
        data_rack: Rack to prefer, or empty.
        per_host: Most tasks of the step on one worker; 0 for no limit.
        running_per_worker: Number of tasks of the step that may already run
            on each worker, by name of the worker.
        allowed: Names of the workers that may be used, or None for all.
        avoid: Names of workers to use only if no other has free capacity.
    """

    tasks: int
    need: model.Resources
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_host: int = 0
    running_per_worker: dict = {}
    allowed: object = None
    avoid: object = ()

    def max_tasks_on(self, worker):
        """Returns how many of the tasks fit on a worker now."""
        if self.allowed is not None and worker.id not in self.allowed:
            return 0
        if self.label and self.label not in worker.labels:
            return 0
        count = worker.max_tasks(self.need)
        if self.per_host:
            left = self.per_host - self.running_per_worker.get(worker.id, 0)
            count = min(count, max(0, left))
        return min(count, self.tasks)


def rack_of(labels):
    """Returns the first label that names a rack, or an empty string.

    Examples:
        >>> rack_of(("a", "r1-3"))
        'r1-3'
    """
    for label in labels:
        if label.startswith(RACK_PREFIX) and "-" in label:
            return label
    return ""
