"""Tests of odd records that stay in the store, in virtual time.

Another writer has left them. They are there while the scheduler is killed,
and when all hosts start again from the beginning.
"""

import asyncio
import json
import random
import signal

import msgspec
import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation import virtual_time

MEMBERS = ("n0", "n1", "n2")
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 100}
BODY = {"spec": "1000", "steps": [STEP]}
RULE = {"name": "q", "authority": "h", "prefix": "/", "pool": "pool-a"}
ODD_JOB = "00000000000000ff"
LATER_JOB = "00000000000000fe"
DEEP = b"[" * 100_000
LARGE = b"9" * 5000
JOB_TEXT = {"rule": RULE, "payload": "x"}


def spec(job=ODD_JOB, **step):
    """Returns the record of a job whose only step has given fields."""
    found = JOB_TEXT | {"id": job, "steps": [{"tasks": 1} | step]}
    return msgspec.msgpack.encode(found)


def claim(address):
    """Returns the claim of a process that does not exist."""
    return json.dumps({"member": "odd", "address": address}).encode()


def entry(**fields):
    """Returns a registry entry with given fields."""
    known = {
        "service": "pool-a",
        "address": "10.2.0.99:80",
        "state": "ready",
        "capacity": {"cpu": 16000, "memMb": 32768},
    }
    return json.dumps(known | fields).encode()


def progress(*fields):
    """Returns a progress record of a running job."""
    return msgspec.msgpack.encode([1, 1, *fields])


# Topic, key and values by what they are read as.
ODD_RECORDS = {
    "claim": (
        "keyed.control",
        "scheduler",
        [
            DEEP,
            LARGE,
            claim("a..b:9001"),
            claim("10.0.0.9:99999"),
            claim("10.0.0.9:1"),
        ],
    ),
    "job": (
        "keyed.jobs",
        f"a/{ODD_JOB}",
        [
            DEEP,
            LARGE,
            b"\x91" * 100_000,
            spec(after=[5]),
            spec(tasks=10**12),
            spec(estimate_ms=2**63),
        ],
    ),
    "key of a job": (
        "keyed.jobs",
        "x/" + "\u00e9" * 100,
        [b"1", spec()],
    ),
    "progress": (
        "keyed.progress",
        ODD_JOB,
        [
            DEEP,
            LARGE,
            progress("odd"),
            progress("running", [], [[0, 7, "1"]]),
            progress("running", [], [], [[0, 0, 9, [1]]]),
        ],
    ),
    "record of the workers": (
        "keyed.progress",
        "workers.7",
        [DEEP, LARGE, progress([], 7, 2**62)],
    ),
    "worker": (
        "keyed.servers",
        "odd",
        [
            DEEP,
            LARGE,
            entry(address="10.2.0.99:99999"),
            entry(capacity={"cpu": 2**64}),
            entry(address="a..b:80"),
            entry(),
        ],
    ),
}
CASES = [
    (kind, number)
    for kind, (_, _, values) in ODD_RECORDS.items()
    for number in range(len(values))
]


async def wait_for_scheduler(fleet_cell):
    """Waits until a process serves a term."""
    async with asyncio.timeout(15.0):
        while fleet_cell.serving() is None:
            await asyncio.sleep(0.05)


async def run_jobs(fleet_cell, first):
    """Submits three jobs and waits until they are complete.

    Args:
        fleet_cell: The cell.
        first: Number of the first job.
    """
    members = list(fleet_cell.members.values())
    jobs = [f"{number:016x}" for number in range(first, first + 3)]
    for member, job in zip(members, jobs, strict=False):
        async with asyncio.timeout(15.0):
            while True:
                status, _ = await fleet_cell.call(member, "POST", job, BODY)
                if status == 200:
                    break
                await asyncio.sleep(0.2)
    for member, job in zip(members, jobs, strict=False):
        await fleet_cell.wait_for_state(member, job, "completed")


@pytest.mark.parametrize(("kind", "number"), CASES)
def test_odd_record_does_not_outlive_a_whole_cell(kind, number):
    """Each process ended, or no scheduler kept its term."""
    topic, key, values = ODD_RECORDS[kind]

    async def scenario():
        async with cell.SimulatedCell(
            rng=random.Random(1), workers=2, work_ms=100.0, weak_hosts=()
        ) as fleet_cell:

            def leave_odd_record(name=key, job=ODD_JOB):
                fleet_cell.store.put(topic, name, values[number])
                if kind == "progress":
                    fleet_cell.store.put(
                        "keyed.jobs", f"a/{job}", spec(job), part=3
                    )

            for name in MEMBERS:
                await fleet_cell.start(name)
            await run_jobs(fleet_cell, 0)
            leave_odd_record()
            await asyncio.sleep(8.0)
            await wait_for_scheduler(fleet_cell)
            await run_jobs(fleet_cell, 10)
            name = fleet_cell.serving()
            await fleet_cell.stop(name, signal.SIGKILL)
            await fleet_cell.start(name)
            await wait_for_scheduler(fleet_cell)
            await run_jobs(fleet_cell, 20)
            if kind == "progress":
                leave_odd_record(LATER_JOB, LATER_JOB)
            else:
                leave_odd_record()
            for name in MEMBERS:
                await fleet_cell.stop(name, signal.SIGKILL)
            for name in MEMBERS:
                await fleet_cell.start(name)
            await wait_for_scheduler(fleet_cell)
            await run_jobs(fleet_cell, 30)
            await asyncio.sleep(8.0)
            newest = fleet_cell.serving()
            await run_jobs(fleet_cell, 40)
            twice = [
                start
                for worker in fleet_cell.workers
                for start in worker.started_after_done
            ]
            return newest is not None, twice

    (served, twice), failed = virtual_time.run(scenario, 1)
    assert failed == []
    assert served
    assert twice == []
