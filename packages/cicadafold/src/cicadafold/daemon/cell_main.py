"""Entry point of a process of the cell."""

import asyncio
import gc
import signal
import sys

from aiohttp import web
import aiomisc
import uvloop

from cicadafold.daemon import cell_node
from cicadafold.peers import scheduler_link
from cicadafold.platform import boot
from cicadafold.platform import job_server
from cicadafold.telemetry import logs
from cicadafold.telemetry import rate_limited

__all__ = ["CellService", "main"]

EXIT_USAGE = 2
BACKLOG = 512
GC_THRESHOLD = 50_000
# Share of the time until the kill in which requests in hand come to their
# end, after the balancer has noticed.
FINISH_SHARE = 0.4

LOG = logs.get_logger("node")


class CellService(aiomisc.Service):
    """Runs one process from its start to the end of its drain."""

    settings = None

    async def start(self):
        """Serves until the process is asked to stop."""
        loop = asyncio.get_running_loop()
        node = cell_node.CellNode(settings=self.settings)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, node.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        runners = await self.serve(node)
        gc.freeze()
        parts = asyncio.create_task(node.supervisor().run())
        LOG.info("The process has started.", fields={"node": node.member})
        waiting = asyncio.create_task(node.stop_requested.wait())
        await asyncio.wait(
            {waiting, parts}, return_when=asyncio.FIRST_COMPLETED
        )
        if not parts.done():
            await node.drain(runners[0].cleanup)
        parts.cancel()
        for runner in runners[1:]:
            await runner.cleanup()
        await node.close()
        LOG.info("The process has stopped.")
        loop.stop()

    def on_reload(self):
        """Reads the settings again and says what would change."""
        result = boot.load(boot.settings_path())
        if result.is_error():
            for fault in result.error:
                LOG.error("The new settings have a fault: %s", fault)
            return
        LOG.info(
            "The settings were read again.",
            fields={"changed": result.ok != self.settings},
        )

    async def serve(self, node):
        """Opens all addresses of the settings."""
        settings = self.settings
        calls = job_server.JobRequestHandler(
            service=node.job_service,
            routes=node.routes,
            closing=lambda: not node.ready(),
            metrics=node.metrics,
        )
        peers = web.Application()
        peers.router.add_get(scheduler_link.PATH, node.serve_peer)
        node.peer_directory.add_routes(peers.router)
        apps = (
            (settings.caller_address, job_server.make_caller_app(calls)),
            (settings.ready_address, job_server.make_ready_app(node.ready)),
            (settings.peer_address, peers),
            (settings.metrics_address, metrics_app(node)),
        )
        finish_s = settings.grace_s * FINISH_SHARE
        return [await listen(address, app, finish_s) for address, app in apps]


def metrics_app(node):
    """Returns the application that serves the metrics."""

    async def handle(request):
        return web.Response(text=node.metrics.render())

    app = web.Application()
    app.router.add_get("/metrics", handle)
    return app


async def listen(address, app, finish_s):
    """Serves an application on an address.

    Args:
        address: IP number and port.
        app: Application.
        finish_s: Seconds that requests in hand are given at the end.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=finish_s)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner


def main():
    """Checks the settings and runs the process."""
    result = boot.load(boot.settings_path())
    if result.is_error():
        for fault in result.error:
            print(f"settings: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings = result.ok
    logs.configure(
        member=settings.member,
        handler=rate_limited.RateLimitedHandler(
            descriptor=sys.stdout.fileno()
        ),
    )
    gc.set_threshold(GC_THRESHOLD)
    uvloop.install()
    service = CellService(settings=settings)
    with aiomisc.entrypoint(
        service, log_config=False, catch_signals=(), pool_size=1
    ) as loop:
        loop.run_forever()


if __name__ == "__main__":
    main()
