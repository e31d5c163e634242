"""Views of workers and demands on which decisions are made."""

import msgspec

from cicadafold.jobs import model

__all__ = ["Demand", "WorkerView", "rack_of"]

RACK_PREFIX = "r"


class WorkerView(msgspec.Struct):
    """A worker as placement sees it; its room shrinks with each choice.

    Attributes:
        id: Name of the worker.
        rack: Label that names its rack, or empty.
        domain: Failure domain.
        labels: Its labels.
        cores_milli: Free thousandths of a core.
        memory_mb: Free megabytes.
        accelerators: Free accelerators.
        speed: Learned speed; 1 is usual.
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
        """Returns how many tasks of a size fit into the free room."""
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
        """Takes room for tasks."""
        self.cores_milli -= resources.cores_milli * count
        self.memory_mb -= resources.memory_mb * count
        self.accelerators -= resources.accelerators * count

    def release(self, resources, count=1):
        """Gives back room of tasks."""
        self.reserve(resources, -count)


UNBOUNDED = 1_000_000


class Demand(msgspec.Struct, kw_only=True):
    """Tasks of one step that need workers.

    Attributes:
        tasks: Number of tasks.
        need: Room of one task.
        gang: Whether all must be placed or none.
        one_rack: Whether a gang should stay within one rack.
        label: Label that the worker must carry, or empty.
        data_rack: Rack to prefer, or empty.
        per_host: Most tasks of the step on one worker; 0 is no bound.
        present: Tasks of the step that each worker already has.
        allowed: Workers that may be used, None for all.
        avoid: Workers to use only if nothing else is free.
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
        """Returns how many of the tasks a worker can take now."""
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
    """Returns the label that names the rack, or an empty text.

    Examples:
        >>> rack_of(("a", "r1-3"))
        'r1-3'
    """
    for label in labels:
        if label.startswith(RACK_PREFIX) and "-" in label:
            return label
    return ""
