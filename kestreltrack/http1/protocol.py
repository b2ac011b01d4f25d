"""The asyncio protocol under a client connection: what was received, and whether all was sent."""

from __future__ import annotations

import asyncio
from typing import cast

from kestreltrack.http1.errors import ConnectionBrokenError

# Bytes that are received and not read yet; beyond that the other side has to wait.
MAX_UNREAD_BYTES = 128 * 1024


class BufferedProtocol(asyncio.Protocol):
    """Buffers what was received, and knows whether all that was written has left this process.

    The asyncio streams offer neither: a reader drops what came before a reset, and a cancelled `drain` does not say
    whether the last byte had been sent.  Both decide whether a request may have been executed.
    """

    _transport: asyncio.Transport

    def __init__(self) -> None:
        """Start with nothing received and nothing written."""
        self.unread = bytearray()
        # Whether the kernel has not taken all that was written.
        self.unsent = False
        # Whether the other side has ended its sending.
        self.eof = False
        # Why nothing is sent or received any more; empty while the connection is up.
        self.loss_reason = ""
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport of the connection, which is up now."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # `pause_writing` is called while anything is left in this process, and only then.
        self._transport.set_write_buffer_limits(high=0)

    def data_received(self, data: bytes) -> None:
        """Buffer what was received; the other side has to wait where nobody reads."""
        self.unread += data
        if len(self.unread) > MAX_UNREAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Keep the connection open: the request may still be on its way."""
        self.eof = True
        self._wake()
        return True

    def pause_writing(self) -> None:
        """Note that the kernel has not taken all."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken all; this is called only after a write that succeeded."""
        self.unsent = False
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is broken, or was closed here."""
        self.mark_lost(str(exc or "closed"))

    def mark_lost(self, reason: str) -> None:
        """Note that nothing more is sent or received; what was received before can still be read."""
        self.loss_reason = self.loss_reason or reason
        self._wake()

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def drain(self) -> None:
        """Wait until the kernel has taken all; raises `ConnectionBrokenError` where it never will."""
        while self.unsent and not self.loss_reason:
            await self._wait_for_change()
        if self.unsent:
            raise ConnectionBrokenError(self.loss_reason)

    async def read(self) -> bytes:
        """Return what was received, at least a byte; nothing at the end of the stream.

        Never waits once the connection is lost.  Raises `ConnectionBrokenError` where it is lost and nothing is left.
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
