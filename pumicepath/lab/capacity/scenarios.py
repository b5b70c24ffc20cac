"""Operating scenarios: the peak load of each, when all changes are applied, and what is stale until then."""

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
    """An operating situation: its peak loads, rows without a role, and how long state is stale.

    `applied_after` is the time in seconds until all changes are applied, None if it was not measured.
    """

    name: str
    peaks: list[Row]
    applied_after: Estimate | None
    applied_after_source: str
    stale_state: str


def build_scenarios(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Scenario]:
    """Compute the scenarios, from an ordinary day to ten times the mean rate of changes."""
    followers, changes_per_s, largest = (
        assumed.followers_per_relay,
        list_changes_per_s(target, assumed),
        assumed.max_listed_servers,
    )
    change_us = capacity.at("relay_change_us", followers)
    renewal_percent = capacity.at("relay_renewed_us", followers).times(
        followers / assumed.relay_renewal_interval_s / 1e4
    )
    renewal_bytes = capacity.at("relay_renewed_bytes", followers).plus(
        assumed_value((target.regions - 1) * assumed.region_bytes + assumed.request_bytes)
    )
    idle_bytes_per_s = renewal_bytes.times(1 / assumed.relay_renewal_interval_s)
    typical_list_bytes = capacity.at("relay_whole_bytes", followers)
    entry_bytes = roles.list_entry_bytes(capacity, assumed)
    in_force_ms = capacity.at_if_measured("hollow_in_force_ms", target.servers)
    in_force = in_force_ms.divided_by(1000) if in_force_ms is not None else None

    def recovery(fault: str, fallback: Estimate | None) -> tuple[Estimate | None, str]:
        """Time from a fault's end until all changes are applied: from hollow runs, else `fallback`."""
        name = f"{fault}_s"
        if name not in capacity.series:
            return fallback, ""
        size, value = capacity[name].medians[-1]
        return capacity.at(name, target.servers), (
            f"hollow runs, from its end [{name}: {format_number(value)} s at {format_number(size)}]"
        )

    silence_s = assumed_value(assumed.silence_timeout_s + 0.5 + 2 * assumed.batch_interval_s)
    relays = target.regions * assumed.relays_per_region

    def relay_row(quantity: str, rate: float, times: float = 1) -> Row:
        """CPU of a relay with `times` its usual followers, at `rate` changes a second sent one by one."""
        cpu = renewal_percent.times(times).plus(change_us.times(assumed_value(rate / 1e4)))
        return Row(
            "",
            quantity,
            cpu,
            "% of a core",
            100.0,
            f"renewals, and {format_number(rate)} changes a second",
            ("relay_renewed_us", "relay_change_us"),
            "",
        )

    def sidecar_row(quantity: str, rate: float, listed: float) -> Row:
        """Bytes to a sidecar that lists `listed` servers, at `rate` changes a second of all servers."""
        notified_per_s = rate * listed / target.servers
        return Row(
            "",
            quantity,
            idle_bytes_per_s.plus(entry_bytes.times(assumed_value(notified_per_s))),
            "bytes a second",
            target.max_bytes_per_s,
            "watch, and lines of what changed",
            ("relay_renewed_bytes", "relay_whole_bytes"),
            "",
        )

    def full_list_rows(sidecars: float, machines: float) -> tuple[list[Row], Estimate]:
        """Full lists to `sidecars` sidecars from `machines` relays: the rows, and the longer duration."""
        bytes_per_s = machines * assumed.full_list_bytes_per_s
        mixed_list_bytes = typical_list_bytes.times(1 - assumed.largest_service_caller_fraction).plus(
            entry_bytes.times(assumed_value(assumed.largest_service_caller_fraction * largest))
        )
        duration = mixed_list_bytes.times(sidecars / bytes_per_s)
        return [
            Row(
                "",
                "whole lists, usual",
                typical_list_bytes.times(assumed_value(sidecars / bytes_per_s)),
                "s",
                target.max_propagation_s,
                f"sidecars x bytes / relays / {assumed.full_list_bytes_per_s / 1e6:g} MB a second",
                ("relay_whole_bytes",),
                "",
            ),
            Row(
                "",
                "whole lists, one in ten with the largest service",
                duration,
                "s",
                target.max_propagation_s,
                "the same, a tenth with 2,584 lines",
                ("relay_whole_bytes",),
                "",
            ),
        ], duration

    zone_changes_per_s, peak_changes_per_s = (
        target.zone_servers / target.max_propagation_s,
        changes_per_s * assumed.peak_factor,
    )
    missed_changes = changes_per_s / target.regions * assumed.partition_duration_s
    release_changes_per_s = target.servers * assumed.changes_per_replacement / assumed.release_duration_s
    zone_lists, zone_lists_s = full_list_rows(target.zone_servers, relays / target.regions)
    all_lists, all_lists_s = full_list_rows(target.servers, relays)
    zone_s, zone_source = recovery("zone-lost", in_force)
    cut_s, cut_source = recovery("region-cut", silence_s)
    restart_s, restart_source = recovery("region-of-all-control-restarted", None)
    lost_relay_s, lost_relay_source = recovery("region-of-all-control-killed", None)
    lost_relay_lists, _ = full_list_rows(followers, 1)
    return [
        Scenario(
            "ordinary",
            [
                relay_row("a relay", changes_per_s),
                sidecar_row("a sidecar, usual", changes_per_s, assumed.typical_listed_servers),
            ],
            in_force,
            "hollow sidecars, p99",
            "nothing for longer than that",
        ),
        Scenario(
            "a rack, 40 servers and sidecars",
            [
                relay_row("a relay, in 6 s", assumed.rack_servers / target.max_propagation_s),
                sidecar_row(
                    "a sidecar with the largest service",
                    assumed.rack_servers / target.max_propagation_s,
                    largest,
                ),
            ],
            in_force,
            "as on an ordinary day: its changes share batches",
            "the rack's servers until the change arrives, " + CLOCK_START_RULE,
        ),
        Scenario(
            "a zone, 590 at once",
            [
                relay_row("a relay, in 6 s", zone_changes_per_s),
                sidecar_row("a sidecar with the largest service", zone_changes_per_s, largest),
            ],
            zone_s,
            zone_source or "as on an ordinary day, if batches hold them",
            "the zone's servers until the change arrives; breakers open before that",
        ),
        Scenario(
            "the zone back",
            [relay_row("a relay, in 6 s", zone_changes_per_s), *zone_lists],
            zone_lists_s,
            "590 whole lists by its region's two relays",
            "nobody is sent to who is not there: what is late is a server that could serve",
        ),
        Scenario(
            "a region cut off for an hour, and healed",
            [
                relay_row("a relay, in 6 s after", missed_changes / target.max_propagation_s),
                Row(
                    "",
                    "changes missed, of those that a relay can continue",
                    assumed_value(missed_changes),
                    "changes",
                    float(assumed.retained_changes),
                    "changes / 10 regions x an hour",
                    (),
                    "",
                ),
            ],
            cut_s,
            cut_source or "a relay's next call to the region's discovery, and a batch",
            "the region's servers as last received; " + CLOCK_START_RULE + "; " + LAST_LIST_STAYS,
        ),
        Scenario(
            "a release of everything in an hour",
            [
                relay_row("a relay", release_changes_per_s),
                sidecar_row("a sidecar with the largest service", release_changes_per_s, largest),
            ],
            in_force,
            "as on an ordinary day",
            "nothing for longer than that",
        ),
        Scenario(
            "a control machine lost",
            [relay_row("the other, with twice the followers", changes_per_s, 2), *lost_relay_lists],
            lost_relay_s,
            lost_relay_source or NOT_MEASURED,
            "nothing for its followers until they have gone to the other",
        ),
        Scenario(
            "all control machines restarted",
            [
                *all_lists,
                Row(
                    "",
                    "a relay's CPU for its followers' lists",
                    capacity.at("relay_whole_us", followers).times(followers / 1e6),
                    "s",
                    target.max_propagation_s,
                    "1,000 x CPU of a list",
                    ("relay_whole_us",),
                    "",
                ),
            ],
            restart_s if restart_s is not None else all_lists_s.plus(assumed_value(4.0)),
            restart_source
            or "until the last whole list, after a drawn pause of up to 4 s; runs of that: " + NOT_MEASURED,
            "all entries as last received while no relay runs; "
            + CLOCK_START_RULE
            + "; "
            + LAST_LIST_STAYS
            + ". Where the whole lists take more than 6 s from when relays are back, that is a miss",
        ),
        Scenario(
            "61,000 changes at ten times the mean, ten minutes",
            [
                relay_row("a relay", peak_changes_per_s),
                sidecar_row("a sidecar with the largest service", peak_changes_per_s, largest),
            ],
            in_force,
            "as on an ordinary day, if a relay has room",
            "nothing for longer than that",
        ),
    ]


def scenario_cells(scenario: Scenario, capacity: Capacity) -> list[list[str]]:
    """Format one line for each peak; only the first carries the scenario's name and its last two columns."""
    applied = (
        f"{format_number(scenario.applied_after.value)} s, {provenance(scenario.applied_after)}"
        if scenario.applied_after is not None
        else NOT_MEASURED
    )
    applied += f": {scenario.applied_after_source}"
    lines = []
    for row in scenario.peaks:
        first = row is scenario.peaks[0]
        what, *cells = rows.row_cells(row, capacity)
        figure, budget, over, source, formula, _ = cells
        lines.append(
            [
                scenario.name if first else "",
                f"{what}: {figure}",
                budget,
                over,
                source,
                formula,
                applied if first else "",
                scenario.stale_state if first else "",
            ]
        )
    return lines
