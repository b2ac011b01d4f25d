"""Keyed hashes in the place of ids, tenants and keys, so that a capture can be handed to others.

BLAKE2b with a key (RFC 7693, section 2.9): who has the key file finds a message by its id, nobody else learns it.
The module must not care what an id looks like, only whether two are the same; `tests/test_names.py` holds it to that.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import msgspec

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    CloseIdleConnections,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    RejectMessage,
    StartAttempt,
)
from kestreltrack.snapshot.state import PolicyState
from kestreltrack.snapshot.stored_forms import decode_action, encode_action

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes


class InvalidKeyError(ValueError):
    """The key file cannot be used."""


def read_key_file(file: Path) -> bytes:
    """The key in a file: all its bytes but the line's end; raises `BadKey`."""
    try:
        key = file.read_bytes().rstrip(b"\r\n")
    except OSError as bad:
        raise InvalidKeyError(f"{file}: {bad.strerror}") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise InvalidKeyError(f"{file}: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}")
    return key


class Pseudonyms:
    """Other names for what is in events, actions and states; the same ones for the same key."""

    def __init__(self, key: bytes, endpoints: bool = False) -> None:
        """`endpoints` renames these too, which may be addresses."""
        self._key, self._endpoints = key, endpoints

    def _hash(self, text: str, person: bytes, size: int) -> bytes:
        return hashlib.blake2b(text.encode(), digest_size=size, key=self._key, person=person).digest()

    def message_id(self, text: str) -> str:
        """Of a message: 18 hexadecimal digits, 72 bits."""
        return self._hash(text, b"id", 9).hex()

    def tenant(self, text: str) -> str:
        """Of a tenant."""
        return self._hash(text, b"tenant", 9).hex()

    def key(self, number: int) -> int:
        """Of a key: 56 bits."""
        return int.from_bytes(self._hash(str(number), b"key", 7), "big")

    def endpoint(self, text: str) -> str:
        """Of an endpoint, where these are renamed."""
        return self._hash(text, b"endpoint", 6).hex() if self._endpoints and text else text

    def event(self, event: Event) -> Event:
        """An event under other names."""
        if isinstance(event, MessageArrived):
            key = None if event.key is None else self.key(event.key)
            tenant = None if event.tenant is None else self.tenant(event.tenant)
            return replace(event, id=self.message_id(event.id), key=key, tenant=tenant)
        if isinstance(event, AttemptEnded):
            return replace(event, id=self.message_id(event.id), endpoint=self.endpoint(event.endpoint))
        if isinstance(event, MessageWithdrawn):
            return MessageWithdrawn(self.message_id(event.id))
        if isinstance(event, EndpointsUpdated) and self._endpoints:
            entries = [replace(entry, endpoint=self.endpoint(entry.endpoint)) for entry in event.entries]
            return replace(event, entries=entries)
        return event

    def action(self, action: Action) -> Action:
        """An action under other names."""
        if isinstance(action, StartAttempt):
            return replace(action, id=self.message_id(action.id), endpoint=self.endpoint(action.endpoint))
        if isinstance(action, CancelAttempt | RejectMessage | FailMessage):
            return replace(action, id=self.message_id(action.id))
        return (
            CloseIdleConnections(self.endpoint(action.endpoint))
            if isinstance(action, CloseIdleConnections)
            else action
        )

    def actions(self, actions: Sequence[Action]) -> list[Action]:
        """Actions in their order."""
        return [self.action(action) for action in actions]

    def state(self, state: PolicyState) -> PolicyState:
        """A module's state under other names, as a module would have it that never knew the true ones."""
        structs = msgspec.structs.replace
        ids = self.message_id
        return structs(
            state,
            dests=[
                structs(
                    d,
                    held=[ids(m) for m in d.held],
                    endpoints=[structs(e, name=self.endpoint(e.name)) for e in d.endpoints],
                )
                for d in state.dests
            ],
            keys=[
                structs(
                    k, key=self.key(k.key), queue=[ids(m) for m in k.queue], owner=k.owner and ids(k.owner)
                )
                for k in state.keys
            ],
            ends=[(at, ids(m)) for at, m in state.ends],
            messages=[
                structs(m, id=ids(m.id), line=None if m.line is None else self.key(m.line))
                for m in state.messages
            ],
            actions=[(name, self._pending_action(name, data)) for name, data in state.actions],
            calls=[
                structs(
                    c,
                    endpoint=self.endpoint(c.endpoint),
                    parts={ids(m): n for m, n in c.parts.items()},
                    off=sorted(ids(m) for m in c.off),
                )
                for c in state.calls
            ],
            parts=[
                (ids(m), n, call, None if line is None else self.key(line))
                for m, n, call, line in state.parts
            ],
        )

    def _pending_action(self, name: str, data: bytes) -> bytes:
        return encode_action(self.action(decode_action(name, data)))
