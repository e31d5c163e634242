"""Tests of guarantees and recovery under faults, on real processes.

The rounds are shorter than those of ``cicadafold_standins.prove``.
"""

import asyncio
import pathlib
import signal
import sys
import time

import msgspec
import pytest
import uvloop

from cicadafold_schema import messages
from cicadafold_standins import cells
from cicadafold_standins import prove
from cicadafold_standins import testcell

DURABLE_BOUND_S = 10.0


@pytest.fixture(scope="module")
def round_results(tmp_path_factory):
    """Returns the results of rounds on one cell, by injected faults."""
    chosen = [
        ("kill-owner",),
        ("drain-owner",),
        ("log-answers-lost", "operator-race"),
        ("cut-domains",),
    ]

    async def run():
        cell = testcell.Cell(
            plan=cells.CELLS["tezgah"](),
            layout=prove.small_layout(),
            folder=tmp_path_factory.mktemp("rounds"),
        )
        async with cell:
            injection = prove.FaultInjection(cell=cell, load_s=4.0, scale=0.3)
            return [
                await injection.run(seed, faults)
                for seed, faults in enumerate(chosen, start=1000)
            ]

    return {result.faults: result for result in uvloop.run(run())}


@pytest.mark.parametrize(
    "faults",
    [
        ("kill-owner",),
        ("drain-owner",),
        ("log-answers-lost", "operator-race"),
        ("cut-domains",),
    ],
)
def test_guarantees_hold_under_faults(round_results, faults):
    result = round_results[faults]
    assert result.requests > 50
    assert result.violations == []


@pytest.fixture(scope="module")
def naive_result(tmp_path_factory):
    """Returns the result of a round on the naive scheduler."""

    async def run():
        cell = testcell.Cell(
            plan=cells.CELLS["tezgah"](),
            layout=prove.small_layout(),
            folder=tmp_path_factory.mktemp("naive"),
            daemon="cicadafold_standins.naive",
        )
        async with cell:
            injection = prove.FaultInjection(
                cell=cell, load_s=5.5, scale=0.4, retry_window_s=6.0
            )
            faults = (
                "operator-race",
                "freeze-worker",
                "worker-leaves",
            )
            return await injection.run(2000, faults)

    return uvloop.run(run())


@pytest.mark.parametrize(
    "guarantee",
    [
        prove.Guarantee.NO_OVERFILL,
        prove.Guarantee.ONE_RUN_AT_A_TIME,
        prove.Guarantee.WHOLE_ANSWER,
        prove.Guarantee.HONEST_NOT_RUN,
        prove.Guarantee.AT_MOST_ONCE,
        prove.Guarantee.LEAVING_WORKER,
        prove.Guarantee.CONFIGURATION,
    ],
)
def test_check_reports_violations_of_naive_scheduler(naive_result, guarantee):
    assert guarantee in {p.guarantee for p in naive_result.violations}


def test_check_reports_a_stop_that_cuts_off_requests(tmp_path):
    """The naive scheduler ends at once on SIGTERM instead of draining."""

    async def run():
        cell = testcell.Cell(
            plan=cells.CELLS["tezgah"](),
            layout=prove.small_layout(),
            folder=tmp_path,
            daemon="cicadafold_standins.naive",
        )
        async with cell:
            injection = prove.FaultInjection(
                cell=cell, load_s=3.0, scale=0.6, retry_window_s=4.0
            )
            return await injection.run(2001, ["drain-owner"])

    result = uvloop.run(run())
    assert prove.Guarantee.GRACEFUL_STOP in {
        p.guarantee for p in result.violations
    }


def tiny_cell(folder, **changes):
    """Returns a cell of two entry hosts and two workers."""
    layout = testcell.Layout(
        entries={"d1": 2},
        racks={"rack-1": ("d1", 2)},
        regions={"d1": "r1"},
        proxied=False,
        **changes,
    )
    return testcell.Cell(
        plan=cells.CELLS["tezgah"](), layout=layout, folder=folder
    )


async def submit(cell, request_id, kind):
    """Submits a request to a running entry host and returns the reply."""
    request = messages.SubmitRequest(
        request_id=request_id,
        kind=kind,
        team="schools",
        payload='{"run_ms": 20}',
    )
    entry = cell.running_entry_hosts()[0]
    status, body = await cell.post(entry.address, "/v1/requests", request)
    kind = messages.Answer if status < 300 else messages.ErrorReply
    return msgspec.json.decode(body, type=kind)


def test_answer_survives_restart_of_all_entry_hosts_and_log_retention(
    tmp_path,
):
    """Recorded answers are restored from a snapshot in the log.

    All entry hosts are killed after the log has dropped the first records.
    """

    async def run():
        async with tiny_cell(tmp_path, retention_s=8.0) as cell:
            first = await submit(cell, "a", "cutting_sheet")
            await wait_for_retention(cell)
            for entry in cell.entries.values():
                entry.signal(signal.SIGKILL)
                await entry.process.wait()
            for entry in cell.entries.values():
                await entry.start()
            await cell.wait_ready(list(cell.entries.values()))
            await cell.wait_racks_owned()
            again = await submit(cell, "a", "cutting_sheet")
            runs = [
                run
                for worker_runs in cell.worker_records().values()
                for run in worker_runs
                if run.task_id == "a"
            ]
            return first, again, runs

    async def wait_for_retention(cell):
        async def first_records_dropped():
            body = await cell.get(
                cell.log_address, "/streams/cicadafold/entries?from=1"
            )
            return msgspec.json.decode(body)["oldest"] > 3

        await cell.wait_for(
            first_records_dropped, what="the first records are dropped"
        )

    first, again, runs = uvloop.run(run())
    assert first.outcome is messages.Outcome.done
    assert again.result == first.result
    assert len(runs) == 1


def test_log_outage_refuses_durable_requests_and_serves_others(
    tmp_path,
):
    async def run():
        async with tiny_cell(tmp_path) as cell:
            await cell.set_log_faults(down=True)
            await asyncio.sleep(0.5)
            started_s = time.monotonic()
            durable = await submit(cell, "d", "cutting_sheet")
            elapsed_s = time.monotonic() - started_s
            urgent = [
                await submit(cell, f"u{i}", "string_gauge") for i in range(20)
            ]
            await cell.set_log_faults()

            async def durable_request_done():
                answer = await submit(cell, "d", "cutting_sheet")
                return answer.outcome is messages.Outcome.done

            await cell.wait_for(
                durable_request_done, what="the log is used again"
            )
            return durable, elapsed_s, urgent

    durable, elapsed_s, urgent = uvloop.run(run())
    assert durable.outcome is messages.Outcome.not_run
    assert durable.error.code is messages.ErrorCode.log_unavailable
    assert durable.error.retry_after_ms > 0
    assert elapsed_s < DURABLE_BOUND_S
    assert {a.outcome for a in urgent} == {messages.Outcome.done}


def test_drain_command_and_drained_process_exit_with_zero(tmp_path):
    async def run():
        async with tiny_cell(tmp_path) as cell:
            drained = await cell.owner_of("rack-1")
            program = pathlib.Path(sys.executable).with_name("cicadafold")
            command = await asyncio.create_subprocess_exec(
                program,
                "drain",
                "--address",
                f"http://{drained.address}",
            )
            exit_code = await command.wait()
            daemon_code = await drained.process.wait()
            answer = await submit(cell, "after", "string_gauge")
            return exit_code, daemon_code, answer

    exit_code, daemon_code, answer = uvloop.run(run())
    assert (exit_code, daemon_code) == (0, 0)
    assert answer.outcome is messages.Outcome.done
