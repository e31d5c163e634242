"""Open-loop load generator: reads a TOML file, prints results as JSON.

Answer times are measured from the time at which a request was due, so that a
slow answer does not hide the requests that should have been sent meanwhile.

The file lists the kinds of the mix::

    seed = 1
    duration_s = 30.0

    [[mix]]
    kind = "string_gauge"
    team = "builders"
    rate_per_s = 1000.0
    run_ms = [1.0, 3.0]
"""

import argparse
import asyncio
import collections
import sys
import tomllib

from hdrh import histogram
import msgspec
import uvloop

from cicadafold_standins import callers
from cicadafold_standins import cells
from cicadafold_standins import checker

__all__ = ["LoadFile", "LoadResult", "MixEntry", "generate_load", "summarize"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
MS_PER_S = 1000
US_PER_MS = 1000


class MixEntry(msgspec.Struct, kw_only=True):
    """One kind of requests in a mix.

    Attributes:
        kind: Name of the kind.
        team: Team on whose behalf the requests are sent.
        rate_per_s: Requests sent in a second, over all addresses.
        run_ms: Shortest and longest run time in milliseconds.
    """

    kind: str
    team: str
    rate_per_s: float
    run_ms: tuple[float, float]


class LoadFile(msgspec.Struct, kw_only=True):
    """Content of a load file.

    Attributes:
        mix: Kinds of requests with their rates.
        seed: Seed of the arrival times and run times.
        duration_s: Length of the load in seconds.
        patience_s: Time for which a caller repeats a request, in seconds.
        label: Start of the request ids, so that two loads with one seed do
            not share ids.
    """

    mix: list[MixEntry]
    seed: int = 1
    duration_s: float = 10.0
    patience_s: float = 10.0
    label: str = ""


class KindResult(msgspec.Struct, kw_only=True):
    """What the callers of one kind measured.

    Attributes:
        requests: Requests sent.
        outcomes: Number of requests by outcome; "none" without an answer.
        attempts: Attempts over all requests.
        answer_ms: Percentiles of the time from when a request was due to
            its answer, in milliseconds.
        waiting_ms: Percentiles of the time in the queue, in milliseconds.
        decision_ms: Percentiles of the decision time, in milliseconds.
    """

    requests: int
    outcomes: dict[str, int]
    attempts: int
    answer_ms: dict[str, float]
    waiting_ms: dict[str, float]
    decision_ms: dict[str, float]


class LoadResult(msgspec.Struct, kw_only=True):
    """What all callers measured.

    Attributes:
        duration_s: Length of the load in seconds.
        kinds: Results by kind.
    """

    duration_s: float
    kinds: dict[str, KindResult]


def percentiles(values_ms):
    """Returns the percentiles p50 to p99.9 of times in milliseconds."""
    times_us = histogram.HdrHistogram(
        LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
    )
    for value in values_ms:
        times_us.record_value(max(LOWEST_US, int(value * US_PER_MS)))
    return {
        f"p{share:g}": times_us.get_value_at_percentile(share) / US_PER_MS
        for share in (50, 90, 99, 99.9)
    }


def summarize(records, duration_s):
    """Returns the callers' results by kind.

    Args:
        records: Call records.
        duration_s: Length of the load in seconds.
    """
    by_kind = collections.defaultdict(list)
    for record in records:
        by_kind[record.kind].append(record)
    kinds = {}
    for kind, kind_records in by_kind.items():
        done = [r for r in kind_records if r.outcome is checker.Outcome.done]
        outcomes = collections.Counter(
            r.outcome.value if r.outcome else "none" for r in kind_records
        )
        kinds[kind] = KindResult(
            requests=len(kind_records),
            outcomes=dict(outcomes),
            attempts=sum(r.attempts for r in kind_records),
            answer_ms=percentiles(
                (r.answered_s - r.due_s) * MS_PER_S for r in done
            ),
            waiting_ms=percentiles(r.waited_us / US_PER_MS for r in done),
            decision_ms=percentiles(r.decision_us / US_PER_MS for r in done),
        )
    return LoadResult(duration_s=duration_s, kinds=kinds)


def make_plan(load_file):
    """Returns a plan with the kinds, rates and teams of a load file."""
    plan = cells.CELLS["tezgah"]()
    plan.loads = {
        mix.kind: cells.KindLoad(rate_per_s=mix.rate_per_s, run_ms=mix.run_ms)
        for mix in load_file.mix
    }
    names = {mix.team for mix in load_file.mix}
    plan.teams = [team for team in plan.teams if team.name in names]
    for name in sorted(names - {team.name for team in plan.teams}):
        plan.teams.append(cells.messages.Team(name=name))
    return plan


async def generate_load(load_file, addresses, region):
    """Sends a load to addresses and returns the call records.

    Each address gets the same share of the rate.

    Args:
        load_file: Load to send.
        addresses: Entry hosts, or one balancer.
        region: Region of the callers.
    """
    plan = make_plan(load_file)
    groups = [
        callers.Callers(
            address=address,
            region=region,
            plan=plan,
            seed=load_file.seed * 1000 + index,
            retry_window_s=load_file.patience_s,
            label=load_file.label,
        )
        for index, address in enumerate(addresses)
    ]
    await asyncio.gather(
        *(
            group.generate_load(
                duration_s=load_file.duration_s, scale=1 / len(groups)
            )
            for group in groups
        )
    )
    for group in groups:
        await group.wait_for_answers()
        await group.close()
    return [record for group in groups for record in group.records]


def main():
    """Sends a load and prints the result as JSON.

    The exit status is 1 if a request got no answer.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("file", help="TOML file with the mix")
    parser.add_argument("--address", action="append", required=True)
    parser.add_argument("--region", default="")
    parser.add_argument("--seed", type=int)
    arguments = parser.parse_args()
    with open(arguments.file, "rb") as source:
        load_file = msgspec.convert(tomllib.load(source), type=LoadFile)
    if arguments.seed is not None:
        load_file.seed = arguments.seed
    records = uvloop.run(
        generate_load(load_file, arguments.address, arguments.region)
    )
    result = summarize(records, load_file.duration_s)
    print(msgspec.json.encode(result).decode())
    unanswered = sum(r.outcome is None for r in records)
    sys.exit(1 if unanswered else 0)


if __name__ == "__main__":
    main()
