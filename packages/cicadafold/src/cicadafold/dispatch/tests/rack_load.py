"""Loads with data in racks, for tests that play them."""

import random

from cicadafold.dispatch.tests import played_load
from cicadafold.jobs import model

__all__ = ["CELL", "arrivals"]

CELL = {"racks": 5, "workers_per_rack": 4, "cores": 4}
CELL_CORES = 80
# Share of the jobs whose data is in the first rack, if one rack is preferred.
HOT_SHARE = 0.4


def true_durations(rng, tasks, estimate_ms):
    """Returns the true durations of tasks, in milliseconds.

    The declared time is 20 to 90% off, and one task in thirty takes seven
    times as long.
    """
    off = rng.uniform(0.2, 0.9)
    usual_ms = estimate_ms * (1 - off if rng.random() < 0.5 else 1 + off)
    return tuple(
        usual_ms
        * rng.uniform(0.9, 1.1)
        * (
            played_load.LONG_TASK_FACTOR
            if rng.random() < played_load.LONG_TASK_SHARE
            else 1.0
        )
        for _ in range(tasks)
    )


def make_step(rng, *, hot):
    """Returns a random step: with data, a gang for one rack, or neither."""
    estimate_ms = rng.randint(300, 1500)
    kind = rng.random()
    need = model.Resources(1000, 100, 0)
    if kind < 0.65:
        rack = 0 if hot and rng.random() < HOT_SHARE else rng.randrange(5)
        return model.StepSpec(
            tasks=rng.randint(1, 8),
            need=need,
            estimate_ms=estimate_ms,
            data_rack=f"r{rack}-0",
        )
    gang = kind < 0.75
    return model.StepSpec(
        tasks=rng.randint(4, 8) if gang else rng.randint(1, 8),
        need=need,
        estimate_ms=estimate_ms,
        gang=gang,
        one_rack=gang,
    )


def arrivals(seed, *, load, seconds, hot):
    """Returns jobs that use a share of the cell when all run near.

    Args:
        seed: Seed of the random jobs.
        load: Share of the cores that is used on average.
        seconds: Time over which the jobs arrive.
        hot: Whether much of the data is in one rack.
    """
    rng = random.Random(seed)
    rules = [
        model.QueueRule(
            name=f"q{priority}",
            authority="",
            prefix="",
            pool="p",
            priority=priority,
            stretch=stretch,
            target_ms=200.0,
        )
        for priority, stretch in enumerate((2.2, 4.0))
    ]
    found = []
    work_ms = 0.0
    while work_ms < load * CELL_CORES * seconds * 1000:
        step = make_step(rng, hot=hot)
        true_ms = true_durations(rng, step.tasks, step.estimate_ms)
        work_ms += sum(true_ms)
        found.append((step, true_ms, rng.choice(rules)))
    times = sorted(rng.uniform(0, seconds * 1000) for _ in found)
    return [
        played_load.Arrival(
            at_ms,
            model.JobSpec(
                id=f"j{number}", rule=rule, payload="", steps=(step,)
            ),
            (true_ms,),
        )
        for number, (at_ms, (step, true_ms, rule)) in enumerate(
            zip(times, found)
        )
    ]
