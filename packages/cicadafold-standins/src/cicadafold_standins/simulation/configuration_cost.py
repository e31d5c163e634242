"""Measures what a version of the configuration costs, by its size.

Prints a table: bytes from virtual time, with hosts behind limited links, and
processor time on this machine.
"""

import asyncio
import logging
import random
import time

from cicadafold.configuration import changes as changes_module
from cicadafold.configuration import history
from cicadafold.platform import wire_configuration
from cicadafold_standins.simulation import limited_cell

__all__ = ["SIZES", "main", "measure"]

SIZES = (50, 500, 5_000, 20_000)
SEED = 1
REPETITIONS = 5
BITS_PER_BYTE = 8
HEADINGS = (
    "queues",
    "record, bytes",
    "whole, bytes a host",
    "one queue, bytes a host",
    "all hosts, s",
    "one queue, all hosts, s",
    "if every host read it, s",
    "parse, ms",
    "encode, ms",
    "decode and apply, ms",
)


def measure(queues):
    """Measures one size.

    Args:
        queues: Number of queues.

    Returns:
        The row of the table, in the order of ``HEADINGS``.
    """

    async def scenario(fleet_cell):
        names = limited_cell.queue_names(random.Random(SEED), queues - 1)
        times_s = []
        for version, published in ((2, names), (3, names[1:])):
            fleet_cell.publish_configuration(version, more_queues=published)
            took_s = await limited_cell.seconds_until_in_force(
                fleet_cell, version
            )
            times_s.append(max(took_s.values()))
            await asyncio.sleep(1.0)
        partition = fleet_cell.store.partition("keyed.op", 0)
        records = [
            partition.records[offset].partition(b"config")[2]
            for offset in (1, 2)
        ]
        return records, times_s

    records, times_s = limited_cell.play(scenario, SEED)
    size = len(records[0])
    read_by_all_s = (
        size
        * BITS_PER_BYTE
        * len(limited_cell.FAR)
        / (limited_cell.REGION_MBPS * 1e6)
    )
    parse_ms, (whole, newer) = timed_ms(
        lambda: [
            wire_configuration.parse_configuration(record)
            for record in records
        ]
    )
    teller = history.History()
    teller.replace(whole, 1)
    changes = teller.changes_since(changes_module.WHOLE)
    encode_ms, body = timed_ms(
        lambda: asyncio.run(changes_module.encode(changes))
    )
    apply_ms, _ = timed_ms(
        lambda: history.History().apply(
            asyncio.run(changes_module.decode(body))
        )
    )
    teller.replace(newer, 2)
    small = asyncio.run(changes_module.encode(teller.changes_since(1)))
    return (
        queues,
        size,
        len(body),
        len(small),
        *(round(each, 2) for each in (*times_s, read_by_all_s)),
        *(
            round(each, 1)
            for each in (parse_ms / len(records), encode_ms, apply_ms)
        ),
    )


def timed_ms(function):
    """Returns the shortest of several durations in ms, and the result."""
    best_s = float("inf")
    for _ in range(REPETITIONS):
        started_s = time.perf_counter()
        result = function()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s * 1000, result


def main():
    """Prints the table."""
    logging.disable(logging.CRITICAL)
    print("| " + " | ".join(HEADINGS) + " |")
    print("|" + "---|" * len(HEADINGS))
    for queues in SIZES:
        print(
            "| " + " | ".join(f"{each:,}" for each in measure(queues)) + " |"
        )


if __name__ == "__main__":
    main()
