"""Converts the settings of an instance, a nested JSON document, to the settings of the decision module.

Used by both the simulator's adapter and the sender process.
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
    """The settings of an instance.

    Attributes:
        settings: The settings of the decision module.
        load_report_fields: The field names of a load report, in order.
    """

    settings: Settings
    load_report_fields: tuple[str, ...]


def _invalid_setting(text: str) -> ValueError:
    """Return the error for an invalid setting.

    It is a plain `ValueError`, because the simulator's protocol transmits the name of the type; `config.sender`
    converts it to a `ConfigError`.
    """
    return ValueError(text)


class _Table:
    """A JSON object whose values are validated when they are read; errors name the key as written in the file."""

    def __init__(self, values: Any, name: str = "settings", prefix: str = "") -> None:
        """Wrap `values`; errors call it `name` and put `prefix` before its keys."""
        if not isinstance(values, Mapping):
            raise _invalid_setting(f"{name} is not an object")
        self._values: Mapping[str, Any] = values
        self._prefix = prefix

    def get(self, path: str, *default: Any) -> Any:
        """Return a setting by its dotted key; it is required unless a default is given."""
        value: Any = self._values
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
        """Return a finite number within the given bounds."""
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
        """Return a number of at least `minimum`, truncated to an integer."""
        return int(self.number(path, *default, minimum=minimum))

    def choice(self, path: str, choices: Mapping[str, Any], *default: str) -> Any:
        """Return the value that `choices` assigns to the name in the file."""
        value = self.get(path, *default)
        if not isinstance(value, str) or value not in choices:
            raise self._error(path, f"is unknown: {value!r}, it has to be one of {', '.join(choices)}")
        return choices[value]

    def boolean(self, path: str) -> bool:
        """Return a boolean, `False` if the key is missing; integers are accepted too."""
        return bool(self._checked(path, self.get(path, False), int, "true or false"))

    def text(self, path: str, *default: str) -> str:
        """Return a string."""
        return str(self._checked(path, self.get(path, *default), str, "text"))

    def list_of(self, path: str, item_type: Any, description: str, *default: Any) -> list[Any]:
        """Return a list whose items are all of `item_type`, described in errors as `description`."""
        items = self._checked(path, self.get(path, *default), list, f"a list of {description}")
        return [self._checked(path, item, item_type, f"a list of {description}") for item in items]

    def _checked(self, path: str, value: Any, expected_type: Any, description: str) -> Any:
        if not isinstance(value, expected_type):
            raise self._error(path, f"is not {description}: {value!r}")
        return value

    def _error(self, path: str, text: str) -> ValueError:
        return _invalid_setting(f"setting {self._prefix}{path} {text}")


def parse_settings(document: Any) -> ParsedSettings:
    """Return the settings of an instance; unknown keys are ignored.

    Raises:
        ValueError: A setting is missing or invalid; the message names it.
    """
    # The order in which settings are read decides which of several invalid ones is reported.
    table = _Table(document)
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
    """Return the settings of each kind of endpoint; a list shorter than `kinds` is extended by its last item."""
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
    # Required for classes deduplicated by key.  0 is valid: then no retry follows an ambiguous outcome.
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
    """Return the polling interval, which is required only if the endpoint list is polled."""
    if must_poll:
        return table.number("safety.askEveryMs", exclusive_minimum=0)
    return table.number("safety.askEveryMs", 0.0)
