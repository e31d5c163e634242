"""Fixture for a small cell of real processes, shared by all tests."""

import asyncio
import threading

import pytest
import uvloop

from cicadafold_schema import messages
from cicadafold_standins import cells
from cicadafold_standins import testcell

TIMEOUT_S = 120.0


def add_kinds(plan):
    """Adds two kinds for tests: a service, and one that fits no worker."""
    base = {
        "lane": messages.Lane.patient,
        "shape": messages.Shape.task,
        "idempotent": True,
        "durable": True,
    }
    plan.kinds.append(
        messages.Kind(name="svc", **{**base, "shape": messages.Shape.service})
    )
    plan.kinds.append(messages.Kind(name="huge", **base, cores=500.0))
    return plan


class RunningCell:
    """A cell whose event loop runs in a background thread.

    Synchronous tests call it through run().
    """

    def __init__(self, *, layout):
        self.layout = layout
        self.loop = uvloop.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.cell = None

    def run(self, coroutine):
        """Runs a coroutine on the cell's loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(TIMEOUT_S)

    async def start(self, folder):
        plan = add_kinds(cells.CELLS["tezgah"]())
        self.cell = testcell.Cell(plan=plan, layout=self.layout, folder=folder)
        await self.cell.start()

    def address(self, index=0):
        """Returns the address of an entry host."""
        return list(self.cell.entries.values())[index].address

    def post(self, path, message, index=0):
        """Posts a message to an entry host and returns status and body."""
        return self.run(self.cell.post(self.address(index), path, message))

    def close(self):
        self.run(self.cell.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@pytest.fixture(scope="session")
def running_cell(tmp_path_factory):
    """Returns a cell of 3 entry hosts and 4 workers in 2 failure domains."""
    layout = testcell.Layout(
        entries={"d1": 2, "d2": 1},
        racks={"rack-1": ("d1", 2), "rack-2": ("d2", 2)},
        regions={"d1": "r1", "d2": "r2"},
    )
    running_cell = RunningCell(layout=layout)
    running_cell.run(running_cell.start(tmp_path_factory.mktemp("cell")))
    yield running_cell
    running_cell.close()
