"""What one record says.  Bodies are never in it: the module does not learn of them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import cache
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec

from kestreltrack import VERSION
from kestreltrack.decision import api
from kestreltrack.snapshot.stored_forms import ACTION_FORMS, EVENT_FORMS, event_form, event_of

FORM = 1
BEGAN, CHECKPOINT, TOOK, DECIDED, PERMITTED, MARK = range(6)
EVENTS = tuple(EVENT_FORMS)
ACTIONS = tuple(ACTION_FORMS)
EVENT_CODES = {kind: code for code, kind in enumerate(EVENTS)}
ENCODE = msgspec.msgpack.Encoder().encode


class BadRecord(Exception):
    """Not a record of this form."""


class Began(msgspec.Struct, array_like=True):
    """The head of a file."""

    form: int
    version: str
    digest: str
    sender: str
    wall_ms: float
    whole: bool
    number: int = 0
    """How many records came before this file."""
    hashed: bool = False
    """Whether ids, tenants and keys are keyed hashes."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record, read: `what` is a `Began`, a checkpoint's bytes, an event, a digest or actions, an answer."""

    kind: int
    clock: float
    what: Any
    about: tuple[Any, ...] = ()

    def words(self) -> str:
        """Of a mark: all that it says."""
        return " ".join((self.what, *self.about)).strip()


@cache
def digest_of_module() -> str:
    """Of the decision code that is running: the same digest means the same decisions."""
    found = hashlib.blake2b(digest_size=12)
    for name in ("api", "policy"):
        file = import_module(f"kestreltrack.decision.{name}").__file__
        found.update(Path(str(file)).read_bytes())
    return found.hexdigest()


def began(sender: str, wall_ms: float, whole: bool, number: int, hashed: bool = False) -> bytes:
    """The first record of a file."""
    head = Began(FORM, VERSION, digest_of_module(), sender, wall_ms, whole, number, hashed)
    return ENCODE((BEGAN, 0.0, head))


def checkpoint(clock: float, state: bytes) -> bytes:
    """The module's state; the records behind it go on from there."""
    return ENCODE((CHECKPOINT, clock, state))


def is_checkpoint(record: bytes) -> bool:
    """Whether it is one: its kind stands right behind the mark of a short array."""
    return record[1] == CHECKPOINT


def took(clock: float, event: api.Event) -> bytes:
    """An event that the module was told."""
    return ENCODE((TOOK, clock, EVENT_CODES[type(event)], event_form(event)))


def _row(action: api.Action) -> tuple[Any, ...]:
    """One action by its code; times as floats, whatever the settings gave."""
    if isinstance(action, api.Send):
        return (0, action.id, action.endpoint, float(action.timeout_ms))
    if isinstance(action, api.Cancel):
        return (1, action.id, action.attempt)
    if isinstance(action, api.Refuse):
        return (2, action.id, float(action.wait_ms))
    if isinstance(action, api.Fail):
        return (3, action.id)
    if isinstance(action, api.Wake):
        return (4, float(action.after_ms), action.token)
    return (6, action.endpoint) if isinstance(action, api.Unlink) else (5,)


def coded(actions: Sequence[api.Action]) -> bytes:
    """Actions in their order."""
    return ENCODE([_row(action) for action in actions])


def short(actions: bytes) -> bytes:
    """Eight bytes that stand for coded actions."""
    return hashlib.blake2b(actions, digest_size=8).digest()


def decided(clock: float, actions: Sequence[api.Action], whole: bool) -> bytes:
    """What the module answered: whole, or as a digest."""
    said = coded(actions)
    return ENCODE((DECIDED, clock, whole, said if whole else short(said)))


def permitted(clock: float, dest: int, endpoint: str, answer: bool) -> bytes:
    """A question about a send that had to wait, and its answer."""
    return ENCODE((PERMITTED, clock, dest, endpoint, answer))


def mark(clock: float, what: str, text: str = "") -> bytes:
    """Something that happened beside the module: a reload, a recovery, a stop."""
    return ENCODE((MARK, clock, what, text))


HEAD, CLOCK = msgspec.msgpack.Decoder(list[msgspec.Raw]), msgspec.msgpack.Decoder(float)
BEGAN_DECODER = msgspec.msgpack.Decoder(Began)
EVENT_DECODERS: list[msgspec.msgpack.Decoder[Any]] = [
    msgspec.msgpack.Decoder(form) for form in EVENT_FORMS.values()
]
ACTIONS_DECODER = msgspec.msgpack.Decoder(list[list[int | float | str]])
INT, TEXT = msgspec.msgpack.Decoder(int), msgspec.msgpack.Decoder(str)
FLAG, BYTES = msgspec.msgpack.Decoder(bool), msgspec.msgpack.Decoder(bytes)


def read(data: bytes) -> Record:
    """One record; raises `BadRecord`."""
    try:
        first, second, *rest = HEAD.decode(data)
        kind, clock = INT.decode(first), CLOCK.decode(second)
        if kind == BEGAN:
            head = BEGAN_DECODER.decode(rest[0])
            if head.form != FORM:
                raise BadRecord(f"its form is {head.form}, this version reads {FORM}")
            return Record(kind, clock, head)
        if kind == CHECKPOINT:
            return Record(kind, clock, BYTES.decode(rest[0]))
        if kind == TOOK:
            return Record(kind, clock, event_of(EVENT_DECODERS[INT.decode(rest[0])].decode(rest[1])))
        if kind == DECIDED:
            return Record(kind, clock, BYTES.decode(rest[1]), (FLAG.decode(rest[0]),))
        if kind == PERMITTED:
            return Record(kind, clock, FLAG.decode(rest[2]), (INT.decode(rest[0]), TEXT.decode(rest[1])))
        if kind == MARK:
            return Record(kind, clock, TEXT.decode(rest[0]), (TEXT.decode(rest[1]),))
    except (msgspec.MsgspecError, ValueError, IndexError, TypeError, RecursionError) as bad:
        raise BadRecord(str(bad)) from bad
    raise BadRecord(f"unknown kind {kind}")


def actions(coded_: bytes) -> list[api.Action]:
    """Coded actions, read; raises `BadRecord`."""
    try:
        return [ACTIONS[int(row[0])](*row[1:]) for row in ACTIONS_DECODER.decode(coded_)]
    except (msgspec.MsgspecError, IndexError, ValueError, TypeError) as bad:
        raise BadRecord(str(bad)) from bad


def split(data: bytes) -> Iterator[bytes]:
    """The records of a block: each behind its length in four bytes; raises `BadRecord`."""
    at = 0
    while at < len(data):
        size = int.from_bytes(data[at : at + 4], "little")
        if size == 0 or at + 4 + size > len(data):
            raise BadRecord(f"a record of {size} bytes at {at} of {len(data)}")
        yield data[at + 4 : at + 4 + size]
        at += 4 + size
