"""Which idle connection carries the next request, and what bytes that belong to no request change."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from types import SimpleNamespace
from typing import Any, cast

import pytest
from scripted_servers import ScriptedServer
from test_connection_pool import IMMEDIATE_REUSE, exchange, with_endpoints

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.http1 import Connection, ConnectionReuse, SettleTimes, UnrequestedBytes
from kestreltrack.http1.connection_reuse import DELAY_MEMORY_S, NEW_CONNECTIONS_ONLY_S
from kestreltrack.http1.response_matching import ResponseMatching
from kestreltrack.ports import Attempt, BatchCall, Message
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer

NOW = 1000.0
TIMES = SettleTimes(0.1, 0.4, 2.0, 0.04)
NEVER = SettleTimes(600.0, 600.0, 600.0)
TIMEOUT_MS = 60_000.0  # no test reaches it


def idle_connections(*silent_s: float) -> list[Connection]:
    """Return connections that have been silent for the given times."""
    connections = list[Any]()
    for seconds in silent_s:
        matching = ResponseMatching()
        matching.record_request(NOW - seconds - 1.0)
        matching.record_response(NOW - seconds, "content")
        connections.append(SimpleNamespace(matching=matching))
    return cast(list[Connection], connections)


def make_attempt(
    address: str, message_id: str, body: bytes = b"", batch_call: BatchCall | None = None
) -> Attempt:
    message = Message(message_id, "safe", 1, 0.0, body)
    return Attempt(message, "n1", address, TIMEOUT_MS, lambda *_: True, batch_call)


def repeated_response(delay_s: float) -> UnrequestedBytes:
    return UnrequestedBytes(1, 1, delay_s, is_response=True)


def selected(reuse: ConnectionReuse, idle: list[Connection], at: float = NOW, *, strict: bool) -> int | None:
    """Return the index of the connection that is selected to carry a request at once."""
    selection = reuse.select("n1", idle, at, strict=strict)
    return idle.index(selection.connection) if selection and not selection.wait_s else None


@pytest.mark.parametrize(
    ("silent_s", "expected"),
    [
        ([], None),
        ([0.05], None),
        ([0.12], 0),
        ([0.3, 0.15, 0.05], 1),
        ([0.9, 0.5, 0.15], 1),
        ([0.1], 0),
    ],
)
def test_select_prefers_the_latest_used_of_the_surely_settled(
    silent_s: list[float], expected: int | None
) -> None:
    idle = idle_connections(*silent_s)
    assert selected(ConnectionReuse(TIMES), idle, strict=False) == expected
    assert selected(ConnectionReuse(TIMES), idle, strict=True) == expected


def test_request_waits_for_a_connection_that_settles_soon() -> None:
    reuse = ConnectionReuse(TIMES)
    idle = idle_connections(0.07, 0.01)
    selection = reuse.select("n1", idle, NOW, strict=False)
    assert selection and selection.connection is idle[0] and selection.wait_s == pytest.approx(0.03)
    assert reuse.select("n1", idle_connections(0.05, 0.01), NOW, strict=False) is None


def test_strict_request_needs_the_preferred_silence_while_repeated_responses_are_remembered() -> None:
    reuse = ConnectionReuse(TIMES)
    reuse.record_unrequested("n2", repeated_response(0.02), NOW)
    for at, expected in ((NOW, None), (NOW + DELAY_MEMORY_S, 0)):
        assert selected(reuse, idle_connections(0.3 - (at - NOW)), at, strict=True) == expected
        assert selected(reuse, idle_connections(0.3 - (at - NOW)), at, strict=False) == 0


@pytest.mark.parametrize(("response_time_s", "expected"), [(0.2, 0), (0.03, None)])
def test_connection_to_a_slow_server_is_used_again_at_once_unless_the_request_is_strict(
    response_time_s: float, expected: int | None
) -> None:
    reuse = ConnectionReuse(TIMES)
    (used,) = idle_connections(0.0)
    used.matching.response_time_s = response_time_s
    reuse.record_response("n1", used)
    assert selected(reuse, [used], strict=False) == expected
    assert selected(reuse, [used], strict=True) is None
    reuse.record_unrequested("n2", repeated_response(0.02), NOW)
    assert selected(reuse, [used], strict=False) is None, "not while repeated responses are remembered"


def test_new_connection_may_carry_its_first_request_at_once() -> None:
    idle = cast(list[Connection], [SimpleNamespace(matching=ResponseMatching())])
    assert selected(ConnectionReuse(TIMES), idle, strict=True) == 0


def test_settle_time_grows_with_the_observed_delay_and_returns_to_the_minimum() -> None:
    reuse = ConnectionReuse(TIMES)
    reuse.record_unrequested("n2", repeated_response(0.09), NOW)
    assert reuse.settle_s(NOW) == pytest.approx(0.36)
    assert selected(reuse, idle_connections(0.3), strict=False) is None, "it holds for all servers"
    assert selected(reuse, idle_connections(0.45), strict=False) == 0
    reuse.record_unrequested("n2", repeated_response(0.02), NOW)
    assert reuse.settle_s(NOW) == pytest.approx(0.36)
    assert reuse.settle_s(NOW + DELAY_MEMORY_S) == 0.1


def test_server_whose_response_is_repeated_after_the_settle_time_gets_new_connections_only() -> None:
    reuse = ConnectionReuse(TIMES)
    reuse.record_unrequested("n1", repeated_response(5.0), NOW)
    idle = idle_connections(9.0)
    assert selected(reuse, idle, strict=False) is None
    assert reuse.select("n2", idle, NOW, strict=False) == (idle[0], 0.0)
    assert reuse.settle_s(NOW) == 0.1, "one server with very late responses slows down no other"
    assert selected(reuse, idle, NOW + NEW_CONNECTIONS_ONLY_S, strict=False) == 0


def test_bytes_that_are_no_response_change_no_settle_time() -> None:
    reuse = ConnectionReuse(TIMES)
    reuse.record_unrequested("n1", UnrequestedBytes(1, 1, 0.5, is_response=False), NOW)
    assert reuse.settle_s(NOW) == 0.1 and selected(reuse, idle_connections(0.3), strict=True) == 0


@pytest.mark.parametrize(("times", "is_reused"), [(NEVER, False), (IMMEDIATE_REUSE, True)])
def test_pool_reuses_a_connection_only_after_its_settle_time(times: SettleTimes, is_reused: bool) -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry(), times)
        first_connection = await pool.acquire("n1", endpoint.address)
        await exchange(first_connection, endpoint)
        pool.release("n1", first_connection)
        assert (await pool.acquire("n1", endpoint.address) is first_connection) == is_reused

    with_endpoints(scenario)


def test_pool_at_its_limit_closes_a_connection_that_is_not_settled() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 1, Telemetry(), NEVER)
        first_connection = await pool.acquire("n1", endpoint.address)
        await exchange(first_connection, endpoint)
        pool.release("n1", first_connection)
        assert await pool.acquire("n1", endpoint.address) is not first_connection
        assert pool.open_count == 1 and not first_connection.is_reusable()

    with_endpoints(scenario)


@pytest.mark.parametrize(
    ("data", "event"),
    [(http_answer("200"), "endpoints.repeated_response"), (b"HTTP/1.1 20", "endpoints.unrequested_bytes")],
)
def test_idle_connection_is_closed_counted_and_logged_when_bytes_arrive(
    data: bytes, event: str, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        connection = await pool.acquire("n1", endpoint.address)
        writer = await exchange(connection, endpoint)
        pool.release("n1", connection)
        writer.write(data)
        while pool.open_count:
            await asyncio.sleep(0.001)
        assert pool.telemetry.counters[event] == 1

    with_endpoints(scenario)
    log = capfd.readouterr().err
    assert f'"event":"{event}","endpoint":"n1","connection":' in log and '"exchange":1,"delay_ms":' in log


def test_attempt_names_the_connection_the_request_on_it_and_the_silence_before() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE), Telemetry())
        uses = []
        for message_id in ("m1", "m2"):
            task = asyncio.create_task(transport.send(make_attempt(endpoint.address, message_id)))
            endpoint.respond((await endpoint.requests.get())[3], http_answer("200"))
            uses.append((await task).connection)
            await asyncio.sleep(0.02)
        first, second = uses
        assert first.connection_id == second.connection_id > 0
        assert (first.exchange, first.silent_ms, second.exchange) == (1, 0.0, 2)
        assert second.silent_ms >= 19.0

    with_endpoints(scenario)


def test_response_before_the_end_of_the_request_on_a_reused_connection_proves_nothing() -> None:
    # An endpoint begins a call at its last byte, so the response is that of an earlier request.
    async def scenario() -> None:
        release = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http_answer("200"))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http_answer("200"))
            await release.wait()
            with suppress(OSError):
                await reader.read(-1)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        host, port = server.sockets[0].getsockname()
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE), Telemetry())
        outcomes = []
        for body in (b"", b"x" * 30_000_000):
            task = asyncio.create_task(transport.send(make_attempt(f"{host}:{port}", "m1", body)))
            await asyncio.sleep(0.1)
            if body:
                release.set()
            outcomes.append((await task).outcome)
        assert outcomes == [Outcome.OK, Outcome.CONNECTION_BROKEN]
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_batch_response_that_names_other_messages_condemns_its_connection() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        transport = BatchTransport(ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE), Telemetry())
        call = BatchCall()
        attempts = [make_attempt(endpoint.address, id_, batch_call=call) for id_ in ("m3", "m4")]
        tasks = [asyncio.create_task(transport.send(attempt)) for attempt in attempts]
        body = b"m1 delivered\r\nm2 delivered\r\n"
        endpoint.respond((await endpoint.requests.get())[3], http_answer("200", body=body))
        assert {(await task).outcome for task in tasks} == {Outcome.CONNECTION_BROKEN}
        assert transport.pool.open_count == 0

    with_endpoints(scenario)
