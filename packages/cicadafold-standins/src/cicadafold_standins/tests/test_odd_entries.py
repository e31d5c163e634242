"""Tests of odd entries among those of the workers, with real processes."""

import asyncio
import json
import signal

from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import worker

MEMBERS = ("n1", "n2", "n3")
STEP = {"count": 16, "cpu": 4000, "memMb": 64, "estimateMs": 100}
BODY = {"spec": "4000", "steps": [STEP]}
DEPTH = 100_000
DEEP = "[" * DEPTH + "]" * DEPTH
UNFINISHED = '{"a":' * DEPTH
NUMBERS = ["9" * 5000, "1e400", "NaN", str(2**64), "-1"]
PORTS = ["0", "-1", "65536", "99999", "9" * 40, "", "x", "\u0663\u0663"]
ENTRY = {
    "service": cell.POOL,
    "address": "127.0.0.1:9",
    "zone": "a",
    "state": "ready",
    "slots": 8,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-1"],
    "born": 1,
    "sequence": 1,
    "remainingMs": 0,
}


def odd_entries():
    """Returns odd registry entries, as texts."""
    found = [DEEP, DEEP[:DEPTH], UNFINISHED, *NUMBERS]
    for name in ENTRY:
        for value in (DEEP, *NUMBERS):
            # Such numbers and depths cannot be encoded, only written.
            text = json.dumps(ENTRY | {name: "odd value"})
            found.append(text.replace('"odd value"', value))
    for port in PORTS:
        found.append(json.dumps(ENTRY | {"address": f"127.0.0.1:{port}"}))
    for address in ("::1:80", "[::1:80", "a..b:80", "x" * 70 + ":80"):
        found.append(json.dumps(ENTRY | {"address": address}))
    return found


def leave_entries(fleet_cell):
    """Writes all odd entries, and one over the entry of each worker."""
    entries = [text.encode() for text in odd_entries()]
    for number, value in enumerate(entries):
        fleet_cell.store.put("keyed.servers", f"odd-{number}", value)
    for number, each in enumerate(fleet_cell.workers):
        fleet_cell.store.put(
            "keyed.servers", each.name, entries[number % len(entries)]
        )


async def run_jobs(fleet_cell, numbers):
    """Submits jobs at any process and waits until they are complete."""
    jobs = [f"{number:016x}" for number in numbers]
    members = list(fleet_cell.members.values())
    for number, job in enumerate(jobs):
        status = 0
        while status != 200:
            member = members[number % len(members)]
            status, _ = await fleet_cell.call(member, "POST", job, BODY)
            await asyncio.sleep(0.05)
    for job in jobs:
        await fleet_cell.wait_for_state(members[0], job, "completed")


async def add_worker(fleet_cell):
    """Adds a worker to a running cell and returns it."""
    added = worker.FleetWorker(
        name="i-new", store=fleet_cell.store, pool=cell.POOL
    )
    added.run_log = fleet_cell.run_log
    added.address = await fleet_cell.serve(added.app())
    fleet_cell.tasks.append(asyncio.create_task(added.run()))
    fleet_cell.workers.append(added)
    return added


async def start_on(fleet_cell, added, first):
    """Runs jobs until a worker has been given a task."""
    number = first
    async with asyncio.timeout(10.0):
        while not added.starts:
            await run_jobs(fleet_cell, [number])
            number += 1


def test_odd_entries_end_no_process_and_hide_no_worker():
    """Processes of other systems ended, or no longer followed the list."""

    async def scenario():
        async with cell.FleetCell(workers=3) as fleet_cell:
            await asyncio.gather(*map(fleet_cell.start, MEMBERS))
            await run_jobs(fleet_cell, range(3))
            leave_entries(fleet_cell)
            await run_jobs(fleet_cell, range(3, 6))
            scheduler = fleet_cell.scheduler()
            await fleet_cell.stop(scheduler.name, signal.SIGKILL)
            leave_entries(fleet_cell)
            await run_jobs(fleet_cell, range(6, 12))
            await start_on(fleet_cell, await add_worker(fleet_cell), 100)
            members = list(fleet_cell.members.values())
            lines = [
                line for member in members for line in member.read_log_lines()
            ]
            ended = [each.process.returncode for each in members]
            again = [
                start
                for each in fleet_cell.workers
                for start in each.started_after_done
            ]
            return ended, lines, again

    ended, lines, again = asyncio.run(scenario())
    assert len(odd_entries()) >= 77
    assert ended == [None, None]
    assert again == []
    failures = [line for line in lines if line["levelname"] == "ERROR"]
    assert failures == []
