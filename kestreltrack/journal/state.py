"""The state that results from applying journal records.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from kestreltrack.discovery import EndpointList
from kestreltrack.journal.codec import decode_record
from kestreltrack.journal.ended_messages import EndedMessages
from kestreltrack.journal.errors import InvalidRecordError
from kestreltrack.journal.records import (
    AttemptEnded,
    AttemptStarted,
    EndedIds,
    MessageCompleted,
    OrderReversed,
    OutstandingMessage,
    Record,
)
from kestreltrack.ports import EndpointListUpdate, StatusNotification
from kestreltrack.telemetry import Telemetry

# Estimated size of the later records of a message: its attempts, their outcomes and its end.
LIFECYCLE_RESERVE_BYTES = 300


class JournalState:
    """The outstanding messages in order of acceptance, those that ended lately, and the last endpoint list."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Start without messages and without an endpoint list."""
        self.telemetry = telemetry
        self.outstanding: dict[str, OutstandingMessage] = {}
        self.ended = EndedMessages()
        self._endpoint_list: EndpointList | None = None
        self._outstanding_bytes = 0
        self._reversed = False

    @property
    def endpoints(self) -> EndpointListUpdate | None:
        """The endpoint list as last recorded; `None` if none was recorded."""
        return None if self._endpoint_list is None else self._endpoint_list.snapshot()

    def split_lines(self, data: bytes) -> list[bytes]:
        """Return the complete lines of a file.

        An incomplete last line is counted and dropped: its write was never confirmed to the caller.
        """
        *lines, incomplete_line = data.split(b"\n")
        if incomplete_line:
            self.telemetry.record_fault("journal.torn", bytes=len(incomplete_line))
        return lines

    def recover(self, lines: Iterable[bytes], first_line_number: int = 1) -> None:
        """Apply the records in these lines; unreadable ones are counted and skipped."""
        for line_number, line in enumerate(lines, first_line_number):
            try:
                self._apply(decode_record(line))
            # A record with a valid checksum may still contain values of types that this version does not write.
            except (InvalidRecordError, ValueError, KeyError, TypeError) as error:
                self.telemetry.record_fault("journal.corrupt", line=line_number, error=repr(error))

    def restore_order(self) -> None:
        """Reverse the messages if the file stores them in reverse order, so that ordering keys keep their order."""
        if self._reversed:
            self.outstanding = dict(reversed(self.outstanding.items()))
            self._reversed = False

    def _apply(self, record: Record) -> None:
        # Most frequent record types first.
        match record:
            case AttemptStarted():
                self._find_outstanding(record.message_id).start_attempt(record.start)
            case AttemptEnded():
                self._find_outstanding(record.message_id).end_attempt(record.outcome)
            case OutstandingMessage():
                self._add_outstanding(record, 0)
            case MessageCompleted():
                self._remove_outstanding(record.message_id)
                self._remember_end(record)
            case EndedIds():
                self.ended.update(record.ends)
            case StatusNotification():
                self._set_pending_notification(record)
            case EndpointListUpdate():
                self._update_endpoints(record)
            case OrderReversed():
                self._reversed = True

    def _add_outstanding(self, outstanding: OutstandingMessage, record_bytes: int) -> None:
        outstanding.reserved_bytes = record_bytes + LIFECYCLE_RESERVE_BYTES
        self.outstanding[outstanding.message.id] = outstanding
        self._outstanding_bytes += outstanding.reserved_bytes

    def _set_pending_notification(self, notification: StatusNotification) -> None:
        self._find_outstanding(notification.message_id).pending_notification = notification

    def _remove_outstanding(self, message_id: str) -> None:
        removed = self.outstanding.pop(message_id, None)
        if removed is not None:
            self._outstanding_bytes -= removed.reserved_bytes

    def _remember_end(self, completed: MessageCompleted) -> None:
        if completed.ended_at is not None:
            self.ended.add(completed.message_id, completed.ended_at, completed.kind)

    def _find_outstanding(self, message_id: str) -> OutstandingMessage:
        outstanding = self.outstanding.get(message_id)
        if outstanding is None:
            raise InvalidRecordError(f"message {message_id!r} is not outstanding")
        return outstanding

    def _update_endpoints(self, update: EndpointListUpdate) -> None:
        if self._endpoint_list is None:
            self._endpoint_list = EndpointList()
        self._endpoint_list.apply(update)
