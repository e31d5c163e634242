"""Resources that a task needs, and total and free capacity of workers."""

import msgspec

__all__ = ["Capacity", "TaskResources", "resources_of_kind"]

# Absorbs rounding errors in the sums of fractional cores.
ROUNDING_TOLERANCE_CORES = 1e-6


class TaskResources(msgspec.Struct, kw_only=True, frozen=True, gc=False):
    """Resources that one task needs.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cores: float
    memory_mb: int
    accelerators: int = 0


def resources_of_kind(kind):
    """Returns the resources that a kind declares for each of its tasks."""
    return TaskResources(
        cores=kind.cores,
        memory_mb=kind.memory_mb,
        accelerators=kind.accelerators,
    )


class Capacity:
    """Total and free capacity of one worker.

    Each task occupies one slot besides the resources that it declares.

    Examples:
        >>> capacity = Capacity(
        ...     slots=2, cores=4.0, memory_mb=1024, accelerators=0
        ... )
        >>> resources = TaskResources(cores=3.0, memory_mb=512)
        >>> capacity.fits(resources)
        True
        >>> capacity.reserve(resources)
        >>> capacity.fits(resources)
        False
    """

    def __init__(self, *, slots, cores, memory_mb, accelerators):
        self.slots = slots
        self.cores = cores
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.free_slots = slots
        self.free_cores = cores
        self.free_memory_mb = memory_mb
        self.free_accelerators = accelerators

    @classmethod
    def of_host(cls, host):
        """Returns the capacity in the platform's host list, all of it free."""
        return cls(
            slots=host.slots,
            cores=host.cores,
            memory_mb=host.memory_mb,
            accelerators=host.accelerators,
        )

    def reset(self):
        """Marks the whole capacity as free."""
        self.free_slots = self.slots
        self.free_cores = self.cores
        self.free_memory_mb = self.memory_mb
        self.free_accelerators = self.accelerators

    def fits(self, resources, *, headroom=0):
        """Whether a task fits into the free capacity beyond the headroom.

        Args:
            resources: Resources that the task needs.
            headroom: Number of slots that must stay free, each with its
                proportional share of the worker's cores and memory.
        """
        if self.free_slots - headroom < 1:
            return False
        share = headroom / self.slots
        spare_cores = self.free_cores - share * self.cores
        spare_memory = self.free_memory_mb - share * self.memory_mb
        return (
            spare_cores + ROUNDING_TOLERANCE_CORES >= resources.cores
            and spare_memory >= resources.memory_mb
            and self.free_accelerators >= resources.accelerators
        )

    def could_fit(self, resources, *, headroom=0):
        """Whether a task would fit on this worker if it ran nothing else.

        Args:
            resources: Resources that the task needs.
            headroom: Number of slots that must stay free, as in ``fits``.
        """
        share = 1 - headroom / self.slots
        return (
            self.slots > headroom
            and self.cores * share + ROUNDING_TOLERANCE_CORES
            >= resources.cores
            and self.memory_mb * share >= resources.memory_mb
            and self.accelerators >= resources.accelerators
        )

    def reserve(self, resources):
        """Reserves one slot and the resources of a task."""
        self.free_slots -= 1
        self.free_cores -= resources.cores
        self.free_memory_mb -= resources.memory_mb
        self.free_accelerators -= resources.accelerators

    def release(self, resources):
        """Releases one slot and the resources of a task."""
        self.free_slots += 1
        self.free_cores += resources.cores
        self.free_memory_mb += resources.memory_mb
        self.free_accelerators += resources.accelerators
