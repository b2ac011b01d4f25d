"""Notices: all that wait go in one report, and none counts as told before the platform has taken it."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest
from scenario import Party
from test_pool import with_nodes

from kestreltrack.http1 import HttpClient
from kestreltrack.notifications import HttpNotifier, http_notifier
from kestreltrack.ports import StatusNotification
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer


def test_what_waits_goes_in_one_report_until_it_is_taken() -> None:
    async def story(platform: Party, other: Party) -> None:
        board = HttpNotifier(platform.address, Telemetry())
        told = [
            asyncio.create_task(board.notify(StatusNotification(f"m{i}", i % 2 == 0, 300.0)))
            for i in range(5)
        ]
        _, _, body, streams = await platform.requests.get()
        rows = [orjson.loads(line) for line in body.splitlines()]
        assert [row["message"] for row in rows] == [f"m{i}" for i in range(5)]
        assert rows[0] == {"message": "m0", "outcome": "handed_back", "retry_in_ms": 300}
        assert rows[1] == {"message": "m1", "outcome": "given_up"}
        told.append(asyncio.create_task(board.notify(StatusNotification("m5", False))))
        platform.say(streams, http_answer("503"))
        _, _, body, streams = await platform.requests.get()
        assert len(body.splitlines()) == 6 and not any(task.done() for task in told)
        told[0].cancel()  # a message may be left where it is while its notice waits
        platform.say(streams, http_answer("204"))
        await asyncio.gather(*told[1:])
        assert platform.requests.empty()

    with_nodes(story)


async def lines(platform: Party, status: str) -> list[str]:
    """Answer the next report; the messages that it told of."""
    _, _, body, streams = await platform.requests.get()
    platform.say(streams, http_answer(status))
    return [orjson.loads(line)["message"] for line in body.splitlines()]


def test_a_line_that_the_platform_cannot_read_holds_up_no_other() -> None:
    async def story(platform: Party, other: Party) -> None:
        board, taken = HttpNotifier(platform.address, Telemetry()), list[str]()
        told = {
            f"m{i}": asyncio.create_task(board.notify(StatusNotification(f"m{i}", False))) for i in range(9)
        }
        reports = 0
        while len(taken) < 8:
            _, _, body, streams = await platform.requests.get()
            rows = [orjson.loads(line)["message"] for line in body.splitlines()]
            taken += [] if "m3" in rows else rows
            platform.say(streams, http_answer("400" if "m3" in rows else "204"))
            reports += 1
        assert (
            sorted(taken) == sorted(told.keys() - {"m3"}) and reports <= 11
        )  # nine lines, halved until one is left
        await asyncio.gather(*(task for id_, task in told.items() if id_ != "m3"))
        assert await lines(platform, "400") == ["m3"], "it is owed all the same"
        told["m9"] = asyncio.create_task(board.notify(StatusNotification("m9", False)))
        while (rows := await lines(platform, "400")) != ["m9"]:
            assert rows == ["m3"]
        # Now m9 was answered 400 as well: each goes alone, in turn, until it is taken.
        assert [await lines(platform, "204"), await lines(platform, "204")] == [["m3"], ["m9"]]
        await asyncio.gather(*told.values())

    with_nodes(story)


@pytest.mark.parametrize("bad", [ValueError("no address"), UnicodeError("no name"), RuntimeError("closed")])
def test_no_fault_ends_the_posting(bad: Exception, monkeypatch: pytest.MonkeyPatch) -> None:
    real, faults = HttpClient.exchange, [bad]

    async def exchange(*args: Any) -> tuple[int, bytes]:
        if faults:
            raise faults.pop()
        return await real(*args)

    monkeypatch.setattr(HttpClient, "exchange", exchange)

    async def story(platform: Party, other: Party) -> None:
        board = HttpNotifier(platform.address, Telemetry())
        told = asyncio.create_task(board.notify(StatusNotification("m1", False)))
        assert await lines(platform, "204") == ["m1"]
        await told

    with_nodes(story)


def test_a_report_that_is_out_at_a_move_is_posted_at_the_new_address_with_no_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_notifier, "INITIAL_BACKOFF_S", 1000.0)  # a pause would never end

    async def story(platform: Party, other: Party) -> None:
        board = HttpNotifier(platform.address, Telemetry())
        told = asyncio.create_task(board.notify(StatusNotification("m1", False)))
        await platform.requests.get()  # and no answer
        board.change_address(other.address)
        assert await lines(other, "204") == ["m1"]
        await told

    with_nodes(story)


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 204 No", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
def test_a_report_that_gets_no_whole_204_is_posted_again(answer: bytes) -> None:
    async def story(platform: Party, other: Party) -> None:
        board = HttpNotifier(platform.address, Telemetry())
        told = asyncio.create_task(board.notify(StatusNotification("m1", False)))
        streams = (await platform.requests.get())[3]
        platform.say(streams, answer)
        streams[1].close() if answer else streams[1].transport.abort()
        assert await lines(platform, "204") == ["m1"]
        await told

    with_nodes(story)
