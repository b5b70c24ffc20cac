"""The days: what each puts on the busiest part against its budget, when all is in force, what is stale."""

from __future__ import annotations

from dataclasses import dataclass

from . import roles, rows
from .measurements import Capacity, Estimate, assumed_value
from .ranking import list_changes_per_s
from .rows import NOT_MEASURED, Row, format_number, provenance
from .target import Assumptions, Target

CLOCK_START_RULE = "rule 3 counts from when discovery had a change and could be reached"
LAST_LIST_STAYS = "sidecars go on with the last list, and their breakers keep them from servers that fail"


@dataclass(frozen=True)
class Scenario:
    """`peaks` are rows without a role; `until` is when all is in force, in s; None: not measured."""

    name: str
    peaks: list[Row]
    applied_after: Estimate | None
    applied_after_source: str
    stale_state: str


def build_scenarios(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Scenario]:
    n, changed, most = (
        assumed.followers_per_relay,
        list_changes_per_s(target, assumed),
        assumed.max_listed_servers,
    )
    one = capacity.at("relay_change_us", n)
    renewing = capacity.at("relay_renewed_us", n).times(n / assumed.relay_renewal_interval_s / 1e4)
    answer = capacity.at("relay_renewed_bytes", n).plus(
        assumed_value((target.regions - 1) * assumed.region_bytes + assumed.request_bytes)
    )
    resting = answer.times(1 / assumed.relay_renewal_interval_s)
    usual_list = capacity.at("relay_whole_bytes", n)
    line = roles.list_entry_bytes(capacity, assumed)
    told = capacity.at_if_measured("hollow_in_force_ms", target.servers)
    in_force = told.divided_by(1000) if told is not None else None

    def hollow(fault: str, else_: Estimate | None) -> tuple[Estimate | None, str]:
        """From the end of a fault until all is in force, by hollow runs where there are any."""
        name = f"{fault}_s"
        if name not in capacity.series:
            return else_, ""
        size, value = capacity[name].medians[-1]
        return capacity.at(name, target.servers), (
            f"hollow runs, from its end [{name}: {format_number(value)} s at {format_number(size)}]"
        )

    silent = assumed_value(assumed.silence_timeout_s + 0.5 + 2 * assumed.batch_interval_s)
    relays = target.regions * assumed.relays_per_region

    def relay(what: str, rate: float, times: float = 1) -> Row:
        """CPU of a relay at so many changes a second, each told for itself; so many times its followers."""
        cpu = renewing.times(times).plus(one.times(assumed_value(rate / 1e4)))
        return Row(
            "",
            what,
            cpu,
            "% of a core",
            100.0,
            f"renewals, and {format_number(rate)} changes a second",
            ("relay_renewed_us", "relay_change_us"),
            "",
        )

    def heard(what: str, rate: float, listed: float) -> Row:
        """Bytes to a sidecar that lists so many, at so many changes a second of all servers."""
        concerned = rate * listed / target.servers
        return Row(
            "",
            what,
            resting.plus(line.times(assumed_value(concerned))),
            "bytes a second",
            target.max_bytes_per_s,
            "watch, and lines of what changed",
            ("relay_renewed_bytes", "relay_whole_bytes"),
            "",
        )

    def wholes(sidecars: float, machines: float) -> tuple[list[Row], Estimate]:
        """Whole lists to so many from so many relays: usual ones, and with the largest service; seconds."""
        pace = machines * assumed.full_list_bytes_per_s
        with_largest = usual_list.times(1 - assumed.largest_service_caller_fraction).plus(
            line.times(assumed_value(assumed.largest_service_caller_fraction * most))
        )
        lasts = with_largest.times(sidecars / pace)
        return [
            Row(
                "",
                "whole lists, usual",
                usual_list.times(assumed_value(sidecars / pace)),
                "s",
                target.max_propagation_s,
                f"sidecars x bytes / relays / {assumed.full_list_bytes_per_s / 1e6:g} MB a second",
                ("relay_whole_bytes",),
                "",
            ),
            Row(
                "",
                "whole lists, one in ten with the largest service",
                lasts,
                "s",
                target.max_propagation_s,
                "the same, a tenth with 2,584 lines",
                ("relay_whole_bytes",),
                "",
            ),
        ], lasts

    zone, peak = target.zone_servers / target.max_propagation_s, changed * assumed.peak_factor
    region_hour = changed / target.regions * assumed.partition_duration_s
    released = target.servers * assumed.changes_per_replacement / assumed.release_duration_s
    zone_lists, zone_lists_s = wholes(target.zone_servers, relays / target.regions)
    all_lists, all_lists_s = wholes(target.servers, relays)
    zone_s, zone_by = hollow("zone-lost", in_force)
    cut_s, cut_by = hollow("region-cut", silent)
    restart_s, restart_by = hollow("region-of-all-control-restarted", None)
    one_s, one_by = hollow("region-of-all-control-killed", None)
    one_lists, _ = wholes(n, 1)
    return [
        Scenario(
            "ordinary",
            [relay("a relay", changed), heard("a sidecar, usual", changed, assumed.typical_listed_servers)],
            in_force,
            "hollow sidecars, p99",
            "nothing for longer than that",
        ),
        Scenario(
            "a rack, 40 servers and sidecars",
            [
                relay("a relay, in 6 s", assumed.rack_servers / target.max_propagation_s),
                heard(
                    "a sidecar with the largest service",
                    assumed.rack_servers / target.max_propagation_s,
                    most,
                ),
            ],
            in_force,
            "as on an ordinary day: its changes share batches",
            "the rack's servers until told, " + CLOCK_START_RULE,
        ),
        Scenario(
            "a zone, 590 at once",
            [relay("a relay, in 6 s", zone), heard("a sidecar with the largest service", zone, most)],
            zone_s,
            zone_by or "as on an ordinary day, if batches hold them",
            "the zone's servers until told; breakers open before that",
        ),
        Scenario(
            "the zone back",
            [relay("a relay, in 6 s", zone), *zone_lists],
            zone_lists_s,
            "590 whole lists by its region's two relays",
            "nobody is sent to who is not there: what is late is a server that could serve",
        ),
        Scenario(
            "a region cut off for an hour, and healed",
            [
                relay("a relay, in 6 s after", region_hour / target.max_propagation_s),
                Row(
                    "",
                    "changes missed, of those that a relay can continue",
                    assumed_value(region_hour),
                    "changes",
                    float(assumed.retained_changes),
                    "changes / 10 regions x an hour",
                    (),
                    "",
                ),
            ],
            cut_s,
            cut_by or "a relay's next call to the region's discovery, and a batch",
            "the region's servers as last told; " + CLOCK_START_RULE + "; " + LAST_LIST_STAYS,
        ),
        Scenario(
            "a release of everything in an hour",
            [relay("a relay", released), heard("a sidecar with the largest service", released, most)],
            in_force,
            "as on an ordinary day",
            "nothing for longer than that",
        ),
        Scenario(
            "a control machine lost",
            [relay("the other, with twice the followers", changed, 2), *one_lists],
            one_s,
            one_by or NOT_MEASURED,
            "nothing for its followers until they have gone to the other",
        ),
        Scenario(
            "all control machines restarted",
            [
                *all_lists,
                Row(
                    "",
                    "a relay's CPU for its followers' lists",
                    capacity.at("relay_whole_us", n).times(n / 1e6),
                    "s",
                    target.max_propagation_s,
                    "1,000 x CPU of a list",
                    ("relay_whole_us",),
                    "",
                ),
            ],
            restart_s if restart_s is not None else all_lists_s.plus(assumed_value(4.0)),
            restart_by
            or "until the last whole list, after a drawn pause of up to 4 s; runs of that: " + NOT_MEASURED,
            "all entries as last told while no relay runs; "
            + CLOCK_START_RULE
            + "; "
            + LAST_LIST_STAYS
            + ". Where the whole lists take more than 6 s from when relays are back, that is a miss",
        ),
        Scenario(
            "61,000 changes at ten times the mean, ten minutes",
            [relay("a relay", peak), heard("a sidecar with the largest service", peak, most)],
            in_force,
            "as on an ordinary day, if a relay has room",
            "nothing for longer than that",
        ),
    ]


def scenario_cells(day: Scenario, capacity: Capacity) -> list[list[str]]:
    """One line for each peak; the first has what is said of the day."""
    until = (
        f"{format_number(day.applied_after.value)} s, {provenance(day.applied_after)}"
        if day.applied_after is not None
        else NOT_MEASURED
    )
    until += f": {day.applied_after_source}"
    lines = []
    for row in day.peaks:
        first = row is day.peaks[0]
        what, *found = rows.row_cells(row, capacity)
        figure, budget, over, how, formula, _ = found
        lines.append(
            [
                day.name if first else "",
                f"{what}: {figure}",
                budget,
                over,
                how,
                formula,
                until if first else "",
                day.stale_state if first else "",
            ]
        )
    return lines
