"""Generates a soak run from its seed: settings, senders, load and the schedule of faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.pressure.clients import PressureKind

# The limits of a sender, of which each is drawn; the operators' pages name up to 192 MB and 256 to 1,024 descriptors.
MEMORY_MB = (48, 96, 192)
DESCRIPTORS = (256, 1024)
DISK_MB = 3
# Pressing clients by the number of descriptors: less than the connections that a sender has for clients.
MAX_PRESSING_SHARE = 0.3
DRAIN_GRACE_MS = 500.0
TENANT = "acme"


class FaultKind(StrEnum):
    """A fault of a sender, an endpoint, discovery or the clients."""

    STOP = "stop"  # one to three SIGTERM, SIGKILL 3.7 s after the first, restart 0.6 s after the exit
    KILL = "kill"  # SIGKILL, restart 0.6 s later
    KILL_AT_ACCEPT = "kill at accept"  # SIGKILL immediately after the next +OK
    KILL_TWICE = "kill twice"  # SIGKILL, and SIGKILL again during the restart
    STOP_IN_START = "stop in start"  # SIGKILL, and SIGTERM during the restart
    RELOAD = "reload"  # SIGHUP in quick succession
    COUNTERS = "counters"  # SIGUSR1
    HOLD_UP = "hold up"  # SIGSTOP and SIGCONT
    HANG = "hang"
    FAIL = "fail"
    REJECT = "reject"
    CORRUPT = "corrupt"
    STALL = "stall"
    SLOW = "slow"
    RESET = "reset"  # resets all connections of an endpoint
    LOWER_LIMIT = "lower limit"
    DRAIN = "drain"
    DISCOVERY_SILENT = "discovery silent"
    FLOOD = "flood"  # clients that send many requests at once and disconnect
    CROWD = "crowd"  # many idle clients
    HALF_COMMANDS = "half commands"  # clients that send a partial command and stay connected
    BAD_COMMANDS = "bad commands"
    REPEAT_RESPONSES = "repeat responses"  # endpoints write a share of their responses again after a delay
    REPEAT_LISTS = "repeat lists"  # platforms do the same with lists and answers to notifications
    SURPLUS_BYTES = (
        "surplus bytes"  # endpoints write bytes that are no response after a share of their responses
    )
    LONG_RETRY_AFTER = (
        "long retry-after"  # a destination's limit lies below its load, with long retry-after times
    )
    SLOW_DISCOVERY = "slow discovery"  # a shared discovery service answers late
    PRESSURE = "pressure"  # clients that make the sender hold memory or spend time, of a drawn kind
    REPEATED_IDS = "repeated ids"  # delivered messages are submitted again under their ids
    RESTARTED_ENDPOINT = "restarted endpoint"  # a new process under the uid and address of one that has gone


SENDER_FAULTS = (
    FaultKind.STOP,
    FaultKind.KILL,
    FaultKind.KILL_AT_ACCEPT,
    FaultKind.KILL_TWICE,
    FaultKind.STOP_IN_START,
)
SIGNALS = (FaultKind.RELOAD, FaultKind.COUNTERS, FaultKind.HOLD_UP)
DESTINATION_FAULTS = (
    FaultKind.HANG,
    FaultKind.FAIL,
    FaultKind.REJECT,
    FaultKind.CORRUPT,
    FaultKind.STALL,
    FaultKind.SLOW,
    FaultKind.RESET,
    FaultKind.LOWER_LIMIT,
    FaultKind.DRAIN,
)
CLIENT_FAULTS = (
    FaultKind.FLOOD,
    FaultKind.CROWD,
    FaultKind.HALF_COMMANDS,
    FaultKind.BAD_COMMANDS,
    FaultKind.DISCOVERY_SILENT,
)
RESPONSE_FAULTS = (FaultKind.REPEAT_RESPONSES, FaultKind.REPEAT_LISTS, FaultKind.SURPLUS_BYTES)
SERVICE_FAULTS = (FaultKind.LONG_RETRY_AFTER, FaultKind.SLOW_DISCOVERY)
RESOURCE_FAULTS = (FaultKind.PRESSURE, FaultKind.REPEATED_IDS, FaultKind.RESTARTED_ENDPOINT)

# The longest delay of a repeated response, of which one is drawn.
REPEAT_DELAYS_S = (0.005, 0.025, 0.08, 0.2)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `target` is the index of a sender or of a destination, depending on the kind.

    Of a fault of responses, `share` is the share that is affected, and `delay_s` the longest delay of the bytes.
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float = 0.0
    count: int = 1
    share: float = 0.0
    delay_s: float = 0.0
    pressure: PressureKind = PressureKind.IDLE


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Everything that determines one run."""

    seed: int
    seconds: float
    senders: int
    settings: dict[str, Any]
    destinations: int
    endpoints_per_destination: int
    indented_lists: bool
    initial_idle_s: float
    """Initial period without load."""
    rate: float
    """Messages per second for each sender."""
    burst_at_s: float
    burst_size: int
    faults: tuple[Fault, ...]
    memory_mb: int = 192
    descriptors: int = 1024
    planted_fault: str = ""
    """A fault of the senders themselves, by its name in `planted_faults`; none if empty."""

    @property
    def limits(self) -> dict[str, float]:
        """Return the limits in the configuration of each sender."""
        return {"memory_mb": self.memory_mb, "sockets": self.descriptors, "disk_mb": DISK_MB}


def draw_plan(
    seed: int, seconds: float, senders: int | None = None, without: frozenset[int] = frozenset()
) -> SoakPlan:
    """Return the plan of a seed; `without` omits faults by number and changes nothing else."""
    rng = random.Random(f"soak {seed}")
    sender_count = rng.randint(1, 5)
    destinations = rng.randint(3, 6)
    initial_idle_s = rng.choice([0.0, 0.0, 0.0, 0.2]) * seconds
    all_faults = [
        *_draw_faults(rng, seconds, initial_idle_s, sender_count, destinations),
        # Drawn apart, so that the faults above are the same with and without these.
        *_draw_response_faults(random.Random(f"responses {seed}"), seconds, destinations),
    ]
    limits_rng = random.Random(f"limits {seed}")
    memory_mb, descriptors = limits_rng.choice(MEMORY_MB), limits_rng.choice(DESCRIPTORS)
    all_faults += _draw_resource_faults(limits_rng, seconds, sender_count, destinations, descriptors)
    all_faults.sort(key=lambda fault: fault.at_s)
    plan = SoakPlan(
        seed=seed,
        seconds=seconds,
        senders=sender_count,
        settings=_draw_settings(rng, sender_count),
        destinations=destinations,
        endpoints_per_destination=rng.randint(1, 3),
        indented_lists=rng.random() < 0.3,
        initial_idle_s=initial_idle_s,
        rate=rng.uniform(10.0, 40.0) / sender_count**0.5,
        burst_at_s=rng.uniform(0.3, 0.8) * seconds,
        burst_size=rng.randint(20, 80),
        faults=tuple(fault for number, fault in enumerate(all_faults) if number not in without),
        memory_mb=memory_mb,
        descriptors=descriptors,
    )
    if senders is None:
        return plan
    return replace(plan, senders=senders, settings=plan.settings | {"balancers": senders})


def _draw_settings(rng: random.Random, senders: int) -> dict[str, Any]:
    effects = [("safe", "idempotent"), ("keyed", "deduplicated"), ("unsafe", "at_most_once")]
    deadline_ms = rng.choice([2500.0, 4000.0, 6000.0])
    classes = [
        {
            "name": name,
            "idempotency": effect,
            "onTimeMs": deadline_ms / 4.0,
            "deadlineMs": deadline_ms,
            "importance": 1.0,
            "lateWorth": 0.5,
        }
        | ({"keyTtlMs": rng.choice([1000.0, 4000.0, 25_000.0])} if name == "keyed" else {})
        for name, effect in effects
    ]
    allowed = SETTINGS["allowed"] | {
        "mostHeld": rng.choice([40, 200, 600]),
        "tryLimit": rng.choice([3, 8]),
        "keepaliveMs": rng.choice([1000.0, 5000.0]),
    }
    return SETTINGS | {
        "allowed": allowed,
        "balancers": senders,
        "classes": classes,
        "discovery": rng.choice(["ask", "push"]),
        "domain": SETTINGS["domain"] | {"bundleMax": [rng.choice([1, 1, 5])], "slots": rng.choice([8, 60])},
        "safety": SETTINGS["safety"] | {"drainGraceMs": DRAIN_GRACE_MS},
    }


def _draw_faults(
    rng: random.Random, seconds: float, initial_idle_s: float, senders: int, destinations: int
) -> list[Fault]:
    begin_s, end_s = initial_idle_s + 0.1 * seconds, 0.75 * seconds
    faults = list[Fault]()

    def add(kind: FaultKind, target: int, duration_s: float = 0.0, count: int = 1) -> None:
        faults.append(Fault(rng.uniform(begin_s, end_s), kind, target, duration_s, count))

    for _ in range(rng.randint(1, 3)):
        add(rng.choice(SENDER_FAULTS), rng.randrange(senders), rng.uniform(0.02, 0.3), rng.randint(1, 3))
    for _ in range(rng.randint(1, 4)):
        add(rng.choice(SIGNALS), rng.randrange(senders), rng.uniform(0.02, 0.15), rng.randint(1, 4))
    for _ in range(rng.randint(2, 5)):
        add(rng.choice(DESTINATION_FAULTS), rng.randrange(destinations), rng.uniform(0.1, 0.4) * seconds)
    if rng.random() < 0.6:
        add(
            rng.choice(CLIENT_FAULTS),
            rng.randrange(senders),
            rng.uniform(0.1, 0.3) * seconds,
            rng.randint(5, 40),
        )
    return faults


def _draw_resource_faults(
    rng: random.Random, seconds: float, senders: int, destinations: int, descriptors: int
) -> list[Fault]:
    faults = list[Fault]()
    for _ in range(rng.randint(0, 2)):
        count = rng.randint(10, int(MAX_PRESSING_SHARE * descriptors))
        at_s, duration_s = rng.uniform(0.1, 0.6) * seconds, rng.uniform(0.1, 0.3) * seconds
        kind = rng.choice(list(PressureKind))
        faults.append(
            Fault(at_s, FaultKind.PRESSURE, rng.randrange(senders), duration_s, count, pressure=kind)
        )
    for _ in range(rng.randint(0, 3)):
        at_s = rng.uniform(0.3, 1.0) * seconds
        faults.append(Fault(at_s, FaultKind.REPEATED_IDS, rng.randrange(senders), count=rng.randint(5, 40)))
    for _ in range(rng.randint(0, 1)):
        at_s = rng.uniform(0.2, 0.7) * seconds
        faults.append(Fault(at_s, FaultKind.RESTARTED_ENDPOINT, rng.randrange(destinations)))
    return faults


def _draw_response_faults(rng: random.Random, seconds: float, destinations: int) -> list[Fault]:
    faults = list[Fault]()
    for kind in RESPONSE_FAULTS:
        begin_s = rng.uniform(0.0, 0.3) * seconds
        share, delay_s = rng.uniform(0.1, 0.5), rng.choice(REPEAT_DELAYS_S)
        if rng.random() < 0.4:
            faults.append(Fault(begin_s, kind, 0, seconds - begin_s, share=share, delay_s=delay_s))
    for kind in SERVICE_FAULTS:
        begin_s, duration_s = rng.uniform(0.1, 0.5) * seconds, rng.uniform(0.2, 0.5) * seconds
        target, delay_s = rng.randrange(destinations), rng.uniform(0.3, 1.5)
        if rng.random() < 0.25:
            faults.append(Fault(begin_s, kind, target, duration_s, delay_s=delay_s))
    return faults
