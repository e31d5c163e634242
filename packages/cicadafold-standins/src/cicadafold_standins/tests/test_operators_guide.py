"""Every command of the operators' guide is run as it is written."""

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
NO_RECORD = "cicadafold status first-request"
EXIT_UNKNOWN = 4


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    """A folder with the files that the guide names."""
    made = tmp_path_factory.mktemp("guide")
    kind = re.search(r"```toml\n(.+?)```", TEXT, re.DOTALL)[1]
    (made / "kind.toml").write_text(kind)
    (made / "entry.toml").write_text(
        '[member]\nname = "entry-1"\nlisten = "127.0.0.1:9001"\n'
        'failure_domain = "d1"\nregion = "r1"\n'
        '[platform]\nlog = "127.0.0.1:7001"\nhosts = "127.0.0.1:7002"\n'
    )
    return made


@pytest.mark.parametrize("command", COMMANDS)
def test_command_of_the_guide(running, folder, command):
    words = shlex.split(command)
    program = pathlib.Path(sys.executable).with_name(words[0])
    completed = subprocess.run(
        [program, *words[1:]],
        cwd=folder,
        env={"CICADAFOLD_ADDRESS": f"http://{running.address()}"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    expected = EXIT_UNKNOWN if command == NO_RECORD else 0
    assert completed.returncode == expected, (
        completed.stdout + completed.stderr
    )


def test_guide_has_the_commands_that_operators_need():
    assert len(COMMANDS) >= 10


def test_guide_lists_all_settings():
    for line in table.markdown():
        assert line in TEXT
