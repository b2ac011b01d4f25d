"""The memory of an endpoint list while it is received and parsed is bounded."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest
from test_silent_connections import run_with_server
from test_unending_responses import UnendingServer

from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.discovery.json_format import EndpointFormatError
from kestreltrack.discovery.list_decoder import SLICE_BYTES, decode_list
from kestreltrack.memory.plan import LISTED_ENDPOINT_BYTES
from kestreltrack.ports import DiscoveryError
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer

ENTRY = (
    b'{"uid":"s-%08x","endpoint":"10.1.0.18:6379","az":"a","model":"m2","pod_group":3,"state":"up",'
    b'"capacity_hint":1.0,"boot_ms":0}'
)


def encode_list(count: int) -> bytes:
    return b'{"rev":1,"all":true,"targets":[' + b",".join(ENTRY % n for n in range(count)) + b"]}"


@pytest.mark.parametrize("item", [b"[]", b"{}", b"[[]]", b'{"a":{}}'])
def test_list_of_very_many_small_objects_is_refused_before_it_is_decoded(item: bytes) -> None:
    body = b'{"rev":1,"all":true,"targets":[' + b",".join([item] * 100_000) + b"]}"
    tracemalloc.start()
    try:
        with pytest.raises(EndpointFormatError, match=r"not an object|is missing"):
            decode_list(body)
        assert tracemalloc.get_traced_memory()[1] < 100_000
    finally:
        tracemalloc.stop()


def test_decoding_takes_little_more_memory_than_the_endpoints_that_are_kept() -> None:
    # Guards against the text of a list and its decoded form being held at the same time.
    body = encode_list(3_200)
    tracemalloc.start()
    try:
        update = decode_list(body)
        held, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(update.endpoints) == 3_200
    assert peak < held + 4 * SLICE_BYTES and held < 3_200 * LISTED_ENDPOINT_BYTES / 4


@pytest.mark.parametrize("max_endpoints", [1, 7, 100])
def test_decoding_a_list_that_is_too_long_takes_no_more_memory_than_the_part_that_is_kept(
    max_endpoints: int,
) -> None:
    body = encode_list(3_200)
    tracemalloc.start()
    try:
        update = decode_list(body, max_endpoints)
        assert (
            tracemalloc.get_traced_memory()[1] < 4 * SLICE_BYTES + 2 * max_endpoints * LISTED_ENDPOINT_BYTES
        )
    finally:
        tracemalloc.stop()
    assert 0 < len(update.endpoints) <= max_endpoints
    assert update.omitted == 3_200 - len(update.endpoints)


@pytest.mark.parametrize(("limit_bytes", "is_read"), [(20_000, True), (10_000, False)])
def test_list_beyond_the_limit_is_refused(limit_bytes: int, is_read: bool) -> None:
    server = UnendingServer(http_answer("200", body=encode_list(100)), b"")
    server.delay_s = 0.0

    async def scenario() -> None:
        updates = HttpEndpointSource(server.address, Telemetry(), max_list_bytes=limit_bytes).follow()
        if is_read:
            assert len((await anext(updates)).endpoints) == 100
            return
        with pytest.raises(DiscoveryError, match="too large"):
            await asyncio.wait_for(anext(updates), 5.0)

    run_with_server(server, scenario)


@pytest.mark.parametrize(
    ("reason", "beginning"),
    [
        ("too large", http_answer("200", body=encode_list(100))),
        ("too slow", http_answer("200", body=encode_list(60))[:-1]),
    ],
)
def test_list_that_is_not_taken_tells_why_and_how_much_of_it_came(reason: str, beginning: bytes) -> None:
    # Guards against a log from which a list that is too large and one that comes too slowly cannot be told apart.
    server = UnendingServer(beginning, b"")
    server.delay_s = 0.0

    async def scenario() -> None:
        with pytest.raises(DiscoveryError) as raised:
            await anext(HttpEndpointSource(server.address, Telemetry(), max_list_bytes=10_000).follow())
        refused = raised.value.refused_list
        assert refused and refused.reason == reason and refused.limit_bytes == 10_000
        assert 4_000 < refused.received_bytes <= 10_000 and refused.elapsed_s >= 0.0

    run_with_server(server, scenario)
