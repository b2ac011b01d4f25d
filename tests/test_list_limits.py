"""The memory of an endpoint list while it is received and parsed is bounded."""

from __future__ import annotations

import asyncio
import random
import time
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
from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

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


class PacedServer(LoopbackServer):
    """Writes a response at a rate, in pieces; it stands still for good before the last `kept_back_bytes`."""

    def __init__(self, response: bytes, bytes_per_s: float, pause_s: float, kept_back_bytes: int = 0) -> None:
        super().__init__()
        self.response = response
        self.piece_bytes = max(1, int(bytes_per_s * pause_s))
        self.pause_s = pause_s
        self.kept_back_bytes = kept_back_bytes

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_http(reader)
            head, _, body = self.response.partition(b"\r\n\r\n")
            writer.write(head + b"\r\n\r\n")
            written = body[: len(body) - self.kept_back_bytes]
            for start in range(0, len(written), self.piece_bytes):
                writer.write(written[start : start + self.piece_bytes])
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            if self.kept_back_bytes:
                await asyncio.Event().wait()


@pytest.mark.parametrize("drawn", range(6))
def test_list_that_keeps_coming_is_read_to_its_end(drawn: int) -> None:
    # Guards against a list that is refused for good because it takes longer than a second, however steadily it comes.
    rng = random.Random(drawn)
    endpoints = rng.randint(500, 3_200)
    seconds = rng.uniform(1.2, 3.0)
    body = encode_list(endpoints)
    server = PacedServer(http_answer("200", body=body), len(body) / seconds, rng.uniform(0.01, 0.4))

    async def scenario() -> None:
        update = await asyncio.wait_for(anext(HttpEndpointSource(server.address, Telemetry()).follow()), 10.0)
        assert len(update.endpoints) == endpoints

    run_with_server(server, scenario)


@pytest.mark.parametrize("push_deadline_ms", [0.0, 500.0], ids=["polled", "pushed"])
@pytest.mark.parametrize(
    ("status", "bytes_per_s", "kept_back_bytes"),
    [("200", 1e6, 100), ("200", 5_000.0, 0), ("503", 20_000.0, 0)],
    ids=["stands still", "trickles", "a failure that keeps coming"],
)
def test_list_that_stands_still_or_trickles_is_given_up_in_time(
    status: str, bytes_per_s: float, kept_back_bytes: int, push_deadline_ms: float
) -> None:
    # The other side: waiting for a faulty server must not keep the sender on an old list.
    body = encode_list(2_000)
    server = PacedServer(http_answer(status, body=body), bytes_per_s, 0.05, kept_back_bytes)

    async def scenario() -> None:
        started_at = time.monotonic()
        source = HttpEndpointSource(server.address, Telemetry(), push_deadline_ms=push_deadline_ms)
        with pytest.raises(DiscoveryError):
            await anext(source.follow())
        # Two calls, each of which may pause for a second.  5,000 bytes a second use up the first second in 1.5 s.
        assert time.monotonic() - started_at < 4.0

    run_with_server(server, scenario)
