"""Owner of one rack: admission, queue, starts and answers of requests."""

import asyncio
import collections
import functools
import time

from cicadafold_schema import messages
import msgspec

from cicadafold import clock
from cicadafold.controllog import replay
from cicadafold.membership import messages as gossip
from cicadafold.ownership import admission
from cicadafold.ownership import completion
from cicadafold.ownership import rack_requests
from cicadafold.ownership import recovered_tasks
from cicadafold.ownership import starting
from cicadafold.ownership import target_link
from cicadafold.ownership import task_ids
from cicadafold.peerlink import frames
from cicadafold.placement import request_queue
from cicadafold.platform import messages as platform
from cicadafold.telemetry import logs

__all__ = ["RackOwner"]

RETAIN_ANSWERS_S = 5.0
MAINTENANCE_PERIOD_S = 0.25
RETIRE_GRACE_S = 0.5
DIGEST_REPEAT_MS = 5000
US_PER_S = 1_000_000

LOG = logs.get_logger("rack")

Status = frames.ReplyStatus
State = rack_requests.RequestState


class RackOwner:
    """Runs requests on the workers of one rack in one term.

    Args:
        name: Name of the rack.
        term: Term, raised as the fence at each worker.
        hosts: The platform's list of the rack's workers.
        node: ``Node``, which holds the components of this process.

    Attributes:
        requests: ``RackRequest`` by identifier, kept until
            ``RETAIN_ANSWERS_S`` after its answer.
        redirected: Names of the racks that requests were redirected to, by
            request identifier.
        unresolved: Held requests that an earlier dispatch may have started, by
            identifier, until the workers' inventories show it.
        links: ``TargetLink`` of each worker, by name of the worker.
        recovered: Tasks found on workers before their requests were dispatched
            here.
        mean_run_ms: Mean run time in milliseconds by lane.
        kind_run_ms: Mean run time in milliseconds by name of the kind.
        held_cores: Cores that patient tasks use, by team.
        expiries: Pairs of monotonic time in milliseconds and answered request
            to remove then, in order of time.
        digest_serial: Serial number of the last digest that changed or was
            repeated.
    """

    def __init__(self, *, name, term, hosts, node):
        self.name = name
        self.term = term
        self.node = node
        self.requests = {}
        self.redirected = {}
        self.unresolved = {}
        self.queue = request_queue.RequestQueue()
        self.links = {}
        self.link_tasks = {}
        self.recovered = recovered_tasks.RecoveredTasks(owner=self)
        self.retired = False
        self.started_ms = clock.monotonic_ms()
        self.mean_run_ms = collections.defaultdict(float)
        self.kind_run_ms = collections.defaultdict(float)
        self.held_cores = collections.Counter()
        self.expiries = collections.deque()
        self.digest_serial = 0
        self.last_digest = None
        self.digest_ms = 0.0
        self.update_hosts(hosts)

    # Workers.

    def update_hosts(self, hosts):
        """Applies the platform's ``HostEntry`` list of the rack's workers.

        A new worker gets a link. No tasks are started on a worker that is
        leaving, nor on one that the control log does not list for the rack.
        """
        recorded = self.node.recorded_hosts(self.name)
        for host in hosts:
            link = self.links.get(host.name)
            if link is None:
                link = self.add_link(host)
            leaving = host.state is platform.HostState.LEAVING
            if leaving and not link.leaving:
                LOG.info(
                    "Worker %s is leaving; no new tasks are started on it.",
                    host.name,
                )
            link.leaving = leaving
            if host.name in recorded and not link.recorded:
                link.recorded = True
                self.node.call_soon(
                    functools.partial(starting.dispatch_queued, self)
                )

    def add_link(self, host):
        link = target_link.TargetLink(
            host=host,
            client=self.node.target_client(host.address),
            term=self.term,
            owner=self,
        )
        self.links[host.name] = link
        self.link_tasks[host.name] = asyncio.create_task(link.run())
        return link

    async def record_hosts(self):
        """Records the workers in the control log if any is missing there."""
        if all(link.recorded for link in self.links.values()):
            return
        hosts = [link.host for link in self.links.values()]
        await self.node.record_hosts(self, hosts)

    def on_link_ready(self, link):
        """Resolves unresolved requests and starts queued ones.

        Called when a worker has been fenced and inventoried.
        """
        self.resolve_requests()
        starting.dispatch_queued(self)

    def on_inventory(self, link, report):
        """Records a task of an inventory that the link did not track."""
        self.recovered.add(link, report)

    def on_running(self, task):
        """Answers the senders of a service that its target reports running."""
        request = self.requests.get(task_ids.request_id_of(task.task_id))
        if request is None or request.kind.shape is not messages.Shape.service:
            return
        if request.responders:
            if request.timer is not None:
                request.timer.cancel()
            request.respond(
                Status.RUNNING, started=True, worker=task.link.name
            )

    def on_task_end(self, task, end):
        completion.on_task_end(self, task, end)

    def on_fenced(self, link):
        """Has this owner retired, as a newer one has fenced a worker."""
        if not self.retired:
            LOG.warning(
                "A newer owner has fenced a worker of rack %s; "
                "this owner retires.",
                self.name,
            )
            self.node.on_superseded(self)

    # Admission.

    def submit(self, frame, send):
        """Handles a dispatch; the reply is sent once the request has ended.

        A dispatch of a known request only adds its sender. Other requests are
        admitted, unless an earlier dispatch may have started them: these are
        resolved by the inventories first.
        """
        start_s = time.perf_counter()
        responder = (frame.serial, send)
        if self.retired:
            send(frames.Reply(serial=frame.serial, status=Status.MOVED))
            return
        known = self.requests.get(frame.request_id)
        if known is not None and not known.is_retryable():
            self.attach(known, responder)
            return
        rack = self.redirected.get(frame.request_id)
        if rack is not None:
            redirect(responder, rack)
            return
        kind = self.node.kind(frame.kind)
        if kind is None:
            refuse(
                responder,
                messages.ErrorCode.unknown_kind,
                "The configuration of this process lacks the kind.",
            )
            return
        request = self.new_request(frame, kind, responder)
        if known is not None:
            self.retry(request, known)
        elif not frame.first or self.recovered.has_tasks(request.request_id):
            self.unresolved[request.request_id] = request
            self.resolve_requests()
        else:
            admission.admit(self, request, hops=frame.hops)
            own_us = (time.perf_counter() - start_s) * US_PER_S
            request.decision_us = int(frame.spent_us + own_us)

    def new_request(self, frame, kind, responder):
        """Returns the request of a dispatch, in state ``HELD``."""
        request = rack_requests.RackRequest(
            request_id=frame.request_id,
            kind=kind,
            team=frame.team,
            payload=frame.payload,
            deadline_ms=clock.monotonic_ms() + frame.budget_ms,
        )
        request.attempt = frame.attempt
        request.earliest_start_ms -= frame.age_ms
        request.responders.append(responder)
        self.requests[request.request_id] = request
        admission.set_deadline(self, request)
        return request

    def retry(self, request, earlier):
        """Runs an idempotent request again whose last outcome was unknown."""
        request.may_have_run = earlier.may_have_run
        request.failed_workers = earlier.failed_workers
        if request.may_have_run:
            asyncio.create_task(
                completion.requeue_when_confirmed(self, request)
            )
            return
        self.unresolved[request.request_id] = request
        self.resolve_requests()

    def locate(self, frame, send):
        """Answers whether this rack knows a request."""
        rack = self.redirected.get(frame.request_id)
        known = frame.request_id in self.requests
        if self.retired:
            status = Status.MOVED
        elif rack is not None:
            status = Status.REDIRECT
        elif known or self.recovered.has_tasks(frame.request_id):
            status = Status.KNOWN
        elif not self.all_inventoried():
            status = Status.MOVED
        else:
            earliest_start_ms = clock.monotonic_ms() - frame.age_ms
            known = frame.idempotent or self.no_restart_since(
                earliest_start_ms
            )
            status = Status.ABSENT if known else Status.UNKNOWN
        send(frames.Reply(serial=frame.serial, status=status, rack=rack or ""))

    def attach(self, request, responder):
        """Adds a sender to a known request, or answers it at once.

        For a service with tasks the targets are asked whether these still run.
        """
        request.responders.append(responder)
        if request.reply is not None:
            status, fields = request.reply
            request.respond(status, **fields)
        elif request.kind.shape is messages.Shape.service and request.tasks:
            for task in request.tasks.values():
                task.unconfirmed = True
                task.link.renewal_wanted.set()

    def all_inventoried(self):
        """Whether the inventory of every worker was read in this term."""
        return all(link.inventoried for link in self.links.values())

    def resolve_requests(self):
        """Resolves the unresolved requests by the workers' inventories.

        A task that was found may resolve its request at once. That a request
        has no tasks is known only once every worker was inventoried.
        """
        if not self.all_inventoried():
            for request in list(self.unresolved.values()):
                if request.reply is None and self.recovered.assign_to(request):
                    del self.unresolved[request.request_id]
            return
        unresolved, self.unresolved = self.unresolved, {}
        for request in unresolved.values():
            if request.state is State.HELD and request.reply is None:
                self.resolve_request(request)

    def resolve_request(self, request):
        """Resolves one request after all workers were inventoried.

        Its tasks are assigned to it if there are any. Otherwise it is admitted
        if it is idempotent or has certainly not run, and answered as unknown
        if a worker was restarted since it may first have been started.
        """
        if self.recovered.assign_to(request):
            return
        if request.kind.idempotent or self.no_restart_since(
            request.earliest_start_ms
        ):
            admission.admit(self, request, hops=1)
            return
        request.finish(
            Status.UNKNOWN,
            started=True,
            text="A worker that may have run the request was restarted.",
        )
        self.schedule_expiry(request)

    def no_restart_since(self, time_ms):
        """Whether no worker was restarted after a monotonic time."""
        return all(link.up_since_ms <= time_ms for link in self.links.values())

    def cancel(self, frame, send):
        """Cancels a request; the reply tells whether it may have started.

        If it has tasks, their stop is requested and the reply is sent once
        they have ended.
        """
        request = self.requests.get(frame.request_id)
        responder = (frame.serial, send)
        if request is None:
            rack = self.redirected.get(frame.request_id)
            if rack is not None:
                redirect(responder, rack)
                return
            refuse(
                responder,
                messages.ErrorCode.unknown_request,
                "The owner of the rack does not know the request.",
            )
            return
        request.responders.append(responder)
        if request.reply is not None:
            status, fields = request.reply
            request.respond(status, **fields)
            return
        request.cancelled = True
        if request.state is State.QUEUED:
            self.queue.remove(request)
        if request.tasks:
            for task in request.tasks.values():
                task.link.request_stop(task)
            return
        request.finish(Status.CANCELLED, started=request.may_have_run)
        self.schedule_expiry(request)

    # Maintenance.

    async def run(self):
        """Records new workers and starts queued requests, until retired."""
        while not self.retired:
            await self.record_hosts()
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            self.remove_expired()
            self.resolve_requests()
            starting.dispatch_queued(self)

    def schedule_expiry(self, request):
        """Keeps an answered request for senders that ask again."""
        due_ms = clock.monotonic_ms() + RETAIN_ANSWERS_S * clock.MS_PER_S
        self.expiries.append((due_ms, request))

    def remove_expired(self):
        """Removes the answered requests whose time is over.

        A recorded request that has no outcome on the control log yet is kept
        for another ``RETAIN_ANSWERS_S``. Recovered tasks of closed requests
        are discarded once the term is older than the deduplication window.
        """
        now_ms = clock.monotonic_ms()
        if now_ms - self.started_ms > replay.DEDUPLICATION_WINDOW_MS:
            self.recovered.discard_closed()
        while self.expiries and self.expiries[0][0] <= now_ms:
            _, request = self.expiries.popleft()
            if request.attempt and self.node.is_open(request.request_id):
                self.schedule_expiry(request)
                continue
            self.remove(request)

    def remove(self, request):
        """Removes a request and acknowledges the ends of its tasks."""
        self.redirected.pop(request.request_id, None)
        if self.requests.get(request.request_id) is not request:
            return
        del self.requests[request.request_id]
        for task, _ in request.ends.values():
            if task.link is not None:
                task.link.to_acknowledge.append(task.task_id)

    def digest(self):
        """Returns the load digest of the rack, by which others route requests.

        The serial number rises if a figure changed or if the last digest is
        older than ``DIGEST_REPEAT_MS``.
        """
        links = [link for link in self.links.values() if link.is_available()]
        headroom = self.node.headroom_slots()
        free_slots = sum(max(0, link.capacity.free_slots) for link in links)
        patient_slots = sum(
            max(0, link.capacity.free_slots - headroom) for link in links
        )
        waiting = len(self.queue)
        mean_ms = self.mean_run_ms[messages.Lane.patient]
        slots = sum(link.capacity.slots for link in links) or 1
        digest = gossip.Digest(
            rack=self.name,
            term=self.term,
            serial=self.digest_serial,
            free_slots=max(0, free_slots - self.queue.urgent_count),
            patient_slots=max(0, patient_slots - waiting),
            queued=waiting,
            wait_ms=int(waiting * mean_ms / slots),
        )
        now_ms = clock.monotonic_ms()
        stale = now_ms - self.digest_ms > DIGEST_REPEAT_MS
        if digest != self.last_digest or stale:
            self.digest_ms = now_ms
            self.digest_serial += 1
            digest.serial = self.digest_serial
            self.last_digest = msgspec.structs.replace(digest)
        return digest

    def retire(self):
        """Stops starting tasks; running ones continue under the next owner.

        Queued and held requests are answered ``MOVED`` at once, the others if
        they have not ended within ``RETIRE_GRACE_S``.
        """
        if self.retired:
            return
        self.retired = True
        for request in list(self.requests.values()):
            if request.state in (State.QUEUED, State.HELD):
                held = request.state is State.HELD
                started = held or request.may_have_run
                request.finish(Status.MOVED, started=started)
        for task in self.link_tasks.values():
            task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRE_GRACE_S, self.answer_waiting_senders)

    def answer_waiting_senders(self):
        for request in self.requests.values():
            if request.reply is None:
                request.finish(Status.MOVED, started=True)


def redirect(responder, rack):
    serial, send = responder
    send(frames.Reply(serial=serial, status=Status.REDIRECT, rack=rack))


def refuse(responder, code, text):
    """Refuses the call of one sender with a code and a reason."""
    serial, send = responder
    send(
        frames.Reply(
            serial=serial,
            status=Status.REFUSED,
            code=code.value,
            text=text,
        )
    )
