"""What one process has learnt that the next one may go on with: `remembered` gives it, `remember` takes it.

The value is plain (numbers, lists, names), has a version, and tells all times as ages in microseconds, since
processes differ in their clocks.  Each item is believed for as long as `BELIEVED` says, counted from when it
was seen.  What can't be read, or does not fit what is listed now, is left out item by item, and a whole that
can't be read is none at all: who remembers nothing begins as one that never ran.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

from .logic import CLOSED, LONGEST_COOLDOWN, OPEN, RECENT, RESTS, Balancer

VERSION = 1
SECOND = 1_000_000
# How long after it was seen an item counts, in microseconds; the page on returning says what would go wrong.
BELIEVED = {
    "breaker": 2 * LONGEST_COOLDOWN,    # longer, and the server has been refused for nothing
    "lag": 10 * SECOND,                 # a server's slowness: it fades as it does while one runs
    "limit": 5 * SECOND,                # a jam that is over would turn work away
    "usual": 600 * SECOND,              # how long work takes changes with releases
    "keys": 60 * SECOND,                # which keys are popular
    "rests": 600 * SECOND,              # what drops resting connections stays for long
    "pace": 10 * SECOND,                # how often submissions come
}
SAME_START = SECOND // 2                # two tellings of one start of a server differ by less


def remembered(balancer: Balancer, now: int, tariffs: Sequence[str]) -> dict[str, Any]:
    """All of it, under the lock: some hundred numbers for each server, and the recent keys."""
    window = balancer.settings.fall_window
    servers = []
    for server, at in balancer.index.items():
        state = balancer.state[at]
        servers.append({
            "server": f"{server:x}",
            "started": now - balancer.told_up[at] if balancer.told_up[at] else -1,
            # A trial that is out stays the old process's: the new one waits as for a trial without verdict.
            "open": state != CLOSED, "since": now - balancer.since[at], "cooldown": balancer.cooldown[at],
            "ill": balancer.ill[at], "queued": balancer.queued[at], "late": balancer.late[at],
            "lag": balancer.lag[at], "lag_at": now - balancer.lag_at[at] if balancer.lag_at[at] else -1,
            "tokens": balancer.tokens[at],
            "sent_cold": [now - then for then in balancer.sent_cold[at] if then > now - window]})
    return {
        "version": VERSION, "servers": servers,
        "tariffs": {name: [terms.agreed, terms.usual, terms.calm, terms.samples]
                    for name, terms in zip(tariffs, balancer.terms)},
        "limit": {"room": None if balancer.room == math.inf else balancer.room, "tardy": balancer.tardy,
                  "calm_room": None if balancer.calm_room == math.inf else balancer.calm_room,
                  "full": balancer.full, "full_at": now - balancer.full_at, "shrunk": now - balancer.shrunk},
        "pace": {"gap": balancer.gap, "taken": balancer.taken, "taken_at": now - balancer.taken_at,
                 "retries": balancer.retries_left, "turn": balancer.turn},
        "keys": list(balancer.recent),
        "rests": {"used": list(balancer.rests.used), "lost": list(balancer.rests.lost),
                  "at": now - balancer.rests.at}}


def remember(balancer: Balancer, now: int, told: Any, tariffs: Sequence[str], age: int = 0) -> list[str]:
    """Go on with what another process has learnt `age` microseconds ago; gives what was left out, by name.

    To be called once, under the lock, after the first list and before the first submission.
    """
    if not isinstance(told, dict) or told.get("version") != VERSION or age < 0:
        return ["all"]
    parts: list[tuple[str, Callable[[], None]]] = [
        ("tariffs", lambda: of_tariffs(balancer, told["tariffs"], tariffs, age)),
        ("limit", lambda: of_limit(balancer, now, told["limit"], age)),
        ("pace", lambda: of_pace(balancer, now, told["pace"], age)),
        ("keys", lambda: of_keys(balancer, told["keys"], age)),
        ("rests", lambda: of_rests(balancer, now, told["rests"], age))]
    for one in told.get("servers", ()) if isinstance(told.get("servers"), list) else ():
        parts.append(("server", lambda one=one: of_server(balancer, now, one, age)))  # type: ignore[misc]
    left_out = []
    for name, part in parts:
        try:
            part()
        except (KeyError, TypeError, ValueError, IndexError, AttributeError, ArithmeticError):
            left_out.append(name)
    return left_out


def number(value: Any, least: float, most: float) -> float:
    """Raises ValueError for what is no number within these bounds."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
        raise ValueError
    return float(value)


def since(value: Any, age: int) -> int:
    """How long ago something was, now."""
    return int(number(value, 0, 1e15)) + age


def of_server(balancer: Balancer, now: int, told: dict[str, Any], age: int) -> None:
    at = balancer.index[int(told["server"], 16)]
    started = int(number(told["started"], -1, 1e15))
    here = now - balancer.told_up[at] if balancer.told_up[at] else -1
    if (started < 0) != (here < 0) or started >= 0 and abs(started + age - here) > SAME_START:
        raise ValueError        # another process of it: guards that against the verdicts on the one before
    cooldown = int(number(told["cooldown"], 0, 2 * LONGEST_COOLDOWN))
    ill, queued = number(told["ill"], 0, 1), number(told["queued"], 0, 1)
    lag, tokens = number(told["lag"], 0, 100), number(told["tokens"], -1e9, 1)
    open_for = since(told["since"], age)
    sent = sorted(since(each, age) for each in told["sent_cold"])
    lag_ago = -1 if told["lag_at"] == -1 else since(told["lag_at"], age)
    if told["open"] is True and open_for <= BELIEVED["breaker"]:
        balancer.state[at], balancer.since[at] = OPEN, now - open_for
        balancer.generation[at] += 1
    balancer.cooldown[at], balancer.ill[at], balancer.queued[at] = cooldown, ill, queued
    if 0 <= lag_ago <= BELIEVED["lag"]:
        balancer.lag[at], balancer.lag_at[at], balancer.late[at] = lag, now - lag_ago, told["late"] is True
    # Guards a cold server: what the old process sent within the window is spent of its part.
    balancer.tokens[at] = min(tokens, balancer.tokens[at])
    balancer.tokens_at[at] = now
    balancer.sent_cold[at].extend(now - each for each in reversed(sent)
                                  if each < balancer.settings.fall_window)


def of_tariffs(balancer: Balancer, told: dict[str, Any], tariffs: Sequence[str], age: int) -> None:
    if age > BELIEVED["usual"]:
        return
    for name, terms in zip(tariffs, balancer.terms):
        if name in told:
            agreed, usual, calm, samples = told[name]
            if agreed == terms.agreed:
                usual, calm = number(usual, 1, 1e12), number(calm, 1, 1e12)
                terms.samples = int(number(samples, 0, 1e12))
                terms.usual, terms.calm = usual, calm


def of_limit(balancer: Balancer, now: int, told: dict[str, Any], age: int) -> None:
    if age > BELIEVED["limit"]:
        return
    room = math.inf if told["room"] is None else number(told["room"], 0, 1e9)
    calm = math.inf if told["calm_room"] is None else number(told["calm_room"], 0, 1e9)
    tardy, full = number(told["tardy"], 0, 1), number(told["full"], 0, 1)
    shrunk, full_at = since(told["shrunk"], age), since(told["full_at"], age)
    balancer.room, balancer.calm_room, balancer.tardy, balancer.full = room, calm, tardy, full
    balancer.shrunk, balancer.full_at = now - shrunk, now - full_at


def of_pace(balancer: Balancer, now: int, told: dict[str, Any], age: int) -> None:
    gap, taken = number(told["gap"], 0, 1e12), int(number(told["taken"], 0, 1e15))
    retries, turn = number(told["retries"], 0, 10), number(told["turn"], 0, 1)
    ago = since(told["taken_at"], age)
    balancer.retries_left = min(balancer.retries_left, retries)
    balancer.turn = turn % 1.0
    if taken and ago <= BELIEVED["pace"]:
        # The pause of the hand-over is none of the submissions'.
        balancer.gap, balancer.taken, balancer.taken_at = gap, taken, now


def of_keys(balancer: Balancer, told: list[Any], age: int) -> None:
    if not all(type(key) is int and 0 < key < 1 << 64 for key in told):
        raise ValueError
    for key in told[-RECENT:] if age <= BELIEVED["keys"] else ():
        balancer.meet(key)


def of_rests(balancer: Balancer, now: int, told: dict[str, Any], age: int) -> None:
    used = [number(each, 0, 1e9) for each in told["used"]]
    lost = [number(each, 0, 1e9) for each in told["lost"]]
    if len(used) == len(lost) == RESTS and age <= BELIEVED["rests"]:
        balancer.rests.used, balancer.rests.lost = used, lost
        balancer.rests.at = now - since(told["at"], age)
