"""The part of HTTP/1.1 (RFC 9112) that the fakes need as servers, over asyncio streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

# A bound on memory, far above the requests of tests and benchmarks.
MAX_BODY_BYTES = 4 * 1024 * 1024


class HttpRequest(NamedTuple):
    """One request; the names of its headers are in lower case."""

    request_line: str
    headers: dict[str, str]
    body: bytes


async def read_http(reader: asyncio.StreamReader) -> HttpRequest:
    """Read one request.

    Raises:
        OSError: Where the body is larger than `MAX_BODY_BYTES`.
        asyncio.IncompleteReadError: Where the connection ends before the request does.
        ValueError: Where the content length is not a number.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    size = int(headers.get("content-length", 0))
    if not 0 <= size <= MAX_BODY_BYTES:
        raise OSError(f"a body of {size} bytes: expected 0 to {MAX_BODY_BYTES}")
    return HttpRequest(request_line, headers, await reader.readexactly(size))


def http_answer(status: str, *headers: str, body: bytes = b"") -> bytes:
    """Return one encoded response."""
    lines = [f"HTTP/1.1 {status} Said", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
