"""Measures urgent requests done in a long outage of the log service."""

import argparse
import asyncio
import sys

import msgspec

from cicadafold_standins import cells
from cicadafold_standins import load
from cicadafold_standins import processes
from cicadafold_standins import prove
from cicadafold_standins import testcell

__all__ = ["main", "measure"]

NORMAL_S = 20.0
URGENT_PER_S = 100.0
DURABLE_PER_S = 5.0
MIN_SHARE = 0.99


def load_file(label, duration_s):
    """Returns the load of the phase before or during the outage.

    Args:
        label: Prefix of the request ids.
        duration_s: Duration in seconds.
    """
    return load.LoadFile(
        seed=5,
        label=label,
        duration_s=duration_s,
        patience_s=2.0,
        mix=[
            load.MixEntry(
                kind="string_gauge",
                team="builders",
                rate_per_s=URGENT_PER_S,
                run_ms=(3.0, 25.0),
            ),
            load.MixEntry(
                kind="cutting_sheet",
                team="schools",
                rate_per_s=DURABLE_PER_S,
                run_ms=(50.0, 100.0),
            ),
        ],
    )


async def measure_load(cell, label, duration_s):
    """Sends the load to all entry hosts of region r1; returns a summary."""
    addresses = [
        e.address for e in cell.running_entry_hosts() if e.region == "r1"
    ]
    records = await load.generate_load(
        load_file(label, duration_s), addresses, "r1"
    )
    return load.summarize(records, duration_s)


async def measure(outage_s):
    """Returns the summaries of the load before and during the outage.

    Args:
        outage_s: Duration of the load during the outage, in seconds.
    """
    cell = testcell.Cell(
        plan=cells.CELLS["tezgah"](), layout=prove.small_layout()
    )
    async with cell:
        normal = await measure_load(cell, "normal-", NORMAL_S)
        await cell.set_log_faults(down=True)
        await asyncio.sleep(1.0)
        outage = await measure_load(cell, "outage-", outage_s)
        await cell.set_log_faults()
        return normal, outage


def main():
    """Runs the measurement.

    Exits with 1 if the share of urgent requests done during the outage is
    below ``MIN_SHARE`` of the share before.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--outage-s", type=float, default=300.0)
    arguments = parser.parse_args()
    normal, outage = processes.run(measure(arguments.outage_s))
    shares = []
    for result in (normal, outage):
        urgent = result.kinds["string_gauge"]
        shares.append(urgent.outcomes.get("done", 0) / urgent.requests)
        print(msgspec.json.encode(result).decode())
    print(
        f"urgent done: {shares[0]:.4f} before, {shares[1]:.4f} during the "
        "outage"
    )
    sys.exit(0 if shares[1] >= MIN_SHARE * shares[0] else 1)


if __name__ == "__main__":
    main()
