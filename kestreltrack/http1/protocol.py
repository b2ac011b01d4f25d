"""The asyncio protocol of a client connection: buffers received data and tracks whether all data was sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from kestreltrack.http1.errors import ConnectionBrokenError

# Limit on buffered bytes that were not read yet; beyond it, receiving is paused.
MAX_UNREAD_BYTES = 128 * 1024


class BufferedProtocol(asyncio.Protocol):
    """Buffers received data, and tracks whether the kernel has taken all written data.

    The asyncio streams offer neither: a reader discards the data received before a reset, and a cancelled `drain`
    does not tell whether the last byte was sent.  Both decide whether a request may have been executed.

    Attributes:
        unread: The received bytes that were not read yet.
        unsent: Whether the kernel has not taken all written data.
        eof: Whether the server has ended its side of the connection.
        loss_reason: Why nothing is sent or received any more; empty while the connection is up.
        on_data: Called after data was received and buffered.
    """

    _transport: asyncio.Transport

    def __init__(self) -> None:
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

    def data_received(self, data: bytes) -> None:
        """Buffer received data, and pause receiving while too much of it is unread."""
        self.unread += data
        if len(self.unread) > MAX_UNREAD_BYTES:
            self._transport.pause_reading()
        self.on_data()
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
        data = bytes(self.unread)
        self.unread.clear()
        if len(data) > MAX_UNREAD_BYTES and not self.loss_reason:
            self._transport.resume_reading()
        return data
