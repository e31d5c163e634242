"""One unusable entry in the registry of workers stops all scheduling."""

import asyncio
import json
import pathlib
import time
import uuid

from standins import cell as cells

WORK_MS = 640
CPU = 1400
ENTRY_S = 30.0
# Longest time for which a job may have nothing running although there is
# room for it.
IDLE_S = 3.0
SETTLE_S = 2.0
JOBS = 10


async def case(cell, trouble):
    """Has another writer add an entry, and submits small jobs meanwhile."""
    body = {
        "spec": f"{WORK_MS} {CPU}",
        "steps": [
            {"count": 2, "cpu": CPU, "memMb": 2600, "estimateMs": WORK_MS}
        ],
    }
    first = "000000000000c500"
    assert await cell.submit(first, body)
    assert await cell.wait_for_end(first, 20.0) == "completed"
    if trouble:
        write_foreign_entry(cell)
    await asyncio.sleep(SETTLE_S)
    accepted = {}
    for number in range(1, JOBS + 1):
        job = f"000000000000c5{number:02x}"
        if await cell.submit(job, body):
            accepted[job] = time.monotonic()
    await asyncio.sleep(ENTRY_S - SETTLE_S)
    started = {}
    for at_s, task, _, _ in cell.judge.starts:
        started.setdefault(task.partition(".")[0], at_s)
    now_s = time.monotonic()
    return [
        f"{job} was accepted and has had nothing running for "
        f"{started.get(job, now_s) - at_s:.1f} s, with all workers idle"
        for job, at_s in accepted.items()
        if started.get(job, now_s) - at_s > IDLE_S
    ]


def write_foreign_entry(cell):
    """Writes an entry whose ``sequence`` is a number of 128 bits."""
    (port,) = cell.ports.take(1)
    entry = {
        "service": cells.SERVICE,
        "address": f"127.0.0.1:{port}",
        "zone": "marmara-a",
        "version": "1",
        "slots": 8,
        "state": "ready",
        "sequence": uuid.UUID("6f1c1d0e-52f7-4a53-9d0f-3c8e5b0a7d21").int,
        "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
        "labels": ["a", "r1-1"],
    }
    cell.record("another writer adds an entry", **entry)
    cell.store.put("keyed.servers", "x-01", json.dumps(entry).encode())


if __name__ == "__main__":
    cells.main(case, pathlib.Path(__file__).parent)
