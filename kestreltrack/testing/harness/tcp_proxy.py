"""Forwards TCP connections between real processes, so that faults can be injected on each link by name.

A proxy serves the connections from one party to another: from a sender to an endpoint or to discovery, or from the
clients to a sender.  The faults of its link apply to new and to existing connections: a cut holds bytes back until
it is healed, like a path without responses; a reset ends connections; `bytes_per_s` limits the rate.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestreltrack.testing.fakes.loopback_server import LoopbackServer
from kestreltrack.testing.harness.links import Links

POLL_INTERVAL_S = 0.01  # between checks whether a link is healed
CHUNK_BYTES = 4096


class TcpProxy(LoopbackServer):
    """Forwards connections from one party to another; it listens at `address`."""

    malformed_input_errors = ()  # it does not parse what it forwards

    def __init__(self, links: Links, source: str, target: str, target_address: Callable[[], str]) -> None:
        """`target_address` returns the current real address of the target."""
        super().__init__()
        self.links = links
        self.source = source
        self.target = target
        self.target_address = target_address
        self.accepted_count = 0
        self.reset_count = 0
        self._connections = set[asyncio.Task[None]]()

    def close(self) -> None:
        """Stop listening and end all connections."""
        super().close()
        for task in self._connections:
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one accepted connection to the target."""
        task = asyncio.current_task()
        assert task
        self._connections.add(task)
        self.accepted_count += 1
        try:
            await self._bridge(reader, writer)
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    async def _bridge(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.links.stream_fault(self.source, self.target).reset:
            self.reset_count += 1
            return
        await self._wait_until_open(self.source, self.target)
        host, _, port = self.target_address().rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        directions = [
            asyncio.create_task(self._forward(reader, target_writer, self.source, self.target)),
            asyncio.create_task(self._forward(target_reader, writer, self.target, self.source)),
        ]
        try:
            done, _ = await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            # One direction has ended without error; the other may still carry a response.
            if all(direction.exception() is None for direction in done):
                await asyncio.wait(directions, timeout=1.0)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.transport.abort()

    async def _wait_until_open(self, source: str, target: str) -> None:
        """Wait while the link is cut; raises `ConnectionResetError` if it is reset."""
        while (fault := self.links.stream_fault(source, target)).cut or fault.reset:
            if fault.reset:
                self.reset_count += 1
                raise ConnectionResetError
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        reset = asyncio.create_task(self._until_reset(source, target))
        try:
            while True:
                pending_read = asyncio.create_task(reader.read(CHUNK_BYTES))
                await asyncio.wait({pending_read, reset}, return_when=asyncio.FIRST_COMPLETED)
                if reset.done():
                    pending_read.cancel()
                    raise ConnectionResetError
                if not (data := pending_read.result()):
                    break
                await self._wait_until_open(source, target)
                fault = self.links.stream_fault(source, target)
                if fault.delay_ms:
                    await asyncio.sleep(fault.delay_ms / 1000.0)
                if fault.bytes_per_s:
                    await asyncio.sleep(len(data) / fault.bytes_per_s)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        finally:
            reset.cancel()

    async def _until_reset(self, source: str, target: str) -> None:
        while not self.links.stream_fault(source, target).reset:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.reset_count += 1
