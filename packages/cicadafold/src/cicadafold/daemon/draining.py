"""Drain before a planned stop of the single-request path's process.

Other processes take over the racks, and requests in flight finish.
"""

import asyncio

from cicadafold.controllog import records
from cicadafold import exception
from cicadafold.telemetry import logs

__all__ = ["drain"]

POLL_S = 0.05
LEAVE_TIMEOUT_S = 1.0

LOG = logs.get_logger("node")


async def drain(node):
    """Hands racks over, finishes requests in flight, and leaves the cell.

    Waits until nothing is left to do, at most until the drain deadline of
    the settings.

    Args:
        node: ``Node`` of the process that stops.
    """
    LOG.info(
        "Draining the process: handing over its racks and finishing its "
        "requests."
    )
    node.view.draining = True
    node.rack_claimer.draining = True
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + node.settings["drain.deadline_s"]
    await asyncio.sleep(node.settings["drain.grace_s"])
    while loop.time() < deadline_s and is_busy(node):
        await asyncio.sleep(POLL_S)
    node.coordinator.release_waiters()
    await asyncio.sleep(POLL_S)
    await leave(node)
    LOG.info("The drain has ended; the process stops.")


def is_busy(node):
    """Whether the process still owns racks or has requests to answer."""
    retiring = any(
        request.reply is None
        for owner in node.rack_claimer.retiring.values()
        for request in owner.requests.values()
    )
    return bool(node.rack_claimer.owners) or retiring or node.in_flight > 0


async def leave(node):
    """Appends the leave record to the control log; a failure is logged."""
    record = records.Leave(member=node.name, incarnation=node.incarnation)
    try:
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await node.appender.append(record)
    except (exception.CicadafoldError, TimeoutError):
        LOG.warning(
            "Could not append the leave record; the process stops without it."
        )
