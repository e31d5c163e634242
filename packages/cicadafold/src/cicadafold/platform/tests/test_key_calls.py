"""Tests of keys at the HTTP interface: who is served, and what is shown."""

import asyncio
import logging
import types

import aiohttp
from aiohttp import web
import msgspec
import pytest

from cicadafold import clock
from cicadafold.configuration import holder as holder_module
from cicadafold.job_service import routes
from cicadafold.jobs import model
from cicadafold.platform import configuration_source
from cicadafold.platform import http_faults
from cicadafold.platform import job_server
from cicadafold.teams import model as team_model
from cicadafold.telemetry import metrics

BOUND_MS, REVOKE_MS = 4000.0, 5000.0
RED_KEY, BLUE_KEY = "key-of-red", "key-of-blue"
RED, BLUE = (team_model.TeamRule(name, 2.0) for name in ("red", "blue"))
KEYS = {
    team_model.key_digest(RED_KEY): "red",
    team_model.key_digest(BLUE_KEY): "blue",
}
KEYED = model.QueueRule("q", "jobs.example", "/q/", "pool-a")
OPEN = model.QueueRule("o", "jobs.example", "/o/", "pool-a", anonymous=True)
CONFIGURATION = model.Configuration(
    1,
    {"q": KEYED, "o": OPEN},
    {},
    65536,
    {"red": RED, "blue": BLUE},
    KEYS,
)
JOB = "0123456789abcdef"
BODY = b'{"steps": [{"count": 1}]}'
CALLS = [("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", "")]


class Service:
    """A job service that answers every call.

    Attributes:
        jobs: Specifications of the accepted jobs.
        asked: Arguments of the other calls.
        before_answer: Coroutine function called in each call.
    """

    def __init__(self):
        self.jobs = []
        self.asked = []
        self.before_answer = None

    async def wait(self):
        """Calls ``before_answer``."""
        if self.before_answer is not None:
            await self.before_answer()

    async def submit(self, spec, *, deadline_s):
        """Accepts a job."""
        await self.wait()
        self.jobs.append(spec)

    async def state(self, job, *, team, deadline_s):
        """Returns the state of a job."""
        self.asked.append(("state", team))
        await self.wait()
        return model.JobState.RUNNING

    async def cancel(self, job, *, team, check_team, deadline_s):
        """Cancels a job."""
        self.asked.append(("cancel", team, check_team))
        return True

    async def pending(self, queue, *, deadline_s):
        """Returns a number of jobs."""
        await self.wait()
        return 3


@pytest.fixture
def now(monkeypatch):
    """Returns a list with the time in milliseconds, which tests change."""
    found = [1e6]
    monkeypatch.setattr(clock, "boot_ms", lambda: found[0])
    return found


@pytest.fixture
def holder(now):
    """Returns the holder of a configuration that is confirmed now."""
    found = holder_module.Holder(
        bound_ms=BOUND_MS,
        routes=routes.Routes(),
        on_change=lambda _: None,
        revoke_ms=REVOKE_MS,
    )
    publish(found, now)
    return found


def publish(holder, now, **changes):
    """Lets a holder take over a changed configuration now."""
    version = holder.version + 2
    configuration = msgspec.structs.replace(
        CONFIGURATION, version=version, **changes
    )
    holder.take_reading(
        configuration_source.Reading(version + 1, version, configuration),
        now[0],
    )


@pytest.fixture
def service():
    """Returns the job service of the handler."""
    return Service()


@pytest.fixture
def handler(holder, service):
    """Returns the handler of requests."""
    return job_server.JobRequestHandler(
        service=service,
        configuration=holder,
        closing=lambda: False,
        metrics=metrics.Metrics(),
    )


@pytest.fixture
def call(handler):
    """Returns a function that makes a call and returns its status.

    It takes the method, the identifier of the job, the key, the prefix of
    the queue and a coroutine function that reads the body.
    """

    async def read_body():
        return BODY

    def make(method, job, key="", prefix="/q/", read=read_body):
        headers = {"Host": "jobs.example"}
        if key:
            headers["Cicadafold-Key"] = key
        request = types.SimpleNamespace(
            method=method,
            path=prefix + job,
            headers=headers,
            content_length=30,
            read=read,
        )
        return asyncio.run(handler.handle(request)).status

    return make


@pytest.mark.parametrize(("method", "job"), CALLS)
def test_every_call_needs_a_key(call, service, method, job):
    """One kind of call is served to everybody."""
    assert call(method, job, RED_KEY) == 200
    for key in ("", "key-of-nobody", RED_KEY + "x"):
        assert call(method, job, key) == 401
    assert len(service.jobs) <= 1


@pytest.mark.parametrize(("method", "job"), [*CALLS, ("PUT", JOB)])
def test_key_is_judged_before_anything_else(call, method, job):
    """A caller without a key learns about queues and jobs."""
    assert call(method, job or "x", "key-of-nobody") == 401


@pytest.mark.parametrize(("method", "job"), CALLS)
def test_anonymous_queue_needs_no_key(call, now, method, job):
    """Its calls are lost with those that need a key."""
    for key in ("", "key-of-nobody", RED_KEY):
        assert call(method, job, key, "/o/") == 200
    now[0] += 10 * REVOKE_MS
    assert call(method, job, "", "/o/") == 200


@pytest.mark.parametrize(("method", "job"), CALLS)
def test_cell_without_teams_needs_no_key(call, holder, now, method, job):
    """Calls of a deployment without teams get lost, also in an outage."""
    publish(holder, now, teams=None, keys={})
    assert call(method, job) == 200
    now[0] += 10 * REVOKE_MS
    assert call(method, job) == 200


@pytest.mark.parametrize(("method", "job"), CALLS)
def test_withdrawn_key_is_refused_and_a_new_one_accepted(
    call, holder, now, method, job
):
    """An earlier version of the keys stays in force."""
    assert call(method, job, "new-key") == 401
    keys = {
        team_model.key_digest("new-key"): "red",
        team_model.key_digest(BLUE_KEY): "blue",
    }
    publish(holder, now, keys=keys)
    assert call(method, job, RED_KEY) == 401
    assert call(method, job, "new-key") == 200
    assert call(method, job, BLUE_KEY) == 200


@pytest.mark.parametrize(("method", "job"), CALLS)
def test_host_without_news_asks_callers_to_come_back(call, now, method, job):
    """It accepts withdrawn keys, or refuses new ones for good."""
    now[0] += 0.8 * REVOKE_MS
    assert call(method, job, RED_KEY) == 200
    assert call(method, job, "key-of-nobody") == 503
    now[0] += 1
    assert call(method, job, RED_KEY) == 503
    assert call(method, job, "key-of-nobody") == 503


@pytest.mark.parametrize(("method", "job"), CALLS)
def test_known_newer_version_makes_refusals_temporary(
    call, holder, now, method, job
):
    """The unread version may have the key, or have withdrawn it."""
    holder.expect(10)
    assert call(method, job, RED_KEY) == 200
    assert call(method, job, "key-of-nobody") == 503
    now[0] += 0.9 * BOUND_MS
    assert call(method, job, RED_KEY) == 503


def test_call_is_judged_when_its_body_has_arrived(call, holder, service, now):
    """A call starts before the withdrawal and succeeds long after it."""

    async def read_slowly():
        now[0] += 2 * REVOKE_MS
        publish(holder, now, keys={})
        return BODY

    assert call("POST", JOB, RED_KEY, read=read_slowly) == 401
    assert service.jobs == []

    async def read_while_cut_off():
        now[0] += REVOKE_MS
        return BODY

    publish(holder, now)
    assert call("POST", JOB, RED_KEY, read=read_while_cut_off) == 503
    assert service.jobs == []


@pytest.mark.parametrize("job", ["", JOB])
def test_query_is_judged_again_after_a_pause(call, service, now, job):
    """A paused process sends an answer long after the withdrawal."""

    async def pause():
        now[0] += 2 * REVOKE_MS

    assert call("GET", job, RED_KEY) == 200
    service.before_answer = pause
    assert call("GET", job, RED_KEY) == 503
    assert call("GET", job, "", "/o/") == 200


def test_accepted_job_is_answered_as_accepted(call, service, now):
    """The caller is told that a job which will run was refused."""

    async def pause():
        now[0] += 2 * REVOKE_MS

    service.before_answer = pause
    assert call("POST", JOB, RED_KEY) == 200
    assert len(service.jobs) == 1


def test_team_is_passed_on(call, service):
    """A job has no team, or calls about it are made for another one."""
    call("POST", JOB, RED_KEY)
    call("POST", JOB, "", "/o/")
    assert [spec.team for spec in service.jobs] == [RED, None]
    call("GET", JOB, BLUE_KEY)
    call("DELETE", JOB, BLUE_KEY)
    call("DELETE", JOB, "", "/o/")
    assert service.asked == [
        ("state", "blue"),
        ("cancel", "blue", True),
        ("cancel", "", True),
    ]


def test_keys_are_neither_logged_nor_counted(call, handler, now, caplog):
    """A key can be read in a log or in the metrics."""
    with caplog.at_level(logging.DEBUG):
        for key in (RED_KEY, "a-wrong-key", "ü" * 9, "x" * 5000):
            for method, job in CALLS:
                call(method, job, key)
        now[0] += REVOKE_MS
        call("GET", JOB, RED_KEY)
    lines = [str(vars(record)) for record in caplog.records]
    shown = "".join(lines) + handler.metrics.render()
    for key in (RED_KEY, "a-wrong-key", "ü" * 9, "x" * 5000):
        assert key not in shown
    refused = [line for line in lines if "refused for their key" in line]
    assert 1 <= len(refused) <= 3
    assert 'cicadafold_key_refusals{reason="unknown_key"} 12' in shown
    assert 'cicadafold_key_refusals{reason="keys_expired"} 1' in shown


def serve(handler, scenario):
    """Runs a scenario with the address of a server of the handler."""

    async def run():
        app = job_server.make_caller_app(handler)
        runner = web.AppRunner(
            app, access_log=None, **job_server.SERVER_OPTIONS
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        try:
            return await scenario(port)
        finally:
            await runner.cleanup()

    return asyncio.run(run())


async def send_raw(port, key):
    """Sends a call with any bytes as its key and returns the status line."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nCicadafold-Key: "
        + key
        + b"\r\n\r\n"
    )
    await writer.drain()
    answer = await reader.read(65536)
    writer.close()
    return answer


@pytest.mark.parametrize(
    "key",
    [
        b"x" * 5000,
        b"x" * 100_000,
        b"\xff\xfe\xfd",
        "schlüssel".encode(),
        "schlüssel".encode("latin-1"),
        b"",
        RED_KEY.encode() + b"\xff",
    ],
)
def test_odd_header_is_an_unknown_key(handler, key):
    """A long or non-ASCII header causes an error."""

    async def scenario(port):
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n"
                b"Cicadafold-Key: " + key + b"\r\n\r\n"
            )
            line = await reader.readline()
            writer.close()
            return line

    assert b" 401 " in serve(handler, scenario)


@pytest.mark.parametrize(
    "key", [b"secret-1\x00", b"secret-2\x01\r\nX", b"secret-3" * 100_000]
)
def test_malformed_request_is_not_logged(handler, key, caplog):
    """The HTTP library logs the line that it cannot parse, with the key."""

    async def scenario(port):
        async with asyncio.timeout(5):
            for _ in range(20):
                try:
                    answer = await send_raw(port, key)
                except ConnectionError:
                    continue
                assert b" 200 " not in answer.split(b"\r\n")[0]

    for each in logging.getLogger(http_faults.SERVER_LOGGER).filters:
        each.logged_ms = -1e9
    with caplog.at_level(logging.DEBUG):
        serve(handler, scenario)
    shown = "".join(str(vars(record)) for record in caplog.records)
    assert "secret" not in shown + caplog.text
    assert len(caplog.records) <= 2


def test_connection_is_judged_anew_for_each_call(handler, holder, now):
    """A kept connection goes on with a key that was withdrawn meanwhile."""

    async def scenario(port):
        async with aiohttp.ClientSession() as session:

            async def status():
                async with session.get(
                    f"http://127.0.0.1:{port}/q/",
                    headers={
                        "Host": "jobs.example",
                        "Cicadafold-Key": RED_KEY,
                    },
                ) as answer:
                    return answer.status

            first = await status()
            publish(holder, now, keys={})
            second = await status()
            now[0] += REVOKE_MS
            return first, second, await status()

    assert serve(handler, scenario) == (200, 401, 503)
