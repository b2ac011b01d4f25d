"""A server on a loopback port of its own, which ends all its connections when it closes."""

from __future__ import annotations

import asyncio


class LoopbackServer:
    """`address` is where, once it listens."""

    malformed_input_errors: tuple[type[Exception], ...] = (ValueError,)
    """What `serve` raises where a caller sends what cannot be served: its connection ends."""

    def __init__(self) -> None:
        """Nothing listens before `listen`."""
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open = set[asyncio.StreamWriter]()

    async def listen(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0, backlog=512)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """End all."""
        if self._server:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        except self.malformed_input_errors:
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""
        raise NotImplementedError
