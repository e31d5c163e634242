"""Counts of contained errors, for tests."""

__all__ = ["count"]


def count(metrics, part):
    """Returns how many errors of a part of a term were contained.

    Args:
        metrics: ``Metrics`` in which they are counted.
        part: Value of the part.
    """
    return metrics.counters["errors_contained", (("part", part),)]
