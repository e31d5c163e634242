"""Writes the results of a measurement."""

import pathlib

import msgspec

__all__ = ["write_json", "write_text"]


def write_text(text, output):
    """Prints a text, and writes it to a file if one is named.

    Args:
        text: What to write.
        output: Path of the file, or an empty text.
    """
    if output:
        path = pathlib.Path(output)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text + "\n", encoding="utf-8")
    print(text)


def write_json(results, output):
    """Prints results as indented JSON, and writes them if asked to."""
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=2)
    write_text(encoded.decode(), output)
