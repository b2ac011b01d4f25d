"""The narrow interfaces by which fronts, list sources, claim transports and the core meet.

Plain dataclasses and protocols only.  A second front, list source or transport is another implementation of
one of these protocols; it goes through the same decisions and rules (`docs/design.md`).
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from kestreltrack.decision.api import Lifecycle, Outcome

Clock = Callable[[], float]


def make_clock(rate: float = 1.0) -> Clock:
    """Milliseconds that read like Unix time at the start and never go back afterwards; at `rate` times real time."""
    ahead, start = time.time() - time.monotonic(), time.time()
    if rate != 1.0:
        return lambda: (start + rate * (time.monotonic() + ahead - start)) * 1000.0
    return lambda: (time.monotonic() + ahead) * 1000.0


@dataclass(frozen=True, slots=True)
class Message:
    """One message as it was handed in; `expires` is on the clock, which outlives the process."""

    id: str
    cls: str
    dest: int
    expires: float
    body: bytes = b""
    tenant: str | None = None
    order_key: int | None = None
    idempotency_key: str | None = None


# What a front hears ------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TakenOn:
    """The sender owes the message its end; `before` where an earlier request had handed it in."""

    before: bool = False


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """Not taken on; handing it in again is harmless, after `wait_ms` where that is told."""

    wait_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not a message that this sender can serve."""

    reason: str


Answer = TakenOn | TurnedAway | Rejected


class Intake(Protocol):
    """Where a front hands in messages."""

    async def submit(self, message: Message) -> Answer:
        """Take a message on, or say why not."""

    def withdraw(self, message_id: str) -> None:
        """The submitter left unanswered: the message is nobody's any more."""


# Claims ------------------------------------------------------------------------------------------


class Begin(Protocol):
    """Asked right before the first byte of a claim; may say that it must not go."""

    def __call__(self, *others: str) -> bool:
        """`others` are the messages that share its call: all may go and are recorded in one write, or none."""


@dataclass(eq=False, slots=True)
class SharedCall:
    """One call for several messages, that one decision sends to one execute node.

    A transport that carries such calls sets `join` at the first of its claims; any other leaves them single.
    """

    join: Callable[[Claim], Awaitable[ClaimResult]] | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """One attempt; `begin` is asked right before the first byte."""

    message: Message
    node: str
    address: str
    timeout_ms: float
    begin: Begin
    call: SharedCall | None = None  # shared with claims of other messages


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """How a claim ended, with what the execute node told."""

    outcome: Outcome
    over: bool = False
    wait_ms: float = 0.0
    stale: bool = False  # it broke unanswered on a connection kept from an earlier claim
    report: dict[str, float] = field(default_factory=dict)


class Transport(Protocol):
    """Carries claims to execute nodes.  Cancelling `claim` ends it with an outcome all the same."""

    async def claim(self, claim: Claim) -> ClaimResult:
        """Carry out one claim."""

    def unlink(self, uid: str) -> None:
        """Close the idle connections to an execute node."""


# The machine list --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Machine:
    """One execute node on the machine list."""

    uid: str
    address: str
    dest: int
    kind: str
    zone: str = ""
    state: Lifecycle = Lifecycle.UP
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The whole machine list, or the entries that changed."""

    rev: int
    whole: bool
    machines: tuple[Machine, ...]


class SourceFailed(Exception):
    """The list source gave no answer, or none that can be read."""


class ListSource(Protocol):
    """Follows the machine list."""

    def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then every change, until it raises `SourceFailed`."""


# Ends told later ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Notice:
    """The end of a message that was taken on and not delivered: a requeue notice, or given up."""

    message_id: str
    requeue: bool
    wait_ms: float = 0.0


class NoticeBoard(Protocol):
    """Tells the platform of ends."""

    async def tell(self, notice: Notice) -> None:
        """Return once the platform has the notice, however long that takes."""
