"""Tests of reading the registry of workers."""

import pytest

from cicadafold.dispatch import registry_tail


@pytest.fixture
def seen():
    """Returns the list of the reports that were passed on."""
    return []


def test_entry_that_cannot_be_applied_is_skipped(seen):
    """An error about one entry ended the term, and the next one as well."""

    def on_report(report):
        if report == "bad":
            raise KeyError(report)
        seen.append(report)

    tail = registry_tail.RegistryTail(
        source=None, on_report=on_report, on_removed=seen.append
    )
    tail.apply({"i-1": "first", "i-2": "bad", "i-3": "last"})
    assert seen == ["first", "last"]
