"""Bounds what one response may cost: received bytes, parsed events, header fields, and time in one turn of the loop.

A limit on the size of a body alone does not bound the work: a body of 64 KiB may come in 65,536 chunks.
"""

from __future__ import annotations

from kestreltrack.http1.errors import BodyTooLargeError, ConnectionBrokenError

# Limit on the status line and headers of a response.
MAX_HEAD_BYTES = 16 * 1024

# Limit on the header fields of a response.
MAX_HEADER_FIELDS = 128

# The bytes of a response that are passed to the parser at a time: it parses all trailer fields in them at once.
SLICE_BYTES = 4096

# Events of the parser, which each chunk causes at least one of, before other tasks get their turn.
EVENTS_PER_TURN = 32

# The events of a small response, for example one that is written line by line.
MIN_EVENTS = 128

# Beyond that, a response must not have more events than one for so many bytes of the limit on its body.
BYTES_PER_EVENT = 256

# Chunk sizes, chunk extensions and trailer fields.
MAX_FRAMING_BYTES = 16 * 1024


class ResponseWork:
    """What the reading of one body has cost so far."""

    def __init__(self, max_body_bytes: int) -> None:
        """Allow for a body of up to `max_body_bytes`."""
        self._bytes_left = max_body_bytes + MAX_FRAMING_BYTES
        self._events_left = MIN_EVENTS + max_body_bytes // BYTES_PER_EVENT
        self._events_in_turn = 0

    def record_received(self, size: int) -> None:
        """Record received bytes of the body and its framing.

        Raises:
            BodyTooLargeError: There are too many.
        """
        self._bytes_left -= size
        if self._bytes_left < 0:
            raise BodyTooLargeError("the body of the response and its framing are too large")

    def record_event(self) -> bool:
        """Record an event of the parser, and return whether it is the turn of other tasks.

        Raises:
            BodyTooLargeError: There are too many.
        """
        self._events_left -= 1
        if self._events_left < 0:
            raise BodyTooLargeError("the body of the response comes in too many pieces")
        self._events_in_turn = (self._events_in_turn + 1) % EVENTS_PER_TURN
        return self._events_in_turn == 0


def check_field_count(head: bytes) -> None:
    """Raise `ConnectionBrokenError` if the head of a response has too many lines."""
    if head.count(b"\n") > MAX_HEADER_FIELDS:
        raise ConnectionBrokenError("the response has too many header fields")
