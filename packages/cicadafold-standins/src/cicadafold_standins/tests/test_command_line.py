"""Tests of the command line as a subprocess against a running cell."""

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
def run_cli(running_cell):
    """Returns a function that runs the command line on the cell."""
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


def test_submit_prints_the_answer_as_json(run_cli):
    completed = run_cli(
        "submit",
        "string_gauge",
        "--team",
        "schools",
        "--id",
        uuid.uuid4().hex,
        "--output",
        "json",
    )
    answer = msgspec.json.decode(completed.stdout, type=messages.Answer)
    assert completed.returncode == ExitCode.DONE
    assert answer.outcome is messages.Outcome.done


def test_refused_submit_exits_not_run_with_a_remedy(run_cli):
    completed = run_cli("submit", "nothing", "--team", "schools")
    assert completed.returncode == ExitCode.NOT_RUN
    assert "Remedy:" in completed.stderr


def test_unreachable_entry_host_exits_unreachable(run_cli):
    completed = run_cli("cell", address="http://127.0.0.1:1")
    assert completed.returncode == ExitCode.UNREACHABLE


def test_kinds_and_teams_are_set_and_listed(run_cli, tmp_path):
    path = tmp_path / "kind.toml"
    path.write_text(
        'name = "proofs"\nlane = "patient"\nshape = "task"\n'
        "idempotent = true\ndurable = false\n"
    )
    assert run_cli("kind", "set", str(path)).returncode == 0
    listed = run_cli("kind", "list").stdout
    assert "kind proofs: patient task" in listed
    completed = run_cli("team", "set", "luthiers", "--weight", "3")
    assert completed.returncode == 0
    assert "team luthiers: weight 3" in run_cli("team", "list").stdout
    history = run_cli("config", "history").stdout
    assert "team set" in history


def test_apply_with_a_stale_base_revision_exits_conflict(run_cli, tmp_path):
    shown = run_cli("config", "show", "--output", "json").stdout
    path = tmp_path / "configuration.json"
    path.write_text(shown)
    completed = run_cli("config", "apply", str(path), "--base", "0")
    assert completed.returncode == ExitCode.CONFLICT
    assert "Remedy:" in completed.stderr


def test_burn_report_prints_text_and_writes_html(run_cli, tmp_path):
    page = tmp_path / "burn.html"
    completed = run_cli("report", "burn", "--html", str(page))
    assert completed.returncode == 0
    assert "string_gauge: objective 99.00% within 200 ms" in completed.stdout
    assert "<svg" in page.read_text()


def test_cell_shows_rack_owners(run_cli):
    completed = run_cli("cell")
    assert "rack rack-1: owned by entry-" in completed.stdout


def test_unknown_field_in_a_kind_file_exits_usage(run_cli, tmp_path):
    path = tmp_path / "kind.toml"
    path.write_text('name = "x"\nsurprise = 1\n')
    completed = run_cli("kind", "set", str(path))
    assert completed.returncode == ExitCode.USAGE


def test_settings_check_lists_all_errors(tmp_path):
    program = pathlib.Path(sys.executable).with_name("cicadafold")
    path = tmp_path / "entry.toml"
    path.write_text('[member]\nname = "a b"\nlisten = "here"\n')
    completed = subprocess.run(
        [program, "settings", "check", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == ExitCode.USAGE
    for key in ("member.name", "member.listen", "platform.log"):
        assert f"{key}: found" in completed.stderr


def test_daemon_rejects_invalid_settings(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text("[member]\n")
    completed = subprocess.run(
        [sys.executable, "-m", "cicadafold.daemon.main", "--settings", path],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert "member.name: found nothing" in completed.stderr
