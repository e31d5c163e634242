"""A supervisor: restarts its children, and gives up on a broken one."""

import asyncio

from cicadafold.telemetry import logs

__all__ = ["Child", "Supervisor"]

MAX_RESTARTS = 10
WINDOW_S = 60.0
RESTART_PAUSE_S = 0.2

LOG = logs.get_logger("supervisor")


class Child:
    """A task that should run for as long as the process lives.

    Args:
        name: Name for the logs.
        run: Function that returns the coroutine to run.
    """

    def __init__(self, *, name, run):
        self.name = name
        self.run = run
        self.restarts = []


class Supervisor:
    """Runs children in one group; a group may be a child of another."""

    def __init__(self, *, name, children):
        self.name = name
        self.children = children
        self.tasks = []

    async def run(self):
        """Runs all children until one fails too often."""
        self.tasks = [
            asyncio.create_task(self.run_with_restarts(child), name=child.name)
            for child in self.children
        ]
        try:
            await asyncio.gather(*self.tasks)
        finally:
            await self.stop()

    async def run_with_restarts(self, child):
        """Runs a child again whenever it fails."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await child.run()
                return
            except Exception as error:
                LOG.exception("%s failed: %s", child.name, error)
            now_s = loop.time()
            child.restarts.append(now_s)
            recent = [at for at in child.restarts if now_s - at < WINDOW_S]
            child.restarts = recent
            if len(recent) > MAX_RESTARTS:
                raise RuntimeError(f"{child.name} fails again and again.")
            await asyncio.sleep(RESTART_PAUSE_S)

    async def stop(self):
        """Stops all children."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
