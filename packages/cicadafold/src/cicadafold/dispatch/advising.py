"""Distributes advice calls over the processes of the cell.

The advice service answers one call at a time for each calling host. Some of
the peers make short calls only, so that the short calls of urgent queues
never wait for the long calls of patient queues.
"""

import collections

import msgspec

from cicadafold import clock
from cicadafold import exception
from cicadafold.telemetry import containment
from cicadafold.telemetry import logs

__all__ = ["AdviceDispatcher", "PeerHandle", "AdviceRequest"]

# Longest expected duration of a call that counts as short.
MAX_SHORT_CALL_MS = 80.0
# One peer in this many makes short calls only.
PEERS_PER_SHORT_ONLY_PEER = 4
# Calls that such a peer makes at a time: one waits at the service while the
# other is answered.
SHORT_CALLS_PER_PEER = 2
# A call times out this long after its expected duration.
ANSWER_SLACK_MS = 900.0
# A ticket is not used in the last part of its validity, as it has to reach
# its worker before it expires.
TICKET_MARGIN_MS = 120.0
# Pause before a peer whose call failed is used again.
RETRY_PAUSE_MS = 100.0

LOG = logs.get_logger("advice")
Part = containment.Part


class AdviceRequest(msgspec.Struct):
    """A queued advice call for a step.

    Attributes:
        rank: Rank of the step; requests with lower ranks are sent first.
        step: Step that needs tickets.
        workers: Names of the workers to ask about.
        cost_ms: Expected duration of the call in milliseconds.
    """

    rank: tuple
    step: object
    workers: list
    cost_ms: float

    @property
    def short(self):
        """Whether the call is expected to be short."""
        return self.cost_ms <= MAX_SHORT_CALL_MS


class PeerHandle:
    """What the scheduler uses to call one process of the cell.

    Args:
        member: Name of the process.
        address: Address for links to the process, IP number and port; empty
            for the own process.
        advise: Coroutine function that makes an advice call from the process;
            it has the arguments of ``AdviceClient.advise``.
        election_priority: How well the host of the process can carry the
            scheduler; higher is better.
        store_age_ms: Coroutine function that returns how many milliseconds
            ago the store last answered the process, or None for the own
            process.
        take_over: Coroutine function that asks the process to claim the next
            term, or None for the own process.

    Attributes:
        busy: Number of advice calls under way.
        paused_until_ms: Monotonic time in milliseconds before which no
            advice call is made.
    """

    def __init__(
        self,
        *,
        member,
        advise,
        election_priority,
        address="",
        store_age_ms=None,
        take_over=None,
    ):
        self.member = member
        self.address = address
        self.advise = advise
        self.election_priority = election_priority
        self.store_age_ms = store_age_ms
        self.take_over = take_over
        self.busy = 0
        self.paused_until_ms = 0.0


class AdviceDispatcher:
    """Requests placement advice through free peers, in order of rank.

    Args:
        list_peers: Function that returns the handles of this process and
            its peers.
        spawn: Function that runs a coroutine as a task.
        wake: Function called after each call, so that its tickets are used.
        record_permitted_share: Function called with a step, the number of
            workers asked about and the number of workers granted.
        metrics: Metrics in which calls are counted.
        containment: ``Containment`` of the term.

    Attributes:
        queued: Requests that are not sent yet, lowest rank first.
    """

    def __init__(
        self,
        *,
        list_peers,
        spawn,
        wake,
        record_permitted_share,
        metrics,
        containment,
    ):
        self.containment = containment
        self.list_peers = list_peers
        self.spawn = spawn
        self.wake = wake
        self.record_permitted_share = record_permitted_share
        self.metrics = metrics
        self.queued = []

    def replace_queue(self, queued):
        """Replaces the queued requests and sends as many as possible."""
        self.queued = sorted(queued, key=lambda request: request.rank)
        self.dispatch_queued()

    def dispatch_queued(self):
        """Sends queued requests through the peers that are free.

        The first quarter of the peers, at least one if there are several,
        makes short calls only.
        """
        if not self.queued:
            return
        now_ms = clock.monotonic_ms()
        peers = [x for x in self.list_peers() if now_ms >= x.paused_until_ms]
        short_only = (
            len(peers) // PEERS_PER_SHORT_ONLY_PEER if len(peers) > 1 else 0
        )
        short_only = max(short_only, int(len(peers) > 1))
        still_queued = collections.deque()
        for request in self.queued:
            peer = self.free_peer(request, peers, short_only)
            if peer is None:
                still_queued.append(request)
                continue
            peer.busy += 1
            request.step.advice_pending = True
            self.spawn(self.send_request(peer, request))
        self.queued = list(still_queued)

    def free_peer(self, request, peers, short_only):
        """Returns a peer that may make a call now, or None.

        Args:
            request: Request.
            peers: Handles of the peers that are not paused.
            short_only: Number of the first peers that make short calls only.
        """
        if request.short:
            for peer in peers[:short_only]:
                if peer.busy < SHORT_CALLS_PER_PEER:
                    return peer
        for peer in peers[short_only:]:
            if peer.busy == 0:
                return peer
        return None

    async def send_request(self, peer, request):
        """Makes one advice call and records the granted tickets.

        If the call fails, its peer is paused; the next placement pass
        requests the advice again.
        """
        step = request.step
        step.advice_requested_ms = clock.monotonic_ms()
        valid_ms = step.job.rule.advice.valid_ms
        try:
            granted = await peer.advise(
                step.job.spec.id,
                step.occurrence,
                step.number,
                request.workers,
                timeout_s=(request.cost_ms + ANSWER_SLACK_MS) / 1000,
            )
            self.record_tickets(step, request, granted, valid_ms)
        except (
            exception.TargetUnreachable,
            exception.LinkLost,
            exception.LinkNotOpen,
        ) as error:
            LOG.warning(
                "Advice call failed, pausing its peer for %g ms: %s",
                RETRY_PAUSE_MS,
                error,
                fields={"request_id": step.job.spec.id, "line": peer.member},
            )
            self.metrics.count("advice_failures")
            peer.paused_until_ms = clock.monotonic_ms() + RETRY_PAUSE_MS
        except Exception as error:
            job = step.job.spec.id
            self.containment.report(
                Part.ADVICE, job, error, request_id=job, line=peer.member
            )
            peer.paused_until_ms = clock.monotonic_ms() + RETRY_PAUSE_MS
        finally:
            peer.busy -= 1
            step.advice_pending = False
        self.dispatch_queued()
        self.wake()

    def record_tickets(self, step, request, granted, valid_ms):
        """Records which workers a step is permitted to use, and its tickets.

        Args:
            step: Step.
            request: Request that was answered.
            granted: Tickets by name of the permitted workers.
            valid_ms: Validity of the tickets in milliseconds.
        """
        self.metrics.count("advice_calls")
        until_ms = clock.monotonic_ms() + valid_ms - TICKET_MARGIN_MS
        if step.allowed_by_worker is None:
            step.allowed_by_worker = {}
            self.record_permitted_share(
                step, len(request.workers), len(granted)
            )
        for worker in request.workers:
            step.allowed_by_worker[worker] = worker in granted
        for worker, ticket in granted.items():
            step.tickets[worker] = (ticket, until_ms)
        LOG.info(
            "Received placement advice for a step.",
            fields={
                "request_id": step.job.spec.id,
                "step": step.number,
                "asked": len(request.workers),
                "granted": len(granted),
                "took_ms": round(
                    clock.monotonic_ms() - step.advice_requested_ms
                ),
            },
        )
