"""A planned stop: hands everything over and cuts no request in flight."""

import asyncio

from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["drain"]

POLL_S = 0.05
LEAVE_TIMEOUT_S = 1.0

LOG = logs.get_logger("node")


async def drain(node):
    """Hands racks over, answers what is in flight, and leaves the cell.

    Args:
        node: The node that stops.
    """
    LOG.info("The drain has begun.")
    node.view.draining = True
    node.keeper.draining = True
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + node.settings["drain.deadline_s"]
    await asyncio.sleep(node.settings["drain.grace_s"])
    while loop.time() < deadline_s and is_busy(node):
        await asyncio.sleep(POLL_S)
    node.coordinator.release_waiters()
    await asyncio.sleep(POLL_S)
    await leave(node)
    LOG.info("The drain has ended.")


def is_busy(node):
    """Whether racks or requests are still in this process's hands."""
    retiring = any(
        work.reply is None
        for owner in node.keeper.retiring.values()
        for work in owner.works.values()
    )
    return bool(node.keeper.owners) or retiring or node.in_flight > 0


async def leave(node):
    """Appends the leave record, if the log takes it."""
    record = records.Leave(member=node.name, incarnation=node.incarnation)
    try:
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await node.appender.append(record)
    except (exception.CicadafoldError, TimeoutError):
        LOG.warning("The leave could not be recorded.")
