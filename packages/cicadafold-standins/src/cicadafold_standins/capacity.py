"""Measures how costs grow with the cell; docs/CAPACITY.md builds on it.

Members are real processes. Racks, workers, tasks and teams, in the numbers of
the largest cell, exist only as state in memory, held by the same classes that
serve them in the daemon.
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

__all__ = ["LinearFit", "fit_line", "main"]

MEMBER_COUNTS = (3, 7, 14, 24)
WORKER_COUNTS = (24, 240, 1200, 3400)
TASK_COUNTS = (1000, 10_000, 91_000)
TEAM_COUNTS = (10, 100, 540)
IDLE_DURATION_S = 8.0


class LinearFit(msgspec.Struct, kw_only=True):
    """Line fitted to measured points.

    Attributes:
        name: Measured quantity, with its unit.
        against: What was counted, such as members or workers.
        points: Pairs of count and measured value.
        slope: Increase of the value when the count grows by one.
        base: Value of the line at a count of zero.
    """

    name: str
    against: str
    points: list[tuple[float, float]]
    slope: float
    base: float


def fit_line(name, against, points):
    """Returns the least-squares line through measured points.

    Args:
        name: Measured quantity, with its unit.
        against: What was counted.
        points: Pairs of count and measured value.

    Examples:
        >>> fit_line("a", "b", [(1, 3.0), (2, 5.0)]).slope
        2.0
    """
    counts = [count for count, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(counts, values)
    return LinearFit(
        name=name,
        against=against,
        points=[(c, round(v, 4)) for c, v in points],
        slope=round(line.slope, 9),
        base=round(line.intercept, 4),
    )


async def measure_idle_members(count):
    """Measures a cell of idle members that own no rack.

    Args:
        count: Number of members.

    Returns:
        Means over the members: share of a core, resident memory in MB and
        bytes sent in a second.
    """
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
        started_s = time.monotonic()
        await asyncio.sleep(IDLE_DURATION_S)
        elapsed_s = time.monotonic() - started_s
        shares = [
            (processes.cpu_seconds(e.pid) - before) / elapsed_s
            for e, before in zip(others, cpu, strict=True)
        ]
        rates = [
            (processes.sent_bytes(e.pid) - before) / elapsed_s
            for e, before in zip(others, sent, strict=True)
        ]
        memory_mb = [processes.resident_mb(e.pid) for e in others]
    return (
        statistics.mean(shares),
        statistics.mean(memory_mb),
        statistics.mean(rates),
    )


async def fit_member_costs():
    """Returns the cost lines of idle members, for 3 to 24 members."""
    shares, memory_mb, rates = [], [], []
    for count in MEMBER_COUNTS:
        share, megabytes, rate = await measure_idle_members(count)
        shares.append((count, share * 100))
        memory_mb.append((count, megabytes))
        rates.append((count, rate))
        print_progress(
            f"{count} members: {share:.2%}, {megabytes:.1f} MB, {rate:.0f} B/s"
        )
    return [
        fit_line(
            "processor of an idle member, % of a core", "members", shares
        ),
        fit_line("memory of an idle member, MB", "members", memory_mb),
        fit_line("sent by an idle member, bytes/s", "members", rates),
    ]


async def fit_worker_costs():
    """Returns the cost lines of routing and owners, 24 to 3,400 workers."""
    route_times_us, placement_times_us, memory_mb = [], [], []
    claimer_passes_ms, lists, sizes = [], [], []
    for count in WORKER_COUNTS:
        _, route_us = state_costs.measure_routing(count)
        worker_bytes, _, placement_us = await state_costs.measure_rack_owner(
            count, state_costs.DECISION_COUNT
        )
        claimer_passes_ms.append(
            (count, await state_costs.measure_rack_claimer(count))
        )
        kilobytes, list_ms = state_costs.measure_host_list(count)
        lists.append((count, list_ms))
        sizes.append((count, kilobytes))
        route_times_us.append((count, route_us))
        placement_times_us.append((count, placement_us))
        memory_mb.append((count, worker_bytes * count / 1e6))
        print_progress(
            f"{count} workers: route p99 {route_us:.0f} us, placement p99 "
            f"{placement_us:.0f} us, {worker_bytes:.0f} bytes a worker"
        )
    return [
        fit_line(
            "choosing and redirecting, p99 us", "workers", route_times_us
        ),
        fit_line("placing in a rack, p99 us", "workers", placement_times_us),
        fit_line("owner's state of idle workers, MB", "workers", memory_mb),
        fit_line(
            "one pass of the rack claimer over all racks, ms",
            "workers",
            claimer_passes_ms,
        ),
        fit_line("taking in an equal host list, ms", "workers", lists),
        fit_line("host list, KB received", "workers", sizes),
    ]


def fit_request_costs():
    """Returns the cost lines of 1,000 to 91,000 open requests."""
    rack_requests_mb, control_state_mb, apply_times_us, snapshot_sizes_mb = (
        [],
        [],
        [],
        [],
    )
    for count in TASK_COUNTS:
        megabytes, apply_us, snapshot_mb = state_costs.measure_control_state(
            count
        )
        rack_requests_mb.append(
            (count, state_costs.measure_rack_requests(count))
        )
        control_state_mb.append((count, megabytes))
        apply_times_us.append((count, apply_us))
        snapshot_sizes_mb.append((count, snapshot_mb))
        print_progress(
            f"{count} requests: rack owners {rack_requests_mb[-1][1]:.1f} MB, "
            f"control state {megabytes:.1f} MB, applying a record "
            f"{apply_us:.1f} us, snapshot {snapshot_mb:.1f} MB"
        )
    return [
        fit_line("running requests at owners, MB", "tasks", rack_requests_mb),
        fit_line(
            "ledger of every member, MB", "open requests", control_state_mb
        ),
        fit_line(
            "folding one accept record, us", "open requests", apply_times_us
        ),
        fit_line("snapshot, MB", "open requests", snapshot_sizes_mb),
    ]


def fit_team_costs():
    """Returns the cost lines of fair queueing, for 10 to 540 teams."""
    serve_times_us, sizes = [], []
    for count in TEAM_COUNTS:
        serve_times_us.append((count, state_costs.measure_fair_queue(count)))
        sizes.append((count, state_costs.measure_configuration(count)))
        print_progress(
            f"{count} teams: dequeue p99 {serve_times_us[-1][1]:.0f} us"
        )
    return [
        fit_line("serving the fairest team, p99 us", "teams", serve_times_us),
        fit_line("one configuration record, KB", "teams", sizes),
    ]


def fit_renewal_size():
    """Returns the line of a renewal's size by number of renewed leases."""
    sizes = []
    for count in (1, 27):
        request = platform.RenewRequest(
            fence=100_000,
            until_ms=10_000_000,
            tasks=[f"request-{number:08d}" for number in range(count)],
        )
        sizes.append((count, float(len(msgspec.json.encode(request)))))
    return [fit_line("body of a renewal, bytes", "leases on a worker", sizes)]


def print_progress(text):
    """Prints a progress line to standard error."""
    print(text, file=sys.stderr, flush=True)


async def measure_all():
    """Runs all measurements and returns their fitted lines."""
    fits = fit_team_costs() + fit_renewal_size() + fit_request_costs()
    fits += await fit_worker_costs()
    fits += await fit_member_costs()
    return fits


def format_table(fits):
    """Returns the fitted lines as a Markdown table."""
    lines = [
        "| what | against | points | slope | base |",
        "|---|---|---|---|---|",
    ]
    for fit in fits:
        points = ", ".join(f"{c:g}: {v:g}" for c, v in fit.points)
        lines.append(
            f"| {fit.name} | {fit.against} | {points} | "
            f"{fit.slope:.3g} | {fit.base:.3g} |"
        )
    return "\n".join(lines)


def main():
    """Runs all measurements, and prints and writes their table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    fits = processes.run(measure_all())
    results.write_text(format_table(fits), arguments.output)


if __name__ == "__main__":
    main()
