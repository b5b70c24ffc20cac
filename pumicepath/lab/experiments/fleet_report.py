"""Results of a history of real processes: violated properties, recovery times, and the fleet's HTML report.

`check_history` reads and checks a history; `write_report` writes the page, which shows which sidecars were
seen as alive over time, the faults, and the messages and bytes a second.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2

from ..verification import history, recovery
from ..verification.checks import PROPERTIES, violations
from ..verification.history import Line
from . import charts

HISTORY_FILE = "history.jsonl"
STATE_WEIGHTS = {"alive": 1.0, "suspected": 0.5}
MAX_VIOLATIONS_SHOWN = 5  # of one property, on the page and in a terminal

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}: the fleet</title><style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222 }
img { max-width: 100% } .bad { color: #b00020; font-weight: 600 } .small { color: #666; font-size: 13px }
</style></head><body>
<h1>{{ title }}: the fleet</h1>
<p class="small">{{ sidecars }} real sidecars on loopback for {{ "%.0f"|format(lasts) }} s; servers, clients
and the ways between sidecars are simulated. Seed {{ seed }}.</p>
<p>Views right {{ views }}, full service {{ full }} after the last fault's end.</p>
<h2>Checks</h2><ul>{% for name, text in properties.items() %}
<li>{% if name in broken %}<span class="bad">{{ name }}: {{ broken[name]|length }} broken</span>
{% for each in broken[name][:shown] %}<br>{{ each }}{% endfor %}{% else %}{{ name }}: kept{% endif %}
<br><span class="small">{{ text }}</span></li>{% endfor %}</ul>
{% for title, data in pictures %}<h2>{{ title }}</h2>
<img alt="{{ title }}" src="data:image/png;base64,{{ data }}">
{% endfor %}
<h2>What went wrong when</h2><ul>{% for at, until, text in faults %}<li>{{ "%.1f"|format(at / 1e6) }} s
{% if until > at %}to {{ "%.1f"|format(until / 1e6) }} s{% endif %}: {{ text }}</li>{% else %}<li>nothing</li>
{% endfor %}</ul></body></html>
"""


@dataclass(frozen=True)
class CheckedHistory:
    """A checked history.  Recovery times are seconds after the end of the last fault, None for never."""

    history: Sequence[Line]
    violations: dict[str, list[str]]
    fault_counts: dict[str, int]
    view_recovery_s: float | None
    service_recovery_s: float | None
    handovers: int = 0

    def metrics(self) -> dict[str, Any]:
        violation_counts = {name: len(texts) for name, texts in self.violations.items()}
        return {
            "faults": self.fault_counts,
            "violations": violation_counts,
            "views_right_s": self.view_recovery_s,
            "full_service_s": self.service_recovery_s,
            "handovers": self.handovers,
        }

    def summary_lines(self) -> list[str]:
        """Format the results as lines for a terminal."""
        broken = [
            f"BROKEN {name}: {text}"
            for name, texts in self.violations.items()
            for text in texts[:MAX_VIOLATIONS_SHOWN]
        ]
        faults = ", ".join(f"{kind} {count}" for kind, count in self.fault_counts.items()) or "none"
        return [
            f"faults: {faults}",
            f"views right: {format_duration(self.view_recovery_s)}; "
            f"full service: {format_duration(self.service_recovery_s)}",
            *(broken or [f"checked, and kept: {', '.join(PROPERTIES)}"]),
        ]


def format_duration(seconds: float | None) -> str:
    """Format seconds, or "never" for None."""
    return "never" if seconds is None else f"{seconds:.1f} s"


def check_history(path: Path) -> CheckedHistory:
    """Read a history file and check its properties.  Raises BadHistory for an invalid file."""
    lines = history.read(path)
    return CheckedHistory(
        lines,
        violations(lines),
        dict(recovery.fault_counts(lines)),
        recovery.view_recovery_s(lines),
        recovery.service_recovery_s(lines),
        recovery.handover_count(lines),
    )


def liveness_matrix(lines: Sequence[Line]) -> tuple[list[str], list[float], list[list[float]]]:
    """Return sidecar names, times in seconds, and the liveness of each at each time.

    Liveness is the fraction of the other sidecars that see it as alive; one that suspects it counts half.
    """
    views = [line for line in lines if line["what"] == "views"]
    names = sorted({name for line in views for name in line["running"]}, key=lambda name: (len(name), name))
    rows = []
    for line in views:
        reports = line["sees"]
        weights: dict[str, float] = {}
        for view in reports.values():
            for name, state in view:
                weights[name] = weights.get(name, 0) + STATE_WEIGHTS.get(state, 0.0)
        rows.append([weights.get(name, 0) / max(1, len(reports) - (name in reports)) for name in names])
    return names, [line["at"] / 1e6 for line in views], rows


def traffic_rates(lines: Sequence[Line]) -> tuple[list[float], list[float], list[float]]:
    """Return times in seconds, and messages and bytes a second of all sidecars since the previous time."""
    totals = [line for line in lines if line["what"] == "carried"]
    times_s, messages, sizes = [], [], []
    for previous, current in zip(totals, totals[1:]):
        elapsed_s = max(1e-6, (current["at"] - previous["at"]) / 1e6)
        times_s.append(current["at"] / 1e6)
        messages.append((current["messages"] - previous["messages"]) / elapsed_s)
        sizes.append((current["bytes"] - previous["bytes"]) / elapsed_s)
    return times_s, messages, sizes


def write_report(folder: Path, title: str, checked: CheckedHistory) -> Path:
    """Write `folder`/fleet.html, and its charts beside it as PNG files."""
    lines = checked.history
    faults = [(line["at"], line["until"], line["text"]) for line in lines if line["what"] == "fault"]
    images = []
    names, times_s, rows = liveness_matrix(lines)
    if rows:
        images = [
            (
                "Who is seen as alive, by how many of the others",
                charts.plot_liveness(names, times_s, rows, faults, folder / "seen.png"),
            ),
            (
                "Messages and bytes a second among sidecars",
                charts.plot_traffic(*traffic_rates(lines), faults, folder / "messages.png"),
            ),
        ]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    page = environment.from_string(PAGE_TEMPLATE).render(
        title=title,
        sidecars=lines[0]["plan"]["sidecars"]["count"],
        seed=lines[0]["seed"],
        lasts=lines[-1]["at"] / 1e6,
        views=format_duration(checked.view_recovery_s),
        full=format_duration(checked.service_recovery_s),
        properties=PROPERTIES,
        broken=checked.violations,
        shown=MAX_VIOLATIONS_SHOWN,
        faults=faults,
        pictures=[(name, base64.b64encode(path.read_bytes()).decode()) for name, path in images],
    )
    path = folder / "fleet.html"
    path.write_text(page)
    return path
