"""What other processes know of the health of the scheduler."""

import asyncio
import random

import aiohttp
from aiohttp import web
import msgspec

from cicadafold import decoding
from cicadafold.election import judge
from cicadafold.peers import messages
from cicadafold.telemetry import logs

__all__ = ["HealthOpinions"]

PATH = "/scheduler-health"
# A process that is asked waits for the scheduler's answer for half of it.
TIMEOUT_S = 2 * judge.HEALTH_TIMEOUT_S
# Hosts of high priority, and other hosts, that are asked.
MAX_ASKED_HOSTS = 2

LOG = logs.get_logger("peer")

decode_health = decoding.json_decoder(messages.KnownHealth)


class HealthOpinions:
    """Asks other processes for the health of the scheduler, and answers them.

    Args:
        session: HTTP client session.
        directory: ``PeerDirectory`` of the process.
        newest_term: Function that returns the newest term that this process
            knows, 0 for none.
        health: Coroutine function that returns the ``Health`` of the term of
            the newest claim, None if its process does not answer this one.
    """

    def __init__(self, *, session, directory, newest_term, health):
        self.session = session
        self.directory = directory
        self.newest_term = newest_term
        self.health = health

    def add_routes(self, router):
        """Adds the route on which peers ask.

        Args:
            router: Router of the application for peers.
        """
        router.add_get(PATH, self.handle)

    async def ask(self, *, without):
        """Asks some processes for the health of the scheduler.

        Args:
            without: Address of the scheduler, which is not asked.

        Returns:
            The ``KnownHealth`` of each process that has answered.
        """
        preferred = self.directory.preferred
        others = self.directory.addresses - preferred
        asked = [
            address
            for kind in (preferred, others)
            for address in random.sample(
                sorted(kind - {without}),
                min(MAX_ASKED_HOSTS, len(kind - {without})),
            )
        ]
        known = await asyncio.gather(*map(self.ask_one, asked))
        return [each for each in known if each is not None]

    async def ask_one(self, address):
        """Returns the ``KnownHealth`` of a process, None without an answer."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self.session.get(
                f"http://{address}{PATH}", timeout=timeout
            ) as response:
                return decode_health(await response.read())
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            LOG.debug(
                "A process did not tell the health of the scheduler: %r",
                error,
                fields={"address": address},
            )
            return None

    async def handle(self, request):
        """Answers whether the scheduler answers this process."""
        term = self.newest_term()
        health = await self.health(timeout_s=judge.HEALTH_TIMEOUT_S)
        return web.Response(
            body=msgspec.json.encode(messages.KnownHealth(term, health))
        )
