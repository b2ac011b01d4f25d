"""Connections that fall silent: they stay open, nothing that is written to them arrives, and new ones work."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from test_connection_pool import IMMEDIATE_REUSE

from kestreltrack.decision import Outcome
from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.http1 import Connection, HttpClient, UnansweredRequest
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import Attempt, BatchCall, DiscoveryError, Message, StatusNotification
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

# A message is ended 150 ms before its time is up, and its notification is late 300 ms after that time.
NOTIFICATION_LIMIT_S = 0.45
# A connection that has been silent for so long may carry another request.
SETTLED_S = 0.3
EMPTY_LIST = b'{"rev":1,"all":true,"targets":[]}'


class SilencedServer(LoopbackServer):
    """Answers all requests, until its open connections fall silent.

    Attributes:
        response: The response to each request.
        delay_s: The time from a request to its response, in seconds.
        connections: The number of connections so far.
        requests: The number of requests answered so far.
    """

    def __init__(self, response: bytes = http_answer("204")) -> None:
        super().__init__()
        self.response = response
        self.delay_s = 0.0
        self.connections = 0
        self.requests = 0
        self._silent = set[asyncio.StreamWriter]()

    def fall_silent(self) -> None:
        """Let nothing that is written to the open connections arrive any more."""
        self._silent |= self._open

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while True:
            await read_http(reader)
            await asyncio.sleep(self.delay_s)
            if writer in self._silent:
                await reader.read(-1)
                return
            self.requests += 1
            writer.write(self.response)


def run_with_server(server: LoopbackServer, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await server.listen()
        try:
            await asyncio.wait_for(scenario(), 20.0)
        finally:
            server.close()

    asyncio.run(run())


async def notify(notifier: HttpNotifier, message_id: str) -> float:
    """Send a notification; return the seconds until it was accepted."""
    started_at = time.monotonic()
    await notifier.notify(StatusNotification(message_id, True))
    return time.monotonic() - started_at


async def open_idle_connections(notifier: HttpNotifier, server: SilencedServer) -> None:
    """Let several connections settle: one that was used a short time ago carries no notification."""
    while server.connections < 5:
        await notify(notifier, f"m{server.connections}")
    await asyncio.sleep(SETTLED_S)


def test_notification_is_in_time_after_all_open_connections_fell_silent_twice() -> None:
    # Guards against each retry of a notification taking another of the connections that have fallen silent.
    server = SilencedServer()

    async def scenario() -> None:
        notifier = HttpNotifier(server.address, Telemetry())
        for _ in range(2):
            await open_idle_connections(notifier, server)
            server.fall_silent()
            assert await notify(notifier, "late") < NOTIFICATION_LIMIT_S
            server.connections = 0

    run_with_server(server, scenario)


def test_notification_is_in_time_after_two_connections_in_a_row_fell_silent_under_it() -> None:
    # Guards against waits between the posts of a notification that grow beyond the time it has.
    server = SilencedServer()

    async def scenario() -> None:
        notifier = HttpNotifier(server.address, Telemetry())
        server.delay_s = 0.01
        notified = asyncio.create_task(notify(notifier, "m1"))
        for connections in (1, 2):
            while server.connections < connections:
                await asyncio.sleep(0.001)
            server.fall_silent()
        assert await notified < NOTIFICATION_LIMIT_S

    run_with_server(server, scenario)


@pytest.mark.parametrize("delay_s", [0.25, 0.7, 1.5])
def test_notification_is_accepted_by_a_platform_that_answers_slowly(delay_s: float) -> None:
    # Guards against giving up every post before the platform answers, so that no notification is ever accepted.
    server = SilencedServer()
    server.delay_s = delay_s

    async def scenario() -> None:
        assert await notify(HttpNotifier(server.address, Telemetry()), "m1") < delay_s + 0.4

    run_with_server(server, scenario)


def test_late_response_accepts_no_notification_that_was_queued_after_its_report() -> None:
    # Guards against a late 204 ending notifications that the platform has not received.
    server = SilencedServer()
    server.delay_s = 0.5

    async def scenario() -> None:
        notifier = HttpNotifier(server.address, Telemetry())
        first = asyncio.create_task(notify(notifier, "m1"))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(notify(notifier, "m2"))
        await first
        assert not second.done()
        server.delay_s = 0.0
        assert await second < 1.0

    run_with_server(server, scenario)


def test_request_after_an_unanswered_one_takes_no_connection_from_before() -> None:
    # Guards against taking another silent connection after a request that got no response (discovery, notifications).
    server = SilencedServer()

    async def scenario() -> None:
        client = HttpClient(server.address)
        unanswered = list[UnansweredRequest]()
        client.on_unanswered = unanswered.append
        await asyncio.gather(*(client.exchange("GET", "/", 1.0) for _ in range(4)))
        await asyncio.sleep(SETTLED_S)
        server.fall_silent()
        with pytest.raises(TimeoutError):
            await client.exchange("GET", "/", 0.1)
        assert (await client.exchange("GET", "/", 0.1)).status == 204
        assert [(request.exchange, request.closed_idle) for request in unanswered] == [(2, 3)]
        assert server.connections == 5

    run_with_server(server, scenario)


def test_list_is_fetched_at_once_after_a_watch_fell_silent() -> None:
    # Guards against the call after a lost watch taking another silent connection, where lists are pushed.
    server = SilencedServer(http_answer("200", body=EMPTY_LIST))

    async def scenario() -> None:
        telemetry = Telemetry()
        source = HttpEndpointSource(server.address, telemetry, push_deadline_ms=500.0)
        updates = source.follow()
        while (
            server.connections < 4
        ):  # an answer that comes at once is followed by a call on another connection
            await anext(updates)
        await asyncio.sleep(SETTLED_S)
        server.fall_silent()
        with pytest.raises(DiscoveryError):
            await anext(updates)
        assert (await anext(source.follow())).revision == 1
        assert telemetry.counters["discovery.unanswered"] == 1

    run_with_server(server, scenario)


def make_attempt(server: SilencedServer, message_id: str, call: BatchCall | None = None) -> Attempt:
    message = Message(message_id, "safe", 1, 0.0, b"body")
    return Attempt(message, "n1", server.address, 200.0, lambda *_: True, call)


async def exchange(connection: Connection) -> None:
    await connection.send("POST", "/", [])
    await connection.read_head()
    await connection.read_body()


@pytest.mark.parametrize("ending", ["timed out", "cancelled", "batch timed out"])
def test_unanswered_attempt_closes_the_connections_that_may_be_silent_too(ending: str) -> None:
    # Guards against the next attempts at an endpoint taking connections that fell silent with that of the first.
    server = SilencedServer(http_answer("200"))

    async def scenario() -> None:
        telemetry = Telemetry()
        pool = ConnectionPool(60.0, 5.0, 8, telemetry, IMMEDIATE_REUSE)
        silent = [await pool.acquire("n1", server.address) for _ in range(3)]
        await asyncio.gather(*map(exchange, silent))
        server.fall_silent()
        working = await pool.acquire("n1", server.address)
        for connection in silent:
            pool.release("n1", connection)
        transport = BatchTransport(pool, telemetry) if "batch" in ending else HttpTransport(pool, telemetry)
        call = BatchCall() if "batch" in ending else None
        ids = ("m1", "m2") if call else ("m1",)
        attempts = [asyncio.create_task(transport.send(make_attempt(server, id_, call))) for id_ in ids]
        await asyncio.sleep(0.1)
        await exchange(working)
        pool.release("n1", working)
        if ending == "cancelled":
            attempts[0].cancel()
        outcomes = {(await attempt).outcome for attempt in attempts}
        assert outcomes == {Outcome.CANCELLED if ending == "cancelled" else Outcome.TIMED_OUT}
        assert pool.open_count == 1, "the connection that has worked since the request stays open"
        assert await pool.acquire("n1", server.address) is working
        assert telemetry.counters["endpoints.unanswered"] == 1

    run_with_server(server, scenario)


def test_late_response_closes_no_connection_while_another_of_the_same_age_works() -> None:
    # Guards against handshakes with an endpoint that answers, only because one of its responses is late.
    server = SilencedServer(http_answer("200"))

    async def scenario() -> None:
        telemetry = Telemetry()
        pool = ConnectionPool(60.0, 5.0, 8, telemetry, IMMEDIATE_REUSE)
        idle, working, late = [await pool.acquire("n1", server.address) for _ in range(3)]
        await asyncio.gather(*map(exchange, (idle, working, late)))
        pool.release("n1", idle)
        server.delay_s = 1.0
        transport = HttpTransport(pool, telemetry)
        attempt = asyncio.create_task(transport.send(make_attempt(server, "m1"), late))
        await asyncio.sleep(0.1)
        server.delay_s = 0.0
        await exchange(working)
        pool.release("n1", working)
        assert (await attempt).outcome == Outcome.TIMED_OUT
        assert pool.open_count == 2
        assert "endpoints.unanswered" not in telemetry.counters

    run_with_server(server, scenario)
