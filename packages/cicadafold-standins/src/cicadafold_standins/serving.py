"""Runs the aiohttp application of a stand-in until SIGTERM or SIGINT."""

import argparse
import asyncio
import signal

from aiohttp import web
import msgspec
import uvloop

__all__ = ["add_listen_argument", "json_response", "read_json", "run"]


def add_listen_argument(parser):
    """Adds ``--listen HOST:PORT`` to an argument parser."""
    parser.add_argument("--listen", required=True, help="HOST:PORT")


def json_response(message, *, status=200):
    """Returns an HTTP response with a message encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type="application/json",
    )


async def read_json(request, kind):
    """Returns the JSON body of an HTTP request, decoded as a type."""
    return msgspec.json.decode(await request.read(), type=kind)


async def serve(app, listen):
    """Serves an application on ``HOST:PORT`` until SIGTERM or SIGINT."""
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    app["runner"] = runner
    await web.TCPSite(runner, host, int(port), backlog=512).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def run(make_app, add_arguments=None):
    """Parses the command line, creates the application and serves it.

    Args:
        make_app: Function that returns an application for the parsed
            arguments.
        add_arguments: Function that adds arguments to a parser.
    """
    parser = argparse.ArgumentParser()
    add_listen_argument(parser)
    if add_arguments is not None:
        add_arguments(parser)
    arguments = parser.parse_args()
    uvloop.run(serve(make_app(arguments), arguments.listen))
