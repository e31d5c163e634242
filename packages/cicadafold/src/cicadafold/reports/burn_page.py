"""Renders a burn report as a self-contained HTML page with bar charts."""

import html
import string

__all__ = ["render"]

BAR_WIDTH_PX = 320
FULL_SCALE_BURN = 10.0
WARNING_BURN = 1.0
CRITICAL_BURN = 6.0

PAGE = string.Template("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; }
td, th { padding: 0.3em 0.8em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn of 1 uses up exactly the bad answers that the objective allows.
The bars are cut off at $full_scale.</p>
<p>Members: $members. Not included: $unreachable.</p>
$kinds
</body></html>
""")

KIND = string.Template("""<h2>$kind</h2>
<p>Objective: $share within $objective_ms ms.</p>
<table><tr><th>Window</th><th>Burn</th><th></th><th>Good</th><th>Bad</th></tr>
$rows
</table>
""")

ROW = string.Template(
    "<tr><td>$window s</td><td>$burn</td><td>$bar</td>"
    "<td>$good</td><td>$bad</td></tr>"
)

BAR = string.Template(
    '<svg width="$full" height="14" role="img" aria-label="burn $burn">'
    '<rect width="$full" height="14" fill="#eee"/>'
    '<rect width="$width" height="14" fill="$colour"/>'
    '<rect x="$one" width="1" height="14" fill="#333"/></svg>'
)


def render(report):
    """Returns the HTML page of a report.

    Args:
        report: Burn report of one or of several members.
    """
    return PAGE.substitute(
        full_scale=f"{FULL_SCALE_BURN:g}",
        members=html.escape(", ".join(report.members) or "none"),
        unreachable=html.escape(", ".join(report.unreachable) or "none"),
        kinds="\n".join(render_kind(kind) for kind in report.kinds),
    )


def render_kind(kind):
    """Returns the HTML section of one kind."""
    return KIND.substitute(
        kind=html.escape(kind.kind),
        share=f"{kind.objective_share:.2%}",
        objective_ms=kind.objective_ms,
        rows="\n".join(render_window(window) for window in kind.windows),
    )


def render_window(window):
    """Returns the HTML table row of one window."""
    return ROW.substitute(
        window=window.window_s,
        burn=f"{window.burn:.2f}",
        bar=render_bar(window.burn),
        good=window.good,
        bad=window.bad,
    )


def render_bar(burn):
    """Returns the SVG bar of a burn, with a mark at a burn of 1."""
    scale = BAR_WIDTH_PX / FULL_SCALE_BURN
    return BAR.substitute(
        full=BAR_WIDTH_PX,
        width=round(min(burn, FULL_SCALE_BURN) * scale),
        one=round(scale),
        burn=f"{burn:.2f}",
        colour=bar_colour(burn),
    )


def bar_colour(burn):
    """Returns the colour of the bar: critical, warning or normal."""
    if burn >= CRITICAL_BURN:
        return "#c0392b"
    return "#e6a700" if burn >= WARNING_BURN else "#2e8b57"
