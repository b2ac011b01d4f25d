"""Connections between real processes through servers of the rig's own, so that each link can be broken by name.

A relay stands for one way from a party to another: from a sender to a partner's endpoint or the list service, from
the front to a sender.  What its link's faults say holds for new connections and for those that stand: a cut holds
bytes back, as a path without answers does, until it is healed; a reset ends connections; a trickle lets few bytes a
second by.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestreltrack.testing.fakes.loopback_server import LoopbackServer
from kestreltrack.testing.harness.links import Links

POLL_INTERVAL_S = 0.01  # between looks whether a link is whole again
CHUNK_BYTES = 4096


class TcpProxy(LoopbackServer):
    """One way; it listens at `address`."""

    malformed_input_errors = ()  # it reads nothing of what it carries

    def __init__(self, links: Links, source: str, target: str, target_address: Callable[[], str]) -> None:
        """`to` tells the real address of the target of the moment."""
        super().__init__()
        self.links = links
        self.source = source
        self.target = target
        self.target_address = target_address
        self.accepted_count = 0
        self.reset_count = 0
        self._connections = set[asyncio.Task[None]]()

    def close(self) -> None:
        """End all."""
        super().close()
        for line in self._connections:
            line.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, and the one that it leads to."""
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
        inner, outer = await asyncio.open_connection(host, int(port))
        ways = [
            asyncio.create_task(self._forward(reader, outer, self.source, self.target)),
            asyncio.create_task(self._forward(inner, writer, self.target, self.source)),
        ]
        try:
            done, _ = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            if all(
                way.exception() is None for way in done
            ):  # one side is done; the other may still have an answer
                await asyncio.wait(ways, timeout=1.0)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            outer.transport.abort()

    async def _wait_until_open(self, source: str, target: str) -> None:
        """Wait while nothing passes; raises `ConnectionResetError` where connections are ended."""
        while (fault := self.links.stream_fault(source, target)).cut or fault.reset:
            if fault.reset:
                self.reset_count += 1
                raise ConnectionResetError
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        ended = asyncio.create_task(self._until_reset(source, target))
        try:
            while True:
                piece = asyncio.create_task(reader.read(CHUNK_BYTES))
                await asyncio.wait({piece, ended}, return_when=asyncio.FIRST_COMPLETED)
                if ended.done():
                    piece.cancel()
                    raise ConnectionResetError
                if not (data := piece.result()):
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
            ended.cancel()

    async def _until_reset(self, source: str, target: str) -> None:
        while not self.links.stream_fault(source, target).reset:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.reset_count += 1
