"""An HTTP/1.1 client connection over asyncio: one exchange at a time, parsed by h11 (RFC 9112)."""

from __future__ import annotations

import asyncio
import itertools
import re
import socket
import zlib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

import h11

from kestreltrack.http1.address import split_address
from kestreltrack.http1.errors import BodyTooLargeError, ConnectionBrokenError
from kestreltrack.http1.protocol import BufferedProtocol
from kestreltrack.http1.response_limits import (
    MAX_HEAD_BYTES,
    SLICE_BYTES,
    ResponseWork,
    check_field_count,
)
from kestreltrack.http1.response_matching import MatchState, ResponseMatching
from kestreltrack.memory import ByteBudget

# Default limit on the body of a response; a complete endpoint list is far smaller.
MAX_BODY_BYTES = 4 * 1024 * 1024

# Timeout for the rest of a response head after its first byte: it may never end.
HEAD_TIMEOUT_S = 1.0

# Limit on the response heads of one exchange: those of interim (1xx) responses and of the final one.
MAX_RESPONSE_HEADS = 16

STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?![0-9])[^\n]*\n")

BLANK_LINE = re.compile(rb"\n\r?\n")

# A header line in ASCII, without control characters other than tab.
PLAIN_TEXT = re.compile(rb"[\t\r -~]*")


_connection_ids = itertools.count(1)


def _new_parser() -> h11.Connection:
    return h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=SLICE_BYTES)


@dataclass(frozen=True, slots=True)
class UnrequestedBytes:
    """Bytes that were received on a connection and belong to no request.

    Attributes:
        connection_id: The id of the connection.
        exchange: The number of requests on the connection so far; the last response on it may be a wrong one.
        delay_s: The time since the last response, in seconds; infinite if there was none.
        is_response: Whether the bytes begin with a complete status line.
    """

    connection_id: int
    exchange: int
    delay_s: float
    is_response: bool

    @property
    def event(self) -> str:
        """Return the name of the log event and counter for it, without the name of the component."""
        return "repeated_response" if self.is_response else "unrequested_bytes"

    def log_fields(self) -> dict[str, int | float]:
        """Return the fields of its log event."""
        delay_ms = round(1000.0 * self.delay_s, 1)
        return {"connection": self.connection_id, "exchange": self.exchange, "delay_ms": delay_ms}


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]


class BodyReceiver(Protocol):
    """Takes the body of a response piece by piece, in place of the connection."""

    def begin(self, status: int) -> None:
        """Start with the body of a response; called again if that response turns out to be a copy of another."""

    def receive(self, data: bytes) -> None:
        """Take the next piece; an exception ends the exchange."""


class Connection:
    """One client connection, created by `open`.

    Attributes:
        id: The number of the connection in this process, from 1.
        address: The server's address, ``host:port``.
        opened_at: When it was established, in seconds of the loop's clock.
        idle_since: When it last became idle, in seconds of the loop's clock; 0 if it never did.  Set by its user.
        matching: Whether the next response can be matched to its request.
        on_unrequested: Called once, when the first bytes arrive that belong to no request.  Set by its user.
    """

    def __init__(self, transport: asyncio.Transport, protocol: BufferedProtocol, address: str) -> None:
        """Wrap an open transport and its protocol."""
        self.id = next(_connection_ids)
        self.address = address
        self.opened_at = asyncio.get_running_loop().time()
        self.idle_since = 0.0
        self.matching = ResponseMatching()
        self.on_unrequested: Callable[[UnrequestedBytes], None] = lambda received: None
        self._transport = transport
        self._protocol = protocol
        self._h11 = _new_parser()
        # Whether the complete request was written to the transport.
        self._request_written = False
        # The received bytes of the head, and whether they were passed to h11.
        self._head_bytes = b""
        self._head_fed = False
        self._head: ResponseHead | None = None
        # Received bytes after the head that were not passed to h11 yet.
        self._unparsed = b""
        # The body as far as it was parsed: its bytes if they are kept, their number and checksum, and its cost.
        self._body = bytearray()
        self._body_bytes = 0
        self._body_checksum = 0
        self._work: ResponseWork | None = None
        self._optional_header = b""
        protocol.on_data = self._check_unrequested

    @classmethod
    async def open(cls, address: str, timeout_s: float, budget: ByteBudget | None = None) -> Connection:
        """Connect to a server; what is received and not evaluated yet counts towards `budget`.

        Raises:
            OSError: The connection could not be established, or not within `timeout_s`.
            InvalidAddressError: The address is not of the form ``host:port``.
        """
        host, port = split_address(address)
        protocol = BufferedProtocol(budget)
        async with asyncio.timeout(timeout_s):
            transport, _ = await asyncio.get_running_loop().create_connection(lambda: protocol, host, port)
        return cls(transport, protocol, address)

    async def send(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Write one request and return once its last byte is sent.

        Raises:
            ConnectionBrokenError: The connection was closed or broke before that, or a reused connection received
                bytes before that.
        """
        data = self._encode_request(method, target, headers, body)
        self._reset_response()
        if self._transport.is_closing():
            raise ConnectionBrokenError("the connection is closed")
        if not self.matching.allows_request:
            raise ConnectionBrokenError("the connection received bytes that belong to no request")
        self.matching.record_request(asyncio.get_running_loop().time())
        self._transport.write(data)
        if self._transport.is_closing():  # the kernel has rejected the data
            raise ConnectionBrokenError("the connection broke while the request was written")
        self._request_written = True
        await self._protocol.drain()
        # A server begins a call at its last byte, so a response before it belongs to an earlier request, if any.
        if self.matching.requests > 1 and self._protocol.unread:
            self._record_unrequested(bytes(self._protocol.unread))
            raise ConnectionBrokenError("a response came before the end of its request")

    def _encode_request(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
        all_headers = [("Host", self.address), *headers, ("Content-Length", str(len(body)))]
        data = self._h11.send(h11.Request(method=method, target=target, headers=all_headers)) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        return data

    def _reset_response(self) -> None:
        self._request_written = False
        self._head_bytes = b""
        self._reset_parsed()

    def _reset_parsed(self) -> None:
        self._head_fed = False
        self._head = None
        self._protocol.budget.change(-len(self._body))
        self._body.clear()
        self._body_bytes = 0
        self._body_checksum = 0
        self._work = None

    @property
    def request_sent(self) -> bool:
        """Whether the kernel has taken the last byte of the request: from then on it may be executed."""
        return self._request_written and not self._protocol.unsent

    # The response --------------------------------------------------------------------------------

    async def read_head(
        self, optional_header: bytes = b"", on_status: Callable[[int], None] | None = None
    ) -> ResponseHead:
        """Return the status and headers of the response.

        Continues where a cancelled call stopped, and never waits on a closed connection.

        Args:
            optional_header: The name, in lower case, of a header that is omitted if it is not plain text.
            on_status: Called with the status as soon as the status line is received, possibly more than once.

        Raises:
            ConnectionBrokenError: The connection ended, or what was received is not the head of a response.
        """
        if self.matching.state is MatchState.UNBALANCED:
            raise ConnectionBrokenError("the connection received bytes that belong to no request")
        self._optional_header = optional_header
        return await self._read_next_head(optional_header, on_status)

    async def _read_next_head(
        self, optional_header: bytes, on_status: Callable[[int], None] | None
    ) -> ResponseHead:
        if not self._head_fed:
            await self._feed_head(optional_header, on_status)
        if self._head is None:
            event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError("the received bytes are not an HTTP response")
            headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
            self._head = ResponseHead(event.status_code, headers)
        return self._head

    @property
    def head(self) -> ResponseHead:
        """Return the head of the response that was read last."""
        if self._head is None:
            raise ConnectionBrokenError("no head of a response was received")
        return self._head

    @property
    def received_body_bytes(self) -> int:
        """The size of the body as far as it was read."""
        return self._body_bytes

    async def read_body(
        self, max_bytes: int = MAX_BODY_BYTES, keep: bool = True, receiver: BodyReceiver | None = None
    ) -> bytes:
        """Return the body, and prepare the connection for the next request if it stays open.

        A copy of an earlier response is skipped, and the next response is read: `head` is the head of that one.

        Args:
            max_bytes: The limit on the body.
            keep: Whether the body is needed; without it, nothing is held in memory and an empty body is returned.
            receiver: Takes the body if set; nothing is held in memory then.

        Raises:
            ConnectionBrokenError: The connection ended, or the body is malformed, longer than `max_bytes` or comes in
                too many pieces.
        """
        optional_header = self._optional_header
        while True:
            if receiver and self._head and self._work is None:
                receiver.begin(self._head.status)
            body = await self._read_one_body(max_bytes, keep, receiver)
            if self._accept_response():
                return body
            self._expect_another_response()
            await self._read_next_head(optional_header, None)

    async def _read_one_body(self, max_bytes: int, keep: bool, receiver: BodyReceiver | None) -> bytes:
        self._work = work = self._work or ResponseWork(max_bytes)
        while not isinstance(event := await self._next_event(work), h11.EndOfMessage):
            data = self._count_body_data(event, max_bytes)
            if receiver:
                receiver.receive(data)
            elif keep:
                self._body += data
                self._protocol.budget.change(len(data))
            # A closed connection is evaluated at once, within one turn.
            if work.record_event() and not self._protocol.loss_reason:
                await asyncio.sleep(0)
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return bytes(self._body)

    def _count_body_data(
        self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED], max_bytes: int
    ) -> bytes:
        """Return the data of an event within a body."""
        if not isinstance(event, h11.Data):
            raise ConnectionBrokenError("the body of the response is truncated")
        data = bytes(event.data)
        if self._body_bytes + len(data) > max_bytes:
            raise BodyTooLargeError(f"the body of the response is too large: over {max_bytes} bytes")
        self._body_bytes += len(data)
        self._body_checksum = zlib.crc32(data, self._body_checksum)
        return data

    def _accept_response(self) -> bool:
        """Record a complete response, and return whether it is that of the latest request."""
        assert self._head
        now = asyncio.get_running_loop().time()
        body = (self._body_bytes, self._body_checksum)
        content = (self._head.status, *self._head.headers.items(), body)
        if self.matching.is_copy(content, now):
            self._record_unrequested(self._head_bytes)
            return False
        self.matching.record_response(now, content)
        self._check_unrequested()
        return True

    def _expect_another_response(self) -> None:
        """Prepare for the next response on the connection, as if its request had been sent again."""
        received = self._h11.trailing_data[0] + self._unparsed
        self._unparsed = b""
        self._h11 = _new_parser()
        headers = [("Host", self.address), ("Content-Length", "0")]
        self._h11.send(h11.Request(method="POST", target="/", headers=headers))
        self._h11.send(h11.EndOfMessage())
        self._head_bytes = received
        self._reset_parsed()

    async def _next_event(
        self, work: ResponseWork | None = None
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the response; raises `ConnectionBrokenError`."""
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                self._h11.receive_data(await self._next_slice(work))
        except h11.RemoteProtocolError as error:
            raise ConnectionBrokenError(str(error)) from error
        return event

    async def _next_slice(self, work: ResponseWork | None) -> bytes:
        """Return the next bytes for the parser, or nothing at the end of the stream."""
        if not self._unparsed:
            self._unparsed = await self._protocol.read()
        data, self._unparsed = self._unparsed[:SLICE_BYTES], self._unparsed[SLICE_BYTES:]
        if work:
            work.record_received(len(data))
        return data

    async def _feed_head(self, optional_header: bytes, on_status: Callable[[int], None] | None) -> None:
        """Pass the head of the final response to h11, without the interim responses before it.

        That includes a 101: the final response comes after it.
        """
        for _ in range(MAX_RESPONSE_HEADS):
            head_length = await self._receive_head(on_status)
            status_line = STATUS_LINE.match(self._head_bytes)
            if not status_line or status_line[1][:1] != b"1":
                break
            self._head_bytes = self._head_bytes[head_length:]
        else:
            raise ConnectionBrokenError("too many interim responses")
        check_field_count(self._head_bytes[:head_length])
        lines = [
            line
            for line in self._head_bytes[:head_length].split(b"\n")
            if line.partition(b":")[0].lower() != optional_header or PLAIN_TEXT.fullmatch(line)
        ]
        self._head_fed = True
        self._h11.receive_data(b"\n".join(lines))
        self._unparsed = self._head_bytes[head_length:]

    async def _receive_head(self, on_status: Callable[[int], None] | None) -> int:
        """Receive until `_head_bytes` contains a complete head; return the length of that head."""
        try:
            async with asyncio.timeout(None) as time_limit:
                while not (blank_line := BLANK_LINE.search(self._head_bytes)):
                    self._check_partial_head()
                    if self._head_bytes and time_limit.when() is None:
                        time_limit.reschedule(asyncio.get_running_loop().time() + HEAD_TIMEOUT_S)
                    data = await self._protocol.read()
                    if not data:
                        raise ConnectionBrokenError("the connection ended before the end of a response head")
                    self._head_bytes += data
                    status = self.partial_status()
                    is_proof = self.matching.proves_early(asyncio.get_running_loop().time())
                    if on_status and status is not None and is_proof:
                        on_status(status)
        except TimeoutError as error:
            raise ConnectionBrokenError("the head of the response was not complete in time") from error
        return blank_line.end()

    def _check_partial_head(self) -> None:
        if not b"HTTP/1.".startswith(self._head_bytes[:7]) or len(self._head_bytes) > MAX_HEAD_BYTES:
            raise ConnectionBrokenError("the received bytes are not a response head, or it is too large")

    def response_begun(self) -> bool:
        """Return whether any byte of a response to the current request was received."""
        return bool(self._head_bytes)

    def partial_status(self) -> int | None:
        """Return the status if the status line was received, even if the rest is missing or malformed.

        None if the response may belong to another request.
        """
        status_line = STATUS_LINE.match(self._head_bytes)
        if self.matching.state is MatchState.UNBALANCED:
            return None
        return int(status_line[1]) if status_line else None

    # Between exchanges ---------------------------------------------------------------------------

    @property
    def last_received_at(self) -> float:
        """Return when the server was last known to reach this side, in seconds of the loop's clock."""
        return max(self.opened_at, self.matching.last_response_at)

    def is_stale(self) -> bool:
        """Return whether the connection has been idle before and received no response to the current request."""
        has_response = bool(self._head_bytes) and self.matching.state is not MatchState.UNBALANCED
        return self.idle_since > 0.0 and not has_response

    def _check_unrequested(self) -> None:
        """Record received bytes that belong to no request; called when bytes arrive and after each response."""
        if self.matching.state is not MatchState.BALANCED:
            return
        received = self._h11.trailing_data[0] + self._unparsed + self._protocol.unread
        if received:
            self._record_unrequested(received)

    def _record_unrequested(self, received: bytes) -> None:
        delay_s = self.matching.silent_s(asyncio.get_running_loop().time())
        self.matching.record_unrequested_bytes()
        is_response = STATUS_LINE.match(received) is not None
        self.on_unrequested(UnrequestedBytes(self.id, self.matching.requests, delay_s, is_response))

    def is_reusable(self) -> bool:
        """Return whether another request may be written, as far as this side of the connection can tell."""
        idle = self.matching.allows_request and self._h11.our_state is h11.IDLE
        # Unread bytes would be taken for the response to the next request.
        protocol = self._protocol
        return idle and not (
            self._unparsed
            or protocol.unread
            or protocol.eof
            or protocol.loss_reason
            or self._transport.is_closing()
        )

    async def stays_silent(self, wait_s: float) -> bool:
        """Return whether nothing is received for `wait_s` seconds, and the kernel holds nothing after them."""
        if wait_s:
            await asyncio.sleep(wait_s)
        await asyncio.sleep(0)  # uvloop reads all received data before it resumes this task
        return self.is_reusable()

    def close(self) -> None:
        """Close at once: nothing more is sent, but buffered data can still be read, without waiting."""
        if self._protocol.unsent and not self._transport.is_closing():
            self._shut_down_sending()
        self._protocol.mark_lost("closed")
        self._transport.abort()
        self._protocol.budget.change(-len(self._body))
        self._protocol.end_accounting()

    def _shut_down_sending(self) -> None:
        """Prevent the rest of a request from being sent after `close`.

        uvloop closes the socket one iteration of the event loop later and until then writes as much as the kernel
        accepts: it could still send the last byte of a request that is assumed to be incomplete.
        """
        original = self._transport.get_extra_info("socket")
        with socket.socket(original.family, original.type, original.proto, original.fileno()) as duplicate:
            with suppress(OSError):  # the connection was reset
                duplicate.shutdown(socket.SHUT_WR)
            duplicate.detach()
