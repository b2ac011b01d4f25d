"""Translates the settings of an instance, nested JSON, into the settings of the decision module.

Shared by the simulator's adapter and the real sender; nothing is decided here.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

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
DEDUPLICATION_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.ZONE,
}
RATE_ACCURACY_BY_NAME = {
    "none": RateAccuracy.NONE,
    "nominal": RateAccuracy.EXACT,
    "rough": RateAccuracy.APPROXIMATE,
}
PRIORITY_DECAY_BY_NAME = {"line": PriorityDecay.LINEAR, "halves": PriorityDecay.HALVING}
MUST_POLL_BY_NAME = {"ask": True, "push": False}


class ParsedSettings(NamedTuple):
    """What an instance is set to.

    Attributes:
        settings: The settings of the decision module.
        load_report_fields: The names of the fields of a load report, in their order.
    """

    settings: Settings
    load_report_fields: tuple[str, ...]


def _invalid_setting(text: str) -> ValueError:
    """Return the error of a faulty setting.

    A plain `ValueError`, since the simulator's protocol carries the name of the type; the sender's configuration
    turns it into a `ConfigError`.
    """
    return ValueError(text)


class _Table:
    """An object of the file; an error names what is missing or wrong as it stands in the file."""

    def __init__(self, rows: Any, name: str = "settings", prefix: str = "") -> None:
        """Wrap `rows`, called `name` in errors; `prefix` goes before the names of its keys."""
        if not isinstance(rows, Mapping):
            raise _invalid_setting(f"{name} is not an object")
        self._rows: Mapping[str, Any] = rows
        self._prefix = prefix

    def get(self, path: str, *default: Any) -> Any:
        """Return a setting by its dotted name; without a default it is required."""
        value: Any = self._rows
        for part in path.split("."):
            if not isinstance(value, Mapping) or value.get(part) is None:
                if default:
                    return default[0]
                raise self._error(path, "is missing")
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
        """Return a finite number within its bounds."""
        value = self.get(path, *default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise self._error(path, f"is not a number: {value!r}")
        if value > maximum:
            raise self._error(path, f"is out of range: {value!r}, it has to be at most {maximum:g}")
        if value < minimum:
            raise self._error(path, f"is out of range: {value!r}, it has to be at least {minimum:g}")
        if value <= exclusive_minimum:
            raise self._error(path, f"is out of range: {value!r}, it has to be above {exclusive_minimum:g}")
        return float(value)

    def integer(self, path: str, *default: int, minimum: float) -> int:
        """Return a number that is at least `minimum`, without its fraction."""
        return int(self.number(path, *default, minimum=minimum))

    def choice(self, path: str, choices: Mapping[str, Any], *default: str) -> Any:
        """Return what one of a few names stands for."""
        value = self.get(path, *default)
        if not isinstance(value, str) or value not in choices:
            raise self._error(path, f"is unknown: {value!r}, it has to be one of {', '.join(choices)}")
        return choices[value]

    def boolean(self, path: str) -> bool:
        """Return true or false, also for 1 or 0; false where the key is missing."""
        return bool(self._checked(path, self.get(path, False), int, "true or false"))

    def text(self, path: str, *default: str) -> str:
        """Return any text."""
        return str(self._checked(path, self.get(path, *default), str, "text"))

    def list_of(self, path: str, item_type: Any, description: str, *default: Any) -> list[Any]:
        """Return a list whose entries are all of `item_type`, which errors call `description`."""
        items = self._checked(path, self.get(path, *default), list, f"a list of {description}")
        return [self._checked(path, item, item_type, f"a list of {description}") for item in items]

    def _checked(self, path: str, value: Any, expected_type: Any, description: str) -> Any:
        if not isinstance(value, expected_type):
            raise self._error(path, f"is not {description}: {value!r}")
        return value

    def _error(self, path: str, text: str) -> ValueError:
        return _invalid_setting(f"setting {self._prefix}{path} {text}")


def parse_settings(rows: Any) -> ParsedSettings:
    """Return the settings of an instance; unknown keys are skipped.

    Raises:
        ValueError: A setting is missing or cannot be used; the text names it.
    """
    # The order of the checks decides which of several faults is named.
    table = _Table(rows)
    kinds = _parse_kinds(table)
    zone_costs = _parse_zone_costs(table)
    load_report_fields = tuple(table.list_of("telemetry.fields", str, "names", []))
    must_poll = table.choice("discovery", MUST_POLL_BY_NAME, "push")
    load_reports = bool(load_report_fields) and table.get("telemetry.how", "") == "answers"
    settings = _build_settings(table, kinds, zone_costs, must_poll, load_reports)
    return ParsedSettings(settings, load_report_fields)


def _build_settings(
    table: _Table,
    kinds: dict[str, KindSettings],
    zone_costs: dict[str, float],
    must_poll: bool,
    load_reports: bool,
) -> Settings:
    return Settings(
        classes=_parse_classes(table),
        kinds=kinds,
        safety=_parse_safety_limits(table, must_poll),
        concurrency_limit=table.integer("domain.slots", minimum=1),
        queue_capacity=table.integer("allowed.mostHeld", minimum=1),
        max_attempts=table.integer("allowed.tryLimit", minimum=1),
        sender_count=table.integer("balancers", minimum=1),
        zone=table.text("zone", ""),
        zone_costs=zone_costs,
        priority_decay=table.choice("domain.late", PRIORITY_DECAY_BY_NAME, "line"),
        rate_accuracy=table.choice("weights", RATE_ACCURACY_BY_NAME, "none"),
        must_poll=must_poll,
        may_cancel=table.boolean("allowed.cancel"),
        advises_retry_after=table.boolean("allowed.retryAfter"),
        max_retry_after_ms=table.number("allowed.maxRetryAfterMs", 0.0, minimum=0),
        keepalive_ms=table.number("allowed.keepaliveMs", 15000.0, minimum=0),
        connect_timeout_ms=table.number("allowed.connectTimeoutMs", 1000.0, minimum=0),
        requests_per_connection=table.integer("allowed.multiplex", 1, minimum=1),
        load_reports=load_reports,
    )


def _parse_kinds(table: _Table) -> dict[str, KindSettings]:
    """Return each kind of endpoint; where a row is short, its last entry serves for the rest of the kinds."""
    kinds = table.list_of("kinds", str, "names")
    independent_endpoints = table.list_of("domain.routesApart", int, "true or false", []) or [False]
    batch_limits = table.list_of("domain.bundleMax", int | float, "numbers", [])
    max_batch_sizes = [int(limit) for limit in batch_limits] or [1]
    if min(max_batch_sizes) < 1:
        raise _invalid_setting(
            f"setting domain.bundleMax is out of range: {max_batch_sizes!r}, each has to be at least 1"
        )
    return {
        kind: KindSettings(
            bool(independent_endpoints[min(index, len(independent_endpoints) - 1)]),
            max_batch_sizes[min(index, len(max_batch_sizes) - 1)],
        )
        for index, kind in enumerate(kinds)
    }


def _parse_zone_costs(table: _Table) -> dict[str, float]:
    zones = table.list_of("dcs", str, "names", [])
    costs = table.list_of("domain.zoneFee", int | float, "numbers", [])
    return dict(zip(zones, costs, strict=False))


def _parse_classes(table: _Table) -> dict[str, ClassSettings]:
    return dict(_parse_class(row) for row in table.list_of("classes", object, "classes"))


def _parse_class(row: Any) -> tuple[str, ClassSettings]:
    name = _Table(row, "an entry of setting classes", "classes.").text("name")
    table = _Table(row, prefix=f"classes.{name}.")
    idempotency = table.choice("idempotency", IDEMPOTENCY_BY_NAME)
    # The window is required where keys deduplicate.  0 is legal: never retried once it may have executed.
    default_window_ms = [] if idempotency is Idempotency.KEYED else [0.0]
    return name, ClassSettings(
        latency_objective_ms=table.number("onTimeMs", exclusive_minimum=0),
        deadline_ms=table.number("deadlineMs", exclusive_minimum=0),
        idempotency=idempotency,
        deduplication_scope=table.choice("group", DEDUPLICATION_SCOPE_BY_NAME, "all"),
        deduplication_window_ms=table.number("keyTtlMs", *default_window_ms, minimum=0),
        in_order=table.boolean("inOrder"),
        priority_weight=table.number("importance", 1.0),
        late_priority_weight=table.number("lateWorth", 0.0),
    )


def _parse_safety_limits(table: _Table, must_poll: bool) -> SafetyLimits:
    return SafetyLimits(
        answer_slack_ms=table.number("safety.answerSlackMs", minimum=0),
        drain_grace_ms=table.number("safety.drainGraceMs", minimum=0),
        cold_start_share=table.number("safety.coldShare", exclusive_minimum=0, maximum=1),
        warm_up_ms=table.number("safety.warmAfterMs", minimum=0),
        overload_factor=table.number("safety.overloadFactor", exclusive_minimum=0),
        overload_window_ms=table.number("safety.tipAfterMs", exclusive_minimum=0),
        poll_interval_ms=_parse_poll_interval_ms(table, must_poll),
        settle_ms=table.number("safety.settleAfterDoubtMs", 0.0, minimum=0),
    )


def _parse_poll_interval_ms(table: _Table, must_poll: bool) -> float:
    """Return the interval of polls, which is required only where the endpoint list is polled."""
    if must_poll:
        return table.number("safety.askEveryMs", exclusive_minimum=0)
    return table.number("safety.askEveryMs", 0.0)
