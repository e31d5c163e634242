"""A deliberately incorrect scheduler, to test the checks of ``prove``.

The checks must report it as broken, which shows that each of them can fail.
It is not part of a release. Its faults:

- Every process places tasks on its own: there are no rack owners, no control
  log and no working fences.
- Every process has its own configuration.
- A task whose answer is lost is started again on another worker.
- A time-out is reported as "not run", although the task may have run.
- Answers of a worker are assigned to requests in the order in which the
  requests were sent.
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
# Share of the tasks that are sent to the first HOTSPOT_HOSTS workers only.
HOTSPOT_SHARE = 0.7
HOTSPOT_HOSTS = 3
MAX_TRIES = 3
LEASE_MS = 60_000
# All processes use the same, highest fence, so that no worker rejects any.
HIGHEST_FENCE = 1 << 40
RETRY_AFTER_MS = 1000


class NaiveScheduler:
    """HTTP handlers of one process of the naive scheduler.

    Args:
        settings: Content of the settings file.

    Attributes:
        routes: Address to connect to, by the announced address.
        hosts: Workers, as listed once at the start.
        pending_results: Futures of started tasks by worker, oldest first.
    """

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
        """Returns the address to connect to for an announced address."""
        return self.routes.get(address, address)

    async def load_hosts(self, app):
        """Reads the list of workers once, repeating until it is not empty."""
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
        """Returns a client for calls to a worker."""
        return http_adapters.HttpTargetClient(
            session=self.session, address=self.resolve(host.address)
        )

    async def submit(self, request):
        """Runs the tasks of a request on random workers and answers."""
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
        """Returns the id of a task of a request, by its index."""
        if kind.tasks == 1:
            return submission.request_id
        return f"{submission.request_id}~{index}"

    async def run_task(self, submission, kind, task_id):
        """Tries to run a task on up to ``MAX_TRIES`` random workers.

        Returns:
            Result of the task, or None if no worker answered in time.
        """
        for _ in range(MAX_TRIES):
            host = self.choose_host()
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await self.start(host, submission, kind, task_id)
            except (exception.CicadafoldError, TimeoutError):
                continue
        return None

    def choose_host(self):
        """Returns a random worker, in most cases one of the first few.

        Sending most tasks to a few workers without counting their capacity
        overfills workers in every round of ``prove``. A uniformly random
        choice did so a few times in most rounds, but not in all.
        """
        use_hotspot = self.rng.random() < HOTSPOT_SHARE
        return self.rng.choice(
            self.hosts[:HOTSPOT_HOSTS] if use_hotspot else self.hosts
        )

    async def start(self, host, submission, kind, task_id):
        """Starts a task on one worker and returns a result.

        The result of a reply goes to the oldest waiting task of the worker,
        which need not be the task that the reply belongs to.
        """
        client = self.client(host)
        inventory = await client.fence(HIGHEST_FENCE)
        future = asyncio.get_running_loop().create_future()
        self.pending_results[host.name].append(future)
        reply = await client.start(
            platform.StartTask(
                task_id=task_id,
                epoch=inventory.epoch,
                fence=HIGHEST_FENCE,
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
        """Applies any configuration change, to this process only."""
        change = await serving.read_json(request, messages.ConfigurationChange)
        self.configuration = change.configuration
        self.configuration.revision = change.base_revision + 1
        return serving.json_response(self.configuration)

    async def show(self, request):
        """Answers with the configuration of this process."""
        return serving.json_response(self.configuration)

    async def show_cell(self, request):
        """Answers that this process owns all racks, each with a free slot."""
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
    """Returns a "not run" response, although the tasks may have run."""
    reply = exception.Overloaded(
        message="No worker answered in time.",
        remedy="Submit again.",
        retry_after_ms=RETRY_AFTER_MS,
    ).reply()
    return serving.json_response(reply, status=429)


async def healthz(request):
    """Answers that the process is ready, whatever its state."""
    return web.Response(text="ready")


async def serve(settings):
    """Runs the naive scheduler until SIGTERM, then exits without draining."""
    scheduler = NaiveScheduler(settings=settings)
    app = web.Application()
    app.on_startup.append(scheduler.load_hosts)
    app.router.add_post("/v1/requests", scheduler.submit)
    app.router.add_post("/v1/configuration", scheduler.apply)
    app.router.add_get("/v1/configuration", scheduler.show)
    app.router.add_get("/v1/cell", scheduler.show_cell)
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
    """Runs one process of the naive scheduler."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    arguments = parser.parse_args()
    with open(arguments.settings, "rb") as source:
        settings = tomllib.load(source)
    uvloop.run(serve(settings))


if __name__ == "__main__":
    main()
