"""The file of one slot: it is appended to, and replaced as a whole when it is compacted.

Plain writes: the platform preserves what was written, with no `fsync`.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from kestreltrack.journal.errors import JournalFullError


class JournalFile:
    """The file of one slot, with its length in bytes; it is open from the first `replace` until `close`."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Remove an unfinished replacement, whose process ended before it was in place.  Raises `OSError`."""
        self.path = folder / slot
        self.size_bytes = 0
        self.is_open = False
        self._fd = -1
        self._replacement_path = folder / f"{slot}.new"
        self._replacement_path.unlink(missing_ok=True)

    def append(self, data: bytes) -> None:
        """Write at the end: all of `data` or nothing.  Raises `JournalFullError`."""
        _write_or_truncate(self._fd, data, self.size_bytes)
        self.size_bytes += len(data)

    def replace(self, data: bytes) -> None:
        """Put a new file with this content in place of the old one.

        Raises `JournalFullError` where that fails; the old file stays then, and is still open.
        """
        try:
            fd = os.open(self._replacement_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as error:  # there is no descriptor left, for example
            raise JournalFullError(str(error)) from error
        try:
            _write_or_truncate(fd, data, 0)
            os.rename(self._replacement_path, self.path)
        except BaseException as error:
            os.close(fd)
            with suppress(OSError):
                self._replacement_path.unlink(missing_ok=True)
            if isinstance(error, OSError):
                raise JournalFullError(str(error)) from error
            raise
        if self.is_open:
            os.close(self._fd)
        self._fd = fd
        self.is_open = True
        self.size_bytes = len(data)

    def close(self) -> None:
        """Close the file; nothing is written after this."""
        os.close(self._fd)
        # The kernel gives the number to the next file that is opened: that may be a connection.
        self._fd = -1
        self.is_open = False


def _write_or_truncate(fd: int, data: bytes, offset: int) -> None:
    """Write all of `data` at the end of a file of `offset` bytes, or cut the file back to that length."""
    try:
        if os.write(fd, data) == len(data):
            return
        reason = "a short write"
    except OSError as error:
        reason = str(error)
    try:
        os.ftruncate(fd, offset)  # half a record would make the one behind it unreadable
    except OSError as error:
        reason = f"{reason}, and {error}"
    raise JournalFullError(reason)
