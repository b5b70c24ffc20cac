"""The plan of a run as written in experiment files, validated when it is read.

The names of fields are the keys of these files.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
PositiveFloat = Annotated[float, Field(gt=0.0)]
NonNegativeFloat = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=1)]
# How a call of discovery fails: answered 503, at once or after a second, the connection reset or ended, no
# answer at all, an answer that is cut off, or one that is no list.
ListFailure = Literal["error", "late error", "reset", "ended", "silent", "cut", "garbled"]


class StrictModel(BaseModel):
    """An immutable model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Fleet(StrictModel):
    """Servers, spread evenly over zones (`halls`).

    `limit` is the number of hops that may run at all servers of a zone together; 0: no limit.
    """

    halls: Count = 1
    servers: Count = 12
    cells: Count = 1  # in each zone
    cores: Count = 2
    queue: Count = 64
    work_ms: PositiveFloat = 10.0
    spread: Fraction = 0.4  # deviation of the work from its mean, as a fraction
    cache: Count = 4000
    miss: PositiveFloat = 1.5
    cold_from: Annotated[float, Field(gt=0.0, le=1.0)] = 0.2
    cold_s: PositiveFloat = 15.0
    fall_multiple: PositiveFloat = 2.5
    fall_s: PositiveFloat = 3.0
    jam_at: PositiveFloat = 12.0
    jam_speed: Annotated[float, Field(gt=0.0, le=1.0)] = 0.7
    stops: bool = False
    limit: Annotated[int, Field(ge=0)] = 0
    near_ms: PositiveFloat = 0.3
    far_ms: PositiveFloat = 4.0


class Sidecars(StrictModel):
    """Sidecars and the fleet that they form."""

    count: Count = 3
    dial_ms: PositiveFloat = 250.0
    most_hops: Count = 4
    crossing_price: NonNegativeFloat = 0.0
    advice_s: NonNegativeFloat = 2.0  # maximum of the advised retry time; 0: no advice
    peers: bool = False  # whether they form a fleet
    peers_every_s: PositiveFloat = 1.0  # interval between two probes of a sidecar
    trials: bool = False  # whether one sidecar of a zone tries an unhealthy server for all
    lease_s: Annotated[float, Field(ge=0.5, le=60.0)] = 10.0  # of duties

    @model_validator(mode="after")
    def check_trials_need_peers(self) -> Sidecars:
        """Raise ValueError if trials are agreed on without a fleet."""
        if self.trials and not self.peers:
            raise ValueError("trials needs peers = true")
        return self


class RequestClassSpec(StrictModel):
    """A request class and its share of the load."""

    name: str
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegativeFloat = 2.0
    share: PositiveFloat = 1.0
    agreed_ms: PositiveFloat = 150.0
    patience_ms: PositiveFloat = 600.0
    gain: PositiveFloat = 1.0
    late_gain: NonNegativeFloat = 0.0


class Load(StrictModel):
    """The load: a fraction `part` of what all servers can do, or `rate` submissions per second."""

    part: NonNegativeFloat = 0.5
    rate: NonNegativeFloat = 0.0
    pattern: Literal["poisson", "bursty", "even"] = "poisson"
    steps: tuple[tuple[NonNegativeFloat, NonNegativeFloat], ...] = ()
    trace_s: tuple[NonNegativeFloat, ...] = ()
    keys: Count = 2000
    zipf: NonNegativeFloat = 0.8
    drift_s: NonNegativeFloat = 0.0
    leaves: Fraction = 0.0
    body: Annotated[int, Field(ge=0, le=10_000_000)] = 100  # bytes of a non-idempotent request, on loopback
    retries: Annotated[int, Field(ge=0)] = 1
    back_off_ms: PositiveFloat = 50.0
    heeds: bool = True
    tariffs: tuple[RequestClassSpec, ...] = (
        RequestClassSpec(name="read", share=0.75),
        RequestClassSpec(name="once", effect="at_most_once", share=0.25, gain=3.0),
    )

    @model_validator(mode="after")
    def check_order(self) -> Load:
        """Raise ValueError unless times ascend and request classes have distinct names."""
        times = [at for at, _ in self.steps]
        if times != sorted(times) or list(self.trace_s) != sorted(self.trace_s):
            raise ValueError("steps and trace_s must be in ascending order of time")
        if len({each.name for each in self.tariffs}) != len(self.tariffs) or not self.tariffs:
            raise ValueError("tariffs must have distinct names, and there must be at least one")
        return self


class ServerList(StrictModel):
    """Delays of the server list and how sidecars get it."""

    lag_from_ms: NonNegativeFloat = 20.0
    lag_to_ms: NonNegativeFloat = 200.0
    on_request: bool = True
    ask_every_s: PositiveFloat = 10.0
    grace_s: NonNegativeFloat = 0.5
    old_file: bool = False  # whether restarted processes have the list of the run's beginning in their file

    @model_validator(mode="after")
    def check_order(self) -> ServerList:
        """Raise ValueError if the maximum delay is below the minimum."""
        if self.lag_to_ms < self.lag_from_ms:
            raise ValueError("lag_to_ms must not be below lag_from_ms")
        return self


class FaultSpec(StrictModel):
    """An injected fault; `kind` names its class in `fault_kinds`, which reads the fields that it needs."""

    kind: str
    at_s: NonNegativeFloat
    for_s: NonNegativeFloat = 5.0
    servers: tuple[int, ...] = ()  # slots; none: `count` of them at random
    count: Count = 1
    hall: int = 0
    value: float = 0.0  # 0: the default of the kind
    fails: Annotated[tuple[ListFailure, ...], Field(min_length=1)] = ("error",)  # calls of discovery, in turn
    sidecars: tuple[int, ...] = ()  # none: all or a random fraction, as the kind defines
    from_: tuple[int, ...] = ()  # of a one-way cut: sidecars whose messages are lost
    to: tuple[int, ...] = ()  # on the way to these
    state: Literal["old", "none", "other"] = "old"  # on the disk of killed sidecars when they restart
    delay_ms: NonNegativeFloat = 0.0  # of messages between sidecars
    spread_ms: NonNegativeFloat = 0.0  # maximum of a random further delay
    doubled: Fraction = 0.0  # fraction of messages that are duplicated
    spoilt: Fraction = 0.0  # fraction with a flipped bit
    rate_kb: NonNegativeFloat = 0.0  # kB/s on each link; 0: no limit


class Plan(StrictModel):
    """All of a run but its seed and its balancer."""

    lasts_s: PositiveFloat = 30.0
    warm_s: NonNegativeFloat = 2.0  # at the start, not counted in results
    fleet: Fleet = Fleet()
    sidecars: Sidecars = Sidecars()
    load: Load = Load()
    list: ServerList = ServerList()
    troubles: tuple[FaultSpec, ...] = ()

    @model_validator(mode="after")
    def check_warm_up(self) -> Plan:
        """Raise ValueError if the warm-up is not shorter than the run."""
        if self.warm_s >= self.lasts_s:
            raise ValueError("warm_s must be below lasts_s")
        return self

    def rate(self) -> float:
        """Submissions per second of all sidecars together."""
        fleet = self.fleet
        capacity = fleet.servers * fleet.cores * 1000.0 / fleet.work_ms
        return self.load.rate or self.load.part * capacity


def to_microseconds(seconds: float) -> int:
    """Seconds as capacity microseconds."""
    return int(round(seconds * 1e6))


def sidecar_settings(plan: Plan, sidecar_index: int, zone: int) -> dict[str, Any]:
    """The settings that a sidecar of this plan gets at its start; see `settings.decode`."""
    fleet, sidecars = plan.fleet, plan.sidecars
    return {
        "me": sidecar_index,
        "fleetSize": sidecars.count,
        "zone": zone,
        "dcs": [f"hall-{hall}" for hall in range(fleet.halls)],
        "membershipMode": "on_request" if plan.list.on_request else "pushed",
        "prices": {"crossZone": sidecars.crossing_price},
        "rules": {
            "askEveryS": plan.list.ask_every_s,
            "coldFrom": fleet.cold_from,
            "coldS": fleet.cold_s,
            "fallMultiple": fleet.fall_multiple,
            "overloadForS": fleet.fall_s,
            "stopSendingWithinS": plan.list.grace_s,
        },
        "policyLimits": {
            "mostHops": sidecars.most_hops,
            "connIdleS": 30.0,
            "dialTimeoutS": sidecars.dial_ms / 1000,
            "retryAfter": sidecars.advice_s > 0,
            "maxRetryAfterS": sidecars.advice_s,
        },
        "tariffs": [
            {
                "name": spec.name,
                "effect": spec.effect,
                "group": spec.group,
                "windowS": spec.window_s,
                "gain": spec.gain,
                "lateGain": spec.late_gain,
                "agreedTimeS": spec.agreed_ms / 1000,
                "patienceS": spec.patience_ms / 1000,
            }
            for spec in plan.load.tariffs
        ],
    }
