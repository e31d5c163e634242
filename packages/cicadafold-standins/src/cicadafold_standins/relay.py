"""A relay without scheduling, the baseline of the benchmark.

It accepts the same submit calls as an entry host and starts each request
on the next worker in round-robin order, with the same payloads and
libraries.
"""

import itertools

import aiohttp
from aiohttp import web
from cicadafold.platform import http_adapters
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import msgspec

from cicadafold_standins import serving

__all__ = ["Relay"]

LEASE_MS = 60_000
HIGHEST_FENCE = 1 << 40

decode_submit = msgspec.json.Decoder(messages.SubmitRequest).decode


class Relay:
    """HTTP handlers of the relay.

    Attributes:
        addresses: Addresses of the workers.
        clients: Client of each worker and the worker's reply to the fence.
        request_count: Counter that selects the next worker.
    """

    def __init__(self, *, addresses):
        self.addresses = addresses
        self.clients = []
        self.request_count = itertools.count()

    async def connect(self, app):
        """Connects to each worker and reads its clock and epoch."""
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            skip_auto_headers=("User-Agent", "Content-Type"),
        )
        for address in self.addresses:
            client = http_adapters.HttpTargetClient(
                session=session, address=address
            )
            self.clients.append((client, await client.fence(HIGHEST_FENCE)))

    async def submit(self, request):
        """Starts a request on the next worker and replies with its result."""
        submitted = decode_submit(await request.read())
        client, fence_reply = self.clients[
            next(self.request_count) % len(self.clients)
        ]
        reply = await client.start(
            platform.StartTask(
                task_id=submitted.request_id,
                epoch=fence_reply.epoch,
                fence=HIGHEST_FENCE,
                start_by_ms=fence_reply.now_ms + 10 * LEASE_MS,
                lease_until_ms=fence_reply.now_ms + 10 * LEASE_MS,
                payload=submitted.payload,
            )
        )
        answer = messages.Answer(
            request_id=submitted.request_id,
            outcome=messages.Outcome.done,
            result=reply.tasks[0].result,
        )
        return serving.json_response(answer)


async def healthz(request):
    """Replies that the relay is ready."""
    return web.Response(text="ready")


def make_app(arguments):
    """Returns the web application of the relay."""
    relay = Relay(addresses=arguments.worker)
    app = web.Application()
    app.on_startup.append(relay.connect)
    app.router.add_post("/v1/requests", relay.submit)
    app.router.add_get("/healthz", healthz)
    return app


def add_arguments(parser):
    """Adds the command-line arguments of the relay."""
    parser.add_argument("--worker", action="append", required=True)


if __name__ == "__main__":
    serving.run(make_app, add_arguments)
