"""One process of the cell: serves callers, and schedules while elected."""

import asyncio
import secrets

import aiohttp

from cicadafold.admittance import protocol
from cicadafold.configuration import follower
from cicadafold.configuration import holder
from cicadafold.daemon import supervision
from cicadafold.dispatch import advising
from cicadafold.dispatch import term as term_module
from cicadafold.dispatch import term_services
from cicadafold.election import candidate
from cicadafold.election import loss
from cicadafold.election import terms
from cicadafold.job_service import admission
from cicadafold.job_service import routes
from cicadafold.job_service import service
from cicadafold.journal import accept_writer
from cicadafold.journal import record_limits
from cicadafold.peers import configuration_exchange
from cicadafold.peers import directory
from cicadafold.peers import health_opinions
from cicadafold.peers import link
from cicadafold.peers import messages
from cicadafold.peers import peer_client
from cicadafold.peers import scheduler_client
from cicadafold.peers import scheduler_link
from cicadafold.platform import advice_client
from cicadafold.platform import configuration_source
from cicadafold.platform import log_store
from cicadafold.platform import registry
from cicadafold.platform import worker_client
from cicadafold.telemetry import logs
from cicadafold.telemetry import metrics

__all__ = ["CellNode"]

PEER_HEARTBEAT_S = 1.0
MAX_MESSAGE_BYTES = 1 << 20
# One connection is held by a renewal that waits, the others send commands.
CONNECTIONS_PER_WORKER = 6
KEEP_ALIVE_S = 60.0
# Longest time for each of the two steps of a handover, ending the term and
# leaving the group. Each takes a few round trips.
HANDOVER_TIMEOUT_S = 0.5
# Share of the grace period after which the load balancer sends no new
# requests here: it needs two failed readiness checks, a second apart.
REROUTE_GRACE_SHARE = 0.42

LOG = logs.get_logger("node")


class CellNode:
    """Components of one process, and the term that it serves, if any.

    Args:
        settings: Checked ``CellSettings``.
        make_session: Function that returns an HTTP client session, given
            the maximum number of connections to one address.

    Attributes:
        member: Name of the process, new at each start.
        draining: Whether the process is about to stop.
        stop_requested: Event set when the process should drain and stop.
        term: ``Term`` that the process serves, or None.
        term_task: Task that serves the last term, or None.
        peers: ``PeerHandle`` of each peer by its open ``PeerLink``.
        own_handle: ``PeerHandle`` of this process.
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
        self.notice_tasks = set()
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
        self.configuration = holder.Holder(
            bound_ms=settings.configuration_bound_ms,
            routes=routes.Routes(),
            on_change=self.on_configuration,
            revoke_ms=settings.revoke_ms if settings.revoke_strict else None,
        )
        self.claims = terms.ClaimsTail(
            store=self.store, on_claim=self.on_claim
        )
        self.peer_directory = directory.PeerDirectory(
            session=self.peer_session,
            address=settings.peer_address,
            on_claim=self.claims.apply_claim,
            on_take_over=lambda term, reason: self.candidate.take_over(
                term, reason
            ),
            on_claim_intent=lambda term: self.candidate.hold_claims(term),
            newest_term=self.claims.newest_term,
        )
        self.health_opinions = health_opinions.HealthOpinions(
            session=self.peer_session,
            directory=self.peer_directory,
            newest_term=self.claims.newest_term,
            health=self.scheduler_client.health,
        )
        self.configuration_exchange = (
            configuration_exchange.ConfigurationExchange(
                session=self.peer_session,
                holder=self.configuration,
                scheduler_link=self.scheduler_link,
                peer_directory=self.peer_directory,
            )
        )
        self.follower = follower.Follower(
            holder=self.configuration,
            source=configuration_source.ConfigurationSource(store=self.store),
            exchange=self.configuration_exchange,
            is_scheduler=lambda: self.term is not None,
            low_priority=settings.election_priority < candidate.FULL_PRIORITY,
        )
        self.address_broadcaster = directory.AddressBroadcaster(
            peer_directory=self.peer_directory, peers=self.peers
        )
        self.candidate = candidate.Candidate(
            store=self.store,
            claims=self.claims,
            member=self.member,
            address=settings.peer_address,
            ttl_ms=settings.member_ttl_ms,
            is_serving=lambda: self.term is not None,
            health=self.scheduler_client.health,
            scheduler_gone=lambda: self.scheduler_link.refused,
            delegate_claim=self.peer_directory.request_take_over,
            ask_health=self.health_opinions.ask,
            announce_intent=self.peer_directory.announce_claim_intent,
            election_priority=settings.election_priority,
            metrics=self.metrics,
        )
        self.writer = accept_writer.AcceptWriter(
            store=self.store,
            first_partition=sum(settings.member.encode()),
            relay_open=lambda: self.scheduler_client.remote_is_linked,
            metrics=self.metrics,
        )
        self.relay_writer = accept_writer.AcceptWriter(
            store=self.store,
            partitions=accept_writer.RELAY_PARTITIONS,
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
        self.term_services = term_services.TermServices(
            store=self.store,
            make_registry=lambda on_progress: registry.RegistrySource(
                store=self.store, on_progress=on_progress
            ),
            make_client=self.make_worker_client,
            list_peers=self.peer_handles,
            peer_directory=self.peer_directory,
            configuration=self.configuration,
            claim_history=self.claims.history,
            read_newest_claim=lambda: self.claims.read_once(wait_ms=0),
            metrics=self.metrics,
            broadcast=self.broadcast,
        )
        self.host_admission = admission.HostAdmission(
            scheduler=self.scheduler_client, metrics=self.metrics
        )
        self.job_service = service.JobService(
            writer=self.writer,
            relay_writer=self.relay_writer,
            scheduler=self.scheduler_client,
            isolated=self.isolated,
            store=self.store,
            metrics=self.metrics,
            cap_overage=settings.cap_overage,
            limits=record_limits.RecordLimits(
                settings.record_bytes, settings.call_bytes
            ),
            admission=self.host_admission,
        )

    def supervisor(self):
        """Returns the supervisor of the components that always run."""
        child = supervision.Child
        return supervision.Supervisor(
            name="node",
            children=[
                child(name="configuration", run=self.follower.run),
                child(name="claims", run=self.claims.run),
                child(name="campaign", run=self.candidate.run),
                child(name="scheduler link", run=self.scheduler_link.run),
                child(name="accept writer", run=self.writer.run),
                child(name="relay writer", run=self.relay_writer.run),
            ],
        )

    def ready(self):
        """Whether the load balancer should send callers to this host.

        A host that reaches neither the store nor the scheduler can accept
        nothing, and one that cannot get a configuration that is in force
        elsewhere must refuse submissions, or calls with keys. If no host is
        ready, the balancer uses all of them again.
        """
        return (
            self.configuration.current is not None
            and not self.configuration.outdated
            and not self.configuration.keys_expired
            and not self.draining
            and not self.isolated()
        )

    def isolated(self):
        """Whether this process reaches neither store nor scheduler."""
        return not self.store.reachable and self.scheduler_link.link is None

    def on_configuration(self, configuration):
        """Passes a new configuration to the term, which tells the peers."""
        if self.term is None:
            return
        self.term.configure(configuration)
        self.broadcast(messages.ConfigurationNotice(self.configuration.end))

    def broadcast(self, message):
        """Sends a message to all peers over their links; it may be lost."""
        for peer in self.peers:
            task = asyncio.create_task(peer.send_if_open(message))
            self.notice_tasks.add(task)
            task.add_done_callback(self.notice_tasks.discard)

    def on_claim(self, claim):
        """Starts or ends a term according to the newest claim."""
        if self.term is not None and self.term.number < claim.term:
            self.term.step_down(f"term {claim.term} has started")
        self.scheduler_link.follow(claim)
        if claim.member == self.member and not self.draining:
            self.term_task = asyncio.create_task(self.serve_term(claim))

    async def serve_term(self, claim):
        """Serves one term until it ends, and announces its claim to the peers.

        A later claim may have been read together with this one.

        Args:
            claim: Claim of the term by this process.
        """
        if self.claims.newest.term > claim.term:
            return
        term = term_module.Term(
            claim=claim,
            services=self.term_services,
            settings=self.settings,
        )
        self.term = term
        announce_task = asyncio.create_task(
            self.peer_directory.announce(claim)
        )
        try:
            await term.run()
        except Exception as error:
            self.metrics.count("terms_failed")
            LOG.exception(
                "The term failed; this process no longer serves it: %s",
                error,
                fields={"term": claim.term},
            )
        finally:
            announce_task.cancel()
            if self.term is term:
                self.term = None

    def make_worker_client(self, report, fence):
        """Returns the client for the calls to a worker.

        Args:
            report: Registry entry of the worker.
            fence: Term that the worker checks.
        """
        return worker_client.WorkerClient(
            session=self.worker_session,
            address=report.address,
            worker=report.id,
            fence=fence,
            metrics=self.metrics,
        )

    def peer_handles(self):
        """Returns the handles of all processes that the term can call."""
        return [self.own_handle, *self.peers.values()]

    def serving_term(self):
        """Returns the term that this process serves now.

        Raises:
            Starting: It serves no term.
        """
        if self.term is None:
            raise scheduler_client.starting_error()
        return self.term

    def on_hello(self, hello, peer):
        """Registers a peer that has opened a link.

        Args:
            hello: First message of the peer.
            peer: ``PeerLink`` to the peer.
        """
        if self.term is not None and hello.term > self.term.number:
            self.term.step_down(f"a peer knows term {hello.term}")
        preferred = hello.strength >= candidate.FULL_PRIORITY
        self.peer_directory.add(
            [hello.address], [hello.address] if preferred else ()
        )
        client = peer_client.PeerClient(peer=peer)
        self.peers[peer] = advising.PeerHandle(
            member=hello.member,
            address=hello.address,
            advise=client.advise,
            election_priority=hello.strength,
            store_age_ms=client.store_age_ms,
            take_over=client.take_over,
        )
        self.address_broadcaster.schedule()

    def add_peer_routes(self, router):
        """Adds the routes that peers call, beside the links.

        Args:
            router: Router of the application for peers.
        """
        self.peer_directory.add_routes(router)
        self.health_opinions.add_routes(router)
        self.configuration_exchange.add_routes(router)

    def gauges(self):
        """Returns the current values of metrics by name and labels."""
        gauges = self.configuration.gauges()
        if self.term is not None:
            gauges |= self.term.teams.gauges()
            gauges["term_proof_age_ms"] = self.term.proof.age_ms()
            gauges["term_workers_awaited"] = len(
                self.term.inherited_runs.awaited_workers()
            )
            for name, by_team in self.term.gauges().items():
                for team, value in by_team.items():
                    label = metrics.label_text((("team", team),))
                    gauges[f"{name}{label}"] = value
        return gauges

    async def serve_peer(self, request):
        """Serves the link that a peer opens with an HTTP request."""
        socket = protocol.BoundedWebSocket(
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
        """Hands the term over and finishes the requests in flight.

        Args:
            close_callers: Coroutine function that closes the callers'
                address, while the components that its calls need still run.
        """
        LOG.info("A stop was requested; draining the process.")
        self.draining = True
        handover_task = asyncio.create_task(self.hand_over())
        await asyncio.sleep(self.settings.grace_s * REROUTE_GRACE_SHARE)
        await close_callers()
        await handover_task

    async def hand_over(self):
        """Ends this process's term and leaves the election group.

        Another process of the group then claims the next term.
        """
        if self.term is not None:
            self.term.step_down("this process stops")
            await self.request_successor(self.term.number)
        if self.term_task is not None:
            await asyncio.wait({self.term_task}, timeout=HANDOVER_TIMEOUT_S)
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self.candidate.leave()
        except TimeoutError:
            LOG.warning(
                "Could not leave the election group in time; the store"
                " removes this process later."
            )

    async def request_successor(self, term):
        """Asks the peer of the highest priority to claim the next term.

        Args:
            term: Number of the term that this process has ended.
        """
        peer = max(
            self.peers.values(),
            key=lambda peer: peer.election_priority,
            default=None,
        )
        if peer is None:
            return
        LOG.info(
            "Asking a peer to replace the scheduler that stops.",
            fields={"term": term, "peer": peer.member},
        )
        await peer.take_over(term, loss.LossReason.STOPPING)

    async def close(self):
        """Closes all HTTP client sessions."""
        for session in (
            self.store_session,
            self.worker_session,
            self.peer_session,
        ):
            await session.close()


def new_session(*, limit):
    """Returns an HTTP client session that keeps its connections open.

    Args:
        limit: Maximum number of connections to one address; 0 for no limit.
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
