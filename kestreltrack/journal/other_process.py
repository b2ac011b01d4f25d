"""What the other process of this sender has written to its journal file, read while it is running.

Both processes of an upgrade are one sender.  To its clients, so that an id that the other one knows must not be
delivered again by this one; and to discovery, so that an endpoint list that the other one was told binds this one.
The other process writes its file before it acts; this one reads what was appended since its last look, before it
accepts a message and at regular intervals.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.decision import Outcome
from kestreltrack.journal.codec import CHECKSUM_BYTES, ListHead, decode_list_head, decode_record
from kestreltrack.journal.ended_messages import EndedMessages, EndKind
from kestreltrack.journal.errors import InvalidRecordError
from kestreltrack.ports import EndpointListUpdate


@dataclass(slots=True)
class OrderedMessage:
    """An outstanding message with an ordering key.

    Attributes:
        key: The ordering key.
        accepted_at: Its place among the messages of the key.
        in_flight: Whether an attempt is in flight.
    """

    key: int
    accepted_at: float
    in_flight: bool


class OtherProcess:
    """Reads the journal file of another slot, which may be appended to, replaced or deleted at any time.

    Attributes:
        path: The file.
        outstanding: The ids of the messages that the other process has accepted and not ended.
        ended: The messages that ended a short time ago.
        ordered: The outstanding messages with an ordering key, until it is decided how they end.
        uncertain_attempts: The ids and ordering keys of attempts of such messages that ended and may still execute.
    """

    def __init__(self, path: Path) -> None:
        """Read nothing yet."""
        self.path = os.fspath(path)
        self.outstanding = set[str]()
        self.ended = EndedMessages()
        self.ordered = dict[str, OrderedMessage]()
        self.uncertain_attempts = list[tuple[str, int]]()
        # The records of endpoints that were read and not taken yet, oldest first.
        self._endpoint_lines = list[tuple[ListHead, bytes]]()
        self._inode = -1
        self._offset = 0

    def refresh(self) -> None:
        """Read what was written since the last call: a `stat` if nothing was.

        Raises:
            OSError: The file cannot be read.
        """
        try:
            status = os.stat(self.path)
        except FileNotFoundError:
            self._forget()
            return
        if status.st_ino != self._inode or status.st_size < self._offset:
            # Replaced by a compaction, or being taken over.
            self._forget()
        if status.st_size == self._offset:
            return
        with open(self.path, "rb") as file:
            self._inode = os.fstat(file.fileno()).st_ino
            file.seek(self._offset)
            data = file.read()
        complete, newline, _ = data.rpartition(b"\n")
        self._offset += len(complete) + len(newline)
        for line in complete.splitlines():
            # A line that another version writes, or that is corrupt, says nothing.
            with suppress(ValueError, KeyError, TypeError):
                if head := decode_list_head(line):
                    self._add_endpoint_line(head, line)
                else:
                    self._apply(orjson.loads(line[CHECKSUM_BYTES:]))

    def take_endpoint_updates(self, is_news: Callable[[ListHead], bool]) -> list[EndpointListUpdate]:
        """Return the endpoint list and its changes that were read since the last call, oldest first.

        A complete list that is no news is left out without being decoded.
        """
        lines, self._endpoint_lines = self._endpoint_lines, []
        taken = list[EndpointListUpdate]()
        for head, line in lines:
            if head.complete and not is_news(head):
                continue
            with suppress(InvalidRecordError):
                record = decode_record(line)
                if isinstance(record, EndpointListUpdate):
                    taken.append(record)
        return taken

    def _add_endpoint_line(self, head: ListHead, line: bytes) -> None:
        if head.complete:
            self._endpoint_lines.clear()
        self._endpoint_lines.append((head, line))

    def _forget(self) -> None:
        self.outstanding.clear()
        self.ordered.clear()
        self.ended = EndedMessages()
        self._inode = -1
        self._offset = 0

    def _apply(self, row: dict[str, Any]) -> None:
        match row["t"]:
            case "held":
                self.outstanding.add(row["id"])
                if row["order_key"] is not None and not row["owed"]:
                    accepted_at = float(row.get("accepted_at", 0.0))
                    self.ordered[row["id"]] = OrderedMessage(row["order_key"], accepted_at, bool(row["out"]))
            case "claim" | "outcome" if row["id"] in self.ordered:
                self._apply_attempt(self.ordered[row["id"]], row)
            case "owed":
                self.ordered.pop(row["id"], None)
            case "end":
                self.outstanding.discard(row["id"])
                self.ordered.pop(row["id"], None)
                if "at" in row:
                    self.ended.add(row["id"], row["at"], EndKind(row["kind"]))
            case "ended":
                self.ended.update((id_, at_ms, EndKind(kind)) for id_, at_ms, kind in row["ends"])

    def _apply_attempt(self, message: OrderedMessage, row: dict[str, Any]) -> None:
        message.in_flight = row["t"] == "claim"
        if not message.in_flight and Outcome(row["outcome"]).may_still_execute():
            self.uncertain_attempts.append((row["id"], message.key))
