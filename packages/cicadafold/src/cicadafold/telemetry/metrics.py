"""Counters and HDR histograms in the Prometheus text format."""

import collections

from hdrh import histogram

__all__ = ["Metrics", "label_text"]

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
PERCENT = 100.0


class Metrics:
    """Counters and histograms of one process.

    Examples:
        >>> metrics = Metrics()
        >>> metrics.count("answers", kind="lookup")
        >>> print(metrics.render().splitlines()[0])
        cicadafold_answers{kind="lookup"} 1
    """

    def __init__(self):
        self.counters = collections.Counter()
        self.histograms = {}

    def count(self, name, amount=1, **labels):
        """Adds an amount to the counter of a name and labels."""
        self.counters[(name, tuple(labels.items()))] += amount

    def record_us(self, name, value_us, **labels):
        """Records a duration in the histogram of a name and labels.

        Args:
            name: Name of the histogram.
            value_us: Duration in microseconds.
            **labels: Labels of the histogram.
        """
        key = (name, tuple(labels.items()))
        found = self.histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histograms[key] = found
        found.record_value(max(LOWEST_US, int(value_us)))

    def render(self, gauges=None):
        """Returns all metrics in the Prometheus text format.

        Args:
            gauges: Current values of further metrics by name, or None.
        """
        lines = []
        for (name, labels), value in sorted(self.counters.items()):
            lines.append(f"cicadafold_{name}{label_text(labels)} {value}")
        for (name, labels), found in sorted(self.histograms.items()):
            lines.extend(render_histogram(name, labels, found))
        for name, value in (gauges or {}).items():
            lines.append(f"cicadafold_{name} {value}")
        return "\n".join(lines) + "\n"


def render_histogram(name, labels, found):
    """Yields the lines of a histogram as a Prometheus summary."""
    for quantile in QUANTILES:
        extended = (*labels, ("quantile", quantile / PERCENT))
        value = found.get_value_at_percentile(quantile)
        yield f"cicadafold_{name}_us{label_text(extended)} {value}"
    count = found.get_total_count()
    yield f"cicadafold_{name}_us_count{label_text(labels)} {count}"


def label_text(labels):
    """Formats labels in the Prometheus text format."""
    if not labels:
        return ""
    inner = ",".join(f'{name}="{escape(value)}"' for name, value in labels)
    return "{" + inner + "}"


def escape(value):
    """Returns a label value with the escapes of the text format.

    Names of teams and queues come from the configuration, and a line break
    in one would make the whole page unreadable.
    """
    text = str(value).replace("\\", "\\\\")
    return text.replace('"', '\\"').replace("\n", "\\n")
