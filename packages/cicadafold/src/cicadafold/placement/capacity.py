"""Sizes of tasks and the free capacity of workers."""

import msgspec

__all__ = ["Capacity", "TaskResources", "resources_of_kind"]

ROUNDING_TOLERANCE_CORES = 1e-6


class TaskResources(msgspec.Struct, kw_only=True, frozen=True, gc=False):
    """What one task needs.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
    """

    cores: float
    memory_mb: int
    accelerators: int = 0


def resources_of_kind(kind):
    """Returns the declared size of one task of a kind."""
    return TaskResources(
        cores=kind.cores,
        memory_mb=kind.memory_mb,
        accelerators=kind.accelerators,
    )


class Capacity:
    """Total and free capacity of one worker.

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
        """Returns the capacity that the platform lists for a host."""
        return cls(
            slots=host.slots,
            cores=host.cores,
            memory_mb=host.memory_mb,
            accelerators=host.accelerators,
        )

    def reset(self):
        """Frees everything."""
        self.free_slots = self.slots
        self.free_cores = self.cores
        self.free_memory_mb = self.memory_mb
        self.free_accelerators = self.accelerators

    def fits(self, resources, *, headroom=0):
        """Whether a task fits and leaves the headroom free.

        Args:
            size: Size of the task.
            headroom: Slots, each with its share of cores and memory, that
                must stay free.
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
        """Whether a task would fit if the worker were empty."""
        share = 1 - headroom / self.slots
        return (
            self.slots > headroom
            and self.cores * share + ROUNDING_TOLERANCE_CORES
            >= resources.cores
            and self.memory_mb * share >= resources.memory_mb
            and self.accelerators >= resources.accelerators
        )

    def reserve(self, resources):
        """Takes the size of a task."""
        self.free_slots -= 1
        self.free_cores -= resources.cores
        self.free_memory_mb -= resources.memory_mb
        self.free_accelerators -= resources.accelerators

    def release(self, resources):
        """Gives the size of a task back."""
        self.free_slots += 1
        self.free_cores += resources.cores
        self.free_memory_mb += resources.memory_mb
        self.free_accelerators += resources.accelerators
