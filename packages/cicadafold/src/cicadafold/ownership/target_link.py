"""Link of a rack's owner to one worker: fence, inventory, leases, starts.

Tasks are started on a worker only after this owner's term was raised as the
worker's fence and its inventory was read. From then on the worker refuses
every start of an earlier owner, so that the capacity known here is complete
and no two owners can overfill the same worker.
"""

import asyncio
import enum

from cicadafold import clock
from cicadafold import exception
from cicadafold.ownership import rack_requests
from cicadafold.placement import capacity as host_capacity
from cicadafold.platform import messages
from cicadafold.telemetry import logs

__all__ = ["LinkState", "TargetLink"]

IDLE_PERIOD_S = 3.0
BUSY_PERIOD_S = 0.4
RETRY_PERIOD_S = 0.3
START_BY_MS = 1000
MIN_RENEW_AFTER_MS = 400
RENEW_LEASE_SHARE = 0.3
HEARTBEAT_DUE_SHARE = 0.9
IDLE_HEARTBEATS_PER_S = 4.0
LAPSE_MARGIN_MS = 300
CLOCK_SLACK_MS = 1000
QUARANTINE_FAILURES = 3
QUARANTINE_MIN_S = 3.0
QUARANTINE_MAX_S = 60.0

LOG = logs.get_logger("target")


class LinkState(enum.Enum):
    """State of a link.

    ``CONNECTING`` before the first fence, ``READY`` while the worker answers,
    ``UNREACHABLE`` until it is fenced again, and ``FENCED`` for good once a
    newer owner has raised the fence.
    """

    CONNECTING = "connecting"
    READY = "ready"
    UNREACHABLE = "unreachable"
    FENCED = "fenced"


class TargetLink:
    """Link of a rack's owner to one worker.

    Args:
        host: The worker, as the platform lists it.
        client: Client of the worker's target calls.
        term: Term of the owner.
        owner: ``RackOwner`` of the rack.

    Attributes:
        inventoried: Whether the inventory was ever read in this term.
        up_since_ms: Monotonic time in milliseconds of the worker's last start,
            as of its first inventory. It knows all tasks started since.
        recorded: Whether the control log lists the worker for the rack.
        epoch: Incarnation of the worker, empty before the first fence.
        tasks: Tasks that may run on the worker, by identifier.
        to_acknowledge: Identifiers of ended tasks that the next renewal tells
            the worker to discard.
        renewal_wanted: Set if a renewal should not wait for its period.
        failed_requests: Identifiers of the requests whose tasks have failed
            since the last success.
        quarantine_s: Seconds of the last quarantine, or 0 after a success.
    """

    def __init__(self, *, host, client, term, owner):
        self.host = host
        self.name = host.name
        self.client = client
        self.term = term
        self.owner = owner
        self.state = LinkState.CONNECTING
        self.inventoried = False
        self.up_since_ms = 0.0
        self.recorded = False
        self.started_ms = clock.monotonic_ms()
        self.leaving = host.state is messages.HostState.LEAVING
        self.capacity = host_capacity.Capacity.of_host(host)
        self.clock = clock.WorkerClock()
        self.epoch = ""
        self.tasks = {}
        self.to_acknowledge = []
        self.last_reply_ms = 0.0
        self.renewal_wanted = asyncio.Event()
        self.failed_requests = set()
        self.quarantine_s = 0.0
        self.quarantined_until_ms = 0.0

    def is_available(self):
        """Whether tasks may be started on the worker now.

        After a quarantine it gets one task at a time until one succeeds.
        """
        if self.state is not LinkState.READY or self.leaving:
            return False
        if not self.recorded:
            return False
        if not self.quarantine_s:
            return True
        quarantine_over = clock.monotonic_ms() >= self.quarantined_until_ms
        return quarantine_over and not self.tasks

    async def run(self):
        """Fences the worker and renews leases; retries after each failure."""
        while self.state is not LinkState.FENCED:
            try:
                if await self.raise_fence():
                    await self.renew_leases()
            except Exception:
                LOG.exception(
                    "Link to worker %s failed; the worker is fenced again.",
                    self.name,
                )
                self.mark_unreachable()
            await asyncio.sleep(RETRY_PERIOD_S)

    async def raise_fence(self):
        """Raises the fence, applies the inventory; returns whether it did."""
        try:
            reply = await self.client.fence(self.term)
        except exception.TargetUnreachable:
            self.mark_unreachable()
            self.end_lapsed_tasks()
            return False
        except exception.TargetRefused:
            self.mark_fenced()
            return False
        if self.state is LinkState.FENCED:
            return False
        self.record_reply(reply)
        if self.epoch and self.epoch != reply.epoch:
            self.end_all_tasks()
        self.epoch = reply.epoch
        up_ms = reply.now_ms - reply.booted_ms
        if not self.inventoried:
            self.up_since_ms = clock.monotonic_ms() - up_ms
        self.apply_inventory(reply.tasks)
        self.inventoried = True
        self.state = LinkState.READY
        self.owner.on_link_ready(self)
        return True

    def apply_inventory(self, reports):
        """Applies the worker's reports of all tasks that it knows."""
        by_id = {report.task_id: report for report in reports}
        for task in list(self.tasks.values()):
            self.apply_report(task, by_id.get(task.task_id))
        self.capacity.reset()
        for task in self.tasks.values():
            self.capacity.reserve(task.resources)
        for report in reports:
            if report.task_id not in self.tasks:
                self.owner.on_inventory(self, report)

    def track_running(self, report, *, lease_ms, on_end):
        """Tracks a running task of the inventory, whose lease is not known.

        It ends at most ``lease_ms``, the longest lease that may have been
        granted, and ``CLOCK_SLACK_MS`` after the lower bound of the worker's
        clock. It is renewed next.
        """
        resources = host_capacity.TaskResources(
            cores=report.cores,
            memory_mb=report.memory_mb,
            accelerators=report.accelerators,
        )
        task = rack_requests.TargetTask(
            task_id=report.task_id,
            link=self,
            resources=resources,
            on_end=on_end,
        )
        task.renewed_ms = 0.0
        task.lease_ms = lease_ms
        worker_ms = int(self.clock.lower_bound_ms())
        task.lease_until_ms = worker_ms + lease_ms + CLOCK_SLACK_MS
        self.capacity.reserve(resources)
        self.tasks[task.task_id] = task
        return task

    def start(self, *, task_id, resources, payload, lease_ms, on_end):
        """Reserves the resources of a task, sends its start and returns it.

        The worker receives ``payload`` unchanged. ``on_end`` is called with
        the task and its ``TaskEnd``.
        """
        task = rack_requests.TargetTask(
            task_id=task_id, link=self, resources=resources, on_end=on_end
        )
        worker_ms = self.clock.lower_bound_ms()
        task.start_by_ms = int(worker_ms) + START_BY_MS
        task.lease_ms = lease_ms
        task.lease_until_ms = int(worker_ms) + lease_ms
        self.capacity.reserve(resources)
        self.tasks[task_id] = task
        message = messages.StartTask(
            task_id=task_id,
            epoch=self.epoch,
            fence=self.term,
            start_by_ms=task.start_by_ms,
            lease_until_ms=task.lease_until_ms,
            cores=resources.cores,
            memory_mb=resources.memory_mb,
            accelerators=resources.accelerators,
            payload=payload,
        )
        task.start_call = asyncio.create_task(self.send_start(task, message))
        if len(self.tasks) == 1:
            self.renewal_wanted.set()
        return task

    async def send_start(self, task, message):
        """Sends the start of a task and waits for the report of its end.

        Without a reply the task is unconfirmed if the start may have arrived,
        and not started otherwise.
        """
        try:
            reply = await self.client.start(message)
        except exception.TargetRefused as error:
            task.start_call = None
            self.apply_refusal(task, error.refusal)
        except exception.TargetUnreachable as error:
            task.start_call = None
            if error.sent:
                task.unconfirmed = True
                self.renewal_wanted.set()
            else:
                self.mark_unreachable()
                end_task(task, rack_requests.EndReason.NOT_STARTED)
        else:
            task.start_call = None
            self.record_reply(reply)
            self.apply_report(task, reply.tasks[0])

    def apply_refusal(self, task, refusal):
        """Ends a refused task; one that the worker knows is unconfirmed."""
        if refusal.code is messages.RefusalCode.KNOWN:
            task.unconfirmed = True
            self.renewal_wanted.set()
            return
        fenced = refusal.code is messages.RefusalCode.FENCED
        if fenced:
            self.mark_fenced()
        if refusal.code is messages.RefusalCode.LEAVING:
            self.leaving = True
        if refusal.code is messages.RefusalCode.EXPIRED:
            self.clock.update(refusal.now_ms)
        if refusal.code is messages.RefusalCode.WRONG_EPOCH:
            self.mark_unreachable()
            self.renewal_wanted.set()
        task.end(
            rack_requests.TaskEnd(
                reason=rack_requests.EndReason.NOT_STARTED, fenced=fenced
            )
        )

    def apply_report(self, task, report):
        """Applies a worker's report of a task.

        A report of None means that the worker does not know the task. It was
        not started then if its start deadline is over.
        """
        if report is None:
            start_expired = self.clock.worker_ms > task.start_by_ms
            if start_expired:
                end_task(task, rack_requests.EndReason.NOT_STARTED)
            return
        if report.state is messages.TaskState.RUNNING:
            task.unconfirmed = False
            self.owner.on_running(task)
            return
        if report.state is messages.TaskState.LAPSED:
            end_task(task, rack_requests.EndReason.LAPSED)
            return
        task.end(
            rack_requests.TaskEnd(
                reason=rack_requests.EndReason.REPORTED, report=report
            )
        )

    async def renew_leases(self):
        """Renews leases until the worker must be fenced again."""
        while self.state is LinkState.READY:
            await self.wait_until_due()
            if not self.is_renewal_due():
                continue
            if not await self.renew():
                return

    async def wait_until_due(self):
        period_s = BUSY_PERIOD_S if self.tasks else self.idle_period_s()
        try:
            async with asyncio.timeout(period_s):
                await self.renewal_wanted.wait()
        except TimeoutError:
            pass
        self.renewal_wanted.clear()

    def idle_period_s(self):
        """Returns the seconds between heartbeats to an idle worker.

        The heartbeats of one process to all its idle workers together are
        limited to ``IDLE_HEARTBEATS_PER_S``.
        """
        limited_s = self.owner.node.count_links() / IDLE_HEARTBEATS_PER_S
        return max(IDLE_PERIOD_S, limited_s)

    def is_renewal_due(self):
        """Whether a lease is to be renewed or a heartbeat is due."""
        now_ms = clock.monotonic_ms()
        silent_ms = now_ms - self.last_reply_ms
        if (
            silent_ms
            > self.idle_period_s() * clock.MS_PER_S * HEARTBEAT_DUE_SHARE
        ):
            return True
        return any(self.needs_renewal(t, now_ms) for t in self.tasks.values())

    def needs_renewal(self, task, now_ms):
        """Whether a task is part of the next renewal."""
        if task.unconfirmed:
            return True
        after_ms = max(MIN_RENEW_AFTER_MS, task.lease_ms * RENEW_LEASE_SHARE)
        return now_ms - task.renewed_ms >= after_ms

    async def renew(self):
        """Renews due leases; without any the call is a heartbeat.

        It also acknowledges ended tasks. Returns whether the worker is ready.
        """
        now_ms = clock.monotonic_ms()
        due = [
            task
            for task in self.tasks.values()
            if self.needs_renewal(task, now_ms)
        ]
        acknowledged, self.to_acknowledge = self.to_acknowledge, []
        lease_ms = max((t.lease_ms for t in due), default=0)
        until_ms = int(self.clock.lower_bound_ms()) + lease_ms
        request = messages.RenewRequest(
            fence=self.term,
            until_ms=until_ms,
            tasks=[task.task_id for task in due],
            acknowledged=acknowledged,
        )
        for task in due:
            task.renewed_ms = now_ms
            task.lease_until_ms = max(task.lease_until_ms, until_ms)
        try:
            reply = await self.client.renew(request)
        except exception.TargetUnreachable:
            self.to_acknowledge.extend(acknowledged)
            self.mark_unreachable()
            return False
        except exception.TargetRefused:
            self.mark_fenced()
            return False
        if reply.epoch != self.epoch:
            return False
        self.record_reply(reply)
        by_id = {report.task_id: report for report in reply.tasks}
        for task in due:
            if not task.ended:
                self.apply_report(task, by_id.get(task.task_id))
        return True

    def request_stop(self, task):
        """Requests the stop of a task; the next renewal asks for its state."""
        task.unconfirmed = True
        asyncio.create_task(self.send_stop(task))

    async def send_stop(self, task):
        try:
            await self.client.stop(task.task_id)
        except (exception.TargetUnreachable, exception.TargetRefused):
            LOG.info(
                "Task %s: the worker did not confirm the stop; "
                "the next renewal asks for its state.",
                task.task_id,
            )
        self.renewal_wanted.set()

    def end_lapsed_tasks(self):
        """Ends the tasks whose leases have certainly lapsed."""
        if self.clock.updated_ms is None:
            return
        worker_ms = self.clock.lower_bound_ms()
        for task in list(self.tasks.values()):
            if worker_ms > task.lease_until_ms + LAPSE_MARGIN_MS:
                end_task(task, rack_requests.EndReason.LAPSED)

    def end_all_tasks(self):
        """Ends all tasks of a worker that was restarted."""
        LOG.warning(
            "Worker %s was restarted; all its tasks count as lapsed.",
            self.name,
        )
        for task in list(self.tasks.values()):
            end_task(task, rack_requests.EndReason.LAPSED)

    def release(self, task):
        if self.tasks.pop(task.task_id, None) is not None:
            self.capacity.release(task.resources)

    def record_reply(self, reply):
        self.clock.update(reply.now_ms)
        self.last_reply_ms = clock.monotonic_ms()

    def mark_unreachable(self):
        """Marks the worker unreachable until it has been fenced again."""
        if self.state is LinkState.READY:
            LOG.warning(
                "Worker %s is unreachable; "
                "no tasks are started on it until it has been fenced again.",
                self.name,
            )
        if self.state is not LinkState.FENCED:
            self.state = LinkState.UNREACHABLE
        self.renewal_wanted.set()

    def mark_fenced(self):
        """Ends the link for good, as a newer owner has raised the fence."""
        if self.state is not LinkState.FENCED:
            self.state = LinkState.FENCED
            self.owner.on_fenced(self)

    def record_result(self, request_id, *, failed):
        """Records a result of the worker; repeated failures quarantine it.

        ``QUARANTINE_FAILURES`` failed requests without a success in between
        start a quarantine; each further one doubles it up to
        ``QUARANTINE_MAX_S``. A success ends it.
        """
        if not failed:
            self.failed_requests.clear()
            if self.quarantine_s:
                LOG.info(
                    "Worker %s has completed a task; its quarantine is over.",
                    self.name,
                )
            self.quarantine_s = 0.0
            return
        self.failed_requests.add(request_id)
        if len(self.failed_requests) < QUARANTINE_FAILURES:
            return
        doubled_s = max(QUARANTINE_MIN_S, self.quarantine_s * 2)
        self.quarantine_s = min(QUARANTINE_MAX_S, doubled_s)
        now_ms = clock.monotonic_ms()
        until_ms = now_ms + self.quarantine_s * clock.MS_PER_S
        self.quarantined_until_ms = until_ms
        LOG.warning(
            "Worker %s fails tasks of several requests and completes none; "
            "it is quarantined for %.0f s.",
            self.name,
            self.quarantine_s,
        )


def end_task(task, reason):
    """Ends a task of which the worker sent no report."""
    task.end(rack_requests.TaskEnd(reason=reason))
