"""The stored types of a snapshot; references between parts are keys, names, ids or list positions.

`PolicyState` is stored as a map, so its field names are part of the format; `codec.py` maps the fields to the
attributes of the decision module.  The other types are stored as arrays: fields may only be added at their end.

Decoding executes no code and builds only these types (msgspec); it raises `SnapshotError` for any other data.
"""

from __future__ import annotations

import msgspec

from kestreltrack.decision.arithmetic import NEVER
from kestreltrack.snapshot.stored_forms import SettingsForm

# Increment when the meaning of a field changes; new fields with defaults need no new version.
FORMAT_VERSION = 3
MAX_BYTES = 256 * 1024 * 1024


class SnapshotError(Exception):
    """The data is not a snapshot that this version can restore; the text says why."""


class GuardState(msgspec.Struct, array_like=True):
    """The call limits of an endpoint or a destination; `trial` is the position of the trial call in `calls`."""

    apart: bool
    base: float
    pace: float
    left: float
    cold: float
    relays: int
    tokens: float
    share: float
    streak: int
    before: int
    wait_until: float
    open_until: float
    failed_at: float
    since: float
    sent_at: float
    at: float
    ramp_from: float
    trial: int | None
    fine_at: float = NEVER
    saved: float = 0.0
    saved_at: float = NEVER
    learns: bool = False
    done: float = 0.0
    met: float = NEVER


class EndpointState(msgspec.Struct, array_like=True):
    """An endpoint with its own call limits; `shares` says whether those of its destination apply as well."""

    name: str
    zone: str
    kind: str
    fee: float
    up: bool
    listed: bool
    latency: float
    links: int
    batch: int
    used: float
    answered: float
    gap: float
    shares: bool
    own: GuardState
    calls: list[int]


class DestinationState(msgspec.Struct, array_like=True):
    """A destination; `held` lists the ids of its queued messages in their order."""

    number: int
    tokens: float
    out: int
    size: float
    aim: float
    arrived: float
    max_start: float
    asked: int
    sick: bool
    shift: float
    guard: GuardState | None
    endpoints: list[EndpointState]
    held: list[str]
    heard: float = NEVER
    lent: tuple[float, float] = (0.0, NEVER)


class MessageState(msgspec.Struct, array_like=True):
    """A message that is queued or in flight; `line` is its ordering key, if its class is kept in order."""

    id: str
    cls: str
    dest: int
    expires: float
    zone: str
    due: float
    start: float
    finish: float
    tries: int
    doubt: float
    line: int | None
    order: int = 0
    rest: float = NEVER
    free: int = 0
    taken: bool = False
    stays: float = NEVER


class CallState(msgspec.Struct, array_like=True):
    """A call in flight; other parts refer to it by its position in `PolicyState.calls`."""

    dest: int
    endpoint: str
    sent: float
    fresh: bool
    parts: dict[str, int]
    told: bool
    overdue: bool
    off: list[str]


class KeyQueueState(msgspec.Struct, array_like=True):
    """The queue of the messages with one ordering key."""

    key: int
    queue: list[str]
    out: int
    rest: float
    owner: str


class PolicyState(msgspec.Struct):
    """The complete state of a decision module."""

    form: int
    settings: SettingsForm
    random: tuple[int, list[int], float | None]
    now: float
    shift: float
    out: int
    dests: list[DestinationState]
    busy: list[int]
    keys: list[KeyQueueState]
    ends: list[tuple[float, str]]
    scarce: list[str]
    leaving: list[int]
    messages: list[MessageState]
    actions: list[tuple[str, bytes]]
    calls: list[CallState]
    # The message, the attempt, the position of its call in `calls`, and the ordering key.
    parts: list[tuple[str, int, int, int | None]]
    ticking: bool
    subscribed: bool
    ask_at: float
    ask_gap: float
    stops: float
    order: int = 0
    # The sequence numbers of `ends`; snapshots of version 0.2 lack them, so that only ids break ties there.
    orders: list[int] = msgspec.field(default_factory=list)
    # The queued messages that the other process of the sender has in flight; not stored if there are none.
    away: list[str] | msgspec.UnsetType = msgspec.UNSET


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(PolicyState)


def encode(state: PolicyState) -> bytes:
    """Return an encoded state."""
    return ENCODER.encode(state)


def canonical(data: bytes) -> bytes:
    """Return an encoded state in a form that can be compared: numbers have the types of their fields.

    Raises:
        SnapshotError: The data is not a snapshot of this format version.
    """
    return encode(decode(data))


def decode(data: bytes) -> PolicyState:
    """Return a decoded state.

    Raises:
        SnapshotError: The data is too large, malformed or of another format version.
    """
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"snapshot of {len(data)} bytes exceeds the limit of {MAX_BYTES}")
    try:
        state = DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise SnapshotError(str(error)) from error
    if state.form != FORMAT_VERSION:
        raise SnapshotError(
            f"snapshot format version {state.form} is not supported, expected {FORMAT_VERSION}"
        )
    return state
