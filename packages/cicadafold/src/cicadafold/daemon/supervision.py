"""Supervisor that restarts failed tasks, up to a limit."""

import asyncio

from cicadafold.telemetry import logs

__all__ = ["Child", "Supervisor"]

MAX_RESTARTS = 10
RESTART_WINDOW_S = 60.0
RESTART_PAUSE_S = 0.2

LOG = logs.get_logger("supervisor")


class Child:
    """A task that should run for as long as the process does.

    Args:
        name: Name of the task in log lines.
        run: Coroutine function without arguments.

    Attributes:
        restarts: Event loop times in seconds of the recent failures.
    """

    def __init__(self, *, name, run):
        self.name = name
        self.run = run
        self.restarts = []


class Supervisor:
    """Runs a group of children; a group can be a child of another group.

    Args:
        name: Name of the group.
        children: ``Child`` objects of the group.

    Attributes:
        tasks: Running tasks of the children.
    """

    def __init__(self, *, name, children):
        self.name = name
        self.children = children
        self.tasks = []

    async def run(self):
        """Runs all children until one fails too often, then stops the others.

        Raises:
            RuntimeError: A child has failed too often.
        """
        self.tasks = [
            asyncio.create_task(self.run_with_restarts(child), name=child.name)
            for child in self.children
        ]
        try:
            await asyncio.gather(*self.tasks)
        finally:
            await self.stop()

    async def run_with_restarts(self, child):
        """Runs a child, and restarts it after each failure.

        Raises:
            RuntimeError: The child failed more than ``MAX_RESTARTS`` times
                within ``RESTART_WINDOW_S`` seconds.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                await child.run()
                return
            except Exception as error:
                LOG.exception(
                    "Task %s failed; it is restarted unless it has failed "
                    "too often: %s",
                    child.name,
                    error,
                )
            now_s = loop.time()
            child.restarts.append(now_s)
            recent = [
                at for at in child.restarts if now_s - at < RESTART_WINDOW_S
            ]
            child.restarts = recent
            if len(recent) > MAX_RESTARTS:
                raise RuntimeError(f"Task {child.name} failed too often.")
            await asyncio.sleep(RESTART_PAUSE_S)

    async def stop(self):
        """Cancels all children and waits for their end."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
