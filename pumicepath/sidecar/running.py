"""Start, signals and shutdown of one sidecar."""

from __future__ import annotations

import ctypes
import gc
import os
import signal
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from time import monotonic, sleep
from typing import TYPE_CHECKING, Any

from .. import compiled, invariants
from ..discovery.roster import Address, BadList, Roster, Update, stable
from ..discovery.watch import Watch
from ..interface import Listing
from ..logic import Chance
from . import clock
from . import config as settings
from .clients import Clients
from .config import BadConfig, Config
from .dispatch import Dispatcher
from .log import Log
from .operators import Operators
from .servers import start_thread
from .succession import Inherited, Succession, reach
from .watching import Watcher

if TYPE_CHECKING:
    from ..distribution.homes import Homes
    from ..fleet.settings import PeerSettings
    from .peers import Peers

STACK = 128 * 1024
# Of the C library's allocator (malloc.h): one heap for all threads, and no mapping for each large body.
ONE_HEAP = {"M_ARENA_MAX": (-8, 1), "M_MMAP_THRESHOLD": (-3, 32 << 20), "M_TRIM_THRESHOLD": (-1, 32 << 20)}
SWITCH = 0.02
COMING = 0.5  # how long new connections may still come after SIGTERM, with room to spare
FIXED = ("name", "listen", "limits", "admin", "peers")  # keys of the file that are read at the start only
FIRST_S = 2.0  # that clients wait in the queue for a first list, where all that is listed counts
ANSWERED = 400_000  # past the longest patience, when whatever came late is answered
LAST = 0.6  # past the longest patience, when to end whatever is left, 0.1 s before the kill


def serve(config: Config, path: str) -> None:
    """Run until SIGTERM or SIGINT, then until nothing is owed; never comes back."""
    signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    threading.stack_size(STACK)
    keep_one_heap()
    # Every thread that waits for the interpreter wakes up so often to ask for it: with hundreds of them a
    # short time takes the whole core, and none is needed, as all of them soon wait for a socket.
    sys.setswitchinterval(SWITCH)
    log = Log(config.name)
    roster = Roster(config.zones, clock.from_unix_ms, config.kinds)
    config = localised(config, roster)
    before = reach(config.listen) if config.admin else None
    known, told = first_list(roster, config, before)
    homes = following(config)
    watch = Watch(
        roster,
        homes.at if homes else f"{config.discovery.host}:{config.discovery.port}",
        -1 if homes or "regions" in told else known.version,
        2 * config.settings.ask_every,
        Chance(config.seed).share,
        config.services,
    )
    watch.inherit(told)
    watcher = Watcher(watch, config.discovery, config.pushed, homes)
    dispatcher = Dispatcher(config, log, watcher.follow)
    watcher.dispatcher = dispatcher
    try:
        clients = Clients(dispatcher, before.listener if before else None)
    except OSError as trouble:
        raise BadConfig(f"cannot listen on {named(config.listen)}: {trouble.strerror}") from trouble
    # By the port that it has, which the file need not name: who comes after may only know that one.
    serving = config.listen._replace(port=clients.listener.getsockname()[1])
    succession = Succession(dispatcher, clients, watch.known, serving)
    peers = speaking(config, log, before is not None)
    try:
        operators = Operators(config.admin, dispatcher, clients, succession, peers) if config.admin else None
    except OSError as trouble:
        raise BadConfig(f"cannot listen on {named(config.admin)}: {trouble.strerror}") from trouble
    start_thread(log.run)
    start_thread(dispatcher.run_timers)
    start_thread(watcher.run)
    if peers is not None:
        peers.on_put_off = dispatcher.postpone_trial
        if trying(config.peers):
            dispatcher.set_peer_trials(peers.companions)
        start_thread(peers.run)
    if before is not None:
        dispatcher.inherit_operator_state(before.by_hand, before.returned)
        dispatcher.out_of_service = before.emptied
    dispatcher.update_servers(Listing.CACHED, known)
    if config.pushed:
        watcher.follow()
        # Guards servers that drain: what discovery has counts as told from here on; the file's list is old.
        watcher.asked.wait(FIRST_S)
    dispatcher.run_locked(dispatcher.pool.woke)
    dispatcher.run_locked(clients.woke)
    dispatcher.run_locked(dispatcher.delay_monitor.woke)
    dispatcher.run_locked(Watchman(dispatcher, clients).woke)
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000)  # what ends with a submission is freed with it; little is left to collect
    host, port = clients.listener.getsockname()[:2]
    if operators is not None:
        succession.offer()  # before it says that it has started: who waited for that may replace it at once
    log.event(
        "started",
        listen=f"{host}:{port}",
        operators=operators.where if operators else "",
        servers=len(known.entries),
        from_clients=config.from_clients,
        to_servers=config.to_servers,
        checks="asserted" if __debug__ else "counted",
        form=compiled.FORM,
        **({"peers": peers.listens} if peers is not None else {}),
        **({"relays": len(config.relays)} if config.relays else {}),
    )
    start_thread(clients.run)
    if operators is not None:
        if before is not None:
            succession.follow(before.line)
        start_thread(operators.run)
    while signal.sigwait(signals) == signal.SIGHUP:
        config = reload(config, path, dispatcher, watcher, log, peers)
    drain(dispatcher, clients, log, peers)


def speaking(config: Config, log: Log, waits: bool) -> Peers | None:
    """The part that speaks with other sidecars; not even imported where the file has no peers."""
    if config.peers is None:
        return None
    from .peers import Peers

    zone = config.zones[config.settings.zone] if config.zones else ""
    try:
        return Peers(config.peers, config.name, zone, log, waits)
    except OSError as trouble:
        where = config.peers.listen
        raise BadConfig(f"peers.listen: cannot listen on {where}: {trouble.strerror}") from trouble


def first_list(roster: Roster, config: Config, before: Inherited | None) -> tuple[Update, Any]:
    """What the process before this one was told last, or what the file knows; read, and as it came."""
    if before is not None:
        with suppress(BadList):
            return roster.read(before.known), before.known
    return roster.read(config.known), config.known


def following(config: Config) -> Homes | None:
    """The relays in this sidecar's order; what decides on them is not even imported where there are none."""
    if not config.relays:
        return None
    from ..distribution.homes import Homes

    # Not by the seed alone: guards relays against sidecars that share one, and would wait alike.
    return Homes(config.name, config.relays, Chance(config.seed ^ stable(config.name)).share)


def named(where: Address | None) -> str:
    return f"{where.host}:{where.port}" if where else ""


def keep_one_heap() -> None:
    """Guards the memory limit: with a heap for each few threads, each keeps what its largest bodies took."""
    with suppress(OSError, AttributeError):  # another C library has other ways
        mallopt = ctypes.CDLL(None).mallopt
        for option, value in ONE_HEAP.values():
            mallopt(option, value)


def reload(
    config: Config, path: str, dispatcher: Dispatcher, watcher: Watcher, log: Log, peers: Peers | None
) -> Config:
    """Read the file again and go by it, whole or not at all; what is fixed while it runs is named."""
    try:
        new = settings.follow(path, config)
    except BadConfig as trouble:
        dispatcher.config_failures += 1
        log.event("reload_failed", text=str(trouble))
        return config
    waiting = [key for key in FIXED if fixed(new, key) != fixed(config, key)]
    new = replace(
        new,
        name=config.name,
        listen=config.listen,
        admin=config.admin,
        seed=config.seed,
        connections=config.connections,
        peers=lasting(config.peers, new.peers),
    )
    if peers is not None and new.peers is not None and new.peers != config.peers:
        peers.adopt(new.peers.voting)
        dispatcher.set_peer_trials(peers.companions if trying(new.peers) else None)
    before, after = config.settings, localised(new, watcher.watch.roster).settings
    changed = after != before or (new.zones, new.idle, new.dial) != (config.zones, config.idle, config.dial)
    if changed:
        dispatcher.apply_config(replace(new, settings=after))
    wait = 2 * min(before.ask_every, after.ask_every)
    if (new.relays, new.services) != (config.relays, config.services):
        homes = watcher.homes if new.relays == config.relays else following(new)
        watcher.move(new.discovery, wait, new.pushed, homes, new.services)
    elif new.relays:
        # Waits at relays are short: guards them against all sidecars' asking for all when they are reloaded.
        watcher.watch.waits(wait)
    elif changed or new.discovery != config.discovery:
        # Before long the old waits, and what the old discovery told, count for nothing.
        watcher.move(new.discovery, wait, new.pushed)
    dispatcher.config_loads += 1
    log.event(
        "reloaded",
        discovery=f"{new.discovery.host}:{new.discovery.port}",
        settings=changed,
        tariffs=list(new.tariffs),
        without_effect=list(new.idle_keys),
        needs_restart=waiting,
        **({"relays": list(new.relays), "services": list(new.services or ())} if new.relays else {}),
    )
    return replace(new, settings=after)


def fixed(config: Config, key: str) -> object:
    if key == "peers":
        return config.peers.lasting() if config.peers is not None else None
    return config.connections if key == "limits" else getattr(config, key)


def lasting(before: PeerSettings | None, after: PeerSettings | None) -> PeerSettings | None:
    """What holds of peers once the file has been read again: its words on duties, all else as it was."""
    if before is None or after is None:
        return before
    return replace(before, voting=after.voting)


def trying(peers: PeerSettings | None) -> bool:
    return peers is not None and peers.voting is not None and peers.voting.trials


def localised(config: Config, roster: Roster) -> Config:
    """With zones and kinds by the numbers that the roster has for them."""
    settings, zone = config.settings, config.settings.zone
    if config.zones:
        zone = roster.zone(config.zones[zone])
    tariffs = tuple(
        replace(
            one,
            zones=numbered(one.zones, config.zones, roster.zone),
            kinds=numbered(one.kinds, config.kinds, roster.kind),
        )
        for one in settings.tariffs
    )
    return replace(config, settings=replace(settings, zone=zone, tariffs=tariffs))


def numbered(
    places: tuple[int, ...] | None, names: tuple[str, ...], number: Callable[[str], int]
) -> tuple[int, ...] | None:
    """Places that the file has by their order; one without a name there is none of the list's."""
    if places is None:
        return None
    return tuple(sorted(number(names[at]) if 0 <= at < len(names) else -2 for at in places))


class Watchman:
    """Tells the log what is counted: broken invariants, and what clients sent that is no submission."""

    def __init__(self, dispatcher: Dispatcher, clients: Clients) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.told = 0

    def woke(self, now: int) -> None:
        self.dispatcher.metrics.sum()
        count = sum(invariants.broken.values())
        if count > self.told:
            self.told = count
            self.dispatcher.events.event("invariant_broken", counts=dict(invariants.broken))
        spoilt = self.dispatcher.pool.bad_answers
        for event, counts in (("bad_requests", self.clients.bad_requests), ("bad_answers", spoilt)):
            if counts:
                self.dispatcher.events.event(event, counts=dict(counts))
                counts.clear()
        self.dispatcher.wake(now + 1_000_000, self)


def drain(dispatcher: Dispatcher, clients: Clients, log: Log, peers: Peers | None) -> None:
    """Go on accepting and answering, close connections between requests, and end once nothing is owed."""
    began = monotonic()
    dispatcher.draining = True
    patience = dispatcher.max_deadline / 1e6
    dispatcher.shutdown_at = clock.now() + dispatcher.max_deadline + ANSWERED
    if peers is not None:
        peers.end()
    log.event("draining", clients=len(clients.open), out=len(dispatcher.exchanges))
    while monotonic() - began < COMING:
        sleep(0.01)
    clients.stop_accepting()
    while monotonic() - began < patience + LAST:
        emptied = clients.drain_backlog()
        clients.close_idle()
        if emptied and not clients.open:
            break
        sleep(0.01)
    if peers is not None:
        peers.leave()  # not before: until now it has sent hops, and counts among those who do
    log.event(
        "stopped",
        after_s=round(monotonic() - began, 3),
        clients=len(clients.open),
        taken=dispatcher.admitted,
        broken=invariants.broken,
    )
    log.flush()
    os._exit(0)  # the threads left hold nothing that anyone waits for
