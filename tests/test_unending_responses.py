"""Responses that begin and never end must not hold a message beyond the time limit of its attempt."""

from __future__ import annotations

import asyncio
import time

import pytest
from test_connection_pool import IMMEDIATE_REUSE
from test_silent_connections import run_with_server

from kestreltrack.decision import Outcome
from kestreltrack.discovery.http_source import HttpEndpointSource
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.notifications import HttpNotifier
from kestreltrack.ports import Attempt, AttemptResult, BatchCall, DiscoveryError, Message, StatusNotification
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

TIMEOUT_S = 0.3
# The final answer of a message is late 300 ms after its time, which is later than the time limit of its attempts.
MAX_EXCESS_S = 0.3
# The response begins shortly before the time limit.
DELAY_S = 0.2
TRICKLE_INTERVAL_S = 0.02

UNENDING_RESPONSES = {
    # What is written at once, what is written again and again, and the outcome.
    "a 500 whose body stops": (http_answer("500", body=b"x" * 300)[:-200], b"", Outcome.CONNECTION_BROKEN),
    "a 500 whose body trickles": (
        http_answer("500", body=b"x" * 300)[:-300],
        b"x",
        Outcome.CONNECTION_BROKEN,
    ),
    "a 503 in chunks without an end": (
        b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
        Outcome.CONNECTION_BROKEN,
    ),
    "a 429 without its body": (
        http_answer("429", "Retry-After: 0.25", body=b"x")[:-1],
        b"",
        Outcome.CONNECTION_BROKEN,
    ),
    "a head that trickles": (b"HTTP/1.1 500 No\r\nX-A: ", b"x", Outcome.TIMED_OUT),
    "a status line that stops": (b"HTTP/1.1 5", b"", Outcome.TIMED_OUT),
    "interim responses": (b"", b"HTTP/1.1 103 Wait\r\n\r\n", Outcome.TIMED_OUT),
    "a 200 whose body stops": (http_answer("200", body=b"x" * 300)[:-200], b"", Outcome.OK),
}


class UnendingServer(LoopbackServer):
    """Answers the first `complete` requests with 204, and begins a response to each other one that never ends."""

    def __init__(self, beginning: bytes, repeated: bytes, complete: int = 0) -> None:
        super().__init__()
        self.beginning = beginning
        self.repeated = repeated
        self.complete = complete
        self.delay_s = DELAY_S
        self.later_response = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_http(reader)
            if self.complete:
                self.complete -= 1
                writer.write(http_answer("204"))
                continue
            await asyncio.sleep(self.delay_s)
            if self.later_response and not self.beginning:
                writer.write(self.later_response)
                continue
            writer.write(self.beginning)
            if self.later_response:
                self.beginning = b""
            while True:
                await asyncio.sleep(TRICKLE_INTERVAL_S)
                writer.write(self.repeated)
                await writer.drain()


def make_attempt(server: LoopbackServer, message_id: str, call: BatchCall | None = None) -> Attempt:
    message = Message(message_id, "safe", 1, 0.0, b"body")
    return Attempt(message, "n1", server.address, 1000.0 * TIMEOUT_S, lambda *_: True, call)


async def send(transport: HttpTransport, *attempts: Attempt) -> list[AttemptResult]:
    """Send attempts at the same time, and check that they end in time."""
    started_at = time.monotonic()
    results: list[AttemptResult] = await asyncio.gather(*map(transport.send, attempts))
    assert time.monotonic() - started_at < TIMEOUT_S + MAX_EXCESS_S
    assert transport.pool.open_count == 0
    return results


@pytest.mark.parametrize("name", UNENDING_RESPONSES)
def test_attempt_ends_in_time_though_its_response_never_does(name: str) -> None:
    # Guards against waiting for the rest of a response beyond the time limit, so that a message ends late.
    beginning, repeated, outcome = UNENDING_RESPONSES[name]
    server = UnendingServer(beginning, repeated)

    async def scenario() -> None:
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        (result,) = await send(transport, make_attempt(server, "m1"))
        assert (result.outcome, result.final) == (outcome, outcome is Outcome.OK)

    run_with_server(server, scenario)


def test_attempt_ends_in_time_though_its_response_may_be_a_copy_and_never_ends() -> None:
    # Guards against the same where a 200 comes so soon after another response that it proves nothing before its end.
    server = UnendingServer(*UNENDING_RESPONSES["a 200 whose body stops"][:2], complete=1)
    server.delay_s = 0.0

    async def scenario() -> None:
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE), Telemetry())
        await transport.send(make_attempt(server, "m0"))
        assert transport.pool.open_count == 1
        await send(transport, make_attempt(server, "m1"))

    run_with_server(server, scenario)


def test_attempt_cancelled_while_a_body_is_read_ends_at_once() -> None:
    # Guards against the same at a shutdown, which cancels the attempts that are left at its deadline.
    server = UnendingServer(*UNENDING_RESPONSES["a 500 whose body trickles"][:2])

    async def scenario() -> None:
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        task = asyncio.create_task(transport.send(make_attempt(server, "m1")))
        await asyncio.sleep(DELAY_S + TRICKLE_INTERVAL_S)
        task.cancel()
        await asyncio.sleep(0)
        assert task.done() and task.result().outcome is Outcome.CONNECTION_BROKEN

    run_with_server(server, scenario)


@pytest.mark.parametrize("ids", [("m1",), ("m1", "m2")])
@pytest.mark.parametrize("name", UNENDING_RESPONSES)
def test_members_of_a_batch_end_in_time_though_its_response_never_does(
    name: str, ids: tuple[str, ...]
) -> None:
    # Guards against the same in batches, and in a batch of which one message is left, which goes as a single one.
    server = UnendingServer(*UNENDING_RESPONSES[name][:2])

    async def scenario() -> None:
        transport = BatchTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        call = BatchCall()
        await send(transport, *(make_attempt(server, id_, call) for id_ in ids))

    run_with_server(server, scenario)


@pytest.mark.parametrize("name", ["a 500 whose body trickles", "a head that trickles", "interim responses"])
def test_notification_is_in_time_though_the_response_to_its_report_never_ends(name: str) -> None:
    # Guards against the same in reports to the platform: the next one is posted meanwhile.
    server = UnendingServer(*UNENDING_RESPONSES[name][:2])
    server.later_response = http_answer("204")
    server.delay_s = 0.0

    async def scenario() -> None:
        started_at = time.monotonic()
        notifier = HttpNotifier(server.address, Telemetry())
        await notifier.notify(StatusNotification("m1", True))
        # The message ended 150 ms before its time was up.
        assert time.monotonic() - started_at < 0.15 + MAX_EXCESS_S

    if name == "interim responses":
        server.beginning = b"HTTP/1.1 103 Wait\r\n\r\n"
    run_with_server(server, scenario)


def test_list_that_never_ends_is_fetched_again_in_time() -> None:
    # Guards against the same in calls for the list, which have to be repeated well within 6 s.
    server = UnendingServer(*UNENDING_RESPONSES["a 503 in chunks without an end"][:2])

    async def scenario() -> None:
        started_at = time.monotonic()
        with pytest.raises(DiscoveryError):
            await anext(HttpEndpointSource(server.address, Telemetry()).follow())
        assert (
            time.monotonic() - started_at < 3.0
        )  # two calls, of which each may take a second beyond its head

    run_with_server(server, scenario)
