"""Attempts over HTTP: what is written, what is closed, and which result they have."""

from __future__ import annotations

import asyncio

import pytest
from scenario import ScriptedServer
from test_connection_pool import exchange, with_endpoints

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


def new_transport() -> HttpTransport:
    return HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())


def test_attempt_that_may_not_begin_writes_nothing_and_releases_its_connection() -> None:
    # A retry-after or a drain that arrives while the connection is made must be obeyed.
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = new_transport()
        result = await transport.send(Attempt(MESSAGE, "node", endpoint.address, 5000.0, lambda *_: False))
        assert result.outcome is Outcome.NOT_SENT and transport.pool.open_count == 1
        connection = await transport.pool.acquire("node", endpoint.address)
        await exchange(connection, endpoint)  # the first request that the endpoint sees on it
        assert transport.pool.open_count == 1 and endpoint.requests.empty()

    with_endpoints(scenario)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = new_transport()
        attempt = asyncio.create_task(
            transport.send(Attempt(MESSAGE, "node", endpoint.address, 60000.0, lambda *_: True))
        )
        reader, writer = (await endpoint.requests.get())[3]
        attempt.cancel()
        assert (await attempt).outcome is Outcome.CANCELLED and transport.pool.open_count == 0
        assert await reader.read() == b""
        writer.close()

    with_endpoints(scenario)


def test_broken_connection_is_stale_only_if_it_was_reused() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = new_transport()
        request = Attempt(MESSAGE, "node", endpoint.address, 60000.0, lambda *_: True)
        for stale in (False, True):
            for reused in range(int(stale) + 1):
                attempt = asyncio.create_task(transport.send(request))
                streams = (await endpoint.requests.get())[3]
                if reused < int(stale):
                    endpoint.respond(streams, http_answer("200"))
                    assert (await attempt).final and transport.pool.open_count == 1
            streams[1].transport.abort()
            result = await attempt
            assert (result.outcome, result.stale_connection) == (Outcome.CONNECTION_BROKEN, stale)

    with_endpoints(scenario)


def test_attempt_cancelled_while_connecting_was_not_sent() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = new_transport()
        attempt = asyncio.create_task(
            transport.send(Attempt(MESSAGE, "node", endpoint.address, 60000.0, lambda *_: True))
        )
        await asyncio.sleep(0)  # it has begun to connect
        attempt.cancel()
        assert (await attempt).outcome is Outcome.NOT_SENT and transport.pool.open_count == 0

    with_endpoints(scenario)


def test_load_report_leaves_out_what_is_not_a_number() -> None:
    text = "x0=0.4, x1=25,x2=,x3=nan,x4,=5,x5=-1,x6=1e300,x7=1_0,x8=" + "9" * 400
    assert parse_load_report(text) == {"x0": 0.4, "x1": 25.0}


OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = "HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nContent-Length: {}\r\n\r\n"
RESPONSES = {
    # What the endpoint writes, the outcome of the attempt, and whether the connection stays open for reuse.
    "noise": ("\x00\xff" * 900, "broken", False),
    "a status that is no number": ("HTTP/1.1 2x0 OK\r\n\r\n", "broken", False),
    "a head that never ends": ("HTTP/1.1 503 No\r\n" + "X-A: b\r\n" * 4000, "broken", False),
    "a head that stops": ("HTTP/1.1 503 No\r\nX-A", "broken", False),
    "a head that stops behind 200": ("HTTP/1.1 200 OK\r\nX-A", "ok", False),
    "a head that cannot be read behind 200": ("HTTP/1.1 200 OK\r\n\x01\r\n\r\n", "ok", False),
    "a length that is no number": ("HTTP/1.1 503 No\r\nContent-Length: -5\r\n\r\n", "broken", False),
    "a body that never comes": (BUSY.format(50), "broken", False),
    "a body that never comes behind 200": (OK.replace(": 0", ": 50"), "ok", False),
    "a body of 3 GB": (BUSY.format(3_000_000_000) + "x" * 200_000, "broken", False),
    "a whole answer": (BUSY.format(2) + "{}", "refused", True),
    "two answers": (BUSY.format(2) + "{}" + OK, "refused", False),
    "interim answers": ("HTTP/1.1 103 Wait\r\nX-A: b\r\n\r\n" * 3 + OK, "ok", True),
    "an interim switch of protocols": ("HTTP/1.1 101 Switch\r\n\r\n" + OK, "ok", True),
    "interim answers without end": ("HTTP/1.1 100 Continue\r\n\r\n" * 1000, "broken", False),
    "a report of odd bytes": (BUSY.format("0\r\nX-Load-Report: x0=\x01\xff\x00"), "refused", True),
}


@pytest.mark.parametrize("name", RESPONSES)
def test_response_gives_the_outcome(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Only a complete response proves that the message was not executed; a status line with 200 is true in any case.
    monkeypatch.setattr(http1.connection, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(http_transport, "BODY_TIMEOUT_S", 0.05)
    data, outcome, reused = RESPONSES[name]

    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = new_transport()
        attempt = asyncio.create_task(
            transport.send(Attempt(MESSAGE, "node", endpoint.address, 60000.0, lambda *_: True))
        )
        endpoint.respond((await endpoint.requests.get())[3], data.encode("latin-1"))
        result = await attempt
        assert (result.outcome.value, transport.pool.open_count) == (outcome, int(reused))
        assert result.final == (outcome == "ok")
        assert result.retry_after_ms == (250.0 if outcome == "refused" else 0.0)

    with_endpoints(scenario)
