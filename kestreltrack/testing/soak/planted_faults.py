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
from kestreltrack.frontend.session import ClientSession
from kestreltrack.http1 import Connection, ConnectionReuse, SelectedConnection
from kestreltrack.journal.ended_messages import EndedMessages
from kestreltrack.memory import ByteBudget
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import AttemptResult, ListedEndpoint, StatusNotification
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


def _keep_ended_connections() -> None:
    kept = list[ClientSession]()

    def keep(self: ClientSession) -> None:
        kept.append(self)

    _replace(ClientSession, "release", keep)
    _replace(ClientSession, "_drop_unread_bytes", lambda self: None)


def _keep_budget() -> None:
    def change(self: ByteBudget, by_bytes: int) -> None:
        self.held_bytes += max(0, by_bytes)

    _replace(ByteBudget, "change", change)


def _forget_ended_ids() -> None:
    _replace(EndedMessages, "update", lambda self, ends: None)


def _ignore_restarts_of_endpoints() -> None:
    _replace(ListedEndpoint, "is_restart_of", lambda self, previous: False)


PLANTED_FAULTS: dict[str, Callable[[], None]] = {
    "reuse at once": _reuse_at_once,
    "ignore retry-after": _ignore_retry_after,
    "retry ambiguous attempts": _retry_ambiguous_attempts,
    "forget outstanding messages": _forget_outstanding_messages,
    "send no notification": _send_no_notification,
    "keep ended connections": _keep_ended_connections,
    "keep budget": _keep_budget,
    "forget ended ids": _forget_ended_ids,
    "ignore restarts of endpoints": _ignore_restarts_of_endpoints,
}


def _replace(owner: Any, name: str, replacement: Any) -> None:
    """Replace a function or method, which must exist."""
    getattr(owner, name)
    setattr(owner, name, replacement)


if __name__ == "__main__":
    PLANTED_FAULTS[sys.argv.pop(1)]()
    runpy.run_module("kestreltrack", run_name="__main__")
