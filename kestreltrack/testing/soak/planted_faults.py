"""Faults of the sender that are planted on purpose, to show that the soak finds them.

`python -m kestreltrack.testing.soak.planted_faults NAME` starts the sender with one of them.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable, Sequence
from typing import Any

from kestreltrack.decision import Outcome
from kestreltrack.endpoints import http_transport, responses
from kestreltrack.http1 import Connection, ConnectionReuse, SelectedConnection
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import AttemptResult, StatusNotification
from kestreltrack.sender.recovery import Recovery


def _reuse_at_once() -> None:
    def select(
        self: ConnectionReuse, server: str, idle: Sequence[Connection], now: float, *, strict: bool
    ) -> SelectedConnection | None:
        return SelectedConnection(idle[-1], 0.0) if idle else None

    _replace(ConnectionReuse, "select", select)


def _ignore_retry_after() -> None:
    _replace(responses, "parse_retry_after_ms", lambda head, telemetry: 0.0)


def _retry_ambiguous_attempts() -> None:
    def not_executed(connection: Connection, error: BaseException) -> AttemptResult:
        return AttemptResult(Outcome.UNREACHABLE)

    _replace(http_transport, "_result_without_response", not_executed)


def _forget_outstanding_messages() -> None:
    def recover(self: Recovery, outstanding_messages: Sequence[Any]) -> None:
        """Resume nothing."""

    _replace(Recovery, "recover", recover)


def _send_no_notification() -> None:
    async def notify(self: HttpNotifier, notification: StatusNotification) -> None:
        """Report success without a request."""

    _replace(HttpNotifier, "notify", notify)


PLANTED_FAULTS: dict[str, Callable[[], None]] = {
    "reuse at once": _reuse_at_once,
    "ignore retry-after": _ignore_retry_after,
    "retry ambiguous attempts": _retry_ambiguous_attempts,
    "forget outstanding messages": _forget_outstanding_messages,
    "send no notification": _send_no_notification,
}


def _replace(owner: Any, name: str, replacement: Any) -> None:
    """Replace a function or method, which must exist."""
    getattr(owner, name)
    setattr(owner, name, replacement)


if __name__ == "__main__":
    PLANTED_FAULTS[sys.argv.pop(1)]()
    runpy.run_module("kestreltrack", run_name="__main__")
