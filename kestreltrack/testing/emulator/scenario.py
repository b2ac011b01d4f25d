"""A scenario: the deployment, load and faults of a run, as a TOML file that is typed and validated.

The fields of the tables are the keys of the file, whose vocabulary differs from that of the code: a partner is a
destination, a firm a tenant, the day a run, the directory the service registry, the front the ingress.  Times are in
milliseconds unless the key says seconds.  A value that may vary is a distribution (`random_streams.Distribution`).
It is drawn once for each object that it describes (a destination, a tenant), or for each event where the key's
description says so.
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
# Matches the path of the invalid key at the end of an error message of msgspec.
ERROR_PATH = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")


class InvalidScenarioError(ValueError):
    """A scenario that cannot be run; the message names its source and the invalid key."""


class DurationTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long messages arrive; the run then continues until all have final answers, for at most `tail_s`."""

    length_s: PositiveFloat = 45.0
    tail_s: PositiveFloat = 40.0


class FleetTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The senders; the sizes of their slots and queues are relative to a sender's share of the full load."""

    senders: PositiveInt = 3
    slots_room: Distribution = (1.6, 2.2)
    least_slots: PositiveInt = 4
    hold_s: Distribution = (5.6, 12.0)
    least_hold: PositiveInt = 16
    try_limit: PositiveInt = 8
    max_wait_ms: float = 3000.0
    recovers: bool = True
    """A restarted sender has its journal; otherwise only its endpoint list, and clients submit messages again."""
    talk: bool = False
    """The senders communicate, and share quotas and recovery (the setting `fleet.lend`)."""
    way_ms: Distribution = (0.2, 2.0)
    """One-way delay of a datagram between two senders; drawn for each datagram."""
    loss: Fraction = 0.0
    """Fraction of the datagrams that are lost."""
    zones: Annotated[tuple[str, ...], Meta(min_length=1, max_length=16)] = ("a",)
    """The zones, to which senders and the endpoints of each destination are assigned in turn."""
    zone_fees: tuple[float, ...] = ()
    """By zone: the cost of a message to an independent endpoint, in points of the score."""
    clocks: tuple[Annotated[float, Meta(ge=0.9, le=1.1)], ...] = (1.0,)
    """The rates of the senders' clocks, in turn (only for `scenario run`)."""


class NetworkTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Round-trip times, drawn for each sender and destination, and connections; jitter is drawn for each call."""

    partner_ms: Distribution = (15.0, 45.0)
    client_ms: Distribution = (0.22, 1.2)
    jitter: Distribution = 0.1
    handshake_rtts: Distribution = (1.0, 2.0)
    keepalive_s: PositiveFloat = 5.0
    connect_ms: PositiveFloat = 1000.0


class IngressTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The ingress in front of the senders: how long it takes to detect that one has ended."""

    notice_s: Distribution = (1.0, 2.8)


class LoadTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The rate of messages, and their distribution over time and destinations."""

    full: PositiveFloat = 85.0
    """Messages a second at full load; all limits are relative to it."""
    level: Distribution = 0.75
    """Load of the run as a fraction of the full load, before `swing` and `shape` vary it."""
    swing: Distribution = 0.2
    """Amplitude of a slow variation of the load during the run."""
    shape: Literal["steady", "bursty", "rising"] = "bursty"
    clumps: Fraction = 0.1
    """Fraction of the messages that arrive in bursts for one destination."""
    clump_s: Distribution = (1.1, 3.2)
    """The size of a burst: the messages that the destination receives on average in this time."""
    zipf: Distribution = (0.77, 0.96)


class ClientTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The clients, which submit messages and retry."""

    retries: Distribution = (2.0, 3.99)
    backoff: Literal["fixed", "exp"] = "exp"
    backoff_ms: Distribution = (310.0, 1500.0)
    honour: Distribution = (0.4, 0.99)
    """Fraction of the requests whose client honours a retry-after."""
    most_wait_ms: PositiveFloat = 3000.0
    again_ms: Distribution = (380.0, 1400.0)
    """Delay until a message is submitted again whose sender has ended without an answer; drawn for each message."""
    over_share_worth: Fraction = 0.05


class TenantTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant, its share of the quota and how much of that it uses."""

    name: str
    share: Fraction
    usage: Distribution = 1.0


class MessageClassTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A message class."""

    name: str
    share: Fraction
    work_ms: Distribution
    """Mean work of a message at an endpoint of speed 1; drawn once per run."""
    cv: Distribution = 0.9
    """Coefficient of variation of the work (lognormal)."""
    aim_ms: PositiveFloat = 4000.0
    deadline_ms: PositiveFloat = 24_000.0
    worth: PositiveFloat = 1.0
    late_worth: Fraction = 0.5
    effect: Literal["safe", "keyed", "unsafe"] = "keyed"
    key_window_ms: float = 0.0
    scope: Literal["all", "zone"] = "all"
    """Which endpoints of a destination remember an idempotency key."""
    in_order: bool = False
    kinds: tuple[str, ...] = ()
    """The kinds of destinations that receive it; all where empty."""


class DestinationKindTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of destination."""

    name: str
    share: Fraction
    lean: float = 0.0
    """Kinds with a large value tend to have the destinations with most traffic."""
    endpoints: Distribution = (1.0, 3.99)
    routes: Literal["shared", "apart"] = "shared"
    """`apart`: each endpoint has its own limit, capacity, retry-after and outages."""
    batch: Annotated[int, Meta(ge=1, le=1000)] = 1
    """Maximum number of messages in a call, which are attempts at one endpoint by one decision of a sender."""
    item_cost: Distribution = 0.15
    """Work of each further message in a call, relative to that of a call of one message."""
    speed: Distribution = 1.0
    spare: Distribution = (1.2, 1.6)
    """Capacity relative to the limit, which is `headroom` times the calls at full load, or `least_rate`."""
    queue_per_core: Distribution = (1.0, 3.0)
    limit: Literal["none", "window", "rate"] = "none"
    headroom: Distribution = (1.0, 2.0)
    least_rate: Distribution = 2.0
    window_ms: Distribution = 2000.0
    depth_s: Distribution = 0.5
    tells_wait: Distribution = 0.5
    wait_ms: Distribution = (250.0, 1000.0)
    refused_count: Distribution = 0.0
    """Rejected calls count against the limit where this is 0.5 or more; drawn once for the kind."""
    conns: Distribution = 0.0
    """Connections accepted for each core, idle ones included; 0 for any number."""
    least_conns: Distribution = 8.0
    error_rate: Distribution = 0.0
    cold_s: Distribution = (7.6, 9.7)
    cold_from: Distribution = (0.22, 0.31)
    remembers_s: float = 25.0
    """The deduplication window."""
    rough: Distribution = (0.67, 1.5)
    """The rate in the endpoint list relative to the true one, where senders have rough knowledge."""


class DiscoveryTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The service registry: how and when senders learn of changes."""

    pushed: bool = False
    """Changes are pushed to an agent beside each sender; otherwise senders poll, which may fail."""
    notice_s: Distribution = (1.2, 4.0)
    drains_every_s: Distribution = 0.0
    """Time between two replacements of endpoints, 0 for none; drawn for each replacement."""
    drain_s: Distribution = (2.0, 4.0)


class SenderKnowledgeTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The information that is available to senders."""

    weights: Literal["none", "rough", "exact"] = "rough"
    """The accuracy of the rates in the endpoint list."""
    reports: bool = True
    """Replies have load reports: the rate limit, and what is left of it."""
    probes: bool = False
    """Health checks are permitted; not implemented by senders."""
    peers: bool = False
    """Communication between senders is permitted; not implemented apart from `fleet.talk`."""


class InvariantsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parameters of the invariants."""

    drain_grace_ms: float = 500.0
    fall_multiple: float = 2.0
    fall_ms: float = 3000.0
    answer_slack_ms: float = 50.0
    settle_ms: float = 500.0
    down_s: float = 8.0
    """Duration of the outage of a destination that was overloaded while it warmed up."""


class ScoringTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The weights of the service score and of its deductions."""

    whole: Fraction = 0.4
    worst_window: Fraction = 0.3
    worst_class: Fraction = 0.2
    worst_firm: Fraction = 0.1
    window_s: PositiveFloat = 10.0
    decay: Literal["line", "halves"] = "line"
    """The utility after the latency objective: linear, or halved with each further objective."""
    waste: float = 0.16
    refused: float = 0.03
    handshake: float = 0.02
    late_fail: float = 0.02


class RandomFaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of destinations that receive about `part` of the traffic, or of that part of the senders."""

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
    """`refuses`: the process has ended, connections are refused and established ones reset; `vanishes`: no call is
    answered, and no connection can be opened; `unreachable`: connections are refused, and calls on established ones
    are not answered."""
    at_s: Distribution
    for_s: Distribution = 10.0
    part: Distribution = 0.2
    size: Distribution = 1.0
    """`fails`: fraction of the calls; `slow`: factor of the execution time; `roll`: fraction of the senders that
    restart together; `pauses`: duration in ms."""
    every_s: Distribution = 2.0
    """`pauses`: mean time between two pauses."""
    away_s: Distribution = 0.5
    """`roll`: downtime of each sender."""
    by: Literal["", "kind", "zone"] = ""
    """Limits the fault to destinations of one kind, or to endpoints in one zone; either is drawn."""
    whole: Fraction = 1.0
    """Probability that all endpoints of a destination are affected; otherwise about half of them are."""


class TargetedFaultTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault of the links between two names or groups (`between`) or of processes (`who`), which lasts `for_s`.

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
    """SIGKILL, SIGTERM, or SIGSTOP until the end of the fault, after which the processes run again."""
    emptied: bool = False
    """After `kill` or `stop`, the processes restart in an empty folder."""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario; each field is a table or a key of the file."""

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
    """Return the names of the scenarios in the library."""
    return sorted(
        file.name.removesuffix(".toml") for file in SCENARIO_LIBRARY.iterdir() if file.name.endswith(".toml")
    )


def _read_table(source: str) -> dict[str, Any]:
    library_file = SCENARIO_LIBRARY / f"{source}.toml"
    try:
        text = library_file.read_text() if source in scenario_names() else Path(source).read_text()
    except OSError as error:
        raise InvalidScenarioError(
            f"{source}: {error.strerror}; scenarios of the library: {', '.join(scenario_names())}"
        ) from None
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidScenarioError(f"{source}: {error}") from None


def _merge_tables(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    """Return `base` with the tables of `override` merged in; other values, and lists of tables, are replaced."""
    merged = dict(base)
    for key, value in override.items():
        # A distribution is a single value, although it is written as a table.
        is_table = isinstance(value, dict) and "name" not in value
        if is_table and isinstance(merged.get(key), dict):
            merged[key] = _merge_tables(merged[key], value)
        else:
            merged[key] = value
    return merged


def load_scenario(
    source: str, overrides: dict[str, Any] | None = None, ancestors: tuple[str, ...] = ()
) -> Scenario:
    """Return a scenario by its name in the library or the path of its file.

    The key `extends` of a file names another scenario that it builds on.  `overrides` maps dotted key names to values
    that take precedence over the file.

    Raises:
        InvalidScenarioError: It cannot be read, or a key is invalid.
    """
    table = _resolve_extends(source, ancestors)
    for key, value in (overrides or {}).items():
        *path, last = key.split(".")
        inner = table
        for part in path:
            inner = inner.setdefault(part, {})
            if not isinstance(inner, dict):
                raise InvalidScenarioError(f"{key}: {part} is not a table")
        inner[last] = value
    return scenario_from_table(table, source)


def scenario_from_table(table: dict[str, Any], source: str) -> Scenario:
    """Return the scenario of a table, which was read from a file or generated.

    Raises:
        InvalidScenarioError: A key is invalid; the message names the source and the key.
    """
    try:
        scenario = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as error:
        text = str(error)
        path_match = ERROR_PATH.search(text)
        key = path_match["path"] if path_match else ""
        raise InvalidScenarioError(f"{source}: {key or 'the file'}: {ERROR_PATH.sub('', text)}") from None
    try:
        validate_distributions(scenario, "")
    except InvalidDistributionError as error:
        raise InvalidScenarioError(f"{source}: {error}") from None
    _validate(source, scenario)
    return scenario


def _resolve_extends(source: str, ancestors: tuple[str, ...]) -> dict[str, Any]:
    if source in ancestors:
        raise InvalidScenarioError(f"{source}: extends itself")
    table = _read_table(source)
    base = table.pop("extends", None)
    if base is None:
        return table
    return _merge_tables(_resolve_extends(str(base), (*ancestors, source)), table)


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
        "class.key_window_ms: expected more than 0 where effect is keyed": all(
            cls.key_window_ms > 0 for cls in scenario.cls if cls.effect == "keyed"
        ),
        "fault: expected either two names in between, or who and process": all(
            (len(fault.between) == 2) != bool(fault.who and fault.process) for fault in scenario.fault
        ),
        "class.deadline_ms: expected more than aim_ms": all(
            cls.deadline_ms > cls.aim_ms for cls in scenario.cls
        ),
    }
    for key, is_valid in checks.items():
        if not is_valid:
            raise InvalidScenarioError(f"{source}: {key if ':' in key else key + ': expected at least one'}")
