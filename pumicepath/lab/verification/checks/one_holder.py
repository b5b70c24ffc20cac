"""Mutual exclusion of duties, as those saw it that were acted on."""

from __future__ import annotations

from collections.abc import Sequence

from ..history import Line

PROPERTY = (
    "Between the first and the last act that was accepted of a holder in one term, no other holder's "
    "act for the same duty is accepted; a number belongs to one holder."
)


def check(lines: Sequence[Line]) -> list[str]:
    """Lines `acted` have duty, holder, fence and whether it was accepted.

    Where a holder was asked whether it might act, and said so, they have `asked`, too: it was so at some
    moment from then until `at`.  Such a term is sure from its first answer to its last question, if ever.
    """
    terms: dict[str, dict[tuple[int, str], list[int]]] = {}
    for line in lines:
        if line["what"] == "acted" and line["accepted"]:
            until = int(line["asked"] if "asked" in line else line["at"])
            span = terms.setdefault(line["duty"], {}).setdefault(
                (line["fence"], line["holder"]), [line["at"], until]
            )
            span[1] = max(span[1], until)
    found = []
    for duty, spans in sorted(terms.items()):
        ordered = sorted(
            (since, end, fence, holder) for (fence, holder), (since, end) in spans.items() if since <= end
        )
        if not ordered:
            continue
        latest = ordered[0]
        for each in ordered[1:]:
            if each[3] != latest[3] and (each[0] <= latest[1] or each[2] == latest[2]):
                found.append(
                    f"{duty}: {latest[3]} (number {latest[2]}) until {latest[1] / 1e6:.3f} s, and "
                    f"{each[3]} (number {each[2]}) from {each[0] / 1e6:.3f} s"
                )
            latest = max(latest, each, key=lambda one: one[1])
    return found
