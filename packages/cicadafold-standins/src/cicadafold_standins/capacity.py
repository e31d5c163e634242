"""Measures the slopes from which docs/CAPACITY.md is worked out.

Members are real processes; racks, workers, tasks and teams at the letter's
size are state alone, held by the same code that serves them.
"""

import argparse
import asyncio
import statistics
import sys
import time
import tracemalloc
import types

import msgspec

from cicadafold.controllog import fold
from cicadafold.controllog import records
from cicadafold.controllog import state as control_state
from cicadafold import hosts as host_tables
from cicadafold.membership import messages as gossip
from cicadafold.membership import view as membership_view
from cicadafold.ownership import keeper
from cicadafold.ownership import rack as rack_owner
from cicadafold.ownership import target_link
from cicadafold.ownership import work as rack_work
from cicadafold.peerlink import frames
from cicadafold.placement import lanes
from cicadafold.placement import routing
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
from cicadafold_standins import cells
from cicadafold_standins import memory
from cicadafold_standins import processes
from cicadafold_standins import results
from cicadafold_standins import testcell

__all__ = ["Slope", "fit", "main"]

MEMBER_COUNTS = (3, 7, 14, 24)
WORKER_COUNTS = (24, 240, 1200, 3400)
TASK_COUNTS = (1000, 10_000, 91_000)
TEAM_COUNTS = (10, 100, 540)
WORKERS_PER_RACK = 8
ACCELERATORS = 7500
REST_S = 8.0
DECISIONS = 2000
MICROSECONDS = 1e6


class Slope(msgspec.Struct, kw_only=True):
    """A measured line.

    Attributes:
        name: What was measured, with its unit.
        against: What it was measured against.
        points: Pairs of count and value.
        slope: Value for each more of the count.
        base: Value at a count of zero.
    """

    name: str
    against: str
    points: list[tuple[float, float]]
    slope: float
    base: float


def fit(name, against, points):
    """Fits a line by least squares.

    Examples:
        >>> fit("a", "b", [(1, 3.0), (2, 5.0)]).slope
        2.0
    """
    counts = [count for count, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(counts, values)
    return Slope(
        name=name,
        against=against,
        points=[(c, round(v, 4)) for c, v in points],
        slope=round(line.slope, 9),
        base=round(line.intercept, 4),
    )


# Members: real processes at rest.


async def measure_members(count):
    """Returns processor share, memory and bytes of an idle member."""
    layout = testcell.Layout(
        entries={"d1": count},
        racks={"rack-1": ("d1", 2)},
        regions={"d1": "r1"},
        proxied=False,
    )
    cell = testcell.Cell(plan=cells.CELLS["tezgah"](), layout=layout)
    async with cell:
        await asyncio.sleep(4.0)
        owner = await cell.owner_of("rack-1")
        others = [e for e in cell.running_entries() if e is not owner]
        cpu = [processes.cpu_seconds(e.pid) for e in others]
        sent = [processes.sent_bytes(e.pid) for e in others]
        began_s = time.monotonic()
        await asyncio.sleep(REST_S)
        elapsed_s = time.monotonic() - began_s
        shares = [
            (processes.cpu_seconds(e.pid) - before) / elapsed_s
            for e, before in zip(others, cpu, strict=True)
        ]
        rates = [
            (processes.sent_bytes(e.pid) - before) / elapsed_s
            for e, before in zip(others, sent, strict=True)
        ]
        memory = [processes.resident_mb(e.pid) for e in others]
    return (
        statistics.mean(shares),
        statistics.mean(memory),
        statistics.mean(rates),
    )


async def member_slopes():
    """Measures idle members from 3 to 24."""
    shares, memory, rates = [], [], []
    for count in MEMBER_COUNTS:
        share, megabytes, rate = await measure_members(count)
        shares.append((count, share * 100))
        memory.append((count, megabytes))
        rates.append((count, rate))
        say(
            f"{count} members: {share:.2%}, {megabytes:.1f} MB, {rate:.0f} B/s"
        )
    return [
        fit("processor of an idle member, % of a core", "members", shares),
        fit("memory of an idle member, MB", "members", memory),
        fit("sent by an idle member, bytes/s", "members", rates),
    ]


# Workers: the state of all racks, and one decision.


def make_hosts(count):
    """Returns workers in racks of 8, some with accelerators."""
    hosts = []
    for index in range(count):
        rack = index // WORKERS_PER_RACK
        host = memory.make_host(f"w{index}", slots=64, cores=64.0)
        host.rack = f"rack-{rack}"
        host.region = f"r{rack % 5}"
        host.failure_domain = f"d{rack % 19}"
        host.accelerators = ACCELERATORS * count // 3400 // count
        hosts.append(host)
    return hosts


def host_table(hosts):
    """Returns a host table that holds a fixed list."""
    table = host_tables.HostTable(source=None, recorded=dict)
    table.listed = hosts
    table.rebuild()
    return table


def measure_routing(count):
    """Returns the microseconds of choosing a home rack, p50 and p99."""
    table = host_table(make_hosts(count))
    state = control_state.ControlState()
    view = membership_view.MembershipView(
        name="m", incarnation="i", state=lambda: state
    )
    for rack in table.racks:
        view.merge_digest(
            gossip.Digest(
                rack=rack,
                term=1,
                serial=1,
                free_slots=8,
                patient_slots=8,
                queued=0,
                wait_ms=0,
            )
        )
    made = routing.Routing(hosts=table, view=view, region="r1")
    kind = memory.make_kind()
    for number in range(routing.HOME_BUCKETS * 3):
        next(made.candidates(f"warm-{number}", "r1", kind, 0))
    times = []
    for number in range(DECISIONS):
        began = time.perf_counter()
        rack = next(made.candidates(f"q{number}", "r1", kind, 0))
        made.rack_with_room(rack, kind, wait_ms=0, price_ms=1, headroom=0)
        times.append((time.perf_counter() - began) * MICROSECONDS)
    return percentile(times, 0.5), percentile(times, 0.99)


def percentile(values, share):
    """Returns a percentile."""
    return sorted(values)[int(share * (len(values) - 1))]


async def measure_owner(count, tasks):
    """Returns memory and decision time of an owner of workers.

    Returns:
        Bytes for each worker with its tasks, and the microseconds of one
        placement in a rack, p50 and p99.
    """
    hosts = make_hosts(count)
    node = memory.FakeNode(
        kinds=[memory.make_kind(lease_ms=60_000)], hosts=hosts
    )
    for target in node.targets.values():
        target.hold = True
    by_rack = {}
    for host in hosts:
        by_rack.setdefault(host.rack, []).append(host)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    owners = [
        rack_owner.RackOwner(name=rack, term=1, hosts=found, node=node)
        for rack, found in by_rack.items()
    ]
    while not all(
        link.state is target_link.LinkState.READY
        for owner in owners
        for link in owner.links.values()
    ):
        await asyncio.sleep(0.05)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    times = []
    for number in range(tasks):
        owner = owners[number % len(owners)]
        began = time.perf_counter()
        owner.submit(dispatch(owner.name, number), ignore)
        times.append((time.perf_counter() - began) * MICROSECONDS)
        if number % 500 == 0:
            await asyncio.sleep(0)
    for owner in owners:
        owner.retire()
    for target in node.targets.values():
        target.hold = False
    await asyncio.sleep(0.1)
    return (
        (after - before) / count,
        percentile(times, 0.5),
        percentile(times, 0.99),
    )


async def measure_keeper(count):
    """Returns the milliseconds of one look at all racks."""
    table = host_table(make_hosts(count))
    state = control_state.ControlState()
    view = membership_view.MembershipView(
        name="m0", incarnation="i", state=lambda: state
    )
    for index in range(24):
        name = f"m{index}"
        state.members[name] = control_state.MemberEntry(
            name=name,
            incarnation="i",
            address="127.0.0.1:1",
            failure_domain=f"d{index % 19}",
            region=f"r{index % 5}",
            joined_at=1,
        )
    for index, rack in enumerate(table.racks):
        state.owners[rack] = control_state.Ownership(
            member=f"m{1 + index % 23}", incarnation="i", term=1
        )
    node = types.SimpleNamespace(
        name="m0",
        incarnation="i",
        region="r0",
        hosts=table,
        view=view,
        tail=types.SimpleNamespace(state=state),
    )
    made = keeper.Keeper(node=node)
    began = time.process_time()
    for _ in range(20):
        made.follow()
        await made.claim_orphans()
        await made.hand_over()
    return (time.process_time() - began) / 20 * 1000


def measure_host_list(count):
    """Returns kilobytes, and milliseconds of taking in an equal list."""
    hosts = make_hosts(count)
    body = msgspec.json.encode(platform.HostList(hosts=hosts))
    table = host_table(hosts)
    began = time.process_time()
    table.listed = msgspec.json.decode(body, type=platform.HostList).hosts
    table.rebuild()
    used = time.process_time() - began
    return len(body) / 1e3, used * 1000


def ignore(reply):
    """Takes a reply and does nothing."""


def dispatch(rack, number):
    """Returns a dispatch of an urgent task."""
    return frames.Dispatch(
        serial=1,
        rack=rack,
        request_id=f"q{number}",
        kind="k",
        team="t",
        payload="",
        attempt=0,
        first=True,
        budget_ms=600_000,
        age_ms=1,
        hops=1,
        spent_us=0,
    )


async def worker_slopes():
    """Measures routing and owners from 24 to 3,400 workers."""
    routes, decisions, memory = [], [], []
    looks, lists, sizes = [], [], []
    for count in WORKER_COUNTS:
        _, route_us = measure_routing(count)
        per_worker, _, decide_us = await measure_owner(count, DECISIONS)
        looks.append((count, await measure_keeper(count)))
        kilobytes, list_ms = measure_host_list(count)
        lists.append((count, list_ms))
        sizes.append((count, kilobytes))
        routes.append((count, route_us))
        decisions.append((count, decide_us))
        memory.append((count, per_worker * count / 1e6))
        say(
            f"{count} workers: route p99 {route_us:.0f} us, placement p99 "
            f"{decide_us:.0f} us, {per_worker:.0f} bytes a worker"
        )
    return [
        fit("choosing and redirecting, p99 us", "workers", routes),
        fit("placing in a rack, p99 us", "workers", decisions),
        fit("owner's state of idle workers, MB", "workers", memory),
        fit("one look at all racks by the keeper, ms", "workers", looks),
        fit("taking in an equal host list, ms", "workers", lists),
        fit("host list, KB received", "workers", sizes),
    ]


# Tasks: the state of held requests, the ledger and its fold.


def measure_tasks(count):
    """Returns the megabytes of running requests at their owner."""
    kind = memory.make_kind()
    tracemalloc.start()
    works = {}
    for number in range(count):
        work = rack_work.Work(
            request_id=f"request-{number}",
            kind=kind,
            team="t",
            payload="x" * 64,
            deadline_ms=1.0,
        )
        work.tasks[work.request_id] = rack_work.RackTask(
            task_id=work.request_id, link=None, size=None, on_end=None
        )
        works[work.request_id] = work
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return megabytes


def measure_ledger(count):
    """Returns megabytes and fold time of recorded requests."""
    state = control_state.ControlState()
    batches = []
    for number in range(count):
        accept = records.Accept(
            request_id=f"request-{number}",
            member="entry-1",
            incarnation="abcdef01",
            nonce="0123456789ab",
            kind="k",
            team="t",
            region="r",
            deadline_ms=1000,
            payload="x" * 64,
        )
        batches.append(records.encode_entry([accept]))
    tracemalloc.start()
    began = time.process_time()
    for offset, body in enumerate(batches, start=1):
        entry = platform.LogEntry(
            offset=offset, at_ms=offset, body=msgspec.Raw(body)
        )
        fold.fold_entry(state, entry)
    used = time.process_time() - began
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    snapshot = len(msgspec.json.encode(state)) / 1e6
    return megabytes, used / count * MICROSECONDS, snapshot


def task_slopes():
    """Measures requests up to 91,000."""
    held, ledger, folds, snapshots = [], [], [], []
    for count in TASK_COUNTS:
        megabytes, fold_us, snapshot = measure_ledger(count)
        held.append((count, measure_tasks(count)))
        ledger.append((count, megabytes))
        folds.append((count, fold_us))
        snapshots.append((count, snapshot))
        say(
            f"{count} requests: held {held[-1][1]:.1f} MB, ledger "
            f"{megabytes:.1f} MB, fold {fold_us:.1f} us, snapshot "
            f"{snapshot:.1f} MB"
        )
    return [
        fit("running requests at owners, MB", "tasks", held),
        fit("ledger of every member, MB", "open requests", ledger),
        fit("folding one accept record, us", "open requests", folds),
        fit("snapshot, MB", "open requests", snapshots),
    ]


# Teams: fair shares and the configuration.


def measure_teams(count):
    """Returns the microseconds of serving the fairest team, p99."""
    kind = memory.make_kind(lane=messages.Lane.patient)
    queue = lanes.Lanes()
    for number in range(count * 4):
        queue.push(
            rack_work.Work(
                request_id=f"q{number}",
                kind=kind,
                team=f"team-{number % count}",
                payload="",
                deadline_ms=1.0,
            )
        )
    times = []
    for _ in range(min(DECISIONS, count * 3)):
        began = time.perf_counter()
        work = queue.first_patient(lambda team: True)
        queue.remove(work)
        queue.charge(work, cost=1.0, weight=1)
        times.append((time.perf_counter() - began) * MICROSECONDS)
    return percentile(times, 0.99)


def measure_configuration(count):
    """Returns the kilobytes of a configuration with teams."""
    configuration = messages.Configuration(
        revision=1,
        kinds=[memory.make_kind(f"kind-{n}") for n in range(20)],
        teams=[messages.Team(name=f"team-{n}") for n in range(count)],
    )
    return len(msgspec.json.encode(configuration)) / 1e3


def team_slopes():
    """Measures teams from 10 to 540."""
    serve, sizes = [], []
    for count in TEAM_COUNTS:
        serve.append((count, measure_teams(count)))
        sizes.append((count, measure_configuration(count)))
        say(f"{count} teams: serve p99 {serve[-1][1]:.0f} us")
    return [
        fit("serving the fairest team, p99 us", "teams", serve),
        fit("one configuration record, KB", "teams", sizes),
    ]


def renewal_bytes():
    """Returns the bytes of renewing one more lease on a worker."""
    sizes = []
    for count in (1, 27):
        request = platform.RenewRequest(
            fence=100_000,
            until_ms=10_000_000,
            tasks=[f"request-{number:08d}" for number in range(count)],
        )
        sizes.append((count, float(len(msgspec.json.encode(request)))))
    return [fit("body of a renewal, bytes", "leases on a worker", sizes)]


def say(text):
    """Prints a line of progress."""
    print(text, file=sys.stderr, flush=True)


async def measure():
    """Measures all slopes."""
    found = team_slopes() + renewal_bytes() + task_slopes()
    found += await worker_slopes()
    found += await member_slopes()
    return found


def table_of(slopes):
    """Returns the slopes as a table in Markdown."""
    lines = [
        "| what | against | points | slope | base |",
        "|---|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{c:g}: {v:g}" for c, v in slope.points)
        lines.append(
            f"| {slope.name} | {slope.against} | {points} | "
            f"{slope.slope:.3g} | {slope.base:.3g} |"
        )
    return "\n".join(lines)


def main():
    """Measures the slopes and writes their table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    slopes = processes.run(measure())
    results.write_text(table_of(slopes), arguments.output)


if __name__ == "__main__":
    main()
