"""Entry point of ``cicadafoldd``."""

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
BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 1.0
GC_THRESHOLD = 50_000

LOG = logs.get_logger("node")


class NodeService(aiomisc.Service):
    """Runs one node from its start to the end of its drain."""

    settings = None

    async def start(self):
        """Serves calls until the node is asked to stop."""
        node = node_module.Node(settings=self.settings)
        stop = node.stop_requested.set
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        runner = await self.serve(node)
        gc.freeze()
        parts = asyncio.create_task(node.supervisor().run())
        joining = asyncio.create_task(node.join())
        self.start_event.set()
        waiting = asyncio.create_task(node.stop_requested.wait())
        await asyncio.wait(
            {waiting, parts}, return_when=asyncio.FIRST_COMPLETED
        )
        if not parts.done():
            await draining.drain(node)
        joining.cancel()
        parts.cancel()
        await runner.cleanup()
        await node.close()
        loop.stop()

    async def serve(self, node):
        """Opens the addresses of the settings."""
        runner = web.AppRunner(
            service_app.make_app(node),
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        host, _, port = self.settings["member.listen"].rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
        if self.settings["security.tls_listen"]:
            await self.serve_tls(runner)
        LOG.info("Calls are taken on %s:%s.", host, port)
        return runner

    async def serve_tls(self, runner):
        """Opens the address for calls over TLS."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(
            self.settings["security.tls_certificate"],
            self.settings["security.tls_key"],
        )
        host, _, port = self.settings["security.tls_listen"].rpartition(":")
        site = web.TCPSite(runner, host, int(port), ssl_context=context)
        await site.start()


def main():
    """Checks the settings and runs the node."""
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
