"""Tests of jobs on real processes and stand-ins for the users' platform."""

import asyncio
import pathlib
import signal
import sys
import time

import aiohttp
import pytest

from cicadafold_standins.fleet import cell


def job_body(tasks=3, **fields):
    """Returns the body of a job with one step of tasks with one core.

    Args:
        tasks: Number of tasks.
        fields: Further fields of the step.
    """
    step = {"count": tasks, "cpu": 1000, "memMb": 64, "estimateMs": 100}
    return {"spec": "1000", "steps": [step | fields]}


def job_id(number):
    """Returns the job identifier with a number."""
    return f"{number:016x}"


def run(scenario, **options):
    """Runs a scenario in a new cell with the given options."""

    async def run_in_cell():
        async with cell.FleetCell(**options) as fleet_cell:
            await scenario(fleet_cell)

    asyncio.run(run_in_cell())


def starts_of_job(fleet_cell, job):
    """Returns the starts of a job's tasks on all workers.

    Each start is a pair of task and attempt.
    """
    return [
        start
        for worker in fleet_cell.workers
        for start in worker.starts
        if start[0].startswith(job)
    ]


def test_job_is_accepted_runs_and_is_completed():
    """A job is accepted, runs each task once, and is shown as completed."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        status, _ = await fleet_cell.call(
            member, "POST", job_id(1), job_body()
        )
        assert status == 200
        await fleet_cell.wait_for_state(member, job_id(1), "completed")
        assert len(starts_of_job(fleet_cell, job_id(1))) == 3
        assert await fleet_cell.call(member, "GET") == (200, {"pending": 0})

    run(scenario)


def test_steps_run_in_order_and_gangs_together():
    """A gang starts after the step that it depends on, as one attempt."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        body = job_body(2)
        body["steps"].append(
            {"count": 4, "cpu": 2000, "gang": True, "dependsOn": [0]}
        )
        await fleet_cell.call(member, "POST", job_id(2), body)
        await fleet_cell.wait_for_state(member, job_id(2), "completed")
        starts = starts_of_job(fleet_cell, job_id(2))
        gang = [start for start in starts if start[0].split(".")[2] == "1"]
        assert len(gang) == 4
        assert len({attempt for _, attempt in gang}) == 1

    run(scenario, with_advice=True)


def test_repeated_submission_is_one_job():
    """A repeated submission to another process starts no task again."""

    async def scenario(fleet_cell):
        first = await fleet_cell.start("n1")
        second = await fleet_cell.start("n2")
        await fleet_cell.call(first, "POST", job_id(3), job_body())
        await fleet_cell.wait_for_state(first, job_id(3), "completed")
        assert (await fleet_cell.call(second, "POST", job_id(3), job_body()))[
            0
        ] == 200
        await asyncio.sleep(0.5)
        assert len(starts_of_job(fleet_cell, job_id(3))) == 3
        await fleet_cell.wait_for_state(second, job_id(3), "completed")

    run(scenario)


def test_cancelled_job_is_stopped():
    """A cancelled job is shown as cancelled, and its tasks are stopped."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        await fleet_cell.call(member, "POST", job_id(4), job_body())
        await fleet_cell.wait_for_state(member, job_id(4), "running")
        assert (await fleet_cell.call(member, "DELETE", job_id(4)))[0] == 200
        await fleet_cell.wait_for_state(member, job_id(4), "cancelled")
        await asyncio.sleep(0.5)
        assert not any(worker.running for worker in fleet_cell.workers)
        unknown = await fleet_cell.call(member, "DELETE", job_id(5))
        assert unknown[0] == 410

    run(scenario, work_ms=5000.0)


@pytest.mark.parametrize(
    ("job", "body", "status"),
    [
        (job_id(6), b"{", 400),
        (job_id(6), {"steps": []}, 400),
        (job_id(6), {"steps": [{"count": -1}]}, 400),
        (job_id(6), {"steps": [{"count": 1, "cpu": "x"}]}, 400),
        (job_id(6), {"steps": [{"count": 1, "dependsOn": [3]}]}, 400),
        (job_id(6), {"spec": "x" * 70000, "steps": [{"count": 1}]}, 413),
        ("short", {"steps": [{"count": 1}]}, 400),
    ],
)
def test_invalid_submission_is_refused_and_not_recorded(job, body, status):
    """An invalid submission is refused with an error and not recorded."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        response_status, answer = await fleet_cell.call(
            member, "POST", job, body
        )
        assert response_status == status
        assert answer["error"]
        parts = [
            key
            for key in fleet_cell.store.partitions
            if key[0] == "keyed.jobs"
        ]
        assert not any(
            fleet_cell.store.partitions[key].records for key in parts
        )

    run(scenario)


def test_killed_scheduler_is_replaced_and_tasks_keep_running():
    """A new scheduler adopts the running tasks and starts none twice."""

    async def scenario(fleet_cell):
        for name in ("n1", "n2", "n3"):
            await fleet_cell.start(name)
        member = fleet_cell.scheduler()
        other = next(
            candidate
            for candidate in fleet_cell.members.values()
            if candidate is not member
        )
        await fleet_cell.call(other, "POST", job_id(7), job_body())
        await fleet_cell.wait_for_state(other, job_id(7), "running")
        await fleet_cell.stop(member.name, signal.SIGKILL)
        await fleet_cell.call(other, "POST", job_id(8), job_body())
        await fleet_cell.wait_for_state(other, job_id(8), "completed")
        await fleet_cell.wait_for_state(other, job_id(7), "completed")
        assert len(starts_of_job(fleet_cell, job_id(7))) == 3
        assert len(starts_of_job(fleet_cell, job_id(8))) == 3

    run(scenario, work_ms=1500.0)


def test_accepted_job_survives_the_kill_of_all_processes():
    """New processes complete jobs accepted before all others were killed."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        await fleet_cell.call(member, "POST", job_id(9), job_body())
        await fleet_cell.stop("n1", signal.SIGKILL)
        member = await fleet_cell.start("n2")
        await fleet_cell.wait_for_state(member, job_id(9), "completed")
        for worker in fleet_cell.workers:
            assert not worker.overfilled

    run(scenario, work_ms=300.0)


def test_invalid_registry_entries_are_ignored():
    """Registry entries that cannot be decoded are ignored."""

    async def scenario(fleet_cell):
        fleet_cell.store.put("keyed.servers", "i-bad", b"\xff\xfe{")
        fleet_cell.store.put("keyed.servers", "i-odd", b'{"service": 3}')
        fleet_cell.store.put("keyed.op", "wave/1", b"[]")
        member = await fleet_cell.start("n1")
        await fleet_cell.call(member, "POST", job_id(10), job_body())
        await fleet_cell.wait_for_state(member, job_id(10), "completed")

    run(scenario)


def test_late_start_neither_exceeds_capacity_nor_runs_a_task_twice():
    """Resources of an unconfirmed start stay reserved until it is resolved."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        worker = fleet_cell.workers[0]
        worker.late_start_delay_s = 1.5
        body = job_body(2)
        body["steps"][0]["cpu"] = 9000
        body["spec"] = "9000"
        await fleet_cell.call(member, "POST", job_id(11), body)
        await fleet_cell.wait_for_state(member, job_id(11), "completed")
        await asyncio.sleep(1.5)
        assert not worker.overfilled
        names = [name for name, _ in starts_of_job(fleet_cell, job_id(11))]
        assert len(names) == len(set(names)) == 2

    run(scenario, workers=1)


def test_tasks_of_silent_worker_run_elsewhere_after_its_lease():
    """Tasks of a silent worker run elsewhere after its lease has lapsed."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        await fleet_cell.call(member, "POST", job_id(12), job_body(6))
        await fleet_cell.wait_for_state(member, job_id(12), "running")
        while not any(worker.running for worker in fleet_cell.workers):
            await asyncio.sleep(0.02)
        silent_worker = next(
            worker for worker in fleet_cell.workers if worker.running
        )
        silent_worker.silent = True
        await fleet_cell.wait_for_state(member, job_id(12), "completed")
        names = [name for name, _ in starts_of_job(fleet_cell, job_id(12))]
        assert len(names) > 6

    run(scenario, work_ms=1000.0)


def test_unreachable_store_refuses_jobs_at_once():
    """A process that cannot reach the store refuses jobs within 0.5 s."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        fleet_cell.store.silent = True
        await asyncio.sleep(3.0)
        started_s = asyncio.get_running_loop().time()
        status, _ = await fleet_cell.call(
            member, "POST", job_id(13), job_body()
        )
        assert status == 503
        assert asyncio.get_running_loop().time() - started_s < 0.5

    run(scenario)


def test_appends_with_lost_answers_take_effect_once():
    """Appends whose answers are lost are repeated and take effect once."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        fleet_cell.store.lost_answers_left = 2
        status, _ = await fleet_cell.call(
            member, "POST", job_id(14), job_body()
        )
        assert status == 200
        fleet_cell.store.lost_answers_left = 2
        await fleet_cell.wait_for_state(member, job_id(14), "completed")
        assert len(starts_of_job(fleet_cell, job_id(14))) == 3

    run(scenario)


def test_scheduled_job_runs_all_occurrences_and_none_early():
    """No occurrence starts before it is due, and all are completed."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        due_ms = int(time.time() * 1000) + 700
        body = job_body(2) | {
            "repeats": 3,
            "firstRunMs": due_ms,
            "intervalMs": 400,
        }
        await fleet_cell.call(member, "POST", job_id(15), body)
        await asyncio.sleep(0.4)
        assert starts_of_job(fleet_cell, job_id(15)) == []
        await fleet_cell.wait_for_state(member, job_id(15), "completed")
        assert int(time.time() * 1000) >= due_ms + 800
        names = [name for name, _ in starts_of_job(fleet_cell, job_id(15))]
        assert len(names) == len(set(names)) == 6

    run(scenario)


def test_long_running_tasks_restart_until_cancelled():
    """Tasks of a longRunning step are restarted until the job is cancelled."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        await fleet_cell.call(
            member, "POST", job_id(16), job_body(2, longRunning=True)
        )
        async with asyncio.timeout(10.0):
            while len(starts_of_job(fleet_cell, job_id(16))) < 8:
                await asyncio.sleep(0.05)
        _, answer = await fleet_cell.call(member, "GET", job_id(16))
        assert answer == {"state": "running"}
        await fleet_cell.call(member, "DELETE", job_id(16))
        await fleet_cell.wait_for_state(member, job_id(16), "cancelled")
        await asyncio.sleep(0.5)
        count = len(starts_of_job(fleet_cell, job_id(16)))
        await asyncio.sleep(0.5)
        assert len(starts_of_job(fleet_cell, job_id(16))) == count

    run(scenario, work_ms=60.0)


def test_planned_stop_answers_every_call_that_was_read():
    """Calls on open connections are answered until the process has exited."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        other = await fleet_cell.start("n2")
        fleet_cell.members.pop("n1")
        member.process.send_signal(signal.SIGTERM)
        answers = []
        number = 100
        while member.process.returncode is None:
            number += 1
            try:
                status, _ = await fleet_cell.call(
                    member, "POST", job_id(number), job_body(1)
                )
            except aiohttp.ClientConnectorError:
                break
            answers.append(status)
            await asyncio.sleep(0.02)
        assert answers
        assert set(answers) == {200}
        await member.process.wait()
        for accepted in range(101, 101 + len(answers)):
            await fleet_cell.wait_for_state(
                other, job_id(accepted), "completed"
            )

    run(scenario)


def test_planned_stop_serves_connections_that_are_still_open():
    """A connection accepted before the stop is served after it, once.

    The request is sent only when new connections are refused.
    """

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        await fleet_cell.start("n2")
        fleet_cell.members.pop("n1")
        host, _, port = member.caller_address.partition(":")
        reader, writer = await asyncio.open_connection(host, port)
        member.process.send_signal(signal.SIGTERM)
        while True:
            try:
                _, probe = await asyncio.open_connection(host, port)
            except ConnectionRefusedError:
                break
            probe.close()
            await asyncio.sleep(0.005)
        writer.write(
            f"GET {cell.QUEUE_PATH} HTTP/1.1\r\n"
            f"Host: {cell.QUEUE_HOST}\r\n\r\n".encode()
        )
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in answer
        await member.process.wait()

    run(scenario)


def test_store_that_falls_silent_during_a_waiting_read_is_noticed():
    """A read that was waiting does not make the store seem reachable."""

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")
        store = fleet_cell.store
        waiting = store.waiting_reads
        while store.waiting_reads == waiting:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        store.silent = True
        await asyncio.sleep(3.0)
        started_s = asyncio.get_running_loop().time()
        status, _ = await fleet_cell.call(
            member, "POST", job_id(17), job_body()
        )
        assert status == 503
        assert asyncio.get_running_loop().time() - started_s < 0.5

    run(scenario)


def test_cells_never_share_a_port():
    """Ports of two cells differ and are not given to outgoing connections."""
    limits = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first_ephemeral = int(limits.read_text().split()[0])

    async def scenario():
        async with cell.FleetCell() as one, cell.FleetCell() as other:
            ports = {
                int(member.caller_address.rpartition(":")[2])
                for fleet_cell in (one, other)
                for member in [await fleet_cell.start("n1")]
            }
            assert len(ports) == 2
            assert max(ports) < first_ephemeral

    asyncio.run(scenario())


def test_command_line_submits_a_job_file_and_explains_it():
    """The command line submits, reads and explains a job.

    It reports an unknown job and an invalid job file by its exit code.
    """
    program = pathlib.Path(sys.executable).with_name("cicadafold")
    job_file = pathlib.Path(__file__).parents[5] / "examples/jobs/plan.toml"

    async def scenario(fleet_cell):
        member = await fleet_cell.start("n1")

        async def cicadafold(*arguments, options=True):
            queue = ["--address", member.caller_address]
            queue += [
                "--queue-host",
                cell.QUEUE_HOST,
                "--queue-path",
                cell.QUEUE_PATH,
            ]
            process = await asyncio.create_subprocess_exec(
                program,
                "job",
                *arguments,
                *(queue if options else []),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
            return process.returncode, output.decode().strip()

        code, job = await cicadafold("submit", str(job_file))
        assert code == 0
        await fleet_cell.wait_for_state(member, job, "completed")
        assert await cicadafold("state", job) == (0, "completed")
        assert await cicadafold("pending") == (0, "0")
        assert await cicadafold("cancel", job_id(99)) == (1, "no such job")
        code, explanation = await cicadafold(
            "explain", job, str(member.log_path), options=False
        )
        assert code == 0
        for part in ("accepted", "Starting tasks of a step", "Job ended"):
            assert part in explanation
        code, _ = await cicadafold("submit", str(member.log_path))
        assert code == 2

    run(scenario)


def test_all_invalid_settings_are_reported(tmp_path):
    """Every invalid setting is reported, and the exit code is 2."""

    async def scenario():
        path = tmp_path / "boot.toml"
        path.write_text('nodeName = ""\nip = "x"\n[listen]\nfront = "a:b"\n')
        process = await asyncio.create_subprocess_exec(
            cell.sys.executable,
            "-m",
            "cicadafold.daemon.cell_main",
            env=cell.os.environ | {"CICADAFOLD_NODE_FILE": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 2
        text = errors.decode()
        for key in ("nodeName", "listen.front", "platform.address", "ip"):
            assert f"settings: {key}" in text

    asyncio.run(scenario())
