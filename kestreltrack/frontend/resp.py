"""The grammar of the submitters' protocol: commands in, replies out."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping
from contextlib import nullcontext

from kestreltrack.ports import Accepted, InvalidMessage, Message, Rejected, SubmitResult

MAX_BODY_BYTES = 64 * 1024
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 4096  # all parts together
LARGE_PART_BYTES = 4096  # a part beyond this waits for room in memory; so much of a connection is read ahead
MAX_PARTS = 16
MAX_LINE_BYTES = 64
ORDERING_KEY_LIMIT = 2**63  # what the journal holds
TOKEN_PATTERN = re.compile(r"[!-~]{1,128}")  # what an HTTP header may carry on
DURATION_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
INTEGER_PATTERN = re.compile(r"[0-9]{1,18}")
ORDERING_KEY_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}")


class ProtocolError(Exception):
    """Not a command; where one ends can no longer be told, so the connection has to go."""


class InvalidCommandError(Exception):
    """A command in good form that cannot be served."""


async def _read_length(reader: asyncio.StreamReader, type_prefix: bytes) -> int:
    line = await reader.readline()
    if not line:
        raise EOFError
    if not line.startswith(type_prefix) or not line.endswith(b"\r\n") or len(line) > MAX_LINE_BYTES:
        raise ProtocolError(f"expected {type_prefix.decode()} and a number")
    digits = line[1:-2]
    if not digits.isdigit():
        raise ProtocolError("a length is not a number")
    return int(digits)


async def _read_part(
    reader: asyncio.StreamReader, max_bytes: int, large_part_permits: asyncio.Semaphore
) -> bytes:
    size = await _read_length(reader, b"$")
    if size > max_bytes:
        raise ProtocolError("the command is too long")
    async with large_part_permits if size > LARGE_PART_BYTES else nullcontext():
        part = await reader.readexactly(size + 2)
    if part[-2:] != b"\r\n":
        raise ProtocolError("a part is not as long as it says")
    return part[:-2]


async def read_command(
    reader: asyncio.StreamReader, on_begin: Callable[[], None], large_part_permits: asyncio.Semaphore
) -> list[bytes]:
    """One array of bulk strings; `begun` is called at its first line, `large` bounds long parts in memory.

    Raises `EOFError` where the connection ends, or `Malformed`.
    """
    try:
        count = await _read_length(reader, b"*")
        on_begin()
        if not 0 < count <= MAX_PARTS:
            raise ProtocolError("too few or too many parts")
        parts, left = [], MAX_COMMAND_BYTES
        for _ in range(count):
            parts.append(await _read_part(reader, min(MAX_BODY_BYTES, left), large_part_permits))
            left -= len(parts[-1])
        return parts
    except asyncio.IncompleteReadError as bad:
        raise EOFError from bad
    except ValueError as bad:  # a line beyond the reader's limit
        raise ProtocolError("a line is too long") from bad


def _number_field(fields: Mapping[str, str], name: str, pattern: re.Pattern[str]) -> str:
    """The text of a number in plain decimal form: no sign, blank, exponent or word."""
    value = fields.get(name, "")
    if not pattern.fullmatch(value):
        raise InvalidCommandError(f"{name} is missing or not a number")
    return value


def parse_submission(parts: list[bytes], now_ms: float, ordered_classes: frozenset[str]) -> Message:
    """The message of ``SUBMIT KEY ID NAMES BODY``; `ordered` are the classes whose key orders them."""
    if len(parts) != 5:
        raise InvalidCommandError("SUBMIT takes a key, an id, names and a body")
    try:
        key, id_, names = (part.decode("ascii") for part in parts[1:4])
        fields = dict(part.split("=", 1) for part in names.split(","))
    except ValueError as bad:
        raise InvalidCommandError("the key, id or names cannot be read") from bad
    dest = int(_number_field(fields, "dest", INTEGER_PATTERN))
    order_key = int(key, 16) if ORDERING_KEY_PATTERN.fullmatch(key) else ORDERING_KEY_LIMIT
    if not TOKEN_PATTERN.fullmatch(id_) or not TOKEN_PATTERN.fullmatch(fields.get("k", "-")):
        raise InvalidCommandError("the id or idempotency key cannot be passed on")
    if order_key >= ORDERING_KEY_LIMIT:
        raise InvalidCommandError("the key is not a number that can be kept")
    cls = fields.get("c", "")
    return Message(
        id=id_,
        cls=cls,
        dest=dest,
        expires=now_ms + float(_number_field(fields, "d", DURATION_PATTERN)),
        body=parts[4],
        tenant=fields.get("t"),
        ordering_key=order_key if cls in ordered_classes else None,
        idempotency_key=fields.get("k"),
    )


def encode_reply(result: SubmitResult) -> bytes:
    """The reply to a submitter."""
    if isinstance(result, Accepted):
        return b"+OK\r\n"
    if isinstance(result, Rejected):
        return (
            b"-BUSY\r\n" if result.retry_after_ms is None else b"-BUSY %d\r\n" % round(result.retry_after_ms)
        )
    assert isinstance(result, InvalidMessage)
    return b"-ERR %s\r\n" % result.reason.encode("ascii", "replace")
