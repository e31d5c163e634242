"""A naive scheduler that the same checks must report as broken.

Every process places on its own, without an owner of the rack, without a
ledger, without fences, and with a configuration of its own. A lost answer
is repeated on another worker, a time-out is called "not run", and answers
of a worker are given out in the order of the requests. It is never
shipped and serves to show that each check of a proof can fail.
"""

import argparse
import asyncio
import collections
import random
import signal
import tomllib

import aiohttp
from aiohttp import web
from cicadafold import exception
from cicadafold.platform import http_adapters
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
import uvloop

from cicadafold_standins import serving

__all__ = ["NaiveScheduler"]

ANSWER_TIMEOUT_S = 0.5
# Share of the tasks that go to the first few workers, and how many these are.
HOTSPOT_SHARE = 0.7
HOTSPOT_HOSTS = 3
MAX_TRIES = 3
LEASE_MS = 60_000
SHARED_FENCE = 1 << 40
MS_PER_S = 1000


class NaiveScheduler:
    """HTTP handlers of the naive scheduler."""

    def __init__(self, *, settings):
        self.settings = settings
        self.name = settings["member"]["name"]
        self.routes = settings["platform"].get("routes", {})
        self.configuration = messages.Configuration(
            revision=0, kinds=[], teams=[]
        )
        self.session = None
        self.hosts = []
        self.pending_results = collections.defaultdict(collections.deque)
        self.rng = random.Random(self.name)

    def resolve(self, address):
        """Returns the address to use for an announced one."""
        return self.routes.get(address, address)

    async def load_hosts(self, app):
        """Reads the list of workers once, and keeps it."""
        self.session = aiohttp.ClientSession()
        source = http_adapters.HttpHostSource(
            session=self.session,
            address=self.resolve(self.settings["platform"]["hosts"]),
        )
        while not self.hosts:
            try:
                self.hosts = await source.list_hosts()
            except exception.TargetUnreachable:
                await asyncio.sleep(0.1)

    def client(self, host):
        """Returns the client of a worker."""
        return http_adapters.HttpTargetClient(
            session=self.session, address=self.resolve(host.address)
        )

    async def submit(self, request):
        """Starts a request on random workers."""
        submission = await serving.read_json(request, messages.SubmitRequest)
        kinds = {kind.name: kind for kind in self.configuration.kinds}
        kind = kinds[submission.kind]
        results = await asyncio.gather(
            *(
                self.run_task(
                    submission, kind, self.task_id(submission, kind, index)
                )
                for index in range(kind.tasks)
            )
        )
        if any(result is None for result in results):
            return not_run_response()
        answer = messages.Answer(
            request_id=submission.request_id,
            outcome=messages.Outcome.done,
            result=",".join(results),
        )
        return serving.json_response(answer)

    def task_id(self, submission, kind, index):
        """Returns the id of a task."""
        if kind.tasks == 1:
            return submission.request_id
        return f"{submission.request_id}~{index}"

    async def run_task(self, submission, kind, task_id):
        """Tries a task on up to three workers."""
        for _ in range(MAX_TRIES):
            host = self.choose_host()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await self.start(host, submission, kind, task_id)
            except (exception.CicadafoldError, TimeoutError):
                continue
        return None

    def choose_host(self):
        """Returns a random worker, most times one of the first few.

        Packing without counting fills workers over in every round; purely
        random choice did so a few times in most rounds, and not in all.
        """
        use_hotspot = self.rng.random() < HOTSPOT_SHARE
        return self.rng.choice(
            self.hosts[:HOTSPOT_HOSTS] if use_hotspot else self.hosts
        )

    async def start(self, host, submission, kind, task_id):
        """Starts a task on one worker and returns its result."""
        client = self.client(host)
        inventory = await client.fence(SHARED_FENCE)
        future = asyncio.get_running_loop().create_future()
        self.pending_results[host.name].append(future)
        reply = await client.start(
            platform.StartTask(
                task_id=task_id,
                epoch=inventory.epoch,
                fence=SHARED_FENCE,
                start_by_ms=inventory.now_ms + LEASE_MS,
                lease_until_ms=inventory.now_ms + LEASE_MS,
                cores=kind.cores,
                memory_mb=kind.memory_mb,
                payload=submission.payload,
            )
        )
        oldest = self.pending_results[host.name].popleft()
        if not oldest.done():
            oldest.set_result(reply.tasks[0].result)
        return await future

    async def apply(self, request):
        """Takes any change, on this process alone."""
        change = await serving.read_json(request, messages.ConfigurationChange)
        self.configuration = change.configuration
        self.configuration.revision = change.base_revision + 1
        return serving.json_response(self.configuration)

    async def show(self, request):
        """Shows the configuration of this process."""
        return serving.json_response(self.configuration)

    async def show_cell(self, request):
        """Shows every rack as free and owned by this process."""
        racks = [
            messages.Rack(
                name=name,
                region="",
                owner=self.name,
                term=1,
                workers=1,
                free_slots=1,
                queued=0,
            )
            for name in sorted({host.rack for host in self.hosts})
        ]
        cell = messages.Cell(
            member=self.name,
            revision=self.configuration.revision,
            log_offset=0,
            members=[],
            racks=racks,
        )
        return serving.json_response(cell)


def not_run_response():
    """Builds an answer that may be untrue."""
    reply = exception.Overloaded(
        message="No worker answered in time.",
        remedy="Submit again.",
        retry_after_ms=MS_PER_S,
    ).reply()
    return serving.json_response(reply, status=429)


async def healthz(request):
    """Always says that the process is well."""
    return web.Response(text="ready")


async def serve(settings):
    """Runs the naive scheduler until it is stopped at once."""
    naive = NaiveScheduler(settings=settings)
    app = web.Application()
    app.on_startup.append(naive.load_hosts)
    app.router.add_post("/v1/requests", naive.submit)
    app.router.add_post("/v1/configuration", naive.apply)
    app.router.add_get("/v1/configuration", naive.show)
    app.router.add_get("/v1/cell", naive.show_cell)
    app.router.add_get("/healthz", healthz)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
    await runner.setup()
    host, _, port = settings["member"]["listen"].rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()


def main():
    """Runs the naive scheduler."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    arguments = parser.parse_args()
    with open(arguments.settings, "rb") as source:
        settings = tomllib.load(source)
    uvloop.run(serve(settings))


if __name__ == "__main__":
    main()
