"""Replaces message ids, tenants and ordering keys with keyed hashes, so that a capture can be shared.

The hash is keyed BLAKE2b (RFC 7693, section 2.9): with the key file, a message can be found by its id; without it,
the id cannot be recovered.  The decision module must depend only on whether two ids are equal, not on their content;
`tests/test_pseudonyms.py` checks that.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import msgspec

from kestreltrack.capture.errors import CaptureError
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
    OrderedElsewhere,
    RejectMessage,
    StartAttempt,
)
from kestreltrack.snapshot.state import CallState, DestinationState, KeyQueueState, MessageState, PolicyState
from kestreltrack.snapshot.stored_forms import decode_action, encode_action

# Keys shorter than 128 bits could be guessed; BLAKE2b accepts at most 64 bytes.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
# Large enough to avoid collisions within a capture, and small to keep its records short.
ID_HASH_BYTES = 9
TENANT_HASH_BYTES = 9
KEY_HASH_BYTES = 7
ENDPOINT_HASH_BYTES = 6


class InvalidKeyError(CaptureError):
    """The key file cannot be read, or its key has an invalid size."""


def read_key_file(file: Path) -> bytes:
    """Return the key in a file: all its bytes except trailing line breaks.

    Raises:
        InvalidKeyError: The file cannot be read, or the key has an invalid size.
    """
    try:
        key = file.read_bytes().rstrip(b"\r\n")
    except OSError as error:
        raise InvalidKeyError(f"{file}: {error.strerror}") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise InvalidKeyError(f"{file}: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {len(key)}")
    return key


class Pseudonyms:
    """Replaces the names in events, actions and states; equal keys give equal pseudonyms."""

    def __init__(self, key: bytes, endpoints: bool = False) -> None:
        """Use a key; with `endpoints`, the names of endpoints, which may be addresses, are replaced too."""
        self._key = key
        self._endpoints = endpoints

    def _hash(self, text: str, purpose: bytes, size_bytes: int) -> bytes:
        """Return the keyed hash of a text; equal texts have different hashes for different purposes."""
        return hashlib.blake2b(text.encode(), digest_size=size_bytes, key=self._key, person=purpose).digest()

    def message_id(self, text: str) -> str:
        """Return the pseudonym of a message id: 18 hexadecimal digits."""
        return self._hash(text, b"id", ID_HASH_BYTES).hex()

    def tenant(self, text: str) -> str:
        """Return the pseudonym of a tenant: 18 hexadecimal digits."""
        return self._hash(text, b"tenant", TENANT_HASH_BYTES).hex()

    def key(self, number: int) -> int:
        """Return the pseudonym of an ordering key: a number of 56 bits."""
        return int.from_bytes(self._hash(str(number), b"key", KEY_HASH_BYTES), "big")

    def _optional_key(self, number: int | None) -> int | None:
        return None if number is None else self.key(number)

    def endpoint(self, text: str) -> str:
        """Return the pseudonym of an endpoint, 12 hexadecimal digits, or its name if endpoints are not replaced."""
        if not self._endpoints or not text:
            return text
        return self._hash(text, b"endpoint", ENDPOINT_HASH_BYTES).hex()

    def event(self, event: Event) -> Event:
        """Return an event with pseudonyms."""
        if isinstance(event, MessageArrived):
            tenant = None if event.tenant is None else self.tenant(event.tenant)
            key = self._optional_key(event.key)
            return replace(event, id=self.message_id(event.id), key=key, tenant=tenant)
        if isinstance(event, AttemptEnded):
            return replace(event, id=self.message_id(event.id), endpoint=self.endpoint(event.endpoint))
        if isinstance(event, MessageWithdrawn):
            return MessageWithdrawn(self.message_id(event.id))
        if isinstance(event, OrderedElsewhere):
            before = event.before and self.message_id(event.before)
            return replace(event, id=self.message_id(event.id), key=self.key(event.key), before=before)
        if isinstance(event, EndpointsUpdated) and self._endpoints:
            entries = [replace(entry, endpoint=self.endpoint(entry.endpoint)) for entry in event.entries]
            return replace(event, entries=entries)
        return event

    def action(self, action: Action) -> Action:
        """Return an action with pseudonyms."""
        if isinstance(action, StartAttempt):
            return replace(action, id=self.message_id(action.id), endpoint=self.endpoint(action.endpoint))
        if isinstance(action, CancelAttempt | RejectMessage | FailMessage):
            return replace(action, id=self.message_id(action.id))
        if isinstance(action, CloseIdleConnections):
            return CloseIdleConnections(self.endpoint(action.endpoint))
        return action

    def actions(self, actions: Sequence[Action]) -> list[Action]:
        """Return actions with pseudonyms, in their order."""
        return [self.action(action) for action in actions]

    def state(self, state: PolicyState) -> PolicyState:
        """Return a state with pseudonyms, as if the decision module had received only these."""
        return msgspec.structs.replace(
            state,
            dests=[self._destination(dest) for dest in state.dests],
            keys=[self._key_queue(key_queue) for key_queue in state.keys],
            away=[self.message_id(id_) for id_ in state.away] if state.away else msgspec.UNSET,
            ends=[(at, self.message_id(id_)) for at, id_ in state.ends],
            messages=[self._message(message) for message in state.messages],
            actions=[(name, self._pending_action(name, data)) for name, data in state.actions],
            calls=[self._call(call) for call in state.calls],
            parts=[
                (self.message_id(id_), attempt, call, self._optional_key(key))
                for id_, attempt, call, key in state.parts
            ],
        )

    def _destination(self, dest: DestinationState) -> DestinationState:
        return msgspec.structs.replace(
            dest,
            held=[self.message_id(id_) for id_ in dest.held],
            endpoints=[
                msgspec.structs.replace(endpoint, name=self.endpoint(endpoint.name))
                for endpoint in dest.endpoints
            ],
        )

    def _key_queue(self, key_queue: KeyQueueState) -> KeyQueueState:
        return msgspec.structs.replace(
            key_queue,
            key=self.key(key_queue.key),
            queue=[self.message_id(id_) for id_ in key_queue.queue],
            owner=key_queue.owner and self.message_id(key_queue.owner),
        )

    def _message(self, message: MessageState) -> MessageState:
        return msgspec.structs.replace(
            message, id=self.message_id(message.id), line=self._optional_key(message.line)
        )

    def _call(self, call: CallState) -> CallState:
        return msgspec.structs.replace(
            call,
            endpoint=self.endpoint(call.endpoint),
            parts={self.message_id(id_): attempt for id_, attempt in call.parts.items()},
            off=sorted(self.message_id(id_) for id_ in call.off),
        )

    def _pending_action(self, name: str, data: bytes) -> bytes:
        return encode_action(self.action(decode_action(name, data)))
