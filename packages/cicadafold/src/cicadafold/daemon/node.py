"""Components of the single-request path's process on an entry host.

The components reach each other, and state that they share, through ``Node``.
"""

import asyncio
import functools
import uuid

import aiohttp

from cicadafold.controllog import appender
from cicadafold.controllog import records
from cicadafold.controllog import snapshots
from cicadafold.controllog import state as control_state
from cicadafold.controllog import tail
from cicadafold.coordination import coordinator
from cicadafold.daemon import supervision
from cicadafold import exception
from cicadafold import hosts as host_table
from cicadafold.membership import gossip
from cicadafold.membership import view
from cicadafold.ownership import rack_claimer
from cicadafold.ownership import service as rack_service
from cicadafold.peerlink import client
from cicadafold.placement import routing
from cicadafold.platform import http_adapters
from cicadafold.platform import interfaces
from cicadafold.reports import burn
from cicadafold.telemetry import events
from cicadafold.telemetry import logs
from cicadafold.telemetry import metrics

__all__ = ["Node"]

DEFAULT_LEASE_MS = 2000
CONFIRM_TIMEOUT_S = 1.0
APPLY_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.5
# Imported because they register the platform adapters.
ADAPTER_MODULES = (http_adapters,)
SKIPPED_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)

# Records that show that the member they name is alive, as it writes them.
WRITTEN_BY_MEMBER = (records.Join, records.Accept, records.Adopt)

LOG = logs.get_logger("node")


class Node:
    """Components of one process, which is a member of the cell.

    Args:
        settings: Checked settings by key.

    Attributes:
        name: Name of the member.
        region: Region of the host.
        failure_domain: Failure domain of the host.
        incarnation: Identifier of this process between two starts.
        stop_requested: Event set when the process should drain and stop.
        kinds_revision: Revision of the configuration that ``kinds`` and
            ``teams`` are from.
        kinds: Kinds of requests by name.
        teams: Teams by name.
        in_flight: Number of callers' requests in flight.
    """

    def __init__(self, *, settings):
        self.settings = settings
        self.name = settings["member.name"]
        self.region = settings["member.region"]
        self.failure_domain = settings["member.failure_domain"]
        self.incarnation = uuid.uuid4().hex[:8]
        self.metrics = metrics.Metrics()
        self.events = events.RequestEvents(member=self.name)
        self.answer_counts = burn.AnswerCounts()
        self.stop_requested = asyncio.Event()
        self.kinds_revision = -1
        self.kinds = {}
        self.teams = {}
        self.in_flight = 0
        self.create_sessions()
        self.create_components()

    def create_sessions(self):
        """Opens one HTTP client session for control and one for targets."""
        no_timeout = aiohttp.ClientTimeout(total=None)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=no_timeout,
            skip_auto_headers=SKIPPED_HEADERS,
        )
        self.target_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, limit_per_host=0, keepalive_timeout=30
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=no_timeout,
            skip_auto_headers=SKIPPED_HEADERS,
        )

    def create_components(self):
        """Creates the components and connects them; no task is started yet."""
        settings = self.settings
        adapter = settings["platform.adapter"]
        stream = interfaces.create_adapter(
            "log",
            adapter,
            session=self.session,
            address=self.resolve(settings["platform.log"]),
            stream=settings["platform.stream"],
        )
        source = interfaces.create_adapter(
            "hosts",
            adapter,
            session=self.session,
            address=self.resolve(settings["platform.hosts"]),
        )
        self.tail = tail.Tail(
            stream=stream,
            accept_lost_state=settings["platform.accept_lost_state"],
        )
        self.appender = appender.Appender(
            stream=stream,
            metrics=self.metrics,
            count_members=self.count_members,
        )
        self.hosts = host_table.HostTable(
            source=source,
            recorded=lambda: self.tail.state.rack_hosts,
            is_owner=lambda: bool(self.rack_claimer.owners),
        )
        self.view = view.MembershipView(
            name=self.name,
            incarnation=self.incarnation,
            state=lambda: self.tail.state,
        )
        self.routing = routing.Routing(
            hosts=self.hosts, view=self.view, region=self.region
        )
        self.rack_claimer = rack_claimer.RackClaimer(node=self)
        self.racks = rack_service.RackService(node=self)
        self.coordinator = coordinator.Coordinator(node=self)
        self.snapshotter = snapshots.Snapshotter(
            node=self, retention_s=settings["platform.log_retention_s"]
        )
        token = settings["security.peer_token"]
        self.gossiper = gossip.Gossiper(
            view=self.view,
            session=self.session,
            resolve=self.resolve,
            token=token,
            own_digests=self.own_digests,
        )
        self.links = client.LaneLinks(
            session=self.session,
            token=token,
            resolve=self.resolve,
            on_lost=self.gossiper.schedule_probe,
        )
        self.coordinator.start()
        self.tail.add_listener(self.on_records)

    def supervisor(self):
        """Returns the supervisor of all components."""
        log_group = supervision.Supervisor(
            name="log",
            children=[
                supervision.Child(name="tail", run=self.tail.run),
                supervision.Child(name="appender", run=self.appender.run),
                supervision.Child(name="snapshots", run=self.snapshotter.run),
            ],
        )
        cell_group = supervision.Supervisor(
            name="cell",
            children=[
                supervision.Child(name="hosts", run=self.hosts.run),
                supervision.Child(name="gossip", run=self.gossiper.run),
                supervision.Child(
                    name="rack_claimer", run=self.rack_claimer.run
                ),
                supervision.Child(
                    name="adopter", run=self.coordinator.adopter.run
                ),
            ],
        )
        return supervision.Supervisor(
            name="node",
            children=[
                supervision.Child(name="log", run=log_group.run),
                supervision.Child(name="cell", run=cell_group.run),
            ],
        )

    async def join(self):
        """Appends the join record and waits until it is applied here."""
        record = records.Join(
            member=self.name,
            incarnation=self.incarnation,
            address=self.settings["member.listen"],
            failure_domain=self.failure_domain,
            region=self.region,
        )
        self.appender.append_in_background(record)
        while self.own_member() is None:
            await self.tail.changed.wait()
        LOG.info("This member has joined the cell.")

    async def close(self):
        """Closes the links to peers and the HTTP client sessions."""
        await self.links.close()
        await self.session.close()
        await self.target_session.close()

    # Addresses and members

    def resolve(self, address):
        """Returns the address to connect to for an announced address.

        The setting ``platform.routes`` maps announced addresses that cannot
        be reached directly.
        """
        return self.settings["platform.routes"].get(address, address)

    def own_member(self):
        """Returns this incarnation's entry in the replayed state, or None."""
        member = self.tail.state.members.get(self.name)
        if member is None or member.incarnation != self.incarnation:
            return None
        return member

    def count_members(self):
        """Returns how many members share the control log's append rate."""
        members = self.tail.state.members.values()
        return sum(not member.left for member in members)

    def is_ready(self):
        """Whether this member has joined the cell and can serve callers."""
        return self.tail.ready and self.own_member() is not None

    async def call_member(self, member, lane, frame, *, timeout_s):
        """Sends a frame to a member, maybe this one, and returns its reply.

        Args:
            lane: Priority lane of the request, which selects the link.
            timeout_s: Seconds to wait for the reply.

        Raises:
            LinkNotOpen: The link is not open; nothing was sent.
            LinkLost: The link failed or no reply came in time; the member
                may have received the frame.
            TimeoutError: The frame was for this member, which gave no reply
                in time.
        """
        if self.view.is_self(member):
            future = asyncio.get_running_loop().create_future()
            self.racks.handle(frame, functools.partial(set_reply, future))
            return await asyncio.wait_for(future, timeout_s)
        link = self.links.get(member, lane)
        return await link.call(frame, timeout_s=timeout_s)

    def on_records(self, found):
        """Updates the table of workers and the view by new control records."""
        if any(isinstance(r, records.RackHosts) for r in found):
            self.hosts.rebuild()
        for record in found:
            own_claim = isinstance(record, records.Claim) and not record.writer
            if own_claim or isinstance(record, WRITTEN_BY_MEMBER):
                self.view.record_log_append(record.member, record.incarnation)

    def call_soon(self, function):
        """Calls a function in the next iteration of the event loop."""
        asyncio.get_running_loop().call_soon(function)

    def peer_headers(self):
        """Returns the HTTP headers of calls to peers."""
        token = self.settings["security.peer_token"]
        return {"Authorization": f"Bearer {token}"} if token else {}

    # Configuration

    def refresh_configuration(self):
        """Indexes kinds and teams anew if the configuration has changed."""
        configuration = self.tail.state.configuration
        if configuration.revision != self.kinds_revision:
            self.kinds_revision = configuration.revision
            self.kinds = {kind.name: kind for kind in configuration.kinds}
            self.teams = {team.name: team for team in configuration.teams}

    def kind(self, name):
        """Returns the kind of requests with a name, or None."""
        self.refresh_configuration()
        return self.kinds.get(name)

    def team(self, name):
        """Returns the team with a name, or None."""
        self.refresh_configuration()
        return self.teams.get(name)

    def team_weight(self, name):
        """Returns the fair-share weight of a team."""
        team = self.team(name)
        return team.weight if team else 1

    def team_quota_cores(self, name):
        """Returns a team's quota on one rack in cores; 0 means no limit."""
        team = self.team(name)
        if team is None or not team.quota_cores:
            return 0
        return team.quota_cores / max(1, len(self.hosts.racks))

    def headroom_slots(self):
        """Returns the slots of a worker that patient requests leave free."""
        return self.tail.state.configuration.headroom_slots

    def longest_lease_ms(self):
        """Returns the longest lease of any kind in milliseconds."""
        self.refresh_configuration()
        leases = (kind.lease_ms for kind in self.kinds.values())
        return max(leases, default=DEFAULT_LEASE_MS)

    # Racks

    def target_client(self, address):
        """Returns the client for the calls to the worker at an address."""
        return interfaces.create_adapter(
            "target",
            self.settings["platform.adapter"],
            session=self.target_session,
            address=self.resolve(address),
        )

    def recorded_hosts(self, rack):
        """Returns the names of a rack's workers in the control log."""
        found = self.tail.state.rack_hosts.get(rack, [])
        return {host.name for host in found}

    async def record_hosts(self, owner, hosts):
        """Records in the control log which workers a rack's owner may use.

        The owner gets its new workers only once the record is durable.
        """
        record = records.RackHosts(
            rack=owner.name, term=owner.term, hosts=hosts
        )
        if await self.append_and_apply(record):
            owner.update_hosts(self.hosts.hosts_in_rack(owner.name))

    async def append_and_apply(self, record):
        """Appends a control record; returns whether it is surely durable.

        If it is, waits up to ``APPLY_TIMEOUT_S`` until it is applied here.
        """
        try:
            offset = await self.appender.append(record)
        except (exception.LogUnavailable, exception.LinkLost):
            return False
        await self.tail.wait_until(
            lambda: self.tail.state.offset >= offset,
            timeout_s=APPLY_TIMEOUT_S,
        )
        return True

    def count_links(self):
        """Returns how many links to workers the owned racks have."""
        owners = self.rack_claimer.owners.values()
        return sum(len(owner.links) for owner in owners)

    def own_digests(self):
        """Returns the load digests of the racks that this member owns."""
        return [owner.digest() for owner in self.rack_claimer.owners.values()]

    def headroom_of(self, kind):
        """Returns the slots that a kind leaves free on each worker."""
        return 0 if kind.lane.value == "urgent" else self.headroom_slots()

    def candidate_racks(self, request):
        """Yields the racks that could run a request, assigned rack first."""
        return self.routing.candidates(
            request.request_id,
            request.submit.origin,
            request.kind,
            self.headroom_of(request.kind),
        )

    def racks_that_fit(self, kind):
        """Returns all racks that could run a request of a kind."""
        return [
            rack
            for rack in self.hosts.racks
            if self.routing.could_fit(rack, kind, 0)
        ]

    def rack_with_capacity(self, own_rack, kind, wait_ms):
        """Returns another rack with free capacity for a kind, or None.

        Args:
            own_rack: Name of the rack that has none.
            kind: Kind of the request.
            wait_ms: Expected wait on that rack in milliseconds.
        """
        configuration = self.tail.state.configuration
        return self.routing.find_redirect_rack(
            own_rack,
            kind,
            wait_ms=wait_ms,
            price_ms=configuration.cross_region_price_ms,
            headroom=self.headroom_of(kind),
        )

    def largest_worker_text(self):
        """Returns the remedy for requests too large for every worker."""
        hosts = [h for r in self.hosts.racks.values() for h in r.hosts]
        largest = max(hosts, key=lambda host: (host.cores, host.memory_mb))
        return (
            f"The largest worker has {largest.cores:g} cores, "
            f"{largest.memory_mb} MB and {largest.accelerators} "
            f"accelerators, less the headroom; ask for less."
        )

    async def reaches_any_worker(self, rack):
        """Whether a connection to any worker of a rack can be opened."""
        probes = [
            self.can_connect(self.resolve(host.address))
            for host in self.hosts.hosts_in_rack(rack)
        ]
        return any(await asyncio.gather(*probes))

    async def can_connect(self, address):
        """Whether a connection to an address opens in ``PROBE_TIMEOUT_S``."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def confirm_owner(self, owner):
        """Whether a new read of the control log shows no later claim."""
        reached = await self.tail.catch_up(timeout_s=CONFIRM_TIMEOUT_S)
        current = self.tail.state.owners.get(owner.name)
        return (
            reached
            and not owner.retired
            and current is not None
            and current.term == owner.term
        )

    def on_superseded(self, owner):
        """Retires a rack's owner after a target has seen a newer fence."""
        self.rack_claimer.retire_owner(owner)

    # Recorded requests

    def is_open(self, request_id):
        """Whether a recorded request has no outcome yet."""
        entry = self.tail.state.requests.get(request_id)
        return entry is not None and control_state.is_open(entry)

    def log_is_usable(self):
        """Whether the control log accepts appends and answers reads."""
        return self.tail.reachable and not self.appender.is_refusing()


def set_reply(future, reply):
    """Sets a reply as the result of a future, unless it has one already."""
    if not future.done():
        future.set_result(reply)
