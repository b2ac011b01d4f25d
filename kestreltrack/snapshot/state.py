"""The stored form of a snapshot; what refers to another part is a key or a position.

The names are part of the format, as those of `PolicyState` are written to disk; `codec.py` maps them to the
attributes of the decision module. The other types are written as arrays: fields may only be added at the end.

Reading executes nothing and builds only these types (msgspec); anything else is a `SnapshotError`.
"""

from __future__ import annotations

import msgspec

from kestreltrack.decision.arithmetic import NEVER
from kestreltrack.snapshot.stored_forms import SettingsForm

# To be raised with every change of what a field means; new fields with defaults need no new version.
FORMAT_VERSION = 3
MAX_BYTES = 256 * 1024 * 1024


class SnapshotError(Exception):
    """The data is no snapshot that this version can restore; the text says why."""


class GuardState(msgspec.Struct, array_like=True):
    """The limits of the calls to an endpoint or a destination; `trial` is the number of a call."""

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
    """An endpoint with the limits that are its own; those that it shares are its destination's."""

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
    """A destination; `held` are the ids of its queued messages, in their order."""

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
    """A message that is queued or in flight; `line` is its key, where the messages of a key go in order."""

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
    """A call in flight; others refer to it by its position in the list."""

    dest: int
    endpoint: str
    sent: float
    fresh: bool
    parts: dict[str, int]
    told: bool
    overdue: bool
    off: list[str]


class LineState(msgspec.Struct, array_like=True):
    """The queue of the messages of one key."""

    key: int
    queue: list[str]
    out: int
    rest: float
    owner: str


class PolicyState(msgspec.Struct):
    """The whole state."""

    form: int
    settings: SettingsForm
    random: tuple[int, list[int], float | None]
    now: float
    shift: float
    out: int
    dests: list[DestinationState]
    busy: list[int]
    keys: list[LineState]
    ends: list[tuple[float, str]]
    scarce: list[str]
    leaving: list[int]
    messages: list[MessageState]
    actions: list[tuple[str, bytes]]
    calls: list[CallState]
    # Message, attempt, number of its call, key of its queue.
    parts: list[tuple[str, int, int, int | None]]
    ticking: bool
    subscribed: bool
    ask_at: float
    ask_gap: float
    stops: float
    order: int = 0
    # The sequence numbers of `ends`; without them, as in version 0.2, ties go by the id alone.
    orders: list[int] = msgspec.field(default_factory=list)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(PolicyState)


def encode(state: PolicyState) -> bytes:
    """Return a state as bytes."""
    return ENCODER.encode(state)


def canonical(data: bytes) -> bytes:
    """Return the same state as bytes that compare: numbers in the form of their types; raises `SnapshotError`."""
    return encode(decode(data))


def decode(data: bytes) -> PolicyState:
    """Return the state that bytes stand for; raises `SnapshotError`."""
    if len(data) > MAX_BYTES:
        raise SnapshotError(f"{len(data)} bytes are more than {MAX_BYTES}")
    try:
        state = DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise SnapshotError(str(error)) from error
    if state.form != FORMAT_VERSION:
        raise SnapshotError(f"its form is {state.form}, this version takes up {FORMAT_VERSION}")
    return state
