"""Publishes configurations during a soak and checks the answers by them."""

import asyncio
import random

import aiohttp

from cicadafold_standins.fleet import team_load

__all__ = ["BOUND_S", "ConfigurationWatch"]

# Time in which a published configuration must be in force; the default of the
# processes' settings. With teams, these settings name another bound.
BOUND_S = 2.5
PUBLISH_INTERVAL_S = (0.3, 3.0)
ADDED_QUEUES = (1, 150)
KEPT_QUEUES = 600
PROBE_INTERVAL_S = 0.1
NOT_FOUND = 404


class ConfigurationWatch:
    """Adds and removes queues, and asks processes for the added ones.

    A process may refuse to answer, but once the time has passed in which a
    configuration must be in force, it must not say that a queue of it does
    not exist: also if it is cut off, was frozen or has just started.

    Args:
        cell: Cell under test.
        seed: Seed of all random choices.
        teams: ``TeamLoad`` of the cell, or None.

    Attributes:
        bound_s: Time in seconds in which a configuration must be in force.
        published: Pairs of a queue and the loop time in seconds at which it
            was published, oldest first.
        violations: Violations of that guarantee, as sentences.
        counts: Number of probes by the status of their answer.
    """

    def __init__(self, *, cell, seed, teams=None):
        self.cell = cell
        self.bound_s = BOUND_S if teams is None else team_load.CONFIGURATION_S
        self.publish_version = (
            cell.publish_configuration if teams is None else teams.publish
        )
        self.rng = random.Random(f"configuration {seed}")
        self.version = 1
        self.published = []
        self.violations = []
        self.counts = {}

    async def run(self):
        """Publishes and probes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.publish())
            group.create_task(self.probe())

    async def publish(self):
        """Publishes configurations at random intervals."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.rng.uniform(*PUBLISH_INTERVAL_S))
            added = [
                f"r-{self.rng.getrandbits(35):x}"
                for _ in range(self.rng.randint(*ADDED_QUEUES))
            ]
            queues = [*self.published, *((name, None) for name in added)]
            queues = queues[-KEPT_QUEUES:]
            self.version += self.rng.randint(1, 3)
            self.publish_version(
                self.version, more_queues=[name for name, _ in queues]
            )
            now_s = loop.time()
            self.published = [
                (name, now_s if at_s is None else at_s)
                for name, at_s in queues
            ]

    async def probe(self):
        """Asks a random process for a queue that it must know, repeatedly."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            members = sorted(self.cell.members)
            due_s = asyncio.get_running_loop().time() - self.bound_s
            due = [name for name, at_s in self.published if at_s < due_s]
            if members and due:
                await self.ask(self.rng.choice(members), self.rng.choice(due))

    async def ask(self, name, queue):
        """Asks a process for the number of waiting jobs of a queue.

        Args:
            name: Name of the process.
            queue: Name of the queue, published over ``bound_s`` ago.
        """
        member = self.cell.members[name]
        try:
            status, _ = await self.cell.call(member, "GET", path=f"/{queue}/")
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            status = None
        self.counts[status] = self.counts.get(status, 0) + 1
        # The queue may have been removed since.
        if status == NOT_FOUND and queue in dict(self.published):
            self.violations.append(f"{name} does not know queue {queue}")
