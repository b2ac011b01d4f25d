"""What one record says.  Bodies are never in it: the module does not learn of them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

import msgspec

from kestreltrack import VERSION, decision
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
from kestreltrack.snapshot.stored_forms import ACTION_FORMS, EVENT_FORMS, event_form, event_of

FORMAT_VERSION = 1
FILE_HEADER, CHECKPOINT, EVENT, DECISION, PERMISSION, MARK = range(6)
EVENT_TYPES = tuple(EVENT_FORMS)
ACTION_TYPES = tuple(ACTION_FORMS)
EVENT_CODES = {kind: code for code, kind in enumerate(EVENT_TYPES)}
encode_msgpack = msgspec.msgpack.Encoder().encode


class InvalidRecordError(Exception):
    """Not a record of this form."""


class FileHeader(msgspec.Struct, array_like=True):
    """The head of a file."""

    format_version: int
    version: str
    digest: str
    sender: str
    wall_ms: float
    full_actions: bool
    records_before: int = 0
    """How many records came before this file."""
    hashed: bool = False
    """Whether ids, tenants and keys are keyed hashes."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record, read: `what` is a `Began`, a checkpoint's bytes, an event, a digest or actions, an answer."""

    kind: int
    clock: float
    payload: Any
    context: tuple[Any, ...] = ()

    def mark_text(self) -> str:
        """Of a mark: all that it says."""
        return " ".join((self.payload, *self.context)).strip()


@cache
def decision_code_digest() -> str:
    """Return a digest of the decision code that is running: the same digest means the same decisions."""
    digest = hashlib.blake2b(digest_size=12)
    for file in sorted(Path(str(decision.__file__)).parent.glob("*.py")):
        digest.update(file.read_bytes())
    return digest.hexdigest()


def encode_file_header(
    sender: str, wall_ms: float, full_actions: bool, records_before: int, hashed: bool = False
) -> bytes:
    """The first record of a file."""
    head = FileHeader(
        FORMAT_VERSION, VERSION, decision_code_digest(), sender, wall_ms, full_actions, records_before, hashed
    )
    return encode_msgpack((FILE_HEADER, 0.0, head))


def encode_checkpoint(clock: float, state: bytes) -> bytes:
    """The module's state; the records behind it go on from there."""
    return encode_msgpack((CHECKPOINT, clock, state))


def is_checkpoint(record: bytes) -> bool:
    """Whether it is one: its kind stands right behind the mark of a short array."""
    return record[1] == CHECKPOINT


def encode_event(clock: float, event: Event) -> bytes:
    """An event that the module was told."""
    return encode_msgpack((EVENT, clock, EVENT_CODES[type(event)], event_form(event)))


def _action_row(action: Action) -> tuple[Any, ...]:
    """One action by its code; times as floats, whatever the settings gave."""
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
    return (6, action.endpoint) if isinstance(action, CloseIdleConnections) else (5,)


def encode_actions(actions: Sequence[Action]) -> bytes:
    """Actions in their order."""
    return encode_msgpack([_action_row(action) for action in actions])


def actions_digest(actions: bytes) -> bytes:
    """Eight bytes that stand for coded actions."""
    return hashlib.blake2b(actions, digest_size=8).digest()


def encode_decision(clock: float, actions: Sequence[Action], full_actions: bool) -> bytes:
    """What the module answered: whole, or as a digest."""
    said = encode_actions(actions)
    return encode_msgpack((DECISION, clock, full_actions, said if full_actions else actions_digest(said)))


def encode_permission(clock: float, dest: int, endpoint: str, allowed: bool) -> bytes:
    """A question about a send that had to wait, and its answer."""
    return encode_msgpack((PERMISSION, clock, dest, endpoint, allowed))


def encode_mark(clock: float, subject: str, text: str = "") -> bytes:
    """Something that happened beside the module: a reload, a recovery, a stop."""
    return encode_msgpack((MARK, clock, subject, text))


RECORD_DECODER, CLOCK_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw]), msgspec.msgpack.Decoder(float)
FILE_HEADER_DECODER = msgspec.msgpack.Decoder(FileHeader)
EVENT_DECODERS: list[msgspec.msgpack.Decoder[Any]] = [
    msgspec.msgpack.Decoder(form) for form in EVENT_FORMS.values()
]
ACTIONS_DECODER = msgspec.msgpack.Decoder(list[list[int | float | str]])
INT_DECODER, TEXT_DECODER = msgspec.msgpack.Decoder(int), msgspec.msgpack.Decoder(str)
BOOL_DECODER, BYTES_DECODER = msgspec.msgpack.Decoder(bool), msgspec.msgpack.Decoder(bytes)


def decode_record(data: bytes) -> Record:
    """One record; raises `BadRecord`."""
    try:
        first, second, *rest = RECORD_DECODER.decode(data)
        kind, clock = INT_DECODER.decode(first), CLOCK_DECODER.decode(second)
        if kind == FILE_HEADER:
            head = FILE_HEADER_DECODER.decode(rest[0])
            if head.format_version != FORMAT_VERSION:
                raise InvalidRecordError(
                    f"its form is {head.format_version}, this version reads {FORMAT_VERSION}"
                )
            return Record(kind, clock, head)
        if kind == CHECKPOINT:
            return Record(kind, clock, BYTES_DECODER.decode(rest[0]))
        if kind == EVENT:
            return Record(kind, clock, event_of(EVENT_DECODERS[INT_DECODER.decode(rest[0])].decode(rest[1])))
        if kind == DECISION:
            return Record(kind, clock, BYTES_DECODER.decode(rest[1]), (BOOL_DECODER.decode(rest[0]),))
        if kind == PERMISSION:
            return Record(
                kind,
                clock,
                BOOL_DECODER.decode(rest[2]),
                (INT_DECODER.decode(rest[0]), TEXT_DECODER.decode(rest[1])),
            )
        if kind == MARK:
            return Record(kind, clock, TEXT_DECODER.decode(rest[0]), (TEXT_DECODER.decode(rest[1]),))
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError, RecursionError) as bad:
        raise InvalidRecordError(str(bad)) from bad
    raise InvalidRecordError(f"unknown kind {kind}")


def decode_actions(encoded: bytes) -> list[Action]:
    """Coded actions, read; raises `BadRecord`."""
    try:
        return [ACTION_TYPES[int(row[0])](*row[1:]) for row in ACTIONS_DECODER.decode(encoded)]
    except (msgspec.MsgspecError, IndexError, ValueError, TypeError) as bad:
        raise InvalidRecordError(str(bad)) from bad


def split_records(data: bytes) -> Iterator[bytes]:
    """The records of a block: each behind its length in four bytes; raises `BadRecord`."""
    at = 0
    while at < len(data):
        size = int.from_bytes(data[at : at + 4], "little")
        if size == 0 or at + 4 + size > len(data):
            raise InvalidRecordError(f"a record of {size} bytes at {at} of {len(data)}")
        yield data[at + 4 : at + 4 + size]
        at += 4 + size
