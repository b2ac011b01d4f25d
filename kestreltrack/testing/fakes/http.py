"""Minimal server side of HTTP/1.1 (RFC 9112) over asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from kestreltrack.http1 import BodyReceiver, HttpResponse

# Bounds the memory of a request; requests of tests and benchmarks are far smaller.
MAX_BODY_BYTES = 4 * 1024 * 1024


class HttpRequest(NamedTuple):
    """A request; the headers, names and values, are in lower case."""

    request_line: str
    headers: dict[str, str]
    body: bytes


async def read_http(reader: asyncio.StreamReader) -> HttpRequest:
    """Read one request.

    Raises:
        OSError: If the content length is negative or exceeds `MAX_BODY_BYTES`.
        asyncio.IncompleteReadError: If the connection ends before the request is complete.
        ValueError: If the content length is not a number.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    size = int(headers.get("content-length", 0))
    if not 0 <= size <= MAX_BODY_BYTES:
        raise OSError(f"content length {size} is not between 0 and {MAX_BODY_BYTES}")
    return HttpRequest(request_line, headers, await reader.readexactly(size))


def http_answer(status: str, *headers: str, body: bytes = b"") -> bytes:
    """Return an encoded response with the given header lines and body."""
    lines = [f"HTTP/1.1 {status} Said", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def pass_body(receiver: BodyReceiver | None, status: int, body: bytes) -> HttpResponse:
    """Return a response as `http1.HttpClient.exchange` does: its body goes to `receiver`, if there is one."""
    if receiver is None:
        return HttpResponse(status, body)
    receiver.begin(status)
    receiver.receive(body)
    return HttpResponse(status, b"")
