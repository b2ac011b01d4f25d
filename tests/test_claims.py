"""Claims that are held back or called off: what is written, what is closed, what is said to have run."""

from __future__ import annotations

import asyncio

import pytest
from scenario import Party
from test_pool import exchange, with_nodes

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


def transport() -> HttpTransport:
    return HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())


def test_one_that_may_not_go_writes_nothing_and_keeps_its_connection() -> None:
    # A wait or a drain that came while the connection was made must be obeyed.
    async def story(node: Party, _: Party) -> None:
        nodes = transport()
        result = await nodes.send(Attempt(MESSAGE, "node", node.address, 5000.0, lambda *_: False))
        assert result.outcome is Outcome.NOT_SENT and nodes.pool.open_count == 1
        again = await nodes.pool.acquire("node", node.address)
        await exchange(again, node)  # the first request that the node sees on it
        assert nodes.pool.open_count == 1 and node.requests.empty()

    with_nodes(story)


def test_one_called_off_closes_its_connection() -> None:
    async def story(node: Party, _: Party) -> None:
        nodes = transport()
        claim = asyncio.create_task(
            nodes.send(Attempt(MESSAGE, "node", node.address, 60000.0, lambda *_: True))
        )
        reader, writer = (await node.requests.get())[3]
        claim.cancel()
        assert (await claim).outcome is Outcome.CANCELLED and nodes.pool.open_count == 0
        assert await reader.read() == b""
        writer.close()

    with_nodes(story)


def test_a_break_on_a_kept_connection_is_told_from_one_on_a_new_one() -> None:
    async def story(node: Party, _: Party) -> None:
        nodes = transport()
        request = Attempt(MESSAGE, "node", node.address, 60000.0, lambda *_: True)
        for stale in (False, True):
            for kept in range(int(stale) + 1):
                claim = asyncio.create_task(nodes.send(request))
                streams = (await node.requests.get())[3]
                if kept < int(stale):
                    node.say(streams, http_answer("200"))
                    assert (await claim).final and nodes.pool.open_count == 1
            streams[1].transport.abort()
            result = await claim
            assert (result.outcome, result.stale_connection) == (Outcome.CONNECTION_BROKEN, stale)

    with_nodes(story)


def test_one_called_off_while_it_connects_never_ran() -> None:
    async def story(node: Party, _: Party) -> None:
        nodes = transport()
        claim = asyncio.create_task(
            nodes.send(Attempt(MESSAGE, "node", node.address, 60000.0, lambda *_: True))
        )
        await asyncio.sleep(0)  # it has begun to connect
        claim.cancel()
        assert (await claim).outcome is Outcome.NOT_SENT and nodes.pool.open_count == 0

    with_nodes(story)


def test_a_report_keeps_what_is_a_number() -> None:
    text = "x0=0.4, x1=25,x2=,x3=nan,x4,=5,x5=-1,x6=1e300,x7=1_0,x8=" + "9" * 400
    assert parse_load_report(text) == {"x0": 0.4, "x1": 25.0}


OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = "HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nContent-Length: {}\r\n\r\n"
ANSWERS = {
    # What the node writes, how the claim ends, and whether the connection is kept.
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


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # Only a whole answer proves that the message never ran; a first line with 200 is true in any case.
    monkeypatch.setattr(http1.connection, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(http_transport, "BODY_TIMEOUT_S", 0.05)
    data, outcome, kept = ANSWERS[name]

    async def story(node: Party, _: Party) -> None:
        nodes = transport()
        claim = asyncio.create_task(
            nodes.send(Attempt(MESSAGE, "node", node.address, 60000.0, lambda *_: True))
        )
        node.say((await node.requests.get())[3], data.encode("latin-1"))
        result = await claim
        assert (result.outcome.value, nodes.pool.open_count) == (outcome, int(kept))
        assert result.final == (outcome == "ok")
        assert result.retry_after_ms == (250.0 if outcome == "refused" else 0.0)

    with_nodes(story)
