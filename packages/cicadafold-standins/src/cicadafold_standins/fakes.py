"""In-memory fakes of a worker and of the process around a rack's owner.

The tests of rack owners and the measurement of their costs use them. The
fake worker has the interface of a target client, but no network.
"""

import asyncio
import time

from cicadafold import exception
from cicadafold.platform import messages as platform
from cicadafold.telemetry import events
from cicadafold_schema import messages

__all__ = ["FakeNode", "FakeTarget", "make_host", "make_kind"]


def make_host(name, slots=8, cores=8.0):
    """Returns a worker's entry in the platform's host list."""
    return platform.HostEntry(
        name=name,
        address=name,
        rack="rack",
        failure_domain="d",
        region="r",
        slots=slots,
        cores=cores,
        memory_mb=8192,
    )


def make_kind(name="k", **changes):
    """Returns a kind, by default an urgent and idempotent single task.

    Args:
        name: Name of the kind.
        **changes: Fields that differ from the defaults.
    """
    fields = {
        "lane": messages.Lane.urgent,
        "shape": messages.Shape.task,
        "idempotent": True,
        "durable": False,
        "lease_ms": 600,
        "deadline_ms": 4000,
    }
    return messages.Kind(name=name, **{**fields, **changes})


class FakeTarget:
    """Target client and worker in one object, without a network.

    Attributes:
        epoch: Identifier of the incarnation; it changes on a restart.
        highest_fence: Highest fencing token received.
        tasks: Task reports by task identifier.
        leases: End of each task's lease in milliseconds.
        silent: Whether calls fail as unreachable after they were sent, as
            on a blackholed link.
        lose_answers: Whether starts take effect, but their replies are
            lost.
        fail: Whether tasks end as failed.
        crash: Whether each started task crashes the target, which returns
            as a new incarnation at once.
        hold_tasks: Whether tasks run until the test clears this flag or
            changes their state; otherwise they end at once.
        overfills: Number of starts while all slots were in use.
        starts: Identifiers of the started tasks in order.
    """

    def __init__(self, *, host):
        self.host = host
        self.epoch = "e1"
        self.booted_ms = 0
        self.highest_fence = 0
        self.tasks = {}
        self.leases = {}
        self.silent = False
        self.lose_answers = False
        self.fail = False
        self.crash = False
        self.hold_tasks = False
        self.overfills = 0
        self.starts = []
        self.ended = asyncio.Event()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def reply(self, tasks):
        return platform.TargetReply(
            epoch=self.epoch,
            now_ms=self.now_ms(),
            booted_ms=self.booted_ms,
            tasks=list(tasks),
        )

    def refuse(self, code):
        refusal = platform.Refusal(
            code=code, epoch=self.epoch, now_ms=self.now_ms()
        )
        return exception.TargetRefused(refusal=refusal)

    def check_reachable(self):
        if self.silent:
            raise exception.TargetUnreachable(message="silent", sent=True)

    def restart(self):
        """Starts a new incarnation without tasks and leases."""
        self.epoch += "x"
        self.booted_ms = self.now_ms()
        self.tasks = {}
        self.leases = {}

    def expire_leases(self):
        for task_id, until_ms in self.leases.items():
            task = self.tasks[task_id]
            running = task.state is platform.TaskState.RUNNING
            if running and self.now_ms() > until_ms:
                task.state = platform.TaskState.LAPSED

    def running(self):
        return [
            task
            for task in self.tasks.values()
            if task.state is platform.TaskState.RUNNING
        ]

    async def fence(self, fence):
        self.check_reachable()
        self.expire_leases()
        if fence < self.highest_fence:
            raise self.refuse(platform.RefusalCode.FENCED)
        self.highest_fence = fence
        return self.reply(self.tasks.values())

    async def start(self, task):
        self.check_reachable()
        if task.fence < self.highest_fence:
            raise self.refuse(platform.RefusalCode.FENCED)
        if len(self.running()) >= self.host.slots:
            self.overfills += 1
        self.starts.append(task.task_id)
        report = platform.TaskReport(
            task_id=task.task_id,
            state=platform.TaskState.RUNNING,
            cores=task.cores,
            memory_mb=task.memory_mb,
        )
        self.tasks[task.task_id] = report
        self.leases[task.task_id] = task.lease_until_ms
        if self.crash:
            self.restart()
            raise exception.TargetUnreachable(
                message="crashed", sent=True, closed=True
            )
        if self.lose_answers:
            report.state = platform.TaskState.DONE
            report.result = "r"
            raise exception.TargetUnreachable(message="lost", sent=True)
        while self.hold_tasks and report.state is platform.TaskState.RUNNING:
            await asyncio.sleep(0.01)
            self.expire_leases()
        if report.state is platform.TaskState.RUNNING:
            report.state = platform.TaskState.DONE
            report.result = "r"
            if self.fail:
                report.state = platform.TaskState.FAILED
        if self.silent:
            await asyncio.sleep(3600)
        return self.reply([report])

    async def renew(self, request):
        self.check_reachable()
        self.expire_leases()
        if request.fence < self.highest_fence:
            raise self.refuse(platform.RefusalCode.FENCED)
        for task_id in request.tasks:
            if task_id in self.leases:
                self.leases[task_id] = request.until_ms
        reports = [self.tasks[t] for t in request.tasks if t in self.tasks]
        return self.reply(reports)

    async def stop(self, task_id):
        self.check_reachable()
        task = self.tasks.get(task_id)
        if task and task.state is platform.TaskState.RUNNING:
            task.state = platform.TaskState.STOPPED
        return self.reply([task] if task else [])


class FakeNode:
    """Stand-in for the process in which a rack's owner runs.

    Attributes:
        kinds: Kinds by name.
        targets: Fake targets by address.
        superseded: Owners that reported being superseded.
        still_owner: Whether the process confirms the owner's term.
        quota: Quota of every team in cores; 0 means none.
        recorded: Names of the recorded workers of the rack.
    """

    def __init__(self, *, kinds, hosts):
        self.kinds = {kind.name: kind for kind in kinds}
        self.targets = {h.address: FakeTarget(host=h) for h in hosts}
        self.events = events.RequestEvents(member="m")
        self.superseded = []
        self.still_owner = True
        self.quota = 0
        self.recorded = {host.name for host in hosts}

    def recorded_hosts(self, rack):
        return self.recorded

    async def record_hosts(self, owner, hosts):
        self.recorded = {host.name for host in hosts}
        owner.update_hosts(hosts)

    def call_soon(self, function):
        asyncio.get_running_loop().call_soon(function)

    def count_links(self):
        return len(self.targets)

    def kind(self, name):
        return self.kinds.get(name)

    def target_client(self, address):
        return self.targets[address]

    def rack_with_capacity(self, own_rack, kind, wait_ms):
        return None

    def longest_lease_ms(self):
        return 600

    def team_weight(self, team):
        return 1

    def team_quota_cores(self, team):
        return self.quota

    def headroom_slots(self):
        return 1

    def is_open(self, request_id):
        return False

    async def confirm_owner(self, owner):
        return self.still_owner

    def on_superseded(self, owner):
        self.superseded.append(owner)
        owner.retire()
