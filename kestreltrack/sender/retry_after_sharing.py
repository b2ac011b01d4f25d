"""Exchanges Retry-After intervals between the two processes of one sender during an upgrade.

The Retry-After of a destination applies to the sender, not only to the process that received it (docs/upgrade.md).
"""

from __future__ import annotations

from kestreltrack.decision import RetryAfterReceived
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.telemetry import Telemetry


class RetryAfterSharing:
    """Publishes the Retry-After intervals of this process, and receives those of the other process."""

    def __init__(self, dispatcher: Dispatcher, telemetry: Telemetry) -> None:
        """Start with sharing disabled; setting `files` enables it."""
        self.dispatcher = dispatcher
        self.telemetry = telemetry
        self.files: SharedRetryAfter | None = None

    def publish(self, dest: int, retry_after_ms: float) -> None:
        """Publish to the other process that `dest` requested a pause of `retry_after_ms` from now."""
        if self.files is None:
            return
        now_ms = self.dispatcher.clock()
        try:
            self.files.record(dest, now_ms + retry_after_ms, now_ms)
        except OSError as error:
            self.telemetry.record_fault("delivery.retry_after_not_persisted", error=str(error))

    def receive(self) -> None:
        """Notify the decision module of the intervals that the other process published since the last call."""
        if self.files is None:
            return
        try:
            received = self.files.read_changes(self.dispatcher.clock())
        except OSError as error:
            self.telemetry.record_fault("delivery.retry_after_unreadable", error=str(error))
            return
        for dest, retry_at_ms in received.items():
            self.telemetry.count("delivery.retry_after_received")
            self.dispatcher.notify(RetryAfterReceived(dest, retry_at_ms))
