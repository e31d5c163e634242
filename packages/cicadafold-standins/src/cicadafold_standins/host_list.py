"""Stand-in for the platform's host list service, which lags behind.

``POST /hosts`` replaces the list; readers see the new one after a delay.
"""

import asyncio

from aiohttp import web
from cicadafold.platform import messages
import msgspec

from cicadafold_standins import serving

__all__ = ["HostListService"]


class HostListService:
    """HTTP handlers of the host list.

    Args:
        lag_s: Default delay in seconds until a new list becomes visible.
    """

    def __init__(self, *, lag_s):
        self.lag_s = lag_s
        self.visible_hosts = messages.HostList(hosts=[])

    async def publish(self, request):
        """Accepts a new list and makes it visible after the delay."""
        hosts = await serving.read_json(request, messages.HostList)
        lag_s = float(request.query.get("lag_s", self.lag_s))
        loop = asyncio.get_running_loop()
        loop.call_later(lag_s, setattr, self, "visible_hosts", hosts)
        return web.Response()

    async def list_hosts(self, request):
        """Replies with the list that is visible now."""
        return serving.json_response(self.visible_hosts)


def make_app(arguments):
    """Returns the web application of the host list."""
    service = HostListService(lag_s=arguments.lag_s)
    if arguments.file:
        with open(arguments.file, "rb") as source:
            service.visible_hosts = msgspec.json.decode(
                source.read(), type=messages.HostList
            )
    app = web.Application()
    app.router.add_get("/hosts", service.list_hosts)
    app.router.add_post("/hosts", service.publish)
    return app


def add_arguments(parser):
    """Adds the command-line arguments of the host list."""
    parser.add_argument("--lag-s", type=float, default=0.5)
    parser.add_argument("--file", default="")


if __name__ == "__main__":
    serving.run(make_app, add_arguments)
