"""Entry point of the process of the cell on one entry host."""

import asyncio
import gc
import signal
import sys

from aiohttp import web
import aiomisc
import uvloop

from cicadafold.admittance import bounds
from cicadafold.admittance import ledger
from cicadafold.admittance import protocol
from cicadafold.daemon import cell_node
from cicadafold.peers import scheduler_link
from cicadafold.platform import boot
from cicadafold.platform import job_server
from cicadafold.telemetry import logs
from cicadafold.telemetry import rate_limited

__all__ = ["CellService", "main"]

EXIT_USAGE = 2
LISTEN_BACKLOG = 512
GC_THRESHOLD = 50_000
# Share of the grace period in which requests in flight may finish, once the
# load balancer sends no new ones.
FINISH_GRACE_SHARE = 0.4
# Share of the grace period in which open connections are still served after
# the listening socket has been closed.
LINGER_GRACE_SHARE = 0.1
LINGER_CHECK_S = 0.02

LOG = logs.get_logger("node")


class CellService(aiomisc.Service):
    """Runs the process from its start to the end of its drain.

    Attributes:
        settings: ``CellSettings`` of the process.
        watch_task: Task that closes overdue connections, None before the
            addresses are open.
    """

    settings = None
    watch_task = None

    async def start(self):
        """Runs the process until a signal asks it to stop, then drains it.

        Also stops, without a drain, when the supervisor gives up on a
        component that fails too often.
        """
        loop = asyncio.get_running_loop()
        node = cell_node.CellNode(settings=self.settings)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, node.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        runners = await self.serve(node)
        gc.freeze()
        supervision_task = asyncio.create_task(node.supervisor().run())
        LOG.info("The process has started.", fields={"node": node.member})
        stop_waiter = asyncio.create_task(node.stop_requested.wait())
        await asyncio.wait(
            {stop_waiter, supervision_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not supervision_task.done():
            linger_s = self.settings.grace_s * LINGER_GRACE_SHARE
            await node.drain(lambda: close_callers(runners[0], linger_s))
        supervision_task.cancel()
        self.watch_task.cancel()
        for runner in runners[1:]:
            await runner.cleanup()
        await node.close()
        LOG.info("The process has stopped.")
        loop.stop()

    def on_reload(self):
        """Reads the settings file again and logs whether it has changed.

        Changed settings take effect only when the process restarts.
        """
        result = boot.load(boot.settings_path())
        if result.is_error():
            for fault in result.error:
                LOG.error(
                    "The settings file has an error and is ignored: %s", fault
                )
            return
        LOG.info(
            "The settings file was read again; changes apply after a restart.",
            fields={"changed": result.ok != self.settings},
        )

    async def serve(self, node):
        """Opens the listening addresses of the settings.

        Args:
            node: ``CellNode`` of the process.

        Returns:
            The ``web.AppRunner`` objects, that of the callers' address
            first.
        """
        settings = self.settings
        calls = job_server.JobRequestHandler(
            service=node.job_service,
            configuration=node.configuration,
            closing=lambda: not node.ready(),
            metrics=node.metrics,
        )
        connections = ledger.Ledger(
            bounds=bounds.derive(
                memory_mb=settings.memory_mb,
                descriptors=settings.descriptors,
            ),
            metrics=node.metrics,
        )
        self.watch_task = asyncio.create_task(protocol.watch(connections))
        peers = web.Application()
        peers.router.add_get(scheduler_link.PATH, node.serve_peer)
        node.add_peer_routes(peers.router)
        apps = (
            (
                bounds.Group.CALLERS,
                settings.caller_address,
                job_server.make_caller_app(calls),
                job_server.SERVER_OPTIONS
                | {"find_max_body_bytes": calls.max_body_bytes},
            ),
            (
                bounds.Group.READINESS,
                settings.ready_address,
                job_server.make_ready_app(node.ready),
                {},
            ),
            (bounds.Group.PEERS, settings.peer_address, peers, {}),
            (
                bounds.Group.METRICS,
                settings.metrics_address,
                metrics_app(node, connections),
                {},
            ),
        )
        finish_s = settings.grace_s * FINISH_GRACE_SHARE
        return [
            await listen(
                address,
                app,
                shutdown_timeout=finish_s,
                ledger=connections,
                group=group,
                **options,
            )
            for group, address, app, options in apps
        ]


def metrics_app(node, connections):
    """Returns the web application that serves the metrics of a node.

    Args:
        node: ``CellNode`` of the process.
        connections: ``Ledger`` of its connections.
    """

    async def handle(request):
        gauges = node.gauges() | connections.gauges()
        return web.Response(text=node.metrics.render(gauges))

    app = web.Application()
    app.router.add_get("/metrics", handle)
    return app


async def close_callers(runner, linger_s):
    """Stops listening, serves the open connections, then closes them.

    A connection that was accepted just before may not have sent its request
    yet, and callers use open connections until they are closed. The answers
    of a process that stops close their connections.

    Args:
        runner: ``web.AppRunner`` of the callers' address.
        linger_s: Longest time in seconds for which open connections are
            served.
    """
    for site in list(runner.sites):
        await site.stop()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + linger_s
    while runner.server.connections and loop.time() < end_s:
        await asyncio.sleep(LINGER_CHECK_S)
    await runner.cleanup()


async def listen(address, app, **options):
    """Serves a web application on an address.

    Args:
        address: IP number and port.
        app: Web application.
        **options: Options of ``BoundedRunner``.

    Returns:
        The ``BoundedRunner`` of the application.
    """
    runner = protocol.BoundedRunner(app, access_log=None, **options)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
    return runner


def main():
    """Checks the settings and runs the process.

    Exits with status 2 and the faults on the standard error stream if the
    settings are not valid.
    """
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
