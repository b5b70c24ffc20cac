"""Start, reload (SIGHUP) and shutdown (SIGTERM, SIGINT) of one sidecar process."""

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
from . import config as configuration
from .admin_server import AdminServer
from .clients import Clients
from .config import Config, ConfigError
from .dispatch import Dispatcher
from .first_list import FIRST_LIST_TIMEOUT_US
from .handover import Handover, create_process_name, request_handover
from .hot_restart import HotRestart
from .log import Log
from .servers import start_thread
from .startup import Startup
from .watching import Watcher

if TYPE_CHECKING:
    from ..distribution.relay_selector import RelaySelector
    from ..fleet.settings import PeerSettings
    from .peers import Peers

THREAD_STACK_BYTES = 128 * 1024
# Options of the C library's allocator (malloc.h): one arena for all threads, and no separate mapping for each
# large body.
MALLOC_OPTIONS = {
    "M_ARENA_MAX": (-8, 1),
    "M_MMAP_THRESHOLD": (-3, 32 << 20),
    "M_TRIM_THRESHOLD": (-1, 32 << 20),
}
SWITCH_INTERVAL_S = 0.02
# New connections may still arrive for a while after SIGTERM; includes a margin.
ACCEPT_AFTER_SIGTERM_S = 0.5
# Keys of the configuration file that are read only at the start.
RESTART_ONLY_KEYS = ("name", "listen", "limits", "admin", "peers")
# Past the longest deadline: requests that arrived late are answered by then.
LATE_ANSWER_GRACE_US = 400_000
# Past the longest deadline: whatever is left ends, 0.1 s before the process is killed.
SHUTDOWN_GRACE_S = 0.6


def serve(config: Config, path: str) -> None:
    """Run until SIGTERM or SIGINT, finish all submissions and end the process; never returns.

    Raises ConfigError if an address cannot be listened on.
    """
    began_at = clock.now()
    signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    threading.stack_size(THREAD_STACK_BYTES)
    limit_malloc_arenas()
    # Each thread that waits for the interpreter lock wakes up once per interval to request it.  With hundreds
    # of threads a short interval uses up a whole core, and is not needed: all of them soon wait for a socket.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    log = Log(config.name)
    server_list = ServerList(config.zones, clock.from_unix_ms, config.kinds)
    config = with_list_numbers(config, server_list)
    process_name = create_process_name()
    handover = request_handover(config.listen, process_name) if config.admin else None
    known, raw_list = initial_list(server_list, config, handover)
    relay_selector = create_relay_selector(config)
    watch = Watch(
        server_list,
        relay_selector.current if relay_selector else f"{config.discovery.host}:{config.discovery.port}",
        -1 if relay_selector or "regions" in raw_list else known.version,
        2 * config.settings.poll_interval,
        SeededRandom(config.seed).next_float,
        config.services,
    )
    watch.import_state(raw_list)
    watcher = Watcher(watch, config.discovery, config.pushed, relay_selector)
    dispatcher = Dispatcher(config, log, watcher.request_list)
    watcher.dispatcher = dispatcher
    try:
        clients = Clients(dispatcher, handover.listener if handover else None)
    except OSError as error:
        raise ConfigError(f"cannot listen on {format_address(config.listen)}: {error.strerror}") from error
    # With the actual port, which the file may leave to the kernel (port 0): a new process may know only this.
    serving = config.listen._replace(port=clients.listener.getsockname()[1])
    hot_restart = HotRestart(
        dispatcher, clients, watch.export_state, serving, process_name, watcher.adopt, lambda: watch.host
    )
    watcher.on_list_changed = hot_restart.list_changed.set
    peers = create_peers(config, log, handover is not None)
    try:
        admin_server = (
            AdminServer(config.admin, dispatcher, clients, hot_restart, peers) if config.admin else None
        )
    except OSError as error:
        raise ConfigError(f"cannot listen on {format_address(config.admin)}: {error.strerror}") from error
    start_thread(log.run)
    start_thread(dispatcher.run_timers)
    start_thread(watcher.run)
    if peers is not None:
        peers.on_trial_postponed = dispatcher.postpone_trial
        if shares_trials(config.peers):
            dispatcher.set_peer_trials(peers.shared_trials)
        start_thread(peers.run)
    if handover is not None:
        dispatcher.inherit_operator_state(handover.out_of_service, handover.back_in_service)
        dispatcher.out_of_service = handover.drained_by_operator
        hot_restart.follow(handover)
    first_list_ends_at = wait_for_list_until(began_at, handover)
    if first_list_ends_at is not None:
        watcher.first_list = dispatcher.first_list
        dispatcher.first_list.begin(began_at, first_list_ends_at)
    dispatcher.update_servers(ListKind.CACHED, known)
    if config.pushed:
        watcher.request_list()
    dispatcher.run_locked(dispatcher.pool.on_timer)
    dispatcher.run_locked(clients.on_timer)
    dispatcher.run_locked(dispatcher.delay_monitor.on_timer)
    dispatcher.run_locked(ProblemReporter(dispatcher, clients).on_timer)
    gc.collect()
    gc.freeze()
    dispatcher.measure_memory()
    # Reference counting frees what a submission used when it ends; little is left to collect.
    gc.set_threshold(10_000)
    if admin_server is not None:
        # Before `started` is logged: whoever waits for that event may start a replacement at once.
        hot_restart.open_socket()
        start_thread(admin_server.run)
    fields = started_fields(config, len(known.entries), clients, admin_server, peers)
    start_thread(Startup(dispatcher, clients, watcher, hot_restart, handover, fields).run)
    while signal.sigwait(signals) == signal.SIGHUP:
        config = reload(config, path, dispatcher, watcher, log, peers)
    drain(dispatcher, clients, log, peers)


def wait_for_list_until(began_at: int, handover: Handover | None) -> int | None:
    """Return until when a new process waits for its first list; None if it need not.

    The list of the process that it replaces is in use there, unless that one waits itself.
    """
    if handover is None:
        return began_at + FIRST_LIST_TIMEOUT_US
    return handover.list_due_at


def started_fields(
    config: Config,
    known_servers: int,
    clients: Clients,
    admin_server: AdminServer | None,
    peers: Peers | None,
) -> dict[str, Any]:
    """Return what `started` says of the configuration and of the list to start with."""
    host, port = clients.listener.getsockname()[:2]
    return {
        "listen": f"{host}:{port}",
        "operators": admin_server.address if admin_server else "",
        "servers": known_servers,
        "from_clients": config.max_client_connections,
        "to_servers": config.max_server_connections,
        "checks": "asserted" if __debug__ else "counted",
        "form": compiled.FORM,
        **({"peers": peers.listen_address} if peers is not None else {}),
        **({"relays": len(config.relays)} if config.relays else {}),
    }


def create_peers(config: Config, log: Log, retry_bind: bool) -> Peers | None:
    """Create the exchange with other sidecars; its module is not imported if the file has no peers.

    With `retry_bind` an address in use is no error, as the old process of a hot restart still holds it.
    """
    if config.peers is None:
        return None
    from .peers import Peers

    zone = config.zones[config.settings.zone] if config.zones else ""
    try:
        return Peers(config.peers, config.name, zone, log, retry_bind)
    except OSError as error:
        where = config.peers.listen
        raise ConfigError(f"peers.listen: cannot listen on {where}: {error.strerror}") from error


def initial_list(
    server_list: ServerList, config: Config, handover: Handover | None
) -> tuple[ServerListUpdate, Any]:
    """Return the list to start with, decoded and raw: the old process's last one, or the one in the file."""
    if handover is not None:
        with suppress(BadList):
            return server_list.apply(handover.known_list), handover.known_list
    return server_list.apply(config.known_list), config.known_list


def create_relay_selector(config: Config) -> RelaySelector | None:
    """Create the choice among the relays, in this sidecar's order; not even imported without relays."""
    if not config.relays:
        return None
    from ..distribution.relay_selector import RelaySelector

    # Not seeded by the configured seed alone: sidecars that share one would all wait equally long and reach
    # the relays at the same moments.
    return RelaySelector(
        config.name, config.relays, SeededRandom(config.seed ^ stable_id(config.name)).next_float
    )


def format_address(address: Address | None) -> str:
    """Format an address as host:port, or as an empty string if there is none."""
    return f"{address.host}:{address.port}" if address else ""


def limit_malloc_arenas() -> None:
    """Have all threads allocate from one arena.

    With an arena for every few threads each would keep the memory of its largest bodies, past the memory
    limit.
    """
    with suppress(OSError, AttributeError):  # C libraries other than glibc lack mallopt
        mallopt = ctypes.CDLL(None).mallopt
        for option, value in MALLOC_OPTIONS.values():
            mallopt(option, value)


def reload(
    config: Config, path: str, dispatcher: Dispatcher, watcher: Watcher, log: Log, peers: Peers | None
) -> Config:
    """Read the file again and apply it as a whole or, if it is invalid, not at all; return what is in force.

    Changed keys that need a restart keep their value and are named in the `reloaded` event.
    """
    try:
        new = configuration.read_replacement(path, config)
    except ConfigError as error:
        dispatcher.config_failures += 1
        log.event("reload_failed", text=str(error))
        return config
    needs_restart = [
        key for key in RESTART_ONLY_KEYS if restart_only_value(new, key) != restart_only_value(config, key)
    ]
    new = replace(
        new,
        name=config.name,
        listen=config.listen,
        admin=config.admin,
        seed=config.seed,
        max_connections=config.max_connections,
        usable_memory=config.usable_memory,
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
    wait_us = 2 * min(before.poll_interval, after.poll_interval)
    if (new.relays, new.services) != (config.relays, config.services):
        relay_selector = watcher.relay_selector if new.relays == config.relays else create_relay_selector(new)
        watcher.move(new.discovery, wait_us, new.pushed, relay_selector, new.services)
    elif new.relays:
        # The call in progress goes on, as waits at relays are short.  If it were broken off, all sidecars
        # that are reloaded together would request the whole list from the relays.
        watcher.watch.set_max_wait(wait_us)
    elif changed or new.discovery != config.discovery:
        # The old wait, and what the old discovery reported, will soon no longer be valid.
        watcher.move(new.discovery, wait_us, new.pushed)
    dispatcher.config_loads += 1
    log.event(
        "reloaded",
        discovery=f"{new.discovery.host}:{new.discovery.port}",
        settings=changed,
        tariffs=list(new.request_classes),
        without_effect=list(new.keys_without_effect),
        needs_restart=needs_restart,
        **({"relays": list(new.relays), "services": list(new.services or ())} if new.relays else {}),
    )
    return replace(new, settings=after)


def restart_only_value(config: Config, key: str) -> object:
    """Return the part of the configuration that belongs to one of `RESTART_ONLY_KEYS`."""
    if key == "peers":
        return config.peers.without_voting() if config.peers is not None else None
    return config.max_connections if key == "limits" else getattr(config, key)


def merge_peer_settings(before: PeerSettings | None, after: PeerSettings | None) -> PeerSettings | None:
    """Return the peer settings in force after a reload: the new ones on voting, all others as before."""
    if before is None or after is None:
        return before
    return replace(before, voting=after.voting)


def shares_trials(peers: PeerSettings | None) -> bool:
    """Whether the sidecars of a zone coordinate the breakers' trials."""
    return peers is not None and peers.voting is not None and peers.voting.shared_trials


def with_list_numbers(config: Config, server_list: ServerList) -> Config:
    """Return the configuration with zones and kinds by the numbers that the server list has for them."""
    settings, zone = config.settings, config.settings.zone
    if config.zones:
        zone = server_list.zone_number(config.zones[zone])
    request_classes = tuple(
        replace(
            request_class,
            zones=list_numbers(request_class.zones, config.zones, server_list.zone_number),
            kinds=list_numbers(request_class.kinds, config.kinds, server_list.kind_number),
        )
        for request_class in settings.request_classes
    )
    return replace(config, settings=replace(settings, zone=zone, request_classes=request_classes))


def list_numbers(
    placement: tuple[int, ...] | None, names: tuple[str, ...], number: Callable[[str], int]
) -> tuple[int, ...] | None:
    """Map positions in `names` to the server list's numbers; -2, which no server has, if there is no name."""
    if placement is None:
        return None
    return tuple(sorted(number(names[at]) if 0 <= at < len(names) else -2 for at in placement))


class ProblemReporter:
    """Logs, once a second, broken invariants and malformed messages of clients and servers."""

    def __init__(self, dispatcher: Dispatcher, clients: Clients) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.reported = 0

    def on_timer(self, now: int) -> None:
        """Log what has been counted since the last call, and set the timer for the next one."""
        self.dispatcher.metrics.apply_pending()
        count = sum(invariants.violation_counts.values())
        if count > self.reported:
            self.reported = count
            self.dispatcher.events.event("invariant_broken", counts=dict(invariants.violation_counts))
        bad_answers = self.dispatcher.pool.bad_answers
        for event, counts in (("bad_requests", self.clients.bad_requests), ("bad_answers", bad_answers)):
            if counts:
                self.dispatcher.events.event(event, counts=dict(counts))
                counts.clear()
        self.dispatcher.decisions.report(self.dispatcher.events.event)
        self.dispatcher.set_timer(now + 1_000_000, self)


def drain(dispatcher: Dispatcher, clients: Clients, log: Log, peers: Peers | None) -> None:
    """Go on accepting and answering, close connections between requests, and end the process.

    It ends once every submission is answered, at the latest `SHUTDOWN_GRACE_S` after the longest deadline.
    """
    started_at = monotonic()
    dispatcher.draining = True
    deadline_s = dispatcher.max_deadline / 1e6
    dispatcher.shutdown_at = clock.now() + dispatcher.max_deadline + LATE_ANSWER_GRACE_US
    if peers is not None:
        peers.release_duties()
    log.event("draining", clients=len(clients.open), out=len(dispatcher.exchanges))
    while monotonic() - started_at < ACCEPT_AFTER_SIGTERM_S:
        sleep(0.01)
    clients.stop_accepting()
    while monotonic() - started_at < deadline_s + SHUTDOWN_GRACE_S:
        queue_empty = clients.drain_backlog()
        clients.close_idle()
        if queue_empty and not clients.open:
            break
        sleep(0.01)
    if peers is not None:
        peers.leave()  # not earlier: until now it has sent hops, and counts as one of the sending sidecars
    log.event(
        "stopped",
        after_s=round(monotonic() - started_at, 3),
        clients=len(clients.open),
        taken=dispatcher.admitted,
        broken=invariants.violation_counts,
    )
    log.flush()
    os._exit(0)  # nobody waits for anything that the remaining threads hold
