"""A cell on the platform's stand-ins under load, with a kill and a stop."""

import asyncio
import random
import signal
import sys

from cicadafold_standins.fleet import cell

__all__ = ["main"]

NODES = 3
WORKERS = 6
JOBS = 60
PAUSE_S = 0.1
KILL_AT = 20
STOP_AT = 40
SEED = 7


def body(luck):
    """Returns a job of one or two steps."""
    cores = luck.choice((1000, 2000, 4000))
    steps = [{"count": luck.randint(1, 6), "cpu": cores, "memMb": 64}]
    if luck.random() < 0.4:
        gang = {"count": luck.randint(2, 4), "cpu": cores, "memMb": 64}
        steps.append(gang | {"gang": True, "dependsOn": [0]})
    return {"spec": str(cores), "steps": steps}


async def submit(made, luck, job):
    """Submits a job at any node, again until one accepts it."""
    while True:
        node = luck.choice(list(made.nodes.values()))
        try:
            status, _ = await made.call(node, "POST", job, body(luck))
        except OSError:
            status = 0
        if status == 200:
            return
        await asyncio.sleep(0.2)


async def run():
    """Plays the demo and returns the promises that broke."""
    luck = random.Random(SEED)
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    async with cell.FleetCell(workers=WORKERS, with_advice=True) as made:
        for number in range(NODES):
            await made.start(f"n{number}")
        for number, job in enumerate(jobs):
            await submit(made, luck, job)
            await asyncio.sleep(PAUSE_S)
            if number == KILL_AT:
                killed = made.scheduler().name
                await made.stop(killed, signal.SIGKILL)
                await made.start(killed)
            if number == STOP_AT:
                await made.stop(made.scheduler().name)
        node = next(iter(made.nodes.values()))
        lost = []
        for job in jobs:
            try:
                await made.until_state(node, job, "completed", timeout_s=20.0)
            except TimeoutError:
                lost.append(job)
        return lost, twice(made), overfilled(made)


def twice(made):
    """Returns the tasks that ended as done more than once."""
    done = [task for worker in made.workers for task in worker.done]
    return [task for task in set(done) if done.count(task) > 1]


def overfilled(made):
    """Returns the starts that brought a worker over its capacity."""
    return [start for worker in made.workers for start in worker.overfilled]


def main():
    """Runs the demo; the exit code tells whether a promise broke."""
    lost, doubled, full = asyncio.run(run())
    print(
        f"{JOBS} jobs, scheduler killed once and stopped once: "
        f"{len(lost)} lost, {len(doubled)} doubled, {len(full)} overfilled"
    )
    sys.exit(1 if lost or doubled or full else 0)


if __name__ == "__main__":
    main()
