"""Reads a settings file and lists all its invalid settings with remedies."""

import pathlib
import tomllib

import expression
import msgspec

from cicadafold.settings import table

__all__ = ["InvalidSetting", "Settings", "check_document", "load"]


class InvalidSetting(msgspec.Struct, kw_only=True):
    """An invalid setting in a settings file.

    Attributes:
        key: Dotted key of the setting, or the path of an unreadable file.
        found: Description of what the file contains.
        remedy: How to correct it, as one sentence.
    """

    key: str
    found: str
    remedy: str

    def __str__(self):
        return f"{self.key}: found {self.found}. {self.remedy}"


class Settings:
    """Checked settings by their dotted keys.

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
        ``Ok`` with the ``Settings``, or ``Error`` with the list of all
        ``InvalidSetting``.
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
    """Returns the ``Error`` for a settings file that cannot be read."""
    problem = InvalidSetting(key=str(path), found=str(error), remedy=remedy)
    return expression.Error([problem])


def check_document(document):
    """Checks a parsed settings file.

    Args:
        document: Nested tables as ``tomllib`` returns them.

    Returns:
        The same as ``load``.
    """
    found = flatten(document)
    invalid = []
    values = {}
    for setting in table.SETTINGS:
        value = found.pop(setting.key, setting.default)
        problem = check_value(setting, value)
        if problem is not None:
            invalid.append(problem)
        elif setting.type is float:
            values[setting.key] = float(value)
        else:
            values[setting.key] = value
    invalid.extend(unknown_key(key) for key in sorted(found))
    if not invalid:
        invalid.extend(check_combinations(values))
    if invalid:
        return expression.Error(invalid)
    return expression.Ok(Settings(values=values))


def flatten(document):
    """Returns the values of a parsed settings file by dotted key."""
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
    """Returns the ``InvalidSetting`` for a value, or None if it is valid."""
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
    """Returns the ``InvalidSetting`` for a key that does not exist."""
    return InvalidSetting(
        key=key,
        found="an unknown key",
        remedy="Remove it or correct its spelling.",
    )


def check_combinations(values):
    """Yields an ``InvalidSetting`` for each invalid combination of values."""
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
