"""The grammar of the submitters' protocol: commands in, replies out."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping
from contextlib import nullcontext

from kestreltrack.ports import Answer, Message, Rejected, TakenOn, TurnedAway

MAX_BODY = 64 * 1024
MAX_COMMAND = MAX_BODY + 4096  # all parts together
LARGE = 4096  # a part beyond this waits for room in memory; so much of a connection is read ahead
MAX_PARTS = 16
MAX_LINE = 64
MAX_NUMBER = 2**63  # what the journal holds
TOKEN = re.compile(r"[!-~]{1,128}")  # what an HTTP header may carry on
TIME = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
NUMBER = re.compile(r"[0-9]{1,18}")
KEY = re.compile(r"[0-9a-fA-F]{1,16}")


class Malformed(Exception):
    """Not a command; where one ends can no longer be told, so the connection has to go."""


class Unfit(Exception):
    """A command in good form that cannot be served."""


async def _size(reader: asyncio.StreamReader, mark: bytes) -> int:
    line = await reader.readline()
    if not line:
        raise EOFError
    if not line.startswith(mark) or not line.endswith(b"\r\n") or len(line) > MAX_LINE:
        raise Malformed(f"expected {mark.decode()} and a number")
    digits = line[1:-2]
    if not digits.isdigit():
        raise Malformed("a length is not a number")
    return int(digits)


async def _part(reader: asyncio.StreamReader, left: int, large: asyncio.Semaphore) -> bytes:
    size = await _size(reader, b"$")
    if size > left:
        raise Malformed("the command is too long")
    async with large if size > LARGE else nullcontext():
        part = await reader.readexactly(size + 2)
    if part[-2:] != b"\r\n":
        raise Malformed("a part is not as long as it says")
    return part[:-2]


async def read_command(
    reader: asyncio.StreamReader, begun: Callable[[], None], large: asyncio.Semaphore
) -> list[bytes]:
    """One array of bulk strings; `begun` is called at its first line, `large` bounds long parts in memory.

    Raises `EOFError` where the connection ends, or `Malformed`.
    """
    try:
        count = await _size(reader, b"*")
        begun()
        if not 0 < count <= MAX_PARTS:
            raise Malformed("too few or too many parts")
        parts, left = [], MAX_COMMAND
        for _ in range(count):
            parts.append(await _part(reader, min(MAX_BODY, left), large))
            left -= len(parts[-1])
        return parts
    except asyncio.IncompleteReadError as bad:
        raise EOFError from bad
    except ValueError as bad:  # a line beyond the reader's limit
        raise Malformed("a line is too long") from bad


def _number(fields: Mapping[str, str], name: str, form: re.Pattern[str]) -> str:
    """The text of a number in plain decimal form: no sign, blank, exponent or word."""
    value = fields.get(name, "")
    if not form.fullmatch(value):
        raise Unfit(f"{name} is missing or not a number")
    return value


def read_submission(parts: list[bytes], now: float, ordered: frozenset[str]) -> Message:
    """The message of ``SUBMIT KEY ID NAMES BODY``; `ordered` are the classes whose key orders them."""
    if len(parts) != 5:
        raise Unfit("SUBMIT takes a key, an id, names and a body")
    try:
        key, id_, names = (part.decode("ascii") for part in parts[1:4])
        fields = dict(part.split("=", 1) for part in names.split(","))
    except ValueError as bad:
        raise Unfit("the key, id or names cannot be read") from bad
    dest = int(_number(fields, "dest", NUMBER))
    order_key = int(key, 16) if KEY.fullmatch(key) else MAX_NUMBER
    if not TOKEN.fullmatch(id_) or not TOKEN.fullmatch(fields.get("k", "-")):
        raise Unfit("the id or idempotency key cannot be passed on")
    if order_key >= MAX_NUMBER:
        raise Unfit("the key is not a number that can be kept")
    cls = fields.get("c", "")
    return Message(
        id=id_,
        cls=cls,
        dest=dest,
        expires=now + float(_number(fields, "d", TIME)),
        body=parts[4],
        tenant=fields.get("t"),
        order_key=order_key if cls in ordered else None,
        idempotency_key=fields.get("k"),
    )


def write_answer(answer: Answer) -> bytes:
    """The reply to a submitter."""
    if isinstance(answer, TakenOn):
        return b"+OK\r\n"
    if isinstance(answer, TurnedAway):
        return b"-BUSY\r\n" if answer.wait_ms is None else b"-BUSY %d\r\n" % round(answer.wait_ms)
    assert isinstance(answer, Rejected)
    return b"-ERR %s\r\n" % answer.reason.encode("ascii", "replace")
