"""Tests of answers to callers by a configuration that may be outdated."""

import asyncio
import types

import pytest

from cicadafold import clock
from cicadafold.configuration import holder as holder_module
from cicadafold import exception
from cicadafold.job_service import routes
from cicadafold.jobs import model
from cicadafold.platform import configuration_source
from cicadafold.platform import job_server

BOUND_MS = 4000.0
RULE = model.QueueRule("q", "jobs.example", "/q/", "pool-a")
KNOWN, UNKNOWN = "/q/", "/new/"
JOB = "0123456789abcdef"


class Service:
    """A job service that answers every call."""

    async def submit(self, spec, *, deadline_s):
        """Accepts a job."""

    async def state(self, job, *, team, deadline_s):
        """Returns the state of a job."""
        return model.JobState.RUNNING

    async def pending(self, queue, *, deadline_s):
        """Returns a number of jobs."""
        return 3


@pytest.fixture
def holder():
    """Returns the holder of a configuration with one queue."""
    found = holder_module.Holder(
        bound_ms=BOUND_MS, routes=routes.Routes(), on_change=lambda _: None
    )
    configuration = model.Configuration(1, {"q": RULE}, {}, 65536)
    found.take_reading(
        configuration_source.Reading(1, 0, configuration), clock.boot_ms()
    )
    return found


@pytest.fixture
def status_of(holder):
    """Returns a function that makes a call and returns its status."""
    handler = job_server.JobRequestHandler(
        service=Service(),
        configuration=holder,
        closing=lambda: False,
        metrics=None,
    )

    async def read():
        return b'{"steps": [{"count": 1}]}'

    def call(method, path):
        request = types.SimpleNamespace(
            method=method,
            path=path,
            headers={"Host": "jobs.example"},
            content_length=30,
            read=read,
        )

        async def route():
            try:
                return (await handler.route(request)).status
            except exception.CicadafoldError as error:
                return error.status

        return asyncio.run(route())

    return call


def grow_old(holder):
    """Lets the time pass in which a configuration must be in force."""
    holder.freshness.confirmed_ms -= BOUND_MS


def test_unknown_queue_is_not_found_while_the_configuration_is_confirmed(
    status_of,
):
    """There is no newer configuration that could have it."""
    assert status_of("GET", UNKNOWN) == 404
    assert status_of("GET", KNOWN) == 200


def test_unknown_queue_is_not_called_missing_when_it_may_be_new(
    status_of, holder
):
    """The caller is asked to come back instead."""
    grow_old(holder)
    assert status_of("GET", UNKNOWN) == 503
    assert status_of("POST", UNKNOWN + JOB) == 503


def test_unknown_queue_may_be_in_a_configuration_that_is_on_its_way(
    status_of, holder
):
    """Even before the time has passed in which it must be in force."""
    holder.expect(2)
    assert status_of("GET", UNKNOWN) == 503
    assert status_of("POST", KNOWN + JOB) == 200


def test_overdue_configuration_may_have_dropped_a_queue(status_of, holder):
    """No job is accepted for it, but the state of jobs is still true."""
    holder.expect(2)
    grow_old(holder)
    assert status_of("POST", KNOWN + JOB) == 503
    assert status_of("GET", KNOWN) == 503
    assert status_of("GET", KNOWN + JOB) == 200


def test_jobs_are_accepted_while_nothing_newer_is_known(status_of, holder):
    """An outage of the store must not keep a host from relaying records."""
    grow_old(holder)
    assert status_of("POST", KNOWN + JOB) == 200
    assert status_of("GET", KNOWN) == 200
