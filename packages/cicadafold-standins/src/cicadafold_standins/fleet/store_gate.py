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
            return cut_answer(
                request,
                bytes(answer.body),
                with_length=self.cut_answers_left % 2 == 0,
            )
        return answer


def cut_answer(request, body, *, with_length):
    """Sends half of an answer and closes the connection.

    Args:
        request: The call.
        body: Body of the whole answer.
        with_length: Whether the answer tells its length, so that the caller
            can see that it was cut.
    """
    if request.transport is None:
        return web.Response(status=503)
    length = f"Content-Length: {len(body)}\r\n" if with_length else ""
    head = f"HTTP/1.1 200 OK\r\nConnection: close\r\n{length}\r\n"
    request.transport.write(head.encode() + body[: len(body) // 2])
    request.transport.close()
    return web.Response(status=503)
