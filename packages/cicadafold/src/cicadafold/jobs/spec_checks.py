"""Bounds of the specifications that are decoded from other parties.

A record of the store or a message of a peer can be well-formed and still
name a step that does not exist, or a number that no clock and no host has.
The types of ``jobs.model`` call these checks when they are created, so that
every decoder refuses such a value.
"""

import math

__all__ = [
    "MAX_AMOUNT",
    "MAX_COUNT",
    "MAX_TASKS",
    "MAX_TIME_MS",
    "check_configuration",
    "check_job",
    "check_queue_rule",
    "check_step",
    "check_team_rule",
    "is_job_id",
]

MAX_COUNT = 100_000
MAX_AMOUNT = 1 << 40
# Tasks of one occurrence of a job. The scheduler keeps each in memory.
MAX_TASKS = 20_000
# Above any Unix time in milliseconds and any interval.
MAX_TIME_MS = 1 << 53
MAX_WEIGHT = 1e9
MAX_JOB_ID_LENGTH = 64


def is_job_id(text):
    """Whether a text can be the identifier of a job.

    The names of its tasks are separated by dots.

    Examples:
        >>> is_job_id("ab01"), is_job_id("ab.01"), is_job_id("")
        (True, False, False)
    """
    return (
        0 < len(text) <= MAX_JOB_ID_LENGTH
        and text.isascii()
        and text.isprintable()
        and "." not in text
    )


def check_job(spec):
    """Checks a ``JobSpec``.

    Raises:
        ValueError: A value is out of range; the message names it.
    """
    if sum(step.tasks for step in spec.steps) > MAX_TASKS:
        raise ValueError(f"over {MAX_TASKS} tasks in total")
    for number, step in enumerate(spec.steps):
        if not all(0 <= earlier < number for earlier in step.after):
            raise out_of_range(f"after of step {number}", step.after)
    check_numbers(
        MAX_TIME_MS,
        accepted_ms=spec.accepted_ms,
        waited_ms=spec.waited_ms,
        first_due_ms=spec.first_due_ms,
        interval_ms=spec.interval_ms,
    )
    check_numbers(MAX_COUNT, repeats=spec.repeats)


def check_step(step):
    """Checks a ``StepSpec``; its dependencies are checked with its job.

    Raises:
        ValueError: A value is out of range; the message names it.
    """
    if not 1 <= step.tasks <= MAX_COUNT:
        raise out_of_range("tasks", step.tasks)
    check_resources(step.need)
    check_numbers(
        MAX_AMOUNT,
        estimate_ms=step.estimate_ms,
        per_host=step.per_host,
        tail_target_ms=step.tail_target_ms,
        may_miss=step.may_miss,
    )


def check_queue_rule(rule):
    """Checks a ``QueueRule``.

    Raises:
        ValueError: A value is out of range; the message names it.
    """
    check_numbers(
        MAX_AMOUNT,
        priority=abs(rule.priority),
        max_failures=rule.max_failures,
        stretch=rule.stretch,
        target_ms=rule.target_ms,
    )
    if rule.advice is not None:
        check_numbers(
            MAX_AMOUNT,
            base_ms=rule.advice.base_ms,
            per_host_ms=rule.advice.per_host_ms,
            valid_ms=rule.advice.valid_ms,
        )


def check_configuration(found):
    """Checks the numbers of a ``Configuration``.

    Raises:
        ValueError: A value is out of range; the message names it.
    """
    check_numbers(
        MAX_TIME_MS,
        version=found.version,
        max_body_bytes=found.max_body_bytes,
    )


def check_team_rule(rule):
    """Checks a ``TeamRule``.

    Raises:
        ValueError: A value is out of range; the message names it.
    """
    check_numbers(MAX_WEIGHT, weight=rule.weight)
    check_resources(rule.cap)


def check_resources(amount):
    """Checks each of the ``Resources``."""
    check_numbers(
        MAX_AMOUNT,
        cores_milli=amount.cores_milli,
        memory_mb=amount.memory_mb,
        accelerators=amount.accelerators,
    )


def check_numbers(largest, **numbers):
    """Checks that numbers are finite, not negative and not too large."""
    for name, number in numbers.items():
        if not math.isfinite(number) or not 0 <= number <= largest:
            raise out_of_range(name, number, f", use 0 to {largest}")


def out_of_range(name, value, remedy=""):
    """Returns the error for a value, which is shown in part."""
    return ValueError(f"{name} is out of range: {str(value)[:40]}{remedy}")
