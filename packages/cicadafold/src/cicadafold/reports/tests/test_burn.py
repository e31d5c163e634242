"""Tests of burn: the share of bad answers divided by the allowed share."""

import pytest

from cicadafold.reports import burn
from cicadafold.reports import burn_page
from cicadafold_schema import messages


@pytest.fixture
def kind():
    return messages.Kind(
        name="<lookup>",
        lane=messages.Lane.urgent,
        shape=messages.Shape.task,
        idempotent=True,
        durable=False,
        objective_share=0.9,
    )


def test_merged_burn_uses_the_summed_counts(kind):
    reports = []
    for bad in (0, 10):
        counts = burn.AnswerCounts()
        for _ in range(50 - bad):
            counts.count_answer(kind.name, good=True)
        for _ in range(bad):
            counts.count_answer(kind.name, good=False)
        reports.append(counts.report(f"m{bad}", [kind]))
    merged = burn.merge_reports(reports, ["gone"])
    first = merged.kinds[0].windows[0]
    assert (first.good, first.bad, first.burn) == (90, 10, 1.0)
    assert merged.unreachable == ["gone"]


def test_answers_outside_the_window_are_not_counted(kind):
    counts = burn.AnswerCounts()
    counts.count_answer(kind.name, good=False, now_s=1000.0)
    assert counts.totals(kind.name, window_s=60, now_s=1030.0) == (0, 1)
    assert counts.totals(kind.name, window_s=60, now_s=1100.0) == (0, 0)


def test_page_is_self_contained_and_escaped(kind):
    counts = burn.AnswerCounts()
    counts.count_answer(kind.name, good=False)
    page = burn_page.render(counts.report("m", [kind]))
    assert "&lt;lookup&gt;" in page and "<lookup>" not in page
    assert "<svg" in page and "http" not in page
