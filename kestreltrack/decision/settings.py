"""The settings of the decision module.

Times are in milliseconds. The names of classes, kinds and zones are opaque strings.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether the destination may execute a message a second time."""

    IDEMPOTENT = "safe"  # repeating is harmless
    KEYED = "keyed"  # the destination drops repeats within the deduplication window
    NOT_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """Which endpoints of a destination remember the idempotency key of a message."""

    ALL = "all"
    ZONE = "zone"


class PriorityDecay(Enum):
    """How the priority weight of a message decays after its latency objective."""

    LINEAR = "line"
    HALVING = "halves"


class RateAccuracy(Enum):
    """What the rate of an entry of the endpoint list means."""

    NONE = "none"
    EXACT = "exact"
    APPROXIMATE = "rough"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of one class of messages."""

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
    """The settings of one kind of destination."""

    independent_endpoints: bool = False
    max_batch_size: int = 1


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The limits that the safety rules set."""

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
    load_reports: bool = False  # endpoints report their limit with their answers

    def __post_init__(self) -> None:
        """Check the ranges; raises a `ValueError` that names the invalid setting."""
        safety = self.safety
        checks = {
            "classes": bool(self.classes),
            "slots": self.concurrency_limit >= 1,
            "hold": self.queue_capacity >= 1,
            "try_limit": self.max_attempts >= 1,
            "relays": self.sender_count >= 1,
            "multiplex": self.requests_per_connection >= 1,
            "max_wait_ms": self.max_retry_after_ms >= 0,
            "safety.answer_slack_ms": safety.answer_slack_ms >= 0,
            "safety.drain_grace_ms": safety.drain_grace_ms >= 0,
            "safety.cold_share": 0 < safety.cold_start_share <= 1,
            "safety.warm_after_ms": safety.warm_up_ms >= 0,
            "safety.overload_factor": safety.overload_factor > 0,
            "safety.tip_after_ms": safety.overload_window_ms > 0,
            "safety.settle_ms": safety.settle_ms >= 0,
            "safety.ask_every_ms": safety.poll_interval_ms > 0 or not self.must_poll,
        }
        for name, cls in self.classes.items():
            checks[f"classes.{name}.aim_ms"] = cls.latency_objective_ms > 0
            checks[f"classes.{name}.deadline_ms"] = cls.deadline_ms > 0
            checks[f"classes.{name}.key_window_ms"] = (
                cls.deduplication_window_ms >= 0 or cls.idempotency is not Idempotency.KEYED
            )
        for name, kind in self.kinds.items():
            checks[f"kinds.{name}.batch"] = kind.max_batch_size >= 1
        for setting, valid in checks.items():
            if not valid:
                raise ValueError(f"setting {setting} is missing or out of range")
