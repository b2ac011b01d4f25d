"""HTTP/1.1 as a client over asyncio streams: h11 parses, one exchange at a time on a connection."""

from __future__ import annotations

import asyncio
import math
import re
from dataclasses import dataclass

import h11

MAX_BODY = 4 * 1024 * 1024  # of an answer: a whole machine list is far smaller
MAX_HEAD = 16 * 1024
HEAD_S = 1.0  # for the rest of a head that has begun: it may never end
REST_S = 1.0  # for the rest of a whole exchange's answer behind its head: that may never end either
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


class _Counting(asyncio.StreamReaderProtocol):
    """Counts what comes: bytes that nobody has asked for would answer the next request."""

    came = 0

    def data_received(self, data: bytes) -> None:
        self.came += len(data)
        super().data_received(data)


class Connection:
    """One connection, made by `open`."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counting: _Counting, address: str
    ) -> None:
        """Wrap open streams."""
        self._reader, self._writer, self._counting, self.address = reader, writer, counting, address
        self._h11 = h11.Connection(our_role=h11.CLIENT)
        self._raw, self._read_so_far = b"", 0  # of the head that is being read; of the whole connection
        self.idle_since = 0.0
        # Only an empty buffer tells that the last byte has gone to the network.
        writer.transport.set_write_buffer_limits(high=0)

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> Connection:
        """Connect; raises `OSError` (a time-out is one too)."""
        host, port = split_address(address)
        loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
        protocol = _Counting(reader)
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(lambda: protocol, host, port)
        return cls(reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol, address)

    async def send(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Write one request; returns once its last byte is written, else raises `Broken`."""
        fields = [("Host", self.address), *headers, ("Content-Length", str(len(body)))]
        data = self._h11.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        if self._writer.is_closing():
            raise Broken("the connection has been closed")
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError as bad:
            raise Broken(str(bad)) from bad

    async def _read(self) -> bytes:
        try:
            data = await self._reader.read(65536)
        except OSError as bad:
            raise Broken(str(bad)) from bad
        self._read_so_far += len(data)
        return data

    async def _next(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """The next event of the answer."""
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                self._h11.receive_data(await self._read())
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
                    if not (data := await self._read()):
                        raise Broken("the connection ended before an answer")
                    self._raw += data
        except TimeoutError as bad:
            raise Broken("the head does not end") from bad
        return end.end()

    async def head(self, unsure: bytes = b"") -> Head:
        """Status and headers of the answer; header `unsure` is left out where it is not plain text."""
        self._raw = b""
        for _ in range(MOST_INFORMAL):
            end = await self._raw_head()
            line = STATUS_LINE.match(self._raw)
            if not line or line[1][:1] != b"1":
                break
            self._raw = self._raw[end:]  # an interim answer, 101 too: what counts comes behind it
        lines = self._raw[:end].split(b"\n")
        kept = [x for x in lines if x.partition(b":")[0].lower() != unsure or PLAIN.fullmatch(x)]
        self._h11.receive_data(b"\n".join(kept) + self._raw[end:])
        if not isinstance(event := await self._next(), h11.Response):
            raise Broken("what came is no answer")
        return Head(event.status_code, {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers})

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
        parts = bytearray()
        while not isinstance(event := await self._next(), h11.EndOfMessage):
            if not isinstance(event, h11.Data) or len(parts) + len(event.data) > most:
                raise Broken("the answer's body is cut short or too large")
            parts += event.data
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return bytes(parts)

    def usable(self) -> bool:
        """Whether another request may be written to it, as far as this side can see."""
        idle = self._h11.our_state is h11.IDLE and not self._h11.trailing_data[0]
        if not idle or self._counting.came != self._read_so_far:
            return False
        return not (self._reader.at_eof() or self._reader.exception() or self._writer.is_closing())

    def close(self) -> None:
        """Drop it at once: nothing more is written or read."""
        self._writer.transport.abort()


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
        connection, head, sent = None, None, False
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
                sent = True
                head = await connection.head()
                if not limit.expired():  # else it ends here anyway
                    limit.reschedule(min(limit.when() or math.inf, loop.time() + REST_S))
                answer = await connection.body()
        except BaseException as bad:
            if connection:
                connection.close()
                if sent and connection.begun() and isinstance(bad, (OSError, Broken)):
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
