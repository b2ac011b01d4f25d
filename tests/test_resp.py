"""The client protocol: any body is read unchanged, and any input yields a message or an error."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.frontend.resp import (
    MAX_BODY_BYTES,
    InvalidCommandError,
    ProtocolError,
    parse_submission,
    read_command,
)

REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=200)


def read(data: bytes) -> list[bytes]:
    async def read_from_stream() -> list[bytes]:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await read_command(reader, lambda: None)

    return asyncio.run(read_from_stream())


def encode(parts: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


@REPRODUCIBLE
@given(st.lists(st.binary(max_size=300), min_size=1, max_size=8))
def test_any_bytes_are_read_unchanged(parts: list[bytes]) -> None:
    assert read(encode(parts)) == parts


@REPRODUCIBLE
@given(st.binary(max_size=60) | st.binary(max_size=40).map(lambda tail: b"*2\r\n$1\r\n" + tail))
def test_any_input_yields_parts_of_it_or_an_error(data: bytes) -> None:
    try:
        parts = read(data)
    except (EOFError, ProtocolError, InvalidCommandError):
        return
    assert parts and all(b"\r\n" + part + b"\r\n" in data for part in parts)


@REPRODUCIBLE
@given(st.binary(max_size=40), st.binary(max_size=40), st.binary(max_size=80))
def test_any_submission_yields_a_message_or_an_error(key: bytes, id_: bytes, attributes: bytes) -> None:
    try:
        message = parse_submission([b"SUBMIT", key, id_, attributes, b""], 0.0, frozenset())
    except InvalidCommandError:
        return
    assert message.id == id_.decode("ascii") and message.expires >= 0


def test_a_body_at_the_limit_is_read_and_a_larger_one_is_a_protocol_error() -> None:
    assert read(encode([b"X", bytes(MAX_BODY_BYTES)]))[1] == bytes(MAX_BODY_BYTES)
    with pytest.raises(ProtocolError, match="too long"):
        read(encode([b"X", bytes(MAX_BODY_BYTES + 1)]))
    with pytest.raises(ProtocolError, match="too long"):
        read(encode([bytes(MAX_BODY_BYTES), b"X" * 5000]))


@pytest.mark.parametrize("value", ["1_0", "1e300", "+5", "-5", " 5", "", "nan", "0x5", "\u0665", "9" * 23])
@pytest.mark.parametrize("attributes", ["c=x,dest=7,d={}", "c=x,d=8,dest={}"])
def test_a_number_that_is_not_plain_decimal_is_an_invalid_command(attributes: str, value: str) -> None:
    # `int` or `float` of Python accepts most of these.
    with pytest.raises(InvalidCommandError):
        parse_submission([b"SUBMIT", b"00", b"m1", attributes.format(value).encode(), b""], 0.0, frozenset())


@pytest.mark.parametrize("key", [b"", b"1_0", b"-1", b" 1", b"0x1", b"f" * 17])
def test_an_ordering_key_that_is_not_plain_hexadecimal_is_an_invalid_command(key: bytes) -> None:
    with pytest.raises(InvalidCommandError):
        parse_submission([b"SUBMIT", key, b"m1", b"c=x,dest=7,d=8", b""], 0.0, frozenset())


def test_only_an_ordered_class_keeps_the_ordering_key() -> None:
    parts = [b"SUBMIT", b"00000000000000ff", b"m1", b"c=x,t=acme,d=8000,k=5c,dest=7", b"b"]
    message = parse_submission(parts, 100.0, frozenset())
    assert (message.ordering_key, message.expires, message.dest, message.tenant) == (None, 8100.0, 7, "acme")
    assert parse_submission(parts, 100.0, frozenset({"x"})).ordering_key == 255
