"""The command line against a running cell, as a script uses it."""

import pathlib
import subprocess
import sys
import uuid

import msgspec
import pytest

from cicadafold.cli import client
from cicadafold_schema import messages

ExitCode = client.ExitCode


@pytest.fixture
def cicadafold(running_cell):
    """Returns a function that runs the command line."""
    program = pathlib.Path(sys.executable).with_name("cicadafold")

    def run(*arguments, address=None):
        address = address or f"http://{running_cell.address()}"
        return subprocess.run(
            [program, *arguments, "--address", address],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    return run


def test_submit_prints_the_answer_as_json(cicadafold):
    done = cicadafold(
        "submit",
        "string_gauge",
        "--team",
        "schools",
        "--id",
        uuid.uuid4().hex,
        "--output",
        "json",
    )
    answer = msgspec.json.decode(done.stdout, type=messages.Answer)
    assert done.returncode == ExitCode.DONE
    assert answer.outcome is messages.Outcome.done


def test_refusal_has_its_exit_code_and_remedy(cicadafold):
    done = cicadafold("submit", "nothing", "--team", "schools")
    assert done.returncode == ExitCode.NOT_RUN
    assert "Remedy:" in done.stderr


def test_unreachable_entry_host_has_its_exit_code(cicadafold):
    done = cicadafold("cell", address="http://127.0.0.1:1")
    assert done.returncode == ExitCode.UNREACHABLE


def test_kinds_and_teams_are_set_and_listed(cicadafold, tmp_path):
    path = tmp_path / "kind.toml"
    path.write_text(
        'name = "proofs"\nlane = "patient"\nshape = "task"\n'
        "idempotent = true\ndurable = false\n"
    )
    assert cicadafold("kind", "set", str(path)).returncode == 0
    listed = cicadafold("kind", "list").stdout
    assert "kind proofs: patient task" in listed
    done = cicadafold("team", "set", "luthiers", "--weight", "3")
    assert done.returncode == 0
    assert "team luthiers: weight 3" in cicadafold("team", "list").stdout
    history = cicadafold("config", "history").stdout
    assert "team set" in history


def test_stale_base_is_a_conflict(cicadafold, tmp_path):
    shown = cicadafold("config", "show", "--output", "json").stdout
    path = tmp_path / "configuration.json"
    path.write_text(shown)
    done = cicadafold("config", "apply", str(path), "--base", "0")
    assert done.returncode == ExitCode.CONFLICT
    assert "Remedy:" in done.stderr


def test_burn_report_as_text_and_page(cicadafold, tmp_path):
    page = tmp_path / "burn.html"
    done = cicadafold("report", "burn", "--html", str(page))
    assert done.returncode == 0
    assert "string_gauge: objective 99.00% within 200 ms" in done.stdout
    assert "<svg" in page.read_text()


def test_cell_shows_owners(cicadafold):
    done = cicadafold("cell")
    assert "rack rack-1: owned by entry-" in done.stdout


def test_wrong_file_is_a_usage_fault(cicadafold, tmp_path):
    path = tmp_path / "kind.toml"
    path.write_text('name = "x"\nsurprise = 1\n')
    done = cicadafold("kind", "set", str(path))
    assert done.returncode == ExitCode.USAGE


def test_settings_check_lists_all_faults(tmp_path):
    program = pathlib.Path(sys.executable).with_name("cicadafold")
    path = tmp_path / "entry.toml"
    path.write_text('[member]\nname = "a b"\nlisten = "here"\n')
    done = subprocess.run(
        [program, "settings", "check", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == ExitCode.USAGE
    for key in ("member.name", "member.listen", "platform.log"):
        assert f"{key}: found" in done.stderr


def test_daemon_refuses_faulty_settings(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text("[member]\n")
    done = subprocess.run(
        [sys.executable, "-m", "cicadafold.daemon.main", "--settings", path],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert "member.name: found nothing" in done.stderr
