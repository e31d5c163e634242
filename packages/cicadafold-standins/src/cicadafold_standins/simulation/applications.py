"""Serves aiohttp applications to the calls of a simulated network."""

import asyncio
import functools
import types

from aiohttp import http
from aiohttp import streams
from aiohttp import web
import multidict

__all__ = ["Server", "resolve_call"]

MAX_BODY_BYTES = 4 << 20


def resolve_call(future, *, answer=None, error=None):
    """Resolves a call with its answer or error, unless it is resolved.

    Args:
        future: Future that the caller awaits.
        answer: Response, or None if the connection was closed without one.
        error: Exception for the caller, or None.
    """
    if future.done():
        return
    if error is not None:
        future.set_exception(error)
    else:
        future.set_result(answer)


class Server:
    """Application at one address.

    Args:
        app: The application.
        host: Host that runs it, or None for a stand-in.

    Attributes:
        calls: Futures of the calls in progress, in order of their arrival.
    """

    def __init__(self, *, app, host):
        self.app = app
        self.host = host
        self.calls = {}

    async def answer(self, call):
        """Returns the answer to a call, None if the connection is closed."""
        transport = Transport(call.source)
        coroutine = serve(self.app, call, transport)
        if self.host is None:
            return await answer_unless_aborted(coroutine, transport)
        task = self.host.spawn(answer_unless_aborted(coroutine, transport))
        future = asyncio.get_running_loop().create_future()
        self.calls[future] = None
        task.add_done_callback(
            lambda finished: resolve_call(
                future, answer=result_or_none(finished)
            )
        )
        try:
            return await future
        finally:
            del self.calls[future]

    def close(self):
        """Closes the connections of the calls in progress."""
        for future in self.calls:
            resolve_call(future)


def result_or_none(task):
    """Returns the result of a task, None if it was cancelled."""
    return None if task.cancelled() else task.result()


async def answer_unless_aborted(coroutine, transport):
    """Returns an answer, None if the server aborted the connection."""
    answer = await coroutine
    return None if transport.aborted else answer


class Request(web.Request):
    """A request whose body has been received completely.

    Attributes:
        body: The body as bytes.
    """

    async def read(self):
        """Returns the body."""
        return self.body


async def serve(app, call, transport):
    """Returns the response of an application to a call.

    Args:
        app: Application, whose middlewares are applied.
        call: Call of a simulated process.
        transport: Connection, as the application sees it.
    """
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
    """Connection of a call, as an application sees it.

    Args:
        source: Host of the caller.

    Attributes:
        aborted: Whether the application has aborted the connection.
    """

    def __init__(self, source):
        self.source = source
        self.aborted = False

    def abort(self):
        """Closes the connection without an answer."""
        self.aborted = True

    def get_extra_info(self, name, default=None):
        """Returns the caller's address as ``peername``."""
        return (self.source, 0) if name == "peername" else default
