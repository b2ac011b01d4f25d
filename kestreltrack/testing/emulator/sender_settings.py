"""Derives the settings of the senders from a scenario."""

from __future__ import annotations

from collections.abc import Mapping

from kestreltrack.decision import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    KindSettings,
    PriorityDecay,
    RateAccuracy,
    SafetyLimits,
    Settings,
)
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler, bounds
from kestreltrack.testing.emulator.scenario import MessageClassTable, Scenario

IDEMPOTENCY_OF_EFFECT = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
POLL_INTERVAL_MS = 4000.0

# Mean network time of an attempt, in addition to its work: a round trip at typical delays.
MEAN_NETWORK_MS = 60.0


def build_settings(
    scenario: Scenario,
    random_streams: RandomStreams,
    mean_work_ms: Mapping[str, float],
    sender_count: int,
) -> Settings:
    """Return the settings of the first sender of a scenario; other senders differ in their zone.

    `mean_work_ms` is the mean work of a message by class, `sender_count` the number of senders that each sender
    assumes to share each limit.
    """
    fleet = scenario.fleet
    rate_per_s = scenario.load.full / fleet.senders
    mean_duration_ms = sum(cls.share * mean_work_ms[cls.name] for cls in scenario.cls) + MEAN_NETWORK_MS
    rng = random_streams.generator("fleet")
    slots_factor = Sampler(fleet.slots_room, rng)()
    queue_s = Sampler(fleet.hold_s, rng)()
    return Settings(
        classes={cls.name: _class_settings(cls) for cls in scenario.cls},
        kinds={kind.name: KindSettings(kind.routes == "apart", kind.batch) for kind in scenario.kind},
        safety=_safety_limits(scenario),
        concurrency_limit=max(
            fleet.least_slots, round(rate_per_s * mean_duration_ms / 1000.0 * slots_factor)
        ),
        queue_capacity=max(fleet.least_hold, round(rate_per_s * queue_s)),
        max_attempts=fleet.try_limit,
        sender_count=sender_count,
        zone=fleet.zones[0],
        zone_costs=dict(zip(fleet.zones, fleet.zone_fees, strict=False)),
        priority_decay=PriorityDecay(scenario.worth.decay),
        rate_accuracy=RateAccuracy(scenario.knows.weights),
        must_poll=not scenario.directory.pushed,
        may_cancel=True,
        advises_retry_after=True,
        max_retry_after_ms=fleet.max_wait_ms,
        keepalive_ms=scenario.net.keepalive_s * 1000.0,
        connect_timeout_ms=scenario.net.connect_ms,
        load_reports=scenario.knows.reports,
    )


def _class_settings(cls: MessageClassTable) -> ClassSettings:
    return ClassSettings(
        cls.aim_ms,
        cls.deadline_ms,
        IDEMPOTENCY_OF_EFFECT[cls.effect],
        deduplication_window_ms=cls.key_window_ms,
        deduplication_scope=DeduplicationScope(cls.scope),
        in_order=cls.in_order,
        priority_weight=cls.worth,
        late_priority_weight=cls.late_worth,
    )


def _safety_limits(scenario: Scenario) -> SafetyLimits:
    """Return the safety limits, with the lowest cold-start share and the longest warm-up of all destination kinds."""
    rules = scenario.rules
    return SafetyLimits(
        rules.answer_slack_ms,
        rules.drain_grace_ms,
        min(bounds(kind.cold_from)[0] for kind in scenario.kind),
        1000.0 * max(bounds(kind.cold_s)[1] for kind in scenario.kind),
        rules.fall_multiple,
        rules.fall_ms,
        POLL_INTERVAL_MS,
        rules.settle_ms,
    )
