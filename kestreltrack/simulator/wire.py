"""Codec of the simulator's protocol: parses lines into events and formats actions as lines.

It only translates; all decisions are made by the decision module.
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
# These fields come last in a line; their value may contain spaces and extends to the end of the line.
TEXT_FIELDS = (" settings=", " msg=")

Fields = dict[str, str]


class WireError(Exception):
    """The input does not conform to the protocol; the message says why."""


def parse_line(line: str) -> tuple[str, Fields]:
    """Split a line into the name of its message and its fields.

    Raises:
        WireError: If a field is not name=value.
    """
    text_field: tuple[str, str] | None = None
    for prefix in TEXT_FIELDS:
        head, separator, text = line.partition(prefix)
        if separator:
            line, text_field = head, (prefix[1:-1], text)
    name, *parts = line.split(" ")
    fields: Fields = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not key or not equals:
            raise WireError(f"{name}: {part!r} is not name=value")
        fields[key] = value
    if text_field:
        fields[text_field[0]] = text_field[1]
    return name, fields


def require_field(name: str, fields: Fields, key: str) -> str:
    """Return the value of a required field.

    Raises:
        WireError: If it is missing.
    """
    if key not in fields:
        raise WireError(f"{name}: field {key} is missing")
    return fields[key]


def number_field(name: str, fields: Fields, key: str, default: float | None = None) -> float:
    """Return the value of a numeric field; it is required if there is no default.

    Raises:
        WireError: If it is missing or not a finite number.
    """
    text = require_field(name, fields, key) if default is None else fields.get(key, str(default))
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"{name}: field {key} is not a number: {text!r}")
    return value


def parse_entry(fields: Fields) -> EndpointEntry:
    """Return the entry of an ``ITEM`` line.

    Raises:
        WireError: If a field is missing or invalid.
    """
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
    """Return the event of a line, or None if the decision module does not use such messages.

    Raises:
        WireError: If the message is unknown, or a field is missing or invalid.
    """
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
        list_number = int(number_field(name, fields, "sheet"))
        if list_number not in endpoint_lists:
            raise WireError(f"TOPOLOGY: no list {list_number} was defined")
        return EndpointsUpdated(
            endpoint_lists[list_number], complete=kind != "changes", cached=kind == "remembered"
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
    """Decode the settings of a ``POWER_ON`` message.

    Raises:
        ValueError: If they are not JSON.
    """
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        raise ValueError(f"settings is not JSON: {error}") from None


def format_action(sender_id: str, action: Action) -> str:
    """Return the line for an action of one instance.

    Raises:
        TypeError: If it is not an action.
    """
    relay = f"relayId={sender_id}"
    if isinstance(action, StartAttempt):
        return f"RELAY {relay} corr={action.id} endpoint={action.endpoint} timeoutMs={action.timeout_ms:.3f}"
    if isinstance(action, CancelAttempt):
        return f"DROP_ATTEMPT {relay} corr={action.id} go={action.attempt}"
    if isinstance(action, RejectMessage):
        return f"TURN_AWAY {relay} corr={action.id} waitMs={action.retry_after_ms:.3f}"
    if isinstance(action, FailMessage):
        return f"REPORT_FAILURE {relay} corr={action.id}"
    if isinstance(action, SetTimer):
        return f"SET_ALARM {relay} sleepForMs={action.delay_ms:.3f} nonce={action.token}"
    if isinstance(action, CloseIdleConnections):
        return f"FREE_LINKS {relay} endpoint={action.endpoint}"
    if isinstance(action, PollEndpointList):
        return f"KEEP_INFORMED {relay} want=1"
    raise TypeError(f"not an action: {action!r}")
