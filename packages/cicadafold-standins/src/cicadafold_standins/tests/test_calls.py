"""Tests of the calls for callers and operators on a running cell."""

import asyncio
import itertools
import uuid

import aiohttp
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest
import yaml

from cicadafold_schema import generate
from cicadafold_schema import messages
from cicadafold_standins import worker as worker_standin

Outcome = messages.Outcome
Code = messages.ErrorCode

SCHEMA = yaml.safe_load(generate.SCHEMA_PATH.read_text())


def submit(running_cell, kind="string_gauge", *, index=0, **fields):
    """Submits a request and returns the status and the decoded reply."""
    request = messages.SubmitRequest(
        request_id=fields.pop("request_id", uuid.uuid4().hex),
        kind=kind,
        team=fields.pop("team", "schools"),
        **fields,
    )
    return decode_reply(*running_cell.post("/v1/requests", request, index))


def decode_reply(status, body):
    kind = messages.Answer if status < 300 else messages.ErrorReply
    return status, msgspec.json.decode(body, type=kind)


def get(running_cell, path, kind, index=0):
    body = running_cell.run(
        running_cell.cell.get(running_cell.address(index), path)
    )
    return msgspec.json.decode(body, type=kind)


def runs_of(running_cell, request_id):
    """Returns the run attempts of a single-task request on all workers."""
    return [
        run
        for runs in running_cell.cell.worker_records().values()
        for run in runs
        if run.task_id == request_id and not run.given_twice
    ]


@pytest.mark.parametrize("index", [0, 1, 2])
def test_request_gets_its_own_result(running_cell, index):
    request_id = uuid.uuid4().hex
    status, answer = submit(
        running_cell, request_id=request_id, payload="abc", index=index
    )
    assert status == 200
    expected = worker_standin.expected_result(request_id, "abc")
    assert (answer.outcome, answer.result) == (Outcome.done, expected)


@pytest.mark.parametrize("kind", ["string_gauge", "cutting_sheet"])
def test_concurrent_submits_of_one_request_id_run_once(running_cell, kind):
    request_id = uuid.uuid4().hex
    request = messages.SubmitRequest(
        request_id=request_id,
        kind=kind,
        team="schools",
        payload='{"run_ms": 200}',
        origin="r1",
    )

    async def all_at_once():
        return await asyncio.gather(
            *(
                running_cell.cell.post(e.address, "/v1/requests", request)
                for e in running_cell.cell.entries.values()
                for _ in range(2)
            )
        )

    replies = [
        decode_reply(*reply) for reply in running_cell.run(all_at_once())
    ]
    assert {status for status, _ in replies} == {200}
    assert len({answer.result for _, answer in replies}) == 1
    assert len(runs_of(running_cell, request_id)) == 1


def test_resubmitted_request_gets_the_recorded_answer(running_cell):
    request_id = uuid.uuid4().hex
    _, first = submit(running_cell, "cutting_sheet", request_id=request_id)
    _, again = submit(
        running_cell,
        "cutting_sheet",
        request_id=request_id,
        index=2,
        attempt=2,
    )
    assert first.result == again.result
    assert len(runs_of(running_cell, request_id)) == 1
    status = get(
        running_cell, f"/v1/requests/{request_id}", messages.Answer, 1
    )
    assert status.outcome is Outcome.done


def test_reused_request_id_with_other_fields_is_a_conflict(running_cell):
    request_id = uuid.uuid4().hex
    submit(running_cell, "cutting_sheet", request_id=request_id)
    status, reply = submit(
        running_cell, "cutting_sheet", request_id=request_id, team="builders"
    )
    assert (status, reply.error.code) == (409, Code.request_conflict)


def test_answer_of_a_gang_has_the_results_of_all_tasks(running_cell):
    request_id = uuid.uuid4().hex
    _, answer = submit(
        running_cell, "voicing_plan", request_id=request_id, payload="x"
    )
    assert answer.result == ",".join(
        worker_standin.expected_result(f"{request_id}~{i}", "x")
        for i in range(4)
    )


def test_submit_without_waiting_is_accepted_and_wait_returns_answer(
    running_cell,
):
    request_id = uuid.uuid4().hex
    status, answer = submit(
        running_cell,
        "cutting_sheet",
        request_id=request_id,
        payload='{"run_ms": 300}',
        wait=False,
    )
    assert (status, answer.outcome) == (202, Outcome.accepted)
    path = f"/v1/requests/{request_id}/wait"
    status, answer = decode_reply(*running_cell.post(path, {}, index=2))
    assert (status, answer.outcome) == (200, Outcome.done)


def test_service_runs_until_it_is_cancelled(running_cell):
    request_id = uuid.uuid4().hex
    status, answer = submit(
        running_cell,
        "svc",
        request_id=request_id,
        payload='{"run_ms": 600000}',
    )
    assert (status, answer.outcome) == (200, Outcome.running)

    async def sleep_beyond_the_lease():
        await asyncio.sleep(3.0)

    running_cell.run(sleep_beyond_the_lease())
    runs = runs_of(running_cell, request_id)
    assert [run.ended_s for run in runs] == [0.0]
    path = f"/v1/requests/{request_id}/cancel"
    status, answer = decode_reply(*running_cell.post(path, {}, index=1))
    assert (status, answer.outcome) == (200, Outcome.cancelled)
    assert all(run.ended_s for run in runs_of(running_cell, request_id))


def test_explanation_names_worker_and_policy(running_cell):
    request_id = uuid.uuid4().hex
    _, answer = submit(running_cell, request_id=request_id)
    for index in range(3):
        path = f"/v1/requests/{request_id}/explain"
        explanation = get(running_cell, path, messages.Explanation, index)
        text = " ".join(event.text for event in explanation.events)
        assert answer.worker in text and "best_fit" in text


@pytest.mark.parametrize(
    ("kind", "fields", "code"),
    [
        ("no_such_kind", {}, Code.unknown_kind),
        ("string_gauge", {"team": "no_such_team"}, Code.unknown_team),
        ("huge", {}, Code.never_fits),
    ],
)
def test_refused_request_is_not_run_and_has_a_remedy(
    running_cell, kind, fields, code
):
    request_id = uuid.uuid4().hex
    _, reply = submit(running_cell, kind, request_id=request_id, **fields)
    assert (reply.error.code, reply.outcome) == (code, Outcome.not_run)
    assert reply.error.remedy
    assert runs_of(running_cell, request_id) == []


def test_body_above_the_size_limit_is_too_large(running_cell):
    request = {"request_id": "a", "kind": "k", "team": "t", "payload": "x"}
    request["payload"] *= 2_000_000
    status, reply = decode_reply(*running_cell.post("/v1/requests", request))
    assert (status, reply.error.code) == (413, Code.too_large)


@pytest.mark.parametrize("path", ["/v2/requests", "/", "/v1/nothing"])
def test_unknown_path_is_not_found(running_cell, path):
    status, reply = decode_reply(*running_cell.post(path, {}))
    assert (status, reply.error.code) == (404, Code.not_found)


def test_one_of_two_racing_changes_is_applied_and_one_is_a_conflict(
    running_cell,
):
    base = get(running_cell, "/v1/configuration", messages.Configuration)
    changes = []
    for number in (1, 2):
        changed = msgspec.structs.replace(base, headroom_slots=number)
        changes.append(
            messages.ConfigurationChange(
                change_id=uuid.uuid4().hex,
                base_revision=base.revision,
                configuration=changed,
            )
        )

    async def race():
        return await asyncio.gather(
            *(
                running_cell.cell.post(
                    entry.address, "/v1/configuration", change
                )
                for entry, change in zip(
                    running_cell.cell.entries.values(), changes, strict=False
                )
            )
        )

    replies = running_cell.run(race())
    assert sorted(status for status, _ in replies) == [200, 409]
    lost = next(body for status, body in replies if status == 409)
    reply = msgspec.json.decode(lost, type=messages.ErrorReply)
    assert reply.error.code is Code.revision_conflict
    won = [status for status, _ in replies].index(200)
    again = running_cell.post("/v1/configuration", changes[won])
    assert again[0] == 200
    history = get(running_cell, "/v1/configuration/history", messages.History)
    ids = [entry.change_id for entry in history.entries]
    assert ids.count(changes[won].change_id) == 1


@pytest.mark.parametrize(
    "change", [{"placement": "no_such_policy"}, {"tasks": 3}]
)
def test_inconsistent_configuration_is_refused(running_cell, change):
    base = get(running_cell, "/v1/configuration", messages.Configuration)
    kind = msgspec.structs.replace(base.kinds[0], **change)
    wanted = msgspec.structs.replace(base, kinds=[kind])
    request = messages.ConfigurationChange(
        change_id=uuid.uuid4().hex,
        base_revision=base.revision,
        configuration=wanted,
    )
    status, reply = decode_reply(
        *running_cell.post("/v1/configuration", request)
    )
    assert (status, reply.error.code) == (422, Code.invalid)


# Bodies for the calls of the schema; most of them do not match it.

INVALID_BODIES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=8,
)
POSTS = [
    path
    for path, item in SCHEMA["paths"].items()
    if "requestBody" in item.get("post", {})
]
FIELDS = st.sampled_from(
    sorted(
        set(
            itertools.chain.from_iterable(
                SCHEMA["components"]["schemas"][name]["properties"]
                for name in ("SubmitRequest", "ConfigurationChange")
            )
        )
    )
)


@settings(max_examples=60, deadline=None)
@given(
    path=st.sampled_from(POSTS),
    body=INVALID_BODIES | st.dictionaries(FIELDS, INVALID_BODIES),
)
def test_invalid_body_gets_an_error_reply_and_runs_nothing(
    running_cell, path, body
):
    status, content = running_cell.post(path, body)
    reply = msgspec.json.decode(content, type=messages.ErrorReply)
    assert status in (400, 404, 409, 422)
    assert reply.outcome is Outcome.not_run
    responses = SCHEMA["paths"][path]["post"]["responses"]
    assert str(status) in responses


def test_body_that_is_not_json_is_malformed(running_cell):
    async def post():
        async with aiohttp.ClientSession() as session:
            url = f"http://{running_cell.address()}/v1/requests"
            async with session.post(url, data=b"\xff{") as reply:
                return reply.status, await reply.read()

    status, reply = decode_reply(*running_cell.run(post()))
    assert (status, reply.error.code) == (400, Code.malformed)


def test_every_call_of_the_schema_is_served(running_cell):
    """Every GET and POST path of the schema has a handler.

    The statuses are those of the schema, and no reply says that the call
    does not exist. The drain call is left out: it would end the process.
    """

    async def statuses():
        replies = {}
        async with aiohttp.ClientSession() as session:
            for path, item in SCHEMA["paths"].items():
                for method in item:
                    if method not in ("get", "post") or "drain" in path:
                        continue
                    url = path.replace("{request_id}", "nobody")
                    url = f"http://{running_cell.address()}{url}"
                    async with session.request(method, url) as reply:
                        body = await reply.read()
                        replies[(method, path)] = (reply.status, body)
        return replies

    for (method, path), (status, body) in running_cell.run(statuses()).items():
        responses = SCHEMA["paths"][path][method]["responses"]
        assert str(status) in responses, (method, path, body)
        assert b"There is no call" not in body
