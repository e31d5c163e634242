"""Lets applications answer the calls of a simulated network."""

import asyncio
import functools
import types

from aiohttp import http
from aiohttp import streams
from aiohttp import web
import multidict

__all__ = ["Server", "settle"]

MAX_BODY_BYTES = 4 << 20


def settle(found, *, answer=None, error=None):
    """Gives a call its answer or its failure."""
    if found.done():
        return
    if error is not None:
        found.set_exception(error)
    else:
        found.set_result(answer)


class Server:
    """One address: an application, and the process that runs it."""

    def __init__(self, *, app, host):
        self.app = app
        self.host = host
        self.calls = {}

    async def answer(self, call):
        """Returns the answer to a call, None if it breaks off."""
        transport = Transport(call.source)
        work = serve(self.app, call, transport)
        if self.host is None:
            return await broken_off(work, transport)
        task = self.host.spawn(broken_off(work, transport))
        found = asyncio.get_running_loop().create_future()
        self.calls[found] = None
        task.add_done_callback(
            lambda done: settle(found, answer=result_of(done))
        )
        try:
            return await found
        finally:
            del self.calls[found]

    def close(self):
        """Breaks off the calls in hand."""
        for found in self.calls:
            settle(found)


def result_of(task):
    """Returns what a call's task has made, None if it was cancelled."""
    return None if task.cancelled() else task.result()


async def broken_off(work, transport):
    """Returns an answer, None if its server has cut the connection."""
    answer = await work
    return None if transport.aborted else answer


class Request(web.Request):
    """A request that has arrived whole.

    Attributes:
        body: Its body.
    """

    async def read(self):
        """Returns the body."""
        return self.body


async def serve(app, call, transport):
    """Lets an application answer a call."""
    loop = asyncio.get_running_loop()
    protocol = types.SimpleNamespace(
        transport=transport,
        ssl_context=None,
        peername=(call.source, 0),
        sockname=None,
    )
    body = call.data or b""
    headers = multidict.CIMultiDict(
        {"Host": call.url.host, "Content-Length": str(len(body))}
    )
    headers.update(call.headers or {})
    raw = tuple((k.encode(), v.encode()) for k, v in headers.items())
    message = http.RawRequestMessage(
        call.method,
        call.url.raw_path_qs,
        http.HttpVersion11,
        multidict.CIMultiDictProxy(headers),
        raw,
        False,
        None,
        False,
        False,
        call.url.relative(),
    )
    request = Request(
        message,
        streams.EMPTY_PAYLOAD,
        protocol,
        None,
        None,
        loop,
        client_max_size=MAX_BODY_BYTES,
        remote=call.source,
    )
    request.body = body
    match = await app.router.resolve(request)
    handler = match.handler
    for middleware in reversed(app.middlewares):
        handler = functools.partial(middleware, handler=handler)
    try:
        return await handler(request)
    except web.HTTPException as error:
        return error


class Transport:
    """What an application sees of the connection."""

    def __init__(self, source):
        self.source = source
        self.aborted = False

    def abort(self):
        """Cuts the connection."""
        self.aborted = True

    def get_extra_info(self, name, default=None):
        """Tells the caller's address."""
        return (self.source, 0) if name == "peername" else default
