"""Entry point of a process of the cell whose links can be faulted.

It runs the process of ``cicadafold.daemon.cell_main`` with two differences:
its connections leave from the IP number of its host, which names it to the
links of the cell, and it listens for peers behind the link that serves the
address of its settings.
"""

import os

import aiohttp
import msgspec

from cicadafold.daemon import cell_main
from cicadafold.daemon import cell_node

__all__ = ["LISTEN_VARIABLE", "SOURCE_VARIABLE", "LinkedService", "main"]

SOURCE_VARIABLE = "CICADAFOLD_SOURCE_IP"
LISTEN_VARIABLE = "CICADAFOLD_PEER_LISTEN"


class LinkedService(cell_main.CellService):
    """The process, listening for peers behind its link."""

    async def serve(self, node):
        """Opens the listening addresses.

        Args:
            node: ``CellNode`` of the process, which tells its peers the
                address of its settings.
        """
        self.settings = msgspec.structs.replace(
            self.settings, peer_address=os.environ[LISTEN_VARIABLE]
        )
        return await super().serve(node)


def new_session(*, limit):
    """Returns an HTTP client session that connects from the host's IP number.

    Args:
        limit: Maximum number of connections to one address; 0 for no limit.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=limit,
        keepalive_timeout=cell_node.KEEP_ALIVE_S,
        use_dns_cache=False,
        local_addr=(os.environ[SOURCE_VARIABLE], 0),
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


def main():
    """Runs the process."""
    cell_main.CellService = LinkedService
    cell_node.new_session = new_session
    cell_main.main()


if __name__ == "__main__":
    main()
