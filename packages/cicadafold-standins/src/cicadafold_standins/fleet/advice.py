"""Stand-in for the service that names the workers a step may use."""

import asyncio

from aiohttp import web

__all__ = ["FleetAdvice"]


class FleetAdvice:
    """Grants every worker but the denied ones, one call at a time.

    Attributes:
        denied: Names of workers that are never granted.
        calls: Workers named in each call.
    """

    def __init__(self, *, decide_s=0.005):
        self.decide_s = decide_s
        self.denied = set()
        self.calls = []
        self.line = asyncio.Lock()

    def app(self):
        """Returns the application that serves advice."""
        app = web.Application()
        app.router.add_post("/api/advise", self.advise)
        return app

    async def advise(self, request):
        """Grants tickets for the workers that a step may use."""
        message = await request.json()
        async with self.line:
            await asyncio.sleep(self.decide_s)
        self.calls.append(message["workers"])
        granted = [
            [worker, f"t-{worker}"]
            for worker in message["workers"]
            if worker not in self.denied
        ]
        return web.json_response({"granted": granted})
