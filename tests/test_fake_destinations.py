"""The fake destinations: batch calls, rate limits, injected faults, and which messages count as delivered."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest

from kestreltrack.endpoints import batch
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.ports import Attempt, BatchCall, Message
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.destinations import FakeDestination, FakeEndpoint, InjectedFault, read_batch

# The injected fault, the outcome of each message, and the number of messages that are executed.
FAULTS: dict[str, tuple[Callable[[], InjectedFault], dict[str, str], int]] = {
    "none": (InjectedFault, {"a": "ok", "b": "ok", "c": "ok"}, 3),
    "truncated": (
        lambda: InjectedFault(corrupt=lambda response: response[:-20]),
        dict.fromkeys("abc", "broken"),
        3,
    ),
    "a line for another message": (
        lambda: InjectedFault(corrupt=lambda response: response.replace(b"b d", b"d d")),
        {"a": "ok", "b": "broken", "c": "ok"},
        3,
    ),
    "a response without its last byte": (
        lambda: InjectedFault(stall=True),
        dict.fromkeys("abc", "broken"),
        3,
    ),
    "no response": (lambda: InjectedFault(hang=True), dict.fromkeys("abc", "timed out"), 0),
    "refused": (lambda: InjectedFault(reject=True), dict.fromkeys("abc", "refused"), 0),
}
# No test reaches it.
TIMEOUT_MS = 20_000.0
# For calls that get no response.
NO_RESPONSE_TIMEOUT_MS = 200.0


async def send_batch(
    endpoint: FakeEndpoint, message_ids: str, timeout_ms: float = TIMEOUT_MS
) -> dict[str, str]:
    """Send messages, with single letters as ids, in one batch call and return the outcome of each."""
    transport = BatchTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
    batch_call = BatchCall()

    async def send(message_id: str) -> str:
        message = Message(message_id, "safe", 1, 0.0, b"x")
        attempt = Attempt(message, "n1", endpoint.address, timeout_ms, lambda *_: True, batch_call)
        return (await transport.send(attempt)).outcome.value

    outcomes = await asyncio.gather(*map(send, message_ids))
    return dict(zip(message_ids, outcomes, strict=True))


@pytest.mark.parametrize("name", FAULTS)
def test_each_message_of_a_batch_gets_the_outcome_of_the_fault(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(batch, "BODY_TIMEOUT_S", 0.05)
    make_fault, expected_outcomes, expected_executions = FAULTS[name]

    async def run() -> None:
        destination = FakeDestination(1, service_time_ms=1.0, fault=make_fault())
        endpoint = FakeEndpoint("n1", destination, random.Random(1))
        await endpoint.listen()
        timeout_ms = NO_RESPONSE_TIMEOUT_MS if name == "no response" else TIMEOUT_MS
        assert await send_batch(endpoint, "abc", timeout_ms) == expected_outcomes
        assert destination.execution_counts.total() == expected_executions
        assert endpoint.delivered == set("abc" if name == "none" else "")
        endpoint.close()

    asyncio.run(run())


def test_rate_limit_counts_batch_calls_and_too_large_ones_are_rejected() -> None:
    async def run() -> None:
        destination = FakeDestination(1, service_time_ms=1.0, rate_limit=1.0, max_batch_size=3)
        endpoint = FakeEndpoint("n1", destination, random.Random(1))
        await endpoint.listen()
        assert await send_batch(endpoint, "abcd") == dict.fromkeys("abcd", "not sent"), (
            "the batch is rejected with 413"
        )
        assert await send_batch(endpoint, "abc") == dict.fromkeys("abc", "ok")
        assert await send_batch(endpoint, "ef") == dict.fromkeys("ef", "refused")
        assert destination.answer_counts["429"] == 1
        endpoint.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "body", [b"", b"a - 1\r\nxx\r\n", b"a - 1\r\nx", b"a 1\r\nx\r\n", b"a - 1\r\nx\r\n" * 2]
)
def test_malformed_batch_body_raises_an_error(body: bytes) -> None:
    with pytest.raises(ValueError):
        read_batch(body)


@pytest.mark.parametrize("disconnects", [True, False])
def test_response_to_a_disconnected_caller_is_not_counted_as_delivered(disconnects: bool) -> None:
    """A message counts as delivered only if its caller is still connected when the fake responds with 200.

    An asyncio stream stays writable after the other side has closed the connection.  If the fake counted a response
    that it wrote then, the demo would see a message as both delivered and ended by a status notification, whose
    attempt the sender had aborted before the response: in ten minutes at 250 messages a second, the fakes counted
    144,002 deliveries and the sender's log 143,998; the other four had ended there as `timed_out`.
    """

    async def run() -> None:
        destination = FakeDestination(1, service_time_ms=50.0)
        endpoint = FakeEndpoint("n1", destination, random.Random(1))
        await endpoint.listen()
        host, _, port = endpoint.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /deliver HTTP/1.1\r\nx-call-id: a\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        if disconnects:
            writer.close()
        else:
            assert await reader.readline() == b"HTTP/1.1 200 Said\r\n"
        while not destination.execution_counts:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        assert endpoint.delivered == (set() if disconnects else {"a"})
        writer.close()
        endpoint.close()

    asyncio.run(run())
