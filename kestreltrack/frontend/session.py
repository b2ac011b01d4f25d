"""The state of one client connection: the phase of its current request, its deadline, and how it is closed."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable
from enum import Enum, auto

from kestreltrack.frontend.request_turns import FairShare
from kestreltrack.frontend.resp import encode_reply
from kestreltrack.frontend.tcp_state import is_closed_by_peer
from kestreltrack.memory import ByteBudget
from kestreltrack.ports import InvalidMessage, Rejected

# An idle connection may be closed after 2 s, and must be closed within 3 s.
IDLE_TIMEOUT_S = 2.25
# The limit for receiving a complete command, and for the client to read a reply.
COMMAND_TIMEOUT_S = 2.0
# The delay between the last reply and the close: the kernel may hold the reply back until the client's delayed
# acknowledgement, 40 ms.
FLUSH_DELAY_S = 0.1
# The delay between the last reply and the close if the client's bytes cannot be parsed as commands.
LINGER_TIMEOUT_S = 0.5
# The read-ahead of a connection: beyond twice this, receiving is paused while a request is served.
READ_AHEAD_BYTES = 4096
# How many bytes of such a client are read and discarded before the connection is aborted.
MAX_DISCARD_BYTES = 1 << 20


class RequestPhase(Enum):
    """The phase of a connection's current request."""

    # No request is being served; bytes of the next one may already be in the read buffer.
    IDLE = auto()
    # The first line of a command has been read; the rest has not.
    READING = auto()
    # The command has been read and its reply is pending.  This phase has no timeout.
    PROCESSING = auto()
    # The reply has been written; the client has to read it.
    REPLYING = auto()


# The phase changes several times per request, and in Python 3.11 looking up an enum member takes ten times as long.
_IDLE = RequestPhase.IDLE
_READING = RequestPhase.READING
_PROCESSING = RequestPhase.PROCESSING
_REPLYING = RequestPhase.REPLYING


_session_ids = itertools.count(1)


class ClientSession(asyncio.StreamReader):
    """One client connection; only this class decides whether it can be closed now.

    A request that has been read from the socket must be answered.  One that is still in the socket need not be,
    because its client sends it again when the connection is closed.  The decision and the close happen in the same
    iteration of the event loop, so that nothing is read between them.

    Attributes:
        id: The number of the connection in this process, from 1.
        writer: The writing side of the connection; set before any data is read.
        phase: The phase of the current request.
        deadline: When the client must have acted, in seconds of the loop's clock; infinite while processing.
        has_served: Whether a request has been served successfully.
        consecutive_bad_requests: The number of consecutive requests that were malformed or could not be served.
        lingering: Whether the connection is about to close after its last reply; received data is ignored.
        share: What the connection has used of the time of the event loop.
        is_pipelining: Whether its client sent the next request before the reply to the latest one.
        overflowed: Whether pipelined requests were dropped for lack of memory; one reply rejects all of them.
        held_bytes: The received bytes that are unread or belong to a request without a reply.
    """

    writer: asyncio.StreamWriter

    def __init__(self, memory: ByteBudget, on_memory_exceeded: Callable[[ClientSession], None]) -> None:
        """Account for received bytes in `memory`, and call `on_memory_exceeded` when they exceed its limit."""
        super().__init__(limit=READ_AHEAD_BYTES)
        self.id = next(_session_ids)
        self.overflowed = False
        self.is_pipelining = False
        self.held_bytes = 0
        self.share = FairShare()
        self._memory = memory
        self._on_memory_exceeded = on_memory_exceeded
        self.has_served = False
        self.consecutive_bad_requests = 0
        self.lingering = False
        self._discarded_bytes = 0
        self._eof_received = False
        # Ends the connection after a delay; a timer that is due keeps the session in memory until then.
        self._end_timer: asyncio.TimerHandle | None = None
        self.become_idle()

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        """Buffer data that the event loop has read from the socket; discard it while lingering."""
        if self.lingering or self.overflowed:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARD_BYTES:
                self.abort()
            return
        if self.phase is _IDLE and not self.has_unread_bytes():
            self.deadline = self._loop_time() + COMMAND_TIMEOUT_S
        super().feed_data(data)
        self._hold(self.held_bytes + len(data))
        if self._memory.is_exceeded():
            self._on_memory_exceeded(self)

    def feed_eof(self) -> None:
        """Note that the client sends no more; a lingering connection is closed."""
        self._eof_received = True
        super().feed_eof()
        if self.lingering:
            self.close()

    def client_has_left(self) -> bool:
        """Return whether the client has closed or reset the connection, even if it sent more requests before."""
        if self._eof_received or self.exception() is not None or self.is_closing():
            return True
        return is_closed_by_peer(self.writer.transport)

    def is_receiving_paused(self) -> bool:
        """Return whether so much is buffered that nothing more is received, not even that the client has left."""
        return bool(self._paused)

    async def wait_for_request(self) -> None:
        """Wait until bytes of a request are buffered, or until the client sends no more."""
        while not (self.has_unread_bytes() or self._eof):  # type: ignore[attr-defined]
            await self._wait_for_data("wait_for_request")  # type: ignore[attr-defined]

    def is_awaiting_data(self) -> bool:
        """Return whether the request handler has consumed the buffered data it can use and waits for more."""
        return self._waiter is not None  # type: ignore[attr-defined]

    def become_idle(self) -> None:
        """Enter the idle phase; bytes of the next request may already be buffered."""
        self.phase = _IDLE
        self.is_pipelining = self.has_unread_bytes()
        self._hold(len(self._buffer))  # type: ignore[attr-defined]
        timeout_s = COMMAND_TIMEOUT_S if self.has_unread_bytes() else IDLE_TIMEOUT_S
        self.deadline = self._loop_time() + timeout_s

    def begin_request(self) -> None:
        """Enter the reading phase: from now on a reply is owed before the connection is closed."""
        self.phase = _READING
        self.deadline = self._loop_time() + COMMAND_TIMEOUT_S

    def begin_processing(self) -> None:
        """Enter the processing phase once the command is complete; the client has no deadline in it."""
        self.phase = _PROCESSING
        self.deadline = math.inf

    def begin_reply(self) -> None:
        """Enter the replying phase, in which the client has to read the reply by the deadline."""
        self.phase = _REPLYING
        self.deadline = self._loop_time() + COMMAND_TIMEOUT_S

    async def send_reply(self, data: bytes) -> None:
        """Write a reply, and wait until the write buffer has drained enough to continue.

        Raises:
            EOFError: The connection is closing; the reply is not written.
        """
        self.begin_reply()
        if self.is_closing() or self.lingering:
            raise EOFError
        self.writer.write(data)
        await self.writer.drain()

    def is_closing(self) -> bool:
        """Return whether the connection is being closed.

        Its descriptor is released within an iteration or two of the event loop, or after the last reply is flushed.
        """
        return self.writer.is_closing()

    def is_closed(self) -> bool:
        """Return whether the connection is being closed and has no reply to flush."""
        return self.is_closing() and not self.writer.transport.get_write_buffer_size()

    def can_close(self) -> bool:
        """Return whether no reply is owed: the connection is idle and no byte of the next request has been read."""
        return self.phase is _IDLE and not self.has_unread_bytes()

    def has_partial_command(self) -> bool:
        """Return whether only a part of a command has been read."""
        if self.phase is _IDLE:
            return self.has_unread_bytes() and self.is_awaiting_data()
        return self.phase is _READING

    def close(self) -> None:
        """Close the connection once the last reply is flushed, or abort it if the client does not read it in time."""
        if self.is_closing():
            return
        if self.writer.transport.get_write_buffer_size():
            self._end_after(COMMAND_TIMEOUT_S, self.abort)
        self._drop_unread_bytes()
        self.writer.close()

    def abort(self) -> None:
        """Close the connection at once, dropping unsent data."""
        self.writer.transport.abort()

    def close_lingering(self, discard: bool = False) -> None:
        """Shut down the writing side, and close the connection after a delay in which the last replies are sent.

        Closing a socket with unread data resets the connection, and the reset drops replies that the kernel has not
        sent yet.  By default, data that arrives during the delay stays in the socket; its client sends it again.

        Args:
            discard: Whether to read and discard data during the delay, which is longer then.  This is for a client
                whose bytes cannot be parsed as commands, since no request can be recognized in the rest of them.
        """
        has_left = self._eof_received or (self.is_receiving_paused() and self.client_has_left())
        if has_left or self.is_closing():
            self.close()
            return
        self.lingering = True
        self.writer.write_eof()
        # Makes the request handler stop with EOFError.
        super().feed_eof()
        self._drop_unread_bytes()
        self._hold(0)
        if discard:
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        else:
            self.stop_reading()
        delay_s = LINGER_TIMEOUT_S if discard else FLUSH_DELAY_S
        self._end_after(delay_s, self.close)

    async def wait_closed(self) -> None:
        """Wait until the transport is closed and its descriptor released."""
        try:
            await self.writer.wait_closed()
        except OSError as error:  # the client has reset the connection
            # Otherwise the error, which the stream keeps, refers to the frames of this connection.
            error.__traceback__ = None

    def release(self) -> None:
        """Give back all that the connection holds in memory, once its transport is closed.

        The session and its writer refer to each other: without this they would stay in memory until the garbage
        collector finds them, or for good if it has frozen them meanwhile (`GcPause`).
        """
        if self._end_timer:
            self._end_timer.cancel()
            self._end_timer = None
        self._drop_unread_bytes()
        self._hold(0)
        self._exception = None
        del self.writer

    def expire(self) -> None:
        """Close a connection past its deadline: abort an unread reply, answer a partial command with an error."""
        if self.phase is _REPLYING:
            self.abort()
        else:
            self.writer.write(encode_reply(InvalidMessage("the command does not end")))
            self.close_lingering(discard=True)

    def reject_unserved(self) -> None:
        """Reject the requests that are not served yet, to give back their memory; their client may repeat them.

        A request that is being served keeps its reply, and the connection closes after it.
        """
        if self.phase in (_PROCESSING, _REPLYING):
            self._drop_unread_bytes()
            self.overflowed = True
            return
        self.writer.write(encode_reply(Rejected()))
        self.close_lingering(discard=True)

    def stop_reading(self) -> None:
        """Stop reading; data that has not been read yet stays in the socket."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        # Otherwise the stream would resume reading by itself when its buffer has space.
        self._paused = False

    def _end_after(self, delay_s: float, end: Callable[[], None]) -> None:
        """Call `end` after a delay; replaces an earlier call that is not due yet."""
        if self._end_timer:
            self._end_timer.cancel()
        self._end_timer = asyncio.get_running_loop().call_later(delay_s, end)

    def _drop_unread_bytes(self) -> None:
        """Drop the read buffer of a connection whose further requests are not served."""
        self._hold(self.held_bytes - len(self._buffer))  # type: ignore[attr-defined]
        self._buffer.clear()  # type: ignore[attr-defined]

    def _hold(self, held_bytes: int) -> None:
        """Account for the bytes that this connection holds now."""
        self._memory.change(held_bytes - self.held_bytes)
        self.held_bytes = held_bytes

    def _loop_time(self) -> float:
        return asyncio.get_running_loop().time()

    def has_unread_bytes(self) -> bool:
        """Return whether the read buffer holds bytes that no request has consumed."""
        return bool(self._buffer)  # type: ignore[attr-defined]
