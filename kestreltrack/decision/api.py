"""The typed interface of the decision module: settings, events, actions and outcomes.

Nothing here decides anything.  Times are milliseconds of one clock that only goes forward; the caller
supplies it with every step.  Names of classes, kinds, zones and endpoints are opaque text.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a message may do at its destination."""

    SAFE = "safe"  # repeating is harmless
    KEYED = "keyed"  # the destination drops repeats for a while
    UNSAFE = "unsafe"  # must never take effect twice


class Scope(Enum):
    """Which endpoints of a destination remember a keyed message."""

    ALL = "all"
    ZONE = "zone"


class Decay(Enum):
    """How a message loses worth after its aim."""

    LINE = "line"
    HALVES = "halves"


class Weights(Enum):
    """What the rate figure of a listed endpoint means."""

    NONE = "none"
    EXACT = "exact"
    ROUGH = "rough"


class Lifecycle(Enum):
    """State of an endpoint on the list; it tells nothing of its health."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; it may have run
    REFUSED = "refused"  # turned away unseen; it never ran
    TIMED_OUT = "timed out"  # no answer in time; it may still run
    UNREACHABLE = "unreachable"  # no connection; it never ran
    BROKEN = "broken"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # called off; it may still run
    NOT_SENT = "not sent"  # never left this relay

    def may_have_run(self) -> bool:
        """Whether the attempt may have taken effect."""
        return self not in (Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of messages."""

    aim_ms: float
    deadline_ms: float
    effect: Effect
    scope: Scope = Scope.ALL
    key_window_ms: float = 0.0
    in_order: bool = False
    worth: float = 1.0
    late_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class KindSettings:
    """One kind of destination."""

    routes_apart: bool = False
    batch: int = 1


@dataclass(frozen=True, slots=True)
class Safety:
    """The figures of the rules."""

    answer_slack_ms: float
    drain_grace_ms: float
    cold_share: float
    warm_after_ms: float
    overload_factor: float
    tip_after_ms: float
    ask_every_ms: float = 0.0
    settle_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a relay is told at its start."""

    classes: Mapping[str, ClassSettings]
    kinds: Mapping[str, KindSettings]
    safety: Safety
    slots: int
    hold: int
    try_limit: int
    relays: int
    zone: str = ""
    zone_fees: Mapping[str, float] = field(default_factory=dict)
    decay: Decay = Decay.LINE
    weights: Weights = Weights.NONE
    must_ask: bool = False
    may_cancel: bool = False
    advises_wait: bool = False
    max_wait_ms: float = 0.0
    keepalive_ms: float = 15000.0
    connect_ms: float = 1000.0
    multiplex: int = 1
    reports: bool = False  # answers of endpoints tell of their limit

    def __post_init__(self) -> None:
        """Refuse settings that no sound decision can rest on, naming the one at fault."""
        s = self.safety
        checks = {
            "classes": bool(self.classes),
            "slots": self.slots >= 1,
            "hold": self.hold >= 1,
            "try_limit": self.try_limit >= 1,
            "relays": self.relays >= 1,
            "multiplex": self.multiplex >= 1,
            "max_wait_ms": self.max_wait_ms >= 0,
            "safety.answer_slack_ms": s.answer_slack_ms >= 0,
            "safety.drain_grace_ms": s.drain_grace_ms >= 0,
            "safety.cold_share": 0 < s.cold_share <= 1,
            "safety.warm_after_ms": s.warm_after_ms >= 0,
            "safety.overload_factor": s.overload_factor > 0,
            "safety.tip_after_ms": s.tip_after_ms > 0,
            "safety.settle_ms": s.settle_ms >= 0,
            "safety.ask_every_ms": s.ask_every_ms > 0 or not self.must_ask,
        }
        for name, cls in self.classes.items():
            checks[f"classes.{name}.aim_ms"] = cls.aim_ms > 0
            checks[f"classes.{name}.deadline_ms"] = cls.deadline_ms > 0
            checks[f"classes.{name}.key_window_ms"] = cls.key_window_ms >= 0 or cls.effect is not Effect.KEYED
        for name, kind in self.kinds.items():
            checks[f"kinds.{name}.batch"] = kind.batch >= 1
        for setting, sound in checks.items():
            if not sound:
                raise ValueError(f"setting {setting} is missing or out of range")


# Events ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Listed:
    """One entry of the list of endpoints."""

    endpoint: str
    dest: int
    kind: str
    zone: str = ""
    lifecycle: Lifecycle = Lifecycle.UP
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class ListNews:
    """The whole list (what is not in it is gone) or the entries that changed."""

    entries: Sequence[Listed]
    whole: bool
    remembered: bool = False


@dataclass(frozen=True, slots=True)
class ListFailed:
    """A call to the directory failed, or a subscription broke."""


@dataclass(frozen=True, slots=True)
class Arrived:
    """A message was handed in, or is still held after a restart; a final answer is owed before ``expires``.

    ``taken``: it was taken on by the process before a restart, or by one whose messages are adopted, and is not
    turned away.  Then ``tries`` counts its attempts so far; ``doubt`` and ``doubt_zone`` tell when and where the
    first of them went that may have run.
    """

    id: str
    dest: int
    cls: str
    expires: float
    key: int | None = None
    tenant: str | None = None
    tries: int = 0
    doubt: float | None = None
    doubt_zone: str = ""
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """The single outcome of one attempt."""

    id: str
    attempt: int
    endpoint: str
    outcome: Outcome
    took_ms: float
    over: bool
    wait_ms: float = 0.0
    left: float | None = None  # share of the limit that is left
    limit: float | None = None  # calls a second that the limit allows
    stale: bool = False  # it broke on a connection kept from an earlier call, which may have ended on its own
    counted: bool = True  # against the try limit: not so where it never left here


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client took the message back; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by a ``Wake`` has fallen due."""

    token: int


@dataclass(frozen=True, slots=True)
class Stopping:
    """The relay stops: an attempt that has not ended by then may run with nobody to hear of it."""

    ends: float


@dataclass(frozen=True, slots=True)
class Sharing:
    """So many relays, this one among them, share each destination's limit from now on."""

    relays: int


@dataclass(frozen=True, slots=True)
class WaitHeard:
    """Another caller of a destination (the other process of this sender, or another sender) was told to wait.

    ``until`` is on this clock.  It binds all endpoints of the destination, also where routes are apart.  ``refused``:
    it counts like a call from here that was refused, as that of the other process does; else it is but a wait.
    """

    dest: int
    until: float
    refused: bool = True


@dataclass(frozen=True, slots=True)
class Granted:
    """The fleet shares the cold budget of a destination: ``share`` of it is this sender's until ``until``.

    While the destination is out, a share over 0 is the right to one trial, and without one none goes.  Where it is
    over and no other came, the sender is by itself again.
    """

    dest: int
    share: float
    until: float


@dataclass(frozen=True, slots=True)
class Found:
    """What the fleet holds of a destination, by an answer or a failure of ``at``; ``since`` when it is up again.

    Whoever has newer evidence of its own goes by that.  All times are on this clock.
    """

    dest: int
    up: bool
    at: float
    since: float


Event = (
    ListNews
    | ListFailed
    | Arrived
    | Ended
    | Withdrawn
    | TimerDue
    | Stopping
    | Sharing
    | WaitHeard
    | Granted
    | Found
)

# Actions -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with the message."""

    id: str
    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: handed back; trying again is harmless."""

    id: str
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise."""

    id: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask for a ``TimerDue`` after so many milliseconds."""

    after_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask the directory for changes from now on."""


@dataclass(frozen=True, slots=True)
class Unlink:
    """Close the idle connections to an endpoint."""

    endpoint: str


Action = Send | Cancel | Refuse | Fail | Wake | Subscribe | Unlink
