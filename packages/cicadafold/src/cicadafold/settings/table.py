"""The table of all settings: key, type, unit, meaning, default and check."""

import ipaddress

import msgspec

__all__ = [
    "LARGEST_PORT",
    "SETTINGS",
    "Setting",
    "is_address",
    "is_name",
    "markdown",
]

LARGEST_PORT = 65535
PORT_DIGITS = 5
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class Setting(msgspec.Struct, kw_only=True):
    """One setting.

    Attributes:
        key: Dotted path in the TOML file.
        type: Python type of the value.
        unit: Unit of a number, or the kind of a text, such as ``address``.
        meaning: Description of the setting in the operators' manual.
        default: Value if the key is absent; None makes it required.
        check: Predicate of valid values, or None if all values of the type
            are valid.
        remedy: How to correct an invalid value, as one sentence.
    """

    key: str
    type: type
    unit: str
    meaning: str
    remedy: str
    default: object = None
    check: object = None


def is_address(value):
    """Whether a text consists of an IP number and a port.

    Examples:
        >>> is_address("127.0.0.1:9001"), is_address("localhost:9001")
        (True, False)
        >>> is_address("[::1]:9001"), is_address("[::1:9001")
        (True, False)
    """
    host, separator, port = value.rpartition(":")
    digits = port.isascii() and port.isdigit() and len(port) <= PORT_DIGITS
    if not separator or not digits:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return 0 < int(port) <= LARGEST_PORT


def is_name(value):
    """Whether a text has 1 to 64 printable characters and no spaces."""
    return 0 < len(value) <= 64 and value.isprintable() and " " not in value


def is_positive(value):
    """Whether a number is greater than zero."""
    return value > 0


def is_level(value):
    """Whether a text is the name of a log level."""
    return value in LEVELS


ADDRESS_REMEDY = "Write an IP number and a port, such as 10.0.0.5:9001."
NAME_REMEDY = "Write a name of 1 to 64 characters without blanks."

SETTINGS = (
    Setting(
        key="member.name",
        type=str,
        unit="name",
        meaning="Name of this entry host; unique in the cell.",
        check=is_name,
        remedy=NAME_REMEDY,
    ),
    Setting(
        key="member.listen",
        type=str,
        unit="address",
        meaning="Address on which calls are accepted.",
        check=is_address,
        remedy=ADDRESS_REMEDY,
    ),
    Setting(
        key="member.failure_domain",
        type=str,
        unit="name",
        meaning="Failure domain in which this host stands.",
        check=is_name,
        remedy=NAME_REMEDY,
    ),
    Setting(
        key="member.region",
        type=str,
        unit="name",
        meaning="Region in which this host stands.",
        check=is_name,
        remedy=NAME_REMEDY,
    ),
    Setting(
        key="platform.log",
        type=str,
        unit="address",
        meaning="Address of the platform's log service.",
        check=is_address,
        remedy=ADDRESS_REMEDY,
    ),
    Setting(
        key="platform.hosts",
        type=str,
        unit="address",
        meaning="Address of the platform's list of workers.",
        check=is_address,
        remedy=ADDRESS_REMEDY,
    ),
    Setting(
        key="platform.stream",
        type=str,
        unit="name",
        meaning="Stream of the log that the cell's members share.",
        default="cicadafold",
        check=is_name,
        remedy=NAME_REMEDY,
    ),
    Setting(
        key="platform.log_retention_s",
        type=float,
        unit="seconds",
        meaning="Least time for which the log retains records.",
        default=3600.0,
        check=is_positive,
        remedy="Write seconds greater than 0.",
    ),
    Setting(
        key="platform.accept_lost_state",
        type=bool,
        unit="true or false",
        meaning="Start with the remaining state if the log has lost records.",
        default=False,
        remedy="Write true or false; true only for one start.",
    ),
    Setting(
        key="platform.adapter",
        type=str,
        unit="name",
        meaning="Registered adapter for log, host list and workers.",
        default="http",
        check=is_name,
        remedy="Write the name of a registered adapter, such as http.",
    ),
    Setting(
        key="platform.routes",
        type=dict,
        unit="addresses",
        meaning="Addresses to use in place of those that are announced.",
        default={},
        check=lambda routes: all(
            is_address(k) and isinstance(v, str) and is_address(v)
            for k, v in routes.items()
        ),
        remedy='Write pairs such as "10.0.0.5:9001" = "10.1.0.5:9001".',
    ),
    Setting(
        key="limits.max_body_bytes",
        type=int,
        unit="bytes",
        meaning="Largest body of a call.",
        default=1_048_576,
        check=is_positive,
        remedy="Write a number of bytes greater than 0.",
    ),
    Setting(
        key="drain.grace_s",
        type=float,
        unit="seconds",
        meaning="Time for the balancer to notice a drain.",
        default=1.5,
        check=is_positive,
        remedy="Write seconds greater than 0.",
    ),
    Setting(
        key="drain.deadline_s",
        type=float,
        unit="seconds",
        meaning="Longest time of a drain.",
        default=30.0,
        check=is_positive,
        remedy="Write seconds greater than 0.",
    ),
    Setting(
        key="security.caller_token",
        type=str,
        unit="secret",
        meaning="Token of callers; empty lets everyone call.",
        default="",
        remedy="Write a text.",
    ),
    Setting(
        key="security.operator_token",
        type=str,
        unit="secret",
        meaning="Token of operators; empty lets everyone operate.",
        default="",
        remedy="Write a text.",
    ),
    Setting(
        key="security.peer_token",
        type=str,
        unit="secret",
        meaning="Token of the other entry hosts; the same on all.",
        default="",
        remedy="Write a text.",
    ),
    Setting(
        key="security.tls_certificate",
        type=str,
        unit="path",
        meaning="PEM certificate for calls; empty serves plain HTTP.",
        default="",
        remedy="Write the path of a PEM file.",
    ),
    Setting(
        key="security.tls_key",
        type=str,
        unit="path",
        meaning="PEM key that belongs to the certificate.",
        default="",
        remedy="Write the path of a PEM file.",
    ),
    Setting(
        key="security.tls_listen",
        type=str,
        unit="address",
        meaning="Address on which calls over TLS are taken.",
        default="",
        check=lambda value: not value or is_address(value),
        remedy=ADDRESS_REMEDY,
    ),
    Setting(
        key="logging.level",
        type=str,
        unit="name",
        meaning="Lowest level that is logged.",
        default="INFO",
        check=is_level,
        remedy="Write one of DEBUG, INFO, WARNING, ERROR.",
    ),
)


def markdown():
    """Yields the lines of the settings table in the operators' manual."""
    yield "| setting | unit | default | meaning |"
    yield "|---|---|---|---|"
    for setting in SETTINGS:
        default = "required" if setting.default is None else setting.default
        if default in ("", {}):
            default = "empty"
        shown = str(default).lower() if setting.type is bool else default
        cells = (setting.key, setting.unit, shown, setting.meaning)
        yield f"| {' | '.join(map(str, cells))} |"
