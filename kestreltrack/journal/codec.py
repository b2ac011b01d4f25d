"""Encodes and decodes journal records.  The stored names are fixed and independent of the names in the code.

A record is one line, ``CRC JSON``: the CRC-32 of the JSON text as 8 hexadecimal digits, and a JSON object whose
member `t` is the type of the record:

`held`      a message with its history
`claim`     an attempt to deliver a message starts
`outcome`   the attempt in flight has ended
`owed`      how a message ends is decided, but the platform has not been notified yet
`end`       the lifecycle of a message has ended; with a time if its id must not be delivered again
`ended`     the ids of messages that ended a short time before the file was written
`list`      the complete endpoint list
`change`    changes to the endpoint list
`turned`    the messages in this file are in reverse order (`takeover.py`)
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from kestreltrack.decision import EndpointLifecycle, Outcome
from kestreltrack.journal.ended_messages import EndedMessages, EndKind
from kestreltrack.journal.errors import InvalidRecordError
from kestreltrack.journal.records import (
    AttemptEnded,
    AttemptStart,
    AttemptStarted,
    EndedIds,
    MessageCompleted,
    OrderReversed,
    OutstandingMessage,
    Record,
)
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint, Message, StatusNotification

# The size of the checksum and the space at the beginning of a line.
CHECKSUM_BYTES = 9


def encode_message(outstanding: OutstandingMessage) -> bytes:
    """Encode a message with its history."""
    message = outstanding.message
    notification = outstanding.pending_notification
    row = {
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
    if outstanding.accepted_at:
        row["accepted_at"] = outstanding.accepted_at
    return _encode(row)


def encode_attempt_start(message_id: str, start: AttemptStart) -> bytes:
    """Encode the start of an attempt."""
    return _encode({"t": "claim", "id": message_id, "at": start.at, "zone": start.zone})


def encode_attempt_end(message_id: str, outcome: Outcome) -> bytes:
    """Encode the outcome of the attempt in flight."""
    return _encode({"t": "outcome", "id": message_id, "outcome": outcome.value})


def encode_pending_notification(notification: StatusNotification) -> bytes:
    """Encode a status notification that the platform has not received yet."""
    return _encode(
        {
            "t": "owed",
            "id": notification.message_id,
            "requeue": notification.requeue,
            "wait_ms": notification.retry_after_ms,
        }
    )


def encode_completion(completed: MessageCompleted) -> bytes:
    """Encode the end of a message's lifecycle."""
    row: dict[str, Any] = {"t": "end", "id": completed.message_id}
    if completed.ended_at is not None:
        row |= {"at": completed.ended_at, "kind": completed.kind.value}
    return _encode(row)


def encode_ended(ended: EndedMessages) -> bytes:
    """Encode the ids of the messages that ended a short time ago."""
    return _encode({"t": "ended", "ends": ended.items()}) if len(ended) else b""


def encode_endpoints(update: EndpointListUpdate) -> bytes:
    """Encode the complete endpoint list, or changes to it."""
    # orjson serializes the endpoint dataclasses itself, which is several times faster than building dicts here; the
    # stored names are therefore those of the fields.
    row: dict[str, Any] = {"rev": update.revision, "whole": update.complete}
    if update.source:
        row["from"] = update.source
    row["machines"] = update.endpoints  # last: `decode_list_head` reads what comes before it
    return _encode({"t": "list" if update.complete else "change", "list": row})


def encode_reversed_order() -> bytes:
    """Encode the marker of a file whose messages are in reverse order."""
    return _encode({"t": "turned"})


@dataclass(frozen=True, slots=True)
class ListHead:
    """What a record of endpoints tells without being decoded as a whole.

    Attributes:
        revision: The revision of the list.
        complete: Whether the record has the complete list.
        source: The source that published the list; empty if that is not known.
    """

    revision: int
    complete: bool
    source: str


def decode_list_head(line: bytes) -> ListHead | None:
    """Return the head of a record of endpoints, or `None` for any other record."""
    if not line.startswith((b'{"t":"list"', b'{"t":"change"'), CHECKSUM_BYTES):
        return None
    text = line[CHECKSUM_BYTES:].partition(b',"machines":')[0]
    try:
        row = orjson.loads(text + b"}}")["list"]
        return ListHead(row["rev"], row["whole"], row.get("from", ""))
    except (ValueError, KeyError, TypeError):
        return None


def decode_record(line: bytes) -> Record:
    """Decode one line, given without its newline.

    Raises:
        InvalidRecordError: The checksum does not match, or this version does not know the form of the record.
    """
    checksum, _, text = line.partition(b" ")
    if checksum != b"%08x" % zlib.crc32(text):
        raise InvalidRecordError("checksum mismatch")
    try:
        row = orjson.loads(text)
        return _PARSERS_BY_TYPE[row["t"]](row)
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidRecordError(f"invalid record: {error!r}") from error


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
        pending_notification=_parse_notification(row["owed"]) if row["owed"] else None,
        accepted_at=row.get("accepted_at", 0.0),
    )


def _parse_attempt_started(row: dict[str, Any]) -> AttemptStarted:
    return AttemptStarted(row["id"], _parse_attempt_start(row))


def _parse_attempt_ended(row: dict[str, Any]) -> AttemptEnded:
    return AttemptEnded(row["id"], Outcome(row["outcome"]))


def _parse_pending_notification(row: dict[str, Any]) -> StatusNotification:
    return StatusNotification(row["id"], row["requeue"], row["wait_ms"])


def _parse_completion(row: dict[str, Any]) -> MessageCompleted:
    if "at" not in row:
        return MessageCompleted(row["id"])
    return MessageCompleted(row["id"], float(row["at"]), EndKind(row["kind"]))


def _parse_ended(row: dict[str, Any]) -> EndedIds:
    return EndedIds([(str(id_), float(at_ms), EndKind(kind)) for id_, at_ms, kind in row["ends"]])


def _parse_endpoints(row: dict[str, Any]) -> EndpointListUpdate:
    update = row["list"]
    endpoints = tuple(
        ListedEndpoint(**{**endpoint, "state": EndpointLifecycle(endpoint["state"])})
        for endpoint in update["machines"]
    )
    return EndpointListUpdate(update["rev"], update["whole"], endpoints, source=update.get("from", ""))


def _parse_reversed_order(_row: dict[str, Any]) -> OrderReversed:
    return OrderReversed()


_PARSERS_BY_TYPE: dict[str, Callable[[dict[str, Any]], Record]] = {
    "held": _parse_message,
    "claim": _parse_attempt_started,
    "outcome": _parse_attempt_ended,
    "owed": _parse_pending_notification,
    "end": _parse_completion,
    "ended": _parse_ended,
    "list": _parse_endpoints,
    "change": _parse_endpoints,
    "turned": _parse_reversed_order,
}
