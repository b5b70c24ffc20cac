"""One page that needs nothing else: figures, pictures, rules; the pictures also lie beside it as PNG."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import jinja2

from . import charts
from .comparison import ArmSummary, describe_difference, summarize_arms

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ head.title }}</title><style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .25em .7em; text-align: left;
border-bottom: 1px solid #ddd; vertical-align: top } td.n { font-variant-numeric: tabular-nums }
img { max-width: 100% } .bad { color: #b00020; font-weight: 600 } .small { color: #666; font-size: 13px }
</style></head><body>
<h1>{{ head.title }}</h1>
<p>{{ head.why }}</p>
{% if not whole %}<p class="bad">Unfinished: {{ runs|length }} of {{ head.runs }} runs.</p>{% endif %}
<p class="small">Experiment {{ head.experiment }}: {{ runs|length }} runs; servers, clients and network
simulated in virtual time. Python {{ head.python }} on {{ head.machine }}, {{ head.cores }} cores,
decisions {{ head.form }}. Intervals: 95% by bootstrap
over seeds; differences are of pairs with the same seed.</p>
<table><tr><th>{{ "point" if head.points|length > 1 else "" }}</th><th>arm</th><th>service</th>
<th>against {{ head.arms[0] }}</th><th>p50</th><th>p99</th><th>p99.9 ms</th><th>rules</th></tr>
{% for row in rows %}<tr><td>{{ row.point }}</td><td>{{ row.arm }}</td>
<td class="n">{{ row.service }}</td>
<td class="n">{% if row.against %}{{ row.against }}, {{ verdict(row.against) }}{% endif %}</td>
{% for part in ("p50", "p99", "p99.9") %}<td class="n">{{ "%.1f"|format(row.latency[part]) }}</td>
{% endfor %}<td>{% if row.broken %}{% for rule, count in row.broken.items() %}<span class="bad">{{ rule }}
{{ count }}</span> <span class="small">{{ row.first[rule] }}</span><br>{% endfor %}{% else %}kept{% endif %}
</td></tr>
{% endfor %}</table>
{% for title, data in pictures %}<h2>{{ title }}</h2>
<img alt="{{ title }}" src="data:image/png;base64,{{ data }}">
{% endfor %}
<h2>What went wrong when</h2>
<ul>{% for at, until, text in marks %}<li>{{ "%.1f"|format(at / 1e6) }} s{% if until > at %} to
{{ "%.1f"|format(until / 1e6) }} s{% endif %}: {{ text }}</li>{% else %}<li>nothing</li>{% endfor %}</ul>
</body></html>
"""


def draw_charts(
    head: dict[str, Any], runs: Sequence[dict[str, Any]], made: Sequence[ArmSummary], folder: Path
) -> list[tuple[str, Path]]:
    """Pictures of the first point, and of its first arm's first run; losses of all."""
    point = made[0].point
    shown = [run for run in runs if run["point"] == point]
    at = f" at {point}" if point else ""
    return [
        (
            f"Service over time{at}, troubles marked",
            charts.plot_service(shown, head["arms"], folder / "time.png"),
        ),
        (f"By server{at}", charts.plot_servers(shown[0], folder / "servers.png")),
        (f"Latency{at}", charts.plot_latency(shown, head["arms"], folder / "latency.png")),
        ("Not served in time, by cause", charts.plot_losses(made, folder / "losses.png")),
    ]


def write_report(folder: Path, head: dict[str, Any], runs: Sequence[dict[str, Any]]) -> Path:
    """`folder`/report.html; it says so if runs are missing.  ValueError if there are none at all."""
    made = summarize_arms(head, runs)
    if not made:
        raise ValueError("no run has ended")
    inlined = [
        (title, base64.b64encode(path.read_bytes()).decode())
        for title, path in draw_charts(head, runs, made, folder)
    ]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    page = environment.from_string(PAGE_TEMPLATE).render(
        head=head,
        runs=runs,
        rows=made,
        verdict=describe_difference,
        pictures=inlined,
        marks=runs[0]["marks"],
        whole=len(runs) == head["runs"],
    )
    path = folder / "report.html"
    path.write_text(page)
    return path
