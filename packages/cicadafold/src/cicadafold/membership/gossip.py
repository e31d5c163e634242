"""Exchanges heartbeats and digests with one random peer a period.

The cost for each member is the same however many there are: one exchange
begun and about one answered a period.
"""

import asyncio
import random

import aiohttp
import msgspec

from cicadafold.membership import messages
from cicadafold.telemetry import logs

__all__ = ["Gossiper", "PERIOD_S"]

PERIOD_S = 0.6
ASK_AFTER_S = 2.0
PROBES_IN_DOUBT = 2
MAX_DIGESTS = 8
MAX_PULSES = 32
TIMEOUT_S = 0.5

LOG = logs.get_logger("member")

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(messages.Gossip).decode


class Gossiper:
    """Runs the exchanges of one member."""

    def __init__(self, *, view, session, resolve, token, own_digests):
        self.view = view
        self.session = session
        self.resolve = resolve
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.own_digests = own_digests
        self.random = random.Random()
        self.order = []
        self.alive_names = set()
        self.woken = asyncio.Event()
        self.exchanges = {}

    async def run(self):
        """Begins an exchange each period, and with silent members.

        No exchange waits for another: a peer behind a cut link must not
        keep this member from hearing of the others.
        """
        while True:
            self.view.beat()
            for peer in (self.next_peer(), self.most_silent()):
                if peer is not None:
                    self.begin_exchange(peer)
            await self.probe_doubted()
            self.log_changes()
            await self.wait()

    def begin_exchange(self, peer):
        """Begins an exchange unless one with this peer is under way."""
        running = self.exchanges.get(peer.name)
        if running is None or running.done():
            task = asyncio.create_task(self.exchange(peer))
            self.exchanges[peer.name] = task

    async def wait(self):
        """Waits for the next period, or until a member is doubted."""
        period_s = PERIOD_S * self.random.uniform(0.8, 1.2)
        try:
            async with asyncio.timeout(period_s):
                await self.woken.wait()
        except TimeoutError:
            pass
        self.woken.clear()

    def doubt(self, member):
        """Probes a member soon, after its link broke."""
        self.view.doubted.add(member.name)
        self.woken.set()

    async def probe_doubted(self):
        """Probes the members that may be gone."""
        members = self.view.state().members
        names, self.view.doubted = self.view.doubted, set()
        doubted = [members.get(name) for name in sorted(names)]
        for _ in range(PROBES_IN_DOUBT):
            await asyncio.gather(
                *(
                    self.exchange(member)
                    for member in doubted
                    if self.is_peer(member) and self.view.is_alive(member)
                )
            )

    def next_peer(self):
        """Returns the next peer of a shuffled round, or None."""
        members = self.view.state().members
        while self.order:
            member = members.get(self.order.pop())
            if self.is_peer(member):
                return member
        self.order = list(members)
        self.random.shuffle(self.order)
        return None

    def most_silent(self):
        """Returns the live peer that has been silent for the longest.

        It is asked directly before it comes to be suspected.
        """
        silent = [
            member
            for member in self.view.alive_members()
            if self.is_peer(member)
            and self.view.silence_s(member) > ASK_AFTER_S
        ]
        return max(silent, key=self.view.silence_s, default=None)

    def is_peer(self, member):
        """Whether an entry is another member that has not left."""
        if member is None or member.left:
            return False
        return not self.view.is_self(member)

    def message(self, pulses):
        """Builds a message; its size has a bound at any size of the cell.

        The first pulse is this member's own. Of the others, and of the
        figures that changed lately, a random few are told, which spread
        over the members within a few periods.
        """
        if len(pulses) > MAX_PULSES:
            pulses = [
                pulses[0],
                *self.random.sample(pulses[1:], MAX_PULSES - 1),
            ]
        for digest in self.own_digests():
            self.view.merge_digest(digest)
        fresh = self.view.fresh_digests()
        if len(fresh) > MAX_DIGESTS:
            fresh = self.random.sample(fresh, MAX_DIGESTS)
        return messages.Gossip(
            sender=self.view.name, pulses=pulses, digests=fresh
        )

    async def exchange(self, peer):
        """Tells a peer what is known and takes in its answer."""
        url = f"http://{self.resolve(peer.address)}/peer/gossip"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self.session.post(
                url,
                data=encode(self.message(self.view.pulses())),
                timeout=timeout,
                headers=self.headers,
            ) as reply:
                self.view.merge(decode(await reply.read()))
                self.view.note_answer(peer)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self.view.note_refused(peer)
        except (TimeoutError, aiohttp.ServerTimeoutError):
            return
        except (aiohttp.ClientError, OSError):
            self.view.note_reset(peer)
        except msgspec.DecodeError:
            LOG.warning("%s sent gossip that cannot be read.", peer.name)

    def answer(self, body):
        """Takes in a peer's message and returns the answer's bytes."""
        gossip = decode(body)
        self.view.merge(gossip)
        return encode(self.message(self.view.pulses_beyond(gossip)))

    def log_changes(self):
        """Logs the members that appeared or went."""
        names = {member.name for member in self.view.alive_members()}
        for name in sorted(names - self.alive_names):
            LOG.info("%s is alive.", name)
        for name in sorted(self.alive_names - names):
            LOG.warning("%s is gone.", name)
        self.alive_names = names
