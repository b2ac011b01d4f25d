"""One call to a simulated endpoint, and its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """A call as an endpoint sees it."""

    id: str
    work_ms: float
    has_idempotency_key: bool
    sender: int
    zone_scoped: bool = False
    """Its key is remembered only by endpoints of one zone."""


@dataclass(slots=True)
class Reply:
    """Its answer."""

    status: str
    """`ok`, `error`, `full`, or `reset` where the connection ends without an answer."""
    retry_after_ms: float = 0.0
    quota_left: float | None = None
    rate_limit: float | None = None
    duplicate: bool = False


@dataclass(slots=True, eq=False)
class Job:
    requests: tuple[Request, ...]
    on_reply: Callable[[Reply], None]
    work_ms: float
    settled: bool = False
    """Nobody waits for its answer any more."""
    lost: bool = False
    """The process that ran it is gone."""
    paused_ms: float = 0.0
    """How long its endpoint had stood still when it began."""
