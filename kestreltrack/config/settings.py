"""The settings that an instance is given, as nested JSON, to the settings of the decision module.

Shared by the simulator's adapter and the real sender; nothing is decided here.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

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

IDEMPOTENCY_BY_NAME = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.NOT_IDEMPOTENT,
}
RATE_ACCURACY_BY_NAME = {
    "none": RateAccuracy.NONE,
    "nominal": RateAccuracy.EXACT,
    "rough": RateAccuracy.APPROXIMATE,
}


class _Table:
    """An object of the file; what is missing or wrong is named as it stands there."""

    def __init__(self, rows: Any, name: str = "settings", prefix: str = "") -> None:
        """`prefix` goes before the names of its keys."""
        if not isinstance(rows, Mapping):
            raise ValueError(f"{name} is not an object")
        self._rows, self._prefix = rows, prefix

    def get(self, path: str, *default: Any) -> Any:
        """A setting by its dotted name; without a default it is required."""
        value: Any = self._rows
        for part in path.split("."):
            if not isinstance(value, Mapping) or value.get(part) is None:
                if default:
                    return default[0]
                raise ValueError(f"setting {self._prefix}{path} is missing")
            value = value[part]
        return value

    def number(
        self,
        path: str,
        *default: float,
        minimum: float = -math.inf,
        exclusive_minimum: float = -math.inf,
        maximum: float = math.inf,
    ) -> float:
        """A number within its bounds."""
        value = self.get(path, *default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"setting {self._prefix}{path} is not a number: {value!r}")
        if value < minimum or value <= exclusive_minimum or value > maximum:
            lower = f"at least {minimum:g}" if value < minimum else f"above {exclusive_minimum:g}"
            bound = f"at most {maximum:g}" if value > maximum else lower
            raise ValueError(f"setting {self._prefix}{path} is out of range: {value!r}, it has to be {bound}")
        return float(value)

    def choice(self, path: str, choices: Mapping[str, Any], *default: str) -> Any:
        """What one of a few words stands for."""
        value = self.get(path, *default)
        if not isinstance(value, str) or value not in choices:
            known = ", ".join(choices)
            raise ValueError(
                f"setting {self._prefix}{path} is unknown: {value!r}, it has to be one of {known}"
            )
        return choices[value]

    def boolean(self, path: str) -> bool:
        """Yes or no, also as 1 or 0; no where it is missing."""
        return bool(self._checked(path, self.get(path, False), int, "true or false"))

    def text(self, path: str, *default: str) -> str:
        """Any text."""
        return str(self._checked(path, self.get(path, *default), str, "text"))

    def list_of(self, path: str, item_type: Any, description: str, *default: Any) -> list[Any]:
        """A list of one kind of thing."""
        value = self._checked(path, self.get(path, *default), list, f"a list of {description}")
        return [self._checked(path, each, item_type, f"a list of {description}") for each in value]

    def _checked(self, path: str, value: Any, expected_type: Any, description: str) -> Any:
        if not isinstance(value, expected_type):
            raise ValueError(f"setting {self._prefix}{path} is not {description}: {value!r}")
        return value


def _parse_class(row: Any) -> tuple[str, ClassSettings]:
    name = _Table(row, "an entry of setting classes", "classes.").text("name")
    table = _Table(row, prefix=f"classes.{name}.")
    effect = table.choice("idempotency", IDEMPOTENCY_BY_NAME)
    return name, ClassSettings(
        latency_objective_ms=table.number("onTimeMs", exclusive_minimum=0),
        deadline_ms=table.number("deadlineMs", exclusive_minimum=0),
        idempotency=effect,
        deduplication_scope=table.choice(
            "group",
            {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.ZONE},
            "all",
        ),
        # 0 is legal: never repeated once it may have run.
        deduplication_window_ms=table.number(
            "keyTtlMs", *([] if effect is Idempotency.KEYED else [0.0]), minimum=0
        ),
        in_order=table.boolean("inOrder"),
        priority_weight=table.number("importance", 1.0),
        late_priority_weight=table.number("lateWorth", 0.0),
    )


def parse_settings(rows: Any) -> tuple[Settings, tuple[str, ...]]:
    """The settings of an instance, and the names of its report fields; unknown keys are skipped."""
    table = _Table(rows)
    kinds = table.list_of("kinds", str, "names")
    apart = table.list_of("domain.routesApart", int, "true or false", []) or [False]
    batch = [int(most) for most in table.list_of("domain.bundleMax", int | float, "numbers", [])] or [1]
    if min(batch) < 1:
        raise ValueError(f"setting domain.bundleMax is out of range: {batch!r}, each has to be at least 1")
    zones, fees = (
        table.list_of("dcs", str, "names", []),
        table.list_of("domain.zoneFee", int | float, "numbers", []),
    )
    fields = tuple(table.list_of("telemetry.fields", str, "names", []))
    must_ask = table.choice("discovery", {"ask": True, "push": False}, "push")
    built = Settings(
        classes=dict(map(_parse_class, table.list_of("classes", object, "classes"))),
        kinds={
            kind: KindSettings(bool(apart[min(i, len(apart) - 1)]), batch[min(i, len(batch) - 1)])
            for i, kind in enumerate(kinds)  # where a row is short, its last entry serves for the rest
        },
        safety=SafetyLimits(
            answer_slack_ms=table.number("safety.answerSlackMs", minimum=0),
            drain_grace_ms=table.number("safety.drainGraceMs", minimum=0),
            cold_start_share=table.number("safety.coldShare", exclusive_minimum=0, maximum=1),
            warm_up_ms=table.number("safety.warmAfterMs", minimum=0),
            overload_factor=table.number("safety.overloadFactor", exclusive_minimum=0),
            overload_window_ms=table.number("safety.tipAfterMs", exclusive_minimum=0),
            poll_interval_ms=table.number("safety.askEveryMs", exclusive_minimum=0)
            if must_ask
            else table.number("safety.askEveryMs", 0.0),
            settle_ms=table.number("safety.settleAfterDoubtMs", 0.0, minimum=0),
        ),
        concurrency_limit=int(table.number("domain.slots", minimum=1)),
        queue_capacity=int(table.number("allowed.mostHeld", minimum=1)),
        max_attempts=int(table.number("allowed.tryLimit", minimum=1)),
        sender_count=int(table.number("balancers", minimum=1)),
        zone=table.text("zone", ""),
        zone_costs=dict(zip(zones, fees, strict=False)),
        priority_decay=table.choice(
            "domain.late", {"line": PriorityDecay.LINEAR, "halves": PriorityDecay.HALVING}, "line"
        ),
        rate_accuracy=table.choice("weights", RATE_ACCURACY_BY_NAME, "none"),
        must_poll=must_ask,
        may_cancel=table.boolean("allowed.cancel"),
        advises_retry_after=table.boolean("allowed.retryAfter"),
        max_retry_after_ms=table.number("allowed.maxRetryAfterMs", 0.0, minimum=0),
        keepalive_ms=table.number("allowed.keepaliveMs", 15000.0, minimum=0),
        connect_timeout_ms=table.number("allowed.connectTimeoutMs", 1000.0, minimum=0),
        requests_per_connection=int(table.number("allowed.multiplex", 1, minimum=1)),
        load_reports=bool(fields) and table.get("telemetry.how", "") == "answers",
    )
    return built, fields
