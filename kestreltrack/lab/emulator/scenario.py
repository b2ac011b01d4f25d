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

from kestreltrack.lab.emulator.streams import BadDist, Dist, checked

Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, Meta(gt=0)]
WHERE = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")


class BadScenario(ValueError):
    """A scenario that cannot be played; the text names the key."""


class DayTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long messages arrive; the world runs on until all is answered, `tail_s` at the most."""

    length_s: Positive = 45.0
    tail_s: Positive = 40.0


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The senders.  Slots and hold are counted in their part of the full load, as the brief does."""

    senders: Count = 3
    slots_room: Dist = (1.6, 2.2)
    least_slots: Count = 4
    hold_s: Dist = (5.6, 12.0)
    least_hold: Count = 16
    try_limit: Count = 8
    max_wait_ms: float = 3000.0
    recovers: bool = True
    """A sender that comes back has its journal; without, it has its list alone and clients hand in again."""
    talk: bool = False
    """The senders know of each other, and try partners and return to them as one (`fleet.lend`)."""
    way_ms: Dist = (0.2, 2.0)
    """Of a datagram between two senders; drawn for each."""
    loss: Share = 0.0
    """Of them."""
    zones: Annotated[tuple[str, ...], Meta(min_length=1, max_length=16)] = ("a",)
    """Of the senders, in turn; a partner's endpoints stand in them in turn too."""
    zone_fees: tuple[float, ...] = ()
    """Of a route apart, by its zone: points of the whole figure for a message that it takes on."""
    clocks: tuple[Annotated[float, Meta(ge=0.9, le=1.1)], ...] = (1.0,)
    """How fast the senders' own clocks run, in turn (only by `lab play`)."""


class NetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delays of one way, drawn for each sender and partner; jitter for each call."""

    partner_ms: Dist = (15.0, 45.0)
    client_ms: Dist = (0.22, 1.2)
    jitter: Dist = 0.1
    handshake_rtts: Dist = (1.0, 2.0)
    keepalive_s: Positive = 5.0
    connect_ms: Positive = 1000.0


class FrontTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The layer before the senders: how long it goes on sending to a dead one."""

    notice_s: Dist = (1.0, 2.8)


class LoadTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much arrives."""

    full: Positive = 85.0
    """Messages a second at full load: the yardstick for all limits."""
    level: Dist = 0.75
    """Of full load, over the day."""
    swing: Dist = 0.2
    """Amplitude of a slow wave over the day."""
    shape: Literal["steady", "bursty", "rising"] = "bursty"
    clumps: Share = 0.1
    """Part of the messages that comes in clumps for one partner,"""
    clump_s: Dist = (1.1, 3.2)
    """as many at once as it takes in so long."""
    zipf: Dist = (0.77, 0.96)


class ClientTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Those who hand in."""

    retries: Dist = (2.0, 3.99)
    backoff: Literal["fixed", "exp"] = "exp"
    backoff_ms: Dist = (310.0, 1500.0)
    honour: Dist = (0.4, 0.99)
    """Part of them that waits as it is told."""
    most_wait_ms: Positive = 3000.0
    again_ms: Dist = (380.0, 1400.0)
    """Until what a dead sender was handed and had not answered comes again; drawn for each."""
    over_share_worth: Share = 0.05


class FirmTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client firm, its share of the quota and how much of that it uses."""

    name: str
    share: Share
    usage: Dist = 1.0


class ClassTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of message."""

    name: str
    share: Share
    work_ms: Dist
    """At a partner of usual pace, the mean; drawn once a day."""
    cv: Dist = 0.9
    """Variation of the work of a message (lognormal)."""
    aim_ms: Positive = 4000.0
    deadline_ms: Positive = 24_000.0
    worth: Positive = 1.0
    late_worth: Share = 0.5
    effect: Literal["safe", "keyed", "unsafe"] = "keyed"
    key_window_ms: float = 0.0
    scope: Literal["all", "zone"] = "all"
    """Which endpoints of a partner remember a keyed message."""
    in_order: bool = False
    kinds: tuple[str, ...] = ()
    """Partners that get it; all where empty."""


class KindTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of partner."""

    name: str
    share: Share
    lean: float = 0.0
    """Large ones come first in the order of traffic."""
    endpoints: Dist = (1.0, 3.99)
    routes: Literal["shared", "apart"] = "shared"
    """Apart: each endpoint has its own limit, pace, waits and outages."""
    batch: Annotated[int, Meta(ge=1, le=1000)] = 1
    """Messages in one call: sends of one sender's decision to one endpoint travel together."""
    item_cost: Dist = 0.15
    """Work of each further message in a call, in parts of one's own."""
    speed: Dist = 1.0
    spare: Dist = (1.2, 1.6)
    """Capacity over the limit, which is `headroom` times its calls at full load or `least_rate`."""
    queue_per_core: Dist = (1.0, 3.0)
    limit: Literal["none", "window", "rate"] = "none"
    headroom: Dist = (1.0, 2.0)
    least_rate: Dist = 2.0
    window_ms: Dist = 2000.0
    depth_s: Dist = 0.5
    tells_wait: Dist = 0.5
    wait_ms: Dist = (250.0, 1000.0)
    refused_count: Dist = 0.0
    """1 where refused calls use up the limit too; drawn once for all, from 0.5 on it is so."""
    conns: Dist = 0.0
    """Connections it takes in times of its cores, idle ones counted; 0 for any number."""
    least_conns: Dist = 8.0
    error_rate: Dist = 0.0
    cold_s: Dist = (7.6, 9.7)
    cold_from: Dist = (0.22, 0.31)
    remembers_s: float = 25.0
    """How long a repeat of a keyed message is dropped."""
    rough: Dist = (0.67, 1.5)
    """The rate that the directory gives, in times of the true one."""


class DirectoryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine list: how late a change is told to each sender."""

    pushed: bool = False
    """To an agent beside each sender, which answers at once; else senders ask, and may be answered with an error."""
    notice_s: Dist = (1.2, 4.0)
    drains_every_s: Dist = 0.0
    """Between drains of one endpoint that is replaced; 0 for none; drawn for each."""
    drain_s: Dist = (2.0, 4.0)


class KnowsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a sender has to go by."""

    weights: Literal["none", "rough", "exact"] = "rough"
    """What the list tells of limits."""
    reports: bool = True
    """Answers tell of the limit, and of what is left of it."""
    probes: bool = False
    """Permitted; no sender probes yet."""
    peers: bool = False
    """Notes between senders are permitted; none are sent yet, other than by `fleet.talk`."""


class RulesTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the rules, as settings tell them."""

    drain_grace_ms: float = 500.0
    fall_multiple: float = 2.0
    fall_ms: float = 3000.0
    answer_slack_ms: float = 50.0
    settle_ms: float = 500.0
    down_s: float = 8.0
    """How long a partner that fell over stays down."""


class WorthTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights and prices of the service figure."""

    whole: Share = 0.4
    worst_window: Share = 0.3
    worst_class: Share = 0.2
    worst_firm: Share = 0.1
    window_s: Positive = 10.0
    decay: Literal["line", "halves"] = "line"
    """After the aim: on a line to the late worth at the deadline, or by half with each further aim."""
    waste: float = 0.16
    refused: float = 0.03
    handshake: float = 0.02
    late_fail: float = 0.02


class TroubleTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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
    at_s: Dist
    for_s: Dist = 10.0
    part: Dist = 0.2
    size: Dist = 1.0
    """`fails`: part of its calls; `slow`: times its usual; `roll`: part of the senders at a time; `pauses`: ms."""
    every_s: Dist = 2.0
    """`pauses`: between them."""
    away_s: Dist = 0.5
    """`roll`: how long each sender is away."""
    by: Literal["", "kind", "zone"] = ""
    """Those struck are of one kind, or stand in one zone: there a partner's endpoints in other zones are spared."""
    whole: Share = 1.0
    """Chance of a partner to be struck with all its endpoints; else about half of them."""


class FaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault on links (`between` two names or groups) or processes (`who`); it ends after `for_s`.

    Names: senders `s1`, `s2` and so on, `zone:a`, `senders`, `partners`, partners `p1`, `list`, `front`, `*`.
    """

    at_s: Positive
    for_s: Positive
    between: tuple[str, ...] = ()
    one_way: bool = False
    cut: bool = False
    loss: Share = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    repeat: Share = 0.0
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
    partners: Count = 12
    day: DayTable = DayTable()
    fleet: FleetTable = FleetTable()
    net: NetTable = NetTable()
    front: FrontTable = FrontTable()
    load: LoadTable = LoadTable()
    clients: ClientTable = ClientTable()
    directory: DirectoryTable = DirectoryTable()
    knows: KnowsTable = KnowsTable()
    rules: RulesTable = RulesTable()
    worth: WorthTable = WorthTable()
    firm: tuple[FirmTable, ...] = ()
    cls: tuple[ClassTable, ...] = msgspec.field(name="class", default=())
    kind: tuple[KindTable, ...] = ()
    trouble: tuple[TroubleTable, ...] = ()
    fault: tuple[FaultTable, ...] = ()


LIBRARY = resources.files("kestreltrack.lab.emulator") / "scenarios"


def names() -> list[str]:
    """The scenarios that come along."""
    return sorted(
        file.name.removesuffix(".toml") for file in LIBRARY.iterdir() if file.name.endswith(".toml")
    )


def _read(where: str) -> dict[str, Any]:
    known = LIBRARY / f"{where}.toml"
    try:
        text = known.read_text() if where in names() else Path(where).read_text()
    except OSError as bad:
        raise BadScenario(f"{where}: {bad.strerror}; there are {', '.join(names())}") from None
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as bad:
        raise BadScenario(f"{where}: {bad}") from None


def _over(base: dict[str, Any], top: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged; all else, also lists of tables, is replaced."""
    made = dict(base)
    for key, value in top.items():
        # A distribution is one value, though it is written as a table.
        merged = isinstance(value, dict) and isinstance(made.get(key), dict) and "name" not in value
        made[key] = _over(made[key], value) if merged else value
    return made


def load(where: str, sets: dict[str, Any] | None = None, seen: tuple[str, ...] = ()) -> Scenario:
    """A scenario by its name in the library or its file; `extends` names another one to build on.

    `sets` are keys by their dotted names that go before the file.  Raises `BadScenario`.
    """
    table = _gathered(where, seen)
    for key, value in (sets or {}).items():
        *path, last = key.split(".")
        place = table
        for part in path:
            place = place.setdefault(part, {})
            if not isinstance(place, dict):
                raise BadScenario(f"{key}: {part} is not a table")
        place[last] = value
    return made_of(table, where)


def made_of(table: dict[str, Any], where: str) -> Scenario:
    """A scenario of a table that is read or drawn; raises `BadScenario`."""
    try:
        made = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as bad:
        text = str(bad)
        found = WHERE.search(text)
        path_ = found["path"] if found else ""
        raise BadScenario(f"{where}: {path_ or 'the file'}: {WHERE.sub('', text)}") from None
    try:
        checked(made, "")
    except BadDist as bad:
        raise BadScenario(f"{where}: {bad}") from None
    _sound(where, made)
    return made


def _gathered(where: str, seen: tuple[str, ...]) -> dict[str, Any]:
    if where in seen:
        raise BadScenario(f"{where}: extends itself")
    table = _read(where)
    base = table.pop("extends", None)
    return table if base is None else _over(_gathered(str(base), (*seen, where)), table)


def _sound(where: str, made: Scenario) -> None:
    kinds = {kind.name for kind in made.kind}
    checks = {
        "kind": bool(made.kind),
        "class": bool(made.cls),
        "kind.share: expected a sum of 1": abs(sum(kind.share for kind in made.kind) - 1.0) < 0.01,
        "class.share: expected a sum of 1": abs(sum(cls.share for cls in made.cls) - 1.0) < 0.01,
        "firm.share: expected a sum of 1": not made.firm or abs(sum(f.share for f in made.firm) - 1.0) < 0.01,
        "fleet.zone_fees: expected one for each zone, or none": len(made.fleet.zone_fees)
        in (0, len(made.fleet.zones)),
        "class.kinds: expected names of kinds": all(set(cls.kinds) <= kinds for cls in made.cls),
        "class.key_window_ms: expected more than 0 for keyed ones": all(
            cls.key_window_ms > 0 for cls in made.cls if cls.effect == "keyed"
        ),
        "fault: expected either two names in between, or who and process": all(
            (len(fault.between) == 2) != bool(fault.who and fault.process) for fault in made.fault
        ),
        "class.deadline_ms: expected more than aim_ms": all(cls.deadline_ms > cls.aim_ms for cls in made.cls),
    }
    for key, holds in checks.items():
        if not holds:
            raise BadScenario(f"{where}: {key if ':' in key else key + ': expected at least one'}")
