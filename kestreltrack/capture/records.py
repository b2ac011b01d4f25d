"""The format of a record.  Records hold no message bodies, as the decision module does not receive them.

A record is a msgpack array: its kind, the clock reading in ms, and the fields that the functions below write for that
kind.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

import msgspec

from kestreltrack import VERSION, decision
from kestreltrack.capture.errors import CaptureError
from kestreltrack.decision import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Event,
    FailMessage,
    RejectMessage,
    SetTimer,
    StartAttempt,
)
from kestreltrack.snapshot.stored_forms import ACTION_FORMS, EVENT_FORMS, event_form, event_from_form

FORMAT_VERSION = 1
# The kinds of records, as they are numbered in the format.
FILE_HEADER = 0
CHECKPOINT = 1
EVENT = 2
DECISION = 3
PERMISSION = 4
MARK = 5
EVENT_TYPES = tuple(EVENT_FORMS)
ACTION_TYPES = tuple(ACTION_FORMS)
EVENT_CODES = {kind: code for code, kind in enumerate(EVENT_TYPES)}
encode_msgpack = msgspec.msgpack.Encoder().encode


class InvalidRecordError(CaptureError):
    """The bytes are not a valid record."""


class FileHeader(msgspec.Struct, array_like=True):
    """The first record of a file."""

    format_version: int
    version: str
    digest: str
    sender: str
    wall_ms: float
    full_actions: bool
    records_before: int = 0
    """The number of records before this file, including those lost in gaps."""
    hashed: bool = False
    """Whether message ids, tenants and ordering keys are keyed hashes."""


@dataclass(frozen=True, slots=True)
class Record:
    """One decoded record."""

    kind: int
    clock: float
    payload: Any
    """By kind: a `FileHeader`, an encoded state, an event, a digest or encoded actions, whether a call was permitted,
    or the subject of a mark."""
    context: tuple[Any, ...] = ()
    """By kind: of a decision, whether its actions are recorded in full; of a permission, its destination and
    endpoint; of a mark, its text."""

    def mark_text(self) -> str:
        """Return the subject and the text of a mark as one text."""
        return " ".join((self.payload, *self.context)).strip()


@cache
def decision_code_digest() -> str:
    """Return the digest of the running decision code; versions with equal digests decide alike."""
    digest = hashlib.blake2b(digest_size=12)
    for file in sorted(Path(str(decision.__file__)).parent.glob("*.py")):
        digest.update(file.read_bytes())
    return digest.hexdigest()


def encode_file_header(
    sender: str, wall_ms: float, full_actions: bool, records_before: int, hashed: bool = False
) -> bytes:
    """Return the first record of a file; `wall_ms` is the Unix time in ms."""
    header = FileHeader(
        FORMAT_VERSION, VERSION, decision_code_digest(), sender, wall_ms, full_actions, records_before, hashed
    )
    return encode_msgpack((FILE_HEADER, 0.0, header))


def encode_checkpoint(clock: float, state: bytes) -> bytes:
    """Return a record of the decision module's encoded state, from which a replay can continue."""
    return encode_msgpack((CHECKPOINT, clock, state))


def is_checkpoint(record: bytes) -> bool:
    """Return whether an encoded record is a checkpoint: the kind follows the one-byte header of the msgpack array."""
    return record[1] == CHECKPOINT


def encode_event(clock: float, event: Event) -> bytes:
    """Return a record of an event that the decision module received."""
    return encode_msgpack((EVENT, clock, EVENT_CODES[type(event)], event_form(event)))


def _action_row(action: Action) -> tuple[Any, ...]:
    """Return one action as its code and its fields.

    Times become floats, as settings may give integers, which would change the encoding and its digest.
    """
    if isinstance(action, StartAttempt):
        return (0, action.id, action.endpoint, float(action.timeout_ms))
    if isinstance(action, CancelAttempt):
        return (1, action.id, action.attempt)
    if isinstance(action, RejectMessage):
        return (2, action.id, float(action.retry_after_ms))
    if isinstance(action, FailMessage):
        return (3, action.id)
    if isinstance(action, SetTimer):
        return (4, float(action.delay_ms), action.token)
    if isinstance(action, CloseIdleConnections):
        return (6, action.endpoint)
    return (5,)


def encode_actions(actions: Sequence[Action]) -> bytes:
    """Return actions encoded in their order."""
    return encode_msgpack([_action_row(action) for action in actions])


def actions_digest(actions: bytes) -> bytes:
    """Return the digest of encoded actions, eight bytes."""
    return hashlib.blake2b(actions, digest_size=8).digest()


def encode_decision(clock: float, actions: Sequence[Action], full_actions: bool) -> bytes:
    """Return a record of the decision module's actions, in full or as a digest."""
    encoded = encode_actions(actions)
    payload = encoded if full_actions else actions_digest(encoded)
    return encode_msgpack((DECISION, clock, full_actions, payload))


def encode_permission(clock: float, dest: int, endpoint: str, allowed: bool) -> bytes:
    """Return a record of whether a delayed call may still be sent, as the decision module answered."""
    return encode_msgpack((PERMISSION, clock, dest, endpoint, allowed))


def encode_mark(clock: float, subject: str, text: str = "") -> bytes:
    """Return a record of an occurrence outside the decision module, such as a reload, a recovery or a shutdown."""
    return encode_msgpack((MARK, clock, subject, text))


RECORD_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
CLOCK_DECODER = msgspec.msgpack.Decoder(float)
FILE_HEADER_DECODER = msgspec.msgpack.Decoder(FileHeader)
EVENT_DECODERS: list[msgspec.msgpack.Decoder[Any]] = [
    msgspec.msgpack.Decoder(form) for form in EVENT_FORMS.values()
]
ACTIONS_DECODER = msgspec.msgpack.Decoder(list[list[int | float | str]])
INT_DECODER = msgspec.msgpack.Decoder(int)
TEXT_DECODER = msgspec.msgpack.Decoder(str)
BOOL_DECODER = msgspec.msgpack.Decoder(bool)
BYTES_DECODER = msgspec.msgpack.Decoder(bytes)


def decode_record(data: bytes) -> Record:
    """Return a decoded record.

    Raises:
        InvalidRecordError: The bytes are not a record of this format version.
    """
    try:
        first, second, *fields = RECORD_DECODER.decode(data)
        kind = INT_DECODER.decode(first)
        clock = CLOCK_DECODER.decode(second)
        if kind == FILE_HEADER:
            return Record(kind, clock, _decode_file_header(fields[0]))
        if kind == CHECKPOINT:
            return Record(kind, clock, BYTES_DECODER.decode(fields[0]))
        if kind == EVENT:
            form = EVENT_DECODERS[INT_DECODER.decode(fields[0])].decode(fields[1])
            return Record(kind, clock, event_from_form(form))
        if kind == DECISION:
            full_actions = BOOL_DECODER.decode(fields[0])
            return Record(kind, clock, BYTES_DECODER.decode(fields[1]), (full_actions,))
        if kind == PERMISSION:
            destination_and_endpoint = (INT_DECODER.decode(fields[0]), TEXT_DECODER.decode(fields[1]))
            return Record(kind, clock, BOOL_DECODER.decode(fields[2]), destination_and_endpoint)
        if kind == MARK:
            text = TEXT_DECODER.decode(fields[1])
            return Record(kind, clock, TEXT_DECODER.decode(fields[0]), (text,))
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError, RecursionError) as error:
        raise InvalidRecordError(str(error)) from error
    raise InvalidRecordError(f"unknown record kind {kind}")


def _decode_file_header(data: msgspec.Raw) -> FileHeader:
    header = FILE_HEADER_DECODER.decode(data)
    if header.format_version != FORMAT_VERSION:
        raise InvalidRecordError(
            f"capture format version {header.format_version} is not supported, expected {FORMAT_VERSION}"
        )
    return header


def decode_actions(encoded: bytes) -> list[Action]:
    """Return the actions that `encode_actions` encoded.

    Raises:
        InvalidRecordError: The bytes are not encoded actions.
    """
    try:
        return [ACTION_TYPES[int(row[0])](*row[1:]) for row in ACTIONS_DECODER.decode(encoded)]
    except (msgspec.MsgspecError, IndexError, ValueError, TypeError) as error:
        raise InvalidRecordError(str(error)) from error


def split_records(data: bytes) -> Iterator[bytes]:
    """Yield the records of a block, each of which is preceded by its length in four bytes.

    Raises:
        InvalidRecordError: A length is zero or exceeds the rest of the block.
    """
    offset = 0
    while offset < len(data):
        start = offset + 4
        size_bytes = int.from_bytes(data[offset:start], "little")
        if size_bytes == 0 or start + size_bytes > len(data):
            raise InvalidRecordError(f"invalid record length {size_bytes} at offset {offset} of {len(data)}")
        offset = start + size_bytes
        yield data[start:offset]
