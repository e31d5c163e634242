"""Tests that all invalid settings of a file are listed with remedies."""

import pytest

from cicadafold.settings import check
from cicadafold.settings import table

VALID = {
    "member": {
        "name": "entry-1",
        "listen": "127.0.0.1:9001",
        "failure_domain": "d1",
        "region": "r1",
    },
    "platform": {"log": "127.0.0.1:7001", "hosts": "127.0.0.1:7002"},
}


def invalid_settings(**changes):
    """Returns the invalid settings of a changed valid document by key."""
    document = {name: dict(content) for name, content in VALID.items()}
    for section, content in changes.items():
        document.setdefault(section, {}).update(content)
    result = check.check_document(document)
    return {} if result.is_ok() else {s.key: s for s in result.error}


def test_valid_settings_have_their_defaults():
    result = check.check_document(VALID)
    assert result.ok["drain.grace_s"] == 1.5
    assert result.ok["platform.routes"] == {}


def test_all_invalid_settings_are_listed_at_once():
    invalid = invalid_settings(
        member={"listen": "localhost:9001", "nmae": "x"},
        platform={"log": 7},
        drain={"grace_s": -1},
    )
    assert set(invalid) == {
        "member.listen",
        "member.nmae",
        "platform.log",
        "drain.grace_s",
    }
    assert "IP number" in invalid["member.listen"].remedy


@pytest.mark.parametrize(
    "changes",
    [
        {"security": {"tls_certificate": "a.pem"}},
        {"platform": {"routes": {"127.0.0.1:1": "nowhere"}}},
        {"limits": {"max_body_bytes": True}},
        {"logging": {"level": "LOUD"}},
    ],
)
def test_invalid_setting_is_found(changes):
    assert invalid_settings(**changes)


def test_secrets_are_not_shown():
    invalid = invalid_settings(security={"caller_token": 123456})
    assert "123456" not in str(invalid["security.caller_token"])


def test_missing_file_and_bad_toml_are_errors(tmp_path):
    assert check.load(tmp_path / "absent.toml").is_error()
    path = tmp_path / "bad.toml"
    path.write_text("member = [")
    assert check.load(path).is_error()


def test_every_setting_has_a_unit_and_a_remedy():
    for setting in table.SETTINGS:
        assert setting.unit and setting.remedy and setting.meaning
