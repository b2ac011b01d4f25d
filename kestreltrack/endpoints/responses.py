"""Interprets the responses of endpoints as results of attempts."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from kestreltrack.decision import Outcome
from kestreltrack.http1 import Connection, ConnectionBrokenError, ResponseHead
from kestreltrack.ports import AttemptResult, ConnectionUse
from kestreltrack.telemetry import Telemetry

# Limit of the protocol on a body; a response with a longer one is malformed.
MAX_BODY_BYTES = 64 * 1024

# Timeout for the body of a response with status 200: the outcome is already known.
OK_BODY_TIMEOUT_S = 0.25

# Timeout for the body of any other response: only a complete response proves that the message was never executed.
BODY_TIMEOUT_S = 1.0

# Statuses with which an endpoint reports, by the protocol, that it did not execute the message.
NOT_EXECUTED_STATUSES = (429, 503, 504, 410)

LOAD_REPORT_HEADER = b"x-load-report"

DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """What had been received of a response when its connection was closed.

    Attributes:
        head: Status and headers; None if they were not received completely.
        body: The body, empty if it was not kept; None if the response is not complete.
    """

    head: ResponseHead | None = None
    body: bytes | None = None


async def read_buffered_response(connection: Connection, keep_body: bool) -> BufferedResponse:
    """Return what a closed connection had received of a response, its body only if asked to; never waits."""
    head = None
    try:
        head = await connection.read_head(LOAD_REPORT_HEADER)
        body = await connection.read_body(MAX_BODY_BYTES, keep_body)
        return BufferedResponse(connection.head, body)
    except ConnectionBrokenError:
        return BufferedResponse(head)


def describe_use(connection: Connection) -> ConnectionUse:
    """Return which request the latest one on a connection was."""
    matching = connection.matching
    silent_s = matching.silent_before_request_s
    silent_ms = round(1000.0 * silent_s, 1) if math.isfinite(silent_s) else 0.0
    return ConnectionUse(connection.id, matching.requests, silent_ms)


def parse_decimal(text: str | None) -> float | None:
    """Return a number in plain decimal notation; None for any other text."""
    return float(text) if text and DECIMAL_PATTERN.fullmatch(text) else None


def parse_load_report(text: str) -> dict[str, float]:
    """Return the fields of a load report; fields whose value is not a number are omitted."""
    pairs = (field.partition("=") for field in text.split(","))
    values = ((name.strip(), parse_decimal(value.strip())) for name, _, value in pairs)
    return {name: value for name, value in values if name and value is not None}


def parse_retry_after_ms(head: ResponseHead, telemetry: Telemetry) -> float:
    """Return the ``Retry-After`` header in milliseconds; an invalid value is recorded as a fault and counts as 0."""
    retry_after_s = parse_decimal(head.headers.get("retry-after"))
    if retry_after_s is None:
        telemetry.record_fault("endpoints.invalid_retry_after", value=head.headers.get("retry-after"))
        return 0.0
    return 1000.0 * retry_after_s


def parse_response(head: ResponseHead, telemetry: Telemetry) -> AttemptResult:
    """Return the result of an attempt from a complete response."""
    load_report = parse_load_report(head.headers.get("x-load-report", ""))
    match head.status:
        case 200:
            return AttemptResult(Outcome.OK, final=True, load_report=load_report)
        case 429:
            retry_after_ms = parse_retry_after_ms(head, telemetry)
            return AttemptResult(Outcome.REJECTED, retry_after_ms=retry_after_ms, load_report=load_report)
        case 503:
            # If all slots of the endpoint are taken, the request counts as one that was never sent.
            slots_taken = head.headers.get("slots-taken", "0").strip() != "0"
            outcome = Outcome.NOT_SENT if slots_taken else Outcome.REJECTED
            return AttemptResult(outcome, load_report=load_report)
        case 504:  # no attempts are left; the platform still has to be notified
            return AttemptResult(Outcome.NOT_SENT, load_report=load_report)
        case 410:  # the message's lifecycle is over: no further attempt or notification
            return AttemptResult(Outcome.NOT_SENT, final=True, load_report=load_report)
        case status:
            if status != 500:  # not part of the protocol: the message may have been executed
                telemetry.record_fault("endpoints.unexpected_status", status=status)
            return AttemptResult(Outcome.ERROR, load_report=load_report)
