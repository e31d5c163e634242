"""Demo of a cell on stand-ins for the users' platform.

Submits jobs, kills the process with the scheduler once and stops it once,
then checks that no job is lost, no task ends as done twice, and no worker
gets more tasks than its capacity allows.
"""

import asyncio
import random
import signal
import sys

from cicadafold_standins.fleet import cell

__all__ = ["main"]

MEMBERS = 3
WORKERS = 6
JOBS = 60
SUBMIT_INTERVAL_S = 0.1
KILL_AFTER_JOB = 20
STOP_AFTER_JOB = 40
SEED = 7


def generate_job_body(rng):
    """Returns the body of a random job with one or two steps."""
    cores = rng.choice((1000, 2000, 4000))
    steps = [{"count": rng.randint(1, 6), "cpu": cores, "memMb": 64}]
    if rng.random() < 0.4:
        gang = {"count": rng.randint(2, 4), "cpu": cores, "memMb": 64}
        steps.append(gang | {"gang": True, "dependsOn": [0]})
    return {"spec": str(cores), "steps": steps}


async def submit(fleet_cell, rng, job_id):
    """Submits a job at random processes until one accepts it."""
    while True:
        member = rng.choice(list(fleet_cell.members.values()))
        try:
            status, _ = await fleet_cell.call(
                member, "POST", job_id, generate_job_body(rng)
            )
        except OSError:
            status = 0
        if status == 200:
            return
        await asyncio.sleep(0.2)


async def run():
    """Runs the demo.

    Returns:
        Jobs that were not completed, tasks that were done more than once,
        and starts that exceeded the capacity of a worker.
    """
    rng = random.Random(SEED)
    job_ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
    async with cell.FleetCell(workers=WORKERS, with_advice=True) as fleet_cell:
        for number in range(MEMBERS):
            await fleet_cell.start(f"n{number}")
        for number, job_id in enumerate(job_ids):
            await submit(fleet_cell, rng, job_id)
            await asyncio.sleep(SUBMIT_INTERVAL_S)
            if number == KILL_AFTER_JOB:
                killed = fleet_cell.scheduler().name
                await fleet_cell.stop(killed, signal.SIGKILL)
                await fleet_cell.start(killed)
            if number == STOP_AFTER_JOB:
                await fleet_cell.stop(fleet_cell.scheduler().name)
        member = next(iter(fleet_cell.members.values()))
        not_completed = []
        for job_id in job_ids:
            try:
                await fleet_cell.wait_for_state(
                    member, job_id, "completed", timeout_s=20.0
                )
            except TimeoutError:
                not_completed.append(job_id)
        return (
            not_completed,
            tasks_done_twice(fleet_cell),
            overfilled(fleet_cell),
        )


def tasks_done_twice(fleet_cell):
    """Returns the tasks that ended as done more than once."""
    done = [task for worker in fleet_cell.workers for task in worker.done]
    return [task for task in set(done) if done.count(task) > 1]


def overfilled(fleet_cell):
    """Returns the starts that exceeded the capacity of a worker."""
    return [
        start for worker in fleet_cell.workers for start in worker.overfilled
    ]


def main():
    """Runs the demo; exits with 1 if a guarantee was violated."""
    not_completed, done_twice, full = asyncio.run(run())
    print(
        f"{JOBS} jobs, scheduler killed once and stopped once: "
        f"{len(not_completed)} lost, {len(done_twice)} doubled, "
        f"{len(full)} overfilled"
    )
    sys.exit(1 if not_completed or done_twice or full else 0)


if __name__ == "__main__":
    main()
