"""The stand-in for partners: calls of several messages, and what may be wrong with its answers to them."""

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

TROUBLES: dict[str, tuple[Callable[[], InjectedFault], dict[str, str], int]] = {
    # What is wrong, what each message hears, and how many took effect.
    "nothing": (InjectedFault, {"a": "ok", "b": "ok", "c": "ok"}, 3),
    "cut": (lambda: InjectedFault(corrupt=lambda answer: answer[:-20]), dict.fromkeys("abc", "broken"), 3),
    "other": (
        lambda: InjectedFault(corrupt=lambda a: a.replace(b"b d", b"d d")),
        {"a": "ok", "b": "broken", "c": "ok"},
        3,
    ),
    "stalled": (lambda: InjectedFault(stall=True), dict.fromkeys("abc", "broken"), 3),
    "hung": (lambda: InjectedFault(hang=True), dict.fromkeys("abc", "timed out"), 0),
    "refused": (lambda: InjectedFault(reject=True), dict.fromkeys("abc", "refused"), 0),
}


async def outcomes(endpoint: FakeEndpoint, ids: str, patience_ms: float = 20_000.0) -> dict[str, str]:
    nodes, call = BatchTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry()), BatchCall()

    async def claim(id_: str) -> str:
        message = Message(id_, "safe", 1, 0.0, b"x")
        claim = Attempt(message, "p1", endpoint.address, patience_ms, lambda *_: True, call)
        return (await nodes.send(claim)).outcome.value

    return dict(zip(ids, await asyncio.gather(*map(claim, ids)), strict=True))


@pytest.mark.parametrize("name", TROUBLES)
def test_a_call_of_several(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(batch, "BODY_TIMEOUT_S", 0.05)
    make, heard, effects = TROUBLES[name]

    async def story() -> None:
        partner = FakeDestination(1, service_time_ms=1.0, fault=make())
        endpoint = FakeEndpoint("p1", partner, random.Random(1))
        await endpoint.listen()
        assert await outcomes(endpoint, "abc", 200.0 if name == "hung" else 20_000.0) == heard
        assert partner.execution_counts.total() == effects
        assert endpoint.delivered == set("abc" if name == "nothing" else "")
        endpoint.close()

    asyncio.run(story())


def test_its_limits_count_calls() -> None:
    async def story() -> None:
        partner = FakeDestination(1, service_time_ms=1.0, rate_limit=1.0, max_batch_size=3)
        endpoint = FakeEndpoint("p1", partner, random.Random(1))
        await endpoint.listen()
        assert await outcomes(endpoint, "abcd") == dict.fromkeys("abcd", "not sent"), "413"
        assert await outcomes(endpoint, "abc") == dict.fromkeys("abc", "ok")
        assert (
            await outcomes(endpoint, "ef") == dict.fromkeys("ef", "refused")
            and partner.answer_counts["429"] == 1
        )
        endpoint.close()

    asyncio.run(story())


@pytest.mark.parametrize(
    "body", [b"", b"a - 1\r\nxx\r\n", b"a - 1\r\nx", b"a 1\r\nx\r\n", b"a - 1\r\nx\r\n" * 2]
)
def test_a_body_that_cannot_be_read(body: bytes) -> None:
    with pytest.raises(ValueError):
        read_batch(body)
