"""The stand-in for partners: calls of several messages, and what may be wrong with its answers to them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest

from kestreltrack.lab.standins.partners import Endpoint, Partner, Trouble, read_batch
from kestreltrack.nodes import batch
from kestreltrack.nodes.batch import BatchTransport
from kestreltrack.nodes.pool import Pool
from kestreltrack.ports import Claim, Message, SharedCall
from kestreltrack.telemetry import Telemetry

TROUBLES: dict[str, tuple[Callable[[], Trouble], dict[str, str], int]] = {
    # What is wrong, what each message hears, and how many took effect.
    "nothing": (Trouble, {"a": "ok", "b": "ok", "c": "ok"}, 3),
    "cut": (lambda: Trouble(spoil=lambda answer: answer[:-20]), dict.fromkeys("abc", "broken"), 3),
    "other": (
        lambda: Trouble(spoil=lambda a: a.replace(b"b d", b"d d")),
        {"a": "ok", "b": "broken", "c": "ok"},
        3,
    ),
    "stalled": (lambda: Trouble(stall=True), dict.fromkeys("abc", "broken"), 3),
    "hung": (lambda: Trouble(hang=True), dict.fromkeys("abc", "timed out"), 0),
    "refused": (lambda: Trouble(refuse=True), dict.fromkeys("abc", "refused"), 0),
}


async def outcomes(endpoint: Endpoint, ids: str, patience_ms: float = 20_000.0) -> dict[str, str]:
    nodes, call = BatchTransport(Pool(60.0, 5.0, 8, Telemetry()), Telemetry()), SharedCall()

    async def claim(id_: str) -> str:
        message = Message(id_, "safe", 1, 0.0, b"x")
        claim = Claim(message, "p1", endpoint.address, patience_ms, lambda *_: True, call)
        return (await nodes.claim(claim)).outcome.value

    return dict(zip(ids, await asyncio.gather(*map(claim, ids)), strict=True))


@pytest.mark.parametrize("name", TROUBLES)
def test_a_call_of_several(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(batch, "BODY_S", 0.05)
    make, heard, effects = TROUBLES[name]

    async def story() -> None:
        partner = Partner(1, service_ms=1.0, trouble=make())
        endpoint = Endpoint("p1", partner, random.Random(1))
        await endpoint.listen()
        assert await outcomes(endpoint, "abc", 200.0 if name == "hung" else 20_000.0) == heard
        assert partner.effects.total() == effects
        assert endpoint.delivered == set("abc" if name == "nothing" else "")
        endpoint.close()

    asyncio.run(story())


def test_its_limits_count_calls() -> None:
    async def story() -> None:
        partner = Partner(1, service_ms=1.0, rate=1.0, batch=3)
        endpoint = Endpoint("p1", partner, random.Random(1))
        await endpoint.listen()
        assert await outcomes(endpoint, "abcd") == dict.fromkeys("abcd", "not sent"), "413"
        assert await outcomes(endpoint, "abc") == dict.fromkeys("abc", "ok")
        assert (
            await outcomes(endpoint, "ef") == dict.fromkeys("ef", "refused") and partner.answers["429"] == 1
        )
        endpoint.close()

    asyncio.run(story())


@pytest.mark.parametrize(
    "body", [b"", b"a - 1\r\nxx\r\n", b"a - 1\r\nx", b"a 1\r\nx\r\n", b"a - 1\r\nx\r\n" * 2]
)
def test_a_body_that_cannot_be_read(body: bytes) -> None:
    with pytest.raises(ValueError):
        read_batch(body)
