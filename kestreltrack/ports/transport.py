"""How attempts are carried to endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from kestreltrack.decision import Outcome
from kestreltrack.ports.submission import Message


class BeginAttempt(Protocol):
    """Asked right before the first byte of a claim; may say that it must not go."""

    def __call__(self, *other_message_ids: str) -> bool:
        """`others` are the messages that share its call: all may go and are recorded in one write, or none."""


@dataclass(eq=False, slots=True)
class BatchCall:
    """One call for several messages, that one decision sends to one execute node.

    A transport that carries such calls sets `join` at the first of its claims; any other leaves them single.
    """

    add_attempt: Callable[[Attempt], Awaitable[AttemptResult]] | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt; `begin` is asked right before the first byte."""

    message: Message
    endpoint: str
    address: str
    timeout_ms: float
    begin: BeginAttempt
    batch_call: BatchCall | None = None  # shared with claims of other messages


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a claim ended, with what the execute node told."""

    outcome: Outcome
    final: bool = False
    retry_after_ms: float = 0.0
    stale_connection: bool = False  # it broke unanswered on a connection kept from an earlier claim
    load_report: dict[str, float] = field(default_factory=dict)


class Transport(Protocol):
    """Carries claims to execute nodes.  Cancelling `claim` ends it with an outcome all the same."""

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Carry out one claim."""

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an execute node."""
