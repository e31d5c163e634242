"""Explores schedules of the product's own code in virtual time.

Every process of a small cell runs as it is, over a network that delays,
loses and cuts. Load, faults and checks are those of the soak, and faults of
the network are added. A seed gives the same schedule again if Python hashes
strings alike (``PYTHONHASHSEED=0``).
"""

import argparse
import asyncio
import collections
import logging
import random
import sys

from pythonjsonlogger import json as json_logger

from cicadafold.telemetry import logs
from cicadafold_standins.fleet import soak as soak_module
from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

__all__ = ["FAULTS", "Report", "explore", "main"]

WORKERS = 5
WORK_MS = 250.0
LONGEST_CUT_S = 6.0
LONGEST_LOSS_S = 3.0
LONGEST_SLOW_S = 4.0
SLOW_APPEND_S = (0.05, 0.8)
LOSE_SHARE = 0.3
LATE_SHARE = 0.2

# The network carries out calls late here, not the workers.
FAULTS = {
    name: inject
    for name, inject in soak_module.FAULTS.items()
    if name != "order late"
}


def fault(name):
    """Registers a fault of the network."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("answers lost")
async def answers_lost(soak):
    """Lets some answers of all calls get lost."""
    network = soak.made.network
    network.lose_share = LOSE_SHARE
    await asyncio.sleep(soak.luck.uniform(0.2, LONGEST_LOSS_S))
    network.lose_share = 0.0


@fault("calls late")
async def calls_late(soak):
    """Lets some calls be carried out late and never answered."""
    network = soak.made.network
    network.late_share = LATE_SHARE
    await asyncio.sleep(soak.luck.uniform(0.2, LONGEST_LOSS_S))
    network.late_share = 0.0


@fault("node cut from some")
async def node_cut(soak):
    """Cuts a node off from the store, from workers or from other nodes."""
    names = sorted(soak.made.nodes)
    if not names:
        return
    node = soak.made.nodes[soak.luck.choice(names)]
    source = node.process.address
    others = [cell.STORE.partition(":")[0]]
    others += [each.address.partition(":")[0] for each in soak.made.workers]
    others += [
        each.process.address
        for each in soak.made.nodes.values()
        if each is not node
    ]
    count = soak.luck.randint(1, len(others))
    pairs = {(source, other) for other in soak.luck.sample(others, count)}
    soak.made.network.cut |= pairs
    await asyncio.sleep(soak.luck.uniform(0.2, LONGEST_CUT_S))
    soak.made.network.cut -= pairs


@fault("kill all")
async def kill_all(soak):
    """Kills all nodes at once and starts them again."""
    names = sorted(set(soak.made.nodes) - soak.busy)
    soak.busy.update(names)
    for name in names:
        soak.made.nodes.pop(name).process.kill()
    await asyncio.sleep(soak.luck.uniform(0.1, 1.0))
    await asyncio.gather(*(soak.made.start(name) for name in names))
    soak.busy.difference_update(names)


@fault("store slow")
async def store_slow(soak):
    """Lets the store take long for each append."""
    store = soak.made.store
    usual_s = store.append_s
    store.append_s = soak.luck.uniform(*SLOW_APPEND_S)
    await asyncio.sleep(soak.luck.uniform(0.5, LONGEST_SLOW_S))
    store.append_s = min(store.append_s, usual_s)


@fault("stops take long")
async def stops_long(soak):
    """Lets the tasks of a worker take a while to stop."""
    worker = soak.luck.choice(soak.made.workers)
    worker.stop_s = soak.luck.uniform(0.05, 0.6)


class Report:
    """What one seed has shown.

    Attributes:
        broken: Promises that broke, as sentences.
        accepted: Number of accepted jobs.
        covered: How often faults, losses, and the product's own reactions
            came about.
    """

    def __init__(self, *, soak, made):
        self.broken = sorted(set(soak.broken))
        self.accepted = len(soak.accepted)
        self.covered = soak.injected + made.network.counts
        for process in made.processes:
            if process.node is None:
                continue
            for (name, _), count in process.node.metrics.counters.items():
                self.covered[name] += count
        for worker in made.workers:
            self.covered["starts"] += len(worker.starts)


def explore(seed, seconds, *, late_in_new_lives=False):
    """Plays one seed in virtual time.

    Args:
        seed: Seed of all choices.
        seconds: Virtual length of load and faults.
        late_in_new_lives: Whether a late call is carried out also by a
            later life of its worker.

    Returns:
        The report.
    """

    async def scenario():
        luck = random.Random(seed)
        async with cell.SimulatedCell(
            luck=luck,
            workers=WORKERS,
            work_ms=WORK_MS,
            with_advice=luck.random() < 0.5,
        ) as made:
            made.network.late_in_new_lives = late_in_new_lives
            soak = soak_module.Soak(made=made, seed=seed, faults=FAULTS)
            await soak.run(seconds)
            return Report(soak=soak, made=made)

    report, failed = virtual_time.play(scenario, seed)
    report.broken += failed
    return report


class TraceFormatter(json_logger.JsonFormatter):
    """Writes virtual time and process before each line."""

    def format(self, record):
        """Returns the line of a record."""
        host = virtual_time.HOST.get()
        name = "-" if host is None else host.name
        now_s = asyncio.get_running_loop().time() - virtual_time.START_S
        return f"{now_s:9.3f} {name} {super().format(record)}"


def main():
    """Explores seeds; the exit code tells whether a promise broke."""
    parser = argparse.ArgumentParser(prog="explore")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=20, help="seeds")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--late-in-new-lives",
        action="store_true",
        help="carry out late calls also in a later life of their worker",
    )
    parser.add_argument("--trace", action="store_true", help="show the logs")
    arguments = parser.parse_args()
    handler = logging.StreamHandler(sys.stdout)
    logs.configure(member="explore", handler=handler)
    handler.setFormatter(TraceFormatter("%(levelname)s %(message)s"))
    if not arguments.trace:
        logging.disable(logging.CRITICAL)
    covered = collections.Counter()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.count):
        report = explore(
            seed,
            arguments.seconds,
            late_in_new_lives=arguments.late_in_new_lives,
        )
        covered += report.covered
        failed += bool(report.broken)
        print(
            f"seed {seed}: {report.accepted} accepted,"
            f" {len(report.broken)} broken",
            flush=True,
        )
        for sentence in report.broken[:20]:
            print(f"  {sentence}", flush=True)
    for name, count in sorted(covered.items()):
        print(f"{count:9} {name}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
