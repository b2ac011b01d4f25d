"""The operators' HTTP/1.1 listener: one call a connection, parsed by h11, answered within a second.

Reads are bounded in time (`CALL_S` for the whole call) and in size; connections are bounded in number, and the
oldest gives way to a new one, so that callers who hold connections without a whole call keep nobody waiting.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import h11

from kestreltrack.admin.http_api import MAX_BODY_BYTES, Operations, handle_request
from kestreltrack.http1 import split_address
from kestreltrack.telemetry import Telemetry

REQUEST_TIMEOUT_S = 0.8  # for a whole call: the answer is owed within 1 s of its first byte
MAX_CONNECTIONS = 32  # connections at once; past that the oldest goes
MAX_HEADER_BYTES = 8 * 1024


class AdminListener:
    """Serves `Operations` at a TCP address."""

    def __init__(self, operations: Operations, telemetry: Telemetry) -> None:
        """Nothing is opened before `open`."""
        self.operations, self.telemetry = operations, telemetry
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, None] = {}  # oldest first

    async def open(self, address: str) -> str:
        """Listen; returns the address with the port bound.  Raises `OSError`."""
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # connections inherit it
        listener.bind((host, port))
        self._server = await asyncio.start_server(
            self._serve_connection, sock=listener, backlog=MAX_CONNECTIONS
        )
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """End all."""
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            self.telemetry.count("admin.evicted")
            next(iter(self._connections)).transport.abort()
        self._connections[writer] = None
        try:
            status, text = await self._handle_request(reader)
            await self._write_response(writer, status, text)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._connections.pop(writer, None)
            writer.close()

    async def _handle_request(self, reader: asyncio.StreamReader) -> tuple[int, str]:
        """Read one call and answer it; a call that is bad, too large or too slow gets a 4xx."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        request: h11.Request | None = None
        body = bytearray()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                while True:
                    event = parser.next_event()
                    if event is h11.NEED_DATA:
                        data = await reader.read(4096)
                        if not data:
                            return self._error_response(400, "the call ended before it was whole")
                        parser.receive_data(data)
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.Data):
                        body += event.data
                        if len(body) > MAX_BODY_BYTES:
                            return self._error_response(413, f"a body holds {MAX_BODY_BYTES} bytes at most")
                    elif isinstance(event, h11.EndOfMessage):
                        break
                    else:
                        return self._error_response(400, "the call ended before it was whole")
        except TimeoutError:
            return self._error_response(408, f"a call has to come whole within {REQUEST_TIMEOUT_S} s")
        except h11.RemoteProtocolError as bad:
            return self._error_response(400, f"not HTTP/1.1: {bad}")
        assert request is not None
        status, text = handle_request(
            self.operations, request.method.decode(), request.target.decode(), bytes(body)
        )
        if status >= 400:
            self.telemetry.record_fault("admin.bad_request", status=status, error=text.strip())
        else:
            self.telemetry.count("admin.requests")
        return status, text

    def _error_response(self, status: int, text: str) -> tuple[int, str]:
        self.telemetry.record_fault("admin.bad_request", status=status, error=text)
        return status, text + "\n"

    @staticmethod
    async def _write_response(writer: asyncio.StreamWriter, status: int, text: str) -> None:
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
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await writer.drain()
