"""The days: what each puts on the busiest part against its budget, when all is in force, what is stale."""

from __future__ import annotations

from dataclasses import dataclass

from . import roles, rows
from .ranking import changes_s
from .rows import UNMEASURED, Row, known, short
from .slopes import Capacity, Figure, reckoned
from .target import Assumed, Target

NEVER_TOLD = "rule 3 counts from when discovery had a change and could be reached"
LAST_LIST = "sidecars go on with the last list, and their breakers keep them from servers that fail"


@dataclass(frozen=True)
class Day:
    """`peaks` are rows without a role; `until` is when all is in force, in s; None: not measured."""

    name: str
    peaks: list[Row]
    until: Figure | None
    until_by: str
    stale: str


def days(capacity: Capacity, target: Target, assumed: Assumed) -> list[Day]:
    n, changed, most = assumed.followers, changes_s(target, assumed), assumed.listed_most
    one = capacity.at("relay_change_us", n)
    renewing = capacity.at("relay_renewed_us", n).times(n / assumed.relayed_s / 1e4)
    answer = capacity.at("relay_renewed_bytes", n).plus(
        reckoned((target.regions - 1) * assumed.region_bytes + assumed.head_bytes)
    )
    resting = answer.times(1 / assumed.relayed_s)
    usual_list = capacity.at("relay_whole_bytes", n)
    line = roles.line_bytes(capacity, assumed)
    told = capacity.maybe("hollow_in_force_ms", target.servers)
    in_force = told.over(1000) if told is not None else None

    def hollow(fault: str, else_: Figure | None) -> tuple[Figure | None, str]:
        """From the end of a fault until all is in force, by hollow runs where there are any."""
        name = f"{fault}_s"
        if name not in capacity.series:
            return else_, ""
        size, value = capacity[name].middles[-1]
        return capacity.at(name, target.servers), (
            f"hollow runs, from its end [{name}: {short(value)} s at {short(size)}]"
        )

    silent = reckoned(assumed.silent_s + 0.5 + 2 * assumed.batch_s)
    relays = target.regions * assumed.relays

    def relay(what: str, rate: float, times: float = 1) -> Row:
        """CPU of a relay at so many changes a second, each told for itself; so many times its followers."""
        cpu = renewing.times(times).plus(one.times(reckoned(rate / 1e4)))
        return Row(
            "",
            what,
            cpu,
            "% of a core",
            100.0,
            f"renewals, and {short(rate)} changes a second",
            ("relay_renewed_us", "relay_change_us"),
            "",
        )

    def heard(what: str, rate: float, listed: float) -> Row:
        """Bytes to a sidecar that lists so many, at so many changes a second of all servers."""
        concerned = rate * listed / target.servers
        return Row(
            "",
            what,
            resting.plus(line.times(reckoned(concerned))),
            "bytes a second",
            target.bytes_s,
            "watch, and lines of what changed",
            ("relay_renewed_bytes", "relay_whole_bytes"),
            "",
        )

    def wholes(sidecars: float, machines: float) -> tuple[list[Row], Figure]:
        """Whole lists to so many from so many relays: usual ones, and with the largest service; seconds."""
        pace = machines * assumed.whole_bytes_s
        with_largest = usual_list.times(1 - assumed.calling_largest).plus(
            line.times(reckoned(assumed.calling_largest * most))
        )
        lasts = with_largest.times(sidecars / pace)
        return [
            Row(
                "",
                "whole lists, usual",
                usual_list.times(reckoned(sidecars / pace)),
                "s",
                target.in_force_s,
                f"sidecars x bytes / relays / {assumed.whole_bytes_s / 1e6:g} MB a second",
                ("relay_whole_bytes",),
                "",
            ),
            Row(
                "",
                "whole lists, one in ten with the largest service",
                lasts,
                "s",
                target.in_force_s,
                "the same, a tenth with 2,584 lines",
                ("relay_whole_bytes",),
                "",
            ),
        ], lasts

    zone, peak = target.zone / target.in_force_s, changed * assumed.peak
    region_hour = changed / target.regions * assumed.cut_s
    released = target.servers * assumed.steps / assumed.release_s
    zone_lists, zone_lists_s = wholes(target.zone, relays / target.regions)
    all_lists, all_lists_s = wholes(target.servers, relays)
    zone_s, zone_by = hollow("zone-lost", in_force)
    cut_s, cut_by = hollow("region-cut", silent)
    restart_s, restart_by = hollow("region-of-all-control-restarted", None)
    one_s, one_by = hollow("region-of-all-control-killed", None)
    one_lists, _ = wholes(n, 1)
    return [
        Day(
            "ordinary",
            [relay("a relay", changed), heard("a sidecar, usual", changed, assumed.listed)],
            in_force,
            "hollow sidecars, p99",
            "nothing for longer than that",
        ),
        Day(
            "a rack, 40 servers and sidecars",
            [
                relay("a relay, in 6 s", assumed.rack / target.in_force_s),
                heard("a sidecar with the largest service", assumed.rack / target.in_force_s, most),
            ],
            in_force,
            "as on an ordinary day: its changes share batches",
            "the rack's servers until told, " + NEVER_TOLD,
        ),
        Day(
            "a zone, 590 at once",
            [relay("a relay, in 6 s", zone), heard("a sidecar with the largest service", zone, most)],
            zone_s,
            zone_by or "as on an ordinary day, if batches hold them",
            "the zone's servers until told; breakers open before that",
        ),
        Day(
            "the zone back",
            [relay("a relay, in 6 s", zone), *zone_lists],
            zone_lists_s,
            "590 whole lists by its region's two relays",
            "nobody is sent to who is not there: what is late is a server that could serve",
        ),
        Day(
            "a region cut off for an hour, and healed",
            [
                relay("a relay, in 6 s after", region_hour / target.in_force_s),
                Row(
                    "",
                    "changes missed, of those that a relay can continue",
                    reckoned(region_hour),
                    "changes",
                    float(assumed.history),
                    "changes / 10 regions x an hour",
                    (),
                    "",
                ),
            ],
            cut_s,
            cut_by or "a relay's next call to the region's discovery, and a batch",
            "the region's servers as last told; " + NEVER_TOLD + "; " + LAST_LIST,
        ),
        Day(
            "a release of everything in an hour",
            [relay("a relay", released), heard("a sidecar with the largest service", released, most)],
            in_force,
            "as on an ordinary day",
            "nothing for longer than that",
        ),
        Day(
            "a control machine lost",
            [relay("the other, with twice the followers", changed, 2), *one_lists],
            one_s,
            one_by or UNMEASURED,
            "nothing for its followers until they have gone to the other",
        ),
        Day(
            "all control machines restarted",
            [
                *all_lists,
                Row(
                    "",
                    "a relay's CPU for its followers' lists",
                    capacity.at("relay_whole_us", n).times(n / 1e6),
                    "s",
                    target.in_force_s,
                    "1,000 x CPU of a list",
                    ("relay_whole_us",),
                    "",
                ),
            ],
            restart_s if restart_s is not None else all_lists_s.plus(reckoned(4.0)),
            restart_by
            or "until the last whole list, after a drawn pause of up to 4 s; runs of that: " + UNMEASURED,
            "all entries as last told while no relay runs; "
            + NEVER_TOLD
            + "; "
            + LAST_LIST
            + ". Where the whole lists take more than 6 s from when relays are back, that is a miss",
        ),
        Day(
            "61,000 changes at ten times the mean, ten minutes",
            [relay("a relay", peak), heard("a sidecar with the largest service", peak, most)],
            in_force,
            "as on an ordinary day, if a relay has room",
            "nothing for longer than that",
        ),
    ]


def cells(day: Day, capacity: Capacity) -> list[list[str]]:
    """One line for each peak; the first has what is said of the day."""
    until = f"{short(day.until.value)} s, {known(day.until)}" if day.until is not None else UNMEASURED
    until += f": {day.until_by}"
    lines = []
    for row in day.peaks:
        first = row is day.peaks[0]
        what, *found = rows.cells(row, capacity)
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
                day.stale if first else "",
            ]
        )
    return lines
