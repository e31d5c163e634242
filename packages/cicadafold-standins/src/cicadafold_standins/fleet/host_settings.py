"""Settings files of the processes of a cell on the stand-ins."""

__all__ = ["settings_text"]

SETTINGS_TEMPLATE = """
nodeName = "{name}"
zone = "a"
region = "r"
ip = "127.0.0.1"
portRange = [{peer}, {last}]
{advice}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
holdMaxMs = 6000
status_s = 120
graceS = 2
{bounds}
[platform]
address = "{store}"
ttlMinMs = 1000
{limits}
"""
# Bounds of a cell in which withdrawn keys are refused also by hosts that are
# cut off.
STRICT_BOUNDS = """
revokeStrict = true
revokeMs = {revoke_ms}
configMs = {config_ms}
"""
CONFIGURATION_BOUND_MS = 4000


def settings_text(
    *,
    name,
    ports,
    store_address,
    advice_address,
    revoke_ms,
    limits=None,
):
    """Returns the settings file of a process.

    Args:
        name: Name of the member.
        ports: First and last port of its range, port for callers, and port
            for readiness checks.
        store_address: Address at which it reaches the store.
        advice_address: Address of the advice service, or empty.
        revoke_ms: Milliseconds within which it must refuse a withdrawn key,
            None for no such bound.
        limits: Limits of its host by name, None for the defaults.
    """
    peer, last, front, ready = ports
    bounds = ""
    if revoke_ms is not None:
        bounds = STRICT_BOUNDS.format(
            revoke_ms=revoke_ms, config_ms=CONFIGURATION_BOUND_MS
        )
    return SETTINGS_TEMPLATE.format(
        name=name,
        peer=peer,
        last=last,
        advice=f'advice = "{advice_address}"' if advice_address else "",
        front=front,
        ready=ready,
        store=store_address,
        bounds=bounds,
        limits=limits_text(limits or {}),
    )


def limits_text(limits):
    """Returns the section of a host's limits, empty for none."""
    lines = [f"{name} = {value}" for name, value in limits.items()]
    return "\n".join(["[limits]", *lines]) if lines else ""
