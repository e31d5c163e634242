"""Soak of cells of chosen size whose workers are processes of their own.

The load, the faults and the clocks are chosen by a seed. What the workers
have written down is merged and checked afterwards.
"""

import argparse
import asyncio
import collections
import json
import logging
import os
import pathlib
import random
import shutil
import sys

import uvloop

from cicadafold import clock
from cicadafold_standins.fleet import large_cell
from cicadafold_standins.fleet import large_faults
from cicadafold_standins.fleet import large_load
from cicadafold_standins.fleet import process_checks
from cicadafold_standins.fleet import worker_process

__all__ = ["Options", "main", "run_seed"]

Finding = process_checks.Finding

# Jobs a second that use about half of the capacity of one worker.
JOBS_PER_WORKER_S = 0.22
RECOVERY_TIMEOUT_S = 60.0
LAST_RUNS_END_S = 1.0
# A task whose workers were lost this often may fail its job.
MAX_LOSSES = 3
SHOWN_FINDINGS = 12


class Options:
    """What one run is started with.

    Args:
        size: Numbers of hosts and workers.
        seconds: Duration of load and faults.
        load: Factor of the usual number of jobs.
        faults: Names of the faults to choose from; None means all.
        born_modes: Names of the ``worker_process.BORN_MODES``.
        code: Import path of the hosts' code, or empty.
        keep: Folder that receives the logs of a failed run, or empty.
        workers_per_process: Number of workers that share a process.
    """

    def __init__(
        self,
        *,
        size,
        seconds,
        load=1.0,
        faults=None,
        born_modes=tuple(worker_process.BORN_MODES),
        code="",
        keep="",
        workers_per_process=1,
    ):
        self.size = size
        self.seconds = seconds
        self.load = load
        self.faults = faults
        self.born_modes = born_modes
        self.code = code
        self.keep = keep
        self.workers_per_process = workers_per_process


async def run_seed(seed, options):
    """Runs one seed and prints a summary.

    Returns:
        The findings, in order of time.
    """
    fleet_cell = large_cell.LargeCell(
        size=options.size,
        rng=random.Random(f"clocks of {seed}"),
        born_modes=options.born_modes,
        code=options.code,
        workers_per_process=options.workers_per_process,
    )
    async with fleet_cell:
        callers = large_load.Callers(cell=fleet_cell, seed=seed)
        injector = large_faults.FaultInjector(
            cell=fleet_cell, seed=seed, faults=options.faults
        )
        jobs_per_s = options.size[1] * JOBS_PER_WORKER_S * options.load
        await asyncio.gather(
            callers.run(options.seconds, jobs_per_s),
            injector.run(options.seconds),
        )
        lost = await wait_for_final_states(callers)
        await asyncio.sleep(LAST_RUNS_END_S)
        crashed = fleet_cell.crashed_hosts()
        for each in fleet_cell.worker_processes:
            await each.close()
            crashed += each.faults
        checks = process_checks.EventChecks(
            events=fleet_cell.worker_events(),
            sent=callers.sent,
            refused=callers.refused,
            cancelled_ms=callers.cancelled_ms,
            pauses=fleet_cell.worker_pauses(),
        )
        findings = checks.run() + lost + check_results(checks, callers)
        findings += [
            Finding("PROCESS", clock.monotonic_ms(), text)
            for text in crashed + injector.errors
        ]
        summary = summarize(
            seed, options, fleet_cell, callers, injector, checks, findings
        )
        print(json.dumps(summary), flush=True)
        if options.keep:
            keep_run(options.keep, seed, fleet_cell, findings, summary)
    return findings


async def wait_for_final_states(callers):
    """Waits until all accepted jobs have ended.

    Returns:
        Findings about those that have not, or have ended in a state that
        they must not reach.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RECOVERY_TIMEOUT_S
    waiting = sorted(callers.accepted)
    states = {}
    while waiting and loop.time() < end_s:
        for job_id in list(waiting):
            state = await callers.state_of(job_id)
            states[job_id] = state
            if state in ("completed", "failed", "cancelled"):
                waiting.remove(job_id)
        await asyncio.sleep(0.2)
    callers.final_states = states
    return [
        Finding("LOST", clock.monotonic_ms(), f"{job_id} is {states[job_id]}")
        for job_id in waiting
    ]


def check_results(checks, callers):
    """Returns findings about the final states and the tasks done."""
    losses = count_losses(checks)
    done = collections.Counter(
        task.partition(".")[0] for task in checks.done_tasks()
    )
    findings = []
    for job_id, state in callers.final_states.items():
        job = callers.sent[job_id]
        possible = set(job.possible_final_states)
        if job_id in callers.cancelled_ms:
            possible.add("cancelled")
        if losses[job_id] >= MAX_LOSSES:
            possible.add("failed")
        text = None
        if state in ("failed", "cancelled") and state not in possible:
            text = f"{job_id} is {state}, not {sorted(possible)}"
        if state == "completed" and done[job_id] < job.min_done:
            text = f"{job_id} is completed with {done[job_id]} tasks done"
        if text:
            findings.append(Finding("RESULT", clock.monotonic_ms(), text))
    return findings


def count_losses(checks):
    """Returns the most losses of a task of each job with its worker."""
    by_task = collections.Counter(
        run.start.task for run in checks.runs if run.outcome in ("", "lapsed")
    )
    by_job = collections.Counter()
    for task, count in by_task.items():
        job_id = task.partition(".")[0]
        by_job[job_id] = max(by_job[job_id], count)
    return by_job


def summarize(seed, options, fleet_cell, callers, injector, checks, findings):
    """Returns the figures of a run."""
    hosts, workers = options.size
    outcomes = collections.Counter(
        run.outcome or "with its process" for run in checks.runs
    )
    return {
        "seed": seed,
        "hosts": hosts,
        "workers": workers,
        "seconds": options.seconds,
        "code": "other" if options.code else "installed",
        "jobs": len(callers.sent),
        "accepted": len(callers.accepted),
        "refused": len(callers.refused),
        "repeats": callers.repeats,
        "cancelled": dict(callers.cancel_answers),
        "terms": len(fleet_cell.claims),
        "starts": len(checks.runs),
        "ends": dict(outcomes),
        "lives": dict(
            collections.Counter(
                mode
                for each in fleet_cell.worker_processes
                for mode in each.modes
            )
        ),
        "start_after_cancellation_ms": round(
            checks.latest_start_after_cancellation_ms()
        ),
        "faults": dict(sorted(injector.injected.items())),
        "slow_stops": injector.slow_stops,
        "load_average": [round(value, 1) for value in os.getloadavg()],
        "broken": dict(
            collections.Counter(finding.rule for finding in findings)
        ),
    }


def keep_run(keep, seed, fleet_cell, findings, summary):
    """Keeps the figures of a run, and the logs if a rule was broken."""
    folder = pathlib.Path(keep)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "results.jsonl").open("a") as file:
        file.write(json.dumps(summary) + "\n")
    if not findings:
        return
    name = "-".join(
        str(summary[key]) for key in ("code", "hosts", "workers", "seed")
    )
    shutil.copytree(fleet_cell.folder.name, folder / name, dirs_exist_ok=True)
    (folder / name / "findings.txt").write_text(
        "".join(f"{finding}\n" for finding in findings)
    )
    (folder / name / "claims.txt").write_text(
        "".join(f"{at_ms:.0f} {host}\n" for at_ms, host in fleet_cell.claims)
    )


def main():
    """Runs seeds; exits with 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser(prog="large_soak")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--hosts", type=int, default=8)
    parser.add_argument("--workers", type=int, default=24)
    parser.add_argument(
        "--share", type=int, default=1, help="workers in each process"
    )
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--keep", default="out/large", help="folder for logs")
    parser.add_argument("--code", default="", help="import path of the hosts")
    parser.add_argument("--without", nargs="*", default=[], help="faults")
    parser.add_argument(
        "--born",
        nargs="*",
        default=list(worker_process.BORN_MODES),
        choices=list(worker_process.BORN_MODES),
    )
    arguments = parser.parse_args()
    options = Options(
        size=(arguments.hosts, arguments.workers),
        seconds=arguments.seconds,
        load=arguments.load,
        faults=set(large_faults.FAULTS) - set(arguments.without),
        born_modes=arguments.born,
        code=arguments.code,
        keep=arguments.keep,
        workers_per_process=arguments.share,
    )
    # The store logs each call that a killed process has cut off.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    failed = False
    for seed in range(arguments.first, arguments.first + arguments.count):
        findings = uvloop.run(run_seed(seed, options))
        failed = failed or bool(findings)
        for finding in findings[:SHOWN_FINDINGS]:
            print(f"  {finding}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
