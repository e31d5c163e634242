"""Compares policies on the same trace and seed, in one run.

The naive policy is first come, first served: the same kinds in one lane,
without headroom, under one team. It is made by configuration alone, so
that both runs use the same processes.
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
    """Returns the mean run time in seconds."""
    return sum(run_ms) / 2 / MS_PER_S


def make_kind(name, lane, **changes):
    """Returns a kind of small, unrecorded, idempotent work."""
    fields = {
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
        **{**fields, **changes},
    )


def priority_lanes_configuration():
    """Returns the configuration with an urgent lane and headroom."""
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
    """Returns the configuration of first come, first served."""
    configuration = priority_lanes_configuration()
    for kind in configuration.kinds:
        kind.lane = messages.Lane.patient
    configuration.headroom_slots = 0
    return configuration


class PolicyComparison:
    """Runs both policies, and an overload, on one cell."""

    def __init__(self, *, cell):
        self.cell = cell
        self.slots = sum(host.slots for host in cell.hosts)
        self.revision = 1
        self.trace = 0
        self.load_started_s = 0.0

    async def run(self):
        """Returns the figures of all runs."""
        found = {}
        for name, configuration in (
            ("first_come", fifo_configuration()),
            ("lanes", priority_lanes_configuration()),
        ):
            await self.apply_configuration(configuration, name)
            found[name] = await self.measure_mix()
            print_progress(f"{name}: {found[name]}")
        found["peak"] = await self.measure_burst(1.0)
        found["overload"] = await self.measure_burst(OVERLOAD_FACTOR)
        found["urgent_p99_ratio"] = round(
            found["first_come"]["urgent_answer_p99_ms"]
            / found["lanes"]["urgent_answer_p99_ms"],
            2,
        )
        found["goodput_ratio"] = round(
            found["overload"]["done_per_s"] / found["peak"]["done_per_s"], 3
        )
        return found

    async def apply_configuration(self, configuration, name):
        """Applies a configuration on the current revision."""
        status, body = await self.cell.apply(
            configuration, change_id=f"run-{name}", base=self.revision
        )
        if status != 200:
            raise RuntimeError(body)
        self.revision += 1
        await asyncio.sleep(1.0)

    async def measure_mix(self):
        """Offers urgent and batch work up to 90% of the slots.

        Both policies get the same arrival and run times.
        """
        busy = self.slots * FULL_LOAD
        urgent = busy * URGENT_SHARE / mean_run_s(URGENT_RUN_MS)
        batch = busy * (1 - URGENT_SHARE) / mean_run_s(PATIENT_RUN_MS)
        records = await self.generate_load(
            [
                make_mix_entry("urgent", urgent, URGENT_RUN_MS),
                make_mix_entry("batch", batch, PATIENT_RUN_MS),
            ],
            DURATION_S,
        )
        result = load.summarize(records, DURATION_S)
        slot_s = sum(
            max(0.0, run.ended_s - run.started_s)
            for found in self.cell.worker_records().values()
            for run in found
            if run.started_s >= self.load_started_s
        )
        return {
            "urgent_requests": result.kinds["urgent"].requests,
            "urgent_outcomes": result.kinds["urgent"].outcomes,
            "urgent_waiting_p99_ms": result.kinds["urgent"].waiting_ms["p99"],
            "urgent_answer_p99_ms": result.kinds["urgent"].answer_ms["p99"],
            "batch_outcomes": result.kinds["batch"].outcomes,
            "batch_answer_p99_ms": result.kinds["batch"].answer_ms["p99"],
            "slots_in_use": round(slot_s / (self.slots * DURATION_S), 3),
        }

    async def measure_burst(self, factor):
        """Offers urgent work of a multiple of the capacity."""
        rate = self.slots / mean_run_s(OVERLOAD_RUN_MS) * factor * FULL_LOAD
        records = await self.generate_load(
            [make_mix_entry("burst", rate, OVERLOAD_RUN_MS)], OVERLOAD_S
        )
        done = [r for r in records if r.outcome is checker.Outcome.done]
        attempts = sum(r.attempts for r in records)
        return {
            "offered_per_s": round(rate),
            "done_per_s": round(len(done) / OVERLOAD_S, 1),
            "attempts_per_request": round(attempts / len(records), 2),
            "outcomes": load.summarize(records, OVERLOAD_S)
            .kinds["burst"]
            .outcomes,
        }

    async def generate_load(self, mixes, duration_s):
        """Offers a mix from both regions, by the size of their racks."""
        self.trace += 1
        self.load_started_s = time.monotonic()
        shares = {"r1": 2 / 3, "r2": 1 / 3}
        found = await asyncio.gather(
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
                            for m in mixes
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
        return [record for group in found for record in group]


def make_mix_entry(kind, rate_per_s, run_ms):
    """Returns one kind of a mix."""
    return load.MixEntry(
        kind=kind, team="t", rate_per_s=rate_per_s, run_ms=run_ms
    )


def print_progress(text):
    """Prints a line of progress."""
    print(text, file=sys.stderr, flush=True)


async def run_comparison():
    """Runs the comparison on the small cell."""
    plan = cells.CELLS["tezgah"]()
    layout = prove.small_layout()
    layout.proxied = False
    cell = testcell.Cell(plan=plan, layout=layout)
    async with cell:
        return await PolicyComparison(cell=cell).run()


def main():
    """Runs the comparison and writes its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    found = processes.run(run_comparison())
    results.write_json(found, arguments.output)


if __name__ == "__main__":
    main()
