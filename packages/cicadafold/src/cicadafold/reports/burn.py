"""Service-level burn: how fast answers use up their error budget.

A kind's objective allows a share of bad answers. A burn of 1 uses up just
that share; a burn of 10 uses it up ten times as fast.

References:
    B. Beyer et al. (eds.): The Site Reliability Workbook, chapter 5,
    Alerting on SLOs, O'Reilly 2018.
"""

import collections
import time

from cicadafold_schema import messages

__all__ = ["BUCKET_S", "AnswerCounts", "WINDOWS_S", "merge_reports"]

BUCKET_S = 10
WINDOWS_S = (60, 300, 3600, 21600)


class AnswerCounts:
    """Good and bad answers by kind, in buckets of time.

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
        """Counts one answer."""
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
        """Returns good and bad answers within a window."""
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
        """Returns this member's report.

        Args:
            member: Name of the member.
            kinds: Kinds of the configuration.
        """
        return messages.BurnReport(
            members=[member],
            unreachable=[],
            kinds=[self.kind_report(kind) for kind in kinds],
        )

    def kind_report(self, kind):
        """Returns the report of one kind."""
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
    """Builds the figures of one window."""
    total = good + bad
    allowed = 1.0 - objective_share
    burn = (bad / total) / allowed if total else 0.0
    return messages.BurnWindow(
        window_s=window_s, good=good, bad=bad, burn=round(burn, 3)
    )


def merge_reports(reports, unreachable):
    """Adds up the reports of several members.

    Args:
        reports: Reports of the members that answered.
        unreachable: Names of the members that did not.
    """
    merged = {}
    for report in reports:
        for kind in report.kinds:
            merged_kind = merged.get(kind.kind)
            merged[kind.kind] = (
                merge_kind_reports(merged_kind, kind) if merged_kind else kind
            )
    return messages.BurnReport(
        members=sorted(name for r in reports for name in r.members),
        unreachable=sorted(unreachable),
        kinds=[merged[name] for name in sorted(merged)],
    )


def merge_kind_reports(first, second):
    """Adds up the figures of one kind."""
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
