"""What a history of real processes comes to: checks, times, and the fleet's page.

`judged` reads and checks a history, `write` makes the page: who saw whom as alive over time, faults marked,
messages and bytes a second.
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
MAX_VIOLATIONS_SHOWN = 5  # breaches of one check on the page and in a terminal

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
    """Times are seconds after the last fault's end, None for never."""

    history: Sequence[Line]
    violations: dict[str, list[str]]
    fault_counts: dict[str, int]
    view_recovery_s: float | None
    service_recovery_s: float | None
    handovers: int = 0

    def metrics(self) -> dict[str, Any]:
        broken = {name: len(each) for name, each in self.violations.items()}
        return {
            "faults": self.fault_counts,
            "violations": broken,
            "views_right_s": self.view_recovery_s,
            "full_service_s": self.service_recovery_s,
            "handovers": self.handovers,
        }

    def summary_lines(self) -> list[str]:
        """For people."""
        found = [
            f"BROKEN {name}: {each}"
            for name, breaches in self.violations.items()
            for each in breaches[:MAX_VIOLATIONS_SHOWN]
        ]
        done = ", ".join(f"{kind} {count}" for kind, count in self.fault_counts.items()) or "none"
        return [
            f"faults: {done}",
            f"views right: {format_duration(self.view_recovery_s)}; full service: {format_duration(self.service_recovery_s)}",
            *(found or [f"checked, and kept: {', '.join(PROPERTIES)}"]),
        ]


def format_duration(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s"


def check_history(path: Path) -> CheckedHistory:
    """Raises BadHistory."""
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
    """Names, times in seconds, and for each time the share of the others that see each as alive.

    A suspicion counts half.
    """
    views = [line for line in lines if line["what"] == "views"]
    names = sorted({name for line in views for name in line["running"]}, key=lambda name: (len(name), name))
    rows = []
    for line in views:
        asked = line["sees"]
        count: dict[str, float] = {}
        for view in asked.values():
            for name, state in view:
                count[name] = count.get(name, 0) + STATE_WEIGHTS.get(state, 0.0)
        rows.append([count.get(name, 0) / max(1, len(asked) - (name in asked)) for name in names])
    return names, [line["at"] / 1e6 for line in views], rows


def traffic_rates(lines: Sequence[Line]) -> tuple[list[float], list[float], list[float]]:
    """Times in seconds, and messages and bytes a second of all sidecars together since the time before."""
    met = [line for line in lines if line["what"] == "carried"]
    at, messages, sizes = [], [], []
    for one, other in zip(met, met[1:]):
        span = max(1e-6, (other["at"] - one["at"]) / 1e6)
        at.append(other["at"] / 1e6)
        messages.append((other["messages"] - one["messages"]) / span)
        sizes.append((other["bytes"] - one["bytes"]) / span)
    return at, messages, sizes


def write_report(folder: Path, title: str, found: CheckedHistory) -> Path:
    """`folder`/fleet.html, with its pictures beside it."""
    lines = found.history
    faults = [(line["at"], line["until"], line["text"]) for line in lines if line["what"] == "fault"]
    shown = []
    names, at, rows = liveness_matrix(lines)
    if rows:
        shown = [
            (
                "Who is seen as alive, by how many of the others",
                charts.plot_liveness(names, at, rows, faults, folder / "seen.png"),
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
        views=format_duration(found.view_recovery_s),
        full=format_duration(found.service_recovery_s),
        properties=PROPERTIES,
        broken=found.violations,
        shown=MAX_VIOLATIONS_SHOWN,
        faults=faults,
        pictures=[(name, base64.b64encode(path.read_bytes()).decode()) for name, path in shown],
    )
    path = folder / "fleet.html"
    path.write_text(page)
    return path
