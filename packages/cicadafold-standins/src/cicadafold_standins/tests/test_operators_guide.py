"""Runs every command of the operators' guide as it is written there."""

import pathlib
import re
import shlex
import subprocess
import sys

import pytest

from cicadafold.settings import table

GUIDE = pathlib.Path(__file__).parents[5] / "docs" / "OPERATORS.md"
TEXT = GUIDE.read_text(encoding="utf-8")
COMMANDS = re.findall(r"^ {4,}(cicadafold .+)$", TEXT, re.MULTILINE)
UNKNOWN_REQUEST_COMMAND = "cicadafold status first-request"
EXIT_UNKNOWN = 4


@pytest.fixture(scope="module")
def working_directory(tmp_path_factory):
    """Returns a directory with the files that the guide's commands read."""
    directory = tmp_path_factory.mktemp("guide")
    kind = re.search(r"```toml\n(.+?)```", TEXT, re.DOTALL)[1]
    (directory / "kind.toml").write_text(kind)
    (directory / "entry.toml").write_text(
        '[member]\nname = "entry-1"\nlisten = "127.0.0.1:9001"\n'
        'failure_domain = "d1"\nregion = "r1"\n'
        '[platform]\nlog = "127.0.0.1:7001"\nhosts = "127.0.0.1:7002"\n'
    )
    return directory


@pytest.mark.parametrize("command", COMMANDS)
def test_command_exits_as_documented(running_cell, working_directory, command):
    arguments = shlex.split(command)
    program = pathlib.Path(sys.executable).with_name(arguments[0])
    completed = subprocess.run(
        [program, *arguments[1:]],
        cwd=working_directory,
        env={"CICADAFOLD_ADDRESS": f"http://{running_cell.address()}"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    expected = EXIT_UNKNOWN if command == UNKNOWN_REQUEST_COMMAND else 0
    assert completed.returncode == expected, (
        completed.stdout + completed.stderr
    )


def test_guide_shows_at_least_ten_commands():
    assert len(COMMANDS) >= 10


def test_guide_contains_the_settings_table():
    for line in table.markdown():
        assert line in TEXT
