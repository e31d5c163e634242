"""Tests of the key that the job commands send."""

import asyncio

from aiohttp import web
from cleo.testers import command_tester
import pytest

from cicadafold.cli import job_commands
from cicadafold import exception
from cicadafold.platform import job_client

KEY = "a-secret-key"


@pytest.fixture
def received(monkeypatch):
    """Returns the headers of the calls that a client would send."""
    found = []

    async def call_once(self, method, job, body):
        found.append(self.headers)
        return 200, {"pending": 4}

    monkeypatch.setattr(job_client.JobClient, "call_once", call_once)
    monkeypatch.delenv(job_commands.KEY_VARIABLE, raising=False)
    return found


def run(options=""):
    """Runs the command that counts a queue, and returns its output."""
    tester = command_tester.CommandTester(job_commands.JobPendingCommand())
    status = tester.execute(options)
    return status, tester.io.fetch_output() + tester.io.fetch_error()


def test_no_key_is_sent_by_default(received):
    """A cell without teams gets a header that it does not know."""
    assert run()[0] == 0
    assert "Cicadafold-Key" not in received[0]


def test_key_is_read_from_the_environment_or_a_file(
    received, monkeypatch, tmp_path
):
    """A key can only be given where other users can read it."""
    monkeypatch.setenv(job_commands.KEY_VARIABLE, KEY)
    status, output = run()
    path = tmp_path / "key"
    path.write_text("other-key\n")
    run(f"--key-file {path}")
    sent = [headers["Cicadafold-Key"] for headers in received]
    assert sent == [KEY, "other-key"]
    assert status == 0
    assert KEY not in output


def test_help_does_not_show_the_key(received, monkeypatch):
    """The help text shows the value of the variable as the default."""
    monkeypatch.setenv(job_commands.KEY_VARIABLE, KEY)
    shown = str([vars(each) for each in job_commands.OPTIONS])
    assert KEY not in shown
    assert job_commands.KEY_VARIABLE in shown


@pytest.mark.parametrize("content", [b"\xff\xfe", b"two\nlines", None])
def test_unusable_key_file_is_refused(received, tmp_path, content):
    """The command fails with a trace, or sends two headers."""
    path = tmp_path / "key"
    if content is not None:
        path.write_bytes(content)
    status, output = run(f"--key-file {path}")
    assert status == 2
    assert "Remedy: " in output
    assert "lines" not in output
    assert received == []


def test_refused_key_is_reported_as_not_run():
    """The outcome of a call with a bad key is called unknown."""

    async def refuse(request):
        return web.json_response({"error": "No team"}, status=401)

    async def scenario():
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", refuse)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        client = job_client.JobClient(
            address=f"127.0.0.1:{port}", authority="h", prefix="/", key=KEY
        )
        try:
            return await client.call_once("GET", "", None)
        finally:
            await runner.cleanup()

    error = job_client.error_from_status(*asyncio.run(scenario()))
    assert isinstance(error, exception.InvalidCall)
    assert KEY not in str(error)
