"""The settings of the decision module.

Times are milliseconds. Names of classes, kinds and zones are opaque text.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a message may do at its destination."""

    IDEMPOTENT = "safe"  # repeating is harmless
    KEYED = "keyed"  # the destination drops repeats for a while
    NOT_IDEMPOTENT = "unsafe"  # must never take effect twice


class DeduplicationScope(Enum):
    """Which endpoints of a destination remember the idempotency key of a message."""

    ALL = "all"
    ZONE = "zone"


class PriorityDecay(Enum):
    """How a message loses priority weight after its latency objective."""

    LINEAR = "line"
    HALVING = "halves"


class RateAccuracy(Enum):
    """What the rate figure of a listed endpoint means."""

    NONE = "none"
    EXACT = "exact"
    APPROXIMATE = "rough"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of messages."""

    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    in_order: bool = False
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class KindSettings:
    """One kind of destination."""

    independent_endpoints: bool = False
    max_batch_size: int = 1


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The limits that the safety rules set; times are milliseconds."""

    answer_slack_ms: float
    drain_grace_ms: float
    cold_start_share: float
    warm_up_ms: float
    overload_factor: float
    overload_window_ms: float
    poll_interval_ms: float = 0.0
    settle_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of the decision module of one sender."""

    classes: Mapping[str, ClassSettings]
    kinds: Mapping[str, KindSettings]
    safety: SafetyLimits
    concurrency_limit: int
    queue_capacity: int
    max_attempts: int
    sender_count: int
    zone: str = ""
    zone_costs: Mapping[str, float] = field(default_factory=dict)
    priority_decay: PriorityDecay = PriorityDecay.LINEAR
    rate_accuracy: RateAccuracy = RateAccuracy.NONE
    must_poll: bool = False
    may_cancel: bool = False
    advises_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    keepalive_ms: float = 15000.0
    connect_timeout_ms: float = 1000.0
    requests_per_connection: int = 1
    load_reports: bool = False  # answers of endpoints report their limit

    def __post_init__(self) -> None:
        """Check the ranges; raises `ValueError` that names the setting at fault."""
        s = self.safety
        checks = {
            "classes": bool(self.classes),
            "slots": self.concurrency_limit >= 1,
            "hold": self.queue_capacity >= 1,
            "try_limit": self.max_attempts >= 1,
            "relays": self.sender_count >= 1,
            "multiplex": self.requests_per_connection >= 1,
            "max_wait_ms": self.max_retry_after_ms >= 0,
            "safety.answer_slack_ms": s.answer_slack_ms >= 0,
            "safety.drain_grace_ms": s.drain_grace_ms >= 0,
            "safety.cold_share": 0 < s.cold_start_share <= 1,
            "safety.warm_after_ms": s.warm_up_ms >= 0,
            "safety.overload_factor": s.overload_factor > 0,
            "safety.tip_after_ms": s.overload_window_ms > 0,
            "safety.settle_ms": s.settle_ms >= 0,
            "safety.ask_every_ms": s.poll_interval_ms > 0 or not self.must_poll,
        }
        for name, cls in self.classes.items():
            checks[f"classes.{name}.aim_ms"] = cls.latency_objective_ms > 0
            checks[f"classes.{name}.deadline_ms"] = cls.deadline_ms > 0
            checks[f"classes.{name}.key_window_ms"] = (
                cls.deduplication_window_ms >= 0 or cls.idempotency is not Idempotency.KEYED
            )
        for name, kind in self.kinds.items():
            checks[f"kinds.{name}.batch"] = kind.max_batch_size >= 1
        for setting, sound in checks.items():
            if not sound:
                raise ValueError(f"setting {setting} is missing or out of range")
