"""A gang that is to run alone ends each term of the scheduler."""

import asyncio
import json
import pathlib

import review_cell

WORKERS = 24
SMALL_POOL = "pool-b"
SMALL_WORKERS = ("i-22", "i-23")
GANG = "00000000000000aa"
GANG_TASK = f"{GANG}.0.0.0"
GANG_MS = 30000
LONG = "00000000000000bb"
LONG_MS = 45000
ADVICE_S = 0.6
# Time from the last crash until the leases have lapsed and all is calm.
QUIET_S = 8.0
FINISH_S = 14.0
WINDOW_S = 3.0


ADVICE = {"decideMs": 450, "eachMs": 6.5, "validMs": 1500}


def body(count, work_ms, **fields):
    """Returns a job with one step."""
    step = {"count": count, "cpu": 500, "memMb": 64, "estimateMs": work_ms}
    return {"spec": f"500 lasts {work_ms}", "steps": [step | fields]}


def publish(cell):
    """Publishes a configuration with a queue for each of two services."""
    route = {
        "host": "jobs.example",
        "kind": "unsafe",
        "maxAttempts": 3,
        "stretch": 2.0,
        "targetLatencyMs": 500,
    }
    document = {
        "version": 2,
        "routes": [
            route
            | {"name": "q", "pathPrefix": "/q/", "service": "pool-a"}
            | {"priority": 0, "advice": ADVICE},
            route
            | {"name": "b", "pathPrefix": "/b/", "service": SMALL_POOL}
            | {"priority": 1},
        ],
        "services": [
            {"name": "pool-a", "admissionCheck": False},
            {"name": SMALL_POOL, "admissionCheck": False},
        ],
        "limits": {"maxBodyBytes": 262144},
    }
    cell.store.put("keyed.op", "config", json.dumps(document).encode())


async def submit_small(cell, record, job, content):
    """Submits a job to the queue of the small service."""
    member = next(iter(cell.members.values()))
    record.write(f"send POST /b/{job} {json.dumps(content)}")
    status, _ = await cell.call(member, "POST", job, content, path="/b/")
    record.write(f"answer to POST {job}: {status}")


async def scenario(cell, record, trouble):
    """Crashes the worker of the gang twice; another queue is checked."""
    cell.advice.decide_s = ADVICE_S
    publish(cell)
    for each in cell.workers:
        if each.name in SMALL_WORKERS:
            each.pool = SMALL_POOL
    for name in ("n0", "n1", "n2"):
        await cell.start(name)
    await submit_small(cell, record, GANG, body(2, GANG_MS, gang=True))
    first = await cell.wait_until_runs(GANG_TASK, 20.0)
    record.write(f"the gang runs on {first.name}")
    long_job = body(2, LONG_MS, maxPerServer=1)
    await submit_small(cell, record, LONG, long_job)
    await asyncio.sleep(1.0)
    if trouble:
        record.write(f"worker {first.name} crashes")
        first.down_s = 3.0
        await first.crash()
        record.write(f"worker {first.name} is back")
        second = await cell.wait_until_runs(GANG_TASK, 20.0)
        record.write(f"the gang runs on {second.name}")
        await asyncio.sleep(1.0)
        record.write(f"worker {second.name} is lost for good")
        asyncio.create_task(second.lose())
    await asyncio.sleep(QUIET_S)
    jobs = [f"{number:016x}" for number in range(1, 9)]
    for job in jobs:
        await cell.submit(job, body(1, 500))
        await asyncio.sleep(0.2)
    ended_s = record.now_s()
    record.write("the traffic has ended")
    await asyncio.sleep(FINISH_S)
    waiting_s = {job: record.now_s() for job in jobs}
    violations = {}
    while record.now_s() < ended_s + FINISH_S + 2 * WINDOW_S:
        now_s = record.now_s()
        for job in jobs:
            done = f"{job}.0.0.0" in cell.run_log.done
            if done or cell.worker_of(f"{job}.0.0.0") is not None:
                waiting_s[job] = now_s
            elif now_s - waiting_s[job] > WINDOW_S:
                violations[job] = (
                    f"LOST: job {job} has nothing running"
                    f" {now_s - ended_s:.1f} s after the traffic, while 22"
                    " workers of its service are idle"
                )
        await asyncio.sleep(0.02)
    for job in (*jobs[:2], GANG):
        path = "/b/" if job == GANG else "/q/"
        member = next(iter(cell.members.values()))
        status, answer = await cell.call(member, "GET", job, path=path)
        record.write(f"answer to GET {path}{job}: {status} {answer}")
    terms = cell.store.partition("keyed.control", 0).end
    record.write(f"{terms} terms have been claimed")
    return list(violations.values())


if __name__ == "__main__":
    review_cell.run_case(
        scenario,
        pathlib.Path(__file__).parent,
        workers=WORKERS,
        with_advice=True,
    )
