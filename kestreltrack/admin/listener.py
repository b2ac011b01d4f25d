"""The operators' HTTP/1.1 listener: one call a connection, parsed by h11, answered within a second.

Reads are bounded in time (`CALL_S` for the whole call) and in size; connections are bounded in number, and the
oldest gives way to a new one, so that callers who hold connections without a whole call keep nobody waiting.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import h11

from kestreltrack.admin.calls import MOST_BODY, Operations, answer
from kestreltrack.http1 import split_address
from kestreltrack.telemetry import Telemetry

CALL_S = 0.8  # for a whole call: the answer is owed within 1 s of its first byte
MOST_OPEN = 32  # connections at once; past that the oldest goes
MOST_HEAD = 8 * 1024


class AdminListener:
    """Serves `Operations` at a TCP address."""

    def __init__(self, ops: Operations, telemetry: Telemetry) -> None:
        """Nothing is opened before `open`."""
        self.ops, self.telemetry = ops, telemetry
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, None] = {}  # oldest first

    async def open(self, address: str) -> str:
        """Listen; returns the address with the port bound.  Raises `OSError`."""
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # connections inherit it
        listener.bind((host, port))
        self._server = await asyncio.start_server(self._serve, sock=listener, backlog=MOST_OPEN)
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """End all."""
        if self._server:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= MOST_OPEN:
            self.telemetry.count("admin.crowded_out")
            next(iter(self._open)).transport.abort()
        self._open[writer] = None
        try:
            status, text = await self._call(reader)
            await self._reply(writer, status, text)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._open.pop(writer, None)
            writer.close()

    async def _call(self, reader: asyncio.StreamReader) -> tuple[int, str]:
        """Read one call and answer it; a call that is bad, too large or too slow gets a 4xx."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        request: h11.Request | None = None
        body = bytearray()
        try:
            async with asyncio.timeout(CALL_S):
                while True:
                    event = parser.next_event()
                    if event is h11.NEED_DATA:
                        data = await reader.read(4096)
                        if not data:
                            return self._bad(400, "the call ended before it was whole")
                        parser.receive_data(data)
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.Data):
                        body += event.data
                        if len(body) > MOST_BODY:
                            return self._bad(413, f"a body holds {MOST_BODY} bytes at most")
                    elif isinstance(event, h11.EndOfMessage):
                        break
                    else:
                        return self._bad(400, "the call ended before it was whole")
        except TimeoutError:
            return self._bad(408, f"a call has to come whole within {CALL_S} s")
        except h11.RemoteProtocolError as bad:
            return self._bad(400, f"not HTTP/1.1: {bad}")
        assert request is not None
        status, text = answer(self.ops, request.method.decode(), request.target.decode(), bytes(body))
        if status >= 400:
            self.telemetry.trouble("admin.bad_request", status=status, error=text.strip())
        else:
            self.telemetry.count("admin.calls")
        return status, text

    def _bad(self, status: int, text: str) -> tuple[int, str]:
        self.telemetry.trouble("admin.bad_request", status=status, error=text)
        return status, text + "\n"

    @staticmethod
    async def _reply(writer: asyncio.StreamWriter, status: int, text: str) -> None:
        data = text.encode()
        head = [
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(data)),
            (b"Connection", b"close"),
        ]
        server = h11.Connection(h11.SERVER)
        # The answer is written by its own parser: the caller's may be spoilt, or in the middle of a body.
        server.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        server.next_event()
        server.next_event()
        out = server.send(h11.Response(status_code=status, headers=head)) or b""
        out += (server.send(h11.Data(data=data)) or b"") + (server.send(h11.EndOfMessage()) or b"")
        writer.write(out)
        with suppress(TimeoutError):
            async with asyncio.timeout(CALL_S):
                await writer.drain()
