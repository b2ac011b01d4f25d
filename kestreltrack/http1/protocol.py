"""The asyncio protocol of a client connection: buffers received data and tracks whether all data was sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from kestreltrack.http1.errors import ConnectionBrokenError
from kestreltrack.memory import ByteBudget

# The most that is received at a time.
RECEIVE_BYTES = 16 * 1024

# Limit on buffered bytes that were not read yet; beyond it, receiving is paused.
MAX_UNREAD_BYTES = 16 * 1024

# All connections receive into this buffer, one after the other; what was received is copied at once.
_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))


class BufferedProtocol(asyncio.BufferedProtocol):
    """Buffers received data, and tracks whether the kernel has taken all written data.

    The asyncio streams offer neither: a reader discards the data received before a reset, and a cancelled `drain`
    does not tell whether the last byte was sent.  Both decide whether a request may have been executed.

    Attributes:
        unread: The received bytes that were not read yet.
        unsent: Whether the kernel has not taken all written data.
        eof: Whether the server has ended its side of the connection.
        loss_reason: Why nothing is sent or received any more; empty while the connection is up.
        on_data: Called after data was received and buffered.
        budget: Accounts for the unread bytes of all connections of one kind.
    """

    _transport: asyncio.Transport

    def __init__(self, budget: ByteBudget | None = None) -> None:
        """Account for unread bytes in `budget`, and give up the connection that exceeds it."""
        self.budget = budget or ByteBudget()
        self.unread = bytearray()
        self.unsent = False
        self.eof = False
        self.loss_reason = ""
        self.on_data: Callable[[], None] = lambda: None
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of the established connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        # With this limit, writing is paused exactly while the transport buffers data.
        self._transport.set_write_buffer_limits(high=0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop receives."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that the event loop has received."""
        self.data_received(_receive_buffer[:nbytes])

    def data_received(self, data: memoryview | bytes) -> None:
        """Buffer received data, and pause receiving while too much of it is unread.

        If the connections hold more than their budget, this one is given up; its bytes can still be read.
        """
        self.unread += data
        self.budget.change(len(data))
        if len(self.unread) > MAX_UNREAD_BYTES:
            self._transport.pause_reading()
        self.on_data()
        if self.budget.is_exceeded():
            self.mark_lost("the responses that are being read exceed their memory")
            self._transport.abort()
        self._wake()

    def eof_received(self) -> bool:
        """Keep the connection open: the request may not be sent completely yet."""
        self.eof = True
        self._wake()
        return True

    def pause_writing(self) -> None:
        """Record that the kernel has not taken all written data."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Record that the kernel has taken all data; asyncio calls this only after a successful write."""
        self.unsent = False
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection broke, or was closed by this side."""
        self.mark_lost(str(exc or "closed"))

    def mark_lost(self, reason: str) -> None:
        """Record that nothing more is sent or received; data received before can still be read."""
        self.loss_reason = self.loss_reason or reason
        self._wake()

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def drain(self) -> None:
        """Wait until the kernel has taken all written data.

        Raises:
            ConnectionBrokenError: The connection was lost before.
        """
        while self.unsent and not self.loss_reason:
            await self._wait_for_change()
        if self.unsent:
            raise ConnectionBrokenError(self.loss_reason)

    async def read(self) -> bytes:
        """Return the received data, at least one byte, or nothing at the end of the stream.

        Never waits once the connection is lost.

        Raises:
            ConnectionBrokenError: The connection is lost, and all received data has been read.
        """
        while not (self.unread or self.eof or self.loss_reason):
            await self._wait_for_change()
        if not self.unread and not self.eof:
            raise ConnectionBrokenError(self.loss_reason)
        data = self.take_unread()
        if len(data) > MAX_UNREAD_BYTES and not self.loss_reason:
            self._transport.resume_reading()
        return data

    def take_unread(self) -> bytes:
        """Remove and return the received data that was not read yet."""
        data = bytes(self.unread)
        self.unread.clear()
        self.budget.change(-len(data))
        return data

    def end_accounting(self) -> None:
        """Give the budget back what the closed connection holds; it is dropped as soon as it has been evaluated."""
        self.budget.change(-len(self.unread))
        self.budget = ByteBudget()
