"""The little HTTP/1.1 that stand-ins speak as servers, over asyncio streams."""

from __future__ import annotations

import asyncio

MAX_BODY = 4 * 1024 * 1024


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One request: its first line, headers by lower-case name, and body; raises as streams do."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    size = int(headers.get("content-length", 0))
    if not 0 <= size <= MAX_BODY:
        raise OSError(f"a body of {size} bytes")
    return first, headers, await reader.readexactly(size)


def http_answer(status: str, *headers: str, body: bytes = b"") -> bytes:
    """One answer."""
    lines = [f"HTTP/1.1 {status} Said", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
