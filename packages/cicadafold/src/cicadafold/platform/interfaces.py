"""Narrow interfaces to the platform, and the registry of adapters.

The users' own bench is connected by writing one adapter for each of the
three interfaces and registering it under a name that the settings give.
"""

import typing

__all__ = [
    "HostSource",
    "LogStream",
    "TargetClient",
    "register_adapter",
    "create_adapter",
]

ADAPTERS = {}


def register_adapter(interface, name):
    """Registers an adapter class for an interface.

    Args:
        interface: ``log``, ``hosts`` or ``target``.
        name: Name that the settings use.
    """

    def register(cls):
        ADAPTERS[(interface, name)] = cls
        return cls

    return register


def create_adapter(interface, name, **arguments):
    """Creates the adapter that the settings name.

    Raises:
        KeyError: No adapter has this name.
    """
    return ADAPTERS[(interface, name)](**arguments)


class LogStream(typing.Protocol):
    """One stream of the platform's append-only log."""

    async def append(self, body):
        """Appends bytes and returns their offset.

        Raises:
            LogUnavailable: The append was refused and had no effect.
            LinkLost: The append may have taken effect.
        """

    async def read(self, *, start, wait_ms):
        """Reads entries from an offset on.

        Raises:
            LogUnavailable: The log did not answer.
        """


class HostSource(typing.Protocol):
    """The platform's lagging list of workers."""

    async def list_hosts(self):
        """Returns the list as it is shown now.

        Raises:
            TargetUnreachable: The list did not answer.
        """


class TargetClient(typing.Protocol):
    """Calls to one worker; all raise TargetUnreachable, TargetRefused."""

    async def start(self, task):
        """Starts a task and returns its report when it has ended."""

    async def fence(self, fence):
        """Raises the fence and returns the inventory."""

    async def renew(self, request):
        """Renews leases and returns the state of these tasks."""

    async def stop(self, task_id):
        """Stops a task and returns its state."""
