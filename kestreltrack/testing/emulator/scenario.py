"""A scenario: the world as a TOML file, typed and checked; errors name the key.

Times are milliseconds unless the key says seconds.  A figure that may vary is a distribution (`streams.Dist`); it is
drawn once for each thing that it describes (a partner, a firm), or for each event where its key says so.
"""

from __future__ import annotations

import re
import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from kestreltrack.testing.emulator.random_streams import (
    Distribution,
    InvalidDistributionError,
    validate_distributions,
)

Fraction = Annotated[float, Meta(ge=0, le=1)]
PositiveInt = Annotated[int, Meta(ge=1, le=1_000_000)]
PositiveFloat = Annotated[float, Meta(gt=0)]
ERROR_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")


class InvalidScenarioError(ValueError):
    """A scenario that cannot be played; the text names the key."""


class DurationTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long messages arrive; the world runs on until all is answered, `tail_s` at the most."""

    length_s: PositiveFloat = 45.0
    tail_s: PositiveFloat = 40.0


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The senders.  Slots and hold are counted in their part of the full load, as the brief does."""

    senders: PositiveInt = 3
    slots_room: Distribution = (1.6, 2.2)
    least_slots: PositiveInt = 4
    hold_s: Distribution = (5.6, 12.0)
    least_hold: PositiveInt = 16
    try_limit: PositiveInt = 8
    max_wait_ms: float = 3000.0
    recovers: bool = True
    """A sender that comes back has its journal; without, it has its list alone and clients hand in again."""
    talk: bool = False
    """The senders know of each other, and try partners and return to them as one (`fleet.lend`)."""
    way_ms: Distribution = (0.2, 2.0)
    """Of a datagram between two senders; drawn for each."""
    loss: Fraction = 0.0
    """Of them."""
    zones: Annotated[tuple[str, ...], Meta(min_length=1, max_length=16)] = ("a",)
    """Of the senders, in turn; a partner's endpoints stand in them in turn too."""
    zone_fees: tuple[float, ...] = ()
    """Of a route apart, by its zone: points of the whole figure for a message that it takes on."""
    clocks: tuple[Annotated[float, Meta(ge=0.9, le=1.1)], ...] = (1.0,)
    """How fast the senders' own clocks run, in turn (only by `scenario run`)."""


class NetworkTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delays of one way, drawn for each sender and partner; jitter for each call."""

    partner_ms: Distribution = (15.0, 45.0)
    client_ms: Distribution = (0.22, 1.2)
    jitter: Distribution = 0.1
    handshake_rtts: Distribution = (1.0, 2.0)
    keepalive_s: PositiveFloat = 5.0
    connect_ms: PositiveFloat = 1000.0


class IngressTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The layer before the senders: how long it goes on sending to a dead one."""

    notice_s: Distribution = (1.0, 2.8)


class LoadTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much arrives."""

    full: PositiveFloat = 85.0
    """Messages a second at full load: the yardstick for all limits."""
    level: Distribution = 0.75
    """Of full load, over the day."""
    swing: Distribution = 0.2
    """Amplitude of a slow wave over the day."""
    shape: Literal["steady", "bursty", "rising"] = "bursty"
    clumps: Fraction = 0.1
    """Part of the messages that comes in clumps for one partner,"""
    clump_s: Distribution = (1.1, 3.2)
    """as many at once as it takes in so long."""
    zipf: Distribution = (0.77, 0.96)


class ClientTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Those who hand in."""

    retries: Distribution = (2.0, 3.99)
    backoff: Literal["fixed", "exp"] = "exp"
    backoff_ms: Distribution = (310.0, 1500.0)
    honour: Distribution = (0.4, 0.99)
    """Part of them that waits as it is told."""
    most_wait_ms: PositiveFloat = 3000.0
    again_ms: Distribution = (380.0, 1400.0)
    """Until what a dead sender was handed and had not answered comes again; drawn for each."""
    over_share_worth: Fraction = 0.05


class TenantTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client firm, its share of the quota and how much of that it uses."""

    name: str
    share: Fraction
    usage: Distribution = 1.0


class MessageClassTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of message."""

    name: str
    share: Fraction
    work_ms: Distribution
    """At a partner of usual pace, the mean; drawn once a day."""
    cv: Distribution = 0.9
    """Variation of the work of a message (lognormal)."""
    aim_ms: PositiveFloat = 4000.0
    deadline_ms: PositiveFloat = 24_000.0
    worth: PositiveFloat = 1.0
    late_worth: Fraction = 0.5
    effect: Literal["safe", "keyed", "unsafe"] = "keyed"
    key_window_ms: float = 0.0
    scope: Literal["all", "zone"] = "all"
    """Which endpoints of a partner remember a keyed message."""
    in_order: bool = False
    kinds: tuple[str, ...] = ()
    """Partners that get it; all where empty."""


class DestinationKindTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of partner."""

    name: str
    share: Fraction
    lean: float = 0.0
    """Large ones come first in the order of traffic."""
    endpoints: Distribution = (1.0, 3.99)
    routes: Literal["shared", "apart"] = "shared"
    """Apart: each endpoint has its own limit, pace, waits and outages."""
    batch: Annotated[int, Meta(ge=1, le=1000)] = 1
    """Messages in one call: sends of one sender's decision to one endpoint travel together."""
    item_cost: Distribution = 0.15
    """Work of each further message in a call, in parts of one's own."""
    speed: Distribution = 1.0
    spare: Distribution = (1.2, 1.6)
    """Capacity over the limit, which is `headroom` times its calls at full load or `least_rate`."""
    queue_per_core: Distribution = (1.0, 3.0)
    limit: Literal["none", "window", "rate"] = "none"
    headroom: Distribution = (1.0, 2.0)
    least_rate: Distribution = 2.0
    window_ms: Distribution = 2000.0
    depth_s: Distribution = 0.5
    tells_wait: Distribution = 0.5
    wait_ms: Distribution = (250.0, 1000.0)
    refused_count: Distribution = 0.0
    """1 where refused calls use up the limit too; drawn once for all, from 0.5 on it is so."""
    conns: Distribution = 0.0
    """Connections it takes in times of its cores, idle ones counted; 0 for any number."""
    least_conns: Distribution = 8.0
    error_rate: Distribution = 0.0
    cold_s: Distribution = (7.6, 9.7)
    cold_from: Distribution = (0.22, 0.31)
    remembers_s: float = 25.0
    """How long a repeat of a keyed message is dropped."""
    rough: Distribution = (0.67, 1.5)
    """The rate that the directory gives, in times of the true one."""


class DiscoveryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine list: how late a change is told to each sender."""

    pushed: bool = False
    """To an agent beside each sender, which answers at once; else senders ask, and may be answered with an error."""
    notice_s: Distribution = (1.2, 4.0)
    drains_every_s: Distribution = 0.0
    """Between drains of one endpoint that is replaced; 0 for none; drawn for each."""
    drain_s: Distribution = (2.0, 4.0)


class SenderKnowledgeTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a sender has to go by."""

    weights: Literal["none", "rough", "exact"] = "rough"
    """What the list tells of limits."""
    reports: bool = True
    """Answers tell of the limit, and of what is left of it."""
    probes: bool = False
    """Permitted; no sender probes yet."""
    peers: bool = False
    """Notes between senders are permitted; none are sent yet, other than by `fleet.talk`."""


class InvariantsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the rules, as settings tell them."""

    drain_grace_ms: float = 500.0
    fall_multiple: float = 2.0
    fall_ms: float = 3000.0
    answer_slack_ms: float = 50.0
    settle_ms: float = 500.0
    down_s: float = 8.0
    """How long a partner that fell over stays down."""


class ScoringTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights and prices of the service figure."""

    whole: Fraction = 0.4
    worst_window: Fraction = 0.3
    worst_class: Fraction = 0.2
    worst_firm: Fraction = 0.1
    window_s: PositiveFloat = 10.0
    decay: Literal["line", "halves"] = "line"
    """After the aim: on a line to the late worth at the deadline, or by half with each further aim."""
    waste: float = 0.16
    refused: float = 0.03
    handshake: float = 0.02
    late_fail: float = 0.02


class RandomFaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something goes wrong: with partners that get about `part` of the traffic, or with that part of the senders."""

    kind: Literal[
        "fails",
        "shuts",
        "hangs",
        "slow",
        "unreachable",
        "refuses",
        "vanishes",
        "pauses",
        "crash",
        "roll",
        "registry",
    ]
    """`refuses`: its process is gone, connections are refused and kept ones reset; `vanishes`: nothing is answered,
    no connection comes up; `unreachable`: between the two."""
    at_s: Distribution
    for_s: Distribution = 10.0
    part: Distribution = 0.2
    size: Distribution = 1.0
    """`fails`: part of its calls; `slow`: times its usual; `roll`: part of the senders at a time; `pauses`: ms."""
    every_s: Distribution = 2.0
    """`pauses`: between them."""
    away_s: Distribution = 0.5
    """`roll`: how long each sender is away."""
    by: Literal["", "kind", "zone"] = ""
    """Those struck are of one kind, or stand in one zone: there a partner's endpoints in other zones are spared."""
    whole: Fraction = 1.0
    """Chance of a partner to be struck with all its endpoints; else about half of them."""


class TargetedFaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault on links (`between` two names or groups) or processes (`who`); it ends after `for_s`.

    Names: senders `s1`, `s2` and so on, `zone:a`, `senders`, `partners`, partners `p1`, `list`, `front`, `*`.
    """

    at_s: PositiveFloat
    for_s: PositiveFloat
    between: tuple[str, ...] = ()
    one_way: bool = False
    cut: bool = False
    loss: Fraction = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    repeat: Fraction = 0.0
    late_ms: float = 0.0
    reset: bool = False
    bytes_s: float = 0.0
    who: tuple[str, ...] = ()
    process: Literal["", "kill", "stop", "pause"] = ""
    """SIGKILL, SIGTERM, or SIGSTOP until the end; after it they run again,"""
    emptied: bool = False
    """in an empty folder."""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    name: str
    about: str = ""
    partners: PositiveInt = 12
    day: DurationTable = DurationTable()
    fleet: FleetTable = FleetTable()
    net: NetworkTable = NetworkTable()
    front: IngressTable = IngressTable()
    load: LoadTable = LoadTable()
    clients: ClientTable = ClientTable()
    directory: DiscoveryTable = DiscoveryTable()
    knows: SenderKnowledgeTable = SenderKnowledgeTable()
    rules: InvariantsTable = InvariantsTable()
    worth: ScoringTable = ScoringTable()
    firm: tuple[TenantTable, ...] = ()
    cls: tuple[MessageClassTable, ...] = msgspec.field(name="class", default=())
    kind: tuple[DestinationKindTable, ...] = ()
    trouble: tuple[RandomFaultTable, ...] = ()
    fault: tuple[TargetedFaultTable, ...] = ()


SCENARIO_LIBRARY = resources.files("kestreltrack.testing.emulator") / "scenarios"


def scenario_names() -> list[str]:
    """The scenarios that come along."""
    return sorted(
        file.name.removesuffix(".toml") for file in SCENARIO_LIBRARY.iterdir() if file.name.endswith(".toml")
    )


def _read_table(source: str) -> dict[str, Any]:
    known = SCENARIO_LIBRARY / f"{source}.toml"
    try:
        text = known.read_text() if source in scenario_names() else Path(source).read_text()
    except OSError as bad:
        raise InvalidScenarioError(
            f"{source}: {bad.strerror}; there are {', '.join(scenario_names())}"
        ) from None
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as bad:
        raise InvalidScenarioError(f"{source}: {bad}") from None


def _merge_tables(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged; all else, also lists of tables, is replaced."""
    made = dict(base)
    for key, value in override.items():
        # A distribution is one value, though it is written as a table.
        merged = isinstance(value, dict) and isinstance(made.get(key), dict) and "name" not in value
        made[key] = _merge_tables(made[key], value) if merged else value
    return made


def load_scenario(
    source: str, overrides: dict[str, Any] | None = None, ancestors: tuple[str, ...] = ()
) -> Scenario:
    """A scenario by its name in the library or its file; `extends` names another one to build on.

    `sets` are keys by their dotted names that go before the file.  Raises `BadScenario`.
    """
    table = _resolve_extends(source, ancestors)
    for key, value in (overrides or {}).items():
        *path, last = key.split(".")
        place = table
        for part in path:
            place = place.setdefault(part, {})
            if not isinstance(place, dict):
                raise InvalidScenarioError(f"{key}: {part} is not a table")
        place[last] = value
    return scenario_from_table(table, source)


def scenario_from_table(table: dict[str, Any], source: str) -> Scenario:
    """A scenario of a table that is read or drawn; raises `BadScenario`."""
    try:
        made = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as bad:
        text = str(bad)
        found = ERROR_PATH.search(text)
        path_ = found["path"] if found else ""
        raise InvalidScenarioError(f"{source}: {path_ or 'the file'}: {ERROR_PATH.sub('', text)}") from None
    try:
        validate_distributions(made, "")
    except InvalidDistributionError as bad:
        raise InvalidScenarioError(f"{source}: {bad}") from None
    _validate(source, made)
    return made


def _resolve_extends(source: str, ancestors: tuple[str, ...]) -> dict[str, Any]:
    if source in ancestors:
        raise InvalidScenarioError(f"{source}: extends itself")
    table = _read_table(source)
    base = table.pop("extends", None)
    return table if base is None else _merge_tables(_resolve_extends(str(base), (*ancestors, source)), table)


def _validate(source: str, scenario: Scenario) -> None:
    kinds = {kind.name for kind in scenario.kind}
    checks = {
        "kind": bool(scenario.kind),
        "class": bool(scenario.cls),
        "kind.share: expected a sum of 1": abs(sum(kind.share for kind in scenario.kind) - 1.0) < 0.01,
        "class.share: expected a sum of 1": abs(sum(cls.share for cls in scenario.cls) - 1.0) < 0.01,
        "firm.share: expected a sum of 1": not scenario.firm
        or abs(sum(f.share for f in scenario.firm) - 1.0) < 0.01,
        "fleet.zone_fees: expected one for each zone, or none": len(scenario.fleet.zone_fees)
        in (0, len(scenario.fleet.zones)),
        "class.kinds: expected names of kinds": all(set(cls.kinds) <= kinds for cls in scenario.cls),
        "class.key_window_ms: expected more than 0 for keyed ones": all(
            cls.key_window_ms > 0 for cls in scenario.cls if cls.effect == "keyed"
        ),
        "fault: expected either two names in between, or who and process": all(
            (len(fault.between) == 2) != bool(fault.who and fault.process) for fault in scenario.fault
        ),
        "class.deadline_ms: expected more than aim_ms": all(
            cls.deadline_ms > cls.aim_ms for cls in scenario.cls
        ),
    }
    for key, holds in checks.items():
        if not holds:
            raise InvalidScenarioError(f"{source}: {key if ':' in key else key + ': expected at least one'}")
