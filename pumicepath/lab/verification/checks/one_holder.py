"""Checks the mutual exclusion of duties, as the targets of the duties recorded it."""

from __future__ import annotations

from collections.abc import Sequence

from ..history import Line

PROPERTY = (
    "Between the first and the last accepted act of a holder in one term, no act of another holder is "
    "accepted for the same duty; a fencing number belongs to one holder."
)


def check(lines: Sequence[Line]) -> list[str]:
    """Returns each pair of terms of one duty that overlap or share a fencing number.

    Lines `acted` have duty, holder, fence and whether the act was accepted.  A line from a poll, in which
    the holder said that it might act, also has `asked`: the statement held at some moment from `asked` to
    `at`.  The term of a polled holder is therefore certain only from its first reply to its last poll, if
    at all.
    """
    terms: dict[str, dict[tuple[int, str], list[int]]] = {}
    for line in lines:
        if line["what"] == "acted" and line["accepted"]:
            ends_at = int(line["asked"] if "asked" in line else line["at"])
            period = terms.setdefault(line["duty"], {}).setdefault(
                (line["fence"], line["holder"]), [line["at"], ends_at]
            )
            period[1] = max(period[1], ends_at)
    violations = []
    for duty, holder_terms in sorted(terms.items()):
        ordered = sorted(
            (start, end, fence, holder)
            for (fence, holder), (start, end) in holder_terms.items()
            if start <= end
        )
        if not ordered:
            continue
        latest = ordered[0]
        for term in ordered[1:]:
            if term[3] != latest[3] and (term[0] <= latest[1] or term[2] == latest[2]):
                violations.append(
                    f"{duty}: {latest[3]} (number {latest[2]}) until {latest[1] / 1e6:.3f} s, and "
                    f"{term[3]} (number {term[2]}) from {term[0] / 1e6:.3f} s"
                )
            latest = max(latest, term, key=lambda candidate: candidate[1])
    return violations
