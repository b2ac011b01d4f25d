"""Endpoints whose responses cost the sender as much work or memory as they can."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from enum import StrEnum
from typing import Any

from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

SERVICE_TIME_S = 0.05
# How much of an unending response is written at a time.
BLOCK_BYTES = 60_000


class ResponseKind(StrEnum):
    """How the costly responses of an endpoint look; each is a 503 that never ends."""

    TINY_CHUNKS = "tiny chunks"  # a body in chunks of one byte
    CHUNK_EXTENSIONS = "chunk extensions"  # the same, each chunk with a long extension
    SHORT_FIELDS = "short fields"  # a head of very many short fields
    TRAILERS = "trailers"  # very many short fields behind the last chunk
    INTERIM_RESPONSES = "interim responses"  # 103 again and again
    LONG_BODY = "long body"  # 3 GB by its length
    NOISE = "noise"  # a complete response, and noise behind it
    UNENDING_EXTENSION = "unending extension"  # a chunk whose extension never ends
    CONTINUED_FIELDS = "continued fields"  # a header field that goes on line after line
    EMPTY_LINES = "empty lines"  # in place of a status line
    UNTIL_CLOSE = "until close"  # a body that ends with the connection


_CHUNKED_HEAD = b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n"
_BEGINNINGS = {
    ResponseKind.TINY_CHUNKS: _CHUNKED_HEAD,
    ResponseKind.CHUNK_EXTENSIONS: _CHUNKED_HEAD,
    ResponseKind.SHORT_FIELDS: b"HTTP/1.1 503 No\r\n",
    ResponseKind.TRAILERS: _CHUNKED_HEAD + b"0\r\n",
    ResponseKind.INTERIM_RESPONSES: b"",
    ResponseKind.LONG_BODY: b"HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n",
    ResponseKind.NOISE: http_answer("503"),
    ResponseKind.UNENDING_EXTENSION: _CHUNKED_HEAD + b"1;",
    ResponseKind.CONTINUED_FIELDS: b"HTTP/1.1 503 No\r\na:b\r\n",
    ResponseKind.EMPTY_LINES: b"",
    ResponseKind.UNTIL_CLOSE: b"HTTP/1.1 503 No\r\n\r\n",
}
_REPEATED = {
    ResponseKind.TINY_CHUNKS: b"1\r\nx\r\n",
    ResponseKind.CHUNK_EXTENSIONS: b"1;" + b"a=b;" * 250 + b"\r\nx\r\n",
    ResponseKind.SHORT_FIELDS: b"a:b\r\n",
    ResponseKind.TRAILERS: b"a:b\r\n",
    ResponseKind.INTERIM_RESPONSES: b"HTTP/1.1 103 Wait\r\n\r\n",
    ResponseKind.LONG_BODY: b"x" * 1000,
    ResponseKind.NOISE: b"\x00\xff" * 50,
    ResponseKind.UNENDING_EXTENSION: b"a=b;",
    ResponseKind.CONTINUED_FIELDS: b" c\r\n",
    ResponseKind.EMPTY_LINES: b"\r\n",
    ResponseKind.UNTIL_CLOSE: b"x" * 1000,
}


class CostlyEndpoint(LoopbackServer):
    """Answers a share of its calls with a costly response, and the others with 200 after a short time."""

    def __init__(self, uid: str, dest: int, kind: ResponseKind | None, share: float, seed: int) -> None:
        """Without a `kind`, all answers are ordinary."""
        super().__init__()
        self.uid = uid
        self.dest = dest
        self.kind = kind
        self.share = share
        self.random = random.Random(f"{seed} {uid}")
        self.service_time_s = SERVICE_TIME_S
        self.call_counts = dict[str, int]()
        # When each call arrived, by the monotonic clock.
        self.call_times = list[float]()

    def discovery_row(self) -> dict[str, Any]:
        """Return the entry of the endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "plain",
            "pod_group": self.dest,
            "state": "up",
            "capacity_hint": 1000.0,
            "boot_ms": 0,
        }

    async def listen_again(self) -> None:
        """Listen at the earlier address, as a new process does after the end of the one before."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._on_connection, host, int(port))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection sequentially."""
        while True:
            request = await read_http(reader)
            self.call_times.append(time.monotonic())
            message_id = request.headers.get("x-call-id", "")
            self.call_counts[message_id] = self.call_counts.get(message_id, 0) + 1
            await asyncio.sleep(self.service_time_s)
            if self.kind and self.random.random() < self.share:
                await self._write_forever(self.kind, reader, writer)
                return
            writer.write(http_answer("200"))
            await writer.drain()

    async def _write_forever(
        self, kind: ResponseKind, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        block = _REPEATED[kind] * max(1, BLOCK_BYTES // len(_REPEATED[kind]))
        writer.write(_BEGINNINGS[kind])
        with suppress(OSError):
            while not (writer.is_closing() or reader.at_eof()):
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(0)
