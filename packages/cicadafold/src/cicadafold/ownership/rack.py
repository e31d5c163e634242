"""The owner's side of one rack: admission, queue, starts and answers."""

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
from cicadafold.ownership import concluding
from cicadafold.ownership import recovery
from cicadafold.ownership import starting
from cicadafold.ownership import target_link
from cicadafold.ownership import task_names
from cicadafold.ownership import work as rack_work
from cicadafold.peerlink import frames
from cicadafold.placement import lanes
from cicadafold.platform import messages as platform
from cicadafold.telemetry import logs

__all__ = ["RackOwner"]

RETAIN_ANSWERS_S = 5.0
MAINTENANCE_PERIOD_S = 0.25
RETIRE_GRACE_S = 0.5
DIGEST_REPEAT_MS = 5000
MICROSECONDS = 1_000_000

LOG = logs.get_logger("rack")

Status = frames.ReplyStatus
State = rack_work.WorkState


class RackOwner:
    """Gives work to the workers of one rack under one term.

    Attributes:
        node: The services of this process that the owner needs.
        works: Requests by id, kept for a while after their end.
        redirected: Racks that requests were sent on to.
        doubtful: Requests that an earlier dispatch may have started.
    """

    def __init__(self, *, name, term, hosts, node):
        self.name = name
        self.term = term
        self.node = node
        self.works = {}
        self.redirected = {}
        self.doubtful = {}
        self.lanes = lanes.Lanes()
        self.links = {}
        self.link_tasks = {}
        self.found = recovery.FoundTasks(rack=self)
        self.retired = False
        self.began_ms = clock.monotonic_ms()
        self.mean_run_ms = collections.defaultdict(float)
        self.kind_run_ms = collections.defaultdict(float)
        self.held_cores = collections.Counter()
        self.expiring = collections.deque()
        self.digest_serial = 0
        self.last_digest = None
        self.digest_ms = 0.0
        self.update_hosts(hosts)

    # Workers.

    def update_hosts(self, hosts):
        """Follows the platform's list of the rack's workers."""
        recorded = self.node.recorded_hosts(self.name)
        for host in hosts:
            link = self.links.get(host.name)
            if link is None:
                link = self.add_link(host)
            leaving = host.state is platform.HostState.LEAVING
            if leaving and not link.leaving:
                LOG.info("%s is leaving. It gets no new work.", host.name)
            link.leaving = leaving
            if host.name in recorded and not link.recorded:
                link.recorded = True
                self.node.call_soon(functools.partial(starting.pump, self))

    def add_link(self, host):
        """Starts the task that looks after a worker."""
        link = target_link.TargetLink(
            host=host,
            client=self.node.target_client(host.address),
            term=self.term,
            rack=self,
        )
        self.links[host.name] = link
        self.link_tasks[host.name] = asyncio.create_task(link.run())
        return link

    async def record_hosts(self):
        """Records new workers before they are given work."""
        if all(link.recorded for link in self.links.values()):
            return
        hosts = [link.host for link in self.links.values()]
        await self.node.record_hosts(self, hosts)

    def on_link_ready(self, link):
        """Looks at held and waiting work after a worker is ready."""
        self.release_doubtful()
        starting.pump(self)

    def on_inventory(self, link, report):
        """Takes a task that a worker was found to hold."""
        self.found.add(link, report)

    def on_running(self, task):
        """Answers for a service once its target reports it running."""
        work = self.works.get(task_names.request_of(task.task_id))
        if work is None or work.kind.shape is not messages.Shape.service:
            return
        if work.responders:
            if work.timer is not None:
                work.timer.cancel()
            work.respond(Status.RUNNING, started=True, worker=task.link.name)

    def on_task_end(self, task, end):
        """Takes the end of a task."""
        concluding.on_task_end(self, task, end)

    def on_fenced(self, link):
        """Retires: a newer owner has raised the fence."""
        if not self.retired:
            LOG.warning("%s was taken over by a newer owner.", self.name)
            self.node.on_superseded(self)

    # Admission.

    def submit(self, frame, send):
        """Takes a dispatch; the reply is sent once the work has ended."""
        began = time.perf_counter()
        responder = (frame.serial, send)
        if self.retired:
            send(frames.Reply(serial=frame.serial, status=Status.MOVED))
            return
        known = self.works.get(frame.request_id)
        if known is not None and not known.may_be_tried_again():
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
                "The kind is not in the configuration here.",
            )
            return
        work = self.new_work(frame, kind, responder)
        if known is not None:
            self.try_again(work, known)
        elif not frame.first or self.found.knows(work.request_id):
            self.doubtful[work.request_id] = work
            self.release_doubtful()
        else:
            admission.admit(self, work, hops=frame.hops)
            own_us = (time.perf_counter() - began) * MICROSECONDS
            work.decision_us = int(frame.spent_us + own_us)

    def new_work(self, frame, kind, responder):
        """Returns the work of a dispatch, held until it is settled."""
        work = rack_work.Work(
            request_id=frame.request_id,
            kind=kind,
            team=frame.team,
            payload=frame.payload,
            deadline_ms=clock.monotonic_ms() + frame.budget_ms,
        )
        work.attempt = frame.attempt
        work.born_ms -= frame.age_ms
        work.responders.append(responder)
        self.works[work.request_id] = work
        admission.set_deadline(self, work)
        return work

    def try_again(self, work, earlier):
        """Takes up idempotent work whose last outcome was unknown.

        Args:
            work: The work of the new dispatch.
            earlier: The work that was answered as unknown.
        """
        work.may_have_run = earlier.may_have_run
        work.avoided = earlier.avoided
        if work.may_have_run:
            asyncio.create_task(concluding.repeat(self, work))
            return
        self.doubtful[work.request_id] = work
        self.release_doubtful()

    def locate(self, frame, send):
        """Tells whether this rack knows a request."""
        rack = self.redirected.get(frame.request_id)
        known = frame.request_id in self.works
        if self.retired:
            status = Status.MOVED
        elif rack is not None:
            status = Status.REDIRECT
        elif known or self.found.knows(frame.request_id):
            status = Status.KNOWN
        elif not self.is_sure():
            status = Status.MOVED
        else:
            born_ms = clock.monotonic_ms() - frame.age_ms
            known = frame.idempotent or self.knows_all_since(born_ms)
            status = Status.ABSENT if known else Status.UNKNOWN
        send(frames.Reply(serial=frame.serial, status=status, rack=rack or ""))

    def attach(self, work, responder):
        """Adds a sender to a request that is already known."""
        work.responders.append(responder)
        if work.reply is not None:
            status, fields = work.reply
            work.respond(status, **fields)
        elif work.kind.shape is messages.Shape.service and work.tasks:
            for task in work.tasks.values():
                task.ambiguous = True
                task.link.kicked.set()

    def is_sure(self):
        """Whether every worker was inventoried under this term."""
        return all(link.inventoried for link in self.links.values())

    def release_doubtful(self):
        """Settles doubtful work by what the workers say.

        A task that was found settles it at once; an absence only once
        every worker was inventoried.
        """
        if not self.is_sure():
            for work in list(self.doubtful.values()):
                if work.reply is None and self.found.claim(work):
                    del self.doubtful[work.request_id]
            return
        doubtful, self.doubtful = self.doubtful, {}
        for work in doubtful.values():
            if work.state is State.HELD and work.reply is None:
                self.settle_doubt(work)

    def settle_doubt(self, work):
        """Settles work that an earlier dispatch may have started."""
        if self.found.claim(work):
            return
        if work.kind.idempotent or self.knows_all_since(work.born_ms):
            admission.admit(self, work, hops=1)
            return
        work.finish(
            Status.UNKNOWN,
            started=True,
            text="A worker that may have run the request was restarted.",
        )
        self.expire_later(work)

    def knows_all_since(self, born_ms):
        """Whether no worker has been restarted since a time."""
        return all(link.up_since_ms <= born_ms for link in self.links.values())

    def cancel(self, frame, send):
        """Cancels a request; the reply tells whether it had started."""
        work = self.works.get(frame.request_id)
        responder = (frame.serial, send)
        if work is None:
            rack = self.redirected.get(frame.request_id)
            if rack is not None:
                redirect(responder, rack)
                return
            refuse(
                responder,
                messages.ErrorCode.unknown_request,
                "The request is not held here.",
            )
            return
        work.responders.append(responder)
        if work.reply is not None:
            status, fields = work.reply
            work.respond(status, **fields)
            return
        work.cancelled = True
        if work.state is State.QUEUED:
            self.lanes.remove(work)
        if work.tasks:
            for task in work.tasks.values():
                task.link.request_stop(task)
            return
        work.finish(Status.CANCELLED, started=work.may_have_run)
        self.expire_later(work)

    # Upkeep.

    async def run(self):
        """Forgets old answers until the owner is retired."""
        while not self.retired:
            await self.record_hosts()
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            self.forget_expired()
            self.release_doubtful()
            starting.pump(self)

    def expire_later(self, work):
        """Keeps an answer for a while, for senders that ask again."""
        due_ms = clock.monotonic_ms() + RETAIN_ANSWERS_S * clock.MILLISECONDS
        self.expiring.append((due_ms, work))

    def forget_expired(self):
        """Forgets answers that were kept for long enough."""
        now_ms = clock.monotonic_ms()
        if now_ms - self.began_ms > replay.DEDUPLICATION_WINDOW_MS:
            self.found.forget_closed()
        while self.expiring and self.expiring[0][0] <= now_ms:
            _, work = self.expiring.popleft()
            if work.attempt and self.node.is_open(work.request_id):
                self.expire_later(work)
                continue
            self.forget(work)

    def forget(self, work):
        """Forgets an answer and frees the results on the targets."""
        self.redirected.pop(work.request_id, None)
        if self.works.get(work.request_id) is not work:
            return
        del self.works[work.request_id]
        for task, _ in work.ends.values():
            if task.link is not None:
                task.link.acknowledged.append(task.task_id)

    def digest(self):
        """Returns the figures that other members route by."""
        links = [link for link in self.links.values() if link.available()]
        headroom = self.node.headroom_slots()
        free = sum(max(0, link.capacity.free_slots) for link in links)
        spare = sum(
            max(0, link.capacity.free_slots - headroom) for link in links
        )
        waiting = len(self.lanes)
        mean_ms = self.mean_run_ms[messages.Lane.patient]
        slots = sum(link.capacity.slots for link in links) or 1
        found = gossip.Digest(
            rack=self.name,
            term=self.term,
            serial=self.digest_serial,
            free_slots=max(0, free - self.lanes.urgent_count),
            patient_slots=max(0, spare - waiting),
            queued=waiting,
            wait_ms=int(waiting * mean_ms / slots),
        )
        now_ms = clock.monotonic_ms()
        stale = now_ms - self.digest_ms > DIGEST_REPEAT_MS
        if found != self.last_digest or stale:
            self.digest_ms = now_ms
            self.digest_serial += 1
            found.serial = self.digest_serial
            self.last_digest = msgspec.structs.replace(found)
        return found

    def retire(self):
        """Stops giving work; what runs goes on under the next owner."""
        if self.retired:
            return
        self.retired = True
        for work in list(self.works.values()):
            if work.state in (State.QUEUED, State.HELD):
                held = work.state is State.HELD
                started = held or work.may_have_run
                work.finish(Status.MOVED, started=started)
        for task in self.link_tasks.values():
            task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRE_GRACE_S, self.release_senders)

    def release_senders(self):
        """Sends those that still wait to the next owner."""
        for work in self.works.values():
            if work.reply is None:
                work.finish(Status.MOVED, started=True)


def redirect(responder, rack):
    """Answers one sender with another rack."""
    serial, send = responder
    send(frames.Reply(serial=serial, status=Status.REDIRECT, rack=rack))


def refuse(responder, code, text):
    """Refuses one sender's call."""
    serial, send = responder
    send(
        frames.Reply(
            serial=serial,
            status=Status.REFUSED,
            code=code.value,
            text=text,
        )
    )
