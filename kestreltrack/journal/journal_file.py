"""The journal file of one slot: records are appended, and a compaction replaces the whole file.

There is no `fsync`: the platform preserves what was written.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from kestreltrack.journal.errors import JournalFullError


class JournalFile:
    """The journal file of one slot; open from the first `replace` until `close`."""

    def __init__(self, folder: Path, slot: str) -> None:
        """Remove an unfinished replacement that an earlier process of the slot left.  Raises `OSError`."""
        self.path = folder / slot
        self.size_bytes = 0
        self.is_open = False
        self._fd = -1
        self._replacement_path = folder / f"{slot}.new"
        self._replacement_path.unlink(missing_ok=True)

    def append(self, data: bytes) -> None:
        """Append all of `data` or nothing.  Raises `JournalFullError`."""
        _write_or_truncate(self._fd, data, self.size_bytes)
        self.size_bytes += len(data)

    def replace(self, data: bytes) -> None:
        """Replace the file by one that contains `data`.

        Raises `JournalFullError` if that fails; the old file then stays in place and open.
        """
        try:
            fd = os.open(self._replacement_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        except OSError as error:  # for example, no file descriptor is left
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
        """Close the file.  Nothing may be written afterwards."""
        os.close(self._fd)
        # The kernel reuses the descriptor number for the next file that is opened, possibly a connection.
        self._fd = -1
        self.is_open = False


def _write_or_truncate(fd: int, data: bytes, offset: int) -> None:
    """Append all of `data` to a file of `offset` bytes, or truncate the file to that length."""
    try:
        written = os.write(fd, data)
        if written == len(data):
            return
        reason = f"short write: {written} of {len(data)} bytes"
    except OSError as error:
        reason = str(error)
    try:
        os.ftruncate(fd, offset)  # a partial record would corrupt the next one
    except OSError as error:
        reason = f"{reason}; truncating the file failed: {error}"
    raise JournalFullError(reason)
