"""Reads the configuration that the operators publish on the platform."""

import msgspec

from cicadafold import decoding
from cicadafold.jobs import model
from cicadafold.platform import wire_teams

__all__ = ["configuration_parser", "parse_configuration"]


class WireAdvice(msgspec.Struct):
    """Cost of a call for advice: a base, and a part for each worker.

    ``validMs`` is the time for which the tickets are valid.
    """

    decideMs: float = 0  # noqa: N815
    eachMs: float = 0  # noqa: N815
    validMs: float = 0  # noqa: N815


class WireRoute(msgspec.Struct):
    """A queue, which the platform calls a route.

    Attributes:
        host: Host name that the callers address.
        service: Name of the pool of workers.
        priority: Rank of the queue; 0 comes first.
        maxAttempts: Failed run attempts of a task after which its job fails.
        stretch: Factor on the job's critical path in the latency objective.
        targetLatencyMs: Constant part of the latency objective.
        anonymous: Whether its calls need no key of a team.
    """

    name: str
    host: str
    pathPrefix: str  # noqa: N815
    service: str
    priority: int = 0
    maxAttempts: int = 1  # noqa: N815
    stretch: float = 1.0
    targetLatencyMs: float = 0  # noqa: N815
    advice: WireAdvice | None = None
    anonymous: bool = False


class WireService(msgspec.Struct):
    """A pool of workers, which the platform calls a service.

    ``admissionCheck`` tells whether its workers reject tasks that exceed
    their free capacity, ``standby`` whether they are switched off.
    """

    name: str
    admissionCheck: bool = False  # noqa: N815
    standby: bool = False


class WireLimits(msgspec.Struct):
    """Limits of the calls of callers; ``maxBodyBytes`` is in bytes."""

    maxBodyBytes: int = 262_144  # noqa: N815


class WireConfiguration(msgspec.Struct):
    """The configuration that the operators publish.

    Attributes:
        tenants: Teams, checked by ``wire_teams``; unset if the cell has none.
    """

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: object = msgspec.UNSET


decode_configuration = decoding.json_decoder(WireConfiguration)


def parse_configuration(body):
    """Decodes the configuration that the operators publish.

    Raises:
        ValueError: The body cannot be decoded, or a value is not valid.
    """
    parser = configuration_parser(body)
    while True:
        try:
            next(parser)
        except StopIteration as stop:
            return stop.value


def configuration_parser(body):
    """Decodes the configuration in steps, between which others may run.

    Yields:
        None, after each step.

    Returns:
        The ``Configuration``.

    Raises:
        ValueError: The body cannot be decoded, or a value is not valid.
    """
    found = decode_configuration(body)
    yield
    teams = wire_teams.Teams()
    has_teams = found.tenants is not msgspec.UNSET
    if has_teams:
        yield from wire_teams.read_teams(found.tenants, teams)
    queues = {route.name: parse_queue_rule(route) for route in found.routes}
    pools = {
        service.name: model.PoolRule(
            service.name, service.admissionCheck, service.standby
        )
        for service in found.services
    }
    return model.Configuration(
        found.version,
        queues,
        pools,
        found.limits.maxBodyBytes,
        teams.rules if has_teams else None,
        teams.keys,
    )


def parse_queue_rule(route):
    """Converts a route to the rule of a queue."""
    advice = None
    if route.advice is not None:
        advice = model.AdviceCost(
            route.advice.decideMs, route.advice.eachMs, route.advice.validMs
        )
    return model.QueueRule(
        name=route.name,
        authority=route.host,
        prefix=route.pathPrefix,
        pool=route.service,
        priority=route.priority,
        max_failures=max(1, route.maxAttempts),
        stretch=route.stretch,
        target_ms=route.targetLatencyMs,
        advice=advice,
        anonymous=route.anonymous,
    )
