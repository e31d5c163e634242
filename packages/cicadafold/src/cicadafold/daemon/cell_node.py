"""One process of the cell: entry host always, scheduler when elected."""

import asyncio
import secrets

import aiohttp
from aiohttp import web

from cicadafold.daemon import supervision
from cicadafold.dispatch import advising
from cicadafold.dispatch import term as term_module
from cicadafold.election import candidate
from cicadafold.election import terms
from cicadafold.job_service import routes
from cicadafold.job_service import service
from cicadafold.journal import accept_writer
from cicadafold.peers import directory
from cicadafold.peers import link
from cicadafold.peers import peer_client
from cicadafold.peers import scheduler_client
from cicadafold.peers import scheduler_link
from cicadafold.platform import advice_client
from cicadafold.platform import log_store
from cicadafold.platform import registry
from cicadafold.platform import worker_client
from cicadafold.telemetry import logs
from cicadafold.telemetry import metrics

__all__ = ["CellNode"]

PEER_HEARTBEAT_S = 1.0
MAX_MESSAGE_BYTES = 1 << 20
# Connections to one worker: a renewal that waits, and orders beside it.
CONNECTIONS_PER_WORKER = 6
KEEP_ALIVE_S = 60.0
# Ending a term and leaving the group take a few round trips.
HANDOVER_TIMEOUT_S = 0.5
# Share of the time until the kill: the balancer notices after two missed
# checks, a second apart.
REROUTE_SHARE = 0.42

LOG = logs.get_logger("node")


class CellNode:
    """Holds the parts of one process and the term that it may serve.

    Args:
        settings: Checked settings.
        make_session: Function that returns a client session, given the
            most connections to one address.
    """

    def __init__(self, *, settings, make_session=None):
        self.settings = settings
        self.member = f"{settings.member}/{secrets.token_hex(4)}"
        self.metrics = metrics.Metrics()
        make_session = make_session or new_session
        self.store_session = make_session(limit=0)
        self.worker_session = make_session(limit=CONNECTIONS_PER_WORKER)
        self.peer_session = make_session(limit=0)
        self.draining = False
        self.stop_requested = asyncio.Event()
        self.term = None
        self.term_task = None
        self.peers = {}
        self.store = log_store.LogStore(
            session=self.store_session,
            address=settings.store_address,
            metrics=self.metrics,
        )
        self.scheduler_link = scheduler_link.SchedulerLink(
            session=self.peer_session,
            member=self.member,
            address=settings.peer_address,
            election_priority=settings.election_priority,
            node=self,
        )
        self.scheduler_client = scheduler_client.SchedulerClient(
            local=lambda: self.term, remote=self.scheduler_link
        )
        self.routes = routes.Routes(
            source=registry.ConfigurationSource(store=self.store),
            scheduler=self.scheduler_client,
            on_change=self.on_configuration,
        )
        self.claims = terms.ClaimsTail(
            store=self.store, on_claim=self.on_claim
        )
        self.peer_directory = directory.PeerDirectory(
            session=self.peer_session,
            address=settings.peer_address,
            on_claim=self.claims.apply_claim,
            on_take_over=lambda term: self.campaign.take_over(term),
        )
        self.address_broadcaster = directory.AddressBroadcaster(
            peer_directory=self.peer_directory, peers=self.peers
        )
        self.campaign = candidate.Candidate(
            store=self.store,
            claims=self.claims,
            member=self.member,
            address=settings.peer_address,
            ttl_ms=settings.member_ttl_ms,
            is_serving=lambda: self.term is not None,
            health=self.scheduler_client.health,
            scheduler_gone=lambda: self.scheduler_link.refused,
            delegate_claim=self.peer_directory.request_take_over,
            election_priority=settings.election_priority,
        )
        self.writer = accept_writer.AcceptWriter(
            store=self.store,
            first_partition=sum(settings.member.encode()),
            metrics=self.metrics,
        )
        self.advice = advice_client.AdviceClient(
            session=self.peer_session, address=settings.advice_address
        )
        self.own_handle = advising.PeerHandle(
            member=self.member,
            advise=self.advice.advise,
            election_priority=settings.election_priority,
        )
        self.job_service = service.JobService(
            writer=self.writer,
            scheduler=self.scheduler_client,
            isolated=self.isolated,
            reachable=lambda: self.store.reachable,
            metrics=self.metrics,
        )

    def supervisor(self):
        """Returns the supervisor of the parts that always run."""
        child = supervision.Child
        return supervision.Supervisor(
            name="node",
            children=[
                child(name="configuration", run=self.routes.run),
                child(name="claims", run=self.claims.run),
                child(name="campaign", run=self.campaign.run),
                child(name="scheduler link", run=self.scheduler_link.run),
                child(name="accept writer", run=self.writer.run),
            ],
        )

    def ready(self):
        """Whether new connections of callers are welcome.

        A host that reaches neither the store nor the scheduler can accept
        nothing. If all are so, the balancer uses all of them again.
        """
        return (
            self.routes.current is not None
            and not self.draining
            and not self.isolated()
        )

    def isolated(self):
        """Whether this process reaches neither store nor scheduler."""
        return not self.store.reachable and self.scheduler_link.link is None

    def on_configuration(self, configuration):
        """Hands a new configuration to the term."""
        if self.term is not None:
            self.term.job_table.configure(configuration)

    def on_claim(self, claim):
        """Begins or ends a term as the newest claim says."""
        if self.term is not None and self.term.number < claim.term:
            self.term.step_down(f"term {claim.term} has begun")
        self.scheduler_link.follow(claim)
        if claim.member == self.member and not self.draining:
            self.term_task = asyncio.create_task(self.serve_term(claim))

    async def serve_term(self, claim):
        """Serves one term to its end."""
        settings = self.settings
        term = term_module.Term(
            number=claim.term,
            store=self.store,
            registry=registry.RegistrySource(store=self.store),
            make_client=self.make_calls,
            list_peers=self.peer_handles,
            configuration=self.routes,
            read_newest_claim=lambda: self.claims.read_once(wait_ms=0),
            longest_lease_ms=settings.longest_lease_ms,
            status_s=settings.status_s,
            uses_advice=bool(settings.advice_address),
            election_priority=settings.election_priority,
            metrics=self.metrics,
        )
        self.term = term
        announcing = asyncio.create_task(self.peer_directory.announce(claim))
        try:
            await term.run()
        except Exception as error:
            LOG.exception("The term failed: %s", error)
        finally:
            announcing.cancel()
            if self.term is term:
                self.term = None

    def make_calls(self, report, fence):
        """Returns the client of a worker."""
        return worker_client.WorkerClient(
            session=self.worker_session,
            address=report.address,
            worker=report.id,
            fence=fence,
            metrics=self.metrics,
        )

    def peer_handles(self):
        """Returns the hosts that can call the advice service."""
        return [self.own_handle, *self.peers.values()]

    def serving_term(self):
        """Returns the term that this process serves.

        Raises:
            Starting: It serves none.
        """
        if self.term is None:
            raise scheduler_client.starting_error()
        return self.term

    def on_hello(self, hello, peer):
        """Takes a peer that has opened a link."""
        if self.term is not None and hello.term > self.term.number:
            self.term.step_down(f"a peer knows term {hello.term}")
        preferred = hello.strength >= candidate.FULL_PRIORITY
        self.peer_directory.add(
            [hello.address], [hello.address] if preferred else ()
        )
        calls = peer_client.PeerClient(peer=peer)
        self.peers[peer] = advising.PeerHandle(
            member=hello.member,
            advise=calls.advise,
            election_priority=hello.strength,
            store_age_ms=calls.store_age_ms,
            take_over=calls.take_over,
        )
        self.address_broadcaster.schedule()

    async def serve_peer(self, request):
        """Serves the link that a peer has opened."""
        socket = web.WebSocketResponse(
            heartbeat=PEER_HEARTBEAT_S, max_msg_size=MAX_MESSAGE_BYTES
        )
        await socket.prepare(request)
        await self.serve_socket(socket)
        return socket

    async def serve_socket(self, socket):
        """Serves an open WebSocket of a peer until it closes."""
        peer = link.PeerLink(socket=socket, node=self, member="peer")
        try:
            await peer.serve()
        finally:
            self.peers.pop(peer, None)

    async def drain(self, close_callers):
        """Hands over, and lets what is in hand come to its end.

        Args:
            close_callers: Coroutine function that closes the callers'
                address, before the parts that its calls need.
        """
        LOG.info("The process is asked to stop.")
        self.draining = True
        leaving = asyncio.create_task(self.hand_over())
        await asyncio.sleep(self.settings.grace_s * REROUTE_SHARE)
        await close_callers()
        await leaving

    async def hand_over(self):
        """Ends the own term and lets another process take its place."""
        if self.term is not None:
            self.term.step_down("this process stops")
        if self.term_task is not None:
            await asyncio.wait({self.term_task}, timeout=HANDOVER_TIMEOUT_S)
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self.campaign.leave()
        except TimeoutError:
            LOG.warning("The group could not be left in time.")

    async def close(self):
        """Closes all client sessions."""
        for session in (
            self.store_session,
            self.worker_session,
            self.peer_session,
        ):
            await session.close()


def new_session(*, limit):
    """Returns a client session with connections that are kept open.

    Args:
        limit: Connections to one address, 0 for no bound.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=limit,
        keepalive_timeout=KEEP_ALIVE_S,
        use_dns_cache=False,
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )
