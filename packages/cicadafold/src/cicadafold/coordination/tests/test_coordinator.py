"""The latest attempt of a request is the one that is coordinated."""

import asyncio
import types

from cicadafold.coordination import coordinator
from cicadafold.coordination import request_dispatcher
from cicadafold.ownership import task_ids
from cicadafold_schema import messages
from cicadafold_standins import memory


def make_request(attempt):
    return request_dispatcher.PendingRequest(
        submit=messages.SubmitRequest(request_id="q", kind="k", team="t"),
        kind=memory.make_kind(durable=True),
        deadline_ms=0.0,
        attempt=attempt,
    )


def test_second_adoption_replaces_the_first():
    """Failed before: the task of the older attempt kept the place.

    The older task ended without an outcome, as its attempt was no longer
    the current one, and nobody looked after the request.
    """

    async def go():
        made = coordinator.Coordinator(node=types.SimpleNamespace())
        placed = []

        async def run_request(request):
            placed.append(request.attempt)
            await asyncio.sleep(3600)

        made.run_request = run_request
        made.coordinate(make_request(5))
        await asyncio.sleep(0)
        first = made.request_tasks["q"]
        made.coordinate(make_request(9))
        await asyncio.sleep(0.01)
        second = made.request_tasks["q"]
        second_lives = not second.done()
        second.cancel()
        return placed, first.cancelled(), second_lives

    placed, first_cancelled, second_lives = asyncio.run(go())
    assert placed == [5, 9]
    assert first_cancelled and second_lives


def test_task_names_give_the_request_back():
    for count in (1, 4):
        for index in range(count):
            name = task_ids.task_id("q", index, count)
            assert task_ids.request_id_of(name) == "q"
            assert task_ids.index_of(name) == index
