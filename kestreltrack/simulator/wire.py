"""Codec of the wire: lines to events, actions to lines.

Translation only; nothing is decided here.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    CloseIdleConnections,
    DiscoveryFailed,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    PollEndpointList,
    RejectMessage,
    SetTimer,
    StartAttempt,
    TimerExpired,
)

OUTCOME_CODES = {
    "OK": Outcome.OK,
    "INTERNAL": Outcome.ERROR,
    "RESOURCE_EXHAUSTED": Outcome.REJECTED,
    "DEADLINE_EXCEEDED": Outcome.TIMED_OUT,
    "UNAVAILABLE": Outcome.UNREACHABLE,
    "ABORTED": Outcome.CONNECTION_BROKEN,
    "CANCELLED": Outcome.CANCELLED,
    "TOO_LATE": Outcome.NOT_SENT,
}
TEXT_FIELDS = (" settings=", " msg=")

Fields = dict[str, str]


class WireError(Exception):
    """The input is not of the wire; the text says what was wrong."""


def parse_line(line: str) -> tuple[str, Fields]:
    """Split one line into its name and its fields; a text field runs to the end of the line."""
    text: tuple[str, str] | None = None
    for mark in TEXT_FIELDS:
        head, found, tail = line.partition(mark)
        if found:
            line, text = head, (mark[1:-1], tail)
    name, *parts = line.split(" ")
    fields: Fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not key or not equals:
            raise WireError(f"{name}: {part!r} is not name=value")
        fields[key] = value
    if text:
        fields[text[0]] = text[1]
    return name, fields


def require_field(name: str, fields: Fields, key: str) -> str:
    """A field that the message cannot do without."""
    if key not in fields:
        raise WireError(f"{name}: field {key} is missing")
    return fields[key]


def number_field(name: str, fields: Fields, key: str, default: float | None = None) -> float:
    """A numeric field; without a default it is required."""
    text = require_field(name, fields, key) if default is None else fields.get(key, str(default))
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"{name}: field {key} is not a number: {text!r}")
    return value


def parse_entry(fields: Fields) -> EndpointEntry:
    """One ``ITEM`` of a list."""
    state = require_field("ITEM", fields, "lifecycle")
    try:
        lifecycle = EndpointLifecycle(state)
    except ValueError:
        raise WireError(f"ITEM: unknown lifecycle {state!r}") from None
    return EndpointEntry(
        endpoint=require_field("ITEM", fields, "endpoint"),
        dest=int(number_field("ITEM", fields, "dest")),
        kind=require_field("ITEM", fields, "flavor"),
        zone=fields.get("site", ""),
        lifecycle=lifecycle,
        rate=number_field("ITEM", fields, "nominal", 1.0),
    )


def parse_event(
    name: str,
    fields: Fields,
    endpoint_lists: Mapping[int, Sequence[EndpointEntry]],
    report_fields: Sequence[str],
) -> Event | None:
    """The event that a line stands for; ``None`` for one that this library has no use for."""
    if name == "INBOUND":
        return MessageArrived(
            id=require_field(name, fields, "corr"),
            dest=int(number_field(name, fields, "farEnd")),
            cls=require_field(name, fields, "category"),
            expires=number_field(name, fields, "expiresMs"),
            key=int(number_field(name, fields, "item")) if "item" in fields else None,
            tenant=fields.get("clientGroup"),
        )
    if name == "FINISHED":
        return _parse_attempt_end(fields, report_fields)
    if name == "HANGUP":
        return MessageWithdrawn(require_field(name, fields, "corr"))
    if name == "DEADLINE_HIT":
        return TimerExpired(int(number_field(name, fields, "nonce")))
    if name == "TOPOLOGY":
        kind = require_field(name, fields, "kind")
        if kind == "refused":
            return DiscoveryFailed()
        if kind not in ("changes", "all", "remembered"):
            raise WireError(f"TOPOLOGY: unknown kind {kind!r}")
        sheet = int(number_field(name, fields, "sheet"))
        if sheet not in endpoint_lists:
            raise WireError(f"TOPOLOGY: no list {sheet} was defined")
        return EndpointsUpdated(
            endpoint_lists[sheet], complete=kind != "changes", cached=kind == "remembered"
        )
    if name in ("HEAD_RECEIVED", "PING_RESULT", "NOTE_FROM"):
        return None
    raise WireError(f"unknown message {name!r}")


def _parse_attempt_end(fields: Fields, report_fields: Sequence[str]) -> AttemptEnded:
    code = require_field("FINISHED", fields, "stateCode")
    if code not in OUTCOME_CODES:
        raise WireError(f"FINISHED: unknown stateCode {code!r}")
    report: dict[str, float] = {}
    if fields.get("serverStats"):
        try:
            report = dict(zip(report_fields, map(float, fields["serverStats"].split(",")), strict=False))
        except ValueError:
            raise WireError(f"FINISHED: serverStats is not a row: {fields['serverStats']!r}") from None
    return AttemptEnded(
        id=require_field("FINISHED", fields, "corr"),
        attempt=int(number_field("FINISHED", fields, "go", 0.0)),
        endpoint=require_field("FINISHED", fields, "endpoint"),
        outcome=OUTCOME_CODES[code],
        duration_ms=number_field("FINISHED", fields, "timeTakenMs", 0.0),
        final=fields.get("complete", "0") == "1",
        retry_after_ms=number_field("FINISHED", fields, "waitMs", 0.0),
        quota_left=report.get("x0"),
        rate_limit=report.get("x1"),
    )


def parse_settings_text(text: str) -> Any:
    """The settings text of a start, decoded."""
    try:
        return json.loads(text)
    except json.JSONDecodeError as bad:
        raise ValueError(f"settings is not JSON: {bad}") from None


def format_action(sender_id: str, action: Action) -> str:
    """The line for an action of one instance."""
    at = f"relayId={sender_id}"
    if isinstance(action, StartAttempt):
        return f"RELAY {at} corr={action.id} endpoint={action.endpoint} timeoutMs={action.timeout_ms:.3f}"
    if isinstance(action, CancelAttempt):
        return f"DROP_ATTEMPT {at} corr={action.id} go={action.attempt}"
    if isinstance(action, RejectMessage):
        return f"TURN_AWAY {at} corr={action.id} waitMs={action.retry_after_ms:.3f}"
    if isinstance(action, FailMessage):
        return f"REPORT_FAILURE {at} corr={action.id}"
    if isinstance(action, SetTimer):
        return f"SET_ALARM {at} sleepForMs={action.delay_ms:.3f} nonce={action.token}"
    if isinstance(action, CloseIdleConnections):
        return f"FREE_LINKS {at} endpoint={action.endpoint}"
    if isinstance(action, PollEndpointList):
        return f"KEEP_INFORMED {at} want=1"
    raise TypeError(f"not an action: {action!r}")
