"""The HTTP/1.1 listener for operators: one request per connection, parsed by h11, answered within a second.

A request is bounded in time (`REQUEST_TIMEOUT_S` until it is complete) and in size.  The number of connections is
bounded too: a new connection replaces the oldest, so that clients that never complete a request cannot block others.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import h11

from kestreltrack.admin.http_api import MAX_BODY_BYTES, Operations, Response, handle_request
from kestreltrack.http1 import split_address
from kestreltrack.telemetry import Telemetry

# Until the request is complete; the response is due within 1 s of the first byte.
REQUEST_TIMEOUT_S = 0.8
# A further connection closes the oldest.
MAX_CONNECTIONS = 32
MAX_HEADER_BYTES = 8 * 1024
READ_BYTES = 4096
FIRST_ERROR_STATUS = 400


class _RejectedRequestError(Exception):
    """A request that is malformed, too large or too slow; holds the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class AdminListener:
    """Serves `Operations` over HTTP at a TCP address."""

    def __init__(self, operations: Operations, telemetry: Telemetry) -> None:
        """Create the listener; `open` starts listening."""
        self.operations = operations
        self.telemetry = telemetry
        self._server: asyncio.Server | None = None
        # A dict, because it keeps the order of insertion: the oldest connection is first.
        self._connections: dict[asyncio.StreamWriter, None] = {}

    async def open(self, address: str) -> str:
        """Start listening and return the address with the bound port.

        Raises:
            OSError: The address cannot be bound.
        """
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the option.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, port))
        self._server = await asyncio.start_server(
            self._serve_connection, sock=listener, backlog=MAX_CONNECTIONS
        )
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            self.telemetry.count("admin.evicted")
            oldest = next(iter(self._connections))
            oldest.transport.abort()
        self._connections[writer] = None
        try:
            response = await self._handle_request(reader)
            await _write_response(writer, response)
        except (OSError, h11.ProtocolError):
            # The client closed or reset the connection.
            pass
        finally:
            self._connections.pop(writer, None)
            writer.close()

    async def _handle_request(self, reader: asyncio.StreamReader) -> Response:
        """Read one request and carry it out; one that is malformed, too large or too slow gets a 4xx response."""
        try:
            request, body = await _read_request_in_time(reader)
        except _RejectedRequestError as error:
            self.telemetry.record_fault("admin.bad_request", status=error.status, error=error.text)
            return Response(error.status, error.text + "\n")
        response = handle_request(
            self.operations, request.method.decode(), request.target.decode(), bytes(body)
        )
        if response.status >= FIRST_ERROR_STATUS:
            self.telemetry.record_fault(
                "admin.bad_request", status=response.status, error=response.text.strip()
            )
        else:
            self.telemetry.count("admin.requests")
        return response


async def _read_request_in_time(reader: asyncio.StreamReader) -> tuple[h11.Request, bytearray]:
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            return await _read_request(reader)
    except TimeoutError as error:
        raise _RejectedRequestError(
            408, f"the request was not complete within {REQUEST_TIMEOUT_S} s"
        ) from error
    except h11.RemoteProtocolError as error:
        raise _RejectedRequestError(400, f"not HTTP/1.1: {error}") from error


async def _read_request(reader: asyncio.StreamReader) -> tuple[h11.Request, bytearray]:
    """Read one request with its body."""
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(READ_BYTES)
            if not data:
                raise _RejectedRequestError(400, "the request is incomplete")
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise _RejectedRequestError(413, f"a body may have at most {MAX_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return request, body
        else:
            raise _RejectedRequestError(400, "the request is incomplete")


async def _write_response(writer: asyncio.StreamWriter, response: Response) -> None:
    """Write a response and wait until the client has taken it, for `REQUEST_TIMEOUT_S` at most."""
    writer.write(_encode_response(response))
    with suppress(TimeoutError):
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await writer.drain()


def _encode_response(response: Response) -> bytes:
    data = response.text.encode()
    headers = [
        (b"Content-Type", b"text/plain"),
        (b"Content-Length", b"%d" % len(data)),
        (b"Connection", b"close"),
    ]
    # A separate h11 connection that has seen a complete request: the client's may be in an error state, or in the
    # middle of a body.
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    connection.next_event()
    connection.next_event()
    head = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
    body = connection.send(h11.Data(data=data)) or b""
    end = connection.send(h11.EndOfMessage()) or b""
    return head + body + end
