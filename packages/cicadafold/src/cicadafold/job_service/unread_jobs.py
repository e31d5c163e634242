"""Jobs that were accepted, but that the scheduler may not have read yet."""

import asyncio

from cicadafold.peers import scheduler_client

__all__ = ["wait_until_read"]

PAUSE_S = 0.1


async def wait_until_read(query, *, called_ms, end_s):
    """Waits for the state of a job that the scheduler did not know.

    Another host may have accepted it, and the message to the scheduler may
    be lost or on its way.

    Args:
        query: Coroutine function that returns the state of the job or None,
            given the monotonic time in milliseconds by which its record may
            have been durable, or None.
        called_ms: Monotonic time of the call in milliseconds.
        end_s: Event loop time in seconds at which the wait ends.

    Returns:
        The state; None if all records from before the call have been read.

    Raises:
        Starting: The records were not read in time.
    """
    loop = asyncio.get_running_loop()
    while True:
        if await query(called_ms) is None:
            return None
        state = await query(None)
        if state is not None:
            return state
        if loop.time() + PAUSE_S >= end_s:
            raise scheduler_client.starting_error()
        await asyncio.sleep(PAUSE_S)
