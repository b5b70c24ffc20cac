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
from ..balancer import SeededRandom
from ..discovery.server_list import Address, BadList, ServerList, ServerListUpdate, stable_id
from ..discovery.watch import Watch
from ..interface import ListKind
from . import clock
from . import config as settings
from .admin_server import AdminServer
from .clients import Clients
from .config import Config, ConfigError
from .dispatch import Dispatcher
from .hot_restart import Handover, HotRestart, request_handover
from .log import Log
from .servers import start_thread
from .watching import Watcher

if TYPE_CHECKING:
    from ..distribution.relay_selector import RelaySelector
    from ..fleet.settings import PeerSettings
    from .peers import Peers

THREAD_STACK_BYTES = 128 * 1024
# Of the C library's allocator (malloc.h): one heap for all threads, and no mapping for each large body.
MALLOC_OPTIONS = {
    "M_ARENA_MAX": (-8, 1),
    "M_MMAP_THRESHOLD": (-3, 32 << 20),
    "M_TRIM_THRESHOLD": (-1, 32 << 20),
}
SWITCH_INTERVAL_S = 0.02
ACCEPT_AFTER_SIGTERM_S = 0.5  # how long new connections may still come after SIGTERM, with room to spare
RESTART_ONLY_KEYS = (
    "name",
    "listen",
    "limits",
    "admin",
    "peers",
)  # keys of the file that are read at the start only
FIRST_LIST_TIMEOUT_S = 2.0  # that clients wait in the queue for a first list, where all that is listed counts
LATE_ANSWER_GRACE_US = 400_000  # past the longest patience, when whatever came late is answered
SHUTDOWN_GRACE_S = 0.6  # past the longest patience, when to end whatever is left, 0.1 s before the kill


def serve(config: Config, path: str) -> None:
    """Run until SIGTERM or SIGINT, then until nothing is owed; never comes back."""
    signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    threading.stack_size(THREAD_STACK_BYTES)
    limit_malloc_arenas()
    # Every thread that waits for the interpreter wakes up so often to ask for it: with hundreds of them a
    # short time takes the whole core, and none is needed, as all of them soon wait for a socket.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    log = Log(config.name)
    roster = ServerList(config.zones, clock.from_unix_ms, config.kinds)
    config = with_list_numbers(config, roster)
    before = request_handover(config.listen) if config.admin else None
    known, told = initial_list(roster, config, before)
    homes = create_relay_selector(config)
    watch = Watch(
        roster,
        homes.current if homes else f"{config.discovery.host}:{config.discovery.port}",
        -1 if homes or "regions" in told else known.version,
        2 * config.settings.poll_interval,
        SeededRandom(config.seed).next_float,
        config.services,
    )
    watch.import_state(told)
    watcher = Watcher(watch, config.discovery, config.pushed, homes)
    dispatcher = Dispatcher(config, log, watcher.request_list)
    watcher.dispatcher = dispatcher
    try:
        clients = Clients(dispatcher, before.listener if before else None)
    except OSError as trouble:
        raise ConfigError(
            f"cannot listen on {format_address(config.listen)}: {trouble.strerror}"
        ) from trouble
    # By the port that it has, which the file need not name: who comes after may only know that one.
    serving = config.listen._replace(port=clients.listener.getsockname()[1])
    succession = HotRestart(dispatcher, clients, watch.export_state, serving)
    peers = create_peers(config, log, before is not None)
    try:
        operators = (
            AdminServer(config.admin, dispatcher, clients, succession, peers) if config.admin else None
        )
    except OSError as trouble:
        raise ConfigError(f"cannot listen on {format_address(config.admin)}: {trouble.strerror}") from trouble
    start_thread(log.run)
    start_thread(dispatcher.run_timers)
    start_thread(watcher.run)
    if peers is not None:
        peers.on_trial_postponed = dispatcher.postpone_trial
        if shares_trials(config.peers):
            dispatcher.set_peer_trials(peers.shared_trials)
        start_thread(peers.run)
    if before is not None:
        dispatcher.inherit_operator_state(before.out_of_service, before.back_in_service)
        dispatcher.out_of_service = before.drained_by_operator
    dispatcher.update_servers(ListKind.CACHED, known)
    if config.pushed:
        watcher.request_list()
        # Guards servers that drain: what discovery has counts as told from here on; the file's list is old.
        watcher.first_call_done.wait(FIRST_LIST_TIMEOUT_S)
    dispatcher.run_locked(dispatcher.pool.on_timer)
    dispatcher.run_locked(clients.on_timer)
    dispatcher.run_locked(dispatcher.delay_monitor.on_timer)
    dispatcher.run_locked(ProblemReporter(dispatcher, clients).on_timer)
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000)  # what ends with a submission is freed with it; little is left to collect
    host, port = clients.listener.getsockname()[:2]
    if operators is not None:
        succession.open_socket()  # before it says that it has started: who waited for that may replace it at once
    log.event(
        "started",
        listen=f"{host}:{port}",
        operators=operators.where if operators else "",
        servers=len(known.entries),
        from_clients=config.max_client_connections,
        to_servers=config.max_server_connections,
        checks="asserted" if __debug__ else "counted",
        form=compiled.FORM,
        **({"peers": peers.listen_address} if peers is not None else {}),
        **({"relays": len(config.relays)} if config.relays else {}),
    )
    start_thread(clients.run)
    if operators is not None:
        if before is not None:
            succession.take_over(before.channel)
        start_thread(operators.run)
    while signal.sigwait(signals) == signal.SIGHUP:
        config = reload(config, path, dispatcher, watcher, log, peers)
    drain(dispatcher, clients, log, peers)


def create_peers(config: Config, log: Log, retry_bind: bool) -> Peers | None:
    """The part that speaks with other sidecars; not even imported where the file has no peers."""
    if config.peers is None:
        return None
    from .peers import Peers

    zone = config.zones[config.settings.zone] if config.zones else ""
    try:
        return Peers(config.peers, config.name, zone, log, retry_bind)
    except OSError as trouble:
        where = config.peers.listen
        raise ConfigError(f"peers.listen: cannot listen on {where}: {trouble.strerror}") from trouble


def initial_list(roster: ServerList, config: Config, before: Handover | None) -> tuple[ServerListUpdate, Any]:
    """What the process before this one was told last, or what the file knows; read, and as it came."""
    if before is not None:
        with suppress(BadList):
            return roster.apply(before.known_list), before.known_list
    return roster.apply(config.known_list), config.known_list


def create_relay_selector(config: Config) -> RelaySelector | None:
    """The relays in this sidecar's order; what decides on them is not even imported where there are none."""
    if not config.relays:
        return None
    from ..distribution.relay_selector import RelaySelector

    # Not by the seed alone: guards relays against sidecars that share one, and would wait alike.
    return RelaySelector(
        config.name, config.relays, SeededRandom(config.seed ^ stable_id(config.name)).next_float
    )


def format_address(where: Address | None) -> str:
    return f"{where.host}:{where.port}" if where else ""


def limit_malloc_arenas() -> None:
    """Guards the memory limit: with a heap for each few threads, each keeps what its largest bodies took."""
    with suppress(OSError, AttributeError):  # another C library has other ways
        mallopt = ctypes.CDLL(None).mallopt
        for option, value in MALLOC_OPTIONS.values():
            mallopt(option, value)


def reload(
    config: Config, path: str, dispatcher: Dispatcher, watcher: Watcher, log: Log, peers: Peers | None
) -> Config:
    """Read the file again and go by it, whole or not at all; what is fixed while it runs is named."""
    try:
        new = settings.read_replacement(path, config)
    except ConfigError as trouble:
        dispatcher.config_failures += 1
        log.event("reload_failed", text=str(trouble))
        return config
    waiting = [
        key for key in RESTART_ONLY_KEYS if restart_only_value(new, key) != restart_only_value(config, key)
    ]
    new = replace(
        new,
        name=config.name,
        listen=config.listen,
        admin=config.admin,
        seed=config.seed,
        connections=config.max_connections,
        peers=merge_peer_settings(config.peers, new.peers),
    )
    if peers is not None and new.peers is not None and new.peers != config.peers:
        peers.apply_voting(new.peers.voting)
        dispatcher.set_peer_trials(peers.shared_trials if shares_trials(new.peers) else None)
    before, after = config.settings, with_list_numbers(new, watcher.watch.server_list).settings
    changed = after != before or (new.zones, new.idle_timeout_us, new.connect_timeout_us) != (
        config.zones,
        config.idle_timeout_us,
        config.connect_timeout_us,
    )
    if changed:
        dispatcher.apply_config(replace(new, settings=after))
    wait = 2 * min(before.poll_interval, after.poll_interval)
    if (new.relays, new.services) != (config.relays, config.services):
        homes = watcher.homes if new.relays == config.relays else create_relay_selector(new)
        watcher.move(new.discovery, wait, new.pushed, homes, new.services)
    elif new.relays:
        # Waits at relays are short: guards them against all sidecars' asking for all when they are reloaded.
        watcher.watch.set_max_wait(wait)
    elif changed or new.discovery != config.discovery:
        # Before long the old waits, and what the old discovery told, count for nothing.
        watcher.move(new.discovery, wait, new.pushed)
    dispatcher.config_loads += 1
    log.event(
        "reloaded",
        discovery=f"{new.discovery.host}:{new.discovery.port}",
        settings=changed,
        tariffs=list(new.request_classes),
        without_effect=list(new.keys_without_effect),
        needs_restart=waiting,
        **({"relays": list(new.relays), "services": list(new.services or ())} if new.relays else {}),
    )
    return replace(new, settings=after)


def restart_only_value(config: Config, key: str) -> object:
    if key == "peers":
        return config.peers.without_voting() if config.peers is not None else None
    return config.max_connections if key == "limits" else getattr(config, key)


def merge_peer_settings(before: PeerSettings | None, after: PeerSettings | None) -> PeerSettings | None:
    """What holds of peers once the file has been read again: its words on duties, all else as it was."""
    if before is None or after is None:
        return before
    return replace(before, voting=after.voting)


def shares_trials(peers: PeerSettings | None) -> bool:
    return peers is not None and peers.voting is not None and peers.voting.shared_trials


def with_list_numbers(config: Config, roster: ServerList) -> Config:
    """With zones and kinds by the numbers that the roster has for them."""
    settings, zone = config.settings, config.settings.zone
    if config.zones:
        zone = roster.zone_number(config.zones[zone])
    tariffs = tuple(
        replace(
            one,
            zones=list_numbers(one.zones, config.zones, roster.zone_number),
            kinds=list_numbers(one.kinds, config.kinds, roster.kind_number),
        )
        for one in settings.request_classes
    )
    return replace(config, settings=replace(settings, zone=zone, tariffs=tariffs))


def list_numbers(
    places: tuple[int, ...] | None, names: tuple[str, ...], number: Callable[[str], int]
) -> tuple[int, ...] | None:
    """Places that the file has by their order; one without a name there is none of the list's."""
    if places is None:
        return None
    return tuple(sorted(number(names[at]) if 0 <= at < len(names) else -2 for at in places))


class ProblemReporter:
    """Tells the log what is counted: broken invariants, and what clients sent that is no submission."""

    def __init__(self, dispatcher: Dispatcher, clients: Clients) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.reported = 0

    def on_timer(self, now: int) -> None:
        self.dispatcher.metrics.apply_pending()
        count = sum(invariants.violation_counts.values())
        if count > self.reported:
            self.reported = count
            self.dispatcher.events.event("invariant_broken", counts=dict(invariants.violation_counts))
        spoilt = self.dispatcher.pool.bad_answers
        for event, counts in (("bad_requests", self.clients.bad_requests), ("bad_answers", spoilt)):
            if counts:
                self.dispatcher.events.event(event, counts=dict(counts))
                counts.clear()
        self.dispatcher.set_timer(now + 1_000_000, self)


def drain(dispatcher: Dispatcher, clients: Clients, log: Log, peers: Peers | None) -> None:
    """Go on accepting and answering, close connections between requests, and end once nothing is owed."""
    began = monotonic()
    dispatcher.draining = True
    patience = dispatcher.max_deadline / 1e6
    dispatcher.shutdown_at = clock.now() + dispatcher.max_deadline + LATE_ANSWER_GRACE_US
    if peers is not None:
        peers.release_duties()
    log.event("draining", clients=len(clients.open), out=len(dispatcher.exchanges))
    while monotonic() - began < ACCEPT_AFTER_SIGTERM_S:
        sleep(0.01)
    clients.stop_accepting()
    while monotonic() - began < patience + SHUTDOWN_GRACE_S:
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
        broken=invariants.violation_counts,
    )
    log.flush()
    os._exit(0)  # the threads left hold nothing that anyone waits for
