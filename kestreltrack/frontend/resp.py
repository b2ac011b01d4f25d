"""The grammar of the clients' protocol: commands in, replies out.

A command is an array of bulk strings of RESP2 (https://redis.io/docs/latest/develop/reference/protocol-spec/).
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping
from contextlib import nullcontext

from kestreltrack.ports import Accepted, InvalidMessage, Message, Rejected, SubmitResult

MAX_BODY_BYTES = 64 * 1024
# All parts of a command together: a body, and the names beside it.
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 4096
# A part beyond this waits until there is memory for it; as much of a connection is read ahead.
LARGE_PART_BYTES = 4096
MAX_PARTS = 16
# A line holds a type and a length.
MAX_LINE_BYTES = 64
# The parts of SUBMIT: the command, the ordering key, the id, the names and the body.
SUBMIT_PARTS = 5
# Ordering keys are below this: the journal holds them as signed integers of 64 bits.
ORDERING_KEY_LIMIT = 2**63
# What an HTTP header may carry on to the endpoint.
TOKEN_PATTERN = re.compile(r"[!-~]{1,128}")
DURATION_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
INTEGER_PATTERN = re.compile(r"[0-9]{1,18}")
ORDERING_KEY_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}")


class FrontendError(Exception):
    """A client's request cannot be served; the text is the reply to the client."""


class ProtocolError(FrontendError):
    """The bytes are no command.  Where the next one begins is unknown, so the connection has to end."""


class InvalidCommandError(FrontendError):
    """A well-formed command that cannot be served; the connection may go on."""


async def read_command(
    reader: asyncio.StreamReader, on_begin: Callable[[], None], large_part_permits: asyncio.Semaphore
) -> list[bytes]:
    """Read one array of bulk strings.

    Args:
        reader: The connection.
        on_begin: Called once the first line of the command has been read.
        large_part_permits: Bounds how many parts beyond `LARGE_PART_BYTES` are held in memory at a time.

    Raises:
        EOFError: The connection has ended.
        ProtocolError: What comes is no command, or one that is too long.
    """
    try:
        count = await _read_length(reader, b"*")
        on_begin()
        if not 0 < count <= MAX_PARTS:
            raise ProtocolError("too few or too many parts")
        parts = list[bytes]()
        remaining_bytes = MAX_COMMAND_BYTES
        for _ in range(count):
            part = await _read_part(reader, min(MAX_BODY_BYTES, remaining_bytes), large_part_permits)
            parts.append(part)
            remaining_bytes -= len(part)
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    except ValueError as error:
        # From the reader: a line beyond its limit.
        raise ProtocolError("a line is too long") from error
    return parts


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


def parse_submission(parts: list[bytes], now_ms: float, ordered_classes: frozenset[str]) -> Message:
    """Return the message of ``SUBMIT KEY ID NAMES BODY``.

    Args:
        parts: The parts of the command.
        now_ms: The time on the clock of the message's deadline.
        ordered_classes: The classes whose messages are delivered in the order of their key.

    Raises:
        InvalidCommandError: The command lacks something, or holds what cannot be read.
    """
    if len(parts) != SUBMIT_PARTS:
        raise InvalidCommandError("SUBMIT takes a key, an id, names and a body")
    try:
        key, id_, names = (part.decode("ascii") for part in parts[1:4])
        fields = dict(part.split("=", 1) for part in names.split(","))
    except ValueError as error:
        raise InvalidCommandError("the key, id or names cannot be read") from error
    dest = int(_number_field(fields, "dest", INTEGER_PATTERN))
    if not TOKEN_PATTERN.fullmatch(id_) or not TOKEN_PATTERN.fullmatch(fields.get("k", "-")):
        raise InvalidCommandError("the id or idempotency key cannot be passed on")
    ordering_key = _parse_ordering_key(key)
    cls = fields.get("c", "")
    return Message(
        id=id_,
        cls=cls,
        dest=dest,
        expires=now_ms + float(_number_field(fields, "d", DURATION_PATTERN)),
        body=parts[4],
        tenant=fields.get("t"),
        ordering_key=ordering_key if cls in ordered_classes else None,
        idempotency_key=fields.get("k"),
    )


def _number_field(fields: Mapping[str, str], name: str, pattern: re.Pattern[str]) -> str:
    """Return the text of a number in plain decimal form: no sign, blank, exponent or name."""
    value = fields.get(name, "")
    if not pattern.fullmatch(value):
        raise InvalidCommandError(f"{name} is missing or not a number")
    return value


def _parse_ordering_key(key: str) -> int:
    """Return the number of a key in plain hexadecimal form."""
    ordering_key = int(key, 16) if ORDERING_KEY_PATTERN.fullmatch(key) else ORDERING_KEY_LIMIT
    if ordering_key >= ORDERING_KEY_LIMIT:
        raise InvalidCommandError("the key is not a number that can be kept")
    return ordering_key


def encode_reply(result: SubmitResult) -> bytes:
    """Return the reply to a client that handed a message in."""
    match result:
        case Accepted():
            return b"+OK\r\n"
        case Rejected():
            if result.retry_after_ms is None:
                return b"-BUSY\r\n"
            return b"-BUSY %d\r\n" % round(result.retry_after_ms)
        case InvalidMessage(reason=reason):
            return b"-ERR %s\r\n" % reason.encode("ascii", "replace")
