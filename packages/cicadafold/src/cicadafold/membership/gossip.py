"""Periodic exchange of heartbeats and rack digests with random peers.

The cost for each member does not depend on the number of members: in each
period it starts one exchange and answers about one. Only peers that are
silent or may be unreachable get further exchanges.
"""

import asyncio
import random

import aiohttp
import msgspec

from cicadafold.membership import messages
from cicadafold.telemetry import logs

__all__ = ["Gossiper", "PERIOD_S"]

PERIOD_S = 0.6
# Seconds of silence after which a peer is contacted out of turn.
DIRECT_EXCHANGE_AFTER_S = 2.0
PROBE_ATTEMPTS = 2
MAX_DIGESTS = 8
MAX_HEARTBEATS = 32
EXCHANGE_TIMEOUT_S = 0.5

LOG = logs.get_logger("member")

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(messages.Gossip).decode


class Gossiper:
    """Runs the exchanges of one member.

    Attributes:
        view: This member's ``MembershipView``.
        resolve: Function that maps an address in the control state to the
            one to connect to.
        own_digests: Function that returns the digests of the racks that
            this member owns.
        round_order: Names of the members that are still to be contacted
            in the current round.
        logged_alive: Names of the members last logged as alive.
        wake_event: Set to end the current period early.
        exchanges: Task of the last exchange with each peer, by name.
    """

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
        """Exchanges with the next and the longest silent peer in each period.

        The exchanges run as separate tasks, so that a peer that cannot
        be reached does not delay the exchanges with others.
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
        """Starts an exchange unless one with this peer is still running."""
        running = self.exchanges.get(peer.name)
        if running is None or running.done():
            task = asyncio.create_task(self.exchange(peer))
            self.exchanges[peer.name] = task

    async def wait(self):
        """Waits about one period, or until a probe is scheduled."""
        period_s = PERIOD_S * self.rng.uniform(0.8, 1.2)
        try:
            async with asyncio.timeout(period_s):
                await self.wake_event.wait()
        except TimeoutError:
            pass
        self.wake_event.clear()

    def schedule_probe(self, member):
        """Schedules an immediate probe of a member whose link broke."""
        self.view.members_to_probe.add(member.name)
        self.wake_event.set()

    async def run_probes(self):
        """Probes the members that may be unreachable.

        Each is contacted ``PROBE_ATTEMPTS`` times, unless it already counts
        as dead.
        """
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
        """Returns the next peer of the round; None if the round has ended.

        The next round then has all members in a new random order.
        """
        members = self.view.state().members
        while self.round_order:
            member = members.get(self.round_order.pop())
            if self.is_peer(member):
                return member
        self.round_order = list(members)
        self.rng.shuffle(self.round_order)
        return None

    def longest_silent_peer(self):
        """Returns the live peer with the longest silence, or None.

        Only peers that have been silent for ``DIRECT_EXCHANGE_AFTER_S``
        are considered. A direct exchange keeps a live peer from counting
        as dead only because no relayed heartbeat arrived in time.
        """
        silent = [
            member
            for member in self.view.alive_members()
            if self.is_peer(member)
            and self.view.silence_s(member) > DIRECT_EXCHANGE_AFTER_S
        ]
        return max(silent, key=self.view.silence_s, default=None)

    def is_peer(self, member):
        """Whether a member entry is another member that has not left."""
        if member is None or member.left:
            return False
        return not self.view.is_self(member)

    def build_message(self, heartbeats):
        """Builds a message whose size does not grow with the cell.

        If there are too many other heartbeats or recent digests, a random
        sample of them is sent. All of them still reach every member within
        a few periods.

        Args:
            heartbeats: Heartbeats to send. The first one, usually that of
                this member, is always included.
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
        """Sends a message to a peer and merges its reply into the view.

        An answer marks the peer as alive, a refused connection as dead, and
        other connection errors count as resets. A timeout changes nothing.
        """
        url = f"http://{self.resolve(peer.address)}/peer/gossip"
        timeout = aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S)
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
            LOG.warning(
                "The gossip reply of %s cannot be decoded and is ignored.",
                peer.name,
            )

    def handle_message(self, body):
        """Merges a peer's message into the view and returns the reply.

        Args:
            body: Encoded message of the peer.

        Returns:
            The encoded reply, with heartbeats that the peer did not have.
        """
        gossip = decode(body)
        self.view.merge(gossip)
        return encode(self.build_message(self.view.newer_heartbeats(gossip)))

    def log_changes(self):
        """Logs the members that became alive or dead since the last call."""
        names = {member.name for member in self.view.alive_members()}
        for name in sorted(names - self.logged_alive):
            LOG.info("Member %s counts as alive.", name)
        for name in sorted(self.logged_alive - names):
            LOG.warning(
                "Member %s has left or counts as dead: no sign of life within "
                "the suspicion time, or its address refused connections. "
                "Other members may claim its racks.",
                name,
            )
        self.logged_alive = names
