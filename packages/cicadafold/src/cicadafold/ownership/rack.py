"""The owner's side of one rack: admission, queue, starts and answers."""

import asyncio
import collections
import time

from cicadafold_schema import messages
import msgspec

from cicadafold import clock
from cicadafold.membership import messages as gossip
from cicadafold.ownership import recovery
from cicadafold.ownership import target_link
from cicadafold.ownership import work as rack_work
from cicadafold.peerlink import frames
from cicadafold.placement import capacity
from cicadafold.placement import lanes
from cicadafold.placement import policies
from cicadafold.platform import messages as platform
from cicadafold.telemetry import logs

__all__ = ["RackOwner"]

RETAIN_ANSWERS_S = 5.0
MAINTENANCE_PERIOD_S = 0.25
RETIRE_GRACE_S = 0.5
MAX_FAILURES = 3
MEAN_WEIGHT = 0.05
MIN_RETRY_AFTER_MS = 50
CONFIRM_RETRY_S = 0.3
DIGEST_REPEAT_MS = 5000
MICROSECONDS = 1_000_000

LOG = logs.get_logger("rack")

Status = frames.ReplyStatus
State = rack_work.WorkState
Reason = rack_work.EndReason


class RackOwner:
    """Gives work to the workers of one rack under one term.

    Attributes:
        node: The services of this process that the owner needs.
        works: Requests by id, kept for a while after their end.
        redirected: Racks that requests were sent on to.
    """

    def __init__(self, *, name, term, hosts, node):
        self.name = name
        self.term = term
        self.node = node
        self.works = {}
        self.redirected = {}
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
                self.node.wake(self.pump)

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
        self.release_held()
        self.pump()

    def on_inventory(self, link, report):
        """Takes a task that a worker was found to hold."""
        self.found.add(link, report)

    def on_running(self, task):
        """Answers for a service once its target reports it running."""
        work = self.works.get(recovery.request_of(task.task_id))
        if work is None or work.kind.shape is not messages.Shape.service:
            return
        if work.responders:
            if work.timer is not None:
                work.timer.cancel()
            work.respond(Status.RUNNING, started=True, worker=task.link.name)

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
        work = self.works.get(frame.request_id)
        if work is not None:
            self.attach(work, responder)
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
        self.set_deadline(work)
        if self.found.claim(work):
            return
        if not frame.first or self.found.knows(work.request_id):
            self.node.events.add(
                work.request_id, f"Looked for on the workers of {self.name}."
            )
            self.settle_doubt(work)
            return
        self.admit(work, hops=frame.hops)
        own_us = (time.perf_counter() - began) * MICROSECONDS
        work.decision_us = int(frame.spent_us + own_us)

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

    def release_held(self):
        """Settles held work once every worker was inventoried."""
        if not self.is_sure():
            return
        for work in list(self.works.values()):
            if work.state is State.HELD and not work.may_have_run:
                self.settle_doubt(work)

    def settle_doubt(self, work):
        """Settles work that an earlier dispatch may have started."""
        if not self.is_sure() or self.found.claim(work):
            return
        if work.kind.idempotent or self.knows_all_since(work.born_ms):
            self.admit(work, hops=1)
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

    def admit(self, work, *, hops):
        """Starts, redirects, queues or refuses a request."""
        if self.try_start(work):
            return
        rack = self.better_rack(work, hops)
        if rack is not None:
            self.send_on(work, rack)
            return
        wait_ms = self.expected_wait_ms(work)
        if self.would_be_late(work, wait_ms):
            self.refuse_work(work, wait_ms)
            return
        work.state = State.QUEUED
        self.lanes.push(work)
        self.node.events.add(
            work.request_id,
            f"Queued at {self.name} behind {len(self.lanes) - 1} requests.",
        )

    def better_rack(self, work, hops):
        """Returns a rack that has room now, or None."""
        if hops or work.may_have_run:
            return None
        wait_ms = self.expected_wait_ms(work)
        return self.node.rack_with_room(self.name, work.kind, wait_ms)

    def send_on(self, work, rack):
        """Redirects the sender to another rack."""
        del self.works[work.request_id]
        self.redirected[work.request_id] = rack
        self.expire_later(work)
        self.node.events.add(
            work.request_id, f"{self.name} is full. Sent on to {rack}."
        )
        work.finish(Status.REDIRECT, rack=rack)

    def refuse_work(self, work, wait_ms):
        """Refuses work that would miss its deadline."""
        self.works.pop(work.request_id, None)
        status = Status.UNKNOWN if work.may_have_run else Status.REFUSED
        work.finish(
            status,
            code=messages.ErrorCode.overloaded.value,
            text=f"The wait at {self.name} is longer than the deadline.",
            retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)),
        )

    def expected_wait_ms(self, work):
        """Estimates how long work that arrives now would wait."""
        slots = sum(
            link.capacity.slots
            for link in self.links.values()
            if link.available()
        )
        lane = work.kind.lane
        if lane is messages.Lane.urgent:
            ahead = self.lanes.urgent_count
        else:
            ahead = len(self.lanes)
        if not slots:
            return 0.0
        return ahead * self.mean_run_ms[lane] / slots

    def would_be_late(self, work, wait_ms):
        """Whether work that waits would end after its deadline."""
        run_ms = self.kind_run_ms[work.kind.name]
        end_ms = clock.monotonic_ms() + wait_ms + run_ms
        return end_ms > work.deadline_ms

    def set_deadline(self, work):
        """Arms the timer that answers by the deadline."""
        delay_s = (
            work.deadline_ms - clock.monotonic_ms()
        ) / clock.MILLISECONDS
        loop = asyncio.get_running_loop()
        work.timer = loop.call_later(max(0.0, delay_s), self.on_deadline, work)

    def on_deadline(self, work):
        """Gives the final answer of work whose deadline has passed."""
        if work.reply is not None:
            return
        if work.state is State.QUEUED:
            self.lanes.remove(work)
            self.refuse_work(work, self.expected_wait_ms(work))
            return
        for task in work.tasks.values():
            self.stop_task(task)
        work.finish(
            Status.UNKNOWN,
            started=True,
            text="The deadline passed while the request was on a target.",
        )
        self.expire_later(work)

    # Starts.

    def pump(self):
        """Starts waiting work, urgent first, for as long as it fits."""
        if self.retired:
            return
        while work := self.lanes.first_urgent():
            if not self.start_queued(work):
                break
        while work := self.lanes.first_patient(self.team_may_start):
            if not self.start_queued(work):
                break

    def start_queued(self, work):
        """Starts the work at the head of a lane if it fits.

        Work that would end too late is refused before it starts, so that
        its answer is a truthful "not run" and its slot serves others.
        """
        if self.would_be_late(work, 0.0):
            self.lanes.remove(work)
            self.refuse_work(work, self.expected_wait_ms(work))
            return True
        if not self.try_start(work, queued=True):
            return False
        self.lanes.remove(work)
        if work.kind.lane is messages.Lane.patient:
            self.lanes.charge(
                work,
                cost=work.kind.cores * work.kind.tasks / work.kind.worth,
                weight=self.node.team_weight(work.team),
            )
        return True

    def team_may_start(self, team):
        """Whether a team is below its quota on this rack."""
        quota = self.node.team_quota_cores(team)
        return not quota or self.held_cores[team] < quota

    def headroom(self, kind):
        """Returns the slots on each worker that a kind leaves free."""
        if kind.lane is messages.Lane.urgent:
            return 0
        return self.node.headroom_slots()

    def try_start(self, work, *, queued=False):
        """Starts a request if all its tasks fit now."""
        if not queued and self.must_queue(work):
            return False
        size = capacity.size_of_kind(work.kind)
        chosen = self.choose_links(work, size)
        if not chosen:
            return False
        now_ms = clock.monotonic_ms()
        waited_ms = now_ms - work.arrived_ms
        work.waited_us = int(waited_ms * clock.MILLISECONDS)
        work.state = State.RUNNING
        work.ends = {}
        if work.kind.lane is messages.Lane.patient:
            self.held_cores[work.team] += size.cores * len(chosen)
        for index, link in enumerate(chosen):
            task_id = recovery.task_id(work.request_id, index, len(chosen))
            work.tasks[task_id] = link.start(
                task_id=task_id,
                size=size,
                payload=work.payload,
                lease_ms=work.kind.lease_ms,
                on_end=self.on_task_end,
            )
        self.node.events.add(
            work.request_id,
            "Started on %s by %s under term %d after %.1f ms.",
            ", ".join(link.name for link in chosen),
            work.kind.placement,
            self.term,
            waited_ms,
        )
        return True

    def must_queue(self, work):
        """Whether work of the same lane waits ahead."""
        if work.kind.lane is messages.Lane.urgent:
            return bool(self.lanes.urgent_count)
        return bool(len(self.lanes)) or not self.team_may_start(work.team)

    def choose_links(self, work, size):
        """Chooses a worker for every task, or none at all."""
        kind = work.kind
        chosen = []
        for _ in range(kind.tasks):
            candidates = self.candidates(work, size)
            link = policies.choose(kind.placement, candidates, size)
            if link is None:
                break
            link.capacity.reserve(size)
            chosen.append(link)
        for link in chosen:
            link.capacity.release(size)
        return chosen if len(chosen) == kind.tasks else []

    def candidates(self, work, size):
        """Returns the workers that could start a task now.

        A worker on which the request has failed is taken only if there
        is no other.
        """
        headroom = self.headroom(work.kind)
        fitting = [
            link
            for link in self.links.values()
            if link.capacity.fits(size, headroom=headroom) and link.available()
        ]
        if not work.avoided:
            return fitting
        others = [link for link in fitting if link.name not in work.avoided]
        return others or fitting

    # Ends.

    def on_task_end(self, task, end):
        """Collects the end of a task and concludes the request."""
        work = self.works.get(recovery.request_of(task.task_id))
        if work is None or work.tasks.get(task.task_id) is not task:
            self.pump()
            return
        del work.tasks[task.task_id]
        work.ends[task.task_id] = (task, end)
        if work.kind.lane is messages.Lane.patient:
            self.held_cores[work.team] -= task.size.cores
        self.learn(task, end, work)
        if work.reply is None:
            self.collect(work)
        self.pump()

    def learn(self, task, end, work):
        """Learns run times and which workers fail everything."""
        if end.reason is not Reason.REPORTED:
            return
        run_ms = clock.monotonic_ms() - task.sent_ms
        follow_mean(self.mean_run_ms, work.kind.lane, run_ms)
        follow_mean(self.kind_run_ms, work.kind.name, run_ms)
        failed = end.report.state is platform.TaskState.FAILED
        if failed:
            work.avoided.add(task.link.name)
        task.link.note_result(work.request_id, failed=failed)

    def collect(self, work):
        """Concludes once all tasks ended; stops a gang that broke."""
        broken = any(not is_done(end) for _, end in work.ends.values())
        if broken:
            for task in work.tasks.values():
                self.stop_task(task)
        if not work.tasks:
            self.conclude(work)

    def conclude(self, work):
        """Answers for a request whose tasks have all ended."""
        ends = [end for _, end in work.ends.values()]
        if all(is_done(end) for end in ends):
            self.finish_done(work)
        elif work.cancelled:
            work.finish(Status.CANCELLED, started=True)
            self.expire_later(work)
        elif all(end.reason is Reason.NOT_STARTED for end in ends):
            self.put_back(work)
        else:
            self.conclude_broken(work, ends)

    def finish_done(self, work):
        """Answers with the results of all tasks."""
        ordered = sorted(
            work.ends.values(),
            key=lambda pair: recovery.index_of(pair[0].task_id),
        )
        work.finish(
            Status.DONE,
            started=True,
            result=",".join(end.report.result for _, end in ordered),
            worker=",".join(task.link.name for task, _ in ordered),
        )
        self.expire_later(work)

    def conclude_broken(self, work, ends):
        """Repeats idempotent work; answers truthfully for the rest."""
        work.may_have_run = True
        failed = any(is_failed(end) for end in ends)
        work.failures += failed
        if work.kind.idempotent and work.failures < MAX_FAILURES:
            work.state = State.HELD
            asyncio.create_task(self.repeat(work))
        elif failed:
            work.finish(Status.FAILED, started=True)
            self.expire_later(work)
        elif self.may_still_tell(work):
            work.state = State.HELD
        else:
            work.finish(Status.UNKNOWN, started=True)
            self.expire_later(work)

    async def repeat(self, work):
        """Places work again once no other owner can be running it.

        A lease that has lapsed here may have been renewed by a newer
        owner that this process has not heard of. A read of the log that
        begins after the lapse and shows no newer claim rules that out.
        """
        while work.state is State.HELD and work.reply is None:
            if await self.node.confirm_owner(self):
                if work.state is State.HELD and work.reply is None:
                    self.put_back(work)
                return
            await asyncio.sleep(CONFIRM_RETRY_S)

    def may_still_tell(self, work):
        """Whether an unreachable worker may still report the result."""
        return any(
            end.reason is Reason.LAPSED
            and task.link is not None
            and task.link.state is target_link.LinkState.UNREACHABLE
            for task, end in work.ends.values()
        )

    def put_back(self, work):
        """Queues work again whose tasks are surely not running."""
        if self.retired:
            work.finish(Status.MOVED, started=work.may_have_run)
            return
        self.node.events.add(
            work.request_id, f"Not running on {self.name}. Placed again."
        )
        self.admit(work, hops=1 if work.may_have_run else 0)

    def stop_task(self, task):
        """Asks a target to stop a task."""
        asyncio.create_task(self.stop_quietly(task))

    async def stop_quietly(self, task):
        """Stops a task; an unreachable target's lease lapses instead."""
        task.ambiguous = True
        try:
            await task.link.client.stop(task.task_id)
        except Exception as error:
            LOG.info("%s could not be stopped: %s", task.task_id, error)
        task.link.kicked.set()

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
                self.stop_task(task)
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
            self.release_held()
            self.pump()

    def expire_later(self, work):
        """Keeps an answer for a while, for senders that ask again."""
        due_ms = clock.monotonic_ms() + RETAIN_ANSWERS_S * clock.MILLISECONDS
        self.expiring.append((due_ms, work))

    def forget_expired(self):
        """Forgets answers that were kept for long enough."""
        now_ms = clock.monotonic_ms()
        while self.expiring and self.expiring[0][0] <= now_ms:
            _, work = self.expiring.popleft()
            if work.attempt and self.node.is_open(work.request_id):
                self.expire_later(work)
                continue
            self.forget(work)

    def forget(self, work):
        """Forgets an answer and frees the results on the targets."""
        self.redirected.pop(work.request_id, None)
        if self.works.get(work.request_id) is work:
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


def follow_mean(means, key, value):
    """Moves a running mean towards a new value."""
    known = means.get(key)
    if known is None:
        means[key] = value
    else:
        means[key] = known + MEAN_WEIGHT * (value - known)


def is_done(end):
    """Whether a task ended with a result."""
    return (
        end.reason is Reason.REPORTED
        and end.report.state is platform.TaskState.DONE
    )


def is_failed(end):
    """Whether a task's target reported a failure."""
    return (
        end.reason is Reason.REPORTED
        and end.report.state is platform.TaskState.FAILED
    )


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
