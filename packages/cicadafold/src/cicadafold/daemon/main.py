"""Entry point of ``cicadafoldd``, the process of the single-request path."""

import argparse
import asyncio
import gc
import signal
import ssl
import sys

from aiohttp import web
import aiomisc

from cicadafold.daemon import draining
from cicadafold.daemon import node as node_module
from cicadafold.service import app as service_app
from cicadafold.settings import check
from cicadafold.telemetry import logs

__all__ = ["NodeService", "main"]

EXIT_USAGE = 2
LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 1.0
GC_THRESHOLD = 50_000

LOG = logs.get_logger("node")


class NodeService(aiomisc.Service):
    """Runs the process from its start to the end of its drain.

    Attributes:
        settings: Checked settings by key.
    """

    settings = None

    async def start(self):
        """Runs the process until a signal asks it to stop, then drains it.

        Also stops, without a drain, when the supervisor gives up on a
        component that fails too often.
        """
        node = node_module.Node(settings=self.settings)
        stop = node.stop_requested.set
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop)
        runner = await self.serve(node)
        gc.freeze()
        supervision_task = asyncio.create_task(node.supervisor().run())
        join_task = asyncio.create_task(node.join())
        self.start_event.set()
        stop_waiter = asyncio.create_task(node.stop_requested.wait())
        await asyncio.wait(
            {stop_waiter, supervision_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not supervision_task.done():
            await draining.drain(node)
        join_task.cancel()
        supervision_task.cancel()
        await runner.cleanup()
        await node.close()
        loop.stop()

    async def serve(self, node):
        """Opens the listening addresses of the settings.

        Args:
            node: ``Node`` of the process.

        Returns:
            The ``web.AppRunner`` of the application.
        """
        runner = web.AppRunner(
            service_app.make_app(node),
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        host, _, port = self.settings["member.listen"].rpartition(":")
        await web.TCPSite(
            runner, host, int(port), backlog=LISTEN_BACKLOG
        ).start()
        if self.settings["security.tls_listen"]:
            await self.serve_tls(runner)
        LOG.info("Listening for calls on %s:%s.", host, port)
        return runner

    async def serve_tls(self, runner):
        """Opens the listening address for calls over TLS.

        Args:
            runner: ``web.AppRunner`` of the application.
        """
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(
            self.settings["security.tls_certificate"],
            self.settings["security.tls_key"],
        )
        host, _, port = self.settings["security.tls_listen"].rpartition(":")
        site = web.TCPSite(runner, host, int(port), ssl_context=context)
        await site.start()


def main():
    """Checks the settings and runs the process.

    Exits with status 2 and the faults on the standard error stream if the
    settings are not valid.
    """
    parser = argparse.ArgumentParser(prog="cicadafoldd")
    parser.add_argument("--settings", required=True, help="TOML file")
    arguments = parser.parse_args()
    result = check.load(arguments.settings)
    if result.is_error():
        for fault in result.error:
            print(f"settings: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings = result.ok
    logs.configure(
        member=settings["member.name"], level=settings["logging.level"]
    )
    gc.set_threshold(GC_THRESHOLD)
    service = NodeService(settings=settings)
    with aiomisc.entrypoint(
        service, log_config=False, catch_signals=(), pool_size=1
    ) as loop:
        loop.run_forever()


if __name__ == "__main__":
    main()
