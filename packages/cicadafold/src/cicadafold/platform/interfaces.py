"""Interfaces to the platform, and the registry of their adapters.

To connect another platform, write an adapter class for each of the three
interfaces, register it under a name, and set ``platform.adapter`` to that
name.
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
    """Returns a decorator that registers an adapter class.

    Args:
        interface: ``log``, ``hosts`` or ``target``.
        name: Name of the adapter in the setting ``platform.adapter``.
    """

    def register(cls):
        ADAPTERS[(interface, name)] = cls
        return cls

    return register


def create_adapter(interface, name, **arguments):
    """Creates an adapter of an interface.

    Args:
        interface: ``log``, ``hosts`` or ``target``.
        name: Name of the adapter in the setting ``platform.adapter``.
        **arguments: Arguments of the adapter class.

    Raises:
        KeyError: No adapter is registered under this name.
    """
    return ADAPTERS[(interface, name)](**arguments)


class LogStream(typing.Protocol):
    """One stream of the platform's append-only log service."""

    async def append(self, body):
        """Appends an entry and returns its offset.

        Args:
            body: The entry as bytes.

        Raises:
            LogUnavailable: The append was refused and had no effect.
            LinkLost: The append may have taken effect.
        """

    async def read(self, *, start, wait_ms):
        """Reads entries, starting at an offset.

        Args:
            start: Offset of the first entry to read.
            wait_ms: Milliseconds for which the log waits if there is no such
                entry yet.

        Returns:
            The ``ReadReply``.

        Raises:
            LogUnavailable: The log did not answer.
        """


class HostSource(typing.Protocol):
    """The platform's list of workers, which lags behind their real state."""

    async def list_hosts(self):
        """Returns the current list as ``HostEntry`` objects.

        Raises:
            TargetUnreachable: The service that keeps the list did not
                answer.
        """


class TargetClient(typing.Protocol):
    """Calls to one target, which is a worker.

    Each call returns a ``TargetReply``. It raises ``TargetUnreachable`` if
    the target did not answer, and ``TargetRefused`` if it refused the call.
    """

    async def start(self, task):
        """Starts a task and returns its final report once it has ended."""

    async def fence(self, fence):
        """Raises the fencing token and returns the tasks on the target."""

    async def renew(self, request):
        """Renews leases of tasks and returns the reports of these tasks."""

    async def stop(self, task_id):
        """Stops a task and returns its report."""
