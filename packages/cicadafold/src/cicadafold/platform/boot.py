"""Reads and checks the settings file that the platform writes."""

import os
import pathlib
import tomllib

import expression

from cicadafold.settings import cell
from cicadafold.settings import check
from cicadafold.settings import table

__all__ = ["load", "settings_path"]

PATH_VARIABLE = "CICADAFOLD_NODE_FILE"
DEFAULT_PATH = "/etc/cicadafold/boot.toml"
MISSING = object()
MS_PER_S = 1000.0
# Above any time, size and rate that a host can be given.
LARGEST_NUMBER = 1e12


class BootField:
    """One field of the settings file.

    Attributes:
        name: Name of the field in ``CellSettings``.
        path: Dotted path of the field in the file.
        type: Expected type; ``float`` also accepts integers.
        default: Value if the field is absent; None makes it required.
        valid: Predicate of valid values.
        remedy: How to correct an invalid value, as one sentence.
    """

    def __init__(self, *, name, path, type, valid, remedy, default=None):
        self.name = name
        self.path = path
        self.type = type
        self.valid = valid
        self.remedy = remedy
        self.default = default


def is_positive(value):
    """Whether a number is greater than zero and not too large."""
    return 0 < value <= LARGEST_NUMBER


def is_optional_address(value):
    """Whether a text is empty or an IP number and a port."""
    return not value or table.is_address(value)


def address_field(name, path):
    """Returns a field for a required address."""
    return BootField(
        name=name,
        path=path,
        type=str,
        valid=table.is_address,
        remedy="Write an IP number and a port.",
    )


def number_field(name, path, default):
    """Returns a field for a positive number."""
    return BootField(
        name=name,
        path=path,
        type=float,
        valid=is_positive,
        remedy="Write a number greater than 0.",
        default=default,
    )


def name_field(name, path):
    """Returns a field for a required short name."""
    return BootField(
        name=name,
        path=path,
        type=str,
        valid=table.is_name,
        remedy="Write a short name without blanks.",
    )


# ``bounds.holdMaxMs`` is the longest lease that a worker grants,
# ``platform.ttlMinMs`` the time after which the store removes a process that
# does not renew its membership, ``platform.recordBytes`` and
# ``platform.callBytes`` the largest size of a record and of an append, and
# ``limits.cpuShare`` the share of the host's cores that the process may use.
FIELDS = (
    name_field("member", "nodeName"),
    name_field("domain", "zone"),
    name_field("region", "region"),
    address_field("caller_address", "listen.front"),
    address_field("ready_address", "listen.ready"),
    address_field("store_address", "platform.address"),
    BootField(
        name="advice_address",
        path="advice",
        type=str,
        valid=is_optional_address,
        remedy="Write an IP number and a port, or leave it out.",
        default="",
    ),
    number_field("longest_lease_ms", "bounds.holdMaxMs", 6000.0),
    number_field("status_s", "bounds.status_s", 120.0),
    number_field("member_ttl_ms", "platform.ttlMinMs", 1000.0),
    number_field("grace_s", "bounds.graceS", 6.0),
    number_field("configuration_bound_ms", "bounds.configMs", 2500.0),
    BootField(
        name="revoke_strict",
        path="bounds.revokeStrict",
        type=bool,
        valid=lambda value: True,
        remedy="Write true or false, or leave it out.",
        default=False,
    ),
    number_field("revoke_ms", "bounds.revokeMs", 5000.0),
    BootField(
        name="cap_overage",
        path="bounds.quotaOverage",
        type=float,
        valid=lambda value: 0 <= value <= LARGEST_NUMBER,
        remedy="Write a number that is not negative.",
        default=0.0,
    ),
    number_field("far_factor", "bounds.farFactor", 1.0),
    number_field("stop_ms", "bounds.stopMs", 400.0),
    number_field("checkpoint_s", "bounds.checkpointS", 1.0),
    number_field("restore_ms", "bounds.restoreMs", 250.0),
    number_field("record_bytes", "platform.recordBytes", 262_144.0),
    number_field("call_bytes", "platform.callBytes", 2_097_152.0),
    number_field("link_mbps", "limits.linkMbps", 1000.0),
    number_field("cores", "limits.cores", 1.0),
    number_field("memory_mb", "limits.memoryMb", 300.0),
    number_field("descriptors", "limits.maxFds", 4200.0),
    number_field("core_share", "limits.cpuShare", 1.0),
)


def settings_path():
    """Returns the settings file's path, from the environment if set there."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load(path):
    """Reads and checks a settings file.

    Args:
        path: Path of the file.

    Returns:
        ``Ok`` with ``CellSettings``, or ``Error`` with the list of all
        ``InvalidSetting``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = tomllib.loads(text)
    except OSError as error:
        return check.unreadable_file(
            path, error, "Check the path and its rights."
        )
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return check.unreadable_file(path, error, "Write valid TOML in UTF-8.")
    return check_document(document)


def check_document(document):
    """Checks a parsed settings file.

    Args:
        document: Nested tables as ``tomllib`` returns them.

    Returns:
        The same as ``load``.
    """
    invalid = []
    values = {}
    for field in FIELDS:
        value = lookup(document, field.path)
        if value is MISSING:
            value = field.default
        problem = check_field(field, value)
        if problem is not None:
            invalid.append(problem)
        else:
            values[field.name] = value
    ports = internal_addresses(document, invalid)
    if invalid:
        return expression.Error(invalid)
    values["cores"] *= values.pop("core_share")
    values["checkpoint_ms"] = values.pop("checkpoint_s") * MS_PER_S
    values["member_ttl_ms"] = int(values["member_ttl_ms"])
    return expression.Ok(cell.CellSettings(**values, **ports))


def lookup(document, path):
    """Returns the value at a dotted path, or ``MISSING``."""
    found = document
    for name in path.split("."):
        if not isinstance(found, dict) or name not in found:
            return MISSING
        found = found[name]
    return found


def check_field(field, value):
    """Returns the ``InvalidSetting`` for a value, or None if it is valid."""
    if value is None:
        return check.InvalidSetting(
            key=field.path, found="nothing", remedy=field.remedy
        )
    wanted = (int, float) if field.type is float else field.type
    typed = isinstance(value, wanted)
    if field.type is not bool:
        typed = typed and not isinstance(value, bool)
    if typed and field.valid(value):
        return None
    return check.InvalidSetting(
        key=field.path, found=repr(value), remedy=field.remedy
    )


def internal_addresses(document, invalid):
    """Returns the addresses for peers and metrics.

    They use the first two ports of ``portRange`` at the IP number ``ip``.

    Args:
        document: Parsed settings file.
        invalid: List to which invalid settings are added.

    Returns:
        Addresses by name in ``CellSettings``; empty if any setting of the
        file is invalid.
    """
    ip = document.get("ip")
    ports = document.get("portRange")
    ranged = (
        isinstance(ports, list)
        and len(ports) == 2
        and all(
            isinstance(port, int) and not isinstance(port, bool)
            for port in ports
        )
        and 0 < ports[0] < ports[1] <= table.LARGEST_PORT
    )
    if not ranged:
        invalid.append(
            check.InvalidSetting(
                key="portRange",
                found=repr(ports),
                remedy="Write the first and the last of two free ports.",
            )
        )
    if not isinstance(ip, str) or not table.is_address(f"{ip}:1"):
        invalid.append(
            check.InvalidSetting(
                key="ip", found=repr(ip), remedy="Write an IP number."
            )
        )
    if invalid:
        return {}
    return {
        "peer_address": f"{ip}:{ports[0]}",
        "metrics_address": f"{ip}:{ports[0] + 1}",
    }
