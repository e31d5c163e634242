"""Jobs on the platform's stand-ins, with real processes."""

import asyncio
import pathlib
import signal
import sys
import time

import aiohttp
import pytest

from cicadafold_standins.fleet import cell


def job_body(tasks=3, **fields):
    """Returns a job of one step; a task's payload is its cores."""
    step = {"count": tasks, "cpu": 1000, "memMb": 64, "estimateMs": 100}
    return {"spec": "1000", "steps": [step | fields]}


def job_id(number):
    """Returns an identifier."""
    return f"{number:016x}"


def run(scenario, **options):
    """Runs a scenario in a cell of its own."""

    async def whole():
        async with cell.FleetCell(**options) as made:
            await scenario(made)

    asyncio.run(whole())


def starts_of(made, job):
    """Returns the starts of a job's tasks on all workers."""
    return [
        start
        for worker in made.workers
        for start in worker.starts
        if start[0].startswith(job)
    ]


def test_job_is_accepted_runs_and_is_completed():
    """A job is queued, runs its tasks once, and is shown as completed."""

    async def scenario(made):
        node = await made.start("n1")
        status, _ = await made.call(node, "POST", job_id(1), job_body())
        assert status == 200
        await made.until_state(node, job_id(1), "completed")
        assert len(starts_of(made, job_id(1))) == 3
        assert await made.call(node, "GET") == (200, {"pending": 0})

    run(scenario)


def test_steps_run_in_order_and_gangs_together():
    """A gang starts after the step before it, with one attempt number."""

    async def scenario(made):
        node = await made.start("n1")
        body = job_body(2)
        body["steps"].append(
            {"count": 4, "cpu": 2000, "gang": True, "dependsOn": [0]}
        )
        await made.call(node, "POST", job_id(2), body)
        await made.until_state(node, job_id(2), "completed")
        starts = starts_of(made, job_id(2))
        gang = [start for start in starts if start[0].split(".")[2] == "1"]
        assert len(gang) == 4
        assert len({attempt for _, attempt in gang}) == 1

    run(scenario, with_advice=True)


def test_same_id_twice_is_one_job():
    """A submission that comes again does not start anything again."""

    async def scenario(made):
        first = await made.start("n1")
        second = await made.start("n2")
        await made.call(first, "POST", job_id(3), job_body())
        await made.until_state(first, job_id(3), "completed")
        assert (await made.call(second, "POST", job_id(3), job_body()))[
            0
        ] == 200
        await asyncio.sleep(0.5)
        assert len(starts_of(made, job_id(3))) == 3
        await made.until_state(second, job_id(3), "completed")

    run(scenario)


def test_cancel_stops_what_runs():
    """A cancelled job is shown so, and nothing of it runs any longer."""

    async def scenario(made):
        node = await made.start("n1")
        await made.call(node, "POST", job_id(4), job_body())
        await made.until_state(node, job_id(4), "running")
        assert (await made.call(node, "DELETE", job_id(4)))[0] == 200
        await made.until_state(node, job_id(4), "cancelled")
        await asyncio.sleep(0.5)
        assert not any(worker.running for worker in made.workers)
        unknown = await made.call(node, "DELETE", job_id(5))
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
def test_bad_submission_is_refused_and_not_stored(job, body, status):
    """Bad input gets a clear refusal, and nothing is recorded."""

    async def scenario(made):
        node = await made.start("n1")
        found, answer = await made.call(node, "POST", job, body)
        assert found == status
        assert answer["error"]
        parts = [
            key for key in made.store.partitions if key[0] == "keyed.jobs"
        ]
        assert not any(made.store.partitions[key].records for key in parts)

    run(scenario)


def test_killed_scheduler_is_replaced_and_runs_go_on():
    """A new scheduler adopts what runs and starts nothing twice."""

    async def scenario(made):
        for name in ("n1", "n2", "n3"):
            await made.start(name)
        node = made.scheduler()
        other = next(x for x in made.nodes.values() if x is not node)
        await made.call(other, "POST", job_id(7), job_body())
        await made.until_state(other, job_id(7), "running")
        await made.stop(node.name, signal.SIGKILL)
        await made.call(other, "POST", job_id(8), job_body())
        await made.until_state(other, job_id(8), "completed")
        await made.until_state(other, job_id(7), "completed")
        assert len(starts_of(made, job_id(7))) == 3
        assert len(starts_of(made, job_id(8))) == 3

    run(scenario, work_ms=1500.0)


def test_all_killed_keep_what_was_accepted():
    """Jobs accepted before all processes die are done by new ones."""

    async def scenario(made):
        node = await made.start("n1")
        await made.call(node, "POST", job_id(9), job_body())
        await made.stop("n1", signal.SIGKILL)
        node = await made.start("n2")
        await made.until_state(node, job_id(9), "completed")
        for worker in made.workers:
            assert not worker.overfilled

    run(scenario, work_ms=300.0)


def test_damaged_entries_name_no_worker():
    """Entries that cannot be read are left out; the others are used."""

    async def scenario(made):
        made.store.put("keyed.servers", "i-bad", b"\xff\xfe{")
        made.store.put("keyed.servers", "i-odd", b'{"service": 3}')
        made.store.put("keyed.op", "wave/1", b"[]")
        node = await made.start("n1")
        await made.call(node, "POST", job_id(10), job_body())
        await made.until_state(node, job_id(10), "completed")

    run(scenario)


def test_start_carried_out_late_neither_overfills_nor_doubles():
    """The room of an unanswered start stays taken until it is settled."""

    async def scenario(made):
        node = await made.start("n1")
        worker = made.workers[0]
        worker.late_s = 1.5
        body = job_body(2)
        body["steps"][0]["cpu"] = 9000
        body["spec"] = "9000"
        await made.call(node, "POST", job_id(11), body)
        await made.until_state(node, job_id(11), "completed")
        await asyncio.sleep(1.5)
        assert not worker.overfilled
        names = [name for name, _ in starts_of(made, job_id(11))]
        assert len(names) == len(set(names)) == 2

    run(scenario, workers=1)


def test_silent_worker_is_waited_out_and_replaced():
    """Tasks of a worker that fell silent run elsewhere after its lease."""

    async def scenario(made):
        node = await made.start("n1")
        await made.call(node, "POST", job_id(12), job_body(6))
        await made.until_state(node, job_id(12), "running")
        while not any(x.running for x in made.workers):
            await asyncio.sleep(0.02)
        victim = next(x for x in made.workers if x.running)
        victim.silent = True
        await made.until_state(node, job_id(12), "completed")
        names = [name for name, _ in starts_of(made, job_id(12))]
        assert len(names) > 6

    run(scenario, work_ms=1000.0)


def test_store_out_of_reach_refuses_at_once():
    """A host that does not reach the store refuses without waiting."""

    async def scenario(made):
        node = await made.start("n1")
        made.store.silent = True
        await asyncio.sleep(3.0)
        begun = asyncio.get_running_loop().time()
        status, _ = await made.call(node, "POST", job_id(13), job_body())
        assert status == 503
        assert asyncio.get_running_loop().time() - begun < 0.5

    run(scenario)


def test_lost_answers_of_the_store_lose_nothing():
    """Appends whose answers are lost are repeated without harm."""

    async def scenario(made):
        node = await made.start("n1")
        made.store.lose = 2
        status, _ = await made.call(node, "POST", job_id(14), job_body())
        assert status == 200
        made.store.lose = 2
        await made.until_state(node, job_id(14), "completed")
        assert len(starts_of(made, job_id(14))) == 3

    run(scenario)


def test_scheduled_job_runs_each_time_and_never_early():
    """Each occurrence starts when it is due, and all are done."""

    async def scenario(made):
        node = await made.start("n1")
        due_ms = int(time.time() * 1000) + 700
        body = job_body(2) | {
            "repeats": 3,
            "firstRunMs": due_ms,
            "intervalMs": 400,
        }
        await made.call(node, "POST", job_id(15), body)
        await asyncio.sleep(0.4)
        assert starts_of(made, job_id(15)) == []
        await made.until_state(node, job_id(15), "completed")
        assert int(time.time() * 1000) >= due_ms + 800
        names = [name for name, _ in starts_of(made, job_id(15))]
        assert len(names) == len(set(names)) == 6

    run(scenario)


def test_lasting_tasks_start_again_until_cancelled():
    """Tasks that last are restarted however they end."""

    async def scenario(made):
        node = await made.start("n1")
        await made.call(
            node, "POST", job_id(16), job_body(2, longRunning=True)
        )
        async with asyncio.timeout(10.0):
            while len(starts_of(made, job_id(16))) < 8:
                await asyncio.sleep(0.05)
        _, answer = await made.call(node, "GET", job_id(16))
        assert answer == {"state": "running"}
        await made.call(node, "DELETE", job_id(16))
        await made.until_state(node, job_id(16), "cancelled")
        await asyncio.sleep(0.5)
        count = len(starts_of(made, job_id(16)))
        await asyncio.sleep(0.5)
        assert len(starts_of(made, job_id(16))) == count

    run(scenario, work_ms=60.0)


def test_planned_stop_answers_every_call_that_was_read():
    """Calls on open connections are answered until the process is gone."""

    async def scenario(made):
        node = await made.start("n1")
        other = await made.start("n2")
        made.nodes.pop("n1")
        node.process.send_signal(signal.SIGTERM)
        answers = []
        number = 100
        while node.process.returncode is None:
            number += 1
            try:
                status, _ = await made.call(
                    node, "POST", job_id(number), job_body(1)
                )
            except aiohttp.ClientConnectorError:
                break
            answers.append(status)
            await asyncio.sleep(0.02)
        assert answers
        assert set(answers) == {200}
        await node.process.wait()
        for accepted in range(101, 101 + len(answers)):
            await made.until_state(other, job_id(accepted), "completed")

    run(scenario)


def test_command_line_submits_a_job_file_and_explains_it():
    """A job file is submitted, watched, explained; unknown ones are not."""
    program = pathlib.Path(sys.executable).with_name("cicadafold")
    plan = pathlib.Path(__file__).parents[5] / "examples/jobs/plan.toml"

    async def scenario(made):
        node = await made.start("n1")

        async def cicadafold(*arguments, options=True):
            queue = ["--address", node.front]
            queue += ["--queue-host", cell.HOST, "--queue-path", cell.PREFIX]
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

        code, job = await cicadafold("submit", str(plan))
        assert code == 0
        await made.until_state(node, job, "completed")
        assert await cicadafold("state", job) == (0, "completed")
        assert await cicadafold("pending") == (0, "0")
        assert await cicadafold("cancel", job_id(99)) == (1, "no such job")
        code, story = await cicadafold(
            "explain", job, str(node.log), options=False
        )
        assert code == 0
        for part in ("accepted", "Starting tasks of a step", "Job ended"):
            assert part in story
        code, _ = await cicadafold("submit", str(node.log))
        assert code == 2

    run(scenario)


def test_settings_with_faults_are_reported_whole(tmp_path):
    """Every fault of the settings is named, and the exit is not zero."""

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
