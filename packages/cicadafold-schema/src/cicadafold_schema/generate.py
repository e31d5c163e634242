"""Generates the module ``messages.py`` from ``openapi.yaml``.

Run ``python -m cicadafold_schema.generate`` after a change of
``openapi.yaml``. The generated module is committed, so that the package
``datamodel-code-generator`` is needed for development only.
"""

import pathlib
import subprocess
import sys

__all__ = ["SCHEMA_PATH", "MESSAGES_PATH", "generate", "main"]

PACKAGE_PATH = pathlib.Path(__file__).parent
SCHEMA_PATH = PACKAGE_PATH / "openapi.yaml"
MESSAGES_PATH = PACKAGE_PATH / "messages.py"
LINE_LENGTH = 79


def generate(output):
    """Generates the messages and writes them to a path, formatted.

    Args:
        output: Path of the Python module to write.

    Raises:
        subprocess.CalledProcessError: The generator or the formatter failed.
    """
    subprocess.run(
        [
            sys.executable,
            "-m",
            "datamodel_code_generator",
            "--input",
            str(SCHEMA_PATH),
            "--input-file-type",
            "openapi",
            "--output",
            str(output),
            "--output-model-type",
            "msgspec.Struct",
            "--base-class",
            "cicadafold_schema.base.Message",
            "--target-python-version",
            "3.11",
            "--use-annotated",
            "--keyword-only",
            "--disable-timestamp",
            "--use-schema-description",
            "--formatters",
            "builtin",
        ],
        check=True,
    )
    subprocess.run(
        [
            sys.executable,
            "-m",
            "ruff",
            "format",
            "--quiet",
            "--line-length",
            str(LINE_LENGTH),
            str(output),
        ],
        check=True,
    )


def main():
    """Writes the module that is committed."""
    generate(MESSAGES_PATH)


if __name__ == "__main__":
    main()
