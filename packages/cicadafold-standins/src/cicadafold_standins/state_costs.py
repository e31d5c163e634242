"""Time and memory costs of state in memory, at the size of a large cell.

No processes are started: the state is built in the classes that the daemon
uses, for counts of workers, requests and teams that the caller names.
"""

import asyncio
from cicadafold.controllog import records
from cicadafold.controllog import replay
from cicadafold.controllog import state as control_state
from cicadafold import hosts as host_tables
from cicadafold.membership import messages as gossip
from cicadafold.membership import view as membership_view
from cicadafold.ownership import rack as rack_owner
from cicadafold.ownership import rack_claimer
from cicadafold.ownership import rack_requests
from cicadafold.ownership import target_link
from cicadafold.peerlink import frames
from cicadafold.placement import request_queue
from cicadafold.placement import routing
from cicadafold.platform import messages as platform
from cicadafold_schema import messages
from cicadafold_standins import fakes
import msgspec
import time
import tracemalloc
import types

__all__ = [
    "measure_configuration",
    "measure_host_list",
    "measure_rack_claimer",
    "measure_control_state",
    "measure_rack_owner",
    "measure_routing",
    "measure_rack_requests",
    "measure_fair_queue",
]

WORKERS_PER_RACK = 8
ACCELERATORS = 7500
DECISION_COUNT = 2000
US_PER_S = 1e6


def make_hosts(count):
    """Returns workers in racks of 8, spread over regions and domains.

    Args:
        count: Number of workers.
    """
    hosts = []
    for index in range(count):
        rack = index // WORKERS_PER_RACK
        host = fakes.make_host(f"w{index}", slots=64, cores=64.0)
        host.rack = f"rack-{rack}"
        host.region = f"r{rack % 5}"
        host.failure_domain = f"d{rack % 19}"
        host.accelerators = ACCELERATORS * count // 3400 // count
        hosts.append(host)
    return hosts


def make_host_table(hosts):
    """Returns a host table with a fixed list of workers."""
    table = host_tables.HostTable(source=None, recorded=dict)
    table.listed = hosts
    table.rebuild()
    return table


def measure_routing(count):
    """Measures the choice of an assigned rack and of a redirect rack.

    Args:
        count: Number of workers.

    Returns:
        Elapsed time of one request in microseconds, p50 and p99.
    """
    table = make_host_table(make_hosts(count))
    state = control_state.ControlState()
    view = membership_view.MembershipView(
        name="m", incarnation="i", state=lambda: state
    )
    for rack in table.racks:
        view.merge_digest(
            gossip.Digest(
                rack=rack,
                term=1,
                serial=1,
                free_slots=8,
                patient_slots=8,
                queued=0,
                wait_ms=0,
            )
        )
    router = routing.Routing(hosts=table, view=view, region="r1")
    kind = fakes.make_kind()
    for number in range(routing.REQUEST_BUCKETS * 3):
        next(router.candidates(f"warm-{number}", "r1", kind, 0))
    durations_us = []
    for number in range(DECISION_COUNT):
        started_s = time.perf_counter()
        rack = next(router.candidates(f"q{number}", "r1", kind, 0))
        router.find_redirect_rack(
            rack, kind, wait_ms=0, price_ms=1, headroom=0
        )
        durations_us.append((time.perf_counter() - started_s) * US_PER_S)
    return percentile(durations_us, 0.5), percentile(durations_us, 0.99)


def percentile(values, share):
    """Returns the value below which a share of the values lies.

    Args:
        values: Values in any order; at least one.
        share: Share of the values, from 0 to 1.
    """
    return sorted(values)[int(share * (len(values) - 1))]


async def measure_rack_owner(count, tasks):
    """Measures the rack owners of a cell and their placement decisions.

    Args:
        count: Number of workers.
        tasks: Number of requests that are placed.

    Returns:
        Bytes for each idle worker, and the elapsed microseconds of one
        placement in a rack, p50 and p99.
    """
    hosts = make_hosts(count)
    node = fakes.FakeNode(
        kinds=[fakes.make_kind(lease_ms=60_000)], hosts=hosts
    )
    for target in node.targets.values():
        target.hold_tasks = True
    by_rack = {}
    for host in hosts:
        by_rack.setdefault(host.rack, []).append(host)
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    owners = [
        rack_owner.RackOwner(name=rack, term=1, hosts=rack_hosts, node=node)
        for rack, rack_hosts in by_rack.items()
    ]
    while not all(
        link.state is target_link.LinkState.READY
        for owner in owners
        for link in owner.links.values()
    ):
        await asyncio.sleep(0.05)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    durations_us = []
    for number in range(tasks):
        owner = owners[number % len(owners)]
        started_s = time.perf_counter()
        owner.submit(make_dispatch(owner.name, number), discard_reply)
        durations_us.append((time.perf_counter() - started_s) * US_PER_S)
        if number % 500 == 0:
            await asyncio.sleep(0)
    for owner in owners:
        owner.retire()
    for target in node.targets.values():
        target.hold_tasks = False
    await asyncio.sleep(0.1)
    return (
        (after_bytes - before_bytes) / count,
        percentile(durations_us, 0.5),
        percentile(durations_us, 0.99),
    )


async def measure_rack_claimer(count):
    """Measures one pass of the rack claimer over all racks.

    Args:
        count: Number of workers; all racks are owned by other members.

    Returns:
        CPU time of one pass in milliseconds, mean of 20 passes.
    """
    table = make_host_table(make_hosts(count))
    state = control_state.ControlState()
    view = membership_view.MembershipView(
        name="m0", incarnation="i", state=lambda: state
    )
    for index in range(24):
        name = f"m{index}"
        state.members[name] = control_state.MemberEntry(
            name=name,
            incarnation="i",
            address="127.0.0.1:1",
            failure_domain=f"d{index % 19}",
            region=f"r{index % 5}",
            joined_at=1,
        )
    for index, rack in enumerate(table.racks):
        state.owners[rack] = control_state.Ownership(
            member=f"m{1 + index % 23}", incarnation="i", term=1
        )
    node = types.SimpleNamespace(
        name="m0",
        incarnation="i",
        region="r0",
        hosts=table,
        view=view,
        tail=types.SimpleNamespace(state=state),
    )
    claimer = rack_claimer.RackClaimer(node=node)
    started_s = time.process_time()
    for _ in range(20):
        claimer.sync_owners()
        await claimer.claim_unowned_racks()
        await claimer.hand_over()
    return (time.process_time() - started_s) / 20 * 1000


def measure_host_list(count):
    """Measures the host list and its decoding into a host table.

    The list equals the one that the table already holds.

    Args:
        count: Number of workers in the list.

    Returns:
        Size of the encoded list in kilobytes, and the CPU time in
        milliseconds to decode it and rebuild the table.
    """
    hosts = make_hosts(count)
    body = msgspec.json.encode(platform.HostList(hosts=hosts))
    table = make_host_table(hosts)
    started_s = time.process_time()
    table.listed = msgspec.json.decode(body, type=platform.HostList).hosts
    table.rebuild()
    elapsed_s = time.process_time() - started_s
    return len(body) / 1e3, elapsed_s * 1000


def discard_reply(reply):
    """Ignores the reply to a dispatched request."""


def make_dispatch(rack, number):
    """Returns a dispatch of a request to a rack.

    Args:
        rack: Name of the rack.
        number: Number that makes the request id unique.
    """
    return frames.Dispatch(
        serial=1,
        rack=rack,
        request_id=f"q{number}",
        kind="k",
        team="t",
        payload="",
        attempt=0,
        first=True,
        budget_ms=600_000,
        age_ms=1,
        hops=1,
        spent_us=0,
    )


def measure_rack_requests(count):
    """Returns the memory in MB of running requests at their rack owner.

    Args:
        count: Number of requests, each with one task.
    """
    kind = fakes.make_kind()
    tracemalloc.start()
    requests = {}
    for number in range(count):
        request = rack_requests.RackRequest(
            request_id=f"request-{number}",
            kind=kind,
            team="t",
            payload="x" * 64,
            deadline_ms=1.0,
        )
        request.tasks[request.request_id] = rack_requests.TargetTask(
            task_id=request.request_id, link=None, resources=None, on_end=None
        )
        requests[request.request_id] = request
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return megabytes


def measure_control_state(count):
    """Measures the control state that holds open recorded requests.

    Args:
        count: Number of requests.

    Returns:
        Memory of the state in MB, CPU time to apply one accept record in
        microseconds, and size of the encoded snapshot in MB.
    """
    state = control_state.ControlState()
    bodies = []
    for number in range(count):
        accept = records.Accept(
            request_id=f"request-{number}",
            member="entry-1",
            incarnation="abcdef01",
            nonce="0123456789ab",
            kind="k",
            team="t",
            region="r",
            deadline_ms=1000,
            payload="x" * 64,
        )
        bodies.append(records.encode_entry([accept]))
    tracemalloc.start()
    started_s = time.process_time()
    for offset, body in enumerate(bodies, start=1):
        entry = platform.LogEntry(
            offset=offset, at_ms=offset, body=msgspec.Raw(body)
        )
        replay.apply_entry(state, entry)
    elapsed_s = time.process_time() - started_s
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    snapshot = len(msgspec.json.encode(state)) / 1e6
    return megabytes, elapsed_s / count * US_PER_S, snapshot


def measure_fair_queue(count):
    """Measures dequeuing from the queue that is fair between teams.

    Args:
        count: Number of teams, each with four queued requests.

    Returns:
        Elapsed time in microseconds to remove the next request and charge
        its team, p99.
    """
    kind = fakes.make_kind(lane=messages.Lane.patient)
    queue = request_queue.RequestQueue()
    for number in range(count * 4):
        queue.push(
            rack_requests.RackRequest(
                request_id=f"q{number}",
                kind=kind,
                team=f"team-{number % count}",
                payload="",
                deadline_ms=1.0,
            )
        )
    durations_us = []
    for _ in range(min(DECISION_COUNT, count * 3)):
        started_s = time.perf_counter()
        request = queue.peek_patient(lambda team: True)
        queue.remove(request)
        queue.charge_team(request, cost=1.0, weight=1)
        durations_us.append((time.perf_counter() - started_s) * US_PER_S)
    return percentile(durations_us, 0.99)


def measure_configuration(count):
    """Returns the size in kilobytes of an encoded configuration.

    Args:
        count: Number of teams; the number of kinds is 20.
    """
    configuration = messages.Configuration(
        revision=1,
        kinds=[fakes.make_kind(f"kind-{n}") for n in range(20)],
        teams=[messages.Team(name=f"team-{n}") for n in range(count)],
    )
    return len(msgspec.json.encode(configuration)) / 1e3
