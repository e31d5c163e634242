"""Tests that the committed messages match ``openapi.yaml``."""

import msgspec
import pytest

from cicadafold_schema import generate
from cicadafold_schema import messages


def test_committed_messages_match_the_schema(tmp_path):
    output = tmp_path / "messages.py"
    generate.generate(output)
    assert output.read_text() == generate.MESSAGES_PATH.read_text()


@pytest.mark.parametrize(
    "body",
    [
        b'{"request_id":"a","kind":"k","team":"t","surprise":1}',
        b'{"request_id":"a b","kind":"k","team":"t"}',
        b'{"request_id":"a\\n","kind":"k","team":"t"}',
        b'{"request_id":"a","kind":"k","team":"t","deadline_ms":-1}',
        b'{"request_id":"a","kind":"k","team":7}',
    ],
)
def test_submit_request_that_violates_the_schema_is_rejected(body):
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(body, type=messages.SubmitRequest)
