"""Tests of the coordination of requests, and of task identifiers."""

import asyncio
import types

from cicadafold.coordination import coordinator
from cicadafold.coordination import request_dispatcher
from cicadafold.ownership import task_ids
from cicadafold_schema import messages
from cicadafold_standins import fakes


def make_request(attempt):
    return request_dispatcher.PendingRequest(
        submit=messages.SubmitRequest(request_id="q", kind="k", team="t"),
        kind=fakes.make_kind(durable=True),
        deadline_ms=0.0,
        attempt=attempt,
    )


def test_second_adoption_replaces_the_task_of_the_first():
    """Guards against a request that no task coordinates any more.

    If a second adoption kept the task of the older attempt, that task would
    end without an outcome, as its attempt is no longer the current one.
    """

    async def run_scenario():
        request_coordinator = coordinator.Coordinator(
            node=types.SimpleNamespace()
        )
        started_attempts = []

        async def run_request(request):
            started_attempts.append(request.attempt)
            await asyncio.sleep(3600)

        request_coordinator.run_request = run_request
        request_coordinator.coordinate(make_request(5))
        await asyncio.sleep(0)
        first_task = request_coordinator.request_tasks["q"]
        request_coordinator.coordinate(make_request(9))
        await asyncio.sleep(0.01)
        second_task = request_coordinator.request_tasks["q"]
        second_is_active = not second_task.done()
        second_task.cancel()
        return started_attempts, first_task.cancelled(), second_is_active

    started_attempts, first_cancelled, second_is_active = asyncio.run(
        run_scenario()
    )
    assert started_attempts == [5, 9]
    assert first_cancelled and second_is_active


def test_task_id_holds_request_id_and_index():
    for count in (1, 4):
        for index in range(count):
            identifier = task_ids.task_id("q", index, count)
            assert task_ids.request_id_of(identifier) == "q"
            assert task_ids.index_of(identifier) == index
