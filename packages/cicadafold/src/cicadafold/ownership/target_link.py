"""One task for each worker: fence, inventory, leases and starts.

A worker takes work only after this owner's term has been raised there as
its fence and its inventory has been read. From then on the fence refuses
every start of an earlier owner, so that the capacity seen here is the
whole truth: no two owners can fill the same worker.
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
RENEW_AFTER_MS = 400
RENEW_SHARE = 0.3
DUE_SHARE = 0.9
IDLE_HEARTBEATS_PER_S = 4.0
LAPSE_MARGIN_MS = 300
CLOCK_SLACK_MS = 1000
QUARANTINE_FAILURES = 3
QUARANTINE_MIN_S = 3.0
QUARANTINE_MAX_S = 60.0

LOG = logs.get_logger("target")


class LinkState(enum.Enum):
    """Whether a worker may be given work."""

    CONNECTING = "connecting"
    READY = "ready"
    UNREACHABLE = "unreachable"
    FENCED = "fenced"


class TargetLink:
    """The owner's side of one worker.

    Attributes:
        inventoried: Whether the inventory was ever read under this term.
        up_since_ms: Monotonic time since which the worker surely knows
            all that it was given.
        recorded: Whether the log says that this owner may use the worker.
    """

    def __init__(self, *, host, client, term, rack):
        self.host = host
        self.name = host.name
        self.client = client
        self.term = term
        self.rack = rack
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
        """Whether the worker may be given work now."""
        if self.state is not LinkState.READY or self.leaving:
            return False
        if not self.recorded:
            return False
        if not self.quarantine_s:
            return True
        trial = clock.monotonic_ms() >= self.quarantined_until_ms
        return trial and not self.tasks

    async def run(self):
        """Fences the worker, then keeps its leases, until retired."""
        while self.state is not LinkState.FENCED:
            try:
                if await self.raise_fence():
                    await self.renew_leases()
            except Exception:
                LOG.exception("Looking after %s failed.", self.name)
                self.mark_unreachable()
            await asyncio.sleep(RETRY_PERIOD_S)

    async def raise_fence(self):
        """Raises the fence and reads the inventory."""
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
        self.rack.on_link_ready(self)
        return True

    def apply_inventory(self, reports):
        """Rebuilds the used capacity from the worker's own report."""
        by_id = {report.task_id: report for report in reports}
        for task in list(self.tasks.values()):
            self.apply_report(task, by_id.get(task.task_id))
        self.capacity.reset()
        for task in self.tasks.values():
            self.capacity.reserve(task.size)
        for report in reports:
            if report.task_id not in self.tasks:
                self.rack.on_inventory(self, report)

    def track_running(self, report, *, lease_ms, on_end):
        """Takes over a task that the worker was found running.

        Args:
            report: The worker's report of the task.
            lease_ms: Longest lease that an earlier owner may have given.
            on_end: Function that takes the task and its end.
        """
        size = host_capacity.Size(
            cores=report.cores,
            memory_mb=report.memory_mb,
            accelerators=report.accelerators,
        )
        task = rack_requests.TargetTask(
            task_id=report.task_id, link=self, size=size, on_end=on_end
        )
        task.renewed_ms = 0.0
        task.lease_ms = lease_ms
        worker_ms = int(self.clock.lower_bound_ms())
        task.lease_until_ms = worker_ms + lease_ms + CLOCK_SLACK_MS
        self.capacity.reserve(size)
        self.tasks[task.task_id] = task
        return task

    def start(self, *, task_id, size, payload, lease_ms, on_end):
        """Reserves the capacity and sends the start of a task.

        Args:
            task_id: Identifier of the task.
            size: What the task needs.
            payload: Handed to the worker as it is.
            lease_ms: Milliseconds that a lease lasts.
            on_end: Function that takes the task and its end.
        """
        task = rack_requests.TargetTask(
            task_id=task_id, link=self, size=size, on_end=on_end
        )
        worker_ms = self.clock.lower_bound_ms()
        task.start_by_ms = int(worker_ms) + START_BY_MS
        task.lease_ms = lease_ms
        task.lease_until_ms = int(worker_ms) + lease_ms
        self.capacity.reserve(size)
        self.tasks[task_id] = task
        message = messages.StartTask(
            task_id=task_id,
            epoch=self.epoch,
            fence=self.term,
            start_by_ms=task.start_by_ms,
            lease_until_ms=task.lease_until_ms,
            cores=size.cores,
            memory_mb=size.memory_mb,
            accelerators=size.accelerators,
            payload=payload,
        )
        task.start_call = asyncio.create_task(self.send_start(task, message))
        if len(self.tasks) == 1:
            self.renewal_wanted.set()
        return task

    async def send_start(self, task, message):
        """Sends a start and waits for the task's end."""
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
        """Ends a task whose start was refused."""
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
        """Ends a task that its worker reports as ended or denies."""
        if report is None:
            denied = self.clock.worker_ms > task.start_by_ms
            if denied:
                end_task(task, rack_requests.EndReason.NOT_STARTED)
            return
        if report.state is messages.TaskState.RUNNING:
            task.unconfirmed = False
            self.rack.on_running(task)
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
        """Renews leases until the worker must be fenced anew."""
        while self.state is LinkState.READY:
            await self.wait_until_due()
            if not self.is_renewal_due():
                continue
            if not await self.renew():
                return

    async def wait_until_due(self):
        """Waits for a kick or for the period to pass."""
        period_s = BUSY_PERIOD_S if self.tasks else self.idle_period_s()
        try:
            async with asyncio.timeout(period_s):
                await self.renewal_wanted.wait()
        except TimeoutError:
            pass
        self.renewal_wanted.clear()

    def idle_period_s(self):
        """Returns the seconds between heartbeats to an idle worker.

        The heartbeats of one process to all its idle workers together
        stay below a rate, however many workers there are.
        """
        share_s = self.rack.node.count_links() / IDLE_HEARTBEATS_PER_S
        return max(IDLE_PERIOD_S, share_s)

    def is_renewal_due(self):
        """Whether a renewal or a heartbeat is due."""
        now_ms = clock.monotonic_ms()
        silent_ms = now_ms - self.last_reply_ms
        if silent_ms > self.idle_period_s() * clock.MILLISECONDS * DUE_SHARE:
            return True
        return any(self.needs_renewal(t, now_ms) for t in self.tasks.values())

    def needs_renewal(self, task, now_ms):
        """Whether a lease is to be renewed, or a state is in doubt."""
        if task.unconfirmed:
            return True
        after_ms = max(RENEW_AFTER_MS, task.lease_ms * RENEW_SHARE)
        return now_ms - task.renewed_ms >= after_ms

    async def renew(self):
        """Renews the leases of tasks and settles those that ended."""
        now_ms = clock.monotonic_ms()
        asked = [
            task
            for task in self.tasks.values()
            if self.needs_renewal(task, now_ms)
        ]
        acknowledged, self.to_acknowledge = self.to_acknowledge, []
        lease_ms = max((t.lease_ms for t in asked), default=0)
        until_ms = int(self.clock.lower_bound_ms()) + lease_ms
        request = messages.RenewRequest(
            fence=self.term,
            until_ms=until_ms,
            tasks=[task.task_id for task in asked],
            acknowledged=acknowledged,
        )
        for task in asked:
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
        for task in asked:
            if not task.ended:
                self.apply_report(task, by_id.get(task.task_id))
        return True

    def request_stop(self, task):
        """Asks the worker to stop a task; its lease lapses otherwise."""
        task.unconfirmed = True
        asyncio.create_task(self.send_stop(task))

    async def send_stop(self, task):
        """Stops a task and asks soon what became of it."""
        try:
            await self.client.stop(task.task_id)
        except (exception.TargetUnreachable, exception.TargetRefused):
            LOG.info("%s could not be stopped.", task.task_id)
        self.renewal_wanted.set()

    def end_lapsed_tasks(self):
        """Ends the tasks whose leases have surely lapsed."""
        if self.clock.updated_ms is None:
            return
        worker_ms = self.clock.lower_bound_ms()
        for task in list(self.tasks.values()):
            if worker_ms > task.lease_until_ms + LAPSE_MARGIN_MS:
                end_task(task, rack_requests.EndReason.LAPSED)

    def end_all_tasks(self):
        """Ends the tasks of a worker that has been restarted."""
        LOG.warning("%s was restarted. Its tasks are lost.", self.name)
        for task in list(self.tasks.values()):
            end_task(task, rack_requests.EndReason.LAPSED)

    def release(self, task):
        """Gives the capacity of an ended task back."""
        if self.tasks.pop(task.task_id, None) is not None:
            self.capacity.release(task.size)

    def record_reply(self, reply):
        """Notes the clock and the contact that an answer proves."""
        self.clock.update(reply.now_ms)
        self.last_reply_ms = clock.monotonic_ms()

    def mark_unreachable(self):
        """Stops giving work until the worker is fenced again."""
        if self.state is LinkState.READY:
            LOG.warning("%s does not answer.", self.name)
        if self.state is not LinkState.FENCED:
            self.state = LinkState.UNREACHABLE
        self.renewal_wanted.set()

    def mark_fenced(self):
        """Stops for good: a newer owner has raised the fence."""
        if self.state is not LinkState.FENCED:
            self.state = LinkState.FENCED
            self.rack.on_fenced(self)

    def record_result(self, request_id, *, failed):
        """Learns from a result whether the worker can be trusted."""
        if not failed:
            self.failed_requests.clear()
            if self.quarantine_s:
                LOG.info("%s is trusted again.", self.name)
            self.quarantine_s = 0.0
            return
        self.failed_requests.add(request_id)
        if len(self.failed_requests) < QUARANTINE_FAILURES:
            return
        grown = max(QUARANTINE_MIN_S, self.quarantine_s * 2)
        self.quarantine_s = min(QUARANTINE_MAX_S, grown)
        now_ms = clock.monotonic_ms()
        until_ms = now_ms + self.quarantine_s * clock.MILLISECONDS
        self.quarantined_until_ms = until_ms
        LOG.warning(
            "%s fails its tasks. It gets none for %.0f s.",
            self.name,
            self.quarantine_s,
        )


def end_task(task, reason):
    """Ends a task without a report."""
    task.end(rack_requests.TaskEnd(reason=reason))
