"""One client's connection: how far its request is, until when something has to happen, and how it ends."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from enum import Enum, auto
from typing import SupportsIndex

from kestreltrack.frontend.resp import LARGE_PART_BYTES, encode_reply
from kestreltrack.ports import InvalidMessage

# A connection without a request may be closed after 2 s; a silent one has to be within 3 s.
IDLE_TIMEOUT_S = 2.25
# For a command to be read completely, and for a reply to be taken by the client.
COMMAND_TIMEOUT_S = 2.0
# Between the last answer and the close: the system may hold the answer back for the client's delayed
# acknowledgement, 40 ms.
FLUSH_DELAY_S = 0.1
# Between the last answer to a client whose bytes cannot be read as commands, and the close.
LINGER_TIMEOUT_S = 0.5
# How much of such a client is read and discarded before the connection is aborted.
MAX_DISCARD_BYTES = 1 << 20


class RequestPhase(Enum):
    """How far a connection's current request is."""

    # Between requests; bytes of the next may have been read from the socket.
    IDLE = auto()
    # The first line of a command has been read, the rest is awaited.
    READING = auto()
    # The command has been read; the reply is this side's to give, however long that takes.
    PROCESSING = auto()
    # The reply has been written; the client has to take it.
    REPLYING = auto()


# The phase changes several times a request, and Python 3.11 takes ten times as long to find a member in its class.
_IDLE = RequestPhase.IDLE
_READING = RequestPhase.READING
_PROCESSING = RequestPhase.PROCESSING
_REPLYING = RequestPhase.REPLYING


class ClientSession(asyncio.StreamReader):
    """One client's connection, and the one place that decides whether it may end now.

    A request that has been read from the socket has to be answered.  One that has not been read need not be: a
    client whose request was still in the socket sends it again.  Nothing is read between that decision and the close
    in the same turn of the event loop.

    Attributes:
        writer: The other direction; set before anything is read.
        phase: How far the current request is.
        deadline: Until when the client has to act, on the loop's clock in seconds; infinite while processing.
        has_served: Whether a request has been answered.
        consecutive_bad_requests: How many requests in a row were malformed or could not be served.
        lingering: Whether the last answer has been given; nothing that comes is handed on.
    """

    writer: asyncio.StreamWriter

    def __init__(self) -> None:
        super().__init__(limit=LARGE_PART_BYTES)
        self.has_served = False
        self.consecutive_bad_requests = 0
        self.lingering = False
        self._discarded_bytes = 0
        self._eof_received = False
        self.become_idle()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take what the event loop has read from the socket."""
        if self.lingering:
            self._discarded_bytes += len(bytes(data))
            if self._discarded_bytes > MAX_DISCARD_BYTES:
                self.abort()
            return
        if self.phase is _IDLE and not self._has_unread_bytes():
            self.deadline = self._loop_time() + COMMAND_TIMEOUT_S
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Take the end of what the client sends."""
        self._eof_received = True
        super().feed_eof()
        if self.lingering:
            self.close()

    def is_awaiting_data(self) -> bool:
        """Return whether the reader of requests has looked at all that came, and waits for more."""
        return self._waiter is not None  # type: ignore[attr-defined]

    def become_idle(self) -> None:
        """Begin the time between requests; the next request may have been read already."""
        self.phase = _IDLE
        timeout_s = COMMAND_TIMEOUT_S if self._has_unread_bytes() else IDLE_TIMEOUT_S
        self.deadline = self._loop_time() + timeout_s

    def begin_request(self) -> None:
        """Begin a request: the connection must not be closed before it is answered."""
        self.phase = _READING
        self.deadline = self._loop_time() + COMMAND_TIMEOUT_S

    def begin_processing(self) -> None:
        """Take the request as read completely: from here on the client waits for this side."""
        self.phase = _PROCESSING
        self.deadline = math.inf

    def begin_reply(self) -> None:
        """Begin the reply, which the client has to take in time."""
        self.phase = _REPLYING
        self.deadline = self._loop_time() + COMMAND_TIMEOUT_S

    async def send_reply(self, data: bytes) -> None:
        """Write a reply, and return once the client takes it.

        Raises:
            EOFError: The connection is closing; the reply is not written.
        """
        self.begin_reply()
        if self.is_closing() or self.lingering:
            raise EOFError
        self.writer.write(data)
        await self.writer.drain()

    def is_closing(self) -> bool:
        """Return whether it is closed: its descriptor is freed within a turn or two, or with the last answer."""
        return self.writer.is_closing()

    def can_close(self) -> bool:
        """Return whether no answer is owed: between requests, and not a byte of the next has been read."""
        return self.phase is _IDLE and not self._has_unread_bytes()

    def has_partial_command(self) -> bool:
        """Return whether a command has begun and has not been read completely."""
        if self.phase is _IDLE:
            return self._has_unread_bytes() and self.is_awaiting_data()
        return self.phase is _READING

    def close(self) -> None:
        """Close it once the last answer is written; for a client that does not take it, after a timeout."""
        if self.is_closing():
            return
        if self.writer.transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(COMMAND_TIMEOUT_S, self.abort)
        self.writer.close()

    def abort(self) -> None:
        """Close it at once."""
        self.writer.transport.abort()

    def close_lingering(self, discard: bool = False) -> None:
        """Write no more, and close once the last answers have been sent.

        A close over unread bytes resets the connection, and answers that the system still holds back are lost with
        it.  So what comes is left in the socket for a moment; its client sends it again.

        Args:
            discard: For a client whose bytes cannot be read as commands: they are read and discarded, for longer.
                No request can be told from the rest of them.
        """
        if self._eof_received or self.is_closing():
            self.close()
            return
        self.lingering = True
        self.writer.write_eof()
        # Ends the reader of requests.
        super().feed_eof()
        if discard:
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        else:
            self.stop_reading()
        delay_s = LINGER_TIMEOUT_S if discard else FLUSH_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, self.close)

    def expire(self) -> None:
        """End a connection whose deadline has passed: answer a partial command, give up a reply that is not taken."""
        if self.phase is _REPLYING:
            self.abort()
        else:
            self.writer.write(encode_reply(InvalidMessage("the command does not end")))
            self.close_lingering(discard=True)

    def stop_reading(self) -> None:
        """Leave in the socket what has not been read so far."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        # Else the stream resumes reading once its buffer has room.
        self._paused = False

    def _loop_time(self) -> float:
        return asyncio.get_running_loop().time()

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes have been read from the socket that no request has taken."""
        return bool(self._buffer)  # type: ignore[attr-defined]
