"""Checks a settings file whole and lists every fault with its remedy."""

import pathlib
import tomllib

import expression
import msgspec

from cicadafold.settings import table

__all__ = ["InvalidSetting", "Settings", "check_document", "load"]


class InvalidSetting(msgspec.Struct, kw_only=True):
    """A fault of a settings file."""

    key: str
    found: str
    remedy: str

    def __str__(self):
        return f"{self.key}: found {self.found}. {self.remedy}"


class Settings:
    """Checked settings, read by their dotted keys.

    Examples:
        >>> Settings(values={"member.name": "entry-1"})["member.name"]
        'entry-1'
    """

    def __init__(self, *, values):
        self.values = values

    def __getitem__(self, key):
        return self.values[key]


def load(path):
    """Reads and checks a settings file.

    Args:
        path: Path of a TOML file.

    Returns:
        ``Ok`` with the settings, or ``Error`` with a list of faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = tomllib.loads(text)
    except OSError as error:
        return unreadable_file(path, error, "Check the path and its rights.")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return unreadable_file(path, error, "Write valid TOML in UTF-8.")
    return check_document(document)


def unreadable_file(path, error, remedy):
    """Returns the error of a file that cannot be read."""
    fault = InvalidSetting(key=str(path), found=str(error), remedy=remedy)
    return expression.Error([fault])


def check_document(document):
    """Checks a parsed settings file.

    Args:
        document: Nested tables as TOML gives them.

    Returns:
        ``Ok`` with the settings, or ``Error`` with a list of faults.
    """
    found = flatten(document)
    faults = []
    values = {}
    for setting in table.SETTINGS:
        value = found.pop(setting.key, setting.default)
        fault = check_value(setting, value)
        if fault is not None:
            faults.append(fault)
        elif setting.type is float:
            values[setting.key] = float(value)
        else:
            values[setting.key] = value
    faults.extend(unknown_key(key) for key in sorted(found))
    if not faults:
        faults.extend(check_combinations(values))
    if faults:
        return expression.Error(faults)
    return expression.Ok(Settings(values=values))


def flatten(document):
    """Returns the values by dotted key."""
    tables = {s.key for s in table.SETTINGS if s.type is dict}
    values = {}
    for section, content in document.items():
        if not isinstance(content, dict):
            values[section] = content
            continue
        for name, value in content.items():
            values[f"{section}.{name}"] = value
    return {
        key: value
        for key, value in values.items()
        if key in tables or not isinstance(value, dict) or value
    }


def check_value(setting, value):
    """Returns the fault of a value, or None."""
    if value is None:
        return InvalidSetting(
            key=setting.key, found="nothing", remedy=setting.remedy
        )
    wanted = (int, float) if setting.type is float else setting.type
    typed = isinstance(value, wanted)
    if setting.type is not bool:
        typed = typed and not isinstance(value, bool)
    if typed and (setting.check is None or setting.check(value)):
        return None
    shown = "a text" if setting.unit == "secret" else repr(value)
    return InvalidSetting(key=setting.key, found=shown, remedy=setting.remedy)


def unknown_key(key):
    """Returns the fault of a key that no setting has."""
    return InvalidSetting(
        key=key,
        found="an unknown key",
        remedy="Remove it or correct its spelling.",
    )


def check_combinations(values):
    """Returns the faults of values that do not go together."""
    tls = [
        key
        for key in ("tls_certificate", "tls_key", "tls_listen")
        if values[f"security.{key}"]
    ]
    if len(tls) in (0, 3):
        return
    yield InvalidSetting(
        key="security.tls_certificate",
        found=f"only {', '.join(tls)}",
        remedy="Set tls_certificate, tls_key and tls_listen, or none.",
    )
