"""Parses the commands of the client protocol and encodes its replies.

A command is a RESP2 array of bulk strings (https://redis.io/docs/latest/develop/reference/protocol-spec/).
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping

from kestreltrack.ports import Accepted, InvalidMessage, Message, Rejected, SubmitResult

MAX_BODY_BYTES = 64 * 1024
# The total of all parts of one command: the body and 4 KiB for the other parts.
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 4096
MAX_PARTS = 16
# A line holds only a type character and a length.
MAX_LINE_BYTES = 64
# The command name, the ordering key, the message id, the attributes and the body.
SUBMIT_PARTS = 5
# Ordering keys are less than this, because the journal stores them as signed 64-bit integers.
ORDERING_KEY_LIMIT = 2**63
# Message ids and idempotency keys: printable ASCII without spaces, which can be sent in an HTTP header.
TOKEN_PATTERN = re.compile(r"[!-~]{1,128}")
DURATION_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
INTEGER_PATTERN = re.compile(r"[0-9]{1,18}")
ORDERING_KEY_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}")


class FrontendError(Exception):
    """Base class: a client's request cannot be served.  The text is sent to the client as an error reply."""


class ProtocolError(FrontendError):
    """The bytes are not a valid command.  The start of the next one is unknown, so the connection is closed."""


class InvalidCommandError(FrontendError):
    """A well-formed command that cannot be served; the connection stays open."""


async def read_command(reader: asyncio.StreamReader, on_begin: Callable[[], None]) -> list[bytes]:
    """Read one command and return its parts.

    Args:
        reader: The connection.
        on_begin: Called when the first line of the command has been read.

    Raises:
        EOFError: The client closed the connection.
        ProtocolError: The bytes are not a command, or the command exceeds a limit.
    """
    try:
        count = await _read_length(reader, b"*")
        on_begin()
        if not 0 < count <= MAX_PARTS:
            raise ProtocolError("too few or too many parts")
        parts = list[bytes]()
        remaining_bytes = MAX_COMMAND_BYTES
        for _ in range(count):
            part = await _read_part(reader, min(MAX_BODY_BYTES, remaining_bytes))
            parts.append(part)
            remaining_bytes -= len(part)
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    except ValueError as error:
        # `StreamReader.readline` raises ValueError if a line exceeds the read-ahead limit.
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


async def _read_part(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    size = await _read_length(reader, b"$")
    if size > max_bytes:
        raise ProtocolError("the command is too long")
    part = await reader.readexactly(size + 2)
    if part[-2:] != b"\r\n":
        raise ProtocolError("a part is not as long as it says")
    return part[:-2]


def parse_submission(parts: list[bytes], now_ms: float, ordered_classes: frozenset[str]) -> Message:
    """Return the message of ``SUBMIT KEY ID ATTRIBUTES BODY``.

    ATTRIBUTES, "names" in error replies, is a list of ``name=value`` separated by commas: the class ``c``, the
    destination ``dest``, the time until expiry ``d`` in milliseconds, and optionally the tenant ``t`` and the
    idempotency key ``k``.

    Args:
        parts: The parts of the command, including its name.
        now_ms: The current time of the clock by which the message expires, in milliseconds.
        ordered_classes: The classes that deliver messages with the same ordering key in order.

    Raises:
        InvalidCommandError: A part or an attribute is missing or malformed.
    """
    if len(parts) != SUBMIT_PARTS:
        raise InvalidCommandError("SUBMIT takes a key, an id, names and a body")
    try:
        key, id_, attributes = (part.decode("ascii") for part in parts[1:4])
        fields = dict(part.split("=", 1) for part in attributes.split(","))
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
    """Return the text of a decimal number; signs, spaces, exponents and names such as ``nan`` are invalid."""
    value = fields.get(name, "")
    if not pattern.fullmatch(value):
        raise InvalidCommandError(f"{name} is missing or not a number")
    return value


def _parse_ordering_key(key: str) -> int:
    """Parse a hexadecimal ordering key; signs, spaces, underscores and prefixes are invalid."""
    ordering_key = int(key, 16) if ORDERING_KEY_PATTERN.fullmatch(key) else ORDERING_KEY_LIMIT
    if ordering_key >= ORDERING_KEY_LIMIT:
        raise InvalidCommandError("the key is not a number that can be kept")
    return ordering_key


def encode_reply(result: SubmitResult) -> bytes:
    """Encode the reply to a SUBMIT command."""
    match result:
        case Accepted():
            return b"+OK\r\n"
        case Rejected():
            if result.retry_after_ms is None:
                return b"-BUSY\r\n"
            return b"-BUSY %d\r\n" % round(result.retry_after_ms)
        case InvalidMessage(reason=reason):
            return b"-ERR %s\r\n" % reason.encode("ascii", "replace")
