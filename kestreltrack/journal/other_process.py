"""What the other process of this sender has accepted and ended, read from its journal file while it is running.

Both processes of an upgrade are one sender to its clients, so an id that the other one knows must not be delivered
again by this one.  The other process writes its file before it answers a client; this one reads what was appended
since its last look, before it accepts a message.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.journal.ended_messages import EndedMessages, EndKind

# The position of the record in a line, behind its checksum.
_RECORD_OFFSET = 9


class OtherProcessIds:
    """The ids in the journal file of another slot; the file may be appended to, replaced or deleted at any time."""

    def __init__(self, path: Path) -> None:
        """Read nothing yet."""
        self.path = os.fspath(path)
        self.outstanding = set[str]()
        self.ended = EndedMessages()
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
                self._apply(orjson.loads(line[_RECORD_OFFSET:]))

    def _forget(self) -> None:
        self.outstanding.clear()
        self.ended = EndedMessages()
        self._inode = -1
        self._offset = 0

    def _apply(self, row: dict[str, Any]) -> None:
        match row["t"]:
            case "held":
                self.outstanding.add(row["id"])
            case "end":
                self.outstanding.discard(row["id"])
                if "at" in row:
                    self.ended.add(row["id"], row["at"], EndKind(row["kind"]))
            case "ended":
                self.ended.update((id_, at_ms, EndKind(kind)) for id_, at_ms, kind in row["ends"])
