"""Tests of keys while hosts are cut off, paused and restarted.

They run in virtual time, so that each seed has other delays and an exact time
at which the key is withdrawn.
"""

import asyncio
import random
import signal

import aiohttp
from cicadafold.configuration import freshness
import pytest

from cicadafold_standins.simulation import cell
from cicadafold_standins.simulation.tests import mutants
from cicadafold_standins.simulation import virtual_time

# Stated targets.
REVOKE_MS = 5000.0
REVOKE_S = REVOKE_MS / 1000
CONFIGURATION_S = 4.0
OLD_KEY, KEPT_KEY, NEW_KEY = "key-old", "key-kept", "key-new"
STORE, MEMBERS = "10.1.0.1", ("n10", "n11", "n12")
ADDRESSES = {name: f"10.0.0.{name[1:]}" for name in MEMBERS}
SEEDS = [1, 2, 3, 4, 5, 6]
PROBE_PAUSE_S = 0.05
STEP = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 50}
BODY = {"spec": "50", "steps": [STEP]}
UNAUTHORIZED, UNAVAILABLE = 401, 503
# A call with this path gets status 400 if its key is accepted, also while its
# host does not reach the scheduler.
MALFORMED_JOB, ACCEPTED = "short", 400


def teams(*keys):
    """Returns a list of one team with some keys."""
    return [{"name": "red", "apiKeys": list(keys), "weight": 2}]


def run(scenario, seed):
    """Runs a scenario in a cell of three processes with two keys."""

    async def run_in_cell():
        async with cell.SimulatedCell(
            rng=random.Random(seed),
            workers=2,
            work_ms=50.0,
            teams=teams(OLD_KEY, KEPT_KEY),
            revoke_ms=REVOKE_MS,
        ) as fleet_cell:
            for name in MEMBERS:
                await fleet_cell.start(name)
            await asyncio.sleep(2.0)
            return await scenario(fleet_cell)

    result, failed = virtual_time.run(run_in_cell, seed)
    assert failed == []
    return result


async def status_of(fleet_cell, member, key, method="GET", job="", body=None):
    """Returns the status of a call, None if it is not answered."""
    try:
        status, _ = await fleet_cell.call(member, method, job, body, key=key)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return status


async def probe(fleet_cell, member, key, until_s, seen, since_s):
    """Calls a process with a key again and again.

    Args:
        fleet_cell: The cell.
        member: The process.
        key: The key.
        until_s: Loop time in seconds at which the last call is sent.
        seen: List to which pairs of the seconds at which a call was sent and
            its status are added.
        since_s: Loop time from which these seconds count.
    """
    loop = asyncio.get_running_loop()

    async def once(sent_s):
        status = await status_of(fleet_cell, member, key, "GET", MALFORMED_JOB)
        seen.append((sent_s - since_s, status))

    async with asyncio.TaskGroup() as group:
        while loop.time() < until_s:
            group.create_task(once(loop.time()))
            await asyncio.sleep(PROBE_PAUSE_S)


def cut_off(fleet_cell, name):
    """Drops all messages between a process and the store and its peers."""
    address = ADDRESSES[name]
    others = {*ADDRESSES.values(), STORE} - {address}
    fleet_cell.network.cut |= {(address, other) for other in others}


def accepted_late(seen):
    """Returns the calls whose key was accepted after the bound."""
    return [row for row in seen if row[0] > REVOKE_S and row[1] == ACCEPTED]


def ask_cut_off_host(seed, name):
    """Withdraws a key while a process is cut off, and calls the process.

    Returns:
        The calls with the withdrawn key and with another one, and their
        statuses after the process was connected again.
    """

    async def scenario(fleet_cell):
        loop = asyncio.get_running_loop()
        member = fleet_cell.members[name]
        cut_off(fleet_cell, name)
        # Open links still carry messages until they are found to be cut.
        await asyncio.sleep(2.0)
        fleet_cell.publish_configuration(2, teams=teams(KEPT_KEY))
        since_s = loop.time()
        withdrawn, kept = [], []
        await asyncio.gather(
            probe(
                fleet_cell, member, OLD_KEY, since_s + 8, withdrawn, since_s
            ),
            probe(fleet_cell, member, KEPT_KEY, since_s + 8, kept, since_s),
        )
        fleet_cell.network.cut.clear()
        await asyncio.sleep(CONFIGURATION_S)
        after = [
            await status_of(fleet_cell, member, key, "GET", MALFORMED_JOB)
            for key in (OLD_KEY, KEPT_KEY)
        ]
        return withdrawn, kept, after

    return run(scenario, seed)


@pytest.mark.parametrize("name", MEMBERS)
@pytest.mark.parametrize("seed", SEEDS)
def test_cut_off_host_stops_to_accept_a_withdrawn_key(seed, name):
    """A partitioned host goes on accepting a key that others refuse."""
    withdrawn, kept, after = ask_cut_off_host(seed, name)
    assert accepted_late(withdrawn) == []
    # It cannot know that this key was not withdrawn as well.
    assert accepted_late(kept) == []
    assert UNAUTHORIZED not in {status for _, status in kept}
    assert ACCEPTED in {status for _, status in kept}
    assert after == [UNAUTHORIZED, ACCEPTED]


def test_host_whose_keys_never_expire_is_found(monkeypatch):
    """The check would not notice that a cut-off host accepts old keys."""
    patch(monkeypatch, "keys_expired", mutants.keys_never_expire)
    withdrawn, _, _ = ask_cut_off_host(1, MEMBERS[1])
    assert accepted_late(withdrawn)


def patch(monkeypatch, name, mutant):
    """Applies a mutant that replaces an attribute until the test ends."""
    original = vars(freshness.Freshness)[name]
    monkeypatch.setattr(freshness.Freshness, name, original)
    mutant()


@pytest.mark.parametrize("seed", SEEDS)
def test_paused_host_does_not_accept_a_withdrawn_key(seed):
    """Calls that waited during the pause are judged by the old clock."""

    async def scenario(fleet_cell):
        loop = asyncio.get_running_loop()
        member = fleet_cell.members[MEMBERS[seed % 3]]
        member.process.send_signal(signal.SIGSTOP)
        cut_off(fleet_cell, member.name)
        fleet_cell.publish_configuration(2, teams=teams(KEPT_KEY))
        since_s = loop.time()
        seen = []
        probing = asyncio.create_task(
            probe(fleet_cell, member, OLD_KEY, since_s + 12, seen, since_s)
        )
        await asyncio.sleep(8.0)
        member.process.send_signal(signal.SIGCONT)
        await probing
        return seen

    seen = run(scenario, seed)
    assert accepted_late(seen) == []
    assert UNAVAILABLE in {status for _, status in seen}


def ask_restarted_host(seed):
    """Withdraws a key and starts a host that reaches an old peer only.

    Returns:
        The calls with the withdrawn key, and the version that the new host
        has got from its peer.
    """

    async def scenario(fleet_cell):
        loop = asyncio.get_running_loop()
        old, restarted = MEMBERS[seed % 3], "n13"
        # The two reach each other, but neither the store nor the others.
        for name in set(MEMBERS) - {old}:
            await fleet_cell.stop(name, signal.SIGKILL)
        fleet_cell.network.cut |= {
            (ADDRESSES[old], STORE),
            ("10.0.0.13", STORE),
        }
        fleet_cell.publish_configuration(2, teams=teams(KEPT_KEY))
        since_s = loop.time()
        # By now the peer itself accepts no key any more.
        await asyncio.sleep(4.5)
        starting = asyncio.create_task(fleet_cell.start(restarted))
        await asyncio.sleep(0.1)
        member = fleet_cell.members[restarted]
        peer = fleet_cell.members[old].process.node
        new = member.process.node
        # The new host hears of the peer and of the topic, as by a roster.
        new.peer_directory.add([peer.settings.peer_address], [])
        new.configuration.learn_end(1, loop.time() * 1000)
        seen = []
        probing = asyncio.create_task(
            probe(fleet_cell, member, OLD_KEY, since_s + 9, seen, since_s)
        )
        await probing
        starting.cancel()
        return seen, new.configuration.version

    return run(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_host_does_not_trust_an_old_peer(seed):
    """A new host takes what a cut-off peer tells for the newest version."""
    seen, version = ask_restarted_host(seed)
    assert version == 1
    assert accepted_late(seen) == []


def test_new_host_that_counts_as_confirmed_is_found(monkeypatch):
    """The check would not notice that a new host trusts an old peer."""
    patch(monkeypatch, "__init__", mutants.new_hosts_count_as_confirmed)
    seen, _ = ask_restarted_host(1)
    assert accepted_late(seen)


@pytest.mark.parametrize("seed", SEEDS)
def test_host_in_contact_accepts_a_new_key_in_time(seed):
    """A new key is answered with 401 after the bound on a version."""

    async def scenario(fleet_cell):
        loop = asyncio.get_running_loop()
        # One host is refused by the store, and learns from the scheduler.
        fleet_cell.network.cut.add((ADDRESSES[MEMBERS[seed % 3]], STORE))
        fleet_cell.publish_configuration(
            2, teams=teams(KEPT_KEY, OLD_KEY, NEW_KEY)
        )
        since_s = loop.time()
        seen = {name: [] for name in MEMBERS}
        await asyncio.gather(
            *(
                probe(
                    fleet_cell,
                    fleet_cell.members[name],
                    NEW_KEY,
                    since_s + 7,
                    seen[name],
                    since_s,
                )
                for name in MEMBERS
            )
        )
        return seen

    for rows in run(scenario, seed).values():
        late = {status for at_s, status in rows if at_s > CONFIGURATION_S}
        assert late == {ACCEPTED}


@pytest.mark.parametrize("seed", SEEDS)
def test_keys_are_refused_while_the_store_is_away(seed):
    """Hosts that only hear from each other take that for fresh news."""

    async def scenario(fleet_cell):
        loop = asyncio.get_running_loop()
        fleet_cell.store.silent = True
        fleet_cell.publish_configuration(2, teams=teams(KEPT_KEY))
        since_s = loop.time()
        seen = []
        await asyncio.gather(
            *(
                probe(fleet_cell, member, key, since_s + 8, seen, since_s)
                for member in fleet_cell.members.values()
                for key in (OLD_KEY, KEPT_KEY)
            )
        )
        ready = [
            member.process.node.ready()
            for member in fleet_cell.members.values()
        ]
        fleet_cell.store.silent = False
        await asyncio.sleep(CONFIGURATION_S)
        after = {
            await status_of(fleet_cell, member, KEPT_KEY)
            for member in fleet_cell.members.values()
        }
        return seen, ready, after

    seen, ready, after = run(scenario, seed)
    assert accepted_late(seen) == []
    assert not any(ready)
    assert after == {200}


@pytest.mark.parametrize("seed", SEEDS[:3])
def test_job_of_another_team_is_unknown_on_every_host(seed):
    """A team reads or cancels the job of another one."""

    async def scenario(fleet_cell):
        await fleet_cell.start("n13")
        members = list(fleet_cell.members.values())
        fleet_cell.publish_configuration(
            2, teams=[*teams(KEPT_KEY), {"name": "blue", "apiKeys": ["blue"]}]
        )
        await asyncio.sleep(1.0)
        for worker in fleet_cell.workers:
            worker.work_ms = 3000.0
        body = {"spec": "3000", "steps": [STEP]}
        job = f"{seed:016x}"
        posted = await status_of(
            fleet_cell, members[0], KEPT_KEY, "POST", job, body
        )
        statuses = []
        for member in members:
            for method in ("GET", "DELETE"):
                statuses.append(
                    await status_of(fleet_cell, member, "blue", method, job)
                )
        # Nobody becomes the owner of a job by submitting it again.
        await status_of(fleet_cell, members[1], "blue", "POST", job, body)
        for method in ("GET", "DELETE"):
            statuses.append(
                await status_of(fleet_cell, members[1], "blue", method, job)
            )
        own = [
            await status_of(fleet_cell, member, KEPT_KEY, "GET", job)
            for member in members
        ]
        cancelled = await status_of(
            fleet_cell, members[2], KEPT_KEY, "DELETE", job
        )
        return posted, set(statuses), set(own), cancelled

    assert run(scenario, seed) == (200, {410}, {200}, 200)
