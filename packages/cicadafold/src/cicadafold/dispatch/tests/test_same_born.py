"""Tests of incarnations of a worker that tell the same start."""

import asyncio

from cicadafold.dispatch import runs
from cicadafold.dispatch.tests import test_worker_link
from cicadafold.jobs import model
from cicadafold.platform import worker_client

job = test_worker_link.job
link = test_worker_link.link


def test_ends_of_a_new_incarnation_with_the_same_start_are_recorded(link, job):
    """Its clock starts again, and so do the numbers of its ends."""
    for index, clock_ms in ((0, 9000), (1, 1100)):
        run = test_worker_link.add_run(link, job, runs.RunState.RUNNING, index)
        end = model.EndReport(1, run.name, 1, model.EndKind.DONE, "")
        link.client.inventory = worker_client.Inventory(clock_ms, 1, [], [end])
        asyncio.run(link.renew(wait=True))
    assert link.events.ends == [1, 1]
