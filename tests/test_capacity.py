"""The capacity page: its tables are its file's, its formulas are right on cases worked by hand."""

from __future__ import annotations

import copy
import json
import math
from pathlib import Path
from typing import Any

import pytest

from pumicepath.lab.capacity import page, ranking, roles, rows, scenarios, sensitivity
from pumicepath.lab.capacity.measurements import Capacity, CapacityError, Estimate, decode, fit_line
from pumicepath.lab.capacity.target import ASSUMPTIONS, TARGET, Assumptions

DOCS = Path(__file__).parent.parent / "docs"
DATA = json.loads((DOCS / "capacity.json").read_text())
RUN = {"date": "2026-12-02 04:00", "commit": "c0b84f1", "load": 1.0, "command": "by hand"}


def make_series(points: list[Any], form: str = "compiled") -> dict[str, Any]:
    return {
        "what": "a thing",
        "unit": "us",
        "by": "servers",
        "form": form,
        "run": dict(RUN),
        "points": points,
    }


def make_capacity(**named: list[Any]) -> Capacity:
    told = {name: make_series(points) for name, points in named.items()}
    return decode({"machine": DATA["machine"], "series": told})


def with_flat_series(**named: float) -> Capacity:
    """The file's series, some of them the same at all sizes."""
    changed = copy.deepcopy(DATA)
    for name, value in named.items():
        changed["series"][name] = make_series([[size, [value]] for size in (0.1, 10, 1000, 100_000)])
    return decode(changed)


def find_row(known: Capacity, role: str, begins: str) -> rows.Row:
    return next(
        row for row in roles.ROLE_ROWS[role](known, TARGET, ASSUMPTIONS) if row.quantity.startswith(begins)
    )


STRAIGHT_POINTS = [[10, [30, 30, 31]], [20, [50]], [30, [70, 60, 80]], [40, [90]]]  # 10 + 2 n


def test_the_page_is_what_the_file_says() -> None:
    text = (DOCS / "CAPACITY.md").read_text()
    assert page.render_page(text, decode(DATA)) == text, "benchmarks/capacity.py --write-page was not run"


def test_a_figure_changed_in_the_file_shows_in_the_page() -> None:
    text = (DOCS / "CAPACITY.md").read_text()
    for name in DATA["series"]:
        changed = copy.deepcopy(DATA)
        for point in changed["series"][name]["points"]:
            point[1] = [3 * value for value in point[1]]
        assert page.render_page(text, decode(changed)) != text, name


@pytest.mark.parametrize("text", ["", "<!-- begin odd -->\n<!-- end odd -->\n"])
def test_a_page_without_its_markers_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="table"):
        page.render_page(text, decode(DATA))
    whole = (DOCS / "CAPACITY.md").read_text()
    with pytest.raises(ValueError, match="odd"):
        page.render_page(whole + "<!-- begin odd -->\n<!-- end odd -->\n", decode(DATA))


def test_a_line_and_its_residual() -> None:
    found = fit_line([(10, 30), (20, 50), (30, 70), (40, 90)])
    assert found.intercept == pytest.approx(10) and found.slope == pytest.approx(2)
    assert found.residual == pytest.approx(0, abs=1e-9) and found.is_linear
    square = fit_line([(1, 1), (10, 100), (100, 10_000), (1000, 1_000_000)])
    assert not square.is_linear and square.residual > 0.5


@pytest.mark.parametrize("value", [2.0, 0.1, 1 / 3, 1e-7, 12_345.678])
def test_equal_points_have_no_slope(value: float) -> None:
    found = fit_line([(size, value) for size in (12, 100, 1000, 20_000)])
    assert found.slope == 0
    assert found.intercept == pytest.approx(value, rel=1e-15)
    assert found.residual < 1e-15


@pytest.mark.parametrize("value", [2.0, 0.1, 1 / 3, 1e-7, 12_345.678])
@pytest.mark.parametrize("raised", [1, 2, 4, 8, 12, 14])
def test_points_that_differ_in_the_last_bit_have_no_slope(value: float, raised: int) -> None:
    sizes = (12, 100, 1000, 20_000)
    found = fit_line(
        [
            (size, math.nextafter(value, math.inf) if raised & 1 << at else value)
            for at, size in enumerate(sizes)
        ]
    )
    assert found.slope == 0


def test_a_small_slope_above_rounding_stays() -> None:
    found = fit_line([(size, 2.0 + 1e-12 * size) for size in (12, 100, 1000, 20_000)])
    assert found.slope == pytest.approx(1e-12, rel=1e-3)


def test_figures_between_beyond_and_below_what_was_measured() -> None:
    known = make_capacity(
        straight=STRAIGHT_POINTS, bent=[[1, [1]], [10, [100]], [100, [10_000]], [200, [40_000]]]
    )
    assert known.at("straight", 25) == Estimate(60, "measured")
    assert known.at("straight", 5) == Estimate(30, "measured")
    far = known.at("straight", 1000)
    assert (far.value, far.kind, far.size_ratio) == (pytest.approx(2010), "extrapolated", 25)
    assert known.at("bent", 300).value == pytest.approx(70_000)  # by the line through the last two points
    falling = make_capacity(falling=[[1, [40]], [2, [30]], [3, [20]], [4, [10]]])
    assert falling.at("falling", 100).value == 10  # and not below nothing
    assert known["straight"].relative_spread == pytest.approx(20 / 70)


def test_what_figures_become_together() -> None:
    measured, far, by_hand = Estimate(6, "measured"), Estimate(3, "extrapolated", 4), Estimate(2)
    assert measured.times(2) == Estimate(12, "measured")
    assert measured.divided_by(far) == Estimate(2, "extrapolated", 4)
    assert far.plus(by_hand) == Estimate(5, "reckoned", 4)


def test_a_figure_says_how_it_is_known() -> None:
    assert rows.provenance(Estimate(1, "measured")) == "measured"
    assert rows.provenance(Estimate(1, "extrapolated", 4)) == "extrapolated x 4"
    assert rows.provenance(Estimate(1, "reckoned", 4), ("a",)) == "reckoned from slopes, extrapolated x 4"
    assert rows.provenance(Estimate(1, "reckoned"), ("a",)) == "reckoned from slopes"
    assert rows.provenance(Estimate(1, "reckoned")) == "reckoned"
    assert "more than 20 times" in rows.provenance(Estimate(1, "reckoned", 25), ("a",))
    assert "more than 20 times" not in rows.provenance(Estimate(1, "extrapolated", 20))
    told = [rows.format_number(value) for value in (0.12345, 9.999, 123.4, 12_345.6)]
    assert told == ["0.123", "10", "123", "12,300"]


def test_a_row_against_its_budget() -> None:
    row = rows.Row("role", "what", Estimate(9, "measured"), "s", 6, "f", ("straight",), "m")
    assert row.budget_ratio == 1.5 and rows.budget_text(row) == "**1.5**"
    assert rows.row_cells(row, make_capacity(straight=STRAIGHT_POINTS)) == [
        "what",
        "9 s",
        "6 s",
        "**1.5**",
        "measured, compiled",
        "f [straight]",
        "m",
    ]
    assert rows.budget_text(rows.Row("role", "what", Estimate(9), "s", None, "f", (), "m")) == "no budget"


def test_changes_a_second() -> None:
    # 61,000 and three each for 40 and 1,600 servers, in 86,400 s.
    assert ranking.list_changes_per_s(TARGET, ASSUMPTIONS) == pytest.approx(65_920 / 86_400)
    assert ranking.list_changes_per_s(TARGET, Assumptions(changes_per_replacement=6)) == pytest.approx(
        70_840 / 86_400
    )


def test_the_ranking_by_hand() -> None:
    found = {(row.role, row.quantity): row for row in ranking.direct_rows(decode(DATA), TARGET, ASSUMPTIONS)}
    size, values = DATA["series"]["list_bytes"]["points"][-1]
    assert size == 20_000
    by_bytes = next(row for (_, what), row in found.items() if what.startswith("a whole list, bytes"))
    assert by_bytes.value.value == pytest.approx(sorted(values)[len(values) // 2] / 1000)
    assert by_bytes.budget_ratio == pytest.approx(by_bytes.value.value / 42)
    ordered = ranking.ranked_rows(decode(DATA), TARGET, ASSUMPTIONS)
    roles = list(dict.fromkeys(row.role for row in ordered))
    worst = [max(row.budget_ratio for row in ordered if row.role == role) for role in roles]
    assert worst == sorted(worst, reverse=True) and len(ordered) == len(found)


def test_a_relay_by_hand() -> None:
    known = with_flat_series(
        relay_renewed_us=100, relay_change_us=1000, relay_whole_bytes=14_000, relay_whole_us=300
    )
    # 1,000 followers each 2.25 s at 100 us, and 65,920 changes a day at 1 ms.
    at_rest, changes = 1000 / 2.25 * 100 / 1e6, 65_920 / 86_400 * 1000 / 1e6
    assert find_row(known, "control", "CPU").value.value == pytest.approx(100 * (at_rest + changes))  # type: ignore
    assert find_row(known, "control", "CPU, one down").value.value == pytest.approx(  # type: ignore
        100 * (2 * at_rest + 10 * changes)
    )
    found = {day.name: day for day in scenarios.build_scenarios(known, TARGET, ASSUMPTIONS)}
    usual, largest, spent = found["all control machines restarted"].peaks
    assert usual.value.value == pytest.approx(20_000 * 14_000 / 20 / 64e6)  # type: ignore
    assert largest.value.value == pytest.approx(  # type: ignore
        20_000 * (0.9 * 14_000 + 0.1 * 2584 * 14_000 / (160_000 / 1900)) / 20 / 64e6
    )
    assert spent.value.value == pytest.approx(1000 * 300 / 1e6)  # type: ignore
    zone = found["a zone, 590 at once"].peaks[0]
    assert zone.value.value == pytest.approx(100 * (at_rest + 590 / 6 * 1000 / 1e6))  # type: ignore


def test_a_sidecar_by_hand() -> None:
    known = with_flat_series(call_cpu_ms=0.5, relay_renewed_bytes=160, followed_mb=25)
    assert find_row(known, "data-path", "CPU, usual").value == Estimate(7.5, "measured")  # 150 x 0.5 ms, in %
    assert find_row(known, "data-path", "CPU of calls 13 deep").budget_ratio == pytest.approx(13 * 0.5 / 1.8)
    at_rest = find_row(known, "lists", "bytes at rest")
    assert at_rest.value is not None and at_rest.value.kind == "reckoned"
    assert at_rest.value.value == pytest.approx((160 + 9 * 36 + 260) / 2.25)
    assert find_row(known, "lists", "memory, usual").budget_ratio == pytest.approx(25 / 32)


def test_what_was_not_measured_is_said_so() -> None:
    changed = copy.deepcopy(DATA)
    for name in [
        name
        for name in changed["series"]
        if name.startswith(("hollow_", "real_", "direct_", "added_", "control-", "zone-", "region-"))
    ]:
        del changed["series"][name]
    known = decode(changed)
    told = find_row(known, "change", "a change of servers' entries")
    assert told.value is None and told.budget_ratio == 0
    assert rows.row_cells(told, known)[1:5] == [
        rows.NOT_MEASURED,
        "6 s",
        rows.NOT_MEASURED,
        rows.NOT_MEASURED,
    ]
    restarted = next(
        day
        for day in scenarios.build_scenarios(known, TARGET, ASSUMPTIONS)
        if day.name.startswith("all control")
    )
    assert rows.NOT_MEASURED in restarted.applied_after_source
    ordinary = scenarios.scenario_cells(scenarios.build_scenarios(known, TARGET, ASSUMPTIONS)[0], known)
    assert rows.NOT_MEASURED in ordinary[0][6]
    assert rows.NOT_MEASURED in page.render_page((DOCS / "CAPACITY.md").read_text(), known)


def test_what_twice_an_assumption_changes() -> None:
    known = with_flat_series(call_cpu_ms=0.5)
    found = sensitivity.changed_rows(known, TARGET, ASSUMPTIONS, "calls_each")
    assert found and "with the largest service: 7.5 to 15 of 100 % of a core" in found[0][2]
    for name in sensitivity.ASSUMPTION_TEXTS:
        assert hasattr(ASSUMPTIONS, name)
        told = sensitivity.changed_rows(known, TARGET, ASSUMPTIONS, name)
        assert told == sorted(told, reverse=True)


INVALID_DATA: list[tuple[tuple[Any, ...], Any, str]] = [
    (("machine",), None, "machine is missing"),
    (("machine", "cores"), None, "machine.cores is missing"),
    (("machine", "cores"), "8", "machine.cores"),
    (("extra",), 1, "extra is not known"),
    (("series", "told_us", "form"), "fast", "series.told_us.form"),
    (("series", "told_us", "form"), None, "series.told_us.form is missing"),
    (("series", "told_us", "other"), 1, "series.told_us.other is not known"),
    (("series", "told_us", "run", "commit"), None, "series.told_us.run.commit is missing"),
    (("series", "told_us", "run", "load"), -1, "series.told_us.run.load"),
    (("series", "told_us", "points"), [[1, [1]], [2, [1]], [3, [1]]], "fewer than 4"),
    (("series", "told_us", "points", 1), [200], r"points\[1\]"),
    (("series", "told_us", "points", 1), [1, [3]], "do not grow"),
    (("series", "told_us", "points", 1), [200, []], r"points\[1\]"),
    (("series", "told_us", "points", 1), [200, [float("nan")]], "above 0"),
    (("series", "told_us", "points", 1), [200, [True]], "above 0"),
    (("series", "told_us", "points", 1), [200, [0]], "above 0"),
]


@pytest.mark.parametrize("path, value, says", INVALID_DATA)
def test_what_is_missing_or_odd_is_an_error(path: tuple[Any, ...], value: Any, says: str) -> None:
    changed = copy.deepcopy(DATA)
    inside = changed
    for key in path[:-1]:
        inside = inside[key]
    if value is None:
        del inside[path[-1]]
    else:
        inside[path[-1]] = value
    with pytest.raises(CapacityError, match=says):
        decode(changed)


def test_a_series_that_a_row_needs_and_the_file_lacks_is_named() -> None:
    changed = copy.deepcopy(DATA)
    del changed["series"]["told_us"]
    with pytest.raises(CapacityError, match="series.told_us is missing"):
        page.render_page((DOCS / "CAPACITY.md").read_text(), decode(changed))
