"""Compares two scheduling policies under the same load, in one run.

The baseline policy is first come, first served: the same kinds in one lane,
without headroom, under one team. It differs from the other policy by its
configuration only, so that both runs use the same processes. Arrival times
and run times come from the same seeds.
"""

import argparse
import asyncio
import sys
import time

from cicadafold_schema import messages
from cicadafold_standins import cells
from cicadafold_standins import checker
from cicadafold_standins import load
from cicadafold_standins import processes
from cicadafold_standins import prove
from cicadafold_standins import results
from cicadafold_standins import testcell

__all__ = ["PolicyComparison", "main"]

DURATION_S = 20.0
OVERLOAD_S = 10.0
PATIENT_RUN_MS = (200.0, 600.0)
URGENT_RUN_MS = (5.0, 15.0)
FULL_LOAD = 0.9
URGENT_SHARE = 0.03
OVERLOAD_FACTOR = 3.0
OVERLOAD_RUN_MS = (40.0, 60.0)
OVERLOAD_DEADLINE_MS = 1000
SEED = 11
MS_PER_S = 1000.0


def mean_run_s(run_ms):
    """Returns the mean of a range of run times, in seconds.

    Args:
        run_ms: Shortest and longest run time in milliseconds.
    """
    return sum(run_ms) / 2 / MS_PER_S


def make_kind(name, lane, **overrides):
    """Returns a kind of small, idempotent tasks that are not recorded.

    Args:
        name: Name of the kind.
        lane: Lane of the kind.
        **overrides: Fields of the kind that replace the defaults.
    """
    defaults = {
        "cores": 1,
        "memory_mb": 512,
        "deadline_ms": 30_000,
        "lease_ms": 3000,
    }
    return messages.Kind(
        name=name,
        lane=lane,
        shape=messages.Shape.task,
        idempotent=True,
        durable=False,
        **{**defaults, **overrides},
    )


def priority_lanes_configuration():
    """Returns a configuration with an urgent lane and one headroom slot."""
    return messages.Configuration(
        revision=0,
        kinds=[
            make_kind("urgent", messages.Lane.urgent),
            make_kind("batch", messages.Lane.patient),
            make_kind(
                "burst",
                messages.Lane.urgent,
                deadline_ms=OVERLOAD_DEADLINE_MS,
            ),
        ],
        teams=[messages.Team(name="t")],
        headroom_slots=1,
    )


def fifo_configuration():
    """Returns a configuration that serves first come, first served."""
    configuration = priority_lanes_configuration()
    for kind in configuration.kinds:
        kind.lane = messages.Lane.patient
    configuration.headroom_slots = 0
    return configuration


class PolicyComparison:
    """Measures both policies, and an overload, on one cell.

    Args:
        cell: Running cell.

    Attributes:
        slots: Slots of all workers.
        revision: Revision of the configuration in force.
        trace: Number of the current load. It is part of the request ids, so
            that loads with the same seed do not share ids.
        load_started_s: Start of the current load, on the monotonic clock.
    """

    def __init__(self, *, cell):
        self.cell = cell
        self.slots = sum(host.slots for host in cell.hosts)
        self.revision = 1
        self.trace = 0
        self.load_started_s = 0.0

    async def run(self):
        """Runs all loads and returns their figures."""
        figures = {}
        for name, configuration in (
            ("first_come", fifo_configuration()),
            ("lanes", priority_lanes_configuration()),
        ):
            await self.apply_configuration(configuration, name)
            figures[name] = await self.measure_mix()
            print_progress(f"{name}: {figures[name]}")
        figures["peak"] = await self.measure_burst(1.0)
        figures["overload"] = await self.measure_burst(OVERLOAD_FACTOR)
        figures["urgent_p99_ratio"] = round(
            figures["first_come"]["urgent_answer_p99_ms"]
            / figures["lanes"]["urgent_answer_p99_ms"],
            2,
        )
        figures["goodput_ratio"] = round(
            figures["overload"]["done_per_s"] / figures["peak"]["done_per_s"],
            3,
        )
        return figures

    async def apply_configuration(self, configuration, name):
        """Applies a configuration on top of the current revision.

        Args:
            configuration: Configuration to apply.
            name: Name of the policy, part of the change id.

        Raises:
            RuntimeError: The cell rejected the change.
        """
        status, body = await self.cell.apply(
            configuration, change_id=f"run-{name}", base=self.revision
        )
        if status != 200:
            raise RuntimeError(body)
        self.revision += 1
        await asyncio.sleep(1.0)

    async def measure_mix(self):
        """Measures urgent and batch requests that use 90% of the slots.

        Arrival times and run times are the same for both policies.
        """
        busy_slots = self.slots * FULL_LOAD
        urgent_per_s = busy_slots * URGENT_SHARE / mean_run_s(URGENT_RUN_MS)
        batch_per_s = (
            busy_slots * (1 - URGENT_SHARE) / mean_run_s(PATIENT_RUN_MS)
        )
        records = await self.generate_load(
            [
                make_mix_entry("urgent", urgent_per_s, URGENT_RUN_MS),
                make_mix_entry("batch", batch_per_s, PATIENT_RUN_MS),
            ],
            DURATION_S,
        )
        result = load.summarize(records, DURATION_S)
        busy_slot_s = sum(
            max(0.0, run.ended_s - run.started_s)
            for runs in self.cell.worker_records().values()
            for run in runs
            if run.started_s >= self.load_started_s
        )
        return {
            "urgent_requests": result.kinds["urgent"].requests,
            "urgent_outcomes": result.kinds["urgent"].outcomes,
            "urgent_waiting_p99_ms": result.kinds["urgent"].waiting_ms["p99"],
            "urgent_answer_p99_ms": result.kinds["urgent"].answer_ms["p99"],
            "batch_outcomes": result.kinds["batch"].outcomes,
            "batch_answer_p99_ms": result.kinds["batch"].answer_ms["p99"],
            "slots_in_use": round(busy_slot_s / (self.slots * DURATION_S), 3),
        }

    async def measure_burst(self, factor):
        """Measures urgent requests at a multiple of the full load.

        Args:
            factor: Multiple of the rate that uses 90% of the slots.
        """
        rate_per_s = (
            self.slots / mean_run_s(OVERLOAD_RUN_MS) * factor * FULL_LOAD
        )
        records = await self.generate_load(
            [make_mix_entry("burst", rate_per_s, OVERLOAD_RUN_MS)], OVERLOAD_S
        )
        done = [r for r in records if r.outcome is checker.Outcome.done]
        attempts = sum(r.attempts for r in records)
        return {
            "offered_per_s": round(rate_per_s),
            "done_per_s": round(len(done) / OVERLOAD_S, 1),
            "attempts_per_request": round(attempts / len(records), 2),
            "outcomes": load.summarize(records, OVERLOAD_S)
            .kinds["burst"]
            .outcomes,
        }

    async def generate_load(self, entries, duration_s):
        """Sends a mix of requests from the callers of both regions.

        The rate is divided in proportion to the racks of the regions.

        Args:
            entries: Kinds of the mix with their rates.
            duration_s: Length of the load in seconds.

        Returns:
            The call records of all callers.
        """
        self.trace += 1
        self.load_started_s = time.monotonic()
        shares = {"r1": 2 / 3, "r2": 1 / 3}
        record_groups = await asyncio.gather(
            *(
                load.generate_load(
                    load.LoadFile(
                        seed=SEED + index,
                        label=f"t{self.trace}-",
                        duration_s=duration_s,
                        patience_s=1.0,
                        mix=[
                            make_mix_entry(
                                m.kind, m.rate_per_s * shares[region], m.run_ms
                            )
                            for m in entries
                        ],
                    ),
                    [
                        entry.address
                        for entry in self.cell.entries.values()
                        if entry.region == region
                    ],
                    region,
                )
                for index, region in enumerate(sorted(self.cell.balancers))
            )
        )
        return [record for group in record_groups for record in group]


def make_mix_entry(kind, rate_per_s, run_ms):
    """Returns an entry of the mix for the only team."""
    return load.MixEntry(
        kind=kind, team="t", rate_per_s=rate_per_s, run_ms=run_ms
    )


def print_progress(text):
    """Prints a progress line to standard error."""
    print(text, file=sys.stderr, flush=True)


async def run_comparison():
    """Runs the comparison on the small cell, without its proxy."""
    plan = cells.CELLS["tezgah"]()
    layout = prove.small_layout()
    layout.proxied = False
    cell = testcell.Cell(plan=plan, layout=layout)
    async with cell:
        return await PolicyComparison(cell=cell).run()


def main():
    """Runs the comparison, and prints and writes its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    figures = processes.run(run_comparison())
    results.write_json(figures, arguments.output)


if __name__ == "__main__":
    main()
