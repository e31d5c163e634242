"""Tests of calls of workers that fail in unforeseen ways."""

import asyncio

import aiohttp
import pytest

from cicadafold import exception
from cicadafold.platform import worker_client
from cicadafold.telemetry import metrics


@pytest.mark.parametrize(
    ("address", "worker"),
    [("h" * 64 + ".example:80", "i-1"), ("127.0.0.1:1", "i-1\r\nx: y")],
)
def test_worker_that_cannot_be_called_does_not_answer(address, worker):
    """Errors of the HTTP library about one worker ended the term of all."""

    async def scenario():
        async with aiohttp.ClientSession() as session:
            client = worker_client.WorkerClient(
                session=session,
                address=address,
                worker=worker,
                fence=1,
                metrics=metrics.Metrics(),
            )
            with pytest.raises(exception.TargetUnreachable):
                await client.renew(
                    acknowledged=0, deadline_ms=None, wait_ms=0, timeout_s=2.0
                )

    asyncio.run(scenario())
