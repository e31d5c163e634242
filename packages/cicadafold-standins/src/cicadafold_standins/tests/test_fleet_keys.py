"""Tests of keys on real processes: withdrawn, cut off, paused, restarted."""

import asyncio
import signal

import aiohttp
from aiohttp import web

from cicadafold_standins.fleet import cell

# Stated targets.
REVOKE_S = 5.0
# Time from the withdrawal of a key until the paused processes run again.
PEERS_PAUSED_S = 7.0
CONFIGURATION_S = 4.0
FIRST, SECOND, KEPT = "key-first", "key-second", "key-kept"
STEP = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 50}
BODY = {"spec": "50", "steps": [STEP]}
JOB = "00000000000000aa"
PROBE_PAUSE_S = 0.1
# A call with this path gets status 400 if its key is accepted, also while its
# host does not reach the scheduler.
MALFORMED_JOB, ACCEPTED = "short", 400
UNAUTHORIZED, UNAVAILABLE = 401, 503


def teams(*keys):
    """Returns two teams, of which the first has some keys."""
    return [
        {"name": "red", "apiKeys": list(keys), "priority": 1},
        {"name": "blue", "apiKeys": ["key-blue"]},
    ]


class StoreLink:
    """Link of one process to the store, which can be cut.

    Attributes:
        cut: Whether calls get no answer.
    """

    def __init__(self):
        self.cut = False

    async def serve(self, fleet_cell):
        """Serves the store of a cell at another address and returns it."""
        app = fleet_cell.store.app()
        app.middlewares.insert(0, self.hold_while_cut)
        return await fleet_cell.serve(app)

    @web.middleware
    async def hold_while_cut(self, request, handler):
        """Passes calls and answers on while the link is not cut."""
        if self.cut:
            await asyncio.sleep(3600)
        answer = await handler(request)
        if self.cut:
            await asyncio.sleep(3600)
        return answer


async def key_status(fleet_cell, member, key):
    """Returns the status that a key gets, None if the call is not answered."""
    try:
        status, _ = await fleet_cell.call(
            member, "GET", MALFORMED_JOB, key=key
        )
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return status


async def probe(fleet_cell, members, key, seconds):
    """Calls processes with a key for some seconds.

    Returns:
        Tuples of the name of a process, the seconds at which a call was sent
        and its status, for all calls.
    """
    loop = asyncio.get_running_loop()
    since_s = loop.time()
    seen = []

    async def once(member):
        sent_s = loop.time() - since_s
        status = await key_status(fleet_cell, member, key)
        seen.append((member.name, sent_s, status))

    async with asyncio.TaskGroup() as group:
        while loop.time() < since_s + seconds:
            for member in members:
                group.create_task(once(member))
            await asyncio.sleep(PROBE_PAUSE_S)
    return seen


def accepted_late(seen):
    """Returns the calls whose key was accepted after the bound."""
    return [row for row in seen if row[1] > REVOKE_S and row[2] == ACCEPTED]


async def statuses(fleet_cell, members, key):
    """Returns the statuses that a key gets from processes."""
    return [await key_status(fleet_cell, member, key) for member in members]


def run(scenario):
    """Runs a scenario in a cell whose first team has three keys."""

    async def run_in_cell():
        async with cell.FleetCell(
            teams=teams(FIRST, SECOND, KEPT), revoke_ms=REVOKE_S * 1000
        ) as fleet_cell:
            await scenario(fleet_cell)

    asyncio.run(run_in_cell())


def test_withdrawn_key_is_refused_by_every_process_before_the_bound():
    """One process goes on accepting a withdrawn key.

    First all are in contact. Then one reaches neither the store nor its
    peers, which are stopped meanwhile and asked while they are.
    """

    async def scenario(fleet_cell):
        link = StoreLink()
        address = await link.serve(fleet_cell)
        first = await fleet_cell.start("n1")
        second = await fleet_cell.start("n2")
        alone = await fleet_cell.start("n3", store_address=address)
        members = [first, second, alone]
        for key in (FIRST, SECOND, KEPT):
            answers = await statuses(fleet_cell, members, key)
            assert answers == [ACCEPTED] * 3
        assert await statuses(fleet_cell, members, "key-of-nobody") == (
            [UNAUTHORIZED] * 3
        )

        fleet_cell.publish_configuration(2, teams=teams(SECOND, KEPT))
        seen = await probe(fleet_cell, members, FIRST, 6.0)
        assert accepted_late(seen) == []
        assert await statuses(fleet_cell, members, FIRST) == (
            [UNAUTHORIZED] * 3
        )

        link.cut = True
        for member in (first, second):
            member.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        assert await key_status(fleet_cell, alone, KEPT) == ACCEPTED
        fleet_cell.publish_configuration(3, teams=teams(KEPT))
        probing = asyncio.create_task(probe(fleet_cell, members, SECOND, 8.0))
        await asyncio.sleep(PEERS_PAUSED_S)
        assert await key_status(fleet_cell, alone, KEPT) == UNAVAILABLE
        for member in (first, second):
            member.process.send_signal(signal.SIGCONT)
        seen = await probing
        assert accepted_late(seen) == []
        # Once the peers run again, they tell it the newest configuration.
        late = [row for row in seen if row[0] == "n3" and row[1] > REVOKE_S]
        assert {
            row[2] for row in late if row[1] < PEERS_PAUSED_S - PROBE_PAUSE_S
        } == {UNAVAILABLE}
        assert {row[2] for row in late} <= {UNAVAILABLE, UNAUTHORIZED}
        answered = {row[2] for row in seen if row[0] != "n3"}
        assert answered & {UNAVAILABLE, UNAUTHORIZED}

        link.cut = False
        await asyncio.sleep(CONFIGURATION_S + 1.0)
        assert await statuses(fleet_cell, members, KEPT) == [ACCEPTED] * 3
        assert await statuses(fleet_cell, members, SECOND) == (
            [UNAUTHORIZED] * 3
        )
        for member in members:
            text = member.log_path.read_text()
            for key in (FIRST, SECOND, KEPT, "key-of-nobody", "key-blue"):
                assert key not in text

    run(scenario)


def test_team_sees_its_own_jobs_on_every_process_and_after_a_takeover():
    """The owner of a job is forgotten by a process or by a new scheduler."""

    async def scenario(fleet_cell):
        for name in ("n1", "n2", "n3"):
            await fleet_cell.start(name)
        scheduler = fleet_cell.scheduler()
        posted, _ = await fleet_cell.call(
            scheduler, "POST", JOB, BODY, key=KEPT
        )
        assert posted == 200
        await check_owner(fleet_cell)
        await fleet_cell.stop(scheduler.name, signal.SIGKILL)
        await check_owner(fleet_cell)
        other = next(iter(fleet_cell.members.values()))
        fleet_cell.key = KEPT
        await fleet_cell.wait_for_state(other, JOB, "completed")

    async def check_owner(fleet_cell):
        for member in fleet_cell.members.values():
            for key, expected in ((KEPT, 200), ("key-blue", 410)):
                assert await settled(fleet_cell, member, key) == expected

    async def settled(fleet_cell, member, key):
        """Returns the first status that is not temporary."""
        async with asyncio.timeout(10):
            while True:
                status, _ = await fleet_cell.call(member, "GET", JOB, key=key)
                if status != UNAVAILABLE:
                    return status
                await asyncio.sleep(0.1)

    run(scenario)


def test_rejected_configuration_changes_nothing():
    """A key of two teams locks out a team, or opens the cell to everybody."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        other = await fleet_cell.start("n2")
        bad = teams(KEPT)
        bad[1]["apiKeys"].append(KEPT)
        fleet_cell.publish_configuration(2, teams=bad)
        await asyncio.sleep(1.0)
        for each in (member, other):
            assert await key_status(fleet_cell, each, FIRST) == ACCEPTED
            assert await key_status(fleet_cell, each, "") == UNAUTHORIZED
        # A host that starts now hears of the last good version from others.
        late = await fleet_cell.start("n3")
        assert await key_status(fleet_cell, late, FIRST) == ACCEPTED
        lines = [
            line["message"]
            for line in fleet_cell.scheduler().read_log_lines()
            if "Cannot decode" in line["message"]
        ]
        assert len(lines) == 1
        assert "tenants[1].apiKeys[1]" in lines[0]
        assert KEPT not in lines[0]

    run(scenario)
