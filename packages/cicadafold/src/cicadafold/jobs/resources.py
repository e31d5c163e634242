"""Amounts of the resources of workers."""

import msgspec

__all__ = ["Resources"]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of the resources of a worker.

    Attributes:
        cores_milli: CPU in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, capacity):
        """Whether a capacity covers this amount of each resource."""
        return (
            self.cores_milli <= capacity.cores_milli
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )
