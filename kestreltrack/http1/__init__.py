"""HTTP/1.1 as a client over asyncio: h11 parses, one exchange at a time on a connection."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import h11

MAX_BODY = 4 * 1024 * 1024  # of an answer: a whole machine list is far smaller
MAX_HEAD = 16 * 1024
HEAD_S = 1.0  # for the rest of a head that has begun: it may never end
REST_S = 1.0  # for the rest of a whole exchange's answer behind its head: that may never end either
MOST_UNREAD = 128 * 1024  # beyond that the other side waits
MOST_INFORMAL = 16  # 1xx answers in front of one
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?![0-9])[^\n]*\n")
BLANK_LINE = re.compile(rb"\n\r?\n")
PLAIN = re.compile(rb"[\t\r -~]*")


class Broken(Exception):
    """The connection ended, or what came is not HTTP."""


class Cut(Broken):
    """An answer had begun, and was cut short, spoilt or never ended: who sent it was there."""


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: dict[str, str]


def split_address(address: str) -> tuple[str, int]:
    """Host and port of ``host:port``."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)


class _Wire(asyncio.Protocol):
    """What has come and is not read yet, and whether all that was written has left this process.

    The asyncio streams tell neither: a reader drops what came before a reset, and a cancelled `drain` does not say
    whether the last byte had gone.  Both decide whether a call may have run.
    """

    _transport: asyncio.Transport

    def __init__(self) -> None:
        """Nothing has come, nothing was written."""
        self.unread, self.unsent = bytearray(), False
        self.eof, self.lost = (
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
        if len(self.unread) > MOST_UNREAD:
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
        self.end(str(exc or "closed"))

    def end(self, why: str) -> None:
        """Nothing more goes or comes; what had come can still be read."""
        self.lost = self.lost or why
        self._wake()

    def _wake(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _change(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def drained(self) -> None:
        """Wait until the kernel has all; raises `Broken` where it never will."""
        while self.unsent and not self.lost:
            await self._change()
        if self.unsent:
            raise Broken(self.lost)

    async def read(self) -> bytes:
        """What has come, at least a byte; nothing at the end.  Never waits once the connection is lost."""
        while not (self.unread or self.eof or self.lost):
            await self._change()
        if not self.unread and not self.eof:
            raise Broken(self.lost)
        data = bytes(self.unread)
        self.unread.clear()
        if len(data) > MOST_UNREAD and not self.lost:
            self._transport.resume_reading()
        return data


class Connection:
    """One connection, made by `open`."""

    def __init__(self, transport: asyncio.Transport, wire: _Wire, address: str) -> None:
        """Wrap an open transport and its protocol."""
        self._transport, self._wire, self.address = transport, wire, address
        self._h11 = h11.Connection(our_role=h11.CLIENT)
        self._handed = False  # the request, to the transport
        self._raw, self._parsing = b"", False  # the head that is being read; whether h11 has it
        self._head: Head | None = None
        self._body = bytearray()
        self.idle_since = 0.0

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> Connection:
        """Connect; raises `OSError` (a time-out is one too)."""
        host, port = split_address(address)
        wire = _Wire()
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
        self._handed, self._raw, self._parsing, self._head = False, b"", False, None
        self._body.clear()
        if self._transport.is_closing():
            raise Broken("the connection has been closed")
        self._transport.write(data)
        if self._transport.is_closing():  # the kernel has refused it
            raise Broken("the connection broke under the request")
        self._handed = True
        await self._wire.drained()

    @property
    def sent(self) -> bool:
        """Whether the request's last byte has gone to the network: from then on it may run."""
        return self._handed and not self._wire.unsent

    async def _next(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """The next event of the answer."""
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                self._h11.receive_data(await self._wire.read())
        except h11.RemoteProtocolError as bad:
            raise Broken(str(bad)) from bad
        return event

    async def _raw_head(self) -> int:
        """Read until `_raw` holds a head; returns its length."""
        try:
            async with asyncio.timeout(None) as limit:
                while not (end := BLANK_LINE.search(self._raw)):
                    if not b"HTTP/1.".startswith(self._raw[:7]) or len(self._raw) > MAX_HEAD:
                        raise Broken("what came is no head of an answer")
                    if self._raw and limit.when() is None:
                        limit.reschedule(asyncio.get_running_loop().time() + HEAD_S)
                    if not (data := await self._wire.read()):
                        raise Broken("the connection ended before an answer")
                    self._raw += data
        except TimeoutError as bad:
            raise Broken("the head does not end") from bad
        return end.end()

    async def head(self, unsure: bytes = b"") -> Head:
        """Status and headers of the answer; header `unsure` is left out where it is not plain text.

        Goes on where a call that was broken off had stopped, and never waits on a connection that has been closed.
        """
        if not self._parsing:
            await self._take_head(unsure)
        if self._head is None:
            if not isinstance(event := await self._next(), h11.Response):
                raise Broken("what came is no answer")
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
            self._head = Head(event.status_code, headers)
        return self._head

    async def _take_head(self, unsure: bytes) -> None:
        """Give h11 the head, without the interim answers in front of it: 101 too, what counts comes behind."""
        for _ in range(MOST_INFORMAL):
            end = await self._raw_head()
            line = STATUS_LINE.match(self._raw)
            if not line or line[1][:1] != b"1":
                break
            self._raw = self._raw[end:]
        else:
            raise Broken("interim answers do not end")
        lines = self._raw[:end].split(b"\n")
        kept = [x for x in lines if x.partition(b":")[0].lower() != unsure or PLAIN.fullmatch(x)]
        self._parsing = True
        self._h11.receive_data(b"\n".join(kept) + self._raw[end:])

    def stale(self) -> bool:
        """Whether it had carried a request before, and has brought nothing for the present one."""
        return self.idle_since > 0.0 and not self._raw

    def begun(self) -> bool:
        """Whether anything of an answer to the present request has come."""
        return bool(self._raw)

    def early_status(self) -> int | None:
        """The status, where its line came but the rest cannot be read."""
        line = STATUS_LINE.match(self._raw)
        return int(line[1]) if line else None

    async def body(self, most: int = MAX_BODY) -> bytes:
        """The rest of the answer; makes the connection ready for the next request, if it stays open."""
        while not isinstance(event := await self._next(), h11.EndOfMessage):
            if not isinstance(event, h11.Data) or len(self._body) + len(event.data) > most:
                raise Broken("the answer's body is cut short or too large")
            self._body += event.data
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return bytes(self._body)

    def usable(self) -> bool:
        """Whether another request may be written to it, as far as this side can see."""
        idle = self._h11.our_state is h11.IDLE and not self._h11.trailing_data[0]
        wire = self._wire  # bytes that nobody has asked for would answer the next request
        return idle and not (wire.unread or wire.eof or wire.lost or self._transport.is_closing())

    def close(self) -> None:
        """Drop it at once: nothing more is written; what had come can still be read, without waiting."""
        if self._wire.unsent and not self._transport.is_closing():
            # uvloop closes one turn later, and hands over until then what the kernel has room for: the last byte of
            # a request that is taken for never sent could still go.
            of = self._transport.get_extra_info("socket")
            with socket.socket(of.family, of.type, of.proto, of.fileno()) as same:
                with suppress(OSError):  # it has been reset
                    same.shutdown(socket.SHUT_WR)
                same.detach()
        self._wire.end("closed")
        self._transport.abort()


class Client:
    """Whole exchanges with one party; idle connections are kept for a short while."""

    def __init__(self, address: str, keep_s: float = 2.0, connect_s: float = math.inf) -> None:
        """Nothing is opened before the first request; a connection comes up within `connect_s` or not at all."""
        self.address, self.keep_s, self.connect_s = address, keep_s, connect_s
        self._idle: list[Connection] = []
        self._under_way: set[asyncio.Timeout] = set()
        self._closed = False

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        """One request and its answer; raises `OSError` or `Broken`, `Cut` once an answer has begun."""
        loop = asyncio.get_running_loop()
        connection = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                self._under_way.add(limit)
                while self._idle and connection is None:
                    connection = self._idle.pop()
                    if not connection.usable() or loop.time() - connection.idle_since > self.keep_s:
                        connection.close()
                        connection = None
                connect_s = min(timeout_s, self.connect_s)
                connection = connection or await Connection.open(self.address, connect_s)
                await connection.send(method, target, [], body)
                head = await connection.head()
                if not limit.expired():  # else it ends here anyway
                    limit.reschedule(min(limit.when() or math.inf, loop.time() + REST_S))
                answer = await connection.body()
        except BaseException as bad:
            if connection:
                connection.close()
                if connection.begun() and isinstance(bad, (OSError, Broken)):
                    raise Cut(str(bad) or "the answer does not end") from bad
            raise
        finally:
            self._under_way.discard(limit)
        if connection.usable() and not self._closed:
            connection.idle_since = loop.time()
            self._idle.append(connection)
        else:
            connection.close()
        return head.status, answer

    def close(self) -> None:
        """Close idle connections; exchanges under way fail at once, as if their time were up."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
        for limit in self._under_way:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())
