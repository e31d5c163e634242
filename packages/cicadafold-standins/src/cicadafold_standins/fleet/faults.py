"""Faults of processes, store and workers that the soak injects."""

import asyncio
import signal

__all__ = ["FAULTS", "fault"]

FAULTS = {}


def fault(name, registry=FAULTS):
    """Registers a coroutine function that injects a fault and heals it.

    Args:
        name: Key of the fault in the registry. It is printed, and a seed
            picks from the sorted names.
        registry: Dictionary that the fault is added to; seeds that do not use
            it keep their choices.
    """

    def register(function):
        registry[name] = function
        return function

    return register


@fault("kill node")
async def kill_member(soak):
    """Kills a process of the cell and starts it again."""
    await soak.restart(signal.SIGKILL)


@fault("stop node")
async def stop_member(soak):
    """Stops a process of the cell by SIGTERM and starts it again."""
    await soak.restart(signal.SIGTERM)


@fault("pause node")
async def freeze_member(soak):
    """Freezes a process of the cell for 0.3 to 4 s."""
    name = soak.pick_member()
    if name is None:
        return
    process = soak.cell.members[name].process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.3, 4.0))
    process.send_signal(signal.SIGCONT)
    soak.busy.discard(name)


@fault("store silent")
async def silence_store(soak):
    """Makes the store leave all calls unanswered for 0.3 to 3 s."""
    soak.cell.store.silent = True
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    soak.cell.store.silent = False


@fault("store refuses")
async def refuse_store_calls(soak):
    """Makes the store refuse all calls for 0.3 to 3 s."""
    soak.cell.store.refusing = True
    await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
    soak.cell.store.refusing = False


@fault("store loses answers")
async def lose_store_answers(soak):
    """Makes the store lose the answers of the next 1 to 6 appends."""
    soak.cell.store.lost_answers_left += soak.rng.randint(1, 6)


@fault("store forgets history")
async def compact_store(soak):
    """Makes the store keep only the newest record of each key."""
    for topic in ("keyed.servers", "keyed.op", "keyed.control"):
        soak.cell.store.compact(topic)


@fault("worker silent")
async def silence_worker(soak):
    """Makes a worker leave calls unanswered for 0.5 to 6 s.

    Its tasks keep running.
    """
    worker = soak.rng.choice(soak.cell.workers)
    worker.silent = True
    await asyncio.sleep(soak.rng.uniform(0.5, 6.0))
    worker.silent = False


@fault("worker reborn")
async def restart_worker(soak):
    """Replaces a worker by a new incarnation of the same name."""
    soak.rng.choice(soak.cell.workers).restart()


@fault("worker shrinks")
async def shrink_worker(soak):
    """Takes some cores from a worker for 1 to 8 s."""
    worker = soak.rng.choice(soak.cell.workers)
    cores_milli = worker.cores_milli
    worker.resize(int(cores_milli * soak.rng.uniform(0.0, 0.6)))
    await asyncio.sleep(soak.rng.uniform(1.0, 8.0))
    worker.resize(max(cores_milli, worker.cores_milli))


@fault("order late")
async def delay_start_command(soak):
    """Makes a worker apply its next start command late, without an answer."""
    worker = soak.rng.choice(soak.cell.workers)
    worker.late_start_delay_s = soak.rng.uniform(0.8, 4.0)
