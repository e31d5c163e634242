"""Tests that every example is valid, runs and is listed in the README."""

import pathlib
import subprocess
import sys
import tomllib

import msgspec
import pytest

from cicadafold.service import operator_calls
from cicadafold_schema import messages
from cicadafold_standins import load

EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"
KINDS = sorted(EXAMPLES.glob("kinds/*.toml"))


@pytest.mark.parametrize("path", KINDS, ids=lambda path: path.stem)
def test_example_kind_is_valid(path):
    document = tomllib.loads(path.read_text())
    kind = msgspec.convert(document, type=messages.Kind)
    operator_calls.check_kind(kind)


def test_example_load_file_is_valid():
    document = tomllib.loads((EXAMPLES / "load.toml").read_text())
    assert msgspec.convert(document, type=load.LoadFile).mix


@pytest.mark.parametrize("kind", ["string_gauge", "cutting_sheet"])
def test_example_caller_receives_an_answer(running_cell, kind):
    program = EXAMPLES / "submit_and_wait.py"
    completed = subprocess.run(
        [sys.executable, program, running_cell.address(), kind, "schools"],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert "'outcome': 'done'" in completed.stdout


def test_readme_lists_every_example():
    text = (EXAMPLES / "README.md").read_text()
    for path in EXAMPLES.rglob("*"):
        # Running an example leaves byte code beside it.
        if path.parent.name == "__pycache__":
            continue
        if path.is_file() and path.name != "README.md":
            assert str(path.relative_to(EXAMPLES)) in text
