"""Writes log lines to standard error without ever waiting for its reader.

A pipe whose reader has stopped reading blocks a write for as long as it pleases, and with it the event loop.
"""

from __future__ import annotations

import os
import select
import sys
from typing import TextIO

# A pipe that is writable takes this much without blocking (POSIX: PIPE_BUF on Linux).
ATOMIC_BYTES = 4096


class LogOutput:
    """Standard error, which tests may replace at any time."""

    def __init__(self) -> None:
        """Look up standard error at the first line."""
        self._stream: TextIO | None = None
        self._descriptor: int | None = None
        self._poll = select.poll()
        # The rest of a line of which a part was written.
        self._unwritten = b""

    def write(self, line: bytes) -> bool:
        """Write a line, or return False if its reader is not ready for it.

        Raises:
            OSError: The reader has ended.
        """
        if sys.stderr is not self._stream:
            self._use(sys.stderr)
        if self._descriptor is None:
            sys.stderr.buffer.write(line)
            sys.stderr.buffer.flush()
            return True
        if self._unwritten:
            self._unwritten = self._write_ready(self._descriptor, self._unwritten)
        if self._unwritten:
            return False
        rest = self._write_ready(self._descriptor, line)
        if len(rest) == len(line):
            return False
        self._unwritten = rest
        return True

    def _use(self, stream: TextIO) -> None:
        if self._descriptor is not None:
            self._poll.unregister(self._descriptor)
        self._stream = stream
        self._unwritten = b""
        try:
            self._descriptor = stream.fileno()
        except (OSError, ValueError, AttributeError):  # not a file
            self._descriptor = None
        else:
            self._poll.register(self._descriptor, select.POLLOUT)

    def _write_ready(self, descriptor: int, data: bytes) -> bytes:
        """Write as much as the reader is ready for, and return the rest."""
        while data and self._poll.poll(0):
            data = data[os.write(descriptor, data[:ATOMIC_BYTES]) :]
        return data
