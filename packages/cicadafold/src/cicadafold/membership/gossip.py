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
DIRECT_EXCHANGE_AFTER_S = 2.0
PROBE_ATTEMPTS = 2
MAX_DIGESTS = 8
MAX_HEARTBEATS = 32
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
        self.rng = random.Random()
        self.round_order = []
        self.logged_alive = set()
        self.wake_event = asyncio.Event()
        self.exchanges = {}

    async def run(self):
        """Begins an exchange each period, and with silent members.

        No exchange waits for another: a peer behind a cut link must not
        keep this member from hearing of the others.
        """
        while True:
            self.view.advance_heartbeat()
            for peer in (self.next_peer(), self.longest_silent_peer()):
                if peer is not None:
                    self.start_exchange(peer)
            await self.run_probes()
            self.log_changes()
            await self.wait()

    def start_exchange(self, peer):
        """Begins an exchange unless one with this peer is under way."""
        running = self.exchanges.get(peer.name)
        if running is None or running.done():
            task = asyncio.create_task(self.exchange(peer))
            self.exchanges[peer.name] = task

    async def wait(self):
        """Waits for the next period, or until a member is doubted."""
        period_s = PERIOD_S * self.rng.uniform(0.8, 1.2)
        try:
            async with asyncio.timeout(period_s):
                await self.wake_event.wait()
        except TimeoutError:
            pass
        self.wake_event.clear()

    def schedule_probe(self, member):
        """Probes a member soon, after its link broke."""
        self.view.members_to_probe.add(member.name)
        self.wake_event.set()

    async def run_probes(self):
        """Probes the members that may be gone."""
        members = self.view.state().members
        names, self.view.members_to_probe = self.view.members_to_probe, set()
        suspected = [members.get(name) for name in sorted(names)]
        for _ in range(PROBE_ATTEMPTS):
            await asyncio.gather(
                *(
                    self.exchange(member)
                    for member in suspected
                    if self.is_peer(member) and self.view.is_alive(member)
                )
            )

    def next_peer(self):
        """Returns the next peer of a shuffled round, or None."""
        members = self.view.state().members
        while self.round_order:
            member = members.get(self.round_order.pop())
            if self.is_peer(member):
                return member
        self.round_order = list(members)
        self.rng.shuffle(self.round_order)
        return None

    def longest_silent_peer(self):
        """Returns the live peer that has been silent for the longest.

        It is asked directly before it comes to be suspected.
        """
        silent = [
            member
            for member in self.view.alive_members()
            if self.is_peer(member)
            and self.view.silence_s(member) > DIRECT_EXCHANGE_AFTER_S
        ]
        return max(silent, key=self.view.silence_s, default=None)

    def is_peer(self, member):
        """Whether an entry is another member that has not left."""
        if member is None or member.left:
            return False
        return not self.view.is_self(member)

    def build_message(self, heartbeats):
        """Builds a message; its size has a bound at any size of the cell.

        The first pulse is this member's own. Of the others, and of the
        figures that changed lately, a random few are told, which spread
        over the members within a few periods.
        """
        if len(heartbeats) > MAX_HEARTBEATS:
            heartbeats = [
                heartbeats[0],
                *self.rng.sample(heartbeats[1:], MAX_HEARTBEATS - 1),
            ]
        for digest in self.own_digests():
            self.view.merge_digest(digest)
        recent = self.view.recent_digests()
        if len(recent) > MAX_DIGESTS:
            recent = self.rng.sample(recent, MAX_DIGESTS)
        return messages.Gossip(
            sender=self.view.name, heartbeats=heartbeats, digests=recent
        )

    async def exchange(self, peer):
        """Tells a peer what is known and takes in its answer."""
        url = f"http://{self.resolve(peer.address)}/peer/gossip"
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self.session.post(
                url,
                data=encode(self.build_message(self.view.heartbeats())),
                timeout=timeout,
                headers=self.headers,
            ) as reply:
                self.view.merge(decode(await reply.read()))
                self.view.record_answer(peer)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self.view.record_refusal(peer)
        except (TimeoutError, aiohttp.ServerTimeoutError):
            return
        except (aiohttp.ClientError, OSError):
            self.view.record_reset(peer)
        except msgspec.DecodeError:
            LOG.warning("%s sent gossip that cannot be read.", peer.name)

    def handle_message(self, body):
        """Takes in a peer's message and returns the answer's bytes."""
        gossip = decode(body)
        self.view.merge(gossip)
        return encode(self.build_message(self.view.newer_heartbeats(gossip)))

    def log_changes(self):
        """Logs the members that appeared or went."""
        names = {member.name for member in self.view.alive_members()}
        for name in sorted(names - self.logged_alive):
            LOG.info("%s is alive.", name)
        for name in sorted(self.logged_alive - names):
            LOG.warning("%s is gone.", name)
        self.logged_alive = names
