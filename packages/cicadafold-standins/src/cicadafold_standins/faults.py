"""Faults that are injected into a running cell, by name.

Each fault function injects the fault, keeps it up for some time, and
removes it again.
"""

import asyncio
import signal

from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

from cicadafold_standins import proxy
from cicadafold_standins import worker as worker_standin

__all__ = ["FAULTS", "FaultContext", "fault"]

FAULTS = {}

FREEZE_DURATION_S = 4.5
FAULT_DURATION_S = 2.5
SLOW_LOG_MS = 250
LOST_ANSWERS_SHARE = 0.4


class FaultContext:
    """Cell and random numbers that a fault function uses.

    Attributes:
        cell: The running cell.
        rng: Random number generator of the round.
        racing_changes: Base revision and HTTP status codes of each pair of
            racing configuration changes.
    """

    def __init__(self, *, cell, rng):
        self.cell = cell
        self.rng = rng
        self.racing_changes = []

    def random_entry_host(self):
        """Returns a random running entry host."""
        entries = sorted(self.cell.running_entry_hosts(), key=lambda e: e.name)
        return self.rng.choice(entries)

    def random_worker(self):
        """Returns a random worker."""
        return self.cell.workers[self.rng.choice(sorted(self.cell.workers))]

    async def random_rack_owner(self):
        """Returns the owner of a random rack, or a random entry host."""
        rack = self.rng.choice(sorted(self.cell.layout.racks))
        return await self.cell.owner_of(rack) or self.random_entry_host()

    def random_domains(self):
        """Returns two random failure domains."""
        return self.rng.sample(sorted(self.cell.layout.regions), 2)


def fault(name):
    """Registers a fault function under a name."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("kill-owner")
async def kill_owner(context):
    """Kills the owner of a rack and restarts it after a while."""
    entry = await context.random_rack_owner()
    entry.signal(signal.SIGKILL)
    await asyncio.sleep(FAULT_DURATION_S)
    await context.cell.restart_entry_host(entry.name)


@fault("kill-two")
async def kill_two(context):
    """Kills two entry hosts at once and restarts them after a while."""
    entries = sorted(context.cell.running_entry_hosts(), key=lambda e: e.name)
    chosen = context.rng.sample(entries, 2)
    for entry in chosen:
        entry.signal(signal.SIGKILL)
    await asyncio.sleep(FAULT_DURATION_S)
    for entry in chosen:
        await context.cell.restart_entry_host(entry.name)


@fault("freeze-owner")
async def freeze_owner(context):
    """Suspends the owner of a rack for longer than any lease."""
    entry = await context.random_rack_owner()
    entry.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_DURATION_S)
    entry.signal(signal.SIGCONT)


@fault("drain-owner")
async def drain_owner(context):
    """Drains the owner of a rack and restarts it."""
    entry = await context.random_rack_owner()
    entry.signal(signal.SIGTERM)
    await entry.process.wait()
    await context.cell.restart_entry_host(entry.name)


@fault("rolling-replacement")
async def rolling_replacement(context):
    """Drains and restarts all entry hosts, one after another."""
    for name in sorted(context.cell.entries):
        entry = context.cell.entries[name]
        entry.signal(signal.SIGTERM)
        await entry.process.wait()
        await context.cell.restart_entry_host(name)
        await context.cell.wait_ready([entry])


@fault("cut-domains")
async def cut_domains(context):
    """Resets all connections between two failure domains."""
    await set_link_mode_temporarily(context, proxy.LinkMode.RESET)


@fault("silence-domains")
async def silence_domains(context):
    """Drops all traffic between two failure domains without a reset."""
    await set_link_mode_temporarily(context, proxy.LinkMode.BLACKHOLE)


@fault("silence-connections")
async def silence_connections(context):
    """Drops the traffic of open connections for good; new ones work."""
    await set_link_mode_temporarily(context, proxy.LinkMode.BLACKHOLE_EXISTING)


async def set_link_mode_temporarily(context, mode):
    """Sets the mode of the links between two random domains for a while."""
    one, other = context.random_domains()
    cell = context.cell
    names = (f"{one}>{other}", f"{other}>{one}")
    for name in names:
        await cell.set_link_mode(name, mode)
    await asyncio.sleep(FAULT_DURATION_S)
    for name in names:
        await cell.set_link_mode(name, proxy.LinkMode.FORWARD)


@fault("cut-regions")
async def cut_regions(context):
    """Drops all traffic between regions for longer than any lease."""
    regions = context.cell.layout.regions
    pairs = [
        f"{one}>{other}"
        for one in regions
        for other in regions
        if regions[one] != regions[other]
    ]
    for name in pairs:
        await context.cell.set_link_mode(name, proxy.LinkMode.BLACKHOLE)
    await asyncio.sleep(FREEZE_DURATION_S)
    for name in pairs:
        await context.cell.set_link_mode(name, proxy.LinkMode.FORWARD)


@fault("log-down")
async def log_down(context):
    """Makes the log service refuse every call for a while."""
    await set_log_faults_temporarily(context, down=True)


@fault("log-slow")
async def log_slow(context):
    """Delays every call of the log service by ``SLOW_LOG_MS``."""
    await set_log_faults_temporarily(context, slow_ms=SLOW_LOG_MS)


@fault("log-answers-lost")
async def log_answers_lost(context):
    """Drops the replies to a share of appends that took effect."""
    await set_log_faults_temporarily(context, lose_answers=LOST_ANSWERS_SHARE)


async def set_log_faults_temporarily(context, **log_faults):
    """Sets the faults of the log service for a while."""
    await context.cell.set_log_faults(**log_faults)
    await asyncio.sleep(FAULT_DURATION_S)
    await context.cell.set_log_faults()


@fault("host-list-wrong")
async def host_list_wrong(context):
    """Removes about half of the workers from the host list for a while."""
    cell = context.cell
    hosts = cell.hosts
    half = [host for host in hosts if context.rng.random() < 0.5]
    await cell.publish_hosts(lag_s=0.1, hosts=half or hosts[:1])
    await asyncio.sleep(FAULT_DURATION_S)
    await cell.publish_hosts(lag_s=0.1)


@fault("worker-leaves")
async def worker_leaves(context):
    """Marks a worker as leaving.

    The worker records starts as violations from 3 s after the change is
    visible in the host list.
    """
    cell = context.cell
    worker = context.random_worker()
    worker.host.state = platform.HostState.LEAVING
    await cell.publish_hosts(lag_s=0.1)
    await asyncio.sleep(0.1 + 3.0)
    await set_worker_faults(cell, worker, leaving=True)
    await asyncio.sleep(1.0)
    await set_worker_faults(cell, worker, leaving=False)
    worker.host.state = platform.HostState.LIVE
    await cell.publish_hosts(lag_s=0.1)


@fault("worker-fails-all")
async def worker_fails_all(context):
    """Makes a worker fail every task that it runs, for a while."""
    worker = context.random_worker()
    await set_worker_faults(context.cell, worker, fail_all=True)
    await asyncio.sleep(FAULT_DURATION_S)
    await set_worker_faults(context.cell, worker, fail_all=False)


async def set_worker_faults(cell, worker, **faults):
    """Sets the simulated faults of a worker, if it is reachable."""
    try:
        await cell.post(
            worker.address, "/faults", worker_standin.Faults(**faults)
        )
    except (OSError, TimeoutError):
        return


@fault("freeze-worker")
async def freeze_worker(context):
    """Suspends a worker for longer than any lease and resumes it."""
    worker = context.random_worker()
    worker.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_DURATION_S)
    worker.signal(signal.SIGCONT)


@fault("kill-worker")
async def kill_worker(context):
    """Kills a worker and restarts it after a while."""
    worker = context.random_worker()
    if not worker.is_running():
        return
    await worker.kill()
    await asyncio.sleep(FAULT_DURATION_S / 2)
    await worker.start()


@fault("lose-domain")
async def lose_domain(context):
    """Kills all entry hosts and workers of a failure domain."""
    cell = context.cell
    domain = context.rng.choice(sorted(cell.layout.regions))
    entries = [e for e in cell.running_entry_hosts() if e.domain == domain]
    workers = [
        w
        for w in cell.workers.values()
        if w.host.failure_domain == domain and w.is_running()
    ]
    for entry in entries:
        entry.signal(signal.SIGKILL)
    await asyncio.gather(*(worker.kill() for worker in workers))
    await asyncio.sleep(FAULT_DURATION_S)
    for process in (*workers, *entries):
        await process.start()


@fault("operator-race")
async def operator_race(context):
    """Submits two changes of the same configuration revision at once."""
    cell = context.cell
    one, other = context.random_entry_host(), context.random_entry_host()
    body = await cell.get(one.address, "/v1/configuration")
    if body is None:
        return
    base = msgspec.json.decode(body, type=messages.Configuration)
    serial = context.rng.randrange(10**9)
    replies = await asyncio.gather(
        submit_change(cell, one, base, f"race-{serial}-a", 1),
        submit_change(cell, other, base, f"race-{serial}-b", 2),
    )
    context.racing_changes.append((base.revision, replies))


async def submit_change(cell, entry, base, change_id, headroom_slots):
    """Submits one change and returns its HTTP status, or 0 without one."""
    configuration = messages.Configuration(
        revision=base.revision,
        kinds=base.kinds,
        teams=base.teams,
        headroom_slots=headroom_slots,
    )
    try:
        status, _ = await cell.apply(
            configuration,
            change_id=change_id,
            base=base.revision,
            entry=entry,
        )
    except (OSError, TimeoutError):
        return 0
    return status
