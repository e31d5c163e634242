"""Burn rates: how fast the kinds of requests use up their error budgets.

The objective of a kind allows a share of bad answers, the error budget. A
burn rate of 1 means that exactly this share of the answers is bad; at a
rate of 10 the budget is used up ten times as fast.

References:
    B. Beyer et al. (eds.): The Site Reliability Workbook, chapter 5,
    Alerting on SLOs, O'Reilly 2018.
"""

import collections
import time

from cicadafold_schema import messages

__all__ = ["BUCKET_S", "AnswerCounts", "WINDOWS_S", "merge_reports"]

BUCKET_S = 10
# 1 minute, 5 minutes, 1 hour and 6 hours.
WINDOWS_S = (60, 300, 3600, 21600)


class AnswerCounts:
    """Counts of good and bad answers by kind, in buckets of ``BUCKET_S``.

    An answer is good if it is not a failure and is given within the time of
    the kind's objective. Buckets older than the longest window are dropped.

    Attributes:
        kinds: Buckets by name of the kind. Each maps the bucket's number
            to a list of the good and the bad answers in it.

    Examples:
        >>> counts = AnswerCounts()
        >>> counts.count_answer("lookup", good=True, now_s=100.0)
        >>> counts.count_answer("lookup", good=False, now_s=101.0)
        >>> counts.totals("lookup", window_s=60, now_s=101.0)
        (1, 1)
    """

    def __init__(self):
        self.kinds = collections.defaultdict(collections.OrderedDict)

    def count_answer(self, kind, *, good, now_s=None):
        """Counts one answer.

        Args:
            kind: Name of the kind.
            good: Whether the answer meets the objective.
            now_s: Time of the answer in Unix seconds; the current time if
                None.
        """
        now_s = time.time() if now_s is None else now_s
        bucket = int(now_s // BUCKET_S)
        buckets = self.kinds[kind]
        counts = buckets.get(bucket)
        if counts is None:
            counts = buckets[bucket] = [0, 0]
            oldest = bucket - WINDOWS_S[-1] // BUCKET_S
            while next(iter(buckets)) < oldest:
                buckets.popitem(last=False)
        counts[0 if good else 1] += 1

    def totals(self, kind, *, window_s, now_s=None):
        """Returns the number of good and of bad answers within a window.

        Args:
            kind: Name of the kind.
            window_s: Length of the window in seconds.
            now_s: End of the window in Unix seconds; the current time if
                None.
        """
        now_s = time.time() if now_s is None else now_s
        first = int((now_s - window_s) // BUCKET_S) + 1
        good = bad = 0
        for bucket, counts in reversed(self.kinds[kind].items()):
            if bucket < first:
                break
            good += counts[0]
            bad += counts[1]
        return good, bad

    def report(self, member, kinds):
        """Returns the burn report of this member.

        Args:
            member: Name of the member.
            kinds: Kinds in the configuration.
        """
        return messages.BurnReport(
            members=[member],
            unreachable=[],
            kinds=[self.kind_report(kind) for kind in kinds],
        )

    def kind_report(self, kind):
        """Returns the burn of one kind in all windows."""
        windows = []
        for window_s in WINDOWS_S:
            good, bad = self.totals(kind.name, window_s=window_s)
            windows.append(
                build_window(window_s, good, bad, kind.objective_share)
            )
        return messages.KindBurn(
            kind=kind.name,
            objective_ms=kind.objective_ms,
            objective_share=kind.objective_share,
            windows=windows,
        )


def build_window(window_s, good, bad, objective_share):
    """Returns the burn of one window.

    Args:
        window_s: Length of the window in seconds.
        good: Number of good answers.
        bad: Number of bad answers.
        objective_share: Share of answers that must be good, below 1.
    """
    total = good + bad
    allowed = 1.0 - objective_share
    burn = (bad / total) / allowed if total else 0.0
    return messages.BurnWindow(
        window_s=window_s, good=good, bad=bad, burn=round(burn, 3)
    )


def merge_reports(reports, unreachable):
    """Returns one report from the summed counts of several members.

    Args:
        reports: Reports of the members that answered.
        unreachable: Names of the members that did not answer.
    """
    merged = {}
    for report in reports:
        for kind in report.kinds:
            previous = merged.get(kind.kind)
            merged[kind.kind] = (
                merge_kind_reports(previous, kind) if previous else kind
            )
    return messages.BurnReport(
        members=sorted(name for r in reports for name in r.members),
        unreachable=sorted(unreachable),
        kinds=[merged[name] for name in sorted(merged)],
    )


def merge_kind_reports(first, second):
    """Returns the burn of one kind from the summed counts of two reports."""
    windows = [
        build_window(
            a.window_s, a.good + b.good, a.bad + b.bad, first.objective_share
        )
        for a, b in zip(first.windows, second.windows, strict=True)
    ]
    return messages.KindBurn(
        kind=first.kind,
        objective_ms=first.objective_ms,
        objective_share=first.objective_share,
        windows=windows,
    )
