"""Explores schedules of the product's code in virtual time.

The processes of a small cell run the product's own code over a simulated
network that delays and drops messages. Load, checks and most faults are
those of the soak; faults of the network are added. A seed reproduces the
same schedule if Python's string hashes are fixed (``PYTHONHASHSEED=0``).
"""

import argparse
import asyncio
import collections
import logging
import random
import sys

from pythonjsonlogger import json as json_logger

from cicadafold.telemetry import logs
from cicadafold_standins.fleet import faults
from cicadafold_standins.fleet import soak as soak_module
from cicadafold_standins.fleet import team_load
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

__all__ = ["FAULTS", "Report", "explore", "main"]

WORKERS = 5
WORK_MS = 250.0
# Tasks that run longer, so that the scheduler has some left to start while it
# is isolated.
ISOLATION_WORK_MS = 1000.0
LONGEST_CUT_S = 6.0
LONGEST_ISOLATION_S = 10.0
LONGEST_LOSS_S = 3.0
LONGEST_SLOW_STORE_S = 4.0
SLOW_APPEND_DELAY_S = (0.05, 0.8)
LONGEST_CLOCK_STEP_S = 6.0
CLOCK_STEP_MS = (500.0, 5000.0)
# Events counted by the product that no fault may cause.
UNEXPECTED = ("terms_failed", "errors_contained")
ANSWER_LOSS_SHARE = 0.3
LATE_CALL_SHARE = 0.2

# Faults of the soak without late start commands, because the simulated
# network delivers calls of all kinds late.
FAULTS = {
    name: inject
    for name, inject in faults.FAULTS.items()
    if name != "order late"
}


# Faults that are injected as well if that is asked for, so that the schedules
# of the seeds without them stay the same.
ISOLATION_FAULTS = {}


def fault(name, registry=FAULTS):
    """Registers a coroutine function that injects a simulated fault."""

    def register(function):
        registry[name] = function
        return function

    return register


@fault("answers lost")
async def lose_answers(soak):
    """Loses the fraction ANSWER_LOSS_SHARE of all answers for up to 3 s."""
    network = soak.cell.network
    network.answer_loss_share = ANSWER_LOSS_SHARE
    await asyncio.sleep(soak.rng.uniform(0.2, LONGEST_LOSS_S))
    network.answer_loss_share = 0.0


@fault("calls late")
async def delay_calls(soak):
    """Delivers some calls late and without an answer.

    For up to 3 s, the fraction LATE_CALL_SHARE of all calls is affected.
    """
    network = soak.cell.network
    network.late_call_share = LATE_CALL_SHARE
    await asyncio.sleep(soak.rng.uniform(0.2, LONGEST_LOSS_S))
    network.late_call_share = 0.0


@fault("node cut from some")
async def cut_member_off(soak):
    """Cuts a process off from some of store, workers and peers for up to 6 s.

    The other end of each cut is chosen at random.
    """
    names = sorted(soak.cell.members)
    if not names:
        return
    member = soak.cell.members[soak.rng.choice(names)]
    source = member.process.address
    others = [cell.STORE_ADDRESS.partition(":")[0]]
    others += [each.address.partition(":")[0] for each in soak.cell.workers]
    others += [
        each.process.address
        for each in soak.cell.members.values()
        if each is not member
    ]
    count = soak.rng.randint(1, len(others))
    pairs = {(source, other) for other in soak.rng.sample(others, count)}
    soak.cell.network.cut |= pairs
    await asyncio.sleep(soak.rng.uniform(0.2, LONGEST_CUT_S))
    soak.cell.network.cut -= pairs


@fault("scheduler isolated", ISOLATION_FAULTS)
async def isolate_scheduler(soak):
    """Cuts the scheduler off from its peers, the store and some workers.

    Some of the workers that it still reaches are cut off from the peers. The
    store is lost up to 2 s after the peers, all for up to LONGEST_ISOLATION_S.
    """
    name = soak.cell.serving()
    if name is None:
        return
    network = soak.cell.network
    source = soak.cell.members[name].process.address
    peers = [
        each.process.address
        for each in soak.cell.members.values()
        if each.process.address != source
    ]
    workers = [each.address.partition(":")[0] for each in soak.cell.workers]
    soak.rng.shuffle(workers)
    reached = soak.rng.randint(1, len(workers))
    hidden = workers[: soak.rng.randint(1, reached)]
    first = {(source, peer) for peer in peers}
    second = {(source, cell.STORE_ADDRESS.partition(":")[0])}
    second |= {(source, worker) for worker in workers[reached:]}
    second |= {(peer, worker) for peer in peers for worker in hidden}
    network.cut |= first
    await asyncio.sleep(soak.rng.uniform(0.0, 2.0))
    network.cut |= second
    await asyncio.sleep(soak.rng.uniform(2.0, LONGEST_ISOLATION_S))
    network.cut -= first | second


@fault("kill all")
async def kill_all_members(soak):
    """Kills all processes that are not busy, and starts them again."""
    names = sorted(set(soak.cell.members) - soak.busy)
    soak.busy.update(names)
    for name in names:
        soak.cell.members.pop(name).process.kill()
    await asyncio.sleep(soak.rng.uniform(0.1, 1.0))
    await asyncio.gather(*(soak.cell.start(name) for name in names))
    soak.busy.difference_update(names)


@fault("store slow")
async def slow_store_down(soak):
    """Makes each append of the store take longer for 0.5 to 4 s."""
    store = soak.cell.store
    original_s = store.append_delay_s
    store.append_delay_s = soak.rng.uniform(*SLOW_APPEND_DELAY_S)
    await asyncio.sleep(soak.rng.uniform(0.5, LONGEST_SLOW_STORE_S))
    store.append_delay_s = min(store.append_delay_s, original_s)


@fault("clock jumps")
async def step_clock(soak):
    """Moves the time of day of some hosts for up to 6 s, then back."""
    names = sorted(soak.cell.members)
    share = soak.rng.uniform(0.2, 1.0)
    hosts = [
        soak.cell.members[name].process.host
        for name in names
        if soak.rng.random() < share
    ]
    step_ms = soak.rng.choice((-1, 1)) * soak.rng.uniform(*CLOCK_STEP_MS)
    for host in hosts:
        host.wall_offset_ms += step_ms
    await asyncio.sleep(soak.rng.uniform(0.2, LONGEST_CLOCK_STEP_S))
    for host in hosts:
        host.wall_offset_ms -= step_ms


@fault("stops take long")
async def prolong_stops(soak):
    """Makes the tasks of a worker run on after a stop command.

    The worker keeps this delay to the end of the run.
    """
    worker = soak.rng.choice(soak.cell.workers)
    worker.stop_delay_s = soak.rng.uniform(0.05, 0.6)


class Report:
    """Results of one seed.

    Args:
        soak: The soak, after its run.
        fleet_cell: Its cell.

    Attributes:
        violations: Violations of the guarantees, as sentences.
        accepted: Number of accepted jobs.
        counts: Number of injected faults, network faults, started run
            attempts and events counted by the product, by name.
    """

    def __init__(self, *, soak, fleet_cell):
        self.violations = sorted(set(soak.violations))
        self.accepted = len(soak.accepted)
        self.counts = soak.injected + fleet_cell.network.counts
        self.counts["refused for load"] += soak.refused_for_load
        if soak.teams is not None:
            for status, count in soak.teams.counts.items():
                self.counts[f"key probes answered {status}"] += count
        for process in fleet_cell.processes:
            if process.node is None:
                continue
            for (name, _), count in process.node.metrics.counters.items():
                self.counts[name] += count
        for worker in fleet_cell.workers:
            self.counts["starts"] += len(worker.starts)
        self.violations += [
            f"{self.counts[name]} unexpected errors: {name}"
            for name in UNEXPECTED
            if self.counts[name]
        ]


def explore(
    seed,
    seconds,
    *,
    late_in_new_lives=False,
    repeat_share=0.0,
    isolation=False,
    small_workers=0,
):
    """Runs one seed in virtual time.

    Args:
        seed: Seed of all random choices.
        seconds: Duration of load and faults in virtual time.
        late_in_new_lives: Whether a late call is delivered even if
            its worker has been restarted since it was sent.
        repeat_share: Fraction of the submissions that arrive once more.
        isolation: Whether ISOLATION_FAULTS are injected as well.
        small_workers: Number of the workers in a pool of their own.

    Returns:
        The report.
    """

    async def scenario():
        rng = random.Random(seed)
        teams = team_load.for_seed(seed)
        async with cell.SimulatedCell(
            rng=rng,
            workers=WORKERS,
            work_ms=ISOLATION_WORK_MS if isolation else WORK_MS,
            with_advice=rng.random() < 0.5,
            small_workers=small_workers,
            **team_load.cell_options(teams),
        ) as fleet_cell:
            fleet_cell.network.late_across_incarnations = late_in_new_lives
            soak = soak_module.Soak(
                cell=fleet_cell,
                seed=seed,
                faults=FAULTS | (ISOLATION_FAULTS if isolation else {}),
                teams=teams,
                repeat_share=repeat_share,
            )
            await soak.run(seconds)
            return Report(soak=soak, fleet_cell=fleet_cell)

    report, failed = virtual_time.run(scenario, seed)
    report.violations += failed
    return report


class TraceFormatter(json_logger.JsonFormatter):
    """Formats log lines with virtual time and process name in front."""

    def format(self, record):
        """Returns the line of a log record."""
        host = virtual_time.CURRENT_HOST.get()
        name = "-" if host is None else host.name
        now_s = asyncio.get_running_loop().time() - virtual_time.START_TIME_S
        return f"{now_s:9.3f} {name} {super().format(record)}"


def main():
    """Explores seeds; exits with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="explore")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument(
        "--count", type=int, default=20, help="number of seeds"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--late-in-new-lives",
        action="store_true",
        help="deliver late calls also to restarted workers",
    )
    parser.add_argument(
        "--repeat-share",
        type=float,
        default=0.0,
        help="fraction of the submissions that arrive once more",
    )
    parser.add_argument(
        "--isolation",
        action="store_true",
        help="also isolate the scheduler with some workers",
    )
    parser.add_argument(
        "--small-workers",
        type=int,
        default=0,
        help="number of workers in a pool of their own, with its own queue",
    )
    parser.add_argument(
        "--trace",
        action="store_true",
        help="print the log lines of all processes",
    )
    arguments = parser.parse_args()
    handler = logging.StreamHandler(sys.stdout)
    logs.configure(member="explore", handler=handler)
    handler.setFormatter(TraceFormatter("%(levelname)s %(message)s"))
    if not arguments.trace:
        logging.disable(logging.CRITICAL)
    counts = collections.Counter()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        report = explore(
            seed,
            arguments.seconds,
            late_in_new_lives=arguments.late_in_new_lives,
            repeat_share=arguments.repeat_share,
            isolation=arguments.isolation,
            small_workers=arguments.small_workers,
        )
        counts += report.counts
        failed += bool(report.violations)
        print(
            f"seed {seed}: {report.accepted} accepted,"
            f" {len(report.violations)} broken",
            flush=True,
        )
        for violation in report.violations[:20]:
            print(f"  {violation}", flush=True)
    for name, count in sorted(counts.items()):
        print(f"{count:9} {name}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
