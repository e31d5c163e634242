"""Checks the cell's guarantees under injected faults, with real processes.

Each round has a seed that determines its faults and its load. The check
uses only the records of the workers and the callers, never those of the
daemon under test.
"""

import argparse
import asyncio
import collections
import itertools
import random
import sys
import time

from cicadafold_schema import messages
import msgspec

from cicadafold_standins import callers
from cicadafold_standins import cells
from cicadafold_standins import checker
from cicadafold_standins import faults
from cicadafold_standins import processes
from cicadafold_standins import testcell

__all__ = [
    "FaultInjection",
    "RoundResult",
    "main",
    "plan_round",
    "small_layout",
]

FIRST_SEED = 1
LOAD_S = 5.0
FAULT_DELAY_S = 1.0
RETRY_WINDOW_S = 30.0
CONFIGURATION_BOUND_S = 3.0
SECONDS_PER_MINUTE = 60.0
PLANNED_STOPS = ("drain-owner", "rolling-replacement")

Guarantee = checker.Guarantee


class RoundResult(msgspec.Struct, kw_only=True):
    """Faults of one round and what the check found.

    Attributes:
        seed: Seed of the round.
        faults: Names of the injected faults.
        requests: Number of requests that callers submitted.
        violations: Violated guarantees.
        kinds: Counts and times by kind.
    """

    seed: int
    faults: tuple[str, ...]
    requests: int = 0
    violations: list[checker.Violation] = []
    kinds: list[checker.KindSummary] = []


def small_layout():
    """Returns a layout of 5 entry hosts and 9 workers in 3 domains."""
    return testcell.Layout(
        entries={"d1": 2, "d2": 1, "d3": 2},
        racks={
            "rack-1": ("d1", 3),
            "rack-2": ("d2", 3),
            "rack-3": ("d3", 3),
        },
    )


def plan_round(seed, chosen=None):
    """Returns the faults of a seed.

    The lowest seeds inject each fault once; higher ones inject a random
    pair.

    Args:
        seed: Seed of the round.
        chosen: Names of faults to use instead of those of the seed.

    Examples:
        >>> plan_round(5) == plan_round(5)
        True
    """
    if chosen:
        return tuple(chosen)
    names = sorted(faults.FAULTS)
    if seed <= len(names):
        return (names[seed - 1],)
    return tuple(random.Random(seed).sample(names, 2))


class FaultInjection:
    """Runs rounds of load and faults on one cell.

    Args:
        cell: The running cell.
        load_s: Duration of a round's load in seconds.
        scale: Factor applied to the plan's request rates, per region.
        retry_window_s: Time in seconds during which a caller submits a
            request again.

    Attributes:
        revision: Highest configuration revision seen so far.
    """

    def __init__(
        self, *, cell, load_s=LOAD_S, scale=0.4, retry_window_s=RETRY_WINDOW_S
    ):
        self.cell = cell
        self.load_s = load_s
        self.scale = scale
        self.retry_window_s = retry_window_s
        self.revision = 1

    async def run(self, seed, chosen=None):
        """Runs the round of a seed and returns its result."""
        result = RoundResult(seed=seed, faults=plan_round(seed, chosen))
        context = faults.FaultContext(cell=self.cell, rng=random.Random(seed))
        since_s = time.monotonic()
        groups = self.create_callers(seed)
        loads = [
            asyncio.create_task(
                group.generate_load(duration_s=self.load_s, scale=self.scale)
            )
            for group in groups
        ]
        await asyncio.sleep(FAULT_DELAY_S)
        await asyncio.gather(
            *(faults.FAULTS[name](context) for name in result.faults)
        )
        await asyncio.gather(*loads)
        await asyncio.gather(*(group.wait_for_answers() for group in groups))
        for group in groups:
            await group.close()
        await self.restore_cell()
        self.check_records(result, groups, since_s)
        await self.check_configuration(result, context)
        return result

    def create_callers(self, seed):
        """Returns the callers of each region."""
        return [
            callers.Callers(
                address=address,
                region=region,
                plan=self.cell.plan,
                seed=seed,
                retry_window_s=self.retry_window_s,
            )
            for region, address in self.cell.balancers.items()
        ]

    async def restore_cell(self):
        """Restarts ended entry hosts and waits until all racks are served."""
        for entry in self.cell.entries.values():
            if not entry.is_running():
                await entry.start()
        await self.cell.wait_ready(list(self.cell.entries.values()))
        await self.cell.wait_racks_owned()

    def check_records(self, result, groups, since_s):
        """Compares the callers' answers with the workers' run records."""
        records = [record for group in groups for record in group.records]
        checked = checker.check_records(
            records,
            self.cell.worker_records(),
            self.cell.plan.kinds,
            since_s=since_s,
        )
        result.requests = len(records)
        result.kinds = checked.kinds
        result.violations = checked.violations
        if all(name in PLANNED_STOPS for name in result.faults):
            self.check_planned_stop(result, records)

    def check_planned_stop(self, result, records):
        """Adds a violation for each request cut off by a planned stop."""
        for record in records:
            if record.broken:
                result.violations.append(
                    checker.Violation(
                        guarantee=Guarantee.GRACEFUL_STOP,
                        text=f"{record.request_id}: {record.last_error}",
                    )
                )

    async def check_configuration(self, result, context):
        """Checks that accepted configuration changes are in force everywhere.

        At most one of two racing changes may be accepted. Within
        ``CONFIGURATION_BOUND_S``, all entry hosts must show the same
        revision, and none older than in an earlier round.
        """
        for base, replies in context.racing_changes:
            if replies.count(200) > 1:
                result.violations.append(
                    checker.Violation(
                        guarantee=Guarantee.CONFIGURATION,
                        text=f"two changes of revision {base} were accepted",
                    )
                )
        end_s = time.monotonic() + CONFIGURATION_BOUND_S
        while True:
            revisions = await self.fetch_revisions()
            equal = len(set(revisions.values())) == 1
            not_older = min(revisions.values()) >= self.revision
            if equal and not_older:
                self.revision = max(revisions.values())
                return
            if time.monotonic() > end_s:
                text = (
                    f"entry hosts show revisions {revisions}, expected "
                    f"a single one of at least {self.revision}"
                )
                result.violations.append(
                    checker.Violation(
                        guarantee=Guarantee.CONFIGURATION, text=text
                    )
                )
                return
            await asyncio.sleep(0.1)

    async def fetch_revisions(self):
        """Returns the configuration revision in force, by entry host."""
        revisions = {}
        for entry in self.cell.running_entry_hosts():
            body = await self.cell.get(entry.address, "/v1/configuration")
            if body is not None:
                configuration = msgspec.json.decode(
                    body, type=messages.Configuration
                )
                revisions[entry.name] = configuration.revision
        return revisions


def print_round(result):
    """Prints a line for a round and one for each of its violations."""
    status = "BROKEN" if result.violations else "held"
    names = " + ".join(result.faults)
    rows = ", ".join(
        f"{row.kind} {row.done}/{row.accepted}"
        + (f" ({row.unknown} unknown)" if row.unknown else "")
        + (f" ({row.not_run} not run)" if row.not_run else "")
        + f" p99 {row.answer_p99_ms:.0f} max {row.answer_max_ms:.0f} ms"
        for row in result.kinds
    )
    print(f"seed {result.seed} {names}: {status}; {rows}", flush=True)
    for violation in result.violations[:10]:
        print(f"  BROKEN {violation.guarantee.value}: {violation.text}")


def print_summary(rounds):
    """Prints a line for each combination of guarantee and fault."""
    tries = collections.Counter()
    broken = collections.defaultdict(list)
    for result in rounds:
        violated = {violation.guarantee for violation in result.violations}
        for name, guarantee in itertools.product(result.faults, Guarantee):
            tries[(guarantee, name)] += 1
            if guarantee in violated:
                broken[(guarantee, name)].append(result.seed)
    for (guarantee, name), count in sorted(
        tries.items(), key=lambda item: (item[0][0].name, item[0][1])
    ):
        seeds = broken[(guarantee, name)]
        word = f"BROKEN seeds {seeds}" if seeds else "held"
        print(f"{guarantee.value} | {name} | {word} | {count} tries")


async def prove(arguments):
    """Runs rounds on one cell up to the given number or duration."""
    plan = cells.CELLS[arguments.cell]()
    rounds = []
    end_s = time.monotonic() + arguments.minutes * SECONDS_PER_MINUTE
    seeds = itertools.count(arguments.first_seed)
    if arguments.seed is not None:
        seeds = iter([arguments.seed])
    cell = testcell.Cell(
        plan=plan, layout=small_layout(), daemon=arguments.daemon
    )
    async with cell:
        print(f"logs: {cell.folder}", flush=True)
        injection = FaultInjection(cell=cell)
        for seed in seeds:
            if len(rounds) >= arguments.rounds or time.monotonic() > end_s:
                break
            rounds.append(await injection.run(seed, arguments.faults))
            print_round(rounds[-1])
    print_summary(rounds)
    return rounds


def main():
    """Runs the rounds; exits with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--cell", default="tezgah", choices=cells.CELLS)
    parser.add_argument("--daemon", default=testcell.DAEMON_MODULE)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--first-seed", type=int, default=FIRST_SEED)
    parser.add_argument("--rounds", type=int, default=10**9)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("faults", nargs="*", choices=[[], *faults.FAULTS])
    arguments = parser.parse_args()
    rounds = processes.run(prove(arguments))
    broken = sum(bool(result.violations) for result in rounds)
    requests = sum(result.requests for result in rounds)
    print(
        f"{len(rounds)} rounds, {requests} requests, "
        f"{len(rounds) - broken} held, {broken} BROKEN"
    )
    sys.exit(1 if broken or not rounds else 0)


if __name__ == "__main__":
    main()
