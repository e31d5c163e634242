"""The explorer finds the mutants, and no fault in the unchanged product."""

import os
import re
import subprocess
import sys

import pytest

from cicadafold_standins.simulation import explore
from cicadafold_standins.simulation.tests import digest
from cicadafold_standins.simulation.tests import mutants

# Pairs of first seed and number of seeds; the single seeds each found a fault
# that has been fixed.
SEEDS_WITHOUT_VIOLATION = [
    (1, 6),
    (10, 1),
    (28, 1),
    (63, 1),
    (78, 1),
    (202, 1),
    (217, 1),
]
# Seeds 1, 4 and 9 ended terms by an error about a pool without open workers.
SMALL_POOL_SEEDS = (1, 4, 9)
# Sentences with which the checks of the soak report a violated guarantee.
VIOLATION = re.compile(
    r"overfilled: |started after done: |.* runs on \S+ and |.* still runs$"
    r"|.* was started (before|after its (last failure|crashes))"
    r"|\S+ was \S+ and is "
    r"|.* of a refused job ran$|\S+ does not know queue "
    r"|\S+ is .*, not |\S+ is completed with "
    r"|.* was started above its cap |\S+ (accepts withdrawn|refuses valid) "
    r"|(TWICE|UNASKED) [a-z ]+: |\d+ unexpected errors: "
)
# Mutants that the explorer finds within its default number of seeds. Which
# seed finds one depends on the schedule, and so changes with the product.
FOUND_MUTANTS = [
    "caps_are_forgotten_at_takeovers",
    "ends_are_acknowledged_unrecorded",
    "inherited_runs_are_not_awaited",
    "journal_is_not_fenced",
    "larger_capacity_is_believed",
    "leases_of_silent_workers_are_ignored",
    "losses_are_not_counted",
    "neighbours_are_blamed",
    "new_terms_forget_losses",
    "old_configurations_are_trusted",
    "refused_jobs_are_recorded",
    "resources_are_released_at_stop_answer",
    "terms_are_counted_locally",
    "unconfirmed_starts_are_forgotten",
]
SEEDS = 20


def run(module, *arguments):
    """Returns the output of a program that runs with fixed string hashes.

    Args:
        module: Module that is run as a program.
        arguments: Arguments of the program.

    Raises:
        subprocess.CalledProcessError: The program failed.
    """
    done = subprocess.run(
        [sys.executable, "-m", module.__name__, *map(str, arguments)],
        env=os.environ | {"PYTHONHASHSEED": "0"},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return done.stdout


def test_seed_reproduces_its_schedule():
    """The schedule does not depend on the memory addresses of objects."""
    first, second = (run(digest, 4, count) for count in (0, 1_000_000))
    assert first == second


@pytest.mark.parametrize(("first", "count"), SEEDS_WITHOUT_VIOLATION)
def test_guarantees_hold(first, count):
    """No guarantee is violated under faults of network and processes."""
    assert run(mutants, "none", first, count) == ""


@pytest.mark.parametrize("seed", SMALL_POOL_SEEDS)
def test_guarantees_hold_with_a_small_pool(seed):
    """Pools of one or two workers were played nowhere."""
    output = run(explore, "--first", seed, "--count", 1, "--small-workers", 2)
    assert " 0 broken" in output


@pytest.mark.parametrize("name", FOUND_MUTANTS)
def test_mutant_is_found(name):
    """The checks report a violation by a product with a known fault."""
    output = run(mutants, name, 1, SEEDS)
    assert output, f"{name} is not found by seeds 1 to {SEEDS}"
    _, *violations = output.splitlines()
    assert violations
    assert all(VIOLATION.match(each) for each in violations)


def test_crash_of_a_mutant_is_no_finding():
    """A program that fails is an error, whatever it has printed."""
    with pytest.raises(subprocess.CalledProcessError):
        run(mutants, "no_such_mutant", 1, 1)
