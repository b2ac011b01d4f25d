"""A TCP server on a free loopback port that aborts all its connections when it is closed."""

from __future__ import annotations

import asyncio
from contextlib import suppress

# Length of the accept queue: tests open hundreds of connections at once.
BACKLOG = 512


class LoopbackServer:
    """Base class of servers; subclasses implement `serve` for one connection.

    Attributes:
        address: The host and port; empty before `listen`.
        malformed_input_errors: The exceptions of `serve` on malformed input, which end the connection.
    """

    malformed_input_errors: tuple[type[Exception], ...] = (ValueError,)

    def __init__(self) -> None:
        """Create a server that starts listening in `listen`."""
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open = set[asyncio.StreamWriter]()

    async def listen(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0, backlog=BACKLOG)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            with suppress(asyncio.IncompleteReadError, OSError, *self.malformed_input_errors):
                await self.serve(reader, writer)
        except asyncio.CancelledError:
            # The task ends here in any case; asyncio's own callback in Python 3.11 logs a cancelled task as an error.
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError
