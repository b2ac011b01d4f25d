"""The stored form of the journal's records.  Its names are fixed, whatever the program calls its fields.

A record is one line, ``CRC JSON``: the CRC-32 of the JSON text in 8 hexadecimal digits, and an object whose member
`t` is the kind of the record:

`held`      a message with its history
`claim`     an attempt of a message begins
`outcome`   the attempt in flight has ended
`owed`      the end of a message is decided, and the platform is still to be notified
`end`       the lifecycle of a message has ended
`list`      the complete endpoint list
`change`    what changes of the endpoint list
`turned`    the messages of this file are in reverse order (`takeover.py`)
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Callable
from typing import Any

import orjson

from kestreltrack.decision import EndpointLifecycle, Outcome
from kestreltrack.journal.errors import InvalidRecordError
from kestreltrack.journal.records import (
    AttemptEnded,
    AttemptStart,
    AttemptStarted,
    MessageCompleted,
    OrderReversed,
    OutstandingMessage,
    Record,
)
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint, Message, StatusNotification


def encode_message(outstanding: OutstandingMessage) -> bytes:
    """Return the record of a message with its history."""
    message = outstanding.message
    notification = outstanding.owed_notification
    return _encode(
        {
            "t": "held",
            "id": message.id,
            "cls": message.cls,
            "dest": message.dest,
            "expires": message.expires,
            "body": base64.b64encode(message.body).decode(),
            "tenant": message.tenant,
            "order_key": message.ordering_key,
            "key": message.idempotency_key,
            "tries": outstanding.attempts,
            "out": _attempt_start_row(outstanding.in_flight) if outstanding.in_flight else None,
            "doubt": _attempt_start_row(outstanding.ambiguous) if outstanding.ambiguous else None,
            "owed": _notification_row(notification) if notification else None,
        }
    )


def encode_attempt_start(message_id: str, start: AttemptStart) -> bytes:
    """Return the record of an attempt that begins."""
    return _encode({"t": "claim", "id": message_id, "at": start.at, "zone": start.zone})


def encode_attempt_end(message_id: str, outcome: Outcome) -> bytes:
    """Return the record of the outcome of the attempt in flight."""
    return _encode({"t": "outcome", "id": message_id, "outcome": outcome.value})


def encode_owed_notification(notification: StatusNotification) -> bytes:
    """Return the record of an end that is decided, and of which the platform is still to be notified."""
    return _encode(
        {
            "t": "owed",
            "id": notification.message_id,
            "requeue": notification.requeue,
            "wait_ms": notification.retry_after_ms,
        }
    )


def encode_completion(message_id: str) -> bytes:
    """Return the record of the end of a message's lifecycle."""
    return _encode({"t": "end", "id": message_id})


def encode_endpoints(update: EndpointListUpdate) -> bytes:
    """Return the record of the complete endpoint list, or of what changes of it."""
    # The entries are stored under the names of their fields: orjson writes them several times faster itself.
    row = {"rev": update.revision, "whole": update.complete, "machines": update.endpoints}
    return _encode({"t": "list" if update.complete else "change", "list": row})


def encode_reversed_order() -> bytes:
    """Return the record that marks a file whose messages are in reverse order."""
    return _encode({"t": "turned"})


def decode_record(line: bytes) -> Record:
    """Return the record of one line, given without its line end.

    Raises:
        InvalidRecordError: The line is damaged, or holds what this version does not know.
    """
    checksum, _, text = line.partition(b" ")
    if checksum != b"%08x" % zlib.crc32(text):
        raise InvalidRecordError("the checksum is wrong")
    try:
        row = orjson.loads(text)
        return _PARSERS[row["t"]](row)
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidRecordError(f"a record of unknown form: {error!r}") from error


def _encode(row: dict[str, Any]) -> bytes:
    text = orjson.dumps(row)
    return b"%08x %s\n" % (zlib.crc32(text), text)


def _attempt_start_row(start: AttemptStart) -> dict[str, Any]:
    return {"at": start.at, "zone": start.zone}


def _parse_attempt_start(row: dict[str, Any]) -> AttemptStart:
    return AttemptStart(row["at"], row["zone"])


def _notification_row(notification: StatusNotification) -> dict[str, Any]:
    return {
        "message_id": notification.message_id,
        "requeue": notification.requeue,
        "wait_ms": notification.retry_after_ms,
    }


def _parse_notification(row: dict[str, Any]) -> StatusNotification:
    return StatusNotification(row["message_id"], row["requeue"], row["wait_ms"])


def _parse_message(row: dict[str, Any]) -> OutstandingMessage:
    message = Message(
        row["id"],
        row["cls"],
        row["dest"],
        row["expires"],
        base64.b64decode(row["body"]),
        row["tenant"],
        row["order_key"],
        row["key"],
    )
    return OutstandingMessage(
        message,
        attempts=row["tries"],
        in_flight=_parse_attempt_start(row["out"]) if row["out"] else None,
        ambiguous=_parse_attempt_start(row["doubt"]) if row["doubt"] else None,
        owed_notification=_parse_notification(row["owed"]) if row["owed"] else None,
    )


def _parse_attempt_started(row: dict[str, Any]) -> AttemptStarted:
    return AttemptStarted(row["id"], _parse_attempt_start(row))


def _parse_attempt_ended(row: dict[str, Any]) -> AttemptEnded:
    return AttemptEnded(row["id"], Outcome(row["outcome"]))


def _parse_owed_notification(row: dict[str, Any]) -> StatusNotification:
    return StatusNotification(row["id"], row["requeue"], row["wait_ms"])


def _parse_completion(row: dict[str, Any]) -> MessageCompleted:
    return MessageCompleted(row["id"])


def _parse_endpoints(row: dict[str, Any]) -> EndpointListUpdate:
    update = row["list"]
    endpoints = tuple(
        ListedEndpoint(**{**endpoint, "state": EndpointLifecycle(endpoint["state"])})
        for endpoint in update["machines"]
    )
    return EndpointListUpdate(update["rev"], update["whole"], endpoints)


def _parse_reversed_order(_row: dict[str, Any]) -> OrderReversed:
    return OrderReversed()


_PARSERS: dict[str, Callable[[dict[str, Any]], Record]] = {
    "held": _parse_message,
    "claim": _parse_attempt_started,
    "outcome": _parse_attempt_ended,
    "owed": _parse_owed_notification,
    "end": _parse_completion,
    "list": _parse_endpoints,
    "change": _parse_endpoints,
    "turned": _parse_reversed_order,
}
