"""One HTTP/1.1 client connection over asyncio: h11 parses, one exchange at a time."""

from __future__ import annotations

import asyncio
import re
import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import h11

from kestreltrack.http1.address import split_address
from kestreltrack.http1.errors import ConnectionBrokenError

MAX_BODY_BYTES = 4 * 1024 * 1024  # of an answer: a whole machine list is far smaller


MAX_HEAD_BYTES = 16 * 1024


HEAD_TIMEOUT_S = 1.0  # for the rest of a head that has begun: it may never end


MAX_UNREAD_BYTES = 128 * 1024  # beyond that the other side waits


MAX_INTERIM_RESPONSES = 16  # 1xx answers in front of one


STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?![0-9])[^\n]*\n")


BLANK_LINE = re.compile(rb"\n\r?\n")


PLAIN_TEXT = re.compile(rb"[\t\r -~]*")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: dict[str, str]


class _BufferedProtocol(asyncio.Protocol):
    """What has come and is not read yet, and whether all that was written has left this process.

    The asyncio streams tell neither: a reader drops what came before a reset, and a cancelled `drain` does not say
    whether the last byte had gone.  Both decide whether a call may have run.
    """

    _transport: asyncio.Transport

    def __init__(self) -> None:
        """Nothing has come, nothing was written."""
        self.unread, self.unsent = bytearray(), False
        self.eof, self.loss_reason = (
            False,
            "",
        )  # the other side has ended its sending; why nothing goes or comes any more
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._transport.set_write_buffer_limits(high=0)  # paused while anything is left here, and only then

    def data_received(self, data: bytes) -> None:
        """Keep it; the other side waits where nobody reads."""
        self.unread += data
        if len(self.unread) > MAX_UNREAD_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Stay open: the request may still be on its way."""
        self.eof = True
        self._wake()
        return True

    def pause_writing(self) -> None:
        """The kernel has not taken all."""
        self.unsent = True

    def resume_writing(self) -> None:
        """It has; this comes only after a write that worked."""
        self.unsent = False
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Broken, or closed here."""
        self.mark_lost(str(exc or "closed"))

    def mark_lost(self, reason: str) -> None:
        """Nothing more goes or comes; what had come can still be read."""
        self.loss_reason = self.loss_reason or reason
        self._wake()

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def drain(self) -> None:
        """Wait until the kernel has all; raises `Broken` where it never will."""
        while self.unsent and not self.loss_reason:
            await self._wait_for_change()
        if self.unsent:
            raise ConnectionBrokenError(self.loss_reason)

    async def read(self) -> bytes:
        """What has come, at least a byte; nothing at the end.  Never waits once the connection is lost."""
        while not (self.unread or self.eof or self.loss_reason):
            await self._wait_for_change()
        if not self.unread and not self.eof:
            raise ConnectionBrokenError(self.loss_reason)
        data = bytes(self.unread)
        self.unread.clear()
        if len(data) > MAX_UNREAD_BYTES and not self.loss_reason:
            self._transport.resume_reading()
        return data


class Connection:
    """One connection, made by `open`."""

    def __init__(self, transport: asyncio.Transport, protocol: _BufferedProtocol, address: str) -> None:
        """Wrap an open transport and its protocol."""
        self._transport, self._protocol, self.address = transport, protocol, address
        self._h11 = h11.Connection(our_role=h11.CLIENT)
        self._request_written = False  # the request, to the transport
        self._head_bytes, self._head_fed = b"", False  # the head that is being read; whether h11 has it
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self.idle_since = 0.0

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> Connection:
        """Connect; raises `OSError` (a time-out is one too)."""
        host, port = split_address(address)
        wire = _BufferedProtocol()
        async with asyncio.timeout(timeout_s):
            transport, _ = await asyncio.get_running_loop().create_connection(lambda: wire, host, port)
        return cls(transport, wire, address)

    async def send(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Write one request; returns once its last byte is written, else raises `Broken`."""
        fields = [("Host", self.address), *headers, ("Content-Length", str(len(body)))]
        data = self._h11.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._request_written, self._head_bytes, self._head_fed, self._head = False, b"", False, None
        self._body.clear()
        if self._transport.is_closing():
            raise ConnectionBrokenError("the connection has been closed")
        self._transport.write(data)
        if self._transport.is_closing():  # the kernel has refused it
            raise ConnectionBrokenError("the connection broke under the request")
        self._request_written = True
        await self._protocol.drain()

    @property
    def request_sent(self) -> bool:
        """Whether the request's last byte has gone to the network: from then on it may run."""
        return self._request_written and not self._protocol.unsent

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """The next event of the answer."""
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                self._h11.receive_data(await self._protocol.read())
        except h11.RemoteProtocolError as bad:
            raise ConnectionBrokenError(str(bad)) from bad
        return event

    async def _read_raw_head(self) -> int:
        """Read until `_raw` holds a head; returns its length."""
        try:
            async with asyncio.timeout(None) as limit:
                while not (end := BLANK_LINE.search(self._head_bytes)):
                    if (
                        not b"HTTP/1.".startswith(self._head_bytes[:7])
                        or len(self._head_bytes) > MAX_HEAD_BYTES
                    ):
                        raise ConnectionBrokenError("what came is no head of an answer")
                    if self._head_bytes and limit.when() is None:
                        limit.reschedule(asyncio.get_running_loop().time() + HEAD_TIMEOUT_S)
                    if not (data := await self._protocol.read()):
                        raise ConnectionBrokenError("the connection ended before an answer")
                    self._head_bytes += data
        except TimeoutError as bad:
            raise ConnectionBrokenError("the head does not end") from bad
        return end.end()

    async def read_head(self, optional_header: bytes = b"") -> ResponseHead:
        """Status and headers of the answer; header `unsure` is left out where it is not plain text.

        Goes on where a call that was broken off had stopped, and never waits on a connection that has been closed.
        """
        if not self._head_fed:
            await self._feed_head(optional_header)
        if self._head is None:
            if not isinstance(event := await self._next_event(), h11.Response):
                raise ConnectionBrokenError("what came is no answer")
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            self._head = ResponseHead(event.status_code, headers)
        return self._head

    async def _feed_head(self, optional_header: bytes) -> None:
        """Give h11 the head, without the interim answers in front of it: 101 too, what counts comes behind."""
        for _ in range(MAX_INTERIM_RESPONSES):
            end = await self._read_raw_head()
            line = STATUS_LINE.match(self._head_bytes)
            if not line or line[1][:1] != b"1":
                break
            self._head_bytes = self._head_bytes[end:]
        else:
            raise ConnectionBrokenError("interim answers do not end")
        lines = self._head_bytes[:end].split(b"\n")
        kept = [
            x for x in lines if x.partition(b":")[0].lower() != optional_header or PLAIN_TEXT.fullmatch(x)
        ]
        self._head_fed = True
        self._h11.receive_data(b"\n".join(kept) + self._head_bytes[end:])

    def is_stale(self) -> bool:
        """Whether it had carried a request before, and has brought nothing for the present one."""
        return self.idle_since > 0.0 and not self._head_bytes

    def response_begun(self) -> bool:
        """Whether anything of an answer to the present request has come."""
        return bool(self._head_bytes)

    def partial_status(self) -> int | None:
        """The status, where its line came but the rest cannot be read."""
        line = STATUS_LINE.match(self._head_bytes)
        return int(line[1]) if line else None

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """The rest of the answer; makes the connection ready for the next request, if it stays open."""
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data) or len(self._body) + len(event.data) > max_bytes:
                raise ConnectionBrokenError("the answer's body is cut short or too large")
            self._body += event.data
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return bytes(self._body)

    def is_reusable(self) -> bool:
        """Whether another request may be written to it, as far as this side can see."""
        idle = self._h11.our_state is h11.IDLE and not self._h11.trailing_data[0]
        wire = self._protocol  # bytes that nobody has asked for would answer the next request
        return idle and not (wire.unread or wire.eof or wire.loss_reason or self._transport.is_closing())

    def close(self) -> None:
        """Drop it at once: nothing more is written; what had come can still be read, without waiting."""
        if self._protocol.unsent and not self._transport.is_closing():
            # uvloop closes one turn later, and hands over until then what the kernel has room for: the last byte of
            # a request that is taken for never sent could still go.
            of = self._transport.get_extra_info("socket")
            with socket.socket(of.family, of.type, of.proto, of.fileno()) as same:
                with suppress(OSError):  # it has been reset
                    same.shutdown(socket.SHUT_WR)
                same.detach()
        self._protocol.mark_lost("closed")
        self._transport.abort()
