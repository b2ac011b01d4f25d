"""Single attempts over HTTP: what they write, which connections they close, and their results."""

from __future__ import annotations

import asyncio

import pytest
from scripted_servers import ScriptedServer
from test_connection_pool import IMMEDIATE_REUSE, exchange, with_endpoints

from kestreltrack import http1
from kestreltrack.decision import Outcome
from kestreltrack.endpoints import http_transport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.endpoints.responses import parse_load_report
from kestreltrack.ports import Attempt, Message
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer

MESSAGE = Message("m1", "unsafe", 1, 0.0, b"body")
TIMEOUT_MS = 60_000.0  # no test reaches it


def make_transport() -> HttpTransport:
    return HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE), Telemetry())


def make_attempt(endpoint: ScriptedServer, may_begin: bool = True) -> Attempt:
    return Attempt(MESSAGE, "n1", endpoint.address, TIMEOUT_MS, lambda *_: may_begin)


def test_attempt_that_may_not_begin_writes_nothing_and_releases_its_connection() -> None:
    # A retry-after or a drain that arrives while the attempt connects must be obeyed.
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = make_transport()
        result = await transport.send(make_attempt(endpoint, may_begin=False))
        assert result.outcome is Outcome.NOT_SENT
        assert transport.pool.open_count == 1
        connection = await transport.pool.acquire("n1", endpoint.address)
        await exchange(connection, endpoint)  # the first request that the endpoint receives
        assert transport.pool.open_count == 1
        assert endpoint.requests.empty()

    with_endpoints(scenario)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = make_transport()
        attempt = asyncio.create_task(transport.send(make_attempt(endpoint)))
        reader, writer = (await endpoint.requests.get())[3]
        attempt.cancel()
        assert (await attempt).outcome is Outcome.CANCELLED
        assert transport.pool.open_count == 0
        assert await reader.read() == b""
        writer.close()

    with_endpoints(scenario)


def test_broken_connection_is_stale_only_if_it_was_reused() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = make_transport()
        for reused in (False, True):
            if reused:
                attempt = asyncio.create_task(transport.send(make_attempt(endpoint)))
                endpoint.respond((await endpoint.requests.get())[3], http_answer("200"))
                assert (await attempt).final
                assert transport.pool.open_count == 1
            attempt = asyncio.create_task(transport.send(make_attempt(endpoint)))
            streams = (await endpoint.requests.get())[3]
            streams[1].transport.abort()
            result = await attempt
            assert (result.outcome, result.stale_connection) == (Outcome.CONNECTION_BROKEN, reused)

    with_endpoints(scenario)


def test_attempt_cancelled_while_connecting_was_not_sent() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = make_transport()
        attempt = asyncio.create_task(transport.send(make_attempt(endpoint)))
        await asyncio.sleep(0)  # the attempt starts to connect
        attempt.cancel()
        assert (await attempt).outcome is Outcome.NOT_SENT
        assert transport.pool.open_count == 0

    with_endpoints(scenario)


def test_load_report_omits_fields_whose_value_is_not_a_number() -> None:
    text = "x0=0.4, x1=25,x2=,x3=nan,x4,=5,x5=-1,x6=1e300,x7=1_0,x8=" + "9" * 400
    assert parse_load_report(text) == {"x0": 0.4, "x1": 25.0}


OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REJECTION = "HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nContent-Length: {}\r\n\r\n"
RESPONSES = {
    # The response, the outcome of the attempt, and whether the connection stays open for reuse.
    "bytes that are not HTTP": ("\x00\xff" * 900, "broken", False),
    "a status that is not a number": ("HTTP/1.1 2x0 OK\r\n\r\n", "broken", False),
    "a head that never ends": ("HTTP/1.1 503 No\r\n" + "X-A: b\r\n" * 4000, "broken", False),
    "a truncated head": ("HTTP/1.1 503 No\r\nX-A", "broken", False),
    "a truncated head after a 200": ("HTTP/1.1 200 OK\r\nX-A", "ok", False),
    "a malformed head after a 200": ("HTTP/1.1 200 OK\r\n\x01\r\n\r\n", "ok", False),
    "a negative length": ("HTTP/1.1 503 No\r\nContent-Length: -5\r\n\r\n", "broken", False),
    "a body that never arrives": (REJECTION.format(50), "broken", False),
    "a body that never arrives after a 200": (OK_RESPONSE.replace(": 0", ": 50"), "ok", False),
    "a body of 3 GB": (REJECTION.format(3_000_000_000) + "x" * 200_000, "broken", False),
    "a complete response": (REJECTION.format(2) + "{}", "refused", True),
    "two responses": (REJECTION.format(2) + "{}" + OK_RESPONSE, "refused", False),
    "interim responses": ("HTTP/1.1 103 Wait\r\nX-A: b\r\n\r\n" * 3 + OK_RESPONSE, "ok", True),
    "a protocol switch as an interim response": ("HTTP/1.1 101 Switch\r\n\r\n" + OK_RESPONSE, "ok", True),
    "interim responses that never end": ("HTTP/1.1 100 Continue\r\n\r\n" * 1000, "broken", False),
    "a load report that is not plain text": (
        REJECTION.format("0\r\nX-Load-Report: x0=\x01\xff\x00"),
        "refused",
        True,
    ),
}


@pytest.mark.parametrize("name", RESPONSES)
def test_response_gives_the_outcome(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Only a complete response proves that the message was not executed; a status line with 200 proves the delivery.
    monkeypatch.setattr(http1.connection, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(http_transport, "BODY_TIMEOUT_S", 0.05)
    data, outcome, reused = RESPONSES[name]

    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = make_transport()
        attempt = asyncio.create_task(transport.send(make_attempt(endpoint)))
        endpoint.respond((await endpoint.requests.get())[3], data.encode("latin-1"))
        result = await attempt
        assert (result.outcome.value, transport.pool.open_count) == (outcome, int(reused))
        assert result.final == (outcome == "ok")
        assert result.retry_after_ms == (250.0 if outcome == "refused" else 0.0)

    with_endpoints(scenario)
