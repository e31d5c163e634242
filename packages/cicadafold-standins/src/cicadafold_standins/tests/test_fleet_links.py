"""Tests of the links of the cell on stand-ins, with plain connections."""

import asyncio
import types

import pytest

from cicadafold_standins.fleet import links

TO_END = links.Direction.TO_END
TO_HOST = links.Direction.TO_HOST
BOTH = frozenset(links.Direction)
SHORT_S = 0.15


def run(scenario):
    """Runs a scenario with links to an end that sends back what it gets.

    The scenario gets the links, the address of the end "e", an object whose
    ``received`` holds what the end has received and whose ``life`` is that
    of the end, and a function that connects as a host.
    """

    async def run_scenario():
        all_links = links.Links()
        end = types.SimpleNamespace(received=b"", life=0, accepted=0)

        async def echo(reader, writer):
            end.accepted += 1
            while data := await reader.read(100):
                end.received += data
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = await all_links.listen(
            "e", f"127.0.0.1:{port}", life=lambda: end.life
        )

        async def connect(host):
            return await asyncio.open_connection(
                "127.0.0.1",
                int(address.rpartition(":")[2]),
                local_addr=(all_links.source_of(host), 0),
            )

        await scenario(all_links, end, connect)
        all_links.close_all()
        server.close()

    asyncio.run(run_scenario())


async def answer_of(connection, data=b"x", timeout_s=SHORT_S):
    """Sends data and returns the answer, None if there is none in time."""
    reader, writer = connection
    if data:
        writer.write(data)
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read(100)
    except TimeoutError:
        return None


def test_fault_concerns_only_its_host():
    """A fault of one host's link also cut the links of the others."""

    async def scenario(all_links, end, connect):
        first, second = await connect("a"), await connect("b")
        all_links.apply(links.LinkFault(silent=BOTH), [("a", "e")])
        assert await answer_of(first) is None
        assert await answer_of(second) == b"x"

    run(scenario)


@pytest.mark.parametrize(
    ("silent", "received"), [(TO_END, b""), (TO_HOST, b"x")]
)
def test_link_that_is_cut_one_way_carries_the_other_way(silent, received):
    """A cut of one direction dropped the data of both."""

    async def scenario(all_links, end, connect):
        connection = await connect("a")
        assert await answer_of(connection, b"0") == b"0"
        end.received = b""
        fault = links.LinkFault(silent=frozenset((silent,)))
        all_links.apply(fault, [("a", "e")])
        assert await answer_of(connection) is None
        assert end.received == received
        all_links.lift(fault)
        assert await answer_of(connection, b"") == b"x"

    run(scenario)


def test_new_connection_hangs_while_its_link_is_silent():
    """A connection was made over a link that carries nothing."""

    async def scenario(all_links, end, connect):
        fault = links.LinkFault(silent=BOTH)
        all_links.apply(fault, [("a", "e")])
        given_up, waiting = await connect("a"), await connect("a")
        assert await answer_of(given_up, b"g") is None
        given_up[1].close()
        assert await answer_of(waiting) is None
        assert end.accepted == 0
        all_links.lift(fault)
        assert await answer_of(waiting, b"") == b"x"
        assert end.received == b"x"

    run(scenario)


def test_overlapping_faults_end_one_by_one():
    """The end of one fault also ended another on the same link."""

    async def scenario(all_links, end, connect):
        connection = await connect("a")
        first = links.LinkFault(silent=BOTH)
        second = links.LinkFault(silent=BOTH)
        all_links.apply(first, [("a", "e")])
        all_links.apply(second, [("a", "e")])
        all_links.lift(first)
        assert await answer_of(connection) is None
        all_links.lift(second)
        assert await answer_of(connection, b"") == b"x"

    run(scenario)


def test_reset_closes_open_and_new_connections():
    """A connection outlived the reset of its link."""

    async def scenario(all_links, end, connect):
        connection = await connect("a")
        assert await answer_of(connection) == b"x"
        all_links.apply(links.LinkFault(resets=True), [("a", "e")])
        with pytest.raises(ConnectionResetError):
            await answer_of(connection, b"")
        with pytest.raises(ConnectionResetError):
            await answer_of(await connect("a"), b"")

    run(scenario)


def test_delay_holds_data_in_both_directions():
    """Data passed a slow link at once."""

    async def scenario(all_links, end, connect):
        connection = await connect("a")
        all_links.apply(links.LinkFault(delay_s=0.1), [("a", "e")])
        assert await answer_of(connection) is None
        assert await answer_of(connection, b"") == b"x"

    run(scenario)


def test_held_data_does_not_reach_a_restarted_end():
    """Data for a worker reached its next incarnation."""

    async def scenario(all_links, end, connect):
        connection = await connect("a")
        assert await answer_of(connection, b"0") == b"0"
        fault = links.LinkFault(silent=BOTH)
        all_links.apply(fault, [("a", "e")])
        assert await answer_of(connection) is None
        end.life += 1
        all_links.lift(fault)
        with pytest.raises(ConnectionResetError):
            await answer_of(connection, b"")
        assert end.received == b"0"

    run(scenario)


def test_connection_that_is_forgotten_stays_silent():
    """A connection worked again although its state was lost on the way."""

    async def scenario(all_links, end, connect):
        idle, busy = await connect("a"), await connect("a")
        assert await answer_of(idle) == b"x"
        await asyncio.sleep(SHORT_S)
        assert await answer_of(busy) == b"x"
        fault = links.LinkFault(forgets_idle_s=SHORT_S)
        all_links.apply(fault, [("a", "e")])
        assert await answer_of(idle) is None
        all_links.lift(fault)
        assert await answer_of(idle) is None
        assert await answer_of(busy) == b"x"
        assert await answer_of(await connect("a")) == b"x"

    run(scenario)
