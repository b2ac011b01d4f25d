"""The settings that an instance is given, as nested JSON, to the settings of the decision module.

Shared by the simulator's adapter and the real sender; nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from kestreltrack.decision.api import (
    ClassSettings,
    Decay,
    Effect,
    KindSettings,
    Safety,
    Scope,
    Settings,
    Weights,
)

EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
WEIGHTS = {"none": Weights.NONE, "nominal": Weights.EXACT, "rough": Weights.ROUGH}


def _get(table: Mapping[str, Any], path: str, *default: Any) -> Any:
    """A setting by its dotted name; without a default it is required."""
    value: Any = table
    for part in path.split("."):
        if not isinstance(value, Mapping) or value.get(part) is None:
            if default:
                return default[0]
            raise ValueError(f"setting {path} is missing")
        value = value[part]
    return value


def _num(table: Mapping[str, Any], path: str, *default: float) -> float:
    value = _get(table, path, *default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise ValueError(f"setting {path} is not a number: {value!r}")
    return float(value)


def _word(table: Mapping[str, Any], path: str, words: Mapping[str, Any], *default: str) -> Any:
    value = _get(table, path, *default)
    if not isinstance(value, str) or value not in words:
        raise ValueError(f"setting {path} is unknown: {value!r}")
    return words[value]


def _class(row: Mapping[str, Any]) -> ClassSettings:
    return ClassSettings(
        aim_ms=_num(row, "onTimeMs"),
        deadline_ms=_num(row, "deadlineMs"),
        effect=_word(row, "idempotency", EFFECTS),
        scope=_word(row, "group", {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.ZONE}, "all"),
        key_window_ms=_num(row, "keyTtlMs", 0.0),
        in_order=bool(_get(row, "inOrder", False)),
        worth=_num(row, "importance", 1.0),
        late_worth=_num(row, "lateWorth", 0.0),
    )


def settings(table: Any) -> tuple[Settings, tuple[str, ...]]:
    """The settings of an instance, and the names of its report fields; unknown keys are skipped."""
    if not isinstance(table, dict):
        raise ValueError("settings is not an object")
    kinds = _get(table, "kinds")
    apart = _get(table, "domain.routesApart", None) or [False]
    batch = _get(table, "domain.bundleMax", None) or [1]
    zones = _get(table, "dcs", [])
    fields = tuple(_get(table, "telemetry.fields", []))
    built = Settings(
        classes={_get(row, "name"): _class(row) for row in _get(table, "classes")},
        kinds={
            kind: KindSettings(bool(apart[min(i, len(apart) - 1)]), int(batch[min(i, len(batch) - 1)]))
            for i, kind in enumerate(kinds)  # where a row is short, its last entry serves for the rest
        },
        safety=Safety(
            answer_slack_ms=_num(table, "safety.answerSlackMs"),
            drain_grace_ms=_num(table, "safety.drainGraceMs"),
            cold_share=_num(table, "safety.coldShare"),
            warm_after_ms=_num(table, "safety.warmAfterMs"),
            overload_factor=_num(table, "safety.overloadFactor"),
            tip_after_ms=_num(table, "safety.tipAfterMs"),
            ask_every_ms=_num(table, "safety.askEveryMs", 0.0),
            settle_ms=_num(table, "safety.settleAfterDoubtMs", 0.0),
        ),
        slots=int(_num(table, "domain.slots")),
        hold=int(_num(table, "allowed.mostHeld")),
        try_limit=int(_num(table, "allowed.tryLimit")),
        relays=int(_num(table, "balancers")),
        zone=_get(table, "zone", ""),
        zone_fees=dict(zip(zones, _get(table, "domain.zoneFee", []), strict=False)),
        decay=_word(table, "domain.late", {"line": Decay.LINE, "halves": Decay.HALVES}, "line"),
        weights=_word(table, "weights", WEIGHTS, "none"),
        must_ask=_get(table, "discovery", "push") == "ask",
        may_cancel=bool(_get(table, "allowed.cancel", False)),
        advises_wait=bool(_get(table, "allowed.retryAfter", False)),
        max_wait_ms=_num(table, "allowed.maxRetryAfterMs", 0.0),
        keepalive_ms=_num(table, "allowed.keepaliveMs", 15000.0),
        connect_ms=_num(table, "allowed.connectTimeoutMs", 1000.0),
        multiplex=int(_num(table, "allowed.multiplex", 1)),
        reports=bool(fields) and _get(table, "telemetry.how", "") == "answers",
    )
    return built, fields
