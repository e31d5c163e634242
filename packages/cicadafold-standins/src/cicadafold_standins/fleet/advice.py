"""Stand-in for the service that advises which workers a step may use."""

import asyncio

from aiohttp import web

__all__ = ["FleetAdvice"]


class FleetAdvice:
    """Grants all workers but the denied ones, one call at a time.

    Args:
        decide_s: Duration of each decision.

    Attributes:
        denied: Names of workers that are never granted.
        calls: Names of the workers in each call.
    """

    def __init__(self, *, decide_s=0.005):
        self.decide_s = decide_s
        self.denied = set()
        self.calls = []
        self.lock = asyncio.Lock()

    def app(self):
        """Returns the application that serves advice."""
        app = web.Application()
        app.router.add_post("/api/advise", self.advise)
        return app

    async def advise(self, request):
        """Returns a ticket for each worker that a step may use."""
        message = await request.json()
        async with self.lock:
            await asyncio.sleep(self.decide_s)
        self.calls.append(message["workers"])
        granted = [
            [worker, f"t-{worker}"]
            for worker in message["workers"]
            if worker not in self.denied
        ]
        return web.json_response({"granted": granted})
