"""Tests of processes against clients that send more than they should.

They read the memory and the descriptors of the process from ``/proc``.
"""

import asyncio
import os
import pathlib
import sys

import aiohttp
import pytest

from cicadafold_standins.fleet import cell
from cicadafold_standins.fleet import crowd

MEMORY_MB = 100
MAX_DESCRIPTORS = 1000
# Of the descriptors, so many are reserved for files.
FILE_DESCRIPTORS = 200
LIMITS = {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
SAMPLE_S = 0.05
# Only so that a process that hangs fails the test.
LONGEST_S = 120.0
RETRY_S = 0.5
STEP = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 50}
ORDINARY_JOB = {"spec": "500", "steps": [STEP]}
ORDINARY_ID = "00000000000fffff"
CALLERS, PEERS = "caller_address", "peer_address"
READINESS, METRICS = "ready_address", "metrics_address"
ELSEWHERE = [
    "head-lines-without-end",
    "head-line-without-end",
    "request-line-without-end",
    "empty-lines-without-end",
    "large-bodies",
    "bodies-in-chunks-of-one-byte",
    "open-connections",
    "requests-with-bodies-that-are-not-read",
]
ONLY_ELSEWHERE = {
    "metrics-that-are-not-read": METRICS,
    "frames-that-do-not-end": PEERS,
    "messages-that-do-not-end": PEERS,
}
CASES = [
    *((name, CALLERS) for name in crowd.KINDS if name not in ONLY_ELSEWHERE),
    *((name, where) for where in (PEERS, READINESS) for name in ELSEWHERE),
    *((name, METRICS) for name in ELSEWHERE),
    *ONLY_ELSEWHERE.items(),
]


class ProcessUsage:
    """What a process has used of its host's limits.

    Args:
        process: The operating system process.

    Attributes:
        descriptors: Largest number of open descriptors.
        sockets: Largest number of open sockets.
    """

    def __init__(self, *, process):
        self.process = process
        self.folder = pathlib.Path("/proc") / str(process.pid)
        self.descriptors = 0
        self.sockets = 0

    async def sample(self):
        """Counts the descriptors until it is cancelled."""
        while self.process.returncode is None:
            links = [self.target(path) for path in self.list_descriptors()]
            sockets = sum(link.startswith("socket:") for link in links)
            self.descriptors = max(self.descriptors, len(links))
            self.sockets = max(self.sockets, sockets)
            await asyncio.sleep(SAMPLE_S)

    def list_descriptors(self):
        """Returns the paths of the open descriptors, none at the end."""
        try:
            return list((self.folder / "fd").iterdir())
        except OSError:
            return []

    def target(self, path):
        """Returns what a descriptor refers to, empty if it was closed."""
        try:
            return os.readlink(path)
        except OSError:
            return ""

    def peak_mb(self):
        """Returns the peak of the resident memory in MiB."""
        for line in (self.folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f"Process {self.process.pid} has ended.")


async def submit_ordinary_job(member):
    """Submits a job as an ordinary caller does and returns its status.

    A call that is refused for now is sent again, on a connection of its own.
    """
    while True:
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{member.caller_address}/q/{ORDINARY_ID}",
                json=ORDINARY_JOB,
                headers={"Host": cell.QUEUE_HOST},
            ) as answer,
        ):
            if answer.status not in (429, 503):
                return answer.status
        await asyncio.sleep(RETRY_S)


async def meet_crowd(kind, where):
    """Returns the use, the status of a job and whether the process lives."""
    async with cell.FleetCell(
        limits=LIMITS, max_body_bytes=crowd.MAX_BODY_BYTES
    ) as fleet_cell:
        member = await fleet_cell.start("n1")
        await fleet_cell.start("n2")
        usage = ProcessUsage(process=member.process)
        sampling = asyncio.create_task(usage.sample())
        clients = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            crowd.__name__,
            kind,
            getattr(member, where),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(LONGEST_S):
                sent = await clients.stdout.readline()
                assert sent.startswith(crowd.SENT.encode())
                status = await submit_ordinary_job(member)
            peak_mb = usage.peak_mb()
        finally:
            sampling.cancel()
            clients.stdin.close()
            await clients.wait()
        print(
            f"{kind}, {where}: {peak_mb:.0f} MB, {usage.descriptors} "
            f"descriptors, {usage.sockets} sockets, {status}, {sent.decode()}"
        )
        return usage, peak_mb, status, member.process.returncode


@pytest.mark.parametrize(("kind", "where"), CASES)
def test_process_stays_within_its_limits_and_answers(kind, where):
    usage, peak_mb, status, returncode = asyncio.run(meet_crowd(kind, where))
    assert returncode is None
    assert status == 200
    assert peak_mb <= MEMORY_MB
    assert usage.descriptors <= MAX_DESCRIPTORS
    assert usage.sockets <= MAX_DESCRIPTORS - FILE_DESCRIPTORS
