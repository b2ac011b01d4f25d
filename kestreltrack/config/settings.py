"""The settings that an instance is given, as nested JSON, to the settings of the decision module.

Shared by the simulator's adapter and the real sender; nothing is decided here.
"""

from __future__ import annotations

import math
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

    def num(
        self,
        path: str,
        *default: float,
        least: float = -math.inf,
        above: float = -math.inf,
        most: float = math.inf,
    ) -> float:
        """A number within its bounds."""
        value = self.get(path, *default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"setting {self._prefix}{path} is not a number: {value!r}")
        if value < least or value <= above or value > most:
            lower = f"at least {least:g}" if value < least else f"above {above:g}"
            bound = f"at most {most:g}" if value > most else lower
            raise ValueError(f"setting {self._prefix}{path} is out of range: {value!r}, it has to be {bound}")
        return float(value)

    def word(self, path: str, words: Mapping[str, Any], *default: str) -> Any:
        """What one of a few words stands for."""
        value = self.get(path, *default)
        if not isinstance(value, str) or value not in words:
            known = ", ".join(words)
            raise ValueError(
                f"setting {self._prefix}{path} is unknown: {value!r}, it has to be one of {known}"
            )
        return words[value]

    def flag(self, path: str) -> bool:
        """Yes or no, also as 1 or 0; no where it is missing."""
        return bool(self._of(path, self.get(path, False), int, "true or false"))

    def text(self, path: str, *default: str) -> str:
        """Any text."""
        return str(self._of(path, self.get(path, *default), str, "text"))

    def many(self, path: str, kind: Any, what: str, *default: Any) -> list[Any]:
        """A list of one kind of thing."""
        value = self._of(path, self.get(path, *default), list, f"a list of {what}")
        return [self._of(path, each, kind, f"a list of {what}") for each in value]

    def _of(self, path: str, value: Any, kind: Any, what: str) -> Any:
        if not isinstance(value, kind):
            raise ValueError(f"setting {self._prefix}{path} is not {what}: {value!r}")
        return value


def _class(row: Any) -> tuple[str, ClassSettings]:
    name = _Table(row, "an entry of setting classes", "classes.").text("name")
    table = _Table(row, prefix=f"classes.{name}.")
    effect = table.word("idempotency", EFFECTS)
    return name, ClassSettings(
        aim_ms=table.num("onTimeMs", above=0),
        deadline_ms=table.num("deadlineMs", above=0),
        effect=effect,
        scope=table.word("group", {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.ZONE}, "all"),
        # 0 is legal: never repeated once it may have run.
        key_window_ms=table.num("keyTtlMs", *([] if effect is Effect.KEYED else [0.0]), least=0),
        in_order=table.flag("inOrder"),
        worth=table.num("importance", 1.0),
        late_worth=table.num("lateWorth", 0.0),
    )


def settings(rows: Any) -> tuple[Settings, tuple[str, ...]]:
    """The settings of an instance, and the names of its report fields; unknown keys are skipped."""
    table = _Table(rows)
    kinds = table.many("kinds", str, "names")
    apart = table.many("domain.routesApart", int, "true or false", []) or [False]
    batch = [int(most) for most in table.many("domain.bundleMax", int | float, "numbers", [])] or [1]
    if min(batch) < 1:
        raise ValueError(f"setting domain.bundleMax is out of range: {batch!r}, each has to be at least 1")
    zones, fees = (
        table.many("dcs", str, "names", []),
        table.many("domain.zoneFee", int | float, "numbers", []),
    )
    fields = tuple(table.many("telemetry.fields", str, "names", []))
    must_ask = table.word("discovery", {"ask": True, "push": False}, "push")
    built = Settings(
        classes=dict(map(_class, table.many("classes", object, "classes"))),
        kinds={
            kind: KindSettings(bool(apart[min(i, len(apart) - 1)]), batch[min(i, len(batch) - 1)])
            for i, kind in enumerate(kinds)  # where a row is short, its last entry serves for the rest
        },
        safety=Safety(
            answer_slack_ms=table.num("safety.answerSlackMs", least=0),
            drain_grace_ms=table.num("safety.drainGraceMs", least=0),
            cold_share=table.num("safety.coldShare", above=0, most=1),
            warm_after_ms=table.num("safety.warmAfterMs", least=0),
            overload_factor=table.num("safety.overloadFactor", above=0),
            tip_after_ms=table.num("safety.tipAfterMs", above=0),
            ask_every_ms=table.num("safety.askEveryMs", above=0)
            if must_ask
            else table.num("safety.askEveryMs", 0.0),
            settle_ms=table.num("safety.settleAfterDoubtMs", 0.0, least=0),
        ),
        slots=int(table.num("domain.slots", least=1)),
        hold=int(table.num("allowed.mostHeld", least=1)),
        try_limit=int(table.num("allowed.tryLimit", least=1)),
        relays=int(table.num("balancers", least=1)),
        zone=table.text("zone", ""),
        zone_fees=dict(zip(zones, fees, strict=False)),
        decay=table.word("domain.late", {"line": Decay.LINE, "halves": Decay.HALVES}, "line"),
        weights=table.word("weights", WEIGHTS, "none"),
        must_ask=must_ask,
        may_cancel=table.flag("allowed.cancel"),
        advises_wait=table.flag("allowed.retryAfter"),
        max_wait_ms=table.num("allowed.maxRetryAfterMs", 0.0, least=0),
        keepalive_ms=table.num("allowed.keepaliveMs", 15000.0, least=0),
        connect_ms=table.num("allowed.connectTimeoutMs", 1000.0, least=0),
        multiplex=int(table.num("allowed.multiplex", 1, least=1)),
        reports=bool(fields) and table.get("telemetry.how", "") == "answers",
    )
    return built, fields
