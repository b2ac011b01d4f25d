"""What happens in a world, as one stream: rules, worth and pictures listen to it, and to nothing else."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Asked:
    """A client wants a message delivered: its first try."""

    id: str
    dest: int
    cls: str
    firm: str
    within_share: bool
    deadline: float


@dataclass(frozen=True, slots=True)
class HandedIn:
    """One try of a client reaches a sender."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class TakenOn:
    """A sender said yes: it owes the message its end."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A sender said no."""

    id: str
    sender: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """The first byte of a claim leaves."""

    id: str
    sender: int
    dest: int
    endpoint: str
    number: int
    out: int
    """Calls of this sender to this destination that are out, with this one."""
    sick: bool
    """Whether the sender's module counts the destination as sick."""
    zone: str = ""
    """Of the endpoint."""


@dataclass(frozen=True, slots=True)
class Answered:
    """An attempt is over for its sender."""

    id: str
    sender: int
    dest: int
    endpoint: str
    outcome: str
    wait_ms: float
    new_connection: bool
    took_ms: float
    first: bool = True
    """Of its call, where that has many messages."""
    fee: float = 0.0
    """Of the route, where it took the message on."""


@dataclass(frozen=True, slots=True)
class Effect:
    """A message took effect at a partner, or a repeat of it was dropped there."""

    id: str
    dest: int
    repeat: bool
    work_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """The end that a sender gives: `delivered`, `refused` (handed back) or `failed`."""

    id: str
    sender: int
    how: str
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Listed:
    """A sender learns that an endpoint is up, drains or is removed."""

    sender: int
    endpoint: str
    state: str


@dataclass(frozen=True, slots=True)
class Fell:
    """A returning partner was pushed over; the work of each sender in the span before."""

    dest: int
    work: dict[int, float]
    endpoints: tuple[str, ...] = ()
    """Where only these fell."""


@dataclass(frozen=True, slots=True)
class Died:
    """A sender's process ends without a word."""

    sender: int


@dataclass(frozen=True, slots=True)
class Born:
    """One begins, with the messages that its journal holds."""

    sender: int
    recovered: int


@dataclass(frozen=True, slots=True)
class Went:
    """Something goes wrong, or is over."""

    what: str
    who: str
    begins: bool
    endpoints: tuple[str, ...] = ()
    """Where it is with these and not with all of the partners."""


Event = (
    Asked
    | HandedIn
    | TakenOn
    | TurnedAway
    | Attempt
    | Answered
    | Effect
    | Ended
    | Listed
    | Fell
    | Died
    | Born
    | Went
)
Listener = Callable[[float, Event], None]
