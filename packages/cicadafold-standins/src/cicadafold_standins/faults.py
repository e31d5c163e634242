"""Faults that a proof brings about, in a registry filled by a decorator.

Each fault is injected, held for a while, and healed again.
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
    """What a fault works on.

    Attributes:
        cell: The running cell.
        random: Random numbers of the round.
        races: Base revision and status codes of racing operators.
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
        """Returns the owner of a random rack."""
        rack = self.rng.choice(sorted(self.cell.layout.racks))
        return await self.cell.owner_of(rack) or self.random_entry_host()

    def random_domains(self):
        """Returns two random failure domains."""
        return self.rng.sample(sorted(self.cell.layout.regions), 2)


def fault(name):
    """Registers a fault under a name."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("kill-owner")
async def kill_owner(context):
    """Kills the owner of a rack and starts it again later."""
    entry = await context.random_rack_owner()
    entry.signal(signal.SIGKILL)
    await asyncio.sleep(FAULT_DURATION_S)
    await context.cell.restart_entry_host(entry.name)


@fault("kill-two")
async def kill_two(context):
    """Kills two entry hosts at once."""
    entries = sorted(context.cell.running_entry_hosts(), key=lambda e: e.name)
    chosen = context.rng.sample(entries, 2)
    for entry in chosen:
        entry.signal(signal.SIGKILL)
    await asyncio.sleep(FAULT_DURATION_S)
    for entry in chosen:
        await context.cell.restart_entry_host(entry.name)


@fault("freeze-owner")
async def freeze_owner(context):
    """Freezes the owner of a rack for longer than every lease."""
    entry = await context.random_rack_owner()
    entry.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_DURATION_S)
    entry.signal(signal.SIGCONT)


@fault("drain-owner")
async def drain_owner(context):
    """Drains the owner of a rack and starts it again."""
    entry = await context.random_rack_owner()
    entry.signal(signal.SIGTERM)
    await entry.process.wait()
    await context.cell.restart_entry_host(entry.name)


@fault("rolling-replacement")
async def rolling_replacement(context):
    """Drains and replaces all entry hosts, one after another."""
    for name in sorted(context.cell.entries):
        entry = context.cell.entries[name]
        entry.signal(signal.SIGTERM)
        await entry.process.wait()
        await context.cell.restart_entry_host(name)
        await context.cell.wait_ready([entry])


@fault("cut-domains")
async def cut_domains(context):
    """Cuts all connections between two failure domains."""
    await set_link_mode_temporarily(context, proxy.LinkMode.RESET)


@fault("silence-domains")
async def silence_domains(context):
    """Drops everything between two failure domains without a reset."""
    await set_link_mode_temporarily(context, proxy.LinkMode.BLACKHOLE)


@fault("silence-connections")
async def silence_connections(context):
    """Silences open connections for good; new ones work."""
    await set_link_mode_temporarily(context, proxy.LinkMode.BLACKHOLE_EXISTING)


async def set_link_mode_temporarily(context, mode):
    """Sets the mode of the links between two domains for a while."""
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
    """Silences everything between the two regions."""
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
    """Takes the log service down."""
    await set_log_faults_temporarily(context, down=True)


@fault("log-slow")
async def log_slow(context):
    """Slows the log service down."""
    await set_log_faults_temporarily(context, slow_ms=SLOW_LOG_MS)


@fault("log-answers-lost")
async def log_answers_lost(context):
    """Loses answers of the log after the append took effect."""
    await set_log_faults_temporarily(context, lose_answers=LOST_ANSWERS_SHARE)


async def set_log_faults_temporarily(context, **log_faults):
    """Sets the faults of the log service for a while."""
    await context.cell.set_log_faults(**log_faults)
    await asyncio.sleep(FAULT_DURATION_S)
    await context.cell.set_log_faults()


@fault("host-list-wrong")
async def host_list_wrong(context):
    """Hides half of the workers from the platform's list."""
    cell = context.cell
    shown = cell.hosts
    half = [host for host in shown if context.rng.random() < 0.5]
    await cell.publish_hosts(lag_s=0.1, hosts=half or shown[:1])
    await asyncio.sleep(FAULT_DURATION_S)
    await cell.publish_hosts(lag_s=0.1)


@fault("worker-leaves")
async def worker_leaves(context):
    """Lets a worker leave; starts after 3 s are counted against us."""
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
    """Lets a worker fail every task that it starts."""
    worker = context.random_worker()
    await set_worker_faults(context.cell, worker, fail_all=True)
    await asyncio.sleep(FAULT_DURATION_S)
    await set_worker_faults(context.cell, worker, fail_all=False)


async def set_worker_faults(cell, worker, **faults):
    """Sets the faults of a worker if it answers."""
    try:
        await cell.post(
            worker.address, "/faults", worker_standin.Faults(**faults)
        )
    except (OSError, TimeoutError):
        return


@fault("freeze-worker")
async def freeze_worker(context):
    """Freezes a worker for longer than every lease, then thaws it."""
    worker = context.random_worker()
    worker.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_DURATION_S)
    worker.signal(signal.SIGCONT)


@fault("kill-worker")
async def kill_worker(context):
    """Kills a worker and starts it again."""
    worker = context.random_worker()
    if not worker.is_running():
        return
    await worker.kill()
    await asyncio.sleep(FAULT_DURATION_S / 2)
    await worker.start()


@fault("lose-domain")
async def lose_domain(context):
    """Loses all entry hosts and workers of a failure domain."""
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
    """Lets two operators change the same revision at once."""
    cell = context.cell
    one, other = context.random_entry_host(), context.random_entry_host()
    shown = await cell.get(one.address, "/v1/configuration")
    if shown is None:
        return
    base = msgspec.json.decode(shown, type=messages.Configuration)
    serial = context.rng.randrange(10**9)
    replies = await asyncio.gather(
        submit_change(cell, one, base, f"race-{serial}-a", 1),
        submit_change(cell, other, base, f"race-{serial}-b", 2),
    )
    context.racing_changes.append((base.revision, replies))


async def submit_change(cell, entry, base, change_id, headroom_slots):
    """Applies one operator's change and returns its status."""
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
