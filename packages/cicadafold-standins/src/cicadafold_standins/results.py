"""Prints the results of measurements and writes them to files."""

import pathlib

import msgspec

__all__ = ["write_json", "write_text"]


def write_text(text, output):
    """Prints a text and, if a path is given, writes it to that file.

    Args:
        text: Text to print.
        output: Path of the file, or an empty string to print only.
    """
    if output:
        path = pathlib.Path(output)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text + "\n", encoding="utf-8")
    print(text)


def write_json(results, output):
    """Prints results as indented JSON and writes them if a path is given.

    Args:
        results: Any value that msgspec encodes.
        output: Path of the file, or an empty string to print only.
    """
    encoded = msgspec.json.format(msgspec.json.encode(results), indent=2)
    write_text(encoded.decode(), output)
