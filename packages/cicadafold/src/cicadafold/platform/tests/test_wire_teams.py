"""Tests of reading teams, with all kinds of bad input."""

import asyncio
import json
import logging

import pytest

from cicadafold.configuration import holder as holder_module
from cicadafold.job_service import routes
from cicadafold.jobs import model
from cicadafold.platform import configuration_source
from cicadafold.platform import wire_configuration
from cicadafold.teams import model as team_model

SECRET = "a-very-secret-key"
OTHER_SECRET = "another-secret-key"
RED = {
    "name": "red",
    "apiKeys": [SECRET],
    "weight": 2.5,
    "cap": {"cpu": 4000, "memMb": 512, "gpu": 1},
}
LONGEST_STEP_S = 0.1


def document(tenants, version=1, **fields):
    """Returns the text of a configuration with a list of teams."""
    found = {"version": version, "tenants": tenants} | fields
    return json.dumps(found).encode()


def parse(tenants):
    """Parses a configuration with a list of teams."""
    return wire_configuration.parse_configuration(document(tenants))


def test_teams_are_read():
    """A field is lost, or a key is kept as it is."""
    found = parse([RED, {"name": "blue", "priority": 3, "more": {"x": 1}}])
    assert found.teams == {
        "red": team_model.TeamRule("red", 2.5, model.Resources(4000, 512, 1)),
        "blue": team_model.TeamRule("blue", 1.0, model.Resources()),
    }
    assert found.keys == {team_model.key_digest(SECRET): "red"}


def test_configuration_without_teams_needs_no_key():
    """An old configuration locks out all callers."""
    body = b'{"version": 1, "routes": []}'
    found = wire_configuration.parse_configuration(body)
    assert found.teams is None
    assert found.keys == {}
    assert parse([]).teams == {}


@pytest.mark.parametrize(
    ("fields", "anonymous"), [({}, False), ({"anonymous": True}, True)]
)
def test_anonymous_routes_are_read(fields, anonymous):
    """A route needs no key although it does not say so, or the reverse."""
    route = {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "p"}
    body = document([RED], routes=[route | fields])
    found = wire_configuration.parse_configuration(body)
    assert found.queues["q"].anonymous is anonymous


def test_repeated_key_of_one_team_is_valid():
    """A harmless repetition rejects the configuration."""
    assert len(parse([RED | {"apiKeys": [SECRET, SECRET]}]).keys) == 1


INVALID = {
    "no name": ([{"apiKeys": [SECRET]}], "tenants[0].name", "''"),
    "blank name": ([RED | {"name": "  "}], "tenants[0].name", "'  '"),
    "number as a name": ([RED | {"name": 7}], "tenants[0].name", "7"),
    "same name": (
        [RED, {"name": "red", "apiKeys": [OTHER_SECRET]}],
        "tenants[1].name",
        "'red'",
    ),
    "negative weight": ([RED | {"weight": -1}], "tenants[0].weight", "-1"),
    "text as a weight": ([RED | {"weight": "2"}], "tenants[0].weight", "'2'"),
    "true as a weight": ([RED | {"weight": True}], "tenants[0].weight", ""),
    "huge weight": ([RED | {"weight": 10**400}], "tenants[0].weight", ""),
    "no weight": ([RED | {"weight": None}], "tenants[0].weight", "None"),
    "negative cap": (
        [RED | {"cap": {"cpu": -5}}],
        "tenants[0].cap.cpu",
        "-5",
    ),
    "fraction as a cap": (
        [RED | {"cap": {"memMb": 1.5}}],
        "tenants[0].cap.memMb",
        "1.5",
    ),
    "text as a cap": (
        [RED | {"cap": {"gpu": "many"}}],
        "tenants[0].cap.gpu",
        "'many'",
    ),
    "huge cap": (
        [RED | {"cap": {"cpu": 2**70}}],
        "tenants[0].cap.cpu",
        "",
    ),
    "cap of another type": ([RED | {"cap": 4000}], "tenants[0].cap", "4000"),
    "no cap": ([RED | {"cap": None}], "tenants[0].cap", "None"),
    "key of two teams": (
        [RED, {"name": "blue", "apiKeys": [OTHER_SECRET, SECRET]}],
        "tenants[1].apiKeys[1]",
        "'red'",
    ),
    "key of 1 MB": (
        [RED | {"apiKeys": [SECRET * 65536]}],
        "tenants[0].apiKeys[0]",
        "1114112",
    ),
    "key that is not ASCII": (
        [RED | {"apiKeys": [OTHER_SECRET, SECRET + "ü"]}],
        "tenants[0].apiKeys[1]",
        "",
    ),
    "empty key": ([RED | {"apiKeys": [""]}], "tenants[0].apiKeys[0]", ""),
    "number as a key": ([RED | {"apiKeys": [7]}], "tenants[0].apiKeys[0]", ""),
    "text as keys": ([RED | {"apiKeys": SECRET}], "tenants[0].apiKeys", ""),
    "keys by name": (
        [RED | {"apiKeys": {SECRET: 1}}],
        "tenants[0].apiKeys",
        "",
    ),
    "no keys": ([RED | {"apiKeys": None}], "tenants[0].apiKeys", ""),
    "text as a team": ([RED, SECRET], "tenants[1]", ""),
    "teams by name": ({SECRET: RED}, "tenants", ""),
    "no list": (None, "tenants", ""),
}


@pytest.mark.parametrize("name", INVALID)
def test_fault_is_named_with_field_value_and_remedy(name):
    """Operators do not find the fault, or read a key in a log."""
    tenants, field, shown = INVALID[name]
    with pytest.raises(ValueError) as caught:
        parse(tenants)
    text = str(caught.value)
    assert text.startswith(f"{field} is ")
    assert shown in text
    remedies = ("Write", "Give", "give")
    assert any(word in text for word in remedies)
    assert SECRET not in text
    assert OTHER_SECRET not in text
    assert len(text) < 300


def read(body, revision=0):
    """Returns the reading of a configuration in the store."""
    reading = configuration_source.Reading(revision + 1)
    asyncio.run(configuration_source.fill_reading(reading, body, revision))
    return reading


@pytest.mark.parametrize("name", INVALID)
def test_rejected_configuration_leaves_the_last_good_one_in_force(
    name, caplog
):
    """Half of a bad configuration is applied, or everything stops."""
    holder = holder_module.Holder(
        bound_ms=4000.0, routes=routes.Routes(), on_change=lambda _: None
    )
    holder.take_reading(read(document([RED])), 0.0)
    good = holder.current
    tenants, field, _ = INVALID[name]
    caplog.clear()
    with caplog.at_level(logging.INFO):
        holder.take_reading(read(document(tenants, 2), 1), 0.0)
    assert holder.current is good
    assert not holder.behind
    (line,) = caplog.records
    assert field in line.getMessage()
    assert SECRET not in line.getMessage()
    holder.take_reading(read(document([], 3), 2), 0.0)
    assert holder.version == 3


def test_100_000_keys_are_read_without_a_long_pause():
    """Calls and leases wait while the keys are read."""
    body = document(
        [
            {
                "name": f"team-{team}",
                "apiKeys": [f"key-{team}-{number}" for number in range(200)],
            }
            for team in range(500)
        ]
    )

    async def measure():
        loop = asyncio.get_running_loop()
        gaps_s = []

        async def tick():
            last_s = loop.time()
            while True:
                await asyncio.sleep(0)
                gaps_s.append(loop.time() - last_s)
                last_s = loop.time()

        task = asyncio.create_task(tick())
        reading = configuration_source.Reading(1)
        await configuration_source.fill_reading(reading, body, 0)
        task.cancel()
        return reading, gaps_s

    reading, gaps_s = asyncio.run(measure())
    assert len(reading.configuration.keys) == 100_000
    # The typical pause; the machine may stall the test itself for longer.
    assert sorted(gaps_s)[-3] < LONGEST_STEP_S
    assert len(gaps_s) >= 100
