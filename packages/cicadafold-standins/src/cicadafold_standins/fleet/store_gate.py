"""Access of one host to the store, with faults of its own."""

import asyncio

from aiohttp import web

__all__ = ["StoreGate"]

HOLD_S = 3600
APPEND_PATH = "/api/log-append"
# Answers to these calls are cut.
READ_PATHS = ("/api/log-read", "/api/log-newest")


class StoreGate:
    """Access of one host to the store.

    Attributes:
        refusing: Whether its calls are answered with 503.
        silent: Whether its calls get no answer and have no effect.
        late_append_s: Seconds after which its appends are executed, also if
            the host has given up on them or has ended; 0 for at once.
        cut_answers_left: Number of its coming reads whose answers end in
            the middle.
    """

    def __init__(self):
        self.refusing = False
        self.silent = False
        self.late_append_s = 0.0
        self.cut_answers_left = 0

    @web.middleware
    async def apply(self, request, handler):
        """Refuses a call, leaves it unanswered, or handles it."""
        if self.silent:
            await asyncio.sleep(HOLD_S)
        if self.refusing:
            return web.Response(status=503)
        if self.late_append_s and request.path == APPEND_PATH:
            await request.read()
            await asyncio.sleep(self.late_append_s)
        answer = await handler(request)
        if self.cut_answers_left > 0 and request.path in READ_PATHS:
            self.cut_answers_left -= 1
            return await cut_answer(request, answer)
        return answer


async def cut_answer(request, answer):
    """Sends half of an answer and closes the connection."""
    body = bytes(answer.body)
    cut = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await cut.prepare(request)
    await cut.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.abort()
    return cut
