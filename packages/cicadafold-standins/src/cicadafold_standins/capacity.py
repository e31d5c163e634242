"""Measures the slopes from which docs/CAPACITY.md is worked out.

Members are real processes; racks, workers, tasks and teams at the letter's
size are state alone, held by the same code that serves them.
"""

import argparse
import asyncio
import statistics
import sys
import time

import msgspec

from cicadafold.platform import messages as platform
from cicadafold_standins import cells
from cicadafold_standins import processes
from cicadafold_standins import results
from cicadafold_standins import state_costs
from cicadafold_standins import testcell

__all__ = ["Slope", "fit", "main"]

MEMBER_COUNTS = (3, 7, 14, 24)
WORKER_COUNTS = (24, 240, 1200, 3400)
TASK_COUNTS = (1000, 10_000, 91_000)
TEAM_COUNTS = (10, 100, 540)
REST_S = 8.0


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
        others = [e for e in cell.running_entry_hosts() if e is not owner]
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


async def worker_slopes():
    """Measures routing and owners from 24 to 3,400 workers."""
    routes, decisions, memory = [], [], []
    looks, lists, sizes = [], [], []
    for count in WORKER_COUNTS:
        _, route_us = state_costs.measure_routing(count)
        per_worker, _, decide_us = await state_costs.measure_owner(
            count, state_costs.DECISIONS
        )
        looks.append((count, await state_costs.measure_rack_claimer(count)))
        kilobytes, list_ms = state_costs.measure_host_list(count)
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
        fit(
            "one pass of the rack claimer over all racks, ms", "workers", looks
        ),
        fit("taking in an equal host list, ms", "workers", lists),
        fit("host list, KB received", "workers", sizes),
    ]


def task_slopes():
    """Measures requests up to 91,000."""
    held, ledger, folds, snapshots = [], [], [], []
    for count in TASK_COUNTS:
        megabytes, fold_us, snapshot = state_costs.measure_ledger(count)
        held.append((count, state_costs.measure_tasks(count)))
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


def team_slopes():
    """Measures teams from 10 to 540."""
    serve, sizes = [], []
    for count in TEAM_COUNTS:
        serve.append((count, state_costs.measure_teams(count)))
        sizes.append((count, state_costs.measure_configuration(count)))
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
