"""Demonstration: a cell under load and faults, with checked guarantees."""

import argparse
import asyncio
import signal
import sys
import time

from cicadafold_schema import messages
import msgspec

from cicadafold_standins import callers
from cicadafold_standins import cells
from cicadafold_standins import checker
from cicadafold_standins import processes
from cicadafold_standins import testcell

__all__ = ["main"]

LOAD_S = 20.0
KILL_AT_S = 5.0
DRAIN_AT_S = 8.0
CHANGE_AT_S = 11.0
LEAVE_AT_S = 13.0
LEAVE_BOUND_S = 3.0
CHANGE_BOUND_S = 3.0
DEMO_SEED = 7


class Demo:
    """One run of the demonstration.

    Args:
        plan: Plan of the cell with its configuration and loads.
        load_s: Length of the load in seconds.

    Attributes:
        violations: Broken guarantees that the demonstration itself found.
        change_duration_s: Seconds until the configuration change was in
            force at all entry hosts, or None before that.
    """

    def __init__(self, *, plan, load_s):
        self.plan = plan
        self.load_s = load_s
        self.started_s = time.monotonic()
        self.violations = []
        self.change_duration_s = None

    def print_progress(self, text):
        """Prints a progress line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_s
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)

    async def run(self):
        """Runs the cell under load and faults and returns the summary."""
        cell = testcell.Cell(plan=self.plan)
        self.print_progress(
            f"Starting the cell {self.plan.name}; logs: {cell.folder}"
        )
        async with cell:
            self.print_progress(
                f"{len(cell.entries)} entry hosts and {len(cell.workers)} "
                f"workers are ready."
            )
            groups = [
                callers.Callers(
                    address=address,
                    region=region,
                    plan=self.plan,
                    seed=DEMO_SEED + index,
                )
                for index, (region, address) in enumerate(
                    cell.balancers.items()
                )
            ]
            self.print_progress(
                f"Callers send requests for {self.load_s:.0f} s."
            )
            fault_task = asyncio.create_task(self.inject_faults(cell))
            progress_task = asyncio.create_task(
                self.print_request_counts(groups)
            )
            shares = (2 / 3, 1 / 3)
            await asyncio.gather(
                *(
                    group.generate_load(duration_s=self.load_s, scale=share)
                    for group, share in zip(groups, shares, strict=True)
                )
            )
            self.print_progress(
                "The load has ended. Waiting for the last answers."
            )
            await asyncio.gather(
                *(group.wait_for_answers() for group in groups)
            )
            await fault_task
            progress_task.cancel()
            for group in groups:
                await group.close()
            return await self.summarize(cell, groups)

    async def print_request_counts(self, groups):
        """Prints the counts of sent and answered requests every 2.5 s."""
        while True:
            await asyncio.sleep(2.5)
            records = [r for group in groups for r in group.records]
            ended = sum(r.outcome is not None for r in records)
            self.print_progress(
                f"{len(records)} requests sent, {ended} answered."
            )

    async def inject_faults(self, cell):
        """Injects faults and operator actions while the load runs.

        Kills one rack's owner, drains another, changes the configuration
        and removes a worker.
        """
        await asyncio.sleep(KILL_AT_S)
        killed = await cell.owner_of("rack-1")
        self.print_progress(f"Killing {killed.name}, which owns rack-1.")
        killed.signal(signal.SIGKILL)
        await asyncio.sleep(DRAIN_AT_S - KILL_AT_S)
        drained = await cell.owner_of("rack-2")
        if drained is not None:
            self.print_progress(f"Draining {drained.name}, which owns rack-2.")
            drained.signal(signal.SIGTERM)
        await asyncio.sleep(CHANGE_AT_S - DRAIN_AT_S)
        await self.change_configuration(cell)
        await asyncio.sleep(max(0.0, LEAVE_AT_S - CHANGE_AT_S))
        await self.remove_worker(cell)

    async def change_configuration(self, cell):
        """Changes the configuration and waits until all entry hosts use it."""
        configuration = self.plan.configuration()
        configuration.headroom_slots = 2
        started_s = time.monotonic()
        status, _ = await cell.apply(
            configuration, change_id="demo-change", base=1
        )
        self.print_progress(f"Changing the configuration: status {status}.")

        async def change_in_force():
            for entry in cell.running_entry_hosts():
                body = await cell.get(entry.address, "/v1/configuration")
                if body is None:
                    continue
                current = msgspec.json.decode(
                    body, type=messages.Configuration
                )
                if current.revision != 2:
                    return False
            return True

        await cell.wait_for(change_in_force, what="the change is in force")
        self.change_duration_s = time.monotonic() - started_s
        self.print_progress(
            f"Revision 2 is in force after {self.change_duration_s:.2f} s."
        )
        if self.change_duration_s > CHANGE_BOUND_S:
            self.violations.append(
                checker.Violation(
                    guarantee=checker.Guarantee.CONFIGURATION,
                    text="the change was in force too late",
                )
            )

    async def remove_worker(self, cell):
        """Marks a worker as leaving in the platform's host list.

        A task that is started on the worker later than ``LEAVE_BOUND_S``
        after the list shows it as leaving counts as a violation.
        """
        name = "rack-3-w1"
        lag_s = 0.5
        self.print_progress(f"Marking worker {name} as leaving.")
        await cell.mark_leaving(name, lag_s=lag_s)
        await asyncio.sleep(lag_s + LEAVE_BOUND_S)
        worker = cell.workers[name]
        await cell.post(worker.address, "/faults", {"leaving": True})

    async def summarize(self, cell, groups):
        """Prints the tables of the run and returns its summary."""
        records = [r for group in groups for r in group.records]
        result = checker.check_records(
            records, cell.worker_records(), self.plan.kinds
        )
        result.violations.extend(self.violations)
        link_bytes, log_counters = await cell.counters()
        burn_report = await self.read_burn(cell)
        print_table(result)
        slots = sum(host.slots for host in cell.hosts)
        packing = result.slot_seconds / (slots * self.load_s)
        region_bytes = link_bytes["r1>r2"] + link_bytes["r2>r1"]
        print(
            f"overfills {result.overfills}, starts given twice "
            f"{result.given_twice}, starts on a leaving worker "
            f"{result.starts_while_leaving}"
        )
        print(
            f"slots in use {packing:.1%} of the load's time; "
            f"at most {result.peak_connections} connections to a worker"
        )
        print(
            f"between regions {region_bytes / 1e6:.2f} MB "
            f"({region_bytes / max(1, len(records)):.0f} bytes a request); "
            f"log appends {log_counters['appends']}, "
            f"at most {log_counters['peak_appends_per_s']} in a second"
        )
        print_burn(burn_report)
        for violation in result.violations[:20]:
            print(f"BROKEN {violation.guarantee.value}: {violation.text}")
        return {
            "cell": self.plan.name,
            "requests": len(records),
            "kinds": msgspec.to_builtins(result.kinds),
            "lost": sum(row.lost for row in result.kinds),
            "doubled": sum(row.doubled for row in result.kinds),
            "overfills": result.overfills,
            "packing": round(packing, 4),
            "region_bytes": region_bytes,
            "log_appends": log_counters["appends"],
            "log_append_bytes": log_counters["append_bytes"],
            "change_in_force_s": round(self.change_duration_s or 0.0, 3),
            "broken": len(result.violations),
        }

    async def read_burn(self, cell):
        """Returns the burn report of the cell, from any entry host."""
        entry = cell.running_entry_hosts()[0]
        body = await cell.get(entry.address, "/v1/reports/burn")
        return msgspec.json.decode(body, type=messages.BurnReport)


def print_table(result):
    """Prints the table of outcomes and times by kind."""
    print(
        f"{'kind':<16}{'accepted':>9}{'done':>7}{'not run':>8}"
        f"{'unknown':>8}{'failed':>7}{'lost':>5}{'doubled':>8}"
        f"{'answer p50/p99 ms':>20}{'waiting p50/p99 ms':>20}"
        f"{'decision p50/p99 ms':>21}"
    )
    for row in result.kinds:
        answer = f"{row.answer_p50_ms:.1f}/{row.answer_p99_ms:.1f}"
        waiting = f"{row.waiting_p50_ms:.1f}/{row.waiting_p99_ms:.1f}"
        decision = f"{row.decision_p50_ms:.2f}/{row.decision_p99_ms:.2f}"
        print(
            f"{row.kind:<16}{row.accepted:>9}{row.done:>7}"
            f"{row.not_run:>8}{row.unknown:>8}{row.failed:>7}"
            f"{row.lost:>5}{row.doubled:>8}{answer:>20}{waiting:>20}"
            f"{decision:>21}"
        )


def print_burn(report):
    """Prints the burn rate of each kind over the shortest window."""
    for kind in report.kinds:
        window = kind.windows[0]
        print(
            f"burn {kind.kind}: {window.burn:.2f} over {window.window_s} s "
            f"({window.good} good, {window.bad} bad; objective "
            f"{kind.objective_share:.1%} within {kind.objective_ms} ms)"
        )


def main():
    """Runs the demonstration; exits with 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--cell", default="tezgah", choices=cells.CELLS)
    parser.add_argument("--load-s", type=float, default=LOAD_S)
    arguments = parser.parse_args()
    demo = Demo(plan=cells.CELLS[arguments.cell](), load_s=arguments.load_s)
    summary = processes.run(demo.run())
    print(msgspec.json.encode(summary).decode())
    sys.exit(1 if summary["broken"] else 0)


if __name__ == "__main__":
    main()
